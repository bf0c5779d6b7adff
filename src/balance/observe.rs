//! Learns from finished attempts.

use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::balance::report::{AttemptReport, AttemptResult, LoadReport};
use crate::core::{UpstreamState, UpstreamStats};
use crate::util::duration_text;

/// How answers are learnt from.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ObserveSettings {
    /// Weight of one answer in the moving averages of latency and errors.
    pub sample_weight: f32,
    /// Weight of one report in the moving average of the other entries' load.
    pub report_weight: f32,
    /// Failures in a row that eject an upstream.
    pub max_failures: u32,
    /// Failures that one refused or broken connection counts for.
    pub connection_failures: u32,
    /// Time of a first ejection; each further one in a row doubles it.
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

/// Updates the view of `upstream` by one finished attempt; `network` is the round trip that is not
/// the upstream's own time.
pub(super) fn record_attempt(
    upstream: &UpstreamState,
    report: AttemptReport,
    network: Duration,
    settings: &ObserveSettings,
) {
    let view = upstream.stats();
    let latency_secs = report.latency.saturating_sub(network).as_secs_f32();
    match report.result {
        AttemptResult::Answered | AttemptResult::TimedOut => {
            record_latency(view, latency_secs, settings);
        }
        // The answer would have taken longer still.
        AttemptResult::Cancelled if latency_secs > view.latency_secs.get() => {
            record_latency(view, latency_secs, settings);
        }
        _ => {}
    }
    // The attempt itself is still counted as in flight.
    let own = upstream.inflight().saturating_sub(1);
    learn_load(upstream, report, own, settings);
}

/// Updates the view by an attempt whose latency tells nothing and that is not counted as in
/// flight.
pub(super) fn record_probe(
    upstream: &UpstreamState,
    report: AttemptReport,
    settings: &ObserveSettings,
) {
    learn_load(upstream, report, upstream.inflight(), settings);
}

/// Learns a report that came `age` ago from another entry, or from a probe; older ones than the
/// last are not used.
pub fn record_shared_report(
    upstream: &UpstreamState,
    report: LoadReport,
    age: Duration,
    settings: &ObserveSettings,
) {
    let view = upstream.stats();
    let at = view.nanos_at(Instant::now()).saturating_sub(age.as_nanos() as u64);
    if view.last_report_at.get().is_some_and(|known| known > at) {
        return;
    }
    record_report(view, report, upstream.inflight(), at, settings);
}

/// Learns a report that the upstream gave just now, to an attempt that is counted as in flight but
/// has not been sent yet.
pub(super) fn record_checked_report(
    upstream: &UpstreamState,
    report: LoadReport,
    settings: &ObserveSettings,
) {
    let view = upstream.stats();
    let now = view.nanos_at(Instant::now());
    let own = upstream.inflight().saturating_sub(1);
    record_report(view, report, own, now, settings);
}

/// Records a report of the time `at`, with `own` requests of this node among those in flight.
fn record_report(
    view: &UpstreamStats,
    report: LoadReport,
    own: u32,
    at: u64,
    settings: &ObserveSettings,
) {
    record_load(view, report.inflight as f32 - own as f32, at, settings);
    if let Some(percent) = report.work_percent {
        view.work_percent.set(percent as f32);
    }
}

fn learn_load(
    upstream: &UpstreamState,
    report: AttemptReport,
    own: u32,
    settings: &ObserveSettings,
) {
    let view = upstream.stats();
    let now = view.nanos_at(Instant::now());
    match report.result {
        AttemptResult::Answered => {
            view.last_response_at.set(now);
            view.last_exchange_at.set(now);
            record_success(view, now);
            view.error_rate.blend(0.0, settings.sample_weight);
            if let Some(load) = report.load {
                record_report(view, load, own, now, settings);
            }
        }
        AttemptResult::Shed => {
            view.last_response_at.set(now);
            // A full queue is at least as long as the slots are many.
            let others = 2.0 * upstream.spec.slots as f32 - own as f32;
            record_load(view, others, now, settings);
        }
        AttemptResult::ServerError | AttemptResult::TimedOut => {
            record_failure(view, 1, now, settings)
        }
        AttemptResult::ConnectFailed | AttemptResult::Broken => {
            record_failure(view, settings.connection_failures, now, settings);
        }
        AttemptResult::Cancelled => {}
    }
}

fn record_latency(view: &UpstreamStats, secs: f32, settings: &ObserveSettings) {
    if view.latency_secs.get() <= 0.0 {
        return view.latency_secs.set(secs);
    }
    view.latency_secs.blend(secs, settings.sample_weight);
}

fn record_load(view: &UpstreamStats, others: f32, now: u64, settings: &ObserveSettings) {
    let others = others.max(0.0);
    if view.last_report_at.get().is_none() {
        view.mean_peer_inflight.set(others);
    } else {
        view.mean_peer_inflight.blend(others, settings.report_weight);
    }
    view.reported_peer_inflight.set(others);
    view.last_report_at.set(now);
}

fn record_success(view: &UpstreamStats, now: u64) {
    view.consecutive_failures.store(0, Ordering::Relaxed);
    let is_over = view.ejected_until.get().is_some_and(|until| now >= until);
    if is_over {
        view.ejected_until.clear();
        view.consecutive_ejections.store(0, Ordering::Relaxed);
    }
}

fn record_failure(view: &UpstreamStats, weight: u32, now: u64, settings: &ObserveSettings) {
    if view.ejected_until.get().is_some_and(|until| now < until) {
        // An attempt from before the ejection tells nothing new.
        return;
    }
    view.last_failure_at.set(now);
    view.error_rate.blend(1.0, settings.sample_weight * weight as f32);
    let failures = view.consecutive_failures.fetch_add(weight, Ordering::Relaxed) + weight;
    if failures < settings.max_failures {
        return;
    }
    let earlier = view.consecutive_ejections.fetch_add(1, Ordering::Relaxed);
    let time = settings.ejection_time * 2_u32.saturating_pow(earlier.min(MAX_DOUBLINGS));
    let until = now + time.min(settings.max_ejection_time).as_nanos() as u64;
    // The ejection takes the place of the cost, so that the upstream is tried again after it.
    view.error_rate.set(0.0);
    view.ejected_until.set(until);
    view.warm_up_started_at.set(until);
}

/// Doublings after which an ejection has its longest time for certain.
const MAX_DOUBLINGS: u32 = 10;
