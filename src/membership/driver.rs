//! Runs a [`ControlNode`] against the platform and the peers.
//!
//! Every node calls its parent continuously. A node whose failure domain has no responding relay
//! tries to acquire the relay lease; what a relay does is in `relay_driver`.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::join_all;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::config::{GENERATION_KIND, GENERATION_NAME, GenerationContent};
use crate::membership::control_node::ControlNode;
use crate::membership::fanout::ParentCandidate;
use crate::membership::freshness::MAX_CONFIRMED_AGE;
use crate::membership::heartbeat_table::HeartbeatSource;
use crate::membership::lease::{LEASE_RENEW_INTERVAL, LeaseManager, LeaseSpec, LeaseState};
use crate::membership::view::EntryState;
use crate::peer::{PeerError, PeerTransport};
use crate::platform::PlatformStore;
use crate::util::{FastMap, SeededRandom};

/// Mean pause after a round in which no parent replied.
const RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time for which a peer that failed a call is not called as a parent.
const PEER_BACKOFF: Duration = Duration::from_secs(2);
/// Time without a reply from the own failure domain after which a node tries to acquire the relay
/// lease.
const ORPHAN_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two attempts of an orphaned node to acquire the lease.
const ORPHAN_LEASE_INTERVAL: Duration = Duration::from_millis(500);
/// Interval at which time-dependent state, such as the age of heartbeats, is refreshed.
const REFRESH_INTERVAL: Duration = Duration::from_millis(250);
/// Shortest time that a call is held open before an update of this node replaces it by a new one.
const MIN_CALL_DURATION: Duration = Duration::from_millis(50);
/// Time limit of each call that a starting node makes.
const BOOTSTRAP_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum number of peers that a starting node calls.
const MAX_BOOTSTRAP_PEERS: usize = 5;
/// Time limit for the release of a lease.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);
/// Prefix of the names of relay leases; the failure domain follows.
pub(super) const RELAY_LEASE_PREFIX: &str = "relay-";

/// Arguments of [`MembershipDriver::new`].
#[derive(Debug)]
pub struct MembershipDriverArgs<S, T> {
    /// The node to run.
    pub node: Arc<ControlNode>,
    /// The platform's object store.
    pub store: Arc<S>,
    /// Sends calls to peers.
    pub transport: Arc<T>,
    /// Addresses of peers from the settings.
    pub seeds: Vec<SocketAddr>,
    /// Random numbers for jitter.
    pub random: SeededRandom,
}

/// Runs one node: calls to its parent, its relay lease and, on a relay, the relay's work.
#[derive(Debug)]
pub struct MembershipDriver<S, T> {
    pub(super) node: Arc<ControlNode>,
    pub(super) store: Arc<S>,
    pub(super) transport: Arc<T>,
    seeds: Vec<SocketAddr>,
    pub(super) state: Mutex<DriverState>,
}

#[derive(Debug)]
pub(super) struct DriverState {
    random: SeededRandom,
    failed_peers: FastMap<SocketAddr, Instant>,
    /// Time of the last reply from the own failure domain, or of the last renewal of its lease by
    /// this node.
    last_domain_reply: Option<Instant>,
    /// The relay lease as last read; its holder may not be in the view yet.
    observed_lease: LeaseSpec,
    /// Addresses of the relays of other failure domains, from their leases.
    pub(super) leased_relays: Vec<SocketAddr>,
}

impl<S: PlatformStore, T: PeerTransport> MembershipDriver<S, T> {
    /// Creates a driver; [`run`](Self::run) starts it.
    pub fn new(args: MembershipDriverArgs<S, T>) -> Self {
        let state = DriverState {
            random: args.random,
            failed_peers: FastMap::default(),
            last_domain_reply: None,
            observed_lease: LeaseSpec::default(),
            leased_relays: Vec::new(),
        };
        Self {
            node: args.node,
            store: args.store,
            transport: args.transport,
            seeds: args.seeds,
            state: Mutex::new(state),
        }
    }

    /// Runs until `stop` is cancelled, then releases the relay lease.
    pub async fn run(&self, stop: CancellationToken) {
        let mut lease = self.relay_lease();
        let work = async {
            self.bootstrap().await;
            tokio::join!(
                self.refresh_loop(),
                self.parent_loop(),
                self.lease_loop(&mut lease),
                self.generation_loop(),
                self.list_loop(),
                self.relay_loop(),
            );
        };
        let _ = stop.run_until_cancelled(work).await;
        if lease.term().is_some() {
            self.node.set_relay_term(0);
            let _ = tokio::time::timeout(RELEASE_TIMEOUT, lease.release(&*self.store)).await;
        }
    }

    fn relay_lease(&self) -> LeaseManager {
        let identity = self.node.identity();
        let name = format!("{RELAY_LEASE_PREFIX}{}", identity.failure_domain);
        LeaseManager::new(&name, identity.vm.as_str(), &identity.peer_address)
    }

    /// Applies the highest generation among those of the platform and several peers, so that a
    /// restarted node does not first apply an older one than it had before.
    async fn bootstrap(&self) {
        let platform = async {
            let listed = tokio::time::timeout(BOOTSTRAP_TIMEOUT, self.store.vms()).await;
            if let Ok(Ok(list)) = listed {
                self.node.set_vm_list(list);
            }
            let get = self.store.get(GENERATION_KIND, GENERATION_NAME);
            let object = tokio::time::timeout(BOOTSTRAP_TIMEOUT, get).await;
            object.ok()?.ok().map(|object| Bytes::from(object.spec.to_string()))
        };
        let mut contents = Vec::from_iter(platform.await);
        let mut calls = Vec::new();
        for address in self.bootstrap_addresses() {
            calls.push(self.fetch_generation(address));
        }
        contents.extend(join_all(calls).await.into_iter().flatten());
        contents.sort_by_key(content_number);
        for content in contents.iter().rev() {
            self.node.offer(content);
        }
    }

    async fn fetch_generation(&self, address: SocketAddr) -> Option<Bytes> {
        let candidate = ParentCandidate { vm: String::new(), address, is_own_domain: false };
        let mut request = self.node.build_request(&candidate, HeartbeatSource::Relay);
        request.known_generation = 0;
        let call = self.transport.exchange(address, request);
        let reply = tokio::time::timeout(BOOTSTRAP_TIMEOUT, call).await.ok()?.ok()?;
        Some(reply.generation_content).filter(|content| !content.is_empty())
    }

    fn bootstrap_addresses(&self) -> Vec<SocketAddr> {
        let mut addresses = self.seeds.clone();
        for address in self.node.listed_peer_addresses() {
            if !addresses.contains(&address) {
                addresses.push(address);
            }
        }
        // The seeds may include this node.
        let own = self.node.identity().peer_address.parse().ok();
        addresses.retain(|address| Some(*address) != own);
        addresses.truncate(MAX_BOOTSTRAP_PEERS);
        addresses
    }

    async fn refresh_loop(&self) {
        loop {
            self.node.refresh();
            tokio::time::sleep(REFRESH_INTERVAL).await;
        }
    }

    async fn parent_loop(&self) {
        loop {
            if self.node.is_relay() || !self.exchange_with_any_parent().await {
                let pause = self.lock().random.unit() * RETRY_PAUSE.as_secs_f64();
                tokio::time::sleep(RETRY_PAUSE / 2 + Duration::from_secs_f64(pause)).await;
            }
        }
    }

    /// Calls the candidates in order until one replies; returns whether one did.
    async fn exchange_with_any_parent(&self) -> bool {
        for candidate in self.parents() {
            if self.is_backed_off(candidate.address) {
                continue;
            }
            match self.exchange_with_parent(&candidate).await {
                Ok(()) => return true,
                Err(error) => {
                    log::info!(
                        target: "membership",
                        "peer call failed vm={} address={} reason={error}",
                        candidate.vm, candidate.address,
                    );
                    self.lock().failed_peers.insert(candidate.address, Instant::now());
                }
            }
        }
        false
    }

    /// Returns the nodes to call, in order: the holder of a newer lease than the view knows, the
    /// candidates of the tree, or if there are none, the seeds and listed VMs.
    fn parents(&self) -> Vec<ParentCandidate> {
        let lease = self.lock().observed_lease.clone();
        let mut parents = Vec::new();
        if lease.term > self.node.known_relay_term()
            && lease.holder != self.node.identity().vm.as_str()
            && let Ok(address) = lease.peer_address.parse()
        {
            parents.push(ParentCandidate { vm: lease.holder, address, is_own_domain: true });
        }
        parents.extend(self.node.parent_candidates());
        if parents.is_empty() {
            for address in self.bootstrap_addresses() {
                let vm = String::new();
                parents.push(ParentCandidate { vm, address, is_own_domain: false });
            }
        }
        parents
    }

    async fn exchange_with_parent(&self, to: &ParentCandidate) -> Result<(), PeerError> {
        let mut updates = self.node.parent_updates();
        let request = self.node.build_request(to, HeartbeatSource::Tree);
        let sent_at = Instant::now();
        let next_update = async {
            tokio::time::sleep(MIN_CALL_DURATION).await;
            let _ = updates.changed().await;
        };
        tokio::select! {
            reply = self.transport.exchange(to.address, request) => {
                self.node.handle_reply(to, reply?, sent_at);
                if to.is_own_domain {
                    self.lock().last_domain_reply = Some(Instant::now());
                }
            }
            // The next round of the parent loop sends the update.
            () = next_update => {}
        }
        Ok(())
    }

    fn is_backed_off(&self, address: SocketAddr) -> bool {
        let state = self.lock();
        state.failed_peers.get(&address).is_some_and(|failed_at| failed_at.elapsed() < PEER_BACKOFF)
    }

    /// Renews the relay lease, or tries to acquire it while no relay of the own domain replies.
    async fn lease_loop(&self, lease: &mut LeaseManager) {
        loop {
            if let Some(term) = lease.term()
                && self.node.known_relay_term() > term
            {
                log::info!(
                    target: "membership",
                    "stepping down, another relay holds a newer lease term={term}",
                );
                lease.abandon();
                self.node.set_relay_term(0);
            }
            let last_reply = self.lock().last_domain_reply;
            let is_orphan = last_reply.is_none_or(|last| last.elapsed() >= ORPHAN_TIMEOUT);
            let is_leaving = self.node.state() == EntryState::Leaving;
            let should_acquire = is_orphan || self.is_relay_unconfirmed();
            if lease.term().is_some() || (should_acquire && !is_leaving) {
                self.update_lease(lease).await;
            }
            let pause =
                if lease.term().is_some() { LEASE_RENEW_INTERVAL } else { ORPHAN_LEASE_INTERVAL };
            let jitter = self.lock().random.unit() * 0.2;
            tokio::time::sleep(pause.mul_f64(0.9 + jitter)).await;
        }
    }

    /// Whether the relay replies but has lost the platform. One other node then tries to replace
    /// it; in a platform outage for everybody this adds one node of each failure domain to those
    /// that call the platform.
    fn is_relay_unconfirmed(&self) -> bool {
        let age = self.node.confirmed_age();
        age.is_some_and(|age| age > MAX_CONFIRMED_AGE) && self.node.is_first_child()
    }

    async fn update_lease(&self, lease: &mut LeaseManager) {
        match lease.acquire_or_renew(&*self.store).await {
            Ok(LeaseState::Held { term }) => self.node.set_relay_term(term),
            Ok(LeaseState::NotHeld(spec)) => {
                self.node.set_relay_term(0);
                self.lock().observed_lease = spec;
            }
            Err(error) => {
                log::debug!(target: "membership", "lease update failed reason={error}")
            }
        }
        if lease.term().is_some() {
            self.lock().last_domain_reply = Some(Instant::now());
        }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, DriverState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn content_number(content: &Bytes) -> u64 {
    let content: Result<GenerationContent, _> = serde_json::from_slice(content);
    content.map_or(0, |content| content.number.0)
}
