//! Directory of entry addresses for callers.
//!
//! Callers use the entries of their own failure domain, which prefer upstreams there, because
//! traffic between domains is slow and costs money. A caller of another domain gets the entries of
//! this domain too: it asks here only if it has found no entry nearer.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::FailureDomain;
use crate::fleet::live_settings::LiveSettings;
use crate::membership::{EntryState, SharedMembership};

/// Maximum number of addresses in a response.
const MAX_ADDRESSES: usize = 64;

/// Looks up entry addresses in the current membership.
#[derive(Clone, Debug)]
pub struct EntryDirectory {
    membership: SharedMembership,
    failure_domain: FailureDomain,
    settings: LiveSettings,
}

impl EntryDirectory {
    /// Creates the directory of the entries in `failure_domain`.
    pub fn new(
        membership: SharedMembership,
        failure_domain: FailureDomain,
        settings: LiveSettings,
    ) -> Self {
        Self { membership, failure_domain, settings }
    }

    /// Time for which callers may cache a response.
    pub fn lifetime(&self) -> Duration {
        self.settings.load().directory.lifetime
    }

    /// Caller addresses of the ready entries in the failure domain, up to a limit per response.
    ///
    /// Entries without a path to the upstreams are left out, unless that would leave fewer than half:
    /// they still serve, by others. If none is ready, those of leaving ones, which still serve during
    /// their shutdown.
    pub fn addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.addresses_in(EntryState::Ready);
        if addresses.is_empty() {
            addresses = self.addresses_in(EntryState::Leaving);
        }
        addresses.truncate(MAX_ADDRESSES);
        addresses
    }

    fn addresses_in(&self, state: EntryState) -> Vec<SocketAddr> {
        let view = self.membership.load();
        let (mut connected, mut all) = (Vec::new(), Vec::new());
        for entry in &view.entries {
            if entry.failure_domain != self.failure_domain || entry.state != state {
                continue;
            }
            all.push(entry.caller_address);
            if entry.has_path {
                connected.push(entry.caller_address);
            }
        }
        if 2 * connected.len() >= all.len() { connected } else { all }
    }
}
