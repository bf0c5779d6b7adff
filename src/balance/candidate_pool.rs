//! The upstreams that one pick compares, and what is usual among them.

use std::time::Duration;

use tokio::time::Instant;

use crate::balance::pick::PickRequest;
use crate::core::{UpstreamKey, UpstreamState, UpstreamStats};

/// Largest number of upstreams that one pick looks at.
const POOL_SIZE: usize = 32;

/// One upstream of a pool.
#[derive(Clone, Copy)]
pub(super) struct PoolCandidate<'a> {
    pub(super) key: UpstreamKey,
    pub(super) upstream: &'a UpstreamState,
    /// Moving average of latency; 0 before the first answer.
    pub(super) latency_secs: f32,
    pub(super) is_ejected: bool,
    /// Time since the upstream was created or came back, while it is warming up.
    pub(super) warm_up_age_secs: Option<f32>,
}

/// The upstreams that one pick compares; no more than fit on the stack.
pub(super) struct CandidatePool<'a> {
    candidates: [Option<PoolCandidate<'a>>; POOL_SIZE],
    pub(super) count: usize,
    pub(super) ejected: usize,
    pub(super) warming: usize,
    pub(super) baseline: PoolBaseline,
}

/// What is usual among the upstreams of a pool.
#[derive(Clone, Copy)]
pub(super) struct PoolBaseline {
    /// Harmonic mean of the latencies, which a few slow upstreams hardly move.
    pub(super) latency_secs: f32,
    /// Mean of the other entries' requests at an upstream.
    pub(super) peer_inflight: f32,
}

impl<'a> CandidatePool<'a> {
    /// Gathers the upstreams of the route that are neither draining nor in `excluded`, from the
    /// one at `start` on.
    pub(super) fn gather(
        request: PickRequest<'a>,
        start: usize,
        excluded: &[UpstreamKey],
        warm_up: Duration,
        now: Instant,
    ) -> Self {
        let mut pool = Self {
            candidates: [None; POOL_SIZE],
            count: 0,
            ejected: 0,
            warming: 0,
            baseline: PoolBaseline::UNKNOWN,
        };
        let upstreams = request.upstreams();
        for offset in 0..upstreams.len() {
            if pool.count == POOL_SIZE {
                break;
            }
            let key = upstreams[(start + offset) % upstreams.len()];
            let Some(upstream) = request.snapshot.upstreams.get(key) else { continue };
            if upstream.is_draining() || excluded.contains(&key) {
                continue;
            }
            let latency_secs = upstream.stats().latency_secs.get();
            let is_ejected = upstream.stats().is_ejected(now);
            pool.ejected += usize::from(is_ejected);
            let warming_secs = warming_secs(upstream.stats(), warm_up, now);
            pool.warming += usize::from(warming_secs.is_some());
            pool.candidates[pool.count] = Some(PoolCandidate {
                key,
                upstream,
                latency_secs,
                is_ejected,
                warm_up_age_secs: warming_secs,
            });
            pool.count += 1;
        }
        pool.baseline = PoolBaseline::of(&pool);
        pool
    }

    /// The candidates in the order in which they were gathered.
    pub(super) fn iter(&self) -> impl Iterator<Item = &PoolCandidate<'a>> {
        self.candidates[..self.count].iter().flatten()
    }

    /// The first candidate.
    pub(super) fn first(&self) -> Option<PoolCandidate<'a>> {
        self.candidates[0]
    }
}

fn warming_secs(view: &UpstreamStats, warm_up: Duration, now: Instant) -> Option<f32> {
    let age = view.age_at(now, view.warm_up_started_at.get()?);
    if age < warm_up {
        return Some(age.as_secs_f32());
    }
    view.warm_up_started_at.clear();
    None
}

impl PoolBaseline {
    /// Assumed before any answer.
    const UNKNOWN: Self = Self { latency_secs: 0.005, peer_inflight: 0.0 };

    fn of(pool: &CandidatePool<'_>) -> Self {
        let mut answered = 0.0;
        let mut inverse_sum = 0.0;
        let mut reporting = 0.0;
        let mut others_sum = 0.0;
        for candidate in pool.iter() {
            if candidate.latency_secs > 0.0 {
                answered += 1.0;
                inverse_sum += 1.0 / candidate.latency_secs;
            }
            let view = candidate.upstream.stats();
            if view.last_report_at.get().is_some() {
                reporting += 1.0;
                others_sum += view.mean_peer_inflight.get();
            }
        }
        let mut usual = Self::UNKNOWN;
        if answered > 0.0 {
            usual.latency_secs = answered / inverse_sum;
        }
        if reporting > 0.0 {
            usual.peer_inflight = others_sum / reporting;
        }
        usual
    }
}
