//! Limits on the attempts of one request.

use std::time::Duration;

use crate::core::HeaderNames;
use crate::request::load_check::LoadCheckSettings;
use crate::request::response::RetryAfterFormat;

/// Looks at a running attempt within its usual time.
const HEDGE_LOOKS: u32 = 3;
/// Shortest time between two looks; fresh load arrives no more often.
const MIN_HEDGE_INTERVAL: Duration = Duration::from_millis(10);
/// Longest time between two looks.
const MAX_HEDGE_INTERVAL: Duration = Duration::from_millis(60);

/// When a second attempt is started beside a slow first one.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum HedgeTrigger {
    /// At the quantile of recent latency that the route names.
    #[default]
    LatencyQuantile,
    /// As soon as the picker finds that a second attempt would serve the caller better.
    ExpectedGain,
}

/// Limits on the attempts of one request.
#[derive(Clone, Debug)]
pub struct ExecutionSettings {
    /// Headers of callers and upstreams.
    pub headers: HeaderNames,
    /// When hedges start.
    pub hedge_trigger: HedgeTrigger,
    /// Part of the remaining time that the first attempt of an idempotent request may take while
    /// another one is allowed; it may meet a connection that has gone silent.
    pub first_attempt_ratio: f64,
    /// Time that must be left for another attempt to be started.
    pub min_attempt_time: Duration,
    /// Shortest time before a hedge.
    pub min_hedge_delay: Duration,
    /// Whether upstreams are asked for their load just before a request goes out.
    pub load_checks: Option<LoadCheckSettings>,
    /// How refusals say when to come back.
    pub retry_after_format: RetryAfterFormat,
    /// Time that a request takes outside of this node: on its way, and for opening its connection.
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

/// Time between two looks at whether a hedge would help.
pub(super) fn hedge_interval(work: Duration) -> Duration {
    (work / HEDGE_LOOKS).clamp(MIN_HEDGE_INTERVAL, MAX_HEDGE_INTERVAL)
}
