//! The daemon's picker: the lowest expected completion time over a pool of candidates.
//!
//! The load of an upstream is this node's own in-flight count, which is exact, plus the requests
//! in flight from the other entries, which upstreams report on their responses. As a report ages,
//! its weight shifts to the upstream's average. As in the hot/cold rule of B. Wydrowski,
//! R. Kleinberg, S. Rumble and A. Archer, "Load is not what you should balance: Introducing
//! Prequal" (2024), load decides between upstreams that would queue the request and latency between
//! those that would not; here a single expected completion time covers both cases, because with
//! three or four slots an estimate rarely places an upstream clearly on one side.
//!
//! Finished attempts update the statistics in [`UpstreamPicker::record_attempt`]. A failure raises
//! the expected time of an upstream, and repeated failures eject it (outlier ejection); a shed
//! request counts as load, not as a failure. When most of a pool is ejected, the failures are more
//! likely to lie on this node's side, and ejection is ignored.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::balance::candidate_pool::{CandidatePool, PoolBaseline, PoolCandidate};
use crate::balance::observe::{self, ObserveSettings};
use crate::balance::pick::{PickRefusal, PickRequest, UpstreamPicker};
use crate::balance::report::{AttemptReport, AttemptResult};
use crate::core::{FailureDomain, UpstreamKey, UpstreamState};
use crate::util::{SeededRandom, SharedRandom, duration_text};

/// Share of ejected candidates above which ejection is ignored (panic mode).
const PANIC_EJECTED_SHARE: f32 = 0.5;
/// Share of candidates in slow start up to which slow start limits their picks. Above it there are
/// too few warm upstreams to take the rest of the traffic.
const MAX_SLOW_START_SHARE: f32 = 0.5;
/// Error rate below which failures add no expected time.
const MIN_ERROR_RATE: f32 = 0.001;

/// Settings of a [`LoadPicker`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadPickerSettings {
    /// One-way network delay to another failure domain.
    #[serde(with = "duration_text")]
    pub domain_delay: Duration,
    /// Fraction of the network delay that counts in a pick. Below 1, queues are also evened out
    /// across failure domains.
    pub domain_weight: f32,
    /// Half-life of the trust in a load report, as a multiple of the pool's latency.
    pub report_life: f32,
    /// Uncertainty of the estimated load, in requests.
    pub load_spread: f32,
    /// Ratio to the pool's latency up to which an upstream counts as normally fast.
    pub slow_ratio: f32,
    /// Largest relative random increase of the expected time; keeps entries from all picking the
    /// same upstream (herding).
    pub jitter: f32,
    /// Fraction of the pool's average reported load below which the reports of a slow upstream are
    /// not trusted.
    pub doubt_share: f32,
    /// Ratio to the pool's latency above which an upstream counts as slow for `doubt_share`.
    pub doubt_ratio: f32,
    /// Half-life of a high latency or a failure that no newer sample confirms.
    #[serde(with = "duration_text")]
    pub memory_life: Duration,
    /// Time that a failed attempt is taken to cost.
    #[serde(with = "duration_text")]
    pub error_cost: Duration,
    /// Slow start: time in which a new upstream, or one back from ejection, reaches its full share
    /// of picks.
    #[serde(with = "duration_text")]
    pub warm_up: Duration,
    /// Slow start: fraction of an even share of picks at its beginning.
    pub warm_up_share: f32,
    /// Weights of samples, and outlier ejection.
    pub observe: ObserveSettings,
}

impl Default for LoadPickerSettings {
    fn default() -> Self {
        Self {
            domain_delay: Duration::from_micros(1500),
            domain_weight: 0.4,
            report_life: 0.25,
            load_spread: 2.0,
            slow_ratio: 1.75,
            jitter: 0.01,
            doubt_share: 0.4,
            doubt_ratio: 1.1,
            memory_life: Duration::from_secs(1),
            error_cost: Duration::from_secs(1),
            warm_up: Duration::from_secs(1),
            warm_up_share: 0.25,
            observe: ObserveSettings::default(),
        }
    }
}

/// Picks the candidate with the lowest expected completion time.
#[derive(Debug)]
pub struct LoadPicker {
    failure_domain: FailureDomain,
    settings: LoadPickerSettings,
    random: SharedRandom,
}

impl LoadPicker {
    /// Creates a picker for a node in `failure_domain`; `random` seeds its random numbers.
    pub fn new(
        failure_domain: FailureDomain,
        settings: LoadPickerSettings,
        random: SeededRandom,
    ) -> Self {
        Self { failure_domain, settings, random: SharedRandom::new(random) }
    }

    /// Round trip to the upstream's failure domain; zero within this node's own.
    fn network_secs(&self, upstream: &UpstreamState) -> f32 {
        if upstream.failure_domain == self.failure_domain {
            return 0.0;
        }
        2.0 * self.settings.domain_delay.as_secs_f32()
    }

    /// The candidate with the lowest expected time; `weight` is that of the network delay.
    fn best(&self, pool: &CandidatePool<'_>, weight: f32, now: Instant) -> Option<UpstreamKey> {
        let is_slow_start_on = pool.warming as f32 <= MAX_SLOW_START_SHARE * pool.count as f32;
        let is_panic = pool.ejected as f32 > PANIC_EJECTED_SHARE * pool.count as f32;
        let mut best = None;
        let mut best_secs = f32::INFINITY;
        for candidate in pool.iter() {
            if candidate.is_ejected && !is_panic {
                continue;
            }
            if is_slow_start_on
                && candidate
                    .warm_up_age_secs
                    .is_some_and(|age| !self.passes_slow_start(age, pool.count))
            {
                continue;
            }
            let secs = self.expected_secs(candidate, pool.baseline, weight, now);
            let secs = secs * (1.0 + self.settings.jitter * self.random.unit());
            if secs < best_secs {
                best_secs = secs;
                best = Some(candidate.key);
            }
        }
        best
    }

    /// Expected time until one more request is answered; `weight` is that of the network delay.
    fn expected_secs(
        &self,
        candidate: &PoolCandidate<'_>,
        baseline: PoolBaseline,
        weight: f32,
        now: Instant,
    ) -> f32 {
        let upstream = candidate.upstream;
        let settings = &self.settings;
        let service = self.service_secs(candidate, baseline, now);
        let slots = upstream.spec.slots.max(1) as f32;
        let excess = self.estimated_load(candidate, baseline, now) + 1.0 - slots;
        // Smooth maximum of the excess and zero, since the load is known only to within `spread`.
        let spread = settings.load_spread;
        let queued = 0.5 * (excess + (excess * excess + spread * spread).sqrt());
        let network = weight * self.network_secs(upstream);
        service * (1.0 + queued / slots) + network + self.error_secs(upstream, now)
    }

    /// Expected time lost to failed attempts.
    fn error_secs(&self, upstream: &UpstreamState, now: Instant) -> f32 {
        let stats = upstream.stats();
        let error_rate = stats.error_rate.get();
        let Some(failed_at) = stats.last_failure_at.get().filter(|_| error_rate > MIN_ERROR_RATE)
        else {
            return 0.0;
        };
        let age_secs = stats.age_at(now, failed_at).as_secs_f32();
        let left = half_life_decay(age_secs, self.settings.memory_life.as_secs_f32());
        error_rate * left * self.settings.error_cost.as_secs_f32()
    }

    /// Latency of the upstream if it is clearly slower than the pool, else that of the pool.
    fn service_secs(
        &self,
        candidate: &PoolCandidate<'_>,
        baseline: PoolBaseline,
        now: Instant,
    ) -> f32 {
        let pool_secs = baseline.latency_secs;
        if candidate.latency_secs <= self.settings.slow_ratio * pool_secs {
            return pool_secs;
        }
        let unheard_secs = candidate.upstream.stats().time_since_response(now).as_secs_f32();
        let left = half_life_decay(unheard_secs, self.settings.memory_life.as_secs_f32());
        pool_secs + (candidate.latency_secs - pool_secs) * left
    }

    /// Estimated requests in flight at the upstream from all entries.
    fn estimated_load(
        &self,
        candidate: &PoolCandidate<'_>,
        baseline: PoolBaseline,
        now: Instant,
    ) -> f32 {
        let upstream = candidate.upstream;
        let stats = upstream.stats();
        let own = upstream.inflight() as f32;
        let Some(reported) = stats.last_report_at.get() else {
            return own + baseline.peer_inflight;
        };
        let mean_peer_inflight = stats.mean_peer_inflight.get();
        // An upstream that keeps reporting low load and yet responds slowly is not trusted. By
        // Little's law, its load relates to the pool's load as its latency to the pool's latency.
        let reports_low_load =
            mean_peer_inflight < self.settings.doubt_share * baseline.peer_inflight;
        let latency_ratio = candidate.latency_secs / baseline.latency_secs;
        if reports_low_load && latency_ratio > self.settings.doubt_ratio {
            return own + baseline.peer_inflight * latency_ratio;
        }
        let age_secs = stats.age_at(now, reported).as_secs_f32();
        let trust = trust(age_secs, self.settings.report_life * baseline.latency_secs);
        own + mean_peer_inflight + (stats.reported_peer_inflight.get() - mean_peer_inflight) * trust
    }

    /// Draws whether an upstream `age_secs` into its slow start takes part in this pick. Its share
    /// of picks rises linearly from `warm_up_share` of an even share to an even share.
    fn passes_slow_start(&self, age_secs: f32, pool_count: usize) -> bool {
        let progress = age_secs / self.settings.warm_up.as_secs_f32();
        let share = self.settings.warm_up_share + (1.0 - self.settings.warm_up_share) * progress;
        self.random.unit() * (pool_count as f32) < share
    }
}

/// Remaining fraction, after `age_secs`, of a value that decays exponentially.
fn half_life_decay(age_secs: f32, half_life_secs: f32) -> f32 {
    (-age_secs / half_life_secs.max(f32::EPSILON)).exp2()
}

/// Weight of a report of this age: a half at the half-life, with a long tail.
fn trust(age_secs: f32, half_life_secs: f32) -> f32 {
    let half_life = half_life_secs.max(f32::EPSILON);
    half_life / (half_life + age_secs)
}

impl UpstreamPicker for LoadPicker {
    fn pick(&self, request: PickRequest<'_>) -> Result<UpstreamKey, PickRefusal> {
        let now = Instant::now();
        let start = (self.random.unit() * request.upstreams().len() as f32) as usize;
        let pool =
            CandidatePool::collect(request, start, request.tried, self.settings.warm_up, now);
        // The failure domain of an earlier attempt may be full, so distance does not count here.
        let weight = if request.tried.is_empty() { self.settings.domain_weight } else { 0.0 };
        if let Some(key) = self.best(&pool, weight, now) {
            return Ok(key);
        }
        // Fall back to an upstream in slow start, ejected or already tried.
        let fallback =
            || CandidatePool::collect(request, start, &[], self.settings.warm_up, now).first();
        let candidate = pool.first().or_else(fallback);
        candidate.map(|candidate| candidate.key).ok_or(PickRefusal::NoUpstream)
    }

    fn record_attempt(&self, upstream: &Arc<UpstreamState>, report: AttemptReport) {
        if matches!(report.result, AttemptResult::Answered | AttemptResult::Shed) {
            upstream.record_drain_signal(report.is_draining, report.latency);
        }
        let network = Duration::from_secs_f32(self.network_secs(upstream));
        observe::record_attempt(upstream, report, network, &self.settings.observe);
    }
}
