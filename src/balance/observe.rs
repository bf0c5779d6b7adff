//! Updates the statistics of an upstream from finished attempts and load reports, and ejects it
//! after repeated failures (outlier ejection).

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::balance::report::{AttemptReport, AttemptResult, LoadReport};
use crate::core::{UpstreamState, UpstreamStats};
use crate::util::duration_text;

/// Weights of samples in the statistics, and bounds of outlier ejection.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObserveSettings {
    /// Weight of one response in the moving averages of latency and errors.
    pub sample_weight: f32,
    /// Weight of one report in the moving average of the other entries' requests in flight.
    pub report_weight: f32,
    /// Consecutive failures at which an upstream is ejected.
    pub max_failures: u32,
    /// Failures that one refused or broken connection counts as.
    pub connection_failures: u32,
    /// Length of the first ejection; each consecutive one doubles it.
    #[serde(with = "duration_text")]
    pub ejection_time: Duration,
    /// Longest ejection.
    #[serde(with = "duration_text")]
    pub max_ejection_time: Duration,
}

impl Default for ObserveSettings {
    fn default() -> Self {
        Self {
            sample_weight: 0.1,
            report_weight: 0.05,
            max_failures: 4,
            connection_failures: 2,
            ejection_time: Duration::from_secs(1),
            max_ejection_time: Duration::from_secs(20),
        }
    }
}

/// Records one finished attempt; `network` is the network round trip, which is subtracted from its
/// latency.
pub(super) fn record_attempt(
    upstream: &UpstreamState,
    report: AttemptReport,
    network: Duration,
    settings: &ObserveSettings,
) {
    let stats = upstream.stats();
    let latency_secs = report.latency.saturating_sub(network).as_secs_f32();
    match report.result {
        AttemptResult::Answered | AttemptResult::TimedOut => {
            record_latency(stats, latency_secs, settings);
        }
        // The response would have taken longer still.
        AttemptResult::Cancelled if latency_secs > stats.latency_secs.get() => {
            record_latency(stats, latency_secs, settings);
        }
        _ => {}
    }
    // The attempt itself still counts as in flight.
    let own = upstream.inflight().saturating_sub(1);
    record_result(upstream, report, own, settings);
}

/// Records the drain signal of a response, or its absence. Attempts without a response say nothing.
pub(super) fn record_drain_signal(upstream: &UpstreamState, report: AttemptReport) {
    let is_response = matches!(
        report.result,
        AttemptResult::Answered | AttemptResult::ServerError | AttemptResult::Shed
    );
    if !is_response {
        return;
    }
    let was_draining = upstream.is_draining();
    upstream.record_drain_signal(report.is_draining, report.latency);
    if !was_draining && upstream.is_draining() {
        log::info!(target: "upstream", "signals that it is draining instance={}", upstream.name);
    }
}

/// Records a probe: its latency is ignored, and it does not count as in flight.
pub(super) fn record_probe(
    upstream: &UpstreamState,
    report: AttemptReport,
    settings: &ObserveSettings,
) {
    record_result(upstream, report, upstream.inflight(), settings);
}

/// Records a load report that is `age` old, from another entry or from a probe. A report older
/// than the last one recorded is ignored.
pub fn record_shared_report(
    upstream: &UpstreamState,
    report: LoadReport,
    age: Duration,
    settings: &ObserveSettings,
) {
    let stats = upstream.stats();
    let at = stats.nanos_at(Instant::now()).saturating_sub(age.as_nanos() as u64);
    if stats.last_report_at.get().is_some_and(|known| known > at) {
        return;
    }
    record_report(stats, report, upstream.inflight(), at, settings);
}

/// Records a report that the upstream has just given to a load check, on behalf of an attempt that
/// counts as in flight but has not been sent yet.
pub(super) fn record_checked_report(
    upstream: &UpstreamState,
    report: LoadReport,
    settings: &ObserveSettings,
) {
    let stats = upstream.stats();
    let now = stats.nanos_at(Instant::now());
    let own = upstream.inflight().saturating_sub(1);
    record_report(stats, report, own, now, settings);
}

/// Records a report of the time `at`; `own` of the requests in flight are this node's.
fn record_report(
    stats: &UpstreamStats,
    report: LoadReport,
    own: u32,
    at: u64,
    settings: &ObserveSettings,
) {
    record_load(stats, report.inflight as f32 - own as f32, at, settings);
    if let Some(percent) = report.work_percent {
        stats.work_percent.set(percent as f32);
    }
}

/// Records everything about a finished attempt but its latency.
fn record_result(
    upstream: &UpstreamState,
    report: AttemptReport,
    own: u32,
    settings: &ObserveSettings,
) {
    let stats = upstream.stats();
    let now = stats.nanos_at(Instant::now());
    match report.result {
        AttemptResult::Answered => {
            stats.last_response_at.set(now);
            stats.last_exchange_at.set(now);
            record_success(stats, now);
            stats.error_rate.blend(0.0, settings.sample_weight);
            if let Some(load) = report.load {
                record_report(stats, load, own, now, settings);
            }
        }
        AttemptResult::Shed => {
            stats.last_response_at.set(now);
            // An upstream sheds when its queue is full, and the queue holds at least one request
            // per slot.
            let peer_inflight = 2.0 * upstream.spec.slots as f32 - own as f32;
            record_load(stats, peer_inflight, now, settings);
        }
        AttemptResult::ServerError | AttemptResult::TimedOut => {
            record_failure(stats, 1, now, settings)
        }
        AttemptResult::ConnectFailed | AttemptResult::Broken => {
            record_failure(stats, settings.connection_failures, now, settings);
        }
        AttemptResult::Cancelled => {}
    }
}

fn record_latency(stats: &UpstreamStats, secs: f32, settings: &ObserveSettings) {
    if stats.latency_secs.get() <= 0.0 {
        return stats.latency_secs.set(secs);
    }
    stats.latency_secs.blend(secs, settings.sample_weight);
}

fn record_load(stats: &UpstreamStats, peer_inflight: f32, now: u64, settings: &ObserveSettings) {
    let peer_inflight = peer_inflight.max(0.0);
    if stats.last_report_at.get().is_none() {
        stats.mean_peer_inflight.set(peer_inflight);
    } else {
        stats.mean_peer_inflight.blend(peer_inflight, settings.report_weight);
    }
    stats.reported_peer_inflight.set(peer_inflight);
    stats.last_report_at.set(now);
}

fn record_success(stats: &UpstreamStats, now: u64) {
    stats.consecutive_failures.store(0, Ordering::Relaxed);
    let is_over = stats.ejected_until.get().is_some_and(|until| now >= until);
    if is_over {
        stats.ejected_until.clear();
        stats.consecutive_ejections.store(0, Ordering::Relaxed);
    }
}

fn record_failure(stats: &UpstreamStats, weight: u32, now: u64, settings: &ObserveSettings) {
    if stats.ejected_until.get().is_some_and(|until| now < until) {
        // The failure of an attempt that was sent before the ejection adds no information.
        return;
    }
    stats.last_failure_at.set(now);
    stats.error_rate.blend(1.0, settings.sample_weight * weight as f32);
    let failures = stats.consecutive_failures.fetch_add(weight, Ordering::Relaxed) + weight;
    if failures < settings.max_failures {
        return;
    }
    let earlier = stats.consecutive_ejections.fetch_add(1, Ordering::Relaxed);
    let time = settings.ejection_time * 2_u32.saturating_pow(earlier.min(MAX_DOUBLINGS));
    let until = now + time.min(settings.max_ejection_time).as_nanos() as u64;
    // The ejection replaces the error rate, so that the upstream is tried again once it ends.
    stats.error_rate.set(0.0);
    stats.ejected_until.set(until);
    stats.warm_up_started_at.set(until);
}

/// Bound on the doublings of the ejection time, well past its configured maximum.
const MAX_DOUBLINGS: u32 = 10;
