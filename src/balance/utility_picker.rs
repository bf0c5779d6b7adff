//! Picks by what a request is worth to its caller at each upstream.
//!
//! ```text
//! report (running, waiting, speed, age) + own in flight -> expected time -> chance to make the goal
//!     chance - price of the bytes to another failure domain -> value; the highest is picked
//! ```
//!
//! Upstreams share machines with others, which slows them down for a few hundred milliseconds at a
//! time. A report says so at once but is soon out of date, so its weight falls with its age. An
//! upstream works a request off at the pace that its machine has when the work begins
//! (`docs/MEASUREMENTS.md`, "Pace of a request").

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::balance::observe::{self, ObserveSettings};
use crate::balance::pick::{PickPurpose, PickRefusal, PickRequest, RequestProfile, UpstreamPicker};
use crate::balance::report::{AttemptReport, AttemptResult, LoadReport};
use crate::core::{FailureDomain, UpstreamKey, UpstreamState};
use crate::util::{SeededRandom, SharedRandom};

/// Part of the usual work that is taken to be left of an attempt that is nearly or just over it.
const MIN_LEFT_PART: f32 = 0.25;
/// Load of an upstream with nothing but the request in question, and what is left of reports that
/// are forgotten.
const ONE_REQUEST: f32 = 1.2;
/// Least part of an upstream's attempts that succeed, as far as choosing goes.
const MIN_SUCCESS: f32 = 0.02;

/// How values are weighed.
#[derive(Clone, Debug, PartialEq)]
pub struct UtilityPickerSettings {
    /// One-way network delay to another failure domain (`docs/design/choosing.md`).
    pub domain_delay: Duration,
    /// Value lost by each kilobyte that crosses to another failure domain, as a part of a request's
    /// worth (`docs/design/choosing.md`).
    pub kilobyte_cost: f32,
    /// Largest value that bytes can cost.
    pub max_transfer_cost: f32,
    /// Age at which a report of speed has lost most of its weight.
    pub slowdown_report_ttl: Duration,
    /// Time in which most of a failure's weight is lost.
    pub failure_decay_time: Duration,
    /// Part of the time to the goal over which the chance to make it falls.
    pub goal_spread: f32,
    /// Value of an answer that misses the goal but makes the deadline: little for its caller, but
    /// none at all makes the caller ask again.
    pub late_value: f32,
    /// Value lost by waiting for the whole time to the goal; keeps requests off longer queues
    /// while all make it.
    pub wait_cost: f32,
    /// Requests that may wait at an upstream for each of its slots, by the rank of the route;
    /// routes of the last rank or a higher one wait least and are shed first.
    pub waiting_per_slot: [f32; 3],
    /// Part of an upstream's slots up to which work is added that will miss its goal, except on
    /// routes of the highest rank. While slots are scarce it takes them from work that still makes
    /// its goal; upstreams that are nearly idle can spare them.
    pub late_slot_share: f32,
    /// Factor by which an upstream is slower while it warms up.
    pub warm_up_slowdown: f32,
    /// Least part of what a request can still be worth that a hedge must add.
    pub min_hedge_gain: f32,
    /// Multiple of the usual work after which an attempt is late for reasons unknown: its answer
    /// or its connection may be lost.
    pub overdue_factor: f32,
    /// Value by which another upstream must look better than one that has just been asked for its
    /// load; what is known of the other one is older.
    pub recheck_tolerance: f32,
    /// Value gained by an upstream with which a connection is likely open: opening one costs a
    /// round trip here and work there. Less than the cost of waiting for one request.
    pub open_connection_bonus: f32,
    /// Time since the last exchange for which a connection is likely open; within the time for
    /// which idle ones are kept.
    pub open_connection_time: Duration,
    /// Relative size of the random part that spreads entries over equal upstreams.
    pub jitter: f32,
    /// How answers are learnt from.
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
            late_value: 0.28,
            wait_cost: 0.15,
            waiting_per_slot: [1.0, 0.5, 0.25],
            late_slot_share: 0.4,
            warm_up_slowdown: 2.0,
            min_hedge_gain: 0.3,
            overdue_factor: 1.6,
            recheck_tolerance: 0.1,
            open_connection_bonus: 0.006,
            open_connection_time: Duration::from_secs(7),
            jitter: 0.005,
            observe: ObserveSettings::default(),
        }
    }
}

/// Picks the upstream with the highest value.
#[derive(Debug)]
pub struct UtilityPicker {
    failure_domain: FailureDomain,
    settings: UtilityPickerSettings,
    draws: SharedRandom,
}

/// What is expected of one upstream.
#[derive(Clone, Copy, Debug)]
struct UpstreamOutlook {
    key: UpstreamKey,
    expected_secs: f32,
    value: f32,
    /// Whether requests of this rank may add to its work.
    has_room: bool,
}

impl UtilityPicker {
    /// Creates a picker for a node in `failure_domain`; `random` seeds its draws.
    pub fn new(
        failure_domain: FailureDomain,
        settings: UtilityPickerSettings,
        random: SeededRandom,
    ) -> Self {
        Self { failure_domain, settings, draws: SharedRandom::new(random) }
    }

    fn is_remote(&self, upstream: &UpstreamState) -> bool {
        upstream.failure_domain != self.failure_domain
    }

    /// The best upstream outside of `excluded`.
    fn best(
        &self,
        request: PickRequest<'_>,
        excluded: &[UpstreamKey],
        now: Instant,
    ) -> Option<UpstreamOutlook> {
        let mut best: Option<UpstreamOutlook> = None;
        for key in request.upstreams() {
            let Some(upstream) = request.snapshot.upstreams.get(*key) else { continue };
            if upstream.is_draining() || excluded.contains(key) {
                continue;
            }
            let mut outlook = self.outlook(*key, upstream, request, now);
            outlook.value += self.settings.jitter * self.draws.unit();
            if best.is_none_or(|best| outlook.is_better_than(&best)) {
                best = Some(outlook);
            }
        }
        best
    }

    fn outlook(
        &self,
        key: UpstreamKey,
        upstream: &UpstreamState,
        request: PickRequest<'_>,
        now: Instant,
    ) -> UpstreamOutlook {
        let demand = request.profile;
        let load = estimated_load(upstream, demand.service_time.as_secs_f32(), now) + 1.0;
        let mut expected_secs = self.expected_secs(upstream, demand, load, now);
        let mut price = 0.0;
        if self.is_remote(upstream) {
            expected_secs += 2.0 * self.settings.domain_delay.as_secs_f32();
            let transfer = demand.kilobytes * self.settings.kilobyte_cost;
            price = transfer.min(self.settings.max_transfer_cost);
        }
        let mut value = self.use_of(expected_secs, demand) * self.success_part(upstream, now);
        value += self.warm_value(upstream, now) - price;
        let useful = useful_slots(upstream, demand);
        let rank = request.route.spec.rank;
        let makes_goal = expected_secs < demand.goal_left.as_secs_f32();
        let most = if makes_goal || rank == 0 {
            useful + self.queue_part(rank) * useful
        } else {
            (self.settings.late_slot_share * useful).max(ONE_REQUEST)
        };
        let has_room = load <= most;
        UpstreamOutlook { key, expected_secs, value, has_room }
    }

    fn warm_value(&self, upstream: &UpstreamState, now: Instant) -> f32 {
        let view = upstream.stats();
        let age = view.last_exchange_at.get().map(|exchanged| view.age_at(now, exchanged));
        let is_warm = age.is_some_and(|age| age < self.settings.open_connection_time);
        if is_warm { self.settings.open_connection_bonus } else { 0.0 }
    }

    /// Requests that may wait for each slot.
    fn queue_part(&self, rank: u32) -> f32 {
        let last = self.settings.waiting_per_slot.len() - 1;
        self.settings.waiting_per_slot[last.min(rank as usize)]
    }

    /// Use of an answer that is expected after this time, between 0 and 1.
    fn use_of(&self, expected_secs: f32, demand: RequestProfile) -> f32 {
        let settings = &self.settings;
        let goal_secs = demand.goal_left.as_secs_f32();
        let time_secs = demand.deadline_left.as_secs_f32();
        let in_time = chance(time_secs - expected_secs, settings.goal_spread * time_secs);
        if goal_secs <= 0.0 {
            let waited = expected_secs / (time_secs + expected_secs);
            return settings.late_value * in_time * (1.0 - settings.wait_cost * waited);
        }
        let on_time = chance(goal_secs - expected_secs, settings.goal_spread * goal_secs);
        let waited = (expected_secs / goal_secs).min(2.0);
        let late = settings.late_value * (1.0 - on_time) * in_time;
        on_time + late - settings.wait_cost * waited
    }

    /// Whether an attempt at `best` beside the running one adds enough.
    fn is_hedge_worth(
        &self,
        best: &UpstreamOutlook,
        request: PickRequest<'_>,
        now: Instant,
    ) -> bool {
        let makes_goal = best.expected_secs < request.profile.goal_left.as_secs_f32();
        let ceiling = if makes_goal { 1.0 } else { self.settings.late_value };
        let gain = best.value - self.value_of_waiting(request, now);
        gain >= self.settings.min_hedge_gain * ceiling
    }

    /// Value of the answer that the running attempt is expected to bring.
    fn value_of_waiting(&self, request: PickRequest<'_>, now: Instant) -> f32 {
        let running = request.tried.last().and_then(|key| request.snapshot.upstreams.get(*key));
        let Some(upstream) = running else { return 0.0 };
        let left_secs = self.left_secs(upstream, request.profile, now);
        self.use_of(left_secs, request.profile)
    }

    /// Expected time until the running attempt at `upstream` ends.
    fn left_secs(&self, upstream: &UpstreamState, demand: RequestProfile, now: Instant) -> f32 {
        let work_secs = demand.service_time.as_secs_f32();
        let waited_secs = demand.attempt_elapsed.as_secs_f32();
        let usual_left = (work_secs - waited_secs).max(MIN_LEFT_PART * work_secs);
        let slow_secs = match demand.attempt_slowdown {
            Some(pace) => work_secs * (pace - 1.0).max(0.0),
            None => self.slow_secs(upstream, work_secs, now),
        };
        let late_secs = self.settings.overdue_factor * work_secs + slow_secs;
        if waited_secs <= late_secs {
            return (work_secs + slow_secs - waited_secs).max(usual_left);
        }
        // Nothing explains the delay: the longer it has lasted, the less likely it ends at all.
        waited_secs * waited_secs / late_secs
    }

    /// Expected time to the answer of one more request, without the network.
    fn expected_secs(
        &self,
        upstream: &UpstreamState,
        demand: RequestProfile,
        load: f32,
        now: Instant,
    ) -> f32 {
        let settings = &self.settings;
        let work_secs = demand.service_time.as_secs_f32();
        let slots = upstream.spec.slots.max(1) as f32;
        let mut pace = 1.0;
        if load > slots - 0.5 {
            pace *= demand.saturation_factor;
        }
        if upstream.stats().age_at(now, 0) < upstream.spec.warm_up {
            pace *= settings.warm_up_slowdown;
        }
        let queued = (load - slots).max(0.0) / slots;
        let usual_secs = work_secs * pace * (1.0 + queued);
        usual_secs + self.slow_secs(upstream, usual_secs, now)
    }

    /// Time that the slowness of the machine adds to work that begins now, as far as the report of
    /// it can still be trusted.
    fn slow_secs(&self, upstream: &UpstreamState, work_secs: f32, now: Instant) -> f32 {
        let view = upstream.stats();
        let Some(factor) = view.slowdown_factor().filter(|factor| *factor > 1.0) else {
            return 0.0;
        };
        let Some(age) = view.report_age(now) else { return 0.0 };
        let life_secs = self.settings.slowdown_report_ttl.as_secs_f32();
        let trust = (1.0 - age.as_secs_f32() / life_secs).max(0.0);
        trust * work_secs * (factor - 1.0)
    }

    /// Expected part of attempts at the upstream that succeed. Old failures are forgotten, so that
    /// the upstream is tried again.
    fn success_part(&self, upstream: &UpstreamState, now: Instant) -> f32 {
        let view = upstream.stats();
        if view.is_ejected(now) {
            return MIN_SUCCESS;
        }
        let Some(failed) = view.last_failure_at.get() else { return 1.0 };
        let age_secs = view.age_at(now, failed).as_secs_f32();
        let left = (-age_secs / self.settings.failure_decay_time.as_secs_f32()).exp();
        (1.0 - view.error_rate.get() * left).max(MIN_SUCCESS)
    }
}

impl UpstreamPicker for UtilityPicker {
    fn pick(&self, request: PickRequest<'_>) -> Result<UpstreamKey, PickRefusal> {
        let now = Instant::now();
        let best = self.best(request, request.tried, now);
        if request.purpose == PickPurpose::Hedge {
            let best = best.filter(|best| self.is_hedge_worth(best, request, now));
            return best.map(|best| best.key).ok_or(PickRefusal::NoUpstream);
        }
        let best = best.or_else(|| self.best(request, &[], now));
        let best = best.ok_or(PickRefusal::NoUpstream)?;
        let is_hopeless = best.expected_secs > request.profile.deadline_left.as_secs_f32();
        if is_hopeless || !best.has_room {
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
        let own = self.outlook(chosen, upstream, request, now);
        let Some(best) = self.best(request, request.tried, now) else { return true };
        own.has_room >= best.has_room && own.value + self.settings.recheck_tolerance >= best.value
    }

    fn record_attempt(&self, upstream: &Arc<UpstreamState>, report: AttemptReport) {
        if matches!(report.result, AttemptResult::Answered | AttemptResult::Shed) {
            upstream.record_drain_signal(report.is_draining, report.latency);
        }
        observe::record_attempt(upstream, report, Duration::ZERO, &self.settings.observe);
    }

    fn retry_after(&self, request: PickRequest<'_>) -> Option<Duration> {
        // Half of the work later some of what runs now has ended.
        Some(request.profile.service_time / 2)
    }
}

impl UpstreamOutlook {
    fn is_better_than(&self, other: &Self) -> bool {
        (self.has_room, self.value) > (other.has_room, other.value)
    }
}

/// Slots of an upstream whose use makes it faster on the whole.
///
/// One that slows down when it is full may do more work with a slot left free.
fn useful_slots(upstream: &UpstreamState, demand: RequestProfile) -> f32 {
    let slots = upstream.spec.slots.max(1) as f32;
    let is_last_useful = slots / demand.saturation_factor >= slots - 1.0;
    if is_last_useful { slots } else { (slots - 1.0).max(1.0) }
}

/// Requests at the upstream from all entries. What others had there at the last report is
/// forgotten in the time that it takes to work it off.
fn estimated_load(upstream: &UpstreamState, work_secs: f32, now: Instant) -> f32 {
    let view = upstream.stats();
    let own = upstream.inflight() as f32;
    let Some(age) = view.report_age(now) else { return own };
    let left = (-age.as_secs_f32() / work_secs.max(f32::EPSILON)).exp();
    let usual = view.mean_peer_inflight.get();
    own + usual + (view.reported_peer_inflight.get() - usual) * left
}

/// Chance that there is time to spare, for an expected spare time and its spread.
fn chance(spare_secs: f32, spread_secs: f32) -> f32 {
    1.0 / (1.0 + (-spare_secs / spread_secs.max(f32::EPSILON)).exp())
}
