//! Which upstreams the compared policies probe, and what they record of the results.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::balance::{
    AttemptReport, AttemptResult, LoadPicker, LoadReport, ObserveSettings, PickRefusal,
    PickRequest, ProbeSettings, UpstreamPicker, next_probe, record_probe_result, record_probe_sent,
};
use crate::core::{ConfigSnapshot, UpstreamKey, UpstreamState};
use crate::ops::experiment::baseline::{
    OraclePicker, PowerOfTwoPicker, RoundRobinPicker, UniformPicker,
};
use crate::util::SeededRandom;

/// Most samples in a probe pool; a new one evicts the oldest.
const MAX_POOL_SAMPLES: usize = 16;
/// Age from which a sample is not used any more.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(1);
/// Picks after which a sample is removed.
const MAX_SAMPLE_USES: u32 = 2;
/// Quantile of the in-flight counts in the pool from which on a sample counts as hot.
const HOT_QUANTILE: f64 = 0.8;

/// A picker that can also send probes.
pub(super) trait ProbingPicker: UpstreamPicker {
    /// Upstreams to probe at the arrival of a request; `tokens` is the number of probes that the
    /// entry's share of the probe budget allows.
    fn probes(&self, _snapshot: &ConfigSnapshot, _tokens: usize) -> Vec<UpstreamKey> {
        Vec::new()
    }

    /// Records the result of a probe.
    fn record_probe(&self, _key: UpstreamKey, _upstream: &UpstreamState, _report: AttemptReport) {}
}

impl ProbingPicker for OraclePicker {}
impl ProbingPicker for PowerOfTwoPicker {}
impl ProbingPicker for RoundRobinPicker {}
impl ProbingPicker for UniformPicker {}

impl ProbingPicker for LoadPicker {
    fn probes(&self, snapshot: &ConfigSnapshot, tokens: usize) -> Vec<UpstreamKey> {
        let mut keys = Vec::new();
        while keys.len() < tokens {
            let Some(key) = next_probe(snapshot, &ProbeSettings::default()) else { break };
            let Some(upstream) = snapshot.upstreams.get(key) else { break };
            record_probe_sent(upstream);
            keys.push(key);
        }
        keys
    }

    fn record_probe(&self, _key: UpstreamKey, upstream: &UpstreamState, report: AttemptReport) {
        record_probe_result(upstream, report, &ObserveSettings::default());
    }
}

/// The result of a probe in a probe pool.
#[derive(Clone, Copy, Debug)]
struct PoolSample {
    key: UpstreamKey,
    inflight: u32,
    latency: Duration,
    received_at: Instant,
    uses: u32,
}

/// Picks from a pool of probed in-flight counts and latencies by the hot-cold lexicographic rule
/// (B. Wydrowski, R. Kleinberg, S. Rumble, A. Archer, "Load is not what you should balance:
/// Introducing Prequal", 2024). Probes go to random upstreams at each request, outside any budget.
#[derive(Debug)]
pub(super) struct ProbePoolPicker {
    state: Mutex<ProbePoolState>,
    probes_per_request: f64,
}

#[derive(Debug)]
struct ProbePoolState {
    random: SeededRandom,
    samples: VecDeque<PoolSample>,
}

impl ProbePoolPicker {
    pub(super) fn new(random: SeededRandom, probes_per_request: f64) -> Self {
        let state = ProbePoolState { random, samples: VecDeque::new() };
        Self { state: Mutex::new(state), probes_per_request }
    }

    fn lock(&self) -> MutexGuard<'_, ProbePoolState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl ProbePoolState {
    /// Index of the cold sample with the lowest latency or, if all are hot, of the hot one with the
    /// fewest requests in flight.
    fn choose(&self, request: PickRequest<'_>) -> Option<usize> {
        let mut loads: Vec<u32> = self.samples.iter().map(|sample| sample.inflight).collect();
        loads.sort_unstable();
        let hot = *loads.get((loads.len() as f64 * HOT_QUANTILE) as usize)?;
        let mut best = None;
        let mut best_rank = (true, u32::MAX, Duration::MAX);
        for (index, sample) in self.samples.iter().enumerate() {
            let Some(upstream) = request.snapshot.upstreams.get(sample.key) else { continue };
            let is_listed = request.route.upstreams.contains(&sample.key);
            if !is_listed || upstream.is_draining() || request.tried.contains(&sample.key) {
                continue;
            }
            let is_hot = sample.inflight >= hot.max(1);
            let rank = if is_hot {
                (true, sample.inflight, sample.latency)
            } else {
                (false, 0, sample.latency)
            };
            if rank < best_rank {
                best_rank = rank;
                best = Some(index);
            }
        }
        best
    }
}

impl UpstreamPicker for ProbePoolPicker {
    fn pick(&self, request: PickRequest<'_>) -> Result<UpstreamKey, PickRefusal> {
        let mut state = self.lock();
        state.samples.retain(|sample| sample.received_at.elapsed() < SAMPLE_LIFETIME);
        if let Some(index) = state.choose(request) {
            let sample = &mut state.samples[index];
            let key = sample.key;
            sample.inflight += 1;
            sample.uses += 1;
            if sample.uses >= MAX_SAMPLE_USES {
                state.samples.remove(index);
            }
            return Ok(key);
        }
        let upstreams = &request.route.upstreams;
        for _ in 0..upstreams.len() * 4 {
            let key = upstreams[state.random.below(upstreams.len())];
            let Some(upstream) = request.snapshot.upstreams.get(key) else { continue };
            if !upstream.is_draining() && !request.tried.contains(&key) {
                return Ok(key);
            }
        }
        Err(PickRefusal::NoUpstream)
    }

    fn record_attempt(&self, upstream: &Arc<UpstreamState>, report: AttemptReport) {
        if report.result == AttemptResult::Answered {
            upstream.record_drain_signal(report.is_draining, report.latency);
            let latency = &upstream.stats().latency_secs;
            latency.blend(report.latency.as_secs_f32(), 0.1);
        }
    }
}

impl ProbingPicker for ProbePoolPicker {
    fn probes(&self, snapshot: &ConfigSnapshot, _tokens: usize) -> Vec<UpstreamKey> {
        let mut state = self.lock();
        let Some(route) = snapshot.routes.first() else { return Vec::new() };
        let fraction = self.probes_per_request.fract();
        let extra = usize::from(state.random.unit() < fraction);
        let mut keys = Vec::new();
        for _ in 0..self.probes_per_request as usize + extra {
            keys.push(route.upstreams[state.random.below(route.upstreams.len())]);
        }
        keys
    }

    fn record_probe(&self, key: UpstreamKey, upstream: &UpstreamState, report: AttemptReport) {
        let Some(LoadReport { inflight, .. }) = report.load else { return };
        let latency = Duration::from_secs_f32(upstream.stats().latency_secs.get().max(0.0));
        let mut state = self.lock();
        if state.samples.len() == MAX_POOL_SAMPLES {
            state.samples.pop_front();
        }
        let arrived = Instant::now();
        state.samples.push_back(PoolSample {
            key,
            inflight,
            latency,
            received_at: arrived,
            uses: 0,
        });
    }
}
