//! Baseline policies, which the daemon's picker is compared with.

use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use crate::balance::{AttemptReport, PickRefusal, PickRequest, UpstreamPicker};
use crate::core::{UpstreamKey, UpstreamState};
use crate::util::SeededRandom;

/// Picks uniformly among the upstreams: a random one, or the next in order that is not draining
/// and was not tried.
#[derive(Debug)]
pub(super) struct UniformPicker {
    random: Mutex<SeededRandom>,
}

impl UniformPicker {
    pub(super) fn new(random: SeededRandom) -> Self {
        Self { random: Mutex::new(random) }
    }
}

impl UpstreamPicker for UniformPicker {
    fn pick(&self, request: PickRequest<'_>) -> Result<UpstreamKey, PickRefusal> {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let picked = first_available(request, random.below(request.route.upstreams.len()));
        picked.ok_or(PickRefusal::NoUpstream)
    }

    fn record_attempt(&self, upstream: &Arc<UpstreamState>, report: AttemptReport) {
        record_drain(upstream, report);
    }
}

/// Picks upstreams in turn, skipping those that are draining or were tried.
#[derive(Debug)]
pub(super) struct RoundRobinPicker {
    next: AtomicUsize,
}

impl RoundRobinPicker {
    pub(super) fn new(start: usize) -> Self {
        Self { next: AtomicUsize::new(start) }
    }
}

impl UpstreamPicker for RoundRobinPicker {
    fn pick(&self, request: PickRequest<'_>) -> Result<UpstreamKey, PickRefusal> {
        let start = self.next.fetch_add(1, Ordering::Relaxed);
        first_available(request, start).ok_or(PickRefusal::NoUpstream)
    }

    fn record_attempt(&self, upstream: &Arc<UpstreamState>, report: AttemptReport) {
        record_drain(upstream, report);
    }
}

/// Picks the less loaded of two upstreams by this entry's own in-flight count (M. Mitzenmacher,
/// "The Power of Two Choices in Randomized Load Balancing", 2001).
#[derive(Debug)]
pub(super) struct PowerOfTwoPicker {
    random: Mutex<SeededRandom>,
}

impl PowerOfTwoPicker {
    pub(super) fn new(random: SeededRandom) -> Self {
        Self { random: Mutex::new(random) }
    }
}

impl UpstreamPicker for PowerOfTwoPicker {
    fn pick(&self, request: PickRequest<'_>) -> Result<UpstreamKey, PickRefusal> {
        let count = request.route.upstreams.len();
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let start = random.below(count);
        let step = 1 + random.below(count.saturating_sub(1));
        let first = first_available(request, start).ok_or(PickRefusal::NoUpstream)?;
        let second = first_available(request, start + step).ok_or(PickRefusal::NoUpstream)?;
        let inflight = |key| request.snapshot.upstreams.get(key).map_or(u32::MAX, |u| u.inflight());
        Ok(if inflight(second) < inflight(first) { second } else { first })
    }

    fn record_attempt(&self, upstream: &Arc<UpstreamState>, report: AttemptReport) {
        record_drain(upstream, report);
    }
}

/// Picks the least loaded upstream by the true number of requests of all entries in flight to it,
/// which no entry can know: the best latency that picking can reach.
#[derive(Debug)]
pub(super) struct OraclePicker {
    random: Mutex<SeededRandom>,
    load: TrueLoad,
}

/// Requests of all entries on their way to each target or at it, by index of the target.
pub(super) type TrueLoad = Arc<Vec<AtomicU32>>;

impl OraclePicker {
    pub(super) fn new(random: SeededRandom, load: TrueLoad) -> Self {
        Self { random: Mutex::new(random), load }
    }
}

impl UpstreamPicker for OraclePicker {
    fn pick(&self, request: PickRequest<'_>) -> Result<UpstreamKey, PickRefusal> {
        let upstreams = &request.route.upstreams;
        let start = {
            let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
            random.below(upstreams.len())
        };
        let mut best = None;
        let mut best_load = u32::MAX;
        for offset in 0..upstreams.len() {
            let target = (start + offset) % upstreams.len();
            let key = upstreams[target];
            let Some(upstream) = request.snapshot.upstreams.get(key) else { continue };
            let load = self.load[target].load(Ordering::Relaxed);
            if upstream.is_draining() || request.tried.contains(&key) || load >= best_load {
                continue;
            }
            best = Some(key);
            best_load = load;
        }
        best.ok_or(PickRefusal::NoUpstream)
    }

    fn record_attempt(&self, upstream: &Arc<UpstreamState>, report: AttemptReport) {
        record_drain(upstream, report);
    }
}

/// The first upstream from `start` on, in order of the route, that is not draining and was not
/// tried.
fn first_available(request: PickRequest<'_>, start: usize) -> Option<UpstreamKey> {
    let upstreams = &request.route.upstreams;
    for offset in 0..upstreams.len() {
        let key = upstreams[(start + offset) % upstreams.len()];
        let Some(upstream) = request.snapshot.upstreams.get(key) else { continue };
        if !upstream.is_draining() && !request.tried.contains(&key) {
            return Some(key);
        }
    }
    None
}

fn record_drain(upstream: &Arc<UpstreamState>, report: AttemptReport) {
    upstream.record_drain_signal(report.is_draining, report.latency);
}
