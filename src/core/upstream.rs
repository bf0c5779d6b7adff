//! Upstreams at run time: a key, the spec, and counters that outlive a configuration change.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use slotmap::SlotMap;

use crate::core::drain_signal::{DrainObservation, DrainSignal};
use crate::core::identity::FailureDomain;
use crate::core::label::LabelSet;
use crate::core::object::UpstreamSpec;
use crate::core::upstream_stats::UpstreamStats;

slotmap::new_key_type! {
    /// Key of an upstream in the arena; stays the same while its name and address stay.
    pub struct UpstreamKey;
}

/// Arena of the upstreams of one configuration.
pub type UpstreamArena = SlotMap<UpstreamKey, Arc<UpstreamState>>;

/// What this node knows about an upstream beyond its spec; outlives a change of the spec.
#[derive(Debug, Default)]
struct UpstreamCounters {
    inflight: AtomicU32,
    /// Whether a later configuration than that of some running requests has taken it out.
    is_retired: AtomicBool,
    own_mark: DrainSignal,
    hint: DrainSignal,
    load: UpstreamStats,
}

/// One upstream under one configuration, with the counters of this node.
#[derive(Debug)]
pub struct UpstreamState {
    /// Object name.
    pub name: String,
    /// Spec under this configuration.
    pub spec: UpstreamSpec,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Labels.
    pub labels: LabelSet,
    counters: Arc<UpstreamCounters>,
}

impl UpstreamState {
    /// Creates the state of an upstream without work.
    pub fn new(name: &str, spec: UpstreamSpec, labels: LabelSet) -> Self {
        Self {
            name: name.to_owned(),
            failure_domain: FailureDomain::new(&spec.failure_domain),
            spec,
            labels,
            counters: Arc::default(),
        }
    }

    /// Creates the state of the same upstream under another spec; both share their counters.
    pub fn with_spec(&self, spec: UpstreamSpec, labels: LabelSet) -> Self {
        Self { counters: Arc::clone(&self.counters), ..Self::new(&self.name, spec, labels) }
    }

    /// Requests that this node has sent and that are not finished.
    pub fn inflight(&self) -> u32 {
        self.counters.inflight.load(Ordering::Relaxed)
    }

    /// Load and health as learnt from answers.
    pub fn stats(&self) -> &UpstreamStats {
        &self.counters.load
    }

    /// Records whether the newest configuration lets the upstream have new work. Requests that were
    /// admitted under an older one hold to that as well.
    pub fn set_retired(&self, is_retired: bool) {
        self.counters.is_retired.store(is_retired, Ordering::Relaxed);
    }

    /// Whether the upstream gets no new work: by its spec, by a later configuration, by its own
    /// mark, or by a mark that another entry saw.
    pub fn is_draining(&self) -> bool {
        let is_retired = self.counters.is_retired.load(Ordering::Relaxed);
        is_retired
            || self.spec.draining
            || self.counters.own_mark.is_active()
            || self.counters.hint.is_active()
    }

    /// Takes in an answer with or without the drain mark, `latency` after its request was sent.
    pub fn record_drain_signal(&self, is_draining: bool, latency: Duration) {
        self.counters.own_mark.record(is_draining, latency);
    }

    /// The drain mark as this node saw it last.
    pub fn drain_observation(&self) -> DrainObservation {
        self.counters.own_mark.last_observation()
    }

    /// Takes in what the other entries say about the drain mark.
    pub fn apply_drain_hint(&self, is_draining: bool) {
        self.counters.hint.record(is_draining, Duration::ZERO);
    }

    /// Counts a request as sent until the guard is dropped.
    pub fn start_request(&self) -> InflightGuard {
        self.counters.inflight.fetch_add(1, Ordering::Relaxed);
        InflightGuard { counters: Arc::clone(&self.counters) }
    }
}

/// Counts one request in flight while it lives.
#[derive(Debug)]
pub struct InflightGuard {
    counters: Arc<UpstreamCounters>,
}

impl Drop for InflightGuard {
    fn drop(&mut self) {
        self.counters.inflight.fetch_sub(1, Ordering::Relaxed);
    }
}
