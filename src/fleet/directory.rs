//! Which entries callers should use.
//!
//! Callers keep to the entries of their own failure domain, which keep to upstreams there; bytes
//! that cross are slow and paid for. An entry that is asked by a caller of another domain names its
//! own domain: whoever asks there has found nobody nearer.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::FailureDomain;
use crate::fleet::live_settings::LiveSettings;
use crate::membership::{EntryState, SharedMembership};

/// Most addresses of an answer.
const MAX_ADDRESSES: usize = 64;

/// Answers callers from the present membership.
#[derive(Clone, Debug)]
pub struct EntryDirectory {
    membership: SharedMembership,
    failure_domain: FailureDomain,
    settings: LiveSettings,
}

impl EntryDirectory {
    /// Creates the directory of an entry in `failure_domain`.
    pub fn new(
        membership: SharedMembership,
        failure_domain: FailureDomain,
        settings: LiveSettings,
    ) -> Self {
        Self { membership, failure_domain, settings }
    }

    /// Time for which callers may keep an answer.
    pub fn lifetime(&self) -> Duration {
        self.settings.load().directory.lifetime
    }

    /// Addresses of the ready entries of this failure domain.
    ///
    /// If none is ready, leaving ones are named: they serve for a while yet.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let ready = self.addresses_in(EntryState::Ready);
        if ready.is_empty() { self.addresses_in(EntryState::Leaving) } else { ready }
    }

    fn addresses_in(&self, state: EntryState) -> Vec<SocketAddr> {
        let view = self.membership.load();
        let mut addresses = Vec::new();
        for entry in &view.entries {
            if entry.failure_domain != self.failure_domain || entry.state != state {
                continue;
            }
            addresses.push(entry.caller_address);
            if addresses.len() == MAX_ADDRESSES {
                break;
            }
        }
        addresses
    }
}
