//! Hedge limits of all routes and services, kept across configuration changes.

use std::sync::Arc;

use crate::core::RouteRecord;
use crate::limits::hedge_limit::{HedgeAllowance, HedgeLimit, HedgeLimitPair};
use crate::util::FastMap;

/// Hedge limits by the name of the route, and by the text of the service's upstream selector.
#[derive(Debug, Default)]
pub(super) struct HedgeTable {
    routes: FastMap<String, Arc<HedgeLimit>>,
    services: FastMap<String, Arc<HedgeLimit>>,
}

impl HedgeTable {
    /// Limits for the hedges of a route's parts: one pair for each of `selectors`. Limits that
    /// `retained` holds are reused.
    pub(super) fn limits_of(
        &mut self,
        route: &RouteRecord,
        selectors: &[String],
        allowance: HedgeAllowance,
        retained: &Self,
    ) -> Vec<HedgeLimitPair> {
        let known = &retained.routes;
        let route = insert_limit(&mut self.routes, known, &route.name, allowance.max_share);
        let mut pairs = Vec::with_capacity(selectors.len());
        for selector in selectors {
            let share = allowance.max_service_share;
            let service = insert_limit(&mut self.services, &retained.services, selector, share);
            pairs.push(HedgeLimitPair { route: Arc::clone(&route), service });
        }
        pairs
    }
}

fn insert_limit(
    limits: &mut FastMap<String, Arc<HedgeLimit>>,
    retained: &FastMap<String, Arc<HedgeLimit>>,
    name: &str,
    share: f64,
) -> Arc<HedgeLimit> {
    if let Some(limit) = limits.get(name) {
        return Arc::clone(limit);
    }
    let known = retained.get(name).cloned();
    let limit = known.unwrap_or_else(|| Arc::new(HedgeLimit::new(share)));
    limit.set_share(share);
    limits.insert(name.to_owned(), Arc::clone(&limit));
    limit
}
