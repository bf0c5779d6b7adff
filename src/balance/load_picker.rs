//! The daemon's picker: the lowest expected completion time over a pool of upstreams.
//!
//! The load of an upstream is this node's own in-flight count, which is exact, plus the requests
//! of the other entries, which the load reports on answers tell. A report is trusted less the
//! older it is and gives way to the upstream's usual load. As in the hot/cold rule of
//! B. Wydrowski, R. Kleinberg, S. Rumble and A. Archer, "Load is not what you should balance:
//! Introducing Prequal" (2024), load decides between upstreams that would queue the request and
//! latency between those that would not; here one expected completion time joins both, because
//! with three or four slots an estimate is rarely on either side for certain.
//!
//! Answers feed the view in [`UpstreamPicker::observe`]: a failure makes an upstream dear and, when
//! it repeats, ejects it for a while; a shed counts as load, not as a failure. When most of a pool
//! is ejected the signal is doubted and ejection is left out.

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

/// Share of a pool that may be ejected before ejection is doubted.
const PANIC_SHARE: f32 = 0.5;
/// Share of a pool that may be warming up for it to be held back.
const WARMING_SHARE: f32 = 0.5;
/// Share of failed attempts below which failures are left out.
const MIN_ERROR_SHARE: f32 = 0.001;

/// Settings of a [`LoadPicker`].
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LoadPickerSettings {
    /// One-way network delay to another failure domain.
    #[serde(with = "duration_text")]
    pub domain_delay: Duration,
    /// Part of the network delay that counts in a choice; the rest is left to even out queues.
    pub domain_weight: f32,
    /// Service times after which a load report counts for half.
    pub report_life: f32,
    /// Spread of the estimated load, in requests.
    pub load_spread: f32,
    /// Latency over the pool's up to which an upstream counts as of ordinary speed.
    pub slow_ratio: f32,
    /// Random part of the expected time, against herding.
    pub jitter: f32,
    /// Share of the pool's usual load below which the reports of a late upstream are doubted.
    pub doubt_share: f32,
    /// Latency over the pool's above which an upstream counts as late.
    pub doubt_ratio: f32,
    /// Time after which a latency or failure that nothing renews counts for half.
    #[serde(with = "duration_text")]
    pub memory_life: Duration,
    /// Expected time of a failed attempt.
    #[serde(with = "duration_text")]
    pub error_cost: Duration,
    /// Time in which a new or returned upstream reaches its full share.
    #[serde(with = "duration_text")]
    pub warm_up: Duration,
    /// Part of an even share of picks that a new or returned upstream gets at first.
    pub warm_up_share: f32,
    /// How answers are learnt from.
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

/// Picks the upstream with the lowest expected completion time.
#[derive(Debug)]
pub struct LoadPicker {
    failure_domain: FailureDomain,
    settings: LoadPickerSettings,
    draws: SharedRandom,
}

impl LoadPicker {
    /// Creates a picker for a node in `failure_domain`; `random` seeds its draws.
    pub fn new(
        failure_domain: FailureDomain,
        settings: LoadPickerSettings,
        random: SeededRandom,
    ) -> Self {
        Self { failure_domain, settings, draws: SharedRandom::new(random) }
    }

    fn network_secs(&self, upstream: &UpstreamState) -> f32 {
        if upstream.failure_domain == self.failure_domain {
            return 0.0;
        }
        2.0 * self.settings.domain_delay.as_secs_f32()
    }

    fn best(&self, pool: &CandidatePool<'_>, weight: f32, now: Instant) -> Option<UpstreamKey> {
        // Of a pool that is mostly new, none is held back in favour of the others.
        let is_gating = pool.warming as f32 <= WARMING_SHARE * pool.count as f32;
        let is_panic = pool.ejected as f32 > PANIC_SHARE * pool.count as f32;
        let mut best = None;
        let mut best_secs = f32::INFINITY;
        for candidate in pool.iter() {
            if candidate.is_ejected && !is_panic {
                continue;
            }
            if is_gating
                && candidate.warm_up_age_secs.is_some_and(|age| !self.is_warm(age, pool.count))
            {
                continue;
            }
            let secs = self.expected_secs(candidate, pool.baseline, weight, now);
            let secs = secs * (1.0 + self.settings.jitter * self.draws.unit());
            if secs < best_secs {
                best_secs = secs;
                best = Some(candidate.key);
            }
        }
        best
    }

    /// Expected time to the answer of one more request; `weight` is that of the network delay.
    fn expected_secs(
        &self,
        candidate: &PoolCandidate<'_>,
        usual: PoolBaseline,
        weight: f32,
        now: Instant,
    ) -> f32 {
        let upstream = candidate.upstream;
        let settings = &self.settings;
        let service = self.service_secs(candidate, usual, now);
        let slots = upstream.spec.slots.max(1) as f32;
        let excess = self.estimated_load(candidate, usual, now) + 1.0 - slots;
        // A smooth maximum of the excess and zero: the estimate is off by about the spread.
        let spread = settings.load_spread;
        let queued = 0.5 * (excess + (excess * excess + spread * spread).sqrt());
        let network = weight * self.network_secs(upstream);
        service * (1.0 + queued / slots) + network + self.error_secs(upstream, now)
    }

    /// Expected time lost by failures.
    fn error_secs(&self, upstream: &UpstreamState, now: Instant) -> f32 {
        let view = upstream.stats();
        let share = view.error_rate.get();
        let Some(failed) = view.last_failure_at.get().filter(|_| share > MIN_ERROR_SHARE) else {
            return 0.0;
        };
        let age_secs = view.age_at(now, failed).as_secs_f32();
        let left = half_lives(age_secs, self.settings.memory_life.as_secs_f32());
        share * left * self.settings.error_cost.as_secs_f32()
    }

    /// Latency of the upstream where it is clearly slower than the pool, else the pool's.
    fn service_secs(
        &self,
        candidate: &PoolCandidate<'_>,
        usual: PoolBaseline,
        now: Instant,
    ) -> f32 {
        let usual_secs = usual.latency_secs;
        if candidate.latency_secs <= self.settings.slow_ratio * usual_secs {
            return usual_secs;
        }
        let silence_secs = candidate.upstream.stats().time_since_response(now).as_secs_f32();
        let left = half_lives(silence_secs, self.settings.memory_life.as_secs_f32());
        usual_secs + (candidate.latency_secs - usual_secs) * left
    }

    /// Requests at the upstream from all entries.
    fn estimated_load(
        &self,
        candidate: &PoolCandidate<'_>,
        usual: PoolBaseline,
        now: Instant,
    ) -> f32 {
        let upstream = candidate.upstream;
        let view = upstream.stats();
        let own = upstream.inflight() as f32;
        let Some(reported) = view.last_report_at.get() else { return own + usual.peer_inflight };
        let usual_others = view.mean_peer_inflight.get();
        // An upstream that always reports little and yet answers late is not believed; by Little's
        // law its load is to the pool's as its latency is to the pool's.
        let reports_little = usual_others < self.settings.doubt_share * usual.peer_inflight;
        let lateness = candidate.latency_secs / usual.latency_secs;
        if reports_little && lateness > self.settings.doubt_ratio {
            return own + usual.peer_inflight * lateness;
        }
        let age_secs = view.age_at(now, reported).as_secs_f32();
        let trust = trust(age_secs, self.settings.report_life * usual.latency_secs);
        own + usual_others + (view.reported_peer_inflight.get() - usual_others) * trust
    }

    /// Draws whether an upstream that has been warming up for `age_secs` takes part in a pick: at
    /// first in a part of an even share of picks, and in an even share at the end.
    fn is_warm(&self, age_secs: f32, pool_count: usize) -> bool {
        let progress = age_secs / self.settings.warm_up.as_secs_f32();
        let part = self.settings.warm_up_share + (1.0 - self.settings.warm_up_share) * progress;
        self.draws.unit() * (pool_count as f32) < part
    }
}

/// What is left of a value of this age that halves in each half-life.
fn half_lives(age_secs: f32, half_life_secs: f32) -> f32 {
    (-age_secs / half_life_secs.max(f32::EPSILON)).exp2()
}

/// How far a report of this age is trusted; half at the half-life, and some for long after.
fn trust(age_secs: f32, half_life_secs: f32) -> f32 {
    let half_life = half_life_secs.max(f32::EPSILON);
    half_life / (half_life + age_secs)
}

impl UpstreamPicker for LoadPicker {
    fn pick(&self, request: PickRequest<'_>) -> Result<UpstreamKey, PickRefusal> {
        let now = Instant::now();
        let start = (self.draws.unit() * request.upstreams().len() as f32) as usize;
        let pool = CandidatePool::gather(request, start, request.tried, self.settings.warm_up, now);
        // A further attempt looks beyond a failure domain that may be full.
        let weight = if request.tried.is_empty() { self.settings.domain_weight } else { 0.0 };
        if let Some(key) = self.best(&pool, weight, now) {
            return Ok(key);
        }
        // Rather an upstream that is warming up, ejected or tried before than none.
        let fallback =
            || CandidatePool::gather(request, start, &[], self.settings.warm_up, now).first();
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
