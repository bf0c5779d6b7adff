//! Settings of the attempts, retries, hedges and load checks of requests.

use std::time::Duration;

use crate::core::HeaderNames;
use crate::request::load_check::LoadCheckSettings;
use crate::request::response::RetryAfterFormat;

/// How often a hedge is considered within the usual service time of a running attempt.
const HEDGE_EVALUATIONS: u32 = 3;
/// Shortest time between two considerations of a hedge; load reports arrive no more often.
const MIN_HEDGE_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time between two considerations of a hedge.
const MAX_HEDGE_INTERVAL: Duration = Duration::from_millis(60);

/// What triggers a hedge.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum HedgeTrigger {
    /// The attempt has taken longer than the route's configured quantile of recent latencies.
    #[default]
    LatencyQuantile,
    /// The picker expects a second attempt to serve the caller better.
    ExpectedGain,
}

/// Settings of the attempts of a request.
#[derive(Clone, Debug)]
pub struct ExecutionSettings {
    /// Names of the headers exchanged with callers and upstreams.
    pub headers: HeaderNames,
    /// What triggers a hedge.
    pub hedge_trigger: HedgeTrigger,
    /// Fraction of the remaining time, 0 to 1, after which the first attempt of an idempotent
    /// request times out if another one is allowed: its connection may have become unresponsive.
    pub first_attempt_ratio: f64,
    /// No attempt starts with less time than this left before the deadline.
    pub min_attempt_time: Duration,
    /// Shortest time from the start of the first attempt to the hedge.
    pub min_hedge_delay: Duration,
    /// Load checks just before an attempt; none disables them.
    pub load_checks: Option<LoadCheckSettings>,
    /// Format of `Retry-After` where the picker knows when an upstream becomes available.
    pub retry_after_format: RetryAfterFormat,
    /// Latency that the caller sees in addition to the time at this node: network transfer and
    /// connection setup. Subtracted from the latency goal of the route.
    pub external_latency: Duration,
}

impl Default for ExecutionSettings {
    fn default() -> Self {
        Self {
            headers: HeaderNames::default(),
            hedge_trigger: HedgeTrigger::default(),
            first_attempt_ratio: 0.5,
            min_attempt_time: Duration::from_millis(1),
            min_hedge_delay: Duration::from_millis(1),
            load_checks: None,
            retry_after_format: RetryAfterFormat::default(),
            external_latency: Duration::ZERO,
        }
    }
}

/// Time between two considerations of a hedge for a request with this service time.
pub(super) fn hedge_interval(service_time: Duration) -> Duration {
    (service_time / HEDGE_EVALUATIONS).clamp(MIN_HEDGE_INTERVAL, MAX_HEDGE_INTERVAL)
}
