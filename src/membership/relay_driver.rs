//! The work of a relay for its failure domain: it watches the newest generation, reads the VM
//! list, and exchanges with the relays of other domains. The number of platform calls thus
//! grows with the number of failure domains, not with the number of nodes.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use tokio::time::Instant;

use crate::config::{GENERATION_KIND, OfferOutcome, with_timeout};
use crate::membership::driver::{MembershipDriver, RELAY_LEASE_PREFIX};
use crate::membership::fanout::ParentCandidate;
use crate::membership::heartbeat_table::HeartbeatSource;
use crate::membership::lease::{LEASE_KIND, read_spec};
use crate::peer::PeerTransport;
use crate::platform::{
    ObjectEnvelope, PlatformStore, Revision, StoreError, WatchEvent, WatchRequest,
};

/// Long-poll time of a watch; each response confirms that no newer generation exists.
const WATCH_WAIT: Duration = Duration::from_millis(500);
/// Time limit of a watch beyond its long-poll time, and of a list; a watch may stop responding.
const WATCH_GRACE: Duration = Duration::from_secs(1);
/// Pause after a failed platform call, and between checks on a node that is not a relay.
const IDLE_PAUSE: Duration = Duration::from_millis(500);
/// Interval at which a relay reads the VM list and the leases; also the time limit of each read.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Interval of the first reads of a new relay, which does not know the other relays yet.
const INITIAL_LIST_INTERVAL: Duration = Duration::from_millis(200);
/// Number of reads at the initial interval.
const INITIAL_LIST_COUNT: u32 = 5;
/// Shortest time between two exchanges with another domain's relay.
const MIN_RELAY_INTERVAL: Duration = Duration::from_millis(100);
/// Longest time between two exchanges with another domain's relay.
const MAX_RELAY_INTERVAL: Duration = Duration::from_secs(1);

impl<S: PlatformStore, T: PeerTransport> MembershipDriver<S, T> {
    /// Watches the newest generation while this node is the relay.
    pub(super) async fn generation_loop(&self) {
        loop {
            if self.node.is_relay()
                && let Err(error) = self.watch_generation().await
            {
                log::debug!(target: "membership", "generation watch failed reason={error}");
            }
            tokio::time::sleep(IDLE_PAUSE).await;
        }
    }

    async fn watch_generation(&self) -> Result<(), StoreError> {
        let sent_at = Instant::now();
        let listed = self.store.list(GENERATION_KIND, "");
        let list = with_timeout(listed, WATCH_GRACE).await?;
        let mut since = list.revision;
        let mut is_usable = true;
        for object in &list.items {
            is_usable &= self.offer_generation(object);
        }
        self.confirm_if_usable(sent_at, is_usable);
        while self.node.is_relay() {
            let sent_at = Instant::now();
            let batch =
                with_timeout(self.store.watch(watch_request(since)), WATCH_WAIT + WATCH_GRACE);
            let batch = batch.await?;
            for event in &batch.events {
                if let WatchEvent::Put { object } = event {
                    is_usable = self.offer_generation(object);
                }
            }
            since = since.max(batch.revision);
            self.confirm_if_usable(sent_at, is_usable);
        }
        Ok(())
    }

    /// Offers a generation to the node; returns whether the node applies it or a newer one.
    fn offer_generation(&self, object: &ObjectEnvelope) -> bool {
        let bytes = Bytes::from(object.spec.to_string());
        !matches!(self.node.offer(&bytes), OfferOutcome::Rejected { .. })
    }

    fn confirm_if_usable(&self, sent_at: Instant, is_usable: bool) {
        // A node that cannot apply the newest generation must not treat its own as the newest.
        if is_usable {
            self.node.confirm(sent_at.elapsed());
        }
    }

    /// Reads the VM list and the leases of other relays while this node is the relay.
    pub(super) async fn list_loop(&self) {
        let mut list_count = 0;
        loop {
            if !self.node.is_relay() {
                list_count = 0;
                tokio::time::sleep(INITIAL_LIST_INTERVAL).await;
                continue;
            }
            match with_timeout(self.store.vms(), LIST_INTERVAL).await {
                Ok(list) => self.node.set_vm_list(list),
                Err(error) => log::debug!(target: "membership", "vm list failed reason={error}"),
            }
            let leases =
                with_timeout(self.store.list(LEASE_KIND, RELAY_LEASE_PREFIX), LIST_INTERVAL);
            if let Ok(leases) = leases.await {
                self.lock().leased_relays = self.holder_addresses(&leases.items);
            }
            list_count += 1;
            let is_initial = list_count <= INITIAL_LIST_COUNT;
            tokio::time::sleep(if is_initial { INITIAL_LIST_INTERVAL } else { LIST_INTERVAL })
                .await;
        }
    }

    fn holder_addresses(&self, leases: &[ObjectEnvelope]) -> Vec<SocketAddr> {
        let own = self.node.identity().vm.as_str();
        let mut addresses = Vec::new();
        for object in leases {
            let spec = read_spec(object);
            if spec.holder != own {
                addresses.extend(spec.peer_address.parse::<SocketAddr>());
            }
        }
        addresses
    }

    /// Exchanges with the relays of other failure domains while this node is the relay.
    pub(super) async fn relay_loop(&self) {
        loop {
            if self.node.is_relay() {
                let mut calls = Vec::new();
                for candidate in self.other_relays() {
                    calls.push(self.exchange_with_relay(candidate));
                }
                join_all(calls).await;
            }
            // An update of this node goes to the other relays without waiting for the interval.
            let mut updates = self.node.parent_updates();
            let next_update = async {
                tokio::time::sleep(MIN_RELAY_INTERVAL).await;
                let _ = updates.changed().await;
            };
            let _ = tokio::time::timeout(MAX_RELAY_INTERVAL, next_update).await;
        }
    }

    fn other_relays(&self) -> Vec<ParentCandidate> {
        let mut relays = self.node.parent_candidates();
        relays.extend(self.node.competing_relays());
        for address in self.lock().leased_relays.clone() {
            if relays.iter().any(|relay| relay.address == address) {
                continue;
            }
            relays.push(ParentCandidate { vm: String::new(), address, is_own_domain: false });
        }
        relays
    }

    async fn exchange_with_relay(&self, relay: ParentCandidate) {
        let request = self.node.build_request(&relay, HeartbeatSource::Relay);
        let sent_at = Instant::now();
        match self.transport.exchange(relay.address, request).await {
            Ok(reply) => self.node.handle_reply(&relay, reply, sent_at),
            Err(error) => log::debug!(
                target: "membership",
                "relay exchange failed address={} reason={error}",
                relay.address,
            ),
        }
    }
}

fn watch_request(since: Revision) -> WatchRequest {
    WatchRequest { kinds: vec![GENERATION_KIND.to_owned()], since, wait: WATCH_WAIT }
}
