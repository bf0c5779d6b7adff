//! Upstreams at run time: a key, the spec, and counters that outlive a configuration change.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};

use slotmap::SlotMap;

use crate::core::identity::FailureDomain;
use crate::core::label::LabelSet;
use crate::core::object::UpstreamSpec;

slotmap::new_key_type! {
    /// Key of an upstream in the arena; stays the same while its name and address stay.
    pub struct UpstreamKey;
}

/// Arena of the upstreams of one configuration.
pub type UpstreamArena = SlotMap<UpstreamKey, Arc<UpstreamState>>;

/// One upstream with the counters of this node.
#[derive(Debug)]
pub struct UpstreamState {
    /// Object name.
    pub name: String,
    /// Spec at the time the state was made; address and name identify the state.
    pub spec: UpstreamSpec,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Labels.
    pub labels: LabelSet,
    inflight: AtomicU32,
    is_draining: AtomicBool,
}

impl UpstreamState {
    /// Creates the state of an upstream without work.
    pub fn new(name: &str, spec: UpstreamSpec, labels: LabelSet) -> Self {
        Self {
            name: name.to_owned(),
            failure_domain: FailureDomain::new(&spec.failure_domain),
            is_draining: AtomicBool::new(spec.draining),
            spec,
            labels,
            inflight: AtomicU32::new(0),
        }
    }

    /// Requests that this node has sent and that are not finished.
    pub fn inflight(&self) -> u32 {
        self.inflight.load(Ordering::Relaxed)
    }

    /// Whether the upstream gets no new work.
    pub fn is_draining(&self) -> bool {
        self.is_draining.load(Ordering::Relaxed)
    }

    /// Records that the upstream is, or is no longer, leaving.
    pub fn set_draining(&self, is_draining: bool) {
        self.is_draining.store(is_draining, Ordering::Relaxed);
    }

    /// Counts a request as sent until the guard is dropped.
    pub fn enter(self: &Arc<Self>) -> InflightGuard {
        self.inflight.fetch_add(1, Ordering::Relaxed);
        InflightGuard { upstream: Arc::clone(self) }
    }
}

/// Counts one request in flight while it lives.
#[derive(Debug)]
pub struct InflightGuard {
    upstream: Arc<UpstreamState>,
}

impl Drop for InflightGuard {
    fn drop(&mut self) {
        self.upstream.inflight.fetch_sub(1, Ordering::Relaxed);
    }
}
