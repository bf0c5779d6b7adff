//! Upstreams at run time: key, spec, and state that outlives a configuration change.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::time::Duration;

use slotmap::SlotMap;
use tokio::time::Instant;

use crate::core::drain_signal::{DrainObservation, DrainSignal, SignalExpiry};
use crate::core::identity::FailureDomain;
use crate::core::label::LabelSet;
use crate::core::object::UpstreamSpec;
use crate::core::rate_limit::NamedRateLimit;
use crate::core::upstream_stats::UpstreamStats;
use crate::core::warm_up::WarmUpLimit;

slotmap::new_key_type! {
    /// Key of an upstream in the arena; unchanged while its name and address do not change.
    pub struct UpstreamKey;
}

/// Upstreams of one configuration, by key.
pub type UpstreamArena = SlotMap<UpstreamKey, Arc<UpstreamState>>;

/// State of an upstream on this node that is shared by its configurations.
#[derive(Debug, Default)]
struct SharedState {
    inflight: AtomicU32,
    /// Whether the newest configuration excludes the upstream from new requests. Requests in
    /// progress may still hold an older configuration that includes it.
    is_retired: AtomicBool,
    /// Whether the operator has evacuated the failure domain of the upstream.
    is_evacuated: AtomicBool,
    /// Drain signal on responses to this node.
    own_signal: DrainSignal,
    /// Drain signal reported by peers.
    peer_signal: DrainSignal,
    rate_limit: NamedRateLimit,
    warm_up: WarmUpLimit,
    stats: UpstreamStats,
}

/// One upstream under one configuration, with its state on this node.
#[derive(Debug)]
pub struct UpstreamState {
    /// Object name.
    pub name: String,
    /// Spec under this configuration.
    pub spec: UpstreamSpec,
    /// Failure domain that the upstream runs in.
    pub failure_domain: FailureDomain,
    /// Labels that route selectors match.
    pub labels: LabelSet,
    shared: Arc<SharedState>,
}

impl UpstreamState {
    /// Creates an upstream with no requests in flight and empty statistics.
    pub fn new(name: &str, spec: UpstreamSpec, labels: LabelSet) -> Self {
        Self {
            name: name.to_owned(),
            failure_domain: FailureDomain::new(&spec.failure_domain),
            spec,
            labels,
            shared: Arc::default(),
        }
    }

    /// Creates the same upstream under another spec; both share in-flight count, drain signals, rate
    /// limit and statistics.
    pub fn with_spec(&self, spec: UpstreamSpec, labels: LabelSet) -> Self {
        Self { shared: Arc::clone(&self.shared), ..Self::new(&self.name, spec, labels) }
    }

    /// Requests from this node that are in flight.
    pub fn inflight(&self) -> u32 {
        self.shared.inflight.load(Ordering::Relaxed)
    }

    /// Load and health statistics.
    pub fn stats(&self) -> &UpstreamStats {
        &self.shared.stats
    }

    /// Rate limit that the upstream names.
    pub fn rate_limit(&self) -> &NamedRateLimit {
        &self.shared.rate_limit
    }

    /// Warm-up, and this entry's share of the rate that the upstream bears meanwhile.
    pub fn warm_up(&self) -> &WarmUpLimit {
        &self.shared.warm_up
    }

    /// Sets whether the newest configuration excludes the upstream from new attempts. This also
    /// applies to requests that were admitted under an older configuration.
    pub fn set_retired(&self, is_retired: bool) {
        self.shared.is_retired.store(is_retired, Ordering::Relaxed);
    }

    /// Sets whether the failure domain of the upstream is evacuated. This also applies to requests that
    /// were admitted before.
    pub fn set_evacuated(&self, is_evacuated: bool) {
        self.shared.is_evacuated.store(is_evacuated, Ordering::Relaxed);
    }

    /// Whether the failure domain of the upstream is evacuated. Load probes are still sent to it.
    pub fn is_evacuated(&self) -> bool {
        self.shared.is_evacuated.load(Ordering::Relaxed)
    }

    /// Whether the upstream gets no new attempts: because of its spec, the newest configuration,
    /// its own drain signal, or a drain signal that a peer has seen.
    pub fn is_draining(&self) -> bool {
        let expiry = match self.spec.started_ms {
            Some(_) => SignalExpiry::Never,
            None => SignalExpiry::AfterTtl,
        };
        let is_retired = self.shared.is_retired.load(Ordering::Relaxed);
        is_retired
            || self.spec.draining
            || self.shared.own_signal.is_active_with(expiry)
            || self.shared.peer_signal.is_active()
    }

    /// Whether an attempt may be sent now: the upstream is neither draining nor evacuated, has not asked
    /// for a pause, and this entry's share of its rate limit, or of its rate while it is cold, is not
    /// used up.
    pub fn accepts_attempts(&self, now: Instant) -> bool {
        !self.is_draining()
            && !self.is_evacuated()
            && self.stats().pause_left(now).is_zero()
            && self.rate_limit().may_send(now)
            && self.warm_up().may_send(now)
    }

    /// Counts an attempt against this entry's shares; false if one of them is used up.
    pub fn try_take_shares(&self, now: Instant) -> bool {
        self.warm_up().try_take(now) && self.rate_limit().try_take(now)
    }

    /// Time until an attempt may be sent, if the upstream does not drain.
    pub fn opens_in(&self, now: Instant) -> Duration {
        let limited = self.rate_limit().opens_in(now).max(self.warm_up().opens_in(now));
        self.stats().pause_left(now).max(limited)
    }

    /// Sends the upstream nothing for this time from now on. Returns whether a pause begins; a
    /// longer one that has begun before stays.
    pub fn pause(&self, time: Duration) -> bool {
        let now = Instant::now();
        let left = self.stats().pause_left(now);
        if time > left {
            let until = self.stats().nanos_at(now) + time.as_nanos() as u64;
            self.stats().paused_until.set(until);
        }
        left.is_zero() && !time.is_zero()
    }

    /// Records a response with or without the drain signal, `latency` after its request was sent.
    pub fn record_drain_signal(&self, is_draining: bool, latency: Duration) {
        self.shared.own_signal.record(is_draining, latency);
    }

    /// What this node itself last saw of the drain signal.
    pub fn drain_observation(&self) -> DrainObservation {
        self.shared.own_signal.last_observation()
    }

    /// Records whether peers report the upstream as draining.
    pub fn apply_drain_hint(&self, is_draining: bool) {
        self.shared.peer_signal.record(is_draining, Duration::ZERO);
    }

    /// Counts a request as in flight until the guard is dropped.
    pub fn start_request(&self) -> InflightGuard {
        self.shared.inflight.fetch_add(1, Ordering::Relaxed);
        InflightGuard { shared: Arc::clone(&self.shared) }
    }
}

/// Counts one request as in flight until it is dropped.
#[derive(Debug)]
pub struct InflightGuard {
    shared: Arc<SharedState>,
}

impl Drop for InflightGuard {
    fn drop(&mut self) {
        self.shared.inflight.fetch_sub(1, Ordering::Relaxed);
    }
}
