//! Groups of routes that compete for the same upstreams.

use crate::core::{ConfigSnapshot, UpstreamKey};
use crate::util::FastMap;

/// A group of routes that share upstreams.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct RouteGroup {
    /// Index of its first route in name order, whose name is that of the group.
    pub(super) first_route: usize,
    /// Slots of all upstreams of the group.
    pub(super) slots: u32,
}

/// The group of each route of a snapshot, in the order of the routes.
///
/// Routes are in one group if they share an upstream, directly or through other routes; the groups
/// are found by union-find.
pub(super) fn route_groups(snapshot: &ConfigSnapshot) -> Vec<RouteGroup> {
    let mut parents: Vec<usize> = (0..snapshot.routes.len()).collect();
    let mut first_route: FastMap<UpstreamKey, usize> = FastMap::default();
    // Routes with the same selector share their list of upstreams, which is looked at once.
    let mut first_of_list: FastMap<*const UpstreamKey, usize> = FastMap::default();
    for (index, route) in snapshot.routes.iter().enumerate() {
        if route.upstreams.is_empty() {
            continue;
        }
        let first = *first_of_list.entry(route.upstreams.as_ptr()).or_insert(index);
        if first != index {
            join(&mut parents, index, first);
            continue;
        }
        for key in route.upstreams.iter() {
            let other = *first_route.entry(*key).or_insert(index);
            join(&mut parents, index, other);
        }
    }
    let mut slots = vec![0; parents.len()];
    for (key, index) in &first_route {
        let Some(upstream) = snapshot.upstreams.get(*key) else { continue };
        slots[root_of(&parents, *index)] += upstream.spec.slots;
    }
    let mut first_routes: Vec<usize> = (0..parents.len()).collect();
    for index in 0..parents.len() {
        let first = &mut first_routes[root_of(&parents, index)];
        if snapshot.routes[index].name < snapshot.routes[*first].name {
            *first = index;
        }
    }
    let mut groups = Vec::with_capacity(parents.len());
    for index in 0..parents.len() {
        let root = root_of(&parents, index);
        groups.push(RouteGroup { first_route: first_routes[root], slots: slots[root] });
    }
    groups
}

/// Joins the sets of two routes.
fn join(parents: &mut [usize], first: usize, second: usize) {
    let (root, other_root) = (root_of(parents, first), root_of(parents, second));
    parents[root.max(other_root)] = root.min(other_root);
}

fn root_of(parents: &[usize], mut index: usize) -> usize {
    while parents[index] != index {
        index = parents[index];
    }
    index
}
