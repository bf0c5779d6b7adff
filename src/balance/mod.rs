//! Chooses the upstream of an attempt.

mod candidate_pool;
mod load_picker;
mod observe;
mod pick;
mod report;

pub use self::load_picker::{LoadPicker, PickerSettings};
pub use self::observe::ObserveSettings;
pub use self::pick::{PickRequest, RandomPicker, UpstreamPicker};
pub use self::report::{AttemptReport, AttemptResult, LoadReport};
