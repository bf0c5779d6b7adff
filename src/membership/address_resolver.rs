//! Resolves a service name to the addresses of the entries that serve it.
//!
//! Entries in the caller's failure domain come first, those of the other domains follow as
//! backups. Each response rotates the order within both groups, so that callers that always take
//! the first address spread over the group.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use crate::core::{FailureDomain, SharedSnapshot};
use crate::membership::assignment::{AssignmentSettings, DomainAssignment, assign_entries};
use crate::membership::view::SharedMembership;

/// Time for which callers may cache a response.
const RESPONSE_TTL: Duration = Duration::from_secs(10);

/// One address of a response.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EntryAddress {
    /// Address on which the entry accepts callers' requests.
    pub address: SocketAddr,
    /// Failure domain of the entry.
    pub failure_domain: FailureDomain,
    /// Whether the address is to be used only if those before it cannot be reached.
    pub is_backup: bool,
}

/// A lookup of the addresses of a service.
#[derive(Clone, Copy, Debug, Default)]
pub struct AddressQuery<'a> {
    /// Name of the route that the caller will use.
    pub service: &'a str,
    /// Failure domain of the caller; empty if unknown.
    pub failure_domain: &'a str,
}

#[derive(Debug, Serialize)]
struct AddressResponse {
    addresses: Vec<EntryAddress>,
    lifetime_ms: u64,
}

/// Resolves services from the current membership view and configuration.
#[derive(Debug)]
pub struct AddressResolver {
    membership: SharedMembership,
    snapshot: SharedSnapshot,
    settings: AssignmentSettings,
    rotation: AtomicUsize,
}

impl AddressResolver {
    /// Creates a resolver that reads `membership` and the routes of `snapshot`.
    pub fn new(
        membership: SharedMembership,
        snapshot: SharedSnapshot,
        settings: AssignmentSettings,
    ) -> Self {
        Self { membership, snapshot, settings, rotation: AtomicUsize::new(0) }
    }

    /// Returns the JSON response to a query `service=S&failure_domain=F`.
    pub fn respond(&self, query: &str) -> Bytes {
        let query = AddressQuery {
            service: query_value(query, "service").unwrap_or_default(),
            failure_domain: query_value(query, "failure_domain").unwrap_or_default(),
        };
        let response = AddressResponse {
            addresses: self.addresses(query),
            lifetime_ms: RESPONSE_TTL.as_millis() as u64,
        };
        Bytes::from(serde_json::to_vec(&response).unwrap_or_default())
    }

    /// Returns the addresses for a caller in order of preference. For a caller in an unknown
    /// failure domain, or in one without an entry, no address is a backup.
    pub fn addresses(&self, query: AddressQuery<'_>) -> Vec<EntryAddress> {
        let view = self.membership.load();
        let upstreams = self.upstream_count(query.service);
        let domains = assign_entries(&view, query.service, upstreams, &self.settings);
        let rotation = self.rotation.fetch_add(1, Ordering::Relaxed);
        let is_caller_domain =
            |domain: &DomainAssignment<'_>| domain.failure_domain.as_str() == query.failure_domain;
        let has_caller_domain = domains.iter().any(&is_caller_domain);
        let mut preferred = Vec::new();
        let mut backups = Vec::new();
        for domain in &domains {
            let is_backup = has_caller_domain && !is_caller_domain(domain);
            let group = if is_backup { &mut backups } else { &mut preferred };
            for assigned in &domain.entries {
                group.push(EntryAddress {
                    address: assigned.entry.caller_address,
                    failure_domain: assigned.entry.failure_domain.clone(),
                    is_backup,
                });
            }
        }
        rotate(&mut preferred, rotation);
        rotate(&mut backups, rotation);
        preferred.append(&mut backups);
        preferred
    }

    fn upstream_count(&self, service: &str) -> usize {
        let snapshot = self.snapshot.load();
        let route = snapshot.as_ref().and_then(|snapshot| snapshot.route_by_name(service));
        route.map_or(0, |route| route.upstreams.len())
    }
}

fn rotate(group: &mut [EntryAddress], rotation: usize) {
    if !group.is_empty() {
        group.rotate_left(rotation % group.len());
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
