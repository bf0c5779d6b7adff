//! Assigns entries to services.
//!
//! In each failure domain a service is served by a subset of the entries, chosen by weighted
//! rendezvous hashing (D. Thaler, C. Ravishankar, "Using Name-Based Mappings to Increase Hit
//! Rates", 1998): every entry has a score for the service, and the highest scores win. An entry
//! that joins or leaves moves only the callers of the services that it wins or had won. With a
//! small subset, each entry receives responses of the service's upstreams often, and few
//! connections to them are open.

use std::collections::BTreeMap;

use crate::core::FailureDomain;
use crate::membership::view::{EntryRecord, MembershipView};
use crate::util::fnv1a;

/// Size of the entry subset of a service.
#[derive(Clone, Debug)]
pub struct AssignmentSettings {
    /// Minimum number of entries in each failure domain; two tolerate the loss of one.
    pub min_per_domain: usize,
    /// Number of upstreams of a service for which one entry is added.
    pub upstreams_per_entry: usize,
}

impl Default for AssignmentSettings {
    fn default() -> Self {
        Self { min_per_domain: 2, upstreams_per_entry: 4 }
    }
}

impl AssignmentSettings {
    /// Returns how many entries each of `domains` failure domains assigns to a service with
    /// `upstreams` upstreams.
    pub fn entries_per_domain(&self, upstreams: usize, domains: usize) -> usize {
        let share = upstreams.div_ceil(self.upstreams_per_entry.max(1) * domains.max(1));
        share.max(self.min_per_domain)
    }
}

/// An entry that is assigned to a service.
#[derive(Clone, Copy, Debug)]
pub struct AssignedEntry<'a> {
    /// The assigned entry.
    pub entry: &'a EntryRecord,
    /// Rendezvous score of the entry for the service.
    pub score: f64,
}

/// The entries of one failure domain that are assigned to a service, highest score first.
#[derive(Clone, Debug)]
pub struct DomainAssignment<'a> {
    /// Failure domain of all the entries.
    pub failure_domain: &'a FailureDomain,
    /// The assigned entries.
    pub entries: Vec<AssignedEntry<'a>>,
}

/// Assigns ready entries to `service` in every failure domain; domains are in name order.
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

/// Returns the weighted rendezvous score of a node for a key. A node of weight `w` has the highest
/// score for a share of the keys in proportion to `w`.
pub fn rendezvous_score(key: &str, node: &str, weight: f64) -> f64 {
    let bits = stable_hash(key, node);
    // In (0, 1), so that the logarithm is finite and negative.
    let unit = ((bits >> 12) as f64 + 0.5) / (1_u64 << 52) as f64;
    -weight / unit.ln()
}

/// Hashes alike on every node and in every version: FNV-1a, then a finalizer that spreads the last
/// bytes over all bits.
fn stable_hash(key: &str, node: &str) -> u64 {
    let mut hash = fnv1a(key.bytes().chain([0]).chain(node.bytes()));
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
