//! Chooses the upstream of an attempt.

mod candidate_pool;
mod completion_picker;
mod load_picker;
mod observe;
mod pick;
mod probe_budget;
mod probe_plan;
mod report;

pub use self::completion_picker::{CompletionPicker, CompletionSettings};
pub use self::load_picker::{LoadPicker, PickerSettings};
pub use self::observe::{ObserveSettings, learn_shared};
pub use self::pick::{
    PickDemand, PickPurpose, PickRefusal, PickRequest, RandomPicker, UpstreamPicker,
};
pub use self::probe_budget::{
    PROBE_SHARE_KIND, PROBE_SHARES, ProbeWallet, SHARE_LIFETIME, SHARE_RENEWAL, SHARE_TAKEOVER,
    ShareKeeper,
};
pub use self::probe_plan::{ProbeSettings, learn_probe, mark_probed, next_probe};
pub use self::report::{AttemptReport, AttemptResult, LoadReport};
