//! The one test binary: a module a feature.

#![allow(clippy::expect_used, clippy::unwrap_used, reason = "a test panics to fail")]

mod compile;
mod experiment;
mod load_picker;
mod processes;
mod result_codes;
mod selectors;
mod settings;
mod support;
mod thin_path;
