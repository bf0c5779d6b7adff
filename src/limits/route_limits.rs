//! Limits of each route, kept while the configuration changes around them.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwapOption;

use crate::core::{ConfigSnapshot, RouteKey};
use crate::limits::admission_gate::{AdmissionGate, GateSettings};
use crate::limits::hedge_budget::HedgeBudget;
use crate::limits::latency_window::LatencyWindow;
use crate::limits::retry_budget::RetryBudget;
use crate::limits::route_group::route_groups;
use crate::util::FastMap;

/// Limits of one route.
#[derive(Debug)]
pub struct RouteLimits {
    /// Bounds retries.
    pub retries: RetryBudget,
    /// Bounds hedges.
    pub hedges: HedgeBudget,
    /// Recent latency, from which the delay of a hedge is taken.
    pub latency: LatencyWindow,
    /// Bounds what is in flight; shared by routes with an upstream in common.
    pub gate: Arc<AdmissionGate>,
}

impl RouteLimits {
    /// Creates the limits of a route behind `gate`.
    pub fn new(gate: Arc<AdmissionGate>) -> Self {
        Self {
            retries: RetryBudget::default(),
            hedges: HedgeBudget::default(),
            latency: LatencyWindow::default(),
            gate,
        }
    }
}

/// Limits of all routes by name.
#[derive(Debug, Default)]
pub struct LimitTable {
    present: ArcSwapOption<SnapshotLimits>,
    kept: Mutex<KeptLimits>,
}

/// The limits of one route and its name.
#[derive(Clone, Debug)]
pub struct NamedLimits {
    /// Name.
    pub name: String,
    /// Limits.
    pub limits: Arc<RouteLimits>,
}

/// What outlives a snapshot.
#[derive(Debug, Default)]
struct KeptLimits {
    routes: FastMap<String, Arc<RouteLimits>>,
    gates: FastMap<String, Arc<AdmissionGate>>,
}

/// Limits in the order of one snapshot's routes.
#[derive(Debug)]
struct SnapshotLimits {
    snapshot: Arc<ConfigSnapshot>,
    routes: Vec<Arc<RouteLimits>>,
}

impl LimitTable {
    /// Limits of a route of `snapshot`; a route of the same name in an earlier one shares them.
    pub fn of(&self, snapshot: &Arc<ConfigSnapshot>, key: RouteKey) -> Option<Arc<RouteLimits>> {
        let present = self.present.load();
        if let Some(limits) = present.as_ref()
            && Arc::ptr_eq(&limits.snapshot, snapshot)
        {
            return limits.routes.get(key.0 as usize).cloned();
        }
        drop(present);
        self.rebuild(snapshot).routes.get(key.0 as usize).cloned()
    }

    /// Limits of all routes of the present configuration that requests have asked for.
    pub fn routes(&self) -> Vec<NamedLimits> {
        let kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let mut routes = Vec::with_capacity(kept.routes.len());
        for (name, limits) in &kept.routes {
            routes.push(NamedLimits { name: name.clone(), limits: Arc::clone(limits) });
        }
        routes
    }

    fn rebuild(&self, snapshot: &Arc<ConfigSnapshot>) -> Arc<SnapshotLimits> {
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        let mut next = KeptLimits::default();
        let mut routes = Vec::with_capacity(snapshot.routes.len());
        for (route, group) in snapshot.routes.iter().zip(route_groups(snapshot)) {
            let gate = next.gates.entry(group.name).or_insert_with_key(|name| {
                kept.gates.remove(name).unwrap_or_else(|| {
                    Arc::new(AdmissionGate::new(group.slots, GateSettings::default()))
                })
            });
            gate.set_slots(group.slots);
            let limits = match kept.routes.remove(&route.name) {
                Some(limits) if Arc::ptr_eq(&limits.gate, gate) => limits,
                _ => Arc::new(RouteLimits::new(Arc::clone(gate))),
            };
            next.routes.insert(route.name.clone(), Arc::clone(&limits));
            routes.push(limits);
        }
        *kept = next;
        let limits = Arc::new(SnapshotLimits { snapshot: Arc::clone(snapshot), routes });
        self.present.store(Some(Arc::clone(&limits)));
        limits
    }
}
