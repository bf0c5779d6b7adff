//! The answer to "which of your addresses should I use?".
//!
//! The addresses of a service's entries in the caller's failure domain come first, then those of
//! the other domains as backups. Within each group the order turns with every answer, so that
//! callers who take the first address spread over the group.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use crate::core::{FailureDomain, SharedSnapshot};
use crate::membership::assignment::{AssignmentSettings, DomainAssignment, assign_entries};
use crate::membership::view::SharedMembership;

/// Time for which callers may keep an answer.
const ANSWER_LIFETIME: Duration = Duration::from_secs(10);

/// One address of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EntryAddress {
    /// Address.
    pub address: SocketAddr,
    /// Failure domain of the address.
    pub failure_domain: FailureDomain,
    /// Whether the address is for callers who cannot reach those before it.
    pub is_backup: bool,
}

/// Who asks for addresses.
#[derive(Clone, Copy, Debug, Default)]
pub struct AddressQuery<'a> {
    /// Name of the route that the caller will use.
    pub service: &'a str,
    /// Failure domain of the caller; empty if it does not know.
    pub failure_domain: &'a str,
}

#[derive(Debug, Serialize)]
struct AddressResponse {
    addresses: Vec<EntryAddress>,
    lifetime_ms: u64,
}

/// Answers callers' questions from the present membership view and configuration.
#[derive(Debug)]
pub struct AddressResolver {
    membership: SharedMembership,
    snapshot: SharedSnapshot,
    settings: AssignmentSettings,
    turn: AtomicUsize,
}

impl AddressResolver {
    /// Creates a book over `membership` and the configuration.
    pub fn new(
        membership: SharedMembership,
        snapshot: SharedSnapshot,
        settings: AssignmentSettings,
    ) -> Self {
        Self { membership, snapshot, settings, turn: AtomicUsize::new(0) }
    }

    /// The JSON answer to a query `service=S&failure_domain=F`.
    pub fn respond(&self, query: &str) -> Bytes {
        let query = AddressQuery {
            service: query_value(query, "service").unwrap_or_default(),
            failure_domain: query_value(query, "failure_domain").unwrap_or_default(),
        };
        let answer = AddressResponse {
            addresses: self.addresses(query),
            lifetime_ms: ANSWER_LIFETIME.as_millis() as u64,
        };
        Bytes::from(serde_json::to_vec(&answer).unwrap_or_default())
    }

    /// The addresses for a caller, those to use first in front. A caller in a failure domain
    /// without an entry, or in none that it knows, may use all.
    pub fn addresses(&self, query: AddressQuery<'_>) -> Vec<EntryAddress> {
        let view = self.membership.load();
        let upstreams = self.upstream_count(query.service);
        let domains = assign_entries(&view, query.service, upstreams, &self.settings);
        let turn = self.turn.fetch_add(1, Ordering::Relaxed);
        let is_home =
            |domain: &DomainAssignment<'_>| domain.failure_domain.as_str() == query.failure_domain;
        let has_home = domains.iter().any(&is_home);
        let mut first = Vec::new();
        let mut backups = Vec::new();
        for domain in &domains {
            let is_backup = has_home && !is_home(domain);
            let group = if is_backup { &mut backups } else { &mut first };
            for assigned in &domain.entries {
                group.push(EntryAddress {
                    address: assigned.entry.caller_address,
                    failure_domain: assigned.entry.failure_domain.clone(),
                    is_backup,
                });
            }
        }
        rotate(&mut first, turn);
        rotate(&mut backups, turn);
        first.append(&mut backups);
        first
    }

    fn upstream_count(&self, service: &str) -> usize {
        let snapshot = self.snapshot.load();
        let route = snapshot.as_ref().and_then(|snapshot| snapshot.route_by_name(service));
        route.map_or(0, |route| route.upstreams.len())
    }
}

fn rotate(group: &mut [EntryAddress], turn: usize) {
    if !group.is_empty() {
        group.rotate_left(turn % group.len());
    }
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    for pair in query.split('&') {
        let Some((key, value)) = pair.split_once('=') else { continue };
        if key == name {
            return Some(value);
        }
    }
    None
}
