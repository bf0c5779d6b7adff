//! Limits of each route, kept across configuration changes.
//!
//! Limits are created when a route is first used, because most routes of a large configuration get
//! no requests at a given entry.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};

use arc_swap::ArcSwapOption;

use crate::core::{ConfigSnapshot, LabelSelector, PartIndex, RouteKey, RouteRecord};
use crate::limits::admission_gate::{AdmissionGate, GateSettings};
use crate::limits::hedge_budget::HedgeBudget;
use crate::limits::hedge_counts::HedgeCounts;
use crate::limits::hedge_limit::{HedgeAllowance, HedgeLimitPair};
use crate::limits::hedge_table::HedgeTable;
use crate::limits::latency_window::LatencyWindow;
use crate::limits::part_sequence::PartSequence;
use crate::limits::retry_budget::RetryBudget;
use crate::limits::route_cost::RouteCostEstimator;
use crate::limits::route_group::{RouteGroup, route_groups};
use crate::limits::window_budget::{WindowAllowance, WindowBudget};
use crate::util::{FastMap, FastSet, SeededRandom};

/// How the requests of all routes are limited.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RouteLimitSettings {
    /// Allowance for repeats of the whole deployment, instead of the retry and hedge budgets of
    /// each route.
    pub repeats: Option<WindowAllowance>,
    /// Operators' limit on hedges, beside the budgets; none for no further limit.
    pub hedging: Option<HedgeAllowance>,
    /// Whether requests bypass the admission gate; the picker then decides which to refuse.
    pub is_gate_disabled: bool,
    /// Seed of the positions at which split routes begin to assign requests to their parts; each
    /// entry needs a seed of its own.
    pub part_seed: u64,
}

/// Limits of one route.
#[derive(Debug)]
pub struct RouteLimits {
    /// Budget for retries.
    pub retries: RetryBudget,
    /// Budget for hedges.
    pub hedges: HedgeBudget,
    /// Recent latencies, from which the hedge delay is computed.
    pub latency: LatencyWindow,
    /// Bounds the requests in flight; shared by all routes of a group.
    pub gate: Arc<AdmissionGate>,
    /// Service time and size of the route's requests.
    pub cost_estimator: RouteCostEstimator,
    /// Assigns requests to the parts of the route, if it is split.
    pub part_sequence: PartSequence,
    /// Budgets for repeats: one for each part of the route in order, or a single one if the route
    /// is not split; shared by routes with the same upstream selector. None without an allowance.
    window_budgets: ArcSwapOption<Vec<Arc<WindowBudget>>>,
    /// Operators' limits on hedges, in the order of the window budgets. None if there is no limit.
    hedge_limits: ArcSwapOption<Vec<HedgeLimitPair>>,
    /// Hedges by outcome.
    pub hedge_counts: HedgeCounts,
}

impl RouteLimits {
    /// Creates the limits of a route behind `gate`, whose requests `part_sequence` assigns to parts.
    pub fn new(gate: Arc<AdmissionGate>, part_sequence: PartSequence) -> Self {
        Self {
            retries: RetryBudget::default(),
            hedges: HedgeBudget::default(),
            latency: LatencyWindow::default(),
            gate,
            cost_estimator: RouteCostEstimator::default(),
            part_sequence,
            window_budgets: ArcSwapOption::empty(),
            hedge_limits: ArcSwapOption::empty(),
            hedge_counts: HedgeCounts::default(),
        }
    }

    /// The budget for the repeats of a part; none if the retry and hedge budgets apply instead.
    pub fn window_budget(&self, part: Option<PartIndex>) -> Option<Arc<WindowBudget>> {
        let window_budgets = self.window_budgets.load();
        let index = part.map_or(0, |part| part.0 as usize);
        window_budgets.as_ref()?.get(index).cloned()
    }

    /// Whether operators limit the hedges of the route.
    pub fn is_hedging_limited(&self) -> bool {
        self.hedge_limits.load().is_some()
    }

    /// Operators' limits on the hedges of a part; none if there is no such limit.
    pub fn hedge_limits(&self, part: Option<PartIndex>) -> Option<HedgeLimitPair> {
        let limits = self.hedge_limits.load();
        let limits = limits.as_ref()?;
        let index = part.map_or(0, |part| part.0 as usize);
        // A request that was admitted under an earlier configuration may belong to a part that no
        // longer exists; its hedges stay limited.
        limits.get(index).or(limits.last()).cloned()
    }
}

/// Limits of the routes in use, by name.
#[derive(Debug)]
pub struct LimitTable {
    settings: RouteLimitSettings,
    entries: AtomicU32,
    /// Limits of the snapshot that was asked for last, readable without a lock.
    current: ArcSwapOption<SnapshotLimits>,
    retained: Mutex<RetainedLimits>,
    /// Draws the starts of part sequences.
    part_random: Mutex<SeededRandom>,
}

impl Default for LimitTable {
    fn default() -> Self {
        Self::new(RouteLimitSettings::default())
    }
}

/// Limits of one route, with its name.
#[derive(Clone, Debug)]
pub struct NamedLimits {
    /// Name of the route.
    pub name: String,
    /// Its limits.
    pub limits: Arc<RouteLimits>,
}

/// State that outlives a snapshot, so that a configuration change does not refill budgets.
///
/// What counts running requests, or repeats within a window, is kept until these have ended or left the
/// window, also while no route of the configuration leads to it: the service may return before.
#[derive(Debug, Default)]
struct RetainedLimits {
    routes: FastMap<String, Arc<RouteLimits>>,
    /// By the name of the group.
    gates: FastMap<String, Arc<AdmissionGate>>,
    /// By the upstream selector. Bounded by the services that had requests within one window.
    window_budgets: FastMap<LabelSelector, Arc<WindowBudget>>,
    /// Allowance for repeats that replaced the one in the settings.
    allowance: Option<WindowAllowance>,
    hedges: HedgeTable,
    /// Operators' limit on hedges in force.
    hedging: Option<HedgeAllowance>,
}

/// Limits in the order of one snapshot's routes.
#[derive(Debug)]
struct SnapshotLimits {
    snapshot: Arc<ConfigSnapshot>,
    groups: Vec<RouteGroup>,
    /// Empty for a route that has not been used.
    routes: Vec<OnceLock<Arc<RouteLimits>>>,
}

impl LimitTable {
    /// Creates an empty table.
    pub fn new(settings: RouteLimitSettings) -> Self {
        let part_random = Mutex::new(SeededRandom::new(settings.part_seed));
        let retained = RetainedLimits { hedging: settings.hedging, ..RetainedLimits::default() };
        Self {
            settings,
            entries: AtomicU32::default(),
            current: ArcSwapOption::default(),
            retained: Mutex::new(retained),
            part_random,
        }
    }

    /// Settings that the table was created with.
    pub fn settings(&self) -> &RouteLimitSettings {
        &self.settings
    }

    /// Replaces the allowance for repeats; does nothing if the settings have none.
    pub fn set_repeat_allowance(&self, allowance: WindowAllowance) {
        if self.settings.repeats.is_none() {
            return;
        }
        let mut retained = self.lock();
        retained.allowance = Some(allowance);
        for budget in retained.window_budgets.values() {
            budget.set_allowance(allowance);
        }
    }

    /// Replaces the operators' limit on hedges; it is in force when the call returns, also for
    /// requests that are running.
    pub fn set_hedge_allowance(&self, allowance: Option<HedgeAllowance>) {
        let mut retained = self.lock();
        retained.hedging = allowance;
        if let Some(current) = self.current.load_full() {
            self.rebuild(&mut retained, &current.snapshot);
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

    /// Limits of a route of `snapshot`, carried over from the route of the same name in the
    /// previous snapshot.
    pub fn get(&self, snapshot: &Arc<ConfigSnapshot>, key: RouteKey) -> Option<Arc<RouteLimits>> {
        let current = self.current.load();
        if let Some(limits) = current.as_ref()
            && Arc::ptr_eq(&limits.snapshot, snapshot)
            && let Some(known) = limits.routes.get(key.0 as usize)?.get()
        {
            return Some(Arc::clone(known));
        }
        drop(current);
        self.create(snapshot, key)
    }

    /// Limits of the routes in use of the snapshot that was asked for last.
    pub fn routes(&self) -> Vec<NamedLimits> {
        let retained = self.lock();
        let mut routes = Vec::with_capacity(retained.routes.len());
        for (name, limits) in &retained.routes {
            routes.push(NamedLimits { name: name.clone(), limits: Arc::clone(limits) });
        }
        routes
    }

    fn new_part_sequence(&self) -> PartSequence {
        let mut random = self.part_random.lock().unwrap_or_else(PoisonError::into_inner);
        PartSequence::starting_at(random.unit())
    }

    fn lock(&self) -> MutexGuard<'_, RetainedLimits> {
        self.retained.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Creates the limits of a route at its first use, unless another request has just done so.
    fn create(&self, snapshot: &Arc<ConfigSnapshot>, key: RouteKey) -> Option<Arc<RouteLimits>> {
        let mut retained = self.lock();
        let current = match self.current.load_full() {
            Some(current) if Arc::ptr_eq(&current.snapshot, snapshot) => current,
            _ => self.rebuild(&mut retained, snapshot),
        };
        let index = key.0 as usize;
        let slot = current.routes.get(index)?;
        if let Some(known) = slot.get() {
            return Some(Arc::clone(known));
        }
        let limits = self.limits_of(&mut retained, snapshot, index, *current.groups.get(index)?)?;
        Some(Arc::clone(slot.get_or_init(|| limits)))
    }

    /// Carries the limits in use over to another snapshot, and makes it the current one.
    fn rebuild(
        &self,
        retained: &mut RetainedLimits,
        snapshot: &Arc<ConfigSnapshot>,
    ) -> Arc<SnapshotLimits> {
        let groups = route_groups(snapshot);
        let used = retained.retain_for(snapshot, &groups);
        let mut routes = Vec::with_capacity(snapshot.routes.len());
        routes.resize_with(snapshot.routes.len(), OnceLock::new);
        for index in used {
            let limits = self.limits_of(retained, snapshot, index, groups[index]);
            routes[index] = limits.map_or_else(OnceLock::new, OnceLock::from);
        }
        let limits = Arc::new(SnapshotLimits { snapshot: Arc::clone(snapshot), groups, routes });
        self.current.store(Some(Arc::clone(&limits)));
        limits
    }

    /// Limits of the route at `index`: the retained ones, or new ones if the route has none or has
    /// moved to another group.
    fn limits_of(
        &self,
        retained: &mut RetainedLimits,
        snapshot: &ConfigSnapshot,
        index: usize,
        group: RouteGroup,
    ) -> Option<Arc<RouteLimits>> {
        let route = snapshot.routes.get(index)?;
        let name = &snapshot.routes.get(group.first_route)?.name;
        let gate = retained
            .gates
            .entry(name.clone())
            .or_insert_with(|| Arc::new(AdmissionGate::new(group.slots, GateSettings::default())));
        let limits = match retained.routes.get(&route.name) {
            Some(limits) if Arc::ptr_eq(&limits.gate, gate) => Arc::clone(limits),
            _ => Arc::new(RouteLimits::new(Arc::clone(gate), self.new_part_sequence())),
        };
        let selectors = service_selectors(route);
        let hedge_limits = retained
            .hedging
            .map(|allowance| Arc::new(retained.hedges.limits_of(route, &selectors, allowance)));
        limits.hedge_limits.store(hedge_limits);
        if let Some(repeats) = self.settings.repeats {
            let allowance = retained.allowance.unwrap_or(repeats);
            let budgets = window_budgets_of(&selectors, allowance, &mut retained.window_budgets);
            limits.window_budgets.store(Some(Arc::new(budgets)));
        }
        retained.routes.insert(route.name.clone(), Arc::clone(&limits));
        Some(limits)
    }
}

impl RetainedLimits {
    /// Drops the state of routes, groups and services that `snapshot` does not have, unless something
    /// still counts there, and applies its slots and the hedge allowance to the rest. Returns the indexes
    /// of the routes in use.
    fn retain_for(&mut self, snapshot: &ConfigSnapshot, groups: &[RouteGroup]) -> Vec<usize> {
        let mut used = Vec::new();
        let mut routes = FastMap::default();
        let mut gates = FastMap::default();
        for (index, route) in snapshot.routes.iter().enumerate() {
            if let Some((name, limits)) = self.routes.remove_entry(&route.name) {
                routes.insert(name, limits);
                used.push(index);
            }
            let RouteGroup { first_route, slots } = groups[index];
            if first_route != index {
                continue;
            }
            if let Some((name, gate)) = self.gates.remove_entry(&route.name) {
                gate.set_slots(slots);
                gates.insert(name, gate);
            }
        }
        // A running request holds the limits of its route, which hold the gate.
        self.routes = routes;
        gates.extend(self.gates.extract_if(|_, gate| is_in_use(gate)));
        self.gates = gates;
        if self.window_budgets.is_empty() && self.hedges.is_empty() {
            return used;
        }
        let mut names: FastSet<&str> = FastSet::default();
        let mut services: FastSet<&LabelSelector> = FastSet::default();
        for route in &snapshot.routes {
            names.insert(&route.name);
            services.extend(service_selectors(route));
        }
        self.window_budgets.retain(|selector, budget| {
            services.contains(selector) || is_in_use(budget) || budget.has_counts()
        });
        self.hedges.retain_for(&names, &services, self.hedging);
        used
    }
}

/// Whether someone else, such as a running request, holds the value.
fn is_in_use<T>(value: &Arc<T>) -> bool {
    Arc::strong_count(value) > 1
}

/// Upstream selectors of a route's parts, or of the route if it is not split. Routes with the same
/// selector send to the same service.
fn service_selectors(route: &RouteRecord) -> Vec<&LabelSelector> {
    let mut selectors = Vec::with_capacity(route.spec.parts.len().max(1));
    for part in &route.spec.parts {
        selectors.push(&part.upstreams);
    }
    if selectors.is_empty() {
        selectors.push(&route.spec.upstreams);
    }
    selectors
}

/// Budgets for the repeats of the services with these selectors; those in `known` are reused.
fn window_budgets_of(
    selectors: &[&LabelSelector],
    allowance: WindowAllowance,
    known: &mut FastMap<LabelSelector, Arc<WindowBudget>>,
) -> Vec<Arc<WindowBudget>> {
    let mut budgets = Vec::with_capacity(selectors.len());
    for selector in selectors {
        let budget = known
            .entry((*selector).clone())
            .or_insert_with(|| Arc::new(WindowBudget::new(allowance)));
        budgets.push(Arc::clone(budget));
    }
    budgets
}
