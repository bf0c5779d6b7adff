//! The candidate upstreams of one pick, with their pool-wide averages.

use std::time::Duration;

use tokio::time::Instant;

use crate::balance::pick::PickRequest;
use crate::core::{UpstreamKey, UpstreamState, UpstreamStats};

/// Largest number of upstreams that one pick compares; bounds its cost and its stack use.
const MAX_CANDIDATES: usize = 32;

/// A candidate with the figures that were read once for the whole pick.
#[derive(Clone, Copy)]
pub(super) struct PoolCandidate<'a> {
    pub(super) key: UpstreamKey,
    pub(super) upstream: &'a UpstreamState,
    /// Moving average of latency; 0 before the first response.
    pub(super) latency_secs: f32,
    pub(super) is_ejected: bool,
    /// Time since the upstream was added or its ejection ended; none once it has warmed up.
    pub(super) warm_up_age_secs: Option<f32>,
}

/// The candidates of one pick, kept on the stack.
pub(super) struct CandidatePool<'a> {
    candidates: [Option<PoolCandidate<'a>>; MAX_CANDIDATES],
    pub(super) count: usize,
    pub(super) ejected: usize,
    pub(super) warming: usize,
    pub(super) baseline: PoolBaseline,
}

/// Averages over the candidates of a pool, against which each one is compared.
#[derive(Clone, Copy)]
pub(super) struct PoolBaseline {
    /// Harmonic mean of the latencies, on which a few slow upstreams have little influence.
    pub(super) latency_secs: f32,
    /// Mean number of requests that the other entries have in flight at an upstream.
    pub(super) peer_inflight: f32,
}

impl<'a> CandidatePool<'a> {
    /// Collects the upstreams of the route that accept attempts and are not in `excluded`, beginning
    /// at index `start`, so that a route with more than [`MAX_CANDIDATES`] has all of them
    /// considered in turn.
    pub(super) fn collect(
        request: PickRequest<'a>,
        start: usize,
        excluded: &[UpstreamKey],
        warm_up: Duration,
        now: Instant,
    ) -> Self {
        let mut pool = Self {
            candidates: [None; MAX_CANDIDATES],
            count: 0,
            ejected: 0,
            warming: 0,
            baseline: PoolBaseline::DEFAULT,
        };
        let upstreams = request.upstreams();
        for offset in 0..upstreams.len() {
            if pool.count == MAX_CANDIDATES {
                break;
            }
            let key = upstreams[(start + offset) % upstreams.len()];
            let Some(upstream) = request.snapshot.upstreams.get(key) else { continue };
            if !upstream.accepts_attempts(now) || excluded.contains(&key) {
                continue;
            }
            let latency_secs = upstream.stats().latency_secs.get();
            let is_ejected = upstream.stats().is_ejected(now);
            pool.ejected += usize::from(is_ejected);
            let warm_up_age_secs = warm_up_age_secs(upstream.stats(), warm_up, now);
            pool.warming += usize::from(warm_up_age_secs.is_some());
            pool.candidates[pool.count] =
                Some(PoolCandidate { key, upstream, latency_secs, is_ejected, warm_up_age_secs });
            pool.count += 1;
        }
        pool.baseline = PoolBaseline::of(&pool);
        pool
    }

    /// The candidates in the order in which they were collected.
    pub(super) fn iter(&self) -> impl Iterator<Item = &PoolCandidate<'a>> {
        self.candidates[..self.count].iter().flatten()
    }

    pub(super) fn first(&self) -> Option<PoolCandidate<'a>> {
        self.candidates[0]
    }
}

fn warm_up_age_secs(stats: &UpstreamStats, warm_up: Duration, now: Instant) -> Option<f32> {
    let age = stats.age_at(now, stats.warm_up_started_at.get()?);
    if age < warm_up {
        return Some(age.as_secs_f32());
    }
    stats.warm_up_started_at.clear();
    None
}

impl PoolBaseline {
    /// Assumed while no candidate has responded or reported its load.
    const DEFAULT: Self = Self { latency_secs: 0.005, peer_inflight: 0.0 };

    fn of(pool: &CandidatePool<'_>) -> Self {
        let mut responding = 0.0;
        let mut inverse_sum = 0.0;
        let mut reporting = 0.0;
        let mut peer_inflight_sum = 0.0;
        for candidate in pool.iter() {
            if candidate.latency_secs > 0.0 {
                responding += 1.0;
                inverse_sum += 1.0 / candidate.latency_secs;
            }
            let stats = candidate.upstream.stats();
            if stats.last_report_at.get().is_some() {
                reporting += 1.0;
                peer_inflight_sum += stats.mean_peer_inflight.get();
            }
        }
        let mut baseline = Self::DEFAULT;
        if responding > 0.0 {
            baseline.latency_secs = responding / inverse_sum;
        }
        if reporting > 0.0 {
            baseline.peer_inflight = peer_inflight_sum / reporting;
        }
        baseline
    }
}
