//! What a relay does for its failure domain: it watches the newest generation, reads the VM list,
//! and exchanges with the relays of other domains. The platform's calls grow with the number of
//! failure domains, not with the number of nodes.

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

/// Wait of one watch: each answer confirms that no newer generation exists.
const WATCH_WAIT: Duration = Duration::from_millis(500);
/// Time for an answer beyond the wait of a watch; a watch may go silent.
const WATCH_GRACE: Duration = Duration::from_secs(1);
/// Pause after a failed platform call, and of a node that is no relay.
const IDLE_PAUSE: Duration = Duration::from_millis(500);
/// Time between two reads of the VM list and of the leases.
const LIST_INTERVAL: Duration = Duration::from_secs(1);
/// Time between the first reads of a new relay, which has not met the others.
const FIRST_LIST_INTERVAL: Duration = Duration::from_millis(200);
/// Number of first reads.
const FIRST_LISTS: u32 = 5;
/// Shortest time between two exchanges with another domain's relay.
const REPORT_DELAY: Duration = Duration::from_millis(100);
/// Longest time between two exchanges with another domain's relay.
const RELAY_INTERVAL: Duration = Duration::from_secs(1);

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
        let asked = Instant::now();
        let listed = self.store.list(GENERATION_KIND, "");
        let list = with_timeout(listed, WATCH_GRACE).await?;
        let mut since = list.revision;
        let mut is_usable = true;
        for object in &list.items {
            is_usable &= self.take_generation(object);
        }
        self.confirm(asked, is_usable);
        while self.node.is_relay() {
            let asked = Instant::now();
            let batch =
                with_timeout(self.store.watch(watch_request(since)), WATCH_WAIT + WATCH_GRACE);
            let batch = batch.await?;
            for event in &batch.events {
                if let WatchEvent::Put { object } = event {
                    is_usable = self.take_generation(object);
                }
            }
            since = since.max(batch.revision);
            self.confirm(asked, is_usable);
        }
        Ok(())
    }

    /// Applies a generation; returns whether this node applies it or a newer one.
    fn take_generation(&self, object: &ObjectEnvelope) -> bool {
        let bytes = Bytes::from(object.spec.to_string());
        !matches!(self.node.offer(&bytes), OfferOutcome::Rejected { .. })
    }

    fn confirm(&self, asked: Instant, is_usable: bool) {
        // A node that cannot apply the newest generation must not count its own as the newest.
        if is_usable {
            self.node.confirm(asked.elapsed());
        }
    }

    /// Reads the VM list and the leases of other relays while this node is the relay.
    pub(super) async fn list_loop(&self) {
        let mut lists = 0;
        loop {
            if !self.node.is_relay() {
                lists = 0;
                tokio::time::sleep(FIRST_LIST_INTERVAL).await;
                continue;
            }
            match with_timeout(self.store.vms(), LIST_INTERVAL).await {
                Ok(list) => self.node.set_vm_list(list),
                Err(error) => log::debug!(target: "membership", "vm list failed reason={error}"),
            }
            let leases =
                with_timeout(self.store.list(LEASE_KIND, RELAY_LEASE_PREFIX), LIST_INTERVAL);
            if let Ok(leases) = leases.await {
                self.lock().leased_relays = self.addresses_of(&leases.items);
            }
            lists += 1;
            let is_first = lists <= FIRST_LISTS;
            tokio::time::sleep(if is_first { FIRST_LIST_INTERVAL } else { LIST_INTERVAL }).await;
        }
    }

    fn addresses_of(&self, leases: &[ObjectEnvelope]) -> Vec<SocketAddr> {
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
            // What this node has to report goes to the other relays at once.
            let mut reports = self.node.parent_updates();
            let report = async {
                tokio::time::sleep(REPORT_DELAY).await;
                let _ = reports.changed().await;
            };
            let _ = tokio::time::timeout(RELAY_INTERVAL, report).await;
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
        let sent = Instant::now();
        match self.transport.exchange(relay.address, request).await {
            Ok(reply) => self.node.handle_reply(&relay, reply, sent),
            Err(error) => log::debug!(
                target: "membership",
                "relay failed address={} reason={error}",
                relay.address,
            ),
        }
    }
}

fn watch_request(since: Revision) -> WatchRequest {
    WatchRequest { kinds: vec![GENERATION_KIND.to_owned()], since, wait: WATCH_WAIT }
}
