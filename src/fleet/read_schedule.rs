//! Times at which an entry reads the store, derived from the bounds for applying changes.
//!
//! A change takes longest when the leader's watch stops responding: the other entries notice at
//! their confirmation limit, staggered by rank, and read for themselves. The rest of the bound is
//! for that read, the messages about it and slow machines.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::util::duration_text;

/// Wait of the leader's watch, as a share of the bound.
const WATCH_WAIT_RATIO: f64 = 0.5;
/// Age of the last confirmation at which an entry reads for itself, as a share of the bound: the
/// wait of the leader's watch and a few messages.
const CONFIRMATION_LIMIT_RATIO: f64 = 0.625;
/// Stagger of each further entry, as a share of the bound, so that the result of the first one
/// saves the others their read.
const RANK_DELAY_RATIO: f64 = 0.02;
/// Rank above which store calls are no longer staggered.
const MAX_DELAYED_RANK: u32 = 8;
/// Cap on the bound; a slower schedule would save few calls.
const MAX_BOUND: Duration = Duration::from_secs(2);
/// Heartbeat intervals without any confirmation from which registrations may have expired. They
/// expire after three missed heartbeats, one of which may precede the outage.
const OUTAGE_HEARTBEATS: f64 = 5.0 / 3.0;

/// Time by which repeats stop before a configuration that this entry does not know is due.
const CONFIRMATION_MARGIN: Duration = Duration::from_millis(100);

/// Bounds of the platform for applying changes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ChangeBounds {
    /// Time from the store's acknowledgement of a configuration until it is active on every entry.
    #[serde(with = "duration_text")]
    pub config: Duration,
    /// Time from the store's acknowledgement of an upstream's draining until it gets no new
    /// requests.
    #[serde(with = "duration_text")]
    pub drain: Duration,
    /// Time between two heartbeats of an upstream to the store; its registration expires after
    /// three missed ones.
    #[serde(with = "duration_text")]
    pub heartbeat: Duration,
}

impl Default for ChangeBounds {
    fn default() -> Self {
        let bound = Duration::from_secs(2);
        Self { config: bound, drain: bound, heartbeat: Duration::from_millis(1500) }
    }
}

impl ChangeBounds {
    /// Age of the last read of the configuration up to which it counts as the newest one. A later
    /// one is due on this entry only after [`Self::config`], and it may forbid repeats.
    pub fn max_confirmed_age(&self) -> Duration {
        self.config.saturating_sub(CONFIRMATION_MARGIN)
    }
}

/// When an entry reads the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadSchedule {
    /// Time that the leader's watch waits for changes.
    pub watch_wait: Duration,
    /// Age of the last confirmation at which an entry other than the leader reads for itself.
    pub confirmation_limit: Duration,
    /// Addition to `confirmation_limit` per rank.
    pub rank_delay: Duration,
    /// Shortest time without any confirmation that counts as an outage.
    pub min_outage: Duration,
}

impl ReadSchedule {
    /// Schedule that keeps `bounds`.
    pub fn new(bounds: &ChangeBounds) -> Self {
        let min_outage = bounds.heartbeat.mul_f64(OUTAGE_HEARTBEATS);
        // Entries must read for themselves before a dead leader would look like an outage.
        let bound = bounds.config.min(bounds.drain).min(min_outage).min(MAX_BOUND);
        Self {
            watch_wait: bound.mul_f64(WATCH_WAIT_RATIO),
            confirmation_limit: bound.mul_f64(CONFIRMATION_LIMIT_RATIO),
            rank_delay: bound.mul_f64(RANK_DELAY_RATIO),
            min_outage,
        }
    }

    /// Stagger of the store calls of the entry with this rank in its failure domain.
    pub fn delay_of_rank(&self, rank: u32) -> Duration {
        self.rank_delay * rank.min(MAX_DELAYED_RANK)
    }

    /// Stagger of the store calls of an entry that does not know its rank yet, by the position of its
    /// name, from 0 to 1.
    pub fn enrolment_spread(&self, position: f64) -> Duration {
        self.delay_of_rank(MAX_DELAYED_RANK).mul_f64(position)
    }
}

impl Default for ReadSchedule {
    fn default() -> Self {
        Self::new(&ChangeBounds::default())
    }
}
