//! Picks the upstream with the highest expected utility for the caller.
//!
//! ```text
//! load report (running, waiting, slowdown, age) + own in flight -> expected completion time
//! expected completion time -> probability of meeting the latency goal
//!     probability - cost of bytes sent to another failure domain -> utility; the highest wins
//! ```
//!
//! Upstreams share their machines with other workloads, which slow them down for a few hundred
//! milliseconds at a time. A load report shows the slowdown at once but is soon stale, so its
//! weight falls with its age. A request is served at the speed that the machine has when service
//! begins (`docs/MEASUREMENTS.md`, "Pace of a request").

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::balance::hedge_gain::LimitedHedgeSettings;
use crate::balance::observe::{self, ObserveSettings};
use crate::balance::pick::{PickPurpose, PickRefusal, PickRequest, RequestProfile, UpstreamPicker};
use crate::balance::report::{AttemptReport, LoadReport};
use crate::core::{FailureDomain, UpstreamKey, UpstreamState};
use crate::util::{SeededRandom, SharedRandom};

/// Highest estimated load at which an upstream counts as idle but for the new request. Above 1,
/// because load from old reports decays without quite disappearing.
const IDLE_LOAD: f32 = 1.2;
/// Lowest success rate assumed, so that an ejected or failing upstream still ranks above none.
const MIN_SUCCESS_RATE: f32 = 0.02;

/// Weights and bounds of a [`UtilityPicker`]. Utilities are relative to 1, the utility of a
/// response that certainly meets the latency goal.
#[derive(Clone, Debug, PartialEq)]
pub struct UtilityPickerSettings {
    /// One-way network delay to another failure domain (`docs/design/choosing.md`).
    pub domain_delay: Duration,
    /// Utility lost per kilobyte that crosses to another failure domain
    /// (`docs/design/choosing.md`).
    pub kilobyte_cost: f32,
    /// Upper bound on the utility lost to transferred bytes.
    pub max_transfer_cost: f32,
    /// Age at which a reported slowdown has lost all of its weight, which falls linearly.
    pub slowdown_report_ttl: Duration,
    /// Time constant with which the weight of the last failure decays exponentially.
    pub failure_decay_time: Duration,
    /// Width of the drop in the probability of meeting the goal, as a fraction of the time left.
    pub goal_spread: f32,
    /// Utility of a response that misses the goal but meets the deadline. It is worth little to
    /// the caller, but without any response the caller would retry.
    pub late_utility: f32,
    /// Utility lost when the expected time equals the time left to the goal; makes shorter queues
    /// preferable while all upstreams would meet the goal.
    pub wait_cost: f32,
    /// Requests that may wait at an upstream per slot, indexed by the rank of the route. Routes of
    /// the last rank or a higher one wait least and are shed first.
    pub waiting_per_slot: [f32; 3],
    /// Fraction of an upstream's slots up to which requests are admitted that will miss their goal,
    /// except on routes of rank 0. While slots are scarce, such requests would take them from
    /// requests that still meet their goal; nearly idle upstreams have slots to spare.
    pub late_slot_share: f32,
    /// Service time of an upstream that is warming up, as a multiple of the usual one.
    pub warm_up_slowdown: f32,
    /// Least utility that a hedge must add, as a fraction of what the request can still be worth.
    pub min_hedge_gain: f32,
    /// When hedges are sent instead, under an operators' limit.
    pub limited_hedge: LimitedHedgeSettings,
    /// Multiple of the usual service time after which nothing known explains the delay of an
    /// attempt: its response or its connection may be lost.
    pub overdue_factor: f32,
    /// Utility by which another upstream must exceed one whose load has just been checked, since
    /// the statistics of the other one are older.
    pub recheck_tolerance: f32,
    /// Utility added for an upstream to which a connection is likely open, since opening one costs
    /// a round trip here and CPU time there. Less than the cost of waiting behind one request.
    pub open_connection_bonus: f32,
    /// Time since the last exchange for which a connection is likely open; shorter than the idle
    /// timeout of connections.
    pub open_connection_time: Duration,
    /// Time after a warm-up for which the upstream gets the same bonus. Most entries have sent it
    /// nothing meanwhile, and would pass it over for those to which they have connections. With
    /// 2 s, it got up to 1.5 times its even share.
    pub reconnect_time: Duration,
    /// Largest random addition to a utility; spreads entries over equally good upstreams.
    pub jitter: f32,
    /// Weights of samples, and outlier ejection.
    pub observe: ObserveSettings,
}

impl Default for UtilityPickerSettings {
    fn default() -> Self {
        Self {
            domain_delay: Duration::from_micros(1500),
            kilobyte_cost: 0.06,
            max_transfer_cost: 0.6,
            slowdown_report_ttl: Duration::from_millis(400),
            failure_decay_time: Duration::from_secs(3),
            goal_spread: 0.15,
            late_utility: 0.28,
            wait_cost: 0.15,
            waiting_per_slot: [1.0, 0.5, 0.25],
            late_slot_share: 0.4,
            warm_up_slowdown: 2.0,
            min_hedge_gain: 0.3,
            limited_hedge: LimitedHedgeSettings::default(),
            overdue_factor: 1.6,
            recheck_tolerance: 0.1,
            open_connection_bonus: 0.006,
            open_connection_time: Duration::from_secs(7),
            reconnect_time: Duration::from_secs(1),
            jitter: 0.005,
            observe: ObserveSettings::default(),
        }
    }
}

/// Picks the upstream with the highest expected utility.
#[derive(Debug)]
pub struct UtilityPicker {
    failure_domain: FailureDomain,
    pub(super) settings: UtilityPickerSettings,
    random: SharedRandom,
}

/// Expected result of sending one more request to an upstream.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamEstimate {
    pub(super) key: UpstreamKey,
    pub(super) expected_secs: f32,
    /// Expected utility for the caller; the cost of transferred bytes is already taken off.
    pub(super) utility: f32,
    /// Whether the upstream may take one more request of this rank.
    has_room: bool,
}

impl UtilityPicker {
    /// Creates a picker for a node in `failure_domain`; `random` seeds its random numbers.
    pub fn new(
        failure_domain: FailureDomain,
        settings: UtilityPickerSettings,
        random: SeededRandom,
    ) -> Self {
        Self { failure_domain, settings, random: SharedRandom::new(random) }
    }

    fn is_remote(&self, upstream: &UpstreamState) -> bool {
        upstream.failure_domain != self.failure_domain
    }

    /// The best upstream that accepts attempts and is not in `excluded`; one with a report of the
    /// preferred age, if one of those has room.
    fn best(
        &self,
        request: PickRequest<'_>,
        excluded: &[UpstreamKey],
        now: Instant,
    ) -> Option<UpstreamEstimate> {
        let preferred = request.preferred_report_age;
        let recent = preferred.and_then(|age| self.best_reported(request, excluded, age, now));
        recent
            .filter(|recent| recent.has_room)
            .or_else(|| self.best_reported(request, excluded, Duration::MAX, now))
    }

    /// The best upstream that accepts attempts, is not in `excluded`, and whose last load report is
    /// at most `max_age` old; with the longest age, those without a report too.
    fn best_reported(
        &self,
        request: PickRequest<'_>,
        excluded: &[UpstreamKey],
        max_age: Duration,
        now: Instant,
    ) -> Option<UpstreamEstimate> {
        let mut best: Option<UpstreamEstimate> = None;
        for key in request.upstreams() {
            let Some(upstream) = request.snapshot.upstreams.get(*key) else { continue };
            if !request.allows(upstream, now) || excluded.contains(key) {
                continue;
            }
            if upstream.stats().report_age(now).unwrap_or(Duration::MAX) > max_age {
                continue;
            }
            let mut estimate = self.estimate(*key, upstream, request, now);
            estimate.utility += self.settings.jitter * self.random.unit();
            if best.is_none_or(|best| estimate.is_better_than(&best)) {
                best = Some(estimate);
            }
        }
        best
    }

    /// Estimate for sending one more request to `upstream`.
    fn estimate(
        &self,
        key: UpstreamKey,
        upstream: &UpstreamState,
        request: PickRequest<'_>,
        now: Instant,
    ) -> UpstreamEstimate {
        let profile = request.profile;
        let load = estimated_load(upstream, profile.service_time.as_secs_f32(), now) + 1.0;
        let mut expected_secs = self.expected_secs(upstream, profile, load, now);
        let mut transfer_cost = 0.0;
        if self.is_remote(upstream) {
            expected_secs += 2.0 * self.settings.domain_delay.as_secs_f32();
            let transfer = profile.kilobytes * self.settings.kilobyte_cost;
            transfer_cost = transfer.min(self.settings.max_transfer_cost);
        }
        let mut utility =
            self.response_utility(expected_secs, profile) * self.success_rate(upstream, now);
        utility += self.open_connection_utility(upstream, now) - transfer_cost;
        let slots = productive_slots(upstream, profile);
        let rank = request.rank;
        let meets_goal = expected_secs < profile.goal_left.as_secs_f32();
        let max_load = if meets_goal || rank == 0 {
            slots + self.max_waiting_per_slot(rank) * slots
        } else {
            (self.settings.late_slot_share * slots).max(IDLE_LOAD)
        };
        let has_room = load <= max_load;
        UpstreamEstimate { key, expected_secs, utility, has_room }
    }

    /// Bonus if a connection to `upstream` is likely open, or if it has just been cold.
    fn open_connection_utility(&self, upstream: &UpstreamState, now: Instant) -> f32 {
        let stats = upstream.stats();
        let age = stats.last_exchange_at.get().map(|exchanged| stats.age_at(now, exchanged));
        let is_open = age.is_some_and(|age| age < self.settings.open_connection_time);
        let warm_age = upstream.warm_up().time_since_end(now);
        let was_cold = warm_age.is_some_and(|age| age < self.settings.reconnect_time);
        if is_open || was_cold { self.settings.open_connection_bonus } else { 0.0 }
    }

    /// Requests of a route of this rank that may wait per slot.
    fn max_waiting_per_slot(&self, rank: u32) -> f32 {
        let last = self.settings.waiting_per_slot.len() - 1;
        self.settings.waiting_per_slot[last.min(rank as usize)]
    }

    /// Utility of a response that is expected after this time: at most 1, and below 0 if it is
    /// expected long after the goal.
    pub(super) fn response_utility(&self, expected_secs: f32, profile: RequestProfile) -> f32 {
        let settings = &self.settings;
        let goal_secs = profile.goal_left.as_secs_f32();
        let deadline_secs = profile.deadline_left.as_secs_f32();
        let deadline_probability =
            probability(deadline_secs - expected_secs, settings.goal_spread * deadline_secs);
        if goal_secs <= 0.0 {
            let wait_share = expected_secs / (deadline_secs + expected_secs);
            return settings.late_utility
                * deadline_probability
                * (1.0 - settings.wait_cost * wait_share);
        }
        let goal_probability =
            probability(goal_secs - expected_secs, settings.goal_spread * goal_secs);
        let wait_share = (expected_secs / goal_secs).min(2.0);
        let late = settings.late_utility * (1.0 - goal_probability) * deadline_probability;
        goal_probability + late - settings.wait_cost * wait_share
    }

    /// Expected time until one more request is answered, without the network.
    fn expected_secs(
        &self,
        upstream: &UpstreamState,
        profile: RequestProfile,
        load: f32,
        now: Instant,
    ) -> f32 {
        let settings = &self.settings;
        let service_secs = profile.service_time.as_secs_f32();
        let slots = upstream.spec.slots.max(1) as f32;
        let mut factor = 1.0;
        if load > slots - 0.5 {
            factor *= profile.saturation_factor;
        }
        let is_starting = upstream.stats().age_at(now, 0) < upstream.spec.warm_up;
        if is_starting || upstream.warm_up().is_cold(now) {
            factor *= settings.warm_up_slowdown;
        }
        let queued = (load - slots).max(0.0) / slots;
        let usual_secs = service_secs * factor * (1.0 + queued);
        usual_secs + self.slowdown_secs(upstream, usual_secs, now)
    }

    /// Time that a slowdown of the upstream's machine adds to service that begins now, weighted by
    /// the age of the report of it.
    pub(super) fn slowdown_secs(
        &self,
        upstream: &UpstreamState,
        service_secs: f32,
        now: Instant,
    ) -> f32 {
        let stats = upstream.stats();
        let Some(factor) = stats.slowdown_factor().filter(|factor| *factor > 1.0) else {
            return 0.0;
        };
        let Some(age) = stats.report_age(now) else { return 0.0 };
        let ttl_secs = self.settings.slowdown_report_ttl.as_secs_f32();
        let weight = (1.0 - age.as_secs_f32() / ttl_secs).max(0.0);
        weight * service_secs * (factor - 1.0)
    }

    /// Expected success rate of attempts at the upstream. The weight of failures decays, so that
    /// the upstream is tried again.
    fn success_rate(&self, upstream: &UpstreamState, now: Instant) -> f32 {
        let stats = upstream.stats();
        if stats.is_ejected(now) {
            return MIN_SUCCESS_RATE;
        }
        let Some(failed_at) = stats.last_failure_at.get() else { return 1.0 };
        let age_secs = stats.age_at(now, failed_at).as_secs_f32();
        let left = (-age_secs / self.settings.failure_decay_time.as_secs_f32()).exp();
        (1.0 - stats.error_rate.get() * left).max(MIN_SUCCESS_RATE)
    }
}

impl UpstreamPicker for UtilityPicker {
    fn pick(&self, request: PickRequest<'_>) -> Result<UpstreamKey, PickRefusal> {
        let now = Instant::now();
        let best = self.best(request, request.tried, now);
        if request.purpose == PickPurpose::Hedge {
            return self.pick_hedge(best, request, now);
        }
        let best = best.or_else(|| self.best(request, &[], now));
        let Some(best) = best else {
            let is_limited = request.opens_in(now).is_some();
            return Err(if is_limited { PickRefusal::Crowded } else { PickRefusal::NoUpstream });
        };
        let misses_deadline = best.expected_secs > request.profile.deadline_left.as_secs_f32();
        if misses_deadline || !best.has_room {
            return Err(PickRefusal::Crowded);
        }
        Ok(best.key)
    }

    fn record_load_report(&self, upstream: &Arc<UpstreamState>, report: LoadReport) {
        observe::record_checked_report(upstream, report, &self.settings.observe);
    }

    fn is_still_preferred(&self, request: PickRequest<'_>, chosen: UpstreamKey) -> bool {
        let Some(upstream) = request.snapshot.upstreams.get(chosen) else { return false };
        let now = Instant::now();
        let chosen = self.estimate(chosen, upstream, request, now);
        let is_limited_hedge = request.purpose == PickPurpose::Hedge && request.is_hedge_limited;
        if is_limited_hedge
            && (!self.is_hedge_worth(&chosen, request, now)
                || self.is_too_full(&chosen, request, now))
        {
            return false;
        }
        let Some(best) = self.best(request, request.tried, now) else { return true };
        chosen.has_room >= best.has_room
            && chosen.utility + self.settings.recheck_tolerance >= best.utility
    }

    fn record_attempt(&self, upstream: &Arc<UpstreamState>, report: AttemptReport) {
        observe::record_drain_signal(upstream, report);
        observe::record_attempt(upstream, report, Duration::ZERO, &self.settings.observe);
    }

    fn retry_after(&self, request: PickRequest<'_>) -> Option<Duration> {
        // Within half a service time, some of the running requests will have finished.
        let wait = request.profile.service_time / 2;
        Some(request.opens_in(Instant::now()).map_or(wait, |open| open.max(wait)))
    }
}

impl UpstreamEstimate {
    fn is_better_than(&self, other: &Self) -> bool {
        (self.has_room, self.utility) > (other.has_room, other.utility)
    }
}

/// Slots of an upstream whose use raises its throughput.
///
/// An upstream that slows down when it is full may have a higher throughput with one slot free.
fn productive_slots(upstream: &UpstreamState, profile: RequestProfile) -> f32 {
    let slots = upstream.spec.slots.max(1) as f32;
    let is_last_productive = slots / profile.saturation_factor >= slots - 1.0;
    if is_last_productive { slots } else { (slots - 1.0).max(1.0) }
}

/// Estimated requests in flight at the upstream from all entries. The peers' in-flight count of the
/// last report decays to its average with the service time, in which those requests finish.
pub(super) fn estimated_load(upstream: &UpstreamState, service_secs: f32, now: Instant) -> f32 {
    let stats = upstream.stats();
    let own = upstream.inflight() as f32;
    let Some(age) = stats.report_age(now) else { return own };
    let left = (-age.as_secs_f32() / service_secs.max(f32::EPSILON)).exp();
    let mean = stats.mean_peer_inflight.get();
    own + mean + (stats.reported_peer_inflight.get() - mean) * left
}

/// Probability of being in time (logistic), for an expected spare time and its spread.
fn probability(spare_secs: f32, spread_secs: f32) -> f32 {
    1.0 / (1.0 + (-spare_secs / spread_secs.max(f32::EPSILON)).exp())
}
