//! Times at which an entry reads the store, derived from the bounds for applying changes.
//!
//! Each step from the store's acknowledgement until a change is in force has a share of the bound. In
//! calm the steps of a change add up to at most half of it. The other half is for one fault: a leader
//! that stops, a store call that is slow or gets no response, or a message that is lost.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::util::duration_text;

/// Wait of the leader's watch, as a share of the bound.
const WATCH_WAIT_RATIO: f64 = 0.44;
/// Round trip of a store call in calm, as a share of the bound.
const ROUND_TRIP_RATIO: f64 = 0.015;
/// Delivery of a message to the entries of a domain in calm, as a share of the bound.
const DELIVERY_RATIO: f64 = 0.03;
/// Timeout of a store call, as a share of the bound.
const CALL_TIMEOUT_RATIO: f64 = 0.35;
/// Backoff after the first failed call, as a share of the bound.
const MIN_BACKOFF_RATIO: f64 = 0.05;
/// Largest factor of the jitter of a backoff.
const MAX_BACKOFF_JITTER: f64 = 1.5;
/// Age of the last confirmation at which an entry reads for itself, as a share of the bound: the
/// wait of the leader's watch, and time for a slow call and a late message.
const CONFIRMATION_LIMIT_RATIO: f64 = 0.625;
/// Age of the last read of the configuration at which an entry of a full mesh that enrols reads it,
/// as a share of the bound. The messages after the second round of the enrolment show whether the
/// domain is a large one, where this would cost a call for each entry.
const ENROLMENT_READ_RATIO: f64 = 0.41;
/// Time from one round of an enrolment to the next, as a share of the bound.
const ENROLMENT_ROUND_RATIO: f64 = 0.35;
/// Age of the last confirmation at which an entry that enrols reads everything for itself, as a share
/// of the bound. The later this is, the more entries are listed by then, which saves their calls.
const MESH_ENROLMENT_LIMIT_RATIO: f64 = 0.8;
/// The same in a large domain, whose entries are nearly all listed by then.
const DOMAIN_ENROLMENT_LIMIT_RATIO: f64 = 1.25;
/// Stagger of each further entry, as a share of the bound, so that the result of the first one
/// saves the others their read.
const RANK_DELAY_RATIO: f64 = 0.02;
/// Rank above which store calls are no longer staggered.
const MAX_DELAYED_RANK: u32 = 8;
/// Minimum time between the starts of two watches, as a share of the bound, so that a burst of
/// changes costs one call.
const MIN_WATCH_INTERVAL_RATIO: f64 = 0.125;
/// Minimum time between the starts of two reads that close a gap, as a share of the bound.
const MIN_CATCH_UP_INTERVAL_RATIO: f64 = 0.15;
/// Time that an entry waits for a missed change to arrive before it reads the store, as a share of
/// the bound: the leader sends to the entries of its domain one after the other, over slow links.
const CATCH_UP_DELAY_RATIO: f64 = 0.1;
/// Time over which the entries of a large domain spread such reads, by their names, as a share of
/// the bound. A message to all of a large domain takes some tenths of a second over a slow link, and
/// most of them still get the change while they wait.
const CATCH_UP_SPREAD_RATIO: f64 = 0.125;
/// The same for an entry that has just started. The entries that start together write to the store,
/// so an earlier read would have to be repeated.
const START_CATCH_UP_SPREAD_RATIO: f64 = 0.34;
/// Longest wait for missing parts of a configuration from when the gap was noticed, as a share of
/// the bound. In a series of versions there is always another one whose parts may still arrive.
const MAX_PART_WAIT_RATIO: f64 = 0.4;
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

/// When an entry reads the store. All times but `min_outage` are shares of the bound for changes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ReadSchedule {
    /// Time that the leader's watch waits for changes.
    pub watch_wait: Duration,
    /// Allowance for the round trip of a store call in calm.
    pub round_trip: Duration,
    /// Allowance for the delivery of a message in calm.
    pub delivery: Duration,
    /// Timeout of a store call, on top of the wait that a watch asks for.
    pub call_timeout: Duration,
    /// Backoff after the first failed call, without its jitter.
    pub min_backoff: Duration,
    /// Age of the last confirmation at which an entry other than the leader reads for itself.
    pub confirmation_limit: Duration,
    /// Age of the last read of the configuration at which an entry of a full mesh that enrols reads it.
    pub enrolment_read: Duration,
    /// Time from one round of an enrolment to the next.
    pub enrolment_round: Duration,
    /// Age of the last confirmation at which an entry of a full mesh that enrols reads everything.
    pub mesh_enrolment_limit: Duration,
    /// The same in a large domain.
    pub domain_enrolment_limit: Duration,
    /// Addition to `confirmation_limit` per rank.
    pub rank_delay: Duration,
    /// Shortest time between the starts of two watches.
    pub min_watch_interval: Duration,
    /// Shortest time between the starts of two reads that close a gap.
    pub min_catch_up_interval: Duration,
    /// Time from a gap that is noticed to the first read that closes it.
    pub catch_up_delay: Duration,
    /// Spread of these reads in a large domain.
    pub catch_up_spread: Duration,
    /// The same for an entry that has just started.
    pub start_catch_up_spread: Duration,
    /// Longest wait for missing parts of a configuration.
    pub max_part_wait: Duration,
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
            round_trip: bound.mul_f64(ROUND_TRIP_RATIO),
            delivery: bound.mul_f64(DELIVERY_RATIO),
            call_timeout: bound.mul_f64(CALL_TIMEOUT_RATIO),
            min_backoff: bound.mul_f64(MIN_BACKOFF_RATIO),
            confirmation_limit: bound.mul_f64(CONFIRMATION_LIMIT_RATIO),
            enrolment_read: bound.mul_f64(ENROLMENT_READ_RATIO),
            enrolment_round: bound.mul_f64(ENROLMENT_ROUND_RATIO),
            mesh_enrolment_limit: bound.mul_f64(MESH_ENROLMENT_LIMIT_RATIO),
            domain_enrolment_limit: bound.mul_f64(DOMAIN_ENROLMENT_LIMIT_RATIO),
            rank_delay: bound.mul_f64(RANK_DELAY_RATIO),
            min_watch_interval: bound.mul_f64(MIN_WATCH_INTERVAL_RATIO),
            min_catch_up_interval: bound.mul_f64(MIN_CATCH_UP_INTERVAL_RATIO),
            catch_up_delay: bound.mul_f64(CATCH_UP_DELAY_RATIO),
            catch_up_spread: bound.mul_f64(CATCH_UP_SPREAD_RATIO),
            start_catch_up_spread: bound.mul_f64(START_CATCH_UP_SPREAD_RATIO),
            max_part_wait: bound.mul_f64(MAX_PART_WAIT_RATIO),
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

    /// Age of the last read of the configuration at which an entry of a full mesh that enrols reads it,
    /// by the position of its name, from 0 to 1.
    pub fn enrolment_read_limit(&self, position: f64) -> Duration {
        self.enrolment_read + self.enrolment_spread(position) / 4
    }

    /// Age of the last confirmation at which an entry that enrols reads everything for itself, without
    /// its part of the spread.
    pub fn enrolment_limit(&self, is_full_mesh: bool) -> Duration {
        if is_full_mesh { self.mesh_enrolment_limit } else { self.domain_enrolment_limit }
    }

    /// Longest time of a change in calm by way of the leader: its watch, its read of the
    /// configuration and its message.
    pub fn leader_time(&self) -> Duration {
        self.watch_wait + 2 * self.round_trip + self.delivery
    }

    /// Longest time of a change in calm at an entry of a full mesh that enrols: others may not know it
    /// yet, so it reads for itself.
    pub fn enrolment_time(&self) -> Duration {
        self.enrolment_read_limit(1.0) + self.round_trip
    }

    /// Longest time of a change if the leader has died: an entry reads for itself and tells the
    /// others.
    pub fn successor_time(&self) -> Duration {
        let limit = self.confirmation_limit + self.delay_of_rank(MAX_DELAYED_RANK);
        limit + 2 * self.round_trip + self.delivery
    }

    /// Addition to the time of a change by a read whose response is lost, and its repeat.
    pub fn repeat_time(&self) -> Duration {
        self.call_timeout + self.min_backoff.mul_f64(MAX_BACKOFF_JITTER) + self.round_trip
    }

    /// Addition to the time of a change by a lost message: the entry waits for it and reads for
    /// itself, in a large domain after its part of the spread.
    pub fn catch_up_time(&self, is_starting: bool) -> Duration {
        let spread = if is_starting { self.start_catch_up_spread } else { self.catch_up_spread };
        self.catch_up_delay + spread + 2 * self.round_trip
    }
}

impl Default for ReadSchedule {
    fn default() -> Self {
        Self::new(&ChangeBounds::default())
    }
}
