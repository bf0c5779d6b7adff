//! The answer to "which of your addresses should I use?".

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use crate::core::FailureDomain;
use crate::membership::view::{EntryRecord, SharedMembership};

/// Time for which callers may keep an answer.
const ANSWER_LIFETIME: Duration = Duration::from_secs(10);

/// One address of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EntryAddress {
    /// Address.
    pub address: SocketAddr,
    /// Failure domain of the address.
    pub failure_domain: FailureDomain,
}

#[derive(Debug, Serialize)]
struct AddressAnswer {
    addresses: Vec<EntryAddress>,
    lifetime_ms: u64,
}

/// Answers callers' questions from the present membership view.
#[derive(Debug)]
pub struct AddressBook {
    membership: SharedMembership,
}

impl AddressBook {
    /// Creates a book over `membership`.
    pub fn new(membership: SharedMembership) -> Self {
        Self { membership }
    }

    /// The JSON answer to a query `service=S&failure_domain=F`: addresses in the caller's failure
    /// domain first.
    pub fn answer(&self, query: &str) -> Bytes {
        let caller_domain = query_value(query, "failure_domain").unwrap_or_default();
        let view = self.membership.load();
        let mut entries: Vec<&EntryRecord> = view.ready().collect();
        entries.sort_by_key(|entry| entry.failure_domain.as_str() != caller_domain);
        let mut addresses = Vec::with_capacity(entries.len());
        for entry in entries {
            addresses.push(EntryAddress {
                address: entry.caller_address,
                failure_domain: entry.failure_domain.clone(),
            });
        }
        let answer = AddressAnswer { addresses, lifetime_ms: ANSWER_LIFETIME.as_millis() as u64 };
        Bytes::from(serde_json::to_vec(&answer).unwrap_or_default())
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
