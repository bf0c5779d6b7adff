//! Times at which an entry reads the store, from the bounds that changes are due in.
//!
//! The longest way of a change is a watch of the reader that goes silent with it: the others notice
//! at their confirmation limit, one after the other, and read for themselves. What is left of the
//! bound is for that read, its messages and slow machines.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::util::duration_text;

/// Part of the bound that the reader's watch waits.
const WATCH_PART: f64 = 0.5;
/// Part of the bound after which an unconfirmed entry reads for itself; the reader's wait and some
/// messages.
const CONFIRM_PART: f64 = 0.625;
/// Part of the bound by which each further entry starts later, so that the first one's result saves
/// the others their read.
const RANK_PART: f64 = 0.02;
/// Bound beyond which following more slowly would save few calls.
const MAX_BOUND: Duration = Duration::from_secs(2);
/// Heartbeats without any confirmation that count as an outage in which registrations may have
/// lapsed: they lapse after three, of which one may be over when the outage begins.
const OUTAGE_HEARTBEATS: f64 = 5.0 / 3.0;

/// How soon the platform wants changes to be in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChangeBounds {
    /// Time from the store's acknowledgement of a configuration until it is in force everywhere.
    #[serde(with = "duration_text")]
    pub config: Duration,
    /// Time from the acknowledgement of an upstream's leaving until it gets nothing new.
    #[serde(with = "duration_text")]
    pub drain: Duration,
    /// Time between two signs of life of an upstream in the store; it lapses after three.
    #[serde(with = "duration_text")]
    pub heartbeat: Duration,
}

impl Default for ChangeBounds {
    fn default() -> Self {
        let bound = Duration::from_secs(2);
        Self { config: bound, drain: bound, heartbeat: Duration::from_millis(1500) }
    }
}

/// When an entry reads the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadSchedule {
    /// Time that the reader's watch waits.
    pub watch_wait: Duration,
    /// Age of the last confirmation at which an entry that is not the reader reads for itself.
    pub confirmation_limit: Duration,
    /// Later start of each further entry.
    pub rank_delay: Duration,
    /// Time without any confirmation that counts as an outage.
    pub min_outage: Duration,
}

impl ReadSchedule {
    /// The times that keep `bounds`.
    pub fn new(bounds: &ChangeBounds) -> Self {
        let min_outage = bounds.heartbeat.mul_f64(OUTAGE_HEARTBEATS);
        // Entries that read for themselves in time must not take a dead reader for an outage.
        let bound = bounds.config.min(bounds.drain).min(min_outage).min(MAX_BOUND);
        Self {
            watch_wait: bound.mul_f64(WATCH_PART),
            confirmation_limit: bound.mul_f64(CONFIRM_PART),
            rank_delay: bound.mul_f64(RANK_PART),
            min_outage,
        }
    }
}

impl Default for ReadSchedule {
    fn default() -> Self {
        Self::new(&ChangeBounds::default())
    }
}
