//! Groups of routes that compete for the same upstreams.

use crate::core::{ConfigSnapshot, UpstreamKey};
use crate::util::FastMap;

/// A group of routes that share upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct RouteGroup {
    /// Name of the group: that of its first route in name order.
    pub(super) name: String,
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
    for (index, route) in snapshot.routes.iter().enumerate() {
        for key in route.upstreams.iter() {
            let other = *first_route.entry(*key).or_insert(index);
            let (root, other_root) = (root_of(&parents, index), root_of(&parents, other));
            parents[root.max(other_root)] = root.min(other_root);
        }
    }
    let mut slots = vec![0; parents.len()];
    for (key, index) in &first_route {
        let Some(upstream) = snapshot.upstreams.get(*key) else { continue };
        slots[root_of(&parents, *index)] += upstream.spec.slots;
    }
    let mut names: Vec<&str> = snapshot.routes.iter().map(|route| route.name.as_str()).collect();
    for index in 0..parents.len() {
        let root = root_of(&parents, index);
        names[root] = names[root].min(names[index]);
    }
    let mut groups = Vec::with_capacity(parents.len());
    for index in 0..parents.len() {
        let root = root_of(&parents, index);
        groups.push(RouteGroup { name: names[root].to_owned(), slots: slots[root] });
    }
    groups
}

fn root_of(parents: &[usize], mut index: usize) -> usize {
    while parents[index] != index {
        index = parents[index];
    }
    index
}
