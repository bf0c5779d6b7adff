//! Picks among the upstreams of a route.
//!
//! [`RandomPicker`] takes the less loaded of two random candidates by this node's own in-flight
//! count, which is exact and free (M. Mitzenmacher, "The Power of Two Choices in Randomized Load
//! Balancing", 2001).

use std::sync::{Arc, Mutex, PoisonError};

use crate::balance::report::AttemptReport;
use crate::core::{ConfigSnapshot, RouteRecord, UpstreamKey, UpstreamState};
use crate::util::SeededRandom;

/// What a pick is made for.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Configuration that the request was admitted under.
    pub snapshot: &'a ConfigSnapshot,
    /// Route of the request.
    pub route: &'a RouteRecord,
    /// Upstreams that earlier attempts of the request went to.
    pub tried: &'a [UpstreamKey],
}

/// Chooses an upstream.
pub trait UpstreamPicker: Send + Sync + 'static {
    /// Returns an upstream that can take the attempt, or none.
    fn pick(&self, request: PickRequest<'_>) -> Option<UpstreamKey>;

    /// Learns from a finished attempt.
    fn observe(&self, upstream: &Arc<UpstreamState>, report: AttemptReport);
}

/// Power of two choices on own in-flight counts.
#[derive(Debug)]
pub struct RandomPicker {
    random: Mutex<SeededRandom>,
}

impl RandomPicker {
    /// Creates a picker with its source of random numbers.
    pub fn new(random: SeededRandom) -> Self {
        Self { random: Mutex::new(random) }
    }

    fn draw(&self, bound: usize) -> usize {
        self.random.lock().unwrap_or_else(PoisonError::into_inner).below(bound)
    }
}

impl UpstreamPicker for RandomPicker {
    fn pick(&self, request: PickRequest<'_>) -> Option<UpstreamKey> {
        let mut candidates = candidates(request, request.tried);
        if candidates.is_empty() {
            candidates = self::candidates(request, &[]);
        }
        let first = *candidates.get(self.draw(candidates.len()))?;
        let second = *candidates.get(self.draw(candidates.len()))?;
        let inflight = |key| request.snapshot.upstreams.get(key).map_or(u32::MAX, |u| u.inflight());
        if inflight(second) < inflight(first) { Some(second) } else { Some(first) }
    }

    fn observe(&self, upstream: &Arc<UpstreamState>, report: AttemptReport) {
        upstream.see_drain_mark(report.is_draining, report.latency);
    }
}

/// Upstreams of the route that are not draining and not in `excluded`.
fn candidates(request: PickRequest<'_>, excluded: &[UpstreamKey]) -> Vec<UpstreamKey> {
    let mut candidates = Vec::with_capacity(request.route.upstreams.len());
    for key in &request.route.upstreams {
        let Some(upstream) = request.snapshot.upstreams.get(*key) else { continue };
        if upstream.is_draining() || excluded.contains(key) {
            continue;
        }
        candidates.push(*key);
    }
    candidates
}
