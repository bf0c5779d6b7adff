//! Picks among the upstreams of a route.
//!
//! [`RandomPicker`] takes the less loaded of two random candidates by this node's own in-flight
//! count, which is exact and free (M. Mitzenmacher, "The Power of Two Choices in Randomized Load
//! Balancing", 2001).

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use crate::balance::report::{AttemptReport, LoadReport};
use crate::core::{ConfigSnapshot, PartIndex, RouteRecord, UpstreamKey, UpstreamState};
use crate::util::SeededRandom;

/// Why an upstream is wanted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum PickPurpose {
    /// For the first attempt.
    #[default]
    First,
    /// For another one after a failure.
    Retry,
    /// For another one beside a slow first one; only an upstream that may be faster helps.
    Hedge,
}

/// What a request is expected to cost, and how long it may take.
#[derive(Clone, Copy, Debug)]
pub struct RequestProfile {
    /// Time that an idle upstream at its usual speed takes.
    pub service_time: Duration,
    /// Factor by which an upstream takes longer while all of its slots are in use.
    pub saturation_factor: f32,
    /// Size of the request and its answer, in kilobytes.
    pub kilobytes: f32,
    /// Time left to the response-time goal of the route; zero if there is none or it has passed.
    pub goal_left: Duration,
    /// Time left to the deadline.
    pub deadline_left: Duration,
    /// Time since the last attempt began.
    pub attempt_elapsed: Duration,
    /// Multiple of its usual time that the last attempt takes at the pace at which its upstream
    /// worked when it began, if that is known.
    pub attempt_slowdown: Option<f32>,
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
        }
    }
}

/// What a pick is made for.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Configuration that the request was admitted under.
    pub snapshot: &'a ConfigSnapshot,
    /// Route of the request.
    pub route: &'a RouteRecord,
    /// Upstreams that earlier attempts of the request went to.
    pub tried: &'a [UpstreamKey],
    /// Part of a split route that the request belongs to.
    pub part: Option<PartIndex>,
    /// Why an upstream is wanted.
    pub purpose: PickPurpose,
    /// What the request is expected to cost.
    pub profile: RequestProfile,
}

impl<'a> PickRequest<'a> {
    /// A first pick for a route that is not split, of unknown cost.
    pub fn new(
        snapshot: &'a ConfigSnapshot,
        route: &'a RouteRecord,
        tried: &'a [UpstreamKey],
    ) -> Self {
        let purpose = PickPurpose::default();
        Self { snapshot, route, tried, part: None, purpose, profile: RequestProfile::default() }
    }

    /// Upstreams among which the request may go.
    pub fn upstreams(&self) -> &'a [UpstreamKey] {
        self.route.upstreams_of(self.part)
    }
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PickRefusal {
    /// There is none that can take the attempt, or none that is worth it.
    NoUpstream,
    /// Those that there are have as much work as requests of this rank may add to.
    Crowded,
}

/// Chooses an upstream.
pub trait UpstreamPicker: Send + Sync + 'static {
    /// Returns an upstream that can take the attempt.
    ///
    /// # Errors
    ///
    /// Returns why there is none; the attempt did not start.
    fn pick(&self, request: PickRequest<'_>) -> Result<UpstreamKey, PickRefusal>;

    /// Learns from a finished attempt.
    fn record_attempt(&self, upstream: &Arc<UpstreamState>, report: AttemptReport);

    /// Learns a report that an upstream gave just before an attempt goes out to it; the attempt is
    /// counted as in flight already.
    fn record_load_report(&self, _upstream: &Arc<UpstreamState>, _report: LoadReport) {}

    /// Whether `chosen` is still as good a choice as any, after what was just learnt about it.
    fn is_still_preferred(&self, _request: PickRequest<'_>, _chosen: UpstreamKey) -> bool {
        true
    }

    /// Time after which a request for which there was no upstream may find one.
    fn retry_after(&self, _request: PickRequest<'_>) -> Option<Duration> {
        None
    }
}

/// Power of two choices on own in-flight counts.
#[derive(Debug)]
pub struct TwoChoicesPicker {
    random: Mutex<SeededRandom>,
}

impl TwoChoicesPicker {
    /// Creates a picker with its source of random numbers.
    pub fn new(random: SeededRandom) -> Self {
        Self { random: Mutex::new(random) }
    }

    fn draw(&self, bound: usize) -> usize {
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
        let first = candidates[self.draw(candidates.len())];
        let second = candidates[self.draw(candidates.len())];
        let inflight = |key| request.snapshot.upstreams.get(key).map_or(u32::MAX, |u| u.inflight());
        Ok(if inflight(second) < inflight(first) { second } else { first })
    }

    fn record_attempt(&self, upstream: &Arc<UpstreamState>, report: AttemptReport) {
        upstream.record_drain_signal(report.is_draining, report.latency);
    }
}

/// Upstreams of the route that are not draining and not in `excluded`.
fn candidates(request: PickRequest<'_>, excluded: &[UpstreamKey]) -> Vec<UpstreamKey> {
    let mut candidates = Vec::with_capacity(request.upstreams().len());
    for key in request.upstreams() {
        let Some(upstream) = request.snapshot.upstreams.get(*key) else { continue };
        if upstream.is_draining() || excluded.contains(key) {
            continue;
        }
        candidates.push(*key);
    }
    candidates
}
