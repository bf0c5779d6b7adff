//! Which entries serve callers of a service.
//!
//! Each failure domain gives a service a few of its entries, by weighted rendezvous hashing
//! (D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit Rates", 1998): every
//! entry has a score for the service, and the highest scores win. A joining or leaving entry moves
//! only the callers of the services that it wins or had won. Few entries for a service mean that
//! each hears from the service's upstreams often, and that few connections are open to them.

use std::collections::BTreeMap;

use crate::core::FailureDomain;
use crate::membership::view::{EntryRecord, MembershipView};
use crate::util::fnv1a;

/// How many entries serve a service.
#[derive(Clone, Debug)]
pub struct AssignmentSettings {
    /// Fewest entries of a failure domain, so that one may die.
    pub min_per_domain: usize,
    /// Upstreams of a service for each of its entries.
    pub upstreams_per_entry: usize,
}

impl Default for AssignmentSettings {
    fn default() -> Self {
        Self { min_per_domain: 2, upstreams_per_entry: 4 }
    }
}

impl AssignmentSettings {
    /// Entries of each of `domains` failure domains for a service with `upstreams`.
    pub fn entries_per_domain(&self, upstreams: usize, domains: usize) -> usize {
        let share = upstreams.div_ceil(self.upstreams_per_entry.max(1) * domains.max(1));
        share.max(self.min_per_domain)
    }
}

/// An entry's part in a service.
#[derive(Clone, Copy, Debug)]
pub struct AssignedEntry<'a> {
    /// The entry.
    pub entry: &'a EntryRecord,
    /// Its score for the service; higher goes first.
    pub score: f64,
}

/// The entries of one failure domain that serve a service, highest score first.
#[derive(Clone, Debug)]
pub struct DomainAssignment<'a> {
    /// The failure domain.
    pub failure_domain: &'a FailureDomain,
    /// The entries.
    pub entries: Vec<AssignedEntry<'a>>,
}

/// Assigns ready entries to `service`, domain by domain in name order.
pub fn assign_entries<'a>(
    view: &'a MembershipView,
    service: &str,
    upstreams: usize,
    settings: &AssignmentSettings,
) -> Vec<DomainAssignment<'a>> {
    let mut domains: BTreeMap<&FailureDomain, Vec<AssignedEntry<'a>>> = BTreeMap::new();
    for entry in view.ready() {
        let score = rendezvous_score(service, entry.vm.as_str(), 1.0);
        domains.entry(&entry.failure_domain).or_default().push(AssignedEntry { entry, score });
    }
    let count = settings.entries_per_domain(upstreams, domains.len());
    let mut assignments = Vec::with_capacity(domains.len());
    for (failure_domain, mut entries) in domains {
        entries.sort_by(|a, b| b.score.total_cmp(&a.score));
        entries.truncate(count);
        assignments.push(DomainAssignment { failure_domain, entries });
    }
    assignments
}

/// Weighted rendezvous score of a node for a key: the node of weight `w` has the highest score for
/// a share of keys in proportion to `w`.
pub fn rendezvous_score(key: &str, node: &str, weight: f64) -> f64 {
    let bits = stable_hash(key, node);
    // In (0, 1), so that the logarithm is finite and negative.
    let unit = ((bits >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
    -weight / unit.ln()
}

/// A hash that is the same on every node and in every version (FNV-1a, then a finalizer that
/// spreads the last bytes over all bits).
fn stable_hash(key: &str, node: &str) -> u64 {
    let mut hash = fnv1a(key.bytes().chain([0]).chain(node.bytes()));
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
