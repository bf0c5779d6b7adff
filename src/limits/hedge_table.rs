//! Hedge limits of the routes and services in use, kept across configuration changes.

use std::sync::Arc;

use crate::core::{LabelSelector, RouteRecord};
use crate::limits::hedge_limit::{HedgeAllowance, HedgeLimit, HedgeLimitPair};
use crate::util::{FastMap, FastSet};

/// Hedge limits by the name of the route, and by the service's upstream selector.
#[derive(Debug, Default)]
pub(super) struct HedgeTable {
    routes: FastMap<String, Arc<HedgeLimit>>,
    services: FastMap<LabelSelector, Arc<HedgeLimit>>,
}

impl HedgeTable {
    /// Whether there are no limits.
    pub(super) fn is_empty(&self) -> bool {
        self.routes.is_empty() && self.services.is_empty()
    }

    /// Drops the limits of other routes and services, and applies `allowance` to the rest; drops
    /// all if there is no allowance.
    pub(super) fn retain_for(
        &mut self,
        routes: &FastSet<&str>,
        services: &FastSet<&LabelSelector>,
        allowance: Option<HedgeAllowance>,
    ) {
        let Some(allowance) = allowance else {
            *self = Self::default();
            return;
        };
        self.routes.retain(|name, limit| {
            limit.set_share(allowance.max_share);
            routes.contains(name.as_str())
        });
        self.services.retain(|selector, limit| {
            limit.set_share(allowance.max_service_share);
            services.contains(selector)
        });
    }

    /// Limits for the hedges of a route's parts: one pair for each of `selectors`.
    pub(super) fn limits_of(
        &mut self,
        route: &RouteRecord,
        selectors: &[&LabelSelector],
        allowance: HedgeAllowance,
    ) -> Vec<HedgeLimitPair> {
        let route = self.routes.entry(route.name.clone());
        let route = route.or_insert_with(|| Arc::new(HedgeLimit::new(allowance.max_share)));
        let mut pairs = Vec::with_capacity(selectors.len());
        for selector in selectors {
            let service = self
                .services
                .entry((*selector).clone())
                .or_insert_with(|| Arc::new(HedgeLimit::new(allowance.max_service_share)));
            pairs.push(HedgeLimitPair { route: Arc::clone(route), service: Arc::clone(service) });
        }
        pairs
    }
}
