//! Selects the upstreams of routes.
//!
//! Routes often share a selector: each one is evaluated once, and its list of upstreams is shared by
//! all routes that have it. A list that a change of the upstreams leaves as it was is shared with the
//! previous snapshot.

use std::sync::Arc;

use crate::core::{
    LabelSelector, RouteRecord, RouteSpec, RouteTable, UpstreamArena, UpstreamKey, UpstreamState,
    WeightedPart,
};
use crate::util::FastMap;

/// Evaluates the upstream selectors of one configuration.
pub(super) struct UpstreamSelection<'a> {
    /// The upstreams, in name order.
    by_name: Vec<(UpstreamKey, &'a UpstreamState)>,
    /// Positions in name order of the upstreams with each label.
    by_label: FastMap<(&'a str, &'a str), Vec<usize>>,
    /// Lists by selector.
    selected: FastMap<LabelSelector, Arc<[UpstreamKey]>>,
    /// Lists of the previous snapshot by selector.
    previous: FastMap<&'a LabelSelector, &'a Arc<[UpstreamKey]>>,
}

impl<'a> UpstreamSelection<'a> {
    /// Selects among `upstreams`.
    pub(super) fn new(upstreams: &'a UpstreamArena) -> Self {
        let mut by_name = Vec::with_capacity(upstreams.len());
        for (key, upstream) in upstreams {
            by_name.push((key, upstream.as_ref()));
        }
        by_name.sort_by(|a, b| a.1.name.cmp(&b.1.name));
        let mut by_label: FastMap<(&str, &str), Vec<usize>> = FastMap::default();
        for (position, (_, upstream)) in by_name.iter().enumerate() {
            for label in upstream.labels.iter() {
                by_label.entry(label).or_default().push(position);
            }
        }
        Self { by_name, by_label, selected: FastMap::default(), previous: FastMap::default() }
    }

    /// Shares the lists of `routes` that have not changed.
    pub(super) fn reuse_lists(&mut self, routes: &'a RouteTable) {
        for route in routes {
            self.previous.insert(&route.spec.upstreams, &route.upstreams);
            for (part, compiled) in route.spec.parts.iter().zip(&route.parts) {
                self.previous.insert(&part.upstreams, &compiled.upstreams);
            }
        }
    }

    /// Compiles a route.
    pub(super) fn compile_route(&mut self, name: String, spec: Arc<RouteSpec>) -> RouteRecord {
        let mut parts = Vec::with_capacity(spec.parts.len());
        for part in &spec.parts {
            let upstreams = self.select(&part.upstreams);
            parts.push(WeightedPart { weight: part.weight, upstreams });
        }
        let upstreams = self.select(&spec.upstreams);
        RouteRecord { name, spec, upstreams, parts }
    }

    fn select(&mut self, selector: &LabelSelector) -> Arc<[UpstreamKey]> {
        if let Some(known) = self.selected.get(selector) {
            return Arc::clone(known);
        }
        let mut keys = Vec::new();
        for position in self.candidates(selector) {
            let (key, upstream) = self.by_name[position];
            if selector.matches(&upstream.labels) {
                keys.push(key);
            }
        }
        let list = match self.previous.get(selector) {
            Some(previous) if previous.as_ref() == keys => Arc::clone(previous),
            _ => keys.into(),
        };
        self.selected.insert(selector.clone(), Arc::clone(&list));
        list
    }

    /// Positions, in name order, of upstreams that the selector can match.
    fn candidates(&self, selector: &LabelSelector) -> Vec<usize> {
        let Some((label, values)) = selector.narrowest_values() else {
            return (0..self.by_name.len()).collect();
        };
        let mut positions = Vec::new();
        for value in values {
            if let Some(found) = self.by_label.get(&(label, value.as_str())) {
                positions.extend_from_slice(found);
            }
        }
        positions.sort_unstable();
        // A selector may list a value twice.
        positions.dedup();
        positions
    }
}
