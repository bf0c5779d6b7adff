//! The bounded fan-out tree of a failure domain.
//!
//! The relay is the root and the other entries of its domain follow in the order of their names;
//! the parent of entry `i` is entry `(i - 1) / 8`. Every node computes the tree from its own view.
//! Views differ briefly after a change, which may put a node under another parent or make two
//! nodes each other's parent. No update is lost by that: a node goes on to the next candidate when
//! a parent does not reply or has no newer confirmation.

use std::net::SocketAddr;

use crate::membership::replicated_view::ReplicatedView;
use crate::peer::generated::peer::HeartbeatRecord;

/// Maximum number of children of one node.
const FAN_OUT: usize = 8;

/// A node that may be called as a parent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParentCandidate {
    /// The node's VM; empty if only its address is known.
    pub vm: String,
    /// Address on which the node accepts peers' calls.
    pub address: SocketAddr,
    /// Whether the node belongs to the caller's failure domain, as its relay or below it.
    pub is_own_domain: bool,
}

/// Returns the relay of a failure domain. If several nodes claim to be, it is the one with the
/// highest term.
pub fn relay_of<'a>(view: &'a ReplicatedView, failure_domain: &str) -> Option<&'a HeartbeatRecord> {
    let mut relay: Option<&HeartbeatRecord> = None;
    for record in view.records() {
        if record.failure_domain != failure_domain || record.relay_term == 0 {
            continue;
        }
        if relay.is_none_or(|relay| record.relay_term > relay.relay_term) {
            relay = Some(record);
        }
    }
    relay
}

/// Returns the nodes that `vm` of `failure_domain` may call, in order of preference: its ancestors
/// up to the relay, then the relays of other failure domains.
pub fn parent_candidates(
    view: &ReplicatedView,
    failure_domain: &str,
    vm: &str,
) -> Vec<ParentCandidate> {
    let mut candidates = Vec::new();
    if let Some(relay) = relay_of(view, failure_domain) {
        let mut members = vec![relay];
        for record in view.records() {
            if record.failure_domain == failure_domain && record.vm != relay.vm {
                members.push(record);
            }
        }
        let own = members.iter().position(|record| record.vm == vm);
        // A node that is not in the view yet takes the place after the last.
        let mut index = own.unwrap_or(members.len());
        while index > 0 {
            index = (index - 1) / FAN_OUT;
            candidates.extend(candidate(members[index], failure_domain));
        }
    }
    let mut domains = Vec::new();
    for record in view.records() {
        if record.failure_domain != failure_domain && !domains.contains(&&record.failure_domain) {
            domains.push(&record.failure_domain);
        }
    }
    for domain in domains {
        if let Some(relay) = relay_of(view, domain) {
            candidates.extend(candidate(relay, failure_domain));
        }
    }
    candidates.retain(|candidate| candidate.vm != vm);
    candidates
}

/// Returns the other nodes that claim to be the relay of `failure_domain`. The lease holder calls
/// them, so that they learn of its higher term.
pub fn competing_relays(
    view: &ReplicatedView,
    failure_domain: &str,
    vm: &str,
) -> Vec<ParentCandidate> {
    let mut competitors = Vec::new();
    for record in view.records() {
        let is_competitor = record.relay_term > 0 && record.vm != vm;
        if is_competitor && record.failure_domain == failure_domain {
            competitors.extend(candidate(record, failure_domain));
        }
    }
    competitors
}

fn candidate(record: &HeartbeatRecord, failure_domain: &str) -> Option<ParentCandidate> {
    Some(ParentCandidate {
        vm: record.vm.clone(),
        address: record.peer_address.parse().ok()?,
        is_own_domain: record.failure_domain == failure_domain,
    })
}
