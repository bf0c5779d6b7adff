//! The path of this entry to the upstreams, and the peers that it forwards to without one.

use tokio::time::Instant;

use crate::core::EntryPeer;
use crate::fleet::codec::DeploymentCodec;
use crate::fleet::peer_table::ForwardCandidates;
use crate::fleet::state::FleetState;
use crate::membership::EntryRecord;

impl<D: DeploymentCodec> FleetState<D> {
    /// Sets whether this entry has a path to the upstreams, and sends it to the others at once if that
    /// has changed.
    pub(in crate::fleet) fn set_path(&self, has_path: bool) {
        if self.table().set_own_path(has_path) {
            self.refresh_membership();
            self.request_message();
        }
    }

    /// Updates the peers that requests are forwarded to.
    pub(in crate::fleet) fn refresh_forwarding(&self) {
        let Some(forwarding) = &self.forwarding else { return };
        let ForwardCandidates { local, remote } = self.table().forward_candidates(Instant::now());
        forwarding.set_peers(entry_peers(&local), entry_peers(&remote));
    }
}

fn entry_peers(records: &[EntryRecord]) -> Vec<EntryPeer> {
    let mut peers = Vec::with_capacity(records.len());
    for record in records {
        peers.push(EntryPeer {
            name: record.vm.to_string(),
            address: record.peer_address,
            failure_domain: record.failure_domain.to_string(),
        });
    }
    peers
}
