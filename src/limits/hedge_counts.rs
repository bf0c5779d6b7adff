//! Counts of the hedges of one route, by outcome and by the reason for not starting one.

use std::sync::atomic::{AtomicU64, Ordering};

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
#[derive(Debug, Default)]
pub struct HedgeCounts {
    counts: [AtomicU64; HEDGE_EVENTS.len()],
}

impl HedgeCounts {
    /// Counts an event.
    pub fn record(&self, event: HedgeEvent) {
        self.counts[event as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Number of events of this kind so far.
    pub fn get(&self, event: HedgeEvent) -> u64 {
        self.counts[event as usize].load(Ordering::Relaxed)
    }
}
