//! Chooses the upstream of an attempt.

mod pick;
mod report;

pub use self::pick::{PickRequest, RandomPicker, UpstreamPicker};
pub use self::report::{AttemptReport, AttemptResult, LoadReport};
