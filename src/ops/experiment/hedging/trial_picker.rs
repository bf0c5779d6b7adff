//! Pickers of a hedging trial: the entries' own picker, and alternatives that differ in when they
//! hedge.

use std::sync::Arc;
use std::time::Duration;

use crate::balance::{
    AttemptReport, AttemptResult, LoadReport, PickPurpose, PickRefusal, PickRequest,
    UpstreamPicker, UtilityPicker,
};
use crate::core::{UpstreamKey, UpstreamState};
use crate::limits::LatencyWindow;
use crate::ops::experiment::hedging::HedgeTrigger;

/// Picks like [`UtilityPicker`], and hedges when the trigger of the trial says so.
#[derive(Debug)]
pub(super) struct TrialPicker {
    pub(super) inner: UtilityPicker,
    pub(super) trigger: HedgeTrigger,
    /// Latencies seen by all entries. One entry alone sees too few for a quantile.
    pub(super) latency: Arc<LatencyWindow>,
}

impl TrialPicker {
    /// Whether a hedge is due by the trigger; `None` if the picker decides by the expected gain.
    fn is_due(&self, request: PickRequest<'_>) -> Option<bool> {
        let profile = request.profile;
        match self.trigger {
            HedgeTrigger::Gain => None,
            HedgeTrigger::Delay(delay) => Some(profile.attempt_elapsed >= delay),
            HedgeTrigger::Quantile(quantile) => {
                let delay = self.latency.quantile(quantile).unwrap_or(Duration::MAX);
                Some(profile.attempt_elapsed >= delay)
            }
            HedgeTrigger::Slowdown(factor) => {
                Some(profile.attempt_slowdown.is_some_and(|slowdown| slowdown >= factor))
            }
        }
    }
}

impl UpstreamPicker for TrialPicker {
    fn pick(&self, request: PickRequest<'_>) -> Result<UpstreamKey, PickRefusal> {
        if request.purpose != PickPurpose::Hedge {
            return self.inner.pick(request);
        }
        let Some(is_due) = self.is_due(request) else { return self.inner.pick(request) };
        let picked = self.inner.pick(PickRequest { purpose: PickPurpose::Retry, ..request })?;
        let is_new = !request.tried.contains(&picked);
        if is_due && is_new { Ok(picked) } else { Err(PickRefusal::NoUpstream) }
    }

    fn record_attempt(&self, upstream: &Arc<UpstreamState>, report: AttemptReport) {
        if report.result == AttemptResult::Answered {
            self.latency.record(report.latency);
        }
        self.inner.record_attempt(upstream, report);
    }

    fn record_load_report(&self, upstream: &Arc<UpstreamState>, report: LoadReport) {
        self.inner.record_load_report(upstream, report);
    }

    fn is_still_preferred(&self, request: PickRequest<'_>, chosen: UpstreamKey) -> bool {
        self.inner.is_still_preferred(request, chosen)
    }

    fn retry_after(&self, request: PickRequest<'_>) -> Option<Duration> {
        self.inner.retry_after(request)
    }
}
