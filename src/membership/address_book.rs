//! The answer to "which of your addresses should I use?".

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;

use crate::core::{FailureDomain, VmId};

/// Time for which callers may keep an answer.
const ANSWER_LIFETIME: Duration = Duration::from_secs(10);

/// One entry VM that callers may use.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct AddressEntry {
    /// Identity of the VM.
    pub vm: VmId,
    /// Address, `ip:port`.
    pub address: String,
    /// Failure domain.
    pub failure_domain: FailureDomain,
}

/// One address of an answer.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EntryAddress {
    /// Address, `ip:port`.
    pub address: String,
    /// Failure domain of the address.
    pub failure_domain: FailureDomain,
}

#[derive(Debug, Serialize)]
struct AddressAnswer {
    addresses: Vec<EntryAddress>,
    lifetime_ms: u64,
}

/// The entry VMs that callers are sent to.
#[derive(Debug, Default)]
pub struct AddressBook {
    entries: Mutex<Vec<AddressEntry>>,
}

impl AddressBook {
    /// Replaces the entries.
    pub fn replace(&self, entries: Vec<AddressEntry>) {
        *self.lock() = entries;
    }

    /// The entries.
    pub fn entries(&self) -> Vec<AddressEntry> {
        self.lock().clone()
    }

    /// The JSON answer to a query `service=S&failure_domain=F`: addresses in the caller's failure
    /// domain first.
    pub fn answer(&self, query: &str) -> Bytes {
        let caller_domain = query_value(query, "failure_domain").unwrap_or_default();
        let mut entries = self.entries();
        entries.sort_by_key(|entry| entry.failure_domain.as_str() != caller_domain);
        let mut addresses = Vec::with_capacity(entries.len());
        for entry in entries {
            let AddressEntry { address, failure_domain, .. } = entry;
            addresses.push(EntryAddress { address, failure_domain });
        }
        let answer = AddressAnswer { addresses, lifetime_ms: ANSWER_LIFETIME.as_millis() as u64 };
        Bytes::from(serde_json::to_vec(&answer).unwrap_or_default())
    }

    fn lock(&self) -> MutexGuard<'_, Vec<AddressEntry>> {
        self.entries.lock().unwrap_or_else(PoisonError::into_inner)
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
