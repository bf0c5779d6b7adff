//! The interface of pickers, which choose an upstream of a route for an attempt.
//!
//! [`TwoChoicesPicker`] takes the one of two random candidates with fewer requests in flight from
//! this node, a count that is exact and free (M. Mitzenmacher, "The Power of Two Choices in
//! Randomized Load Balancing", 2001).

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::balance::report::{AttemptReport, LoadReport};
use crate::core::{
    ConfigSnapshot, PartIndex, RouteRecord, TenantRecord, UpstreamKey, UpstreamState,
};
use crate::util::SeededRandom;

/// Kind of attempt that an upstream is picked for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PickPurpose {
    /// The first attempt of a request.
    #[default]
    First,
    /// Another attempt after a failure.
    Retry,
    /// An attempt beside a slow running one; only an upstream that may respond sooner helps.
    Hedge,
}

/// Expected cost of a request, and the time that it has left.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    /// Service time of an upstream that is neither saturated nor slowed down.
    pub service_time: Duration,
    /// Service time with all slots of an upstream in use, as a multiple of the usual one.
    pub saturation_factor: f32,
    /// Size of the request and its response together, in kilobytes.
    pub kilobytes: f32,
    /// Time left to the latency goal of the route; zero if there is none or it has passed.
    pub goal_left: Duration,
    /// Time left to the deadline.
    pub deadline_left: Duration,
    /// Time since the last attempt was started.
    pub attempt_elapsed: Duration,
    /// Slowdown factor of the last attempt's upstream when that attempt was started, if known.
    pub attempt_slowdown: Option<f32>,
    /// Whether that attempt left no slot of its upstream free, or had to wait for one.
    pub is_attempt_saturated: bool,
}

impl Default for RequestProfile {
    fn default() -> Self {
        Self {
            service_time: Duration::ZERO,
            saturation_factor: 1.0,
            kilobytes: 0.0,
            goal_left: Duration::ZERO,
            deadline_left: Duration::MAX,
            attempt_elapsed: Duration::ZERO,
            attempt_slowdown: None,
            is_attempt_saturated: false,
        }
    }
}

/// Input of a pick.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Configuration under which the request was admitted.
    pub snapshot: &'a ConfigSnapshot,
    /// Route of the request.
    pub route: &'a RouteRecord,
    /// Upstreams of the request's earlier attempts, in order.
    pub tried: &'a [UpstreamKey],
    /// Part of a split route to which the request was assigned.
    pub part: Option<PartIndex>,
    /// Kind of attempt.
    pub purpose: PickPurpose,
    /// Expected cost of the request.
    pub profile: RequestProfile,
    /// Shedding rank of the request; higher ranks are shed first.
    pub rank: u32,
    /// Tenant of the request, whose upstreams may be restricted; `None` without one.
    pub tenant: Option<&'a TenantRecord>,
    /// Upstreams with a load report up to this age come first, if one of them has room; none to
    /// disregard the age.
    pub preferred_report_age: Option<Duration>,
    /// Whether operators limit hedges: a hedge then needs less gain, and is not sent while the
    /// upstreams are full.
    pub is_hedge_limited: bool,
}

impl<'a> PickRequest<'a> {
    /// A first attempt on a route that is not split, with unknown cost.
    pub fn new(
        snapshot: &'a ConfigSnapshot,
        route: &'a RouteRecord,
        tried: &'a [UpstreamKey],
    ) -> Self {
        Self {
            snapshot,
            route,
            tried,
            part: None,
            purpose: PickPurpose::default(),
            profile: RequestProfile::default(),
            rank: route.spec.rank,
            tenant: None,
            preferred_report_age: None,
            is_hedge_limited: false,
        }
    }

    /// Whether the request may be sent to `upstream` now, also by the regions of its tenant.
    pub fn allows(&self, upstream: &UpstreamState, now: Instant) -> bool {
        // A hedge is extra work, which an upstream that is warming up must not get.
        let is_cold_hedge = self.purpose == PickPurpose::Hedge && upstream.warm_up().is_cold(now);
        upstream.accepts_attempts(now)
            && !is_cold_hedge
            && self.tenant.is_none_or(|tenant| tenant.allows_domain(&upstream.failure_domain))
    }

    /// Upstreams to which the request may be sent, draining ones included.
    pub fn upstreams(&self) -> &'a [UpstreamKey] {
        self.route.upstreams_of(self.part)
    }

    /// Time until the first of these upstreams accepts an attempt, at its rate limit or after a pause;
    /// `None` if all are draining or evacuated.
    pub fn opens_in(&self, now: Instant) -> Option<Duration> {
        let mut earliest: Option<Duration> = None;
        for key in self.upstreams() {
            let Some(upstream) = self.snapshot.upstreams.get(*key) else { continue };
            let is_foreign =
                self.tenant.is_some_and(|tenant| !tenant.allows_domain(&upstream.failure_domain));
            if upstream.is_draining() || upstream.is_evacuated() || is_foreign {
                continue;
            }
            let wait = upstream.opens_in(now);
            earliest = Some(earliest.map_or(wait, |earliest| earliest.min(wait)));
        }
        earliest
    }
}

/// Why no upstream was picked.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickRefusal {
    /// No upstream can take the attempt, or none promises a gain over waiting.
    NoUpstream,
    /// The upstreams are loaded up to the bound for requests of this rank, or up to the rate limits
    /// that they name, or have asked for a pause.
    Crowded,
}

/// Chooses the upstream of each attempt and keeps the statistics that it chooses by.
pub trait UpstreamPicker: Send + Sync + 'static {
    /// Picks an upstream for the attempt.
    ///
    /// # Errors
    ///
    /// Returns why there is none; the attempt must not be started.
    fn pick(&self, request: PickRequest<'_>) -> Result<UpstreamKey, PickRefusal>;

    /// Records the outcome of a finished attempt.
    fn record_attempt(&self, upstream: &Arc<UpstreamState>, report: AttemptReport);

    /// Records the answer to a load check just before an attempt is sent; the attempt already
    /// counts as in flight.
    fn record_load_report(&self, _upstream: &Arc<UpstreamState>, _report: LoadReport) {}

    /// Whether `chosen` is still as good as any other upstream after its load check.
    fn is_still_preferred(&self, _request: PickRequest<'_>, _chosen: UpstreamKey) -> bool {
        true
    }

    /// Time after which a pick that failed for want of an upstream is worth repeating; none if the
    /// picker cannot tell.
    fn retry_after(&self, _request: PickRequest<'_>) -> Option<Duration> {
        None
    }
}

/// Picks by power of two choices on this node's in-flight counts.
#[derive(Debug)]
pub struct TwoChoicesPicker {
    random: Mutex<SeededRandom>,
}

impl TwoChoicesPicker {
    /// Creates a picker that draws its candidates from `random`.
    pub fn new(random: SeededRandom) -> Self {
        Self { random: Mutex::new(random) }
    }

    fn random_below(&self, bound: usize) -> usize {
        self.random.lock().unwrap_or_else(PoisonError::into_inner).below(bound)
    }
}

impl UpstreamPicker for TwoChoicesPicker {
    fn pick(&self, request: PickRequest<'_>) -> Result<UpstreamKey, PickRefusal> {
        let mut candidates = candidates(request, request.tried);
        if candidates.is_empty() {
            candidates = self::candidates(request, &[]);
        }
        if candidates.is_empty() {
            return Err(PickRefusal::NoUpstream);
        }
        let first = candidates[self.random_below(candidates.len())];
        let second = candidates[self.random_below(candidates.len())];
        let inflight = |key| request.snapshot.upstreams.get(key).map_or(u32::MAX, |u| u.inflight());
        Ok(if inflight(second) < inflight(first) { second } else { first })
    }

    fn record_attempt(&self, upstream: &Arc<UpstreamState>, report: AttemptReport) {
        upstream.record_drain_signal(report.is_draining, report.latency);
    }
}

/// Upstreams of the route that accept attempts and are not in `excluded`.
fn candidates(request: PickRequest<'_>, excluded: &[UpstreamKey]) -> Vec<UpstreamKey> {
    let now = Instant::now();
    let mut candidates = Vec::with_capacity(request.upstreams().len());
    for key in request.upstreams() {
        let Some(upstream) = request.snapshot.upstreams.get(*key) else { continue };
        if !request.allows(upstream, now) || excluded.contains(key) {
            continue;
        }
        candidates.push(*key);
    }
    candidates
}
