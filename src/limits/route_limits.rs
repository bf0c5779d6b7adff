//! Limits of each route, kept while the configuration changes around them.

use std::sync::{Arc, Mutex, PoisonError};

use arc_swap::ArcSwapOption;

use crate::core::{ConfigSnapshot, RouteKey};
use crate::limits::hedge_budget::HedgeBudget;
use crate::limits::latency_window::LatencyWindow;
use crate::limits::retry_budget::RetryBudget;
use crate::util::FastMap;

/// Budgets and recent latency of one route.
#[derive(Debug, Default)]
pub struct RouteLimits {
    /// Bounds retries.
    pub retries: RetryBudget,
    /// Bounds hedges.
    pub hedges: HedgeBudget,
    /// Recent latency, from which the delay of a hedge is taken.
    pub latency: LatencyWindow,
}

/// Limits of all routes by name.
#[derive(Debug, Default)]
pub struct LimitTable {
    present: ArcSwapOption<SnapshotLimits>,
    by_name: Mutex<FastMap<String, Arc<RouteLimits>>>,
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

    fn rebuild(&self, snapshot: &Arc<ConfigSnapshot>) -> Arc<SnapshotLimits> {
        let mut by_name = self.by_name.lock().unwrap_or_else(PoisonError::into_inner);
        by_name.retain(|name, limits| {
            Arc::strong_count(limits) > 1 || snapshot.route_named(name).is_some()
        });
        let mut routes = Vec::with_capacity(snapshot.routes.len());
        for route in &snapshot.routes {
            routes.push(Arc::clone(by_name.entry(route.name.clone()).or_default()));
        }
        let limits = Arc::new(SnapshotLimits { snapshot: Arc::clone(snapshot), routes });
        self.present.store(Some(Arc::clone(&limits)));
        limits
    }
}
