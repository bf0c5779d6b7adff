//! The bounded fan-out tree of a failure domain.
//!
//! The relay is the root and the other entries of its domain follow in the order of their names;
//! the parent of entry `i` is entry `(i - 1) / 8`. Every node works the tree out from its own
//! view. Views differ for a moment after a change, which may put a node under another parent or
//! make two nodes each other's parent; neither loses a message for good, because a node turns to
//! the next candidate when a parent does not answer or has no confirmation that is newer.

use std::net::SocketAddr;

use crate::membership::replicated_view::ReplicatedView;
use crate::peer::generated::peer::HeartbeatRecord;

/// Children of one node.
const FAN_OUT: usize = 8;

/// A node that may be asked.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ParentCandidate {
    /// The node; empty if only its address is known.
    pub vm: String,
    /// Its address for peers.
    pub address: SocketAddr,
    /// Whether it is the relay of the asking node's failure domain or below it.
    pub is_own_domain: bool,
}

/// The relay of a failure domain: of several that claim it, the one with the highest term.
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

/// The nodes that `vm` of `failure_domain` asks, in order: its ancestors up to the relay, then the
/// relays of other failure domains.
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
        // A node that is not in the view yet asks as if it came last.
        let mut index = own.unwrap_or(members.len());
        while index > 0 {
            index = (index - 1) / FAN_OUT;
            candidates.extend(candidate_of(members[index], failure_domain));
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
            candidates.extend(candidate_of(relay, failure_domain));
        }
    }
    candidates.retain(|candidate| candidate.vm != vm);
    candidates
}

/// Other nodes that claim to be the relay of `failure_domain`: whoever holds the lease tells them.
pub fn competing_relays(
    view: &ReplicatedView,
    failure_domain: &str,
    vm: &str,
) -> Vec<ParentCandidate> {
    let mut rivals = Vec::new();
    for record in view.records() {
        let is_rival = record.relay_term > 0 && record.vm != vm;
        if is_rival && record.failure_domain == failure_domain {
            rivals.extend(candidate_of(record, failure_domain));
        }
    }
    rivals
}

fn candidate_of(record: &HeartbeatRecord, failure_domain: &str) -> Option<ParentCandidate> {
    Some(ParentCandidate {
        vm: record.vm.clone(),
        address: record.peer_address.parse().ok()?,
        is_own_domain: record.failure_domain == failure_domain,
    })
}
