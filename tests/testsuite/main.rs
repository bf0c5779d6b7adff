//! The one test binary: a module a feature.

#![allow(clippy::expect_used, clippy::unwrap_used, reason = "a test panics to fail")]

mod compile;
mod control_plane;
mod exchange;
mod exchange_state;
mod experiment;
mod generations;
mod leases;
mod limits;
mod load_picker;
mod membership;
mod peer_calls;
mod processes;
mod result_codes;
mod selectors;
mod settings;
mod support;
mod thin_path;
mod whole_answers;
