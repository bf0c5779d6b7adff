//! Which upstream is probed next, and what a probe teaches.
//!
//! Answers to requests tell all that a probe would tell, so only an upstream that this node has
//! not heard from for a while is probed, the longest unheard one first.

use std::time::Duration;

use tokio::time::Instant;

use crate::balance::observe::{self, ObserveSettings};
use crate::balance::report::{AttemptReport, AttemptResult};
use crate::core::{ConfigSnapshot, UpstreamKey, UpstreamState};

/// When an upstream is probed.
#[derive(Clone, Debug)]
pub struct ProbeSettings {
    /// Time without an answer or a probe after which an upstream is probed.
    pub max_response_age: Duration,
    /// Time for one probe.
    pub timeout: Duration,
}

impl Default for ProbeSettings {
    fn default() -> Self {
        Self { max_response_age: Duration::from_secs(3), timeout: Duration::from_secs(1) }
    }
}

/// The upstream that has been silent for longest, if any has for the time in `settings`.
pub fn next_probe(snapshot: &ConfigSnapshot, settings: &ProbeSettings) -> Option<UpstreamKey> {
    let now = Instant::now();
    let mut longest = settings.max_response_age;
    let mut chosen = None;
    for (key, upstream) in &snapshot.upstreams {
        let view = upstream.stats();
        let mut quiet = view.time_since_response(now);
        if let Some(probed) = view.last_probe_at.get() {
            quiet = quiet.min(view.age_at(now, probed));
        }
        if quiet >= longest {
            longest = quiet;
            chosen = Some(key);
        }
    }
    chosen
}

/// Records that a probe is sent to the upstream.
pub fn record_probe_sent(upstream: &UpstreamState) {
    let view = upstream.stats();
    view.last_probe_at.set(view.nanos_at(Instant::now()));
}

/// Learns from a finished probe. Its latency is left out, because a probe does no work.
pub fn record_probe_result(
    upstream: &UpstreamState,
    report: AttemptReport,
    settings: &ObserveSettings,
) {
    if matches!(report.result, AttemptResult::Answered | AttemptResult::Shed) {
        upstream.record_drain_signal(report.is_draining, report.latency);
    }
    observe::record_probe(upstream, report, settings);
}
