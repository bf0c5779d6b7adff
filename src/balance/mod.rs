//! Chooses the upstream of an attempt.

mod candidate_pool;
mod hedge_gain;
mod load_picker;
mod observe;
mod path_monitor;
mod pick;
mod probe_budget;
mod probe_plan;
mod report;
mod utility_picker;

pub use self::hedge_gain::LimitedHedgeSettings;
pub use self::load_picker::{LoadPicker, LoadPickerSettings};
pub use self::observe::{ObserveSettings, record_shared_report};
pub use self::path_monitor::{PathChange, PathMonitor, PathResult, PathTrial, PathVerdict};
pub use self::pick::{
    PickPurpose, PickRefusal, PickRequest, RequestProfile, TwoChoicesPicker, UpstreamPicker,
};
pub use self::probe_budget::{
    LeasedProbeBudget, PROBE_SHARE_COUNT, PROBE_SHARE_KIND, SHARE_LEASE_DURATION,
    SHARE_RENEWAL_INTERVAL, SHARE_TAKEOVER_DELAY, ShareLeaseManager,
};
pub use self::probe_plan::{ProbeSettings, next_probe, record_probe_result, record_probe_sent};
pub use self::report::{AttemptReport, AttemptResult, LoadReport};
pub use self::utility_picker::{UtilityPicker, UtilityPickerSettings};
