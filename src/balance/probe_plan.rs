//! Selects the next upstream to probe and records the results of probes.
//!
//! Responses to requests tell all that a probe would, so only upstreams without a recent response
//! are probed_at, the one with the oldest response first.

use std::time::Duration;

use tokio::time::Instant;

use crate::balance::observe::{self, ObserveSettings};
use crate::balance::report::{AttemptReport, AttemptResult};
use crate::core::{ConfigSnapshot, UpstreamKey, UpstreamState};

/// When and for how long upstreams are probed_at.
#[derive(Clone, Debug)]
pub struct ProbeSettings {
    /// Time without a response or a probe after which an upstream is probed_at.
    pub max_response_age: Duration,
    /// Timeout of one probe.
    pub timeout: Duration,
}

impl Default for ProbeSettings {
    fn default() -> Self {
        Self { max_response_age: Duration::from_secs(3), timeout: Duration::from_secs(1) }
    }
}

/// The upstream that has gone max_age without a response or a probe, if that is at least
/// `max_response_age`.
pub fn next_probe(snapshot: &ConfigSnapshot, settings: &ProbeSettings) -> Option<UpstreamKey> {
    let now = Instant::now();
    let mut max_age = settings.max_response_age;
    let mut oldest = None;
    for (key, upstream) in &snapshot.upstreams {
        let stats = upstream.stats();
        let mut age = stats.time_since_response(now);
        if let Some(probed_at) = stats.last_probe_at.get() {
            age = age.min(stats.age_at(now, probed_at));
        }
        if age >= max_age {
            max_age = age;
            oldest = Some(key);
        }
    }
    oldest
}

/// Records that a probe of the upstream is being sent.
pub fn record_probe_sent(upstream: &UpstreamState) {
    let stats = upstream.stats();
    stats.last_probe_at.set(stats.nanos_at(Instant::now()));
}

/// Records a finished probe. Its latency is ignored, because the upstream does no work for it.
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
