//! Counts of the hedges of one route, by outcome and by the reason for not starting one.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Shortest time between two log lines of a route about the same event.
const LOG_INTERVAL: Duration = Duration::from_secs(60);

/// What became of a hedge. A request counts at most one reason for not starting a hedge: the last
/// one, if it ended without a hedge.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HedgeEvent {
    /// A hedge was sent.
    Started,
    /// The hedge answered the caller.
    Won,
    /// The hedge did not answer the caller: it was cancelled or failed.
    Lost,
    /// Not started: the limit of the route or the service was reached, and a gain was expected.
    Limit,
    /// Not started: the shared budget for repeats was spent.
    SharedBudget,
    /// Not started: no upstream promised a sufficient gain.
    NoGain,
    /// Not started: a gain was expected, but the upstreams are too full.
    Full,
    /// Not started: the configuration was not confirmed.
    Unconfirmed,
}

/// All events, in the order of their counters.
pub const HEDGE_EVENTS: [HedgeEvent; 8] = [
    HedgeEvent::Started,
    HedgeEvent::Won,
    HedgeEvent::Lost,
    HedgeEvent::Limit,
    HedgeEvent::SharedBudget,
    HedgeEvent::NoGain,
    HedgeEvent::Full,
    HedgeEvent::Unconfirmed,
];

impl HedgeEvent {
    /// Label of the event in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Started => "started",
            Self::Won => "won",
            Self::Lost => "lost",
            Self::Limit => "not_started_limit",
            Self::SharedBudget => "not_started_shared_budget",
            Self::NoGain => "not_started_no_gain",
            Self::Full => "not_started_full",
            Self::Unconfirmed => "not_started_unconfirmed",
        }
    }
}

/// Number of each [`HedgeEvent`] of one route since the start of the entry.
#[derive(Debug)]
pub struct HedgeCounts {
    created: Instant,
    counts: [AtomicU64; HEDGE_EVENTS.len()],
    /// When the next log line about each event is due, in nanoseconds after `created`.
    log_due_nanos: [AtomicU64; HEDGE_EVENTS.len()],
}

impl Default for HedgeCounts {
    fn default() -> Self {
        Self {
            created: Instant::now(),
            counts: Default::default(),
            log_due_nanos: Default::default(),
        }
    }
}

impl HedgeCounts {
    /// Counts an event.
    pub fn record(&self, event: HedgeEvent) {
        self.counts[event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Whether a log line about this event is due; if so, the next one is due after an interval.
    pub fn take_log_turn(&self, event: HedgeEvent) -> bool {
        let now = self.created.elapsed();
        let next = (now + LOG_INTERVAL).as_nanos() as u64;
        let update = |due: u64| (due <= now.as_nanos() as u64).then_some(next);
        let due_nanos = &self.log_due_nanos[event as usize];
        due_nanos.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update).is_ok()
    }

    /// Number of events of this kind so far.
    pub fn get(&self, event: HedgeEvent) -> u64 {
        self.counts[event as usize].load(Ordering::Relaxed)
    }
}
