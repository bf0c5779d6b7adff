//! Limits of each route, kept while the configuration changes around them.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwapOption;

use crate::core::{ConfigSnapshot, PartIndex, RouteKey, RouteRecord};
use crate::limits::admission_gate::{AdmissionGate, GateSettings};
use crate::limits::hedge_budget::HedgeBudget;
use crate::limits::latency_window::LatencyWindow;
use crate::limits::retry_budget::RetryBudget;
use crate::limits::route_cost::RouteCostEstimator;
use crate::limits::route_group::route_groups;
use crate::limits::window_budget::{WindowAllowance, WindowBudget};
use crate::util::FastMap;

/// How the requests of all routes are limited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteLimitSettings {
    /// Allowance for repeats, in place of the budgets of each route.
    pub repeats: Option<WindowAllowance>,
    /// Whether requests pass without the adaptive gate; the picker then says when to refuse.
    pub is_gate_disabled: bool,
}

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
    /// Work and size of the route's requests.
    pub cost_estimator: RouteCostEstimator,
    /// Repeats for each part of the route, in their order, or for the whole of one that is not
    /// split; shared by routes with the same upstreams. Empty without an allowance.
    windows: ArcSwapOption<Vec<Arc<WindowBudget>>>,
}

impl RouteLimits {
    /// Creates the limits of a route behind `gate`.
    pub fn new(gate: Arc<AdmissionGate>) -> Self {
        Self {
            retries: RetryBudget::default(),
            hedges: HedgeBudget::default(),
            latency: LatencyWindow::default(),
            gate,
            cost_estimator: RouteCostEstimator::default(),
            windows: ArcSwapOption::empty(),
        }
    }

    /// The window that bounds the repeats of a part; none if the budgets of the route do.
    pub fn window_budget(&self, part: Option<PartIndex>) -> Option<Arc<WindowBudget>> {
        let windows = self.windows.load();
        let index = part.map_or(0, |part| part.0 as usize);
        windows.as_ref()?.get(index).cloned()
    }
}

/// Limits of all routes by name.
#[derive(Debug, Default)]
pub struct LimitTable {
    rules: RouteLimitSettings,
    entries: AtomicU32,
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
    /// By the text of the selector of upstreams.
    windows: FastMap<String, Arc<WindowBudget>>,
    /// Allowance for repeats that took the place of the rules'.
    allowance: Option<WindowAllowance>,
}

/// Limits in the order of one snapshot's routes.
#[derive(Debug)]
struct SnapshotLimits {
    snapshot: Arc<ConfigSnapshot>,
    routes: Vec<Arc<RouteLimits>>,
}

impl LimitTable {
    /// Creates an empty table.
    pub fn new(rules: RouteLimitSettings) -> Self {
        Self { rules, ..Self::default() }
    }

    /// How requests are limited.
    pub fn settings(&self) -> &RouteLimitSettings {
        &self.rules
    }

    /// Replaces the allowance for repeats, if there is one in place of the routes' own budgets.
    pub fn set_repeat_allowance(&self, allowance: WindowAllowance) {
        if self.rules.repeats.is_none() {
            return;
        }
        let mut kept = self.kept.lock().unwrap_or_else(PoisonError::into_inner);
        kept.allowance = Some(allowance);
        for window in kept.windows.values() {
            window.set_allowance(allowance);
        }
    }

    /// Sets the number of entries that share the allowance for repeats.
    pub fn set_entries(&self, entries: u32) {
        self.entries.store(entries, Ordering::Relaxed);
    }

    /// Number of entries that share the allowance for repeats.
    pub fn entries(&self) -> u32 {
        self.entries.load(Ordering::Relaxed)
    }

    /// Limits of a route of `snapshot`; a route of the same name in an earlier one shares them.
    pub fn get(&self, snapshot: &Arc<ConfigSnapshot>, key: RouteKey) -> Option<Arc<RouteLimits>> {
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
        let mut next = KeptLimits { allowance: kept.allowance, ..KeptLimits::default() };
        let allowance = self.rules.repeats.map(|rules| kept.allowance.unwrap_or(rules));
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
            if let Some(allowance) = allowance {
                let windows = windows_of(route, allowance, &kept.windows, &mut next.windows);
                limits.windows.store(Some(Arc::new(windows)));
            }
            next.routes.insert(route.name.clone(), Arc::clone(&limits));
            routes.push(limits);
        }
        *kept = next;
        let limits = Arc::new(SnapshotLimits { snapshot: Arc::clone(snapshot), routes });
        self.present.store(Some(Arc::clone(&limits)));
        limits
    }
}

/// Windows of a route's parts; those that `kept` knows go on.
fn windows_of(
    route: &RouteRecord,
    allowance: WindowAllowance,
    kept: &FastMap<String, Arc<WindowBudget>>,
    next: &mut FastMap<String, Arc<WindowBudget>>,
) -> Vec<Arc<WindowBudget>> {
    let mut selectors = Vec::with_capacity(route.spec.parts.len().max(1));
    for part in &route.spec.parts {
        selectors.push(part.upstreams.to_string());
    }
    if selectors.is_empty() {
        selectors.push(route.spec.upstreams.to_string());
    }
    let mut windows = Vec::with_capacity(selectors.len());
    for selector in selectors {
        let known = kept.get(&selector).cloned();
        let window = next
            .entry(selector)
            .or_insert_with(|| known.unwrap_or_else(|| Arc::new(WindowBudget::new(allowance))));
        windows.push(Arc::clone(window));
    }
    windows
}
