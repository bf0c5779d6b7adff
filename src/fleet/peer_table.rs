//! The entries of a deployment, and which of the local failure domain are alive.
//!
//! Registrations in the store give the number of entries. The entries of a failure domain also send
//! each other messages several times a second, which serve as heartbeats: they decide who is alive,
//! who is returned to callers, and who leads the domain.

mod permit_peers;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::core::{FailureDomain, VmId};
use crate::fleet::limit_shares::LimitMembers;
use crate::fleet::load_update::name_digest;
use crate::fleet::peer_message::PeerMessage;
use crate::fleet::roster::DomainRoster;
use crate::fleet::warm_up_shares::WarmUpMembers;
use crate::membership::{EntryRecord, EntryState, MembershipView, rendezvous_score};
use crate::platform::{FieldShape, SpecShape};
use crate::util::FastSet;

pub use self::permit_peers::OwnPermitRole;

/// Largest failure domain, in entries, in which every entry sends every message to all others.
const MAX_MESH_ENTRIES: usize = 12;
/// Time between two messages in a domain up to that size.
const MESH_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two messages in a larger domain, where the number of messages in a full mesh would
/// grow with the square of its size.
const LARGE_DOMAIN_INTERVAL: Duration = Duration::from_millis(500);
/// Entries that receive the heartbeats of all others in a large domain: the leader and those that
/// would succeed it.
const LEADER_CANDIDATES: usize = 3;
/// Additional lifetime of entries that only the leader has reported alive. If the leader dies, its
/// successor can report them before all entries consider each other dead.
const ALIVE_DIGEST_GRACE: Duration = Duration::from_secs(1);
/// Consecutive messages of an entry that may be missed before it is considered dead.
const MAX_MISSED_MESSAGES: u32 = 4;
/// Minimum time without a message after which an entry is considered dead: one on a slow machine
/// skips some messages.
const MIN_FAILURE_TIMEOUT: Duration = Duration::from_millis(800);

/// Time without a load update from a failure domain after which its entries are tried as gateway in
/// turn.
const GATEWAY_TIMEOUT: Duration = Duration::from_secs(1);

/// An entry of another failure domain that has recently sent a load update.
#[derive(Clone, Copy, Debug)]
struct ActiveGateway {
    address: SocketAddr,
    last_update_at: Instant,
}

/// Which entries of the local failure domain a message is sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageScope {
    /// The leader and those that would succeed it, which track who is alive.
    LeaderCandidates,
    /// All entries.
    All,
}

/// Shape of an [`EntryRegistration`].
pub(super) const REGISTRATION_SHAPE: SpecShape = SpecShape::Record(&[
    FieldShape::scalar("failure_domain"),
    FieldShape::scalar("caller_address"),
    FieldShape::scalar("peer_address"),
]);

/// Registration of an entry in the store. `REGISTRATION_SHAPE` has its fields.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRegistration {
    /// Failure domain of its VM.
    pub failure_domain: String,
    /// Address that serves callers.
    pub caller_address: SocketAddr,
    /// UDP address for messages of other entries.
    pub peer_address: SocketAddr,
}

#[derive(Clone, Debug)]
struct PeerEntry {
    record: EntryRecord,
    incarnation: u64,
    sequence: u64,
    /// Its last message.
    last_heard_at: Option<Instant>,
    /// The last report of a leader that it is alive.
    last_reported_at: Option<Instant>,
    is_enrolled: bool,
    /// Whether the store, or the entry itself, has ever said that it is registered. A restart does not
    /// change that.
    is_registered: bool,
    /// When its process started, if it says so.
    started_at: Option<Instant>,
    /// Whether it grants permits; `None` before its first message.
    grants_permits: Option<bool>,
    /// Since when its messages say that it grants permits now.
    granting_since: Option<Instant>,
    /// [`name_digest`] of its VM.
    digest: u32,
}

impl PeerEntry {
    /// Time of the last sign of life. A report counts for [`ALIVE_DIGEST_GRACE`] longer than a message.
    fn last_alive_at(&self) -> Option<Instant> {
        let reported_at = self.last_reported_at.map(|at| at + ALIVE_DIGEST_GRACE);
        self.last_heard_at.max(reported_at)
    }
}

/// The entries that share the probing of the upstreams of a failure domain.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProberSet {
    own: VmId,
    others: Vec<VmId>,
}

impl ProberSet {
    /// Whether this entry probes `upstream`, by rendezvous hashing.
    pub fn owns(&self, upstream: &str) -> bool {
        let own = rendezvous_score(upstream, self.own.as_str(), 1.0);
        for vm in &self.others {
            if rendezvous_score(upstream, vm.as_str(), 1.0) > own {
                return false;
            }
        }
        true
    }
}

/// Entries that requests may be forwarded to.
#[derive(Clone, Debug, Default)]
pub struct ForwardCandidates {
    /// Those of the local failure domain.
    pub local: Vec<EntryRecord>,
    /// Those of the others.
    pub remote: Vec<EntryRecord>,
}

/// The known entries, from registrations and messages.
#[derive(Debug)]
pub struct PeerTable {
    own: EntryRecord,
    peers: BTreeMap<VmId, PeerEntry>,
    /// Number of peers in the local failure domain, dead ones included.
    local_peer_count: usize,
    /// Number of changes of which entries are registered in which failure domain.
    registered_revision: u64,
    /// Latest first.
    active_gateways: Vec<ActiveGateway>,
}

impl PeerTable {
    /// Creates a table that contains only this entry.
    pub fn new(own: EntryRecord) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
            local_peer_count: 0,
            registered_revision: 0,
            active_gateways: Vec::new(),
        }
    }

    /// This entry.
    pub fn own(&self) -> &EntryRecord {
        &self.own
    }

    /// Sets the lifecycle state of this entry.
    pub fn set_own_state(&mut self, state: EntryState) {
        self.own.state = state;
    }

    /// Sets whether this entry has a path to the upstreams; false if that is no change.
    pub fn set_own_path(&mut self, has_path: bool) -> bool {
        std::mem::replace(&mut self.own.has_path, has_path) != has_path
    }

    /// Applies a registration from the store; what messages of the entry say takes precedence.
    pub fn register(&mut self, vm: &str, registration: &EntryRegistration) {
        let vm = VmId::new(vm);
        if vm == self.own.vm {
            return;
        }
        let record = EntryRecord {
            vm: vm.clone(),
            failure_domain: FailureDomain::new(&registration.failure_domain),
            caller_address: registration.caller_address,
            peer_address: registration.peer_address,
            state: EntryState::Ready,
            has_path: true,
        };
        match self.peers.get_mut(&vm) {
            Some(known) => {
                let is_moved = known.record.failure_domain != record.failure_domain;
                if known.last_alive_at().is_none() {
                    self.registered_revision += u64::from(is_moved);
                    known.record = record;
                }
                self.registered_revision += u64::from(!known.is_registered);
                known.is_registered = true;
            }
            None => {
                let entry = PeerEntry {
                    record,
                    incarnation: 0,
                    sequence: 0,
                    last_heard_at: None,
                    last_reported_at: None,
                    is_enrolled: true,
                    is_registered: true,
                    started_at: None,
                    grants_permits: None,
                    granting_since: None,
                    digest: name_digest(vm.as_str()),
                };
                self.insert(vm, entry);
            }
        }
    }

    fn insert(&mut self, vm: VmId, entry: PeerEntry) {
        self.local_peer_count +=
            usize::from(entry.record.failure_domain == self.own.failure_domain);
        self.registered_revision += u64::from(entry.is_registered);
        self.peers.insert(vm, entry);
    }

    /// Applies a message. Returns false if it is this entry's own, or not newer than the last one
    /// of the same incarnation.
    pub fn apply_message(&mut self, message: &PeerMessage, from: SocketAddr, now: Instant) -> bool {
        let vm = VmId::new(&message.vm);
        if vm == self.own.vm {
            return false;
        }
        self.apply_alive_digests(&message.alive, &message.no_path, now);
        let record = EntryRecord {
            vm: vm.clone(),
            failure_domain: FailureDomain::new(&message.failure_domain),
            caller_address: message.caller_address,
            peer_address: from,
            state: message.state,
            has_path: !message.has_no_path,
        };
        let mut entry = PeerEntry {
            record,
            incarnation: message.incarnation,
            sequence: message.sequence,
            last_heard_at: Some(now),
            last_reported_at: None,
            is_enrolled: message.is_enrolled,
            is_registered: message.is_enrolled,
            started_at: message
                .uptime_ms
                .and_then(|uptime| now.checked_sub(Duration::from_millis(uptime))),
            grants_permits: Some(message.grants_permits),
            granting_since: message.is_granting.then_some(now),
            digest: name_digest(vm.as_str()),
        };
        let Some(known) = self.peers.get_mut(&vm) else {
            log::info!(target: "peer", "first message of a peer vm={vm} address={from}");
            self.insert(vm, entry);
            return true;
        };
        if known.incarnation == entry.incarnation && known.sequence >= entry.sequence {
            return false;
        }
        let is_returning = known.last_alive_at().is_none_or(|at| now - at > MIN_FAILURE_TIMEOUT);
        let is_changed = known.record.state != entry.record.state
            || known.record.has_path != entry.record.has_path;
        if is_returning || is_changed {
            log::info!(
                target: "peer",
                "vm={vm} state={:?} has_path={} address={from}",
                entry.record.state,
                entry.record.has_path,
            );
        }
        entry.is_registered |= known.is_registered;
        entry.last_reported_at = known.last_reported_at;
        let is_moved = known.record.failure_domain != entry.record.failure_domain;
        self.registered_revision += u64::from(is_moved || !known.is_registered);
        let granting_since = known.granting_since.or(entry.granting_since);
        let granting_since = entry.granting_since.and(granting_since);
        *known = PeerEntry { granting_since, ..entry };
        true
    }

    /// Whether the entries of the local failure domain send everything to all others. In a larger
    /// domain the leader gathers loads and liveness and sends them to all.
    pub fn is_full_mesh(&self) -> bool {
        self.local_peer_count < MAX_MESH_ENTRIES
    }

    /// Time between two regular messages of an entry.
    pub fn message_interval(&self) -> Duration {
        if self.is_full_mesh() { MESH_INTERVAL } else { LARGE_DOMAIN_INTERVAL }
    }

    /// Whether the peer address belongs to an entry of the local failure domain.
    pub fn is_local_address(&self, address: SocketAddr) -> bool {
        self.local_peers().any(|peer| peer.record.peer_address == address)
    }

    /// Whether an entry of any failure domain with this peer address is known.
    pub fn knows_address(&self, address: SocketAddr) -> bool {
        self.peers.values().any(|peer| peer.record.peer_address == address)
    }

    /// Peer address of the leader; `None` if this entry is the leader.
    pub fn leader_address(&self, now: Instant) -> Option<SocketAddr> {
        let first = self.peers.iter().find(|(_, peer)| self.is_candidate(peer, now));
        let (_, peer) = first.filter(|(vm, _)| **vm < self.own.vm)?;
        Some(peer.record.peer_address)
    }

    fn local_peers(&self) -> impl Iterator<Item = &PeerEntry> {
        let local = &self.own.failure_domain;
        self.peers.values().filter(move |peer| peer.record.failure_domain == *local)
    }

    /// Peer addresses that a message is sent to. In a large domain, heartbeats go to the leader
    /// candidates only, and the leader reports to all who is alive.
    pub fn recipients(&self, scope: MessageScope, now: Instant) -> Vec<SocketAddr> {
        if scope == MessageScope::All || self.is_full_mesh() || self.rank(now) == 0 {
            return self.local_peers().map(|peer| peer.record.peer_address).collect();
        }
        let candidates = self.local_peers().filter(|peer| self.is_candidate(peer, now));
        candidates.take(LEADER_CANDIDATES).map(|peer| peer.record.peer_address).collect()
    }

    /// Name digests of the ready entries that have recently sent a message to this one, if it leads a
    /// large domain; otherwise empty. Entries that are known alive from a report only are left out, or
    /// successive leaders would report a dead one for ever longer.
    pub fn alive_digests(&self, now: Instant) -> Vec<u32> {
        let mut alive = Vec::new();
        if self.is_full_mesh() || self.rank(now) > 0 {
            return alive;
        }
        for peer in self.local_peers() {
            if self.is_recent(peer.last_heard_at, now) && peer.record.state == EntryState::Ready {
                alive.push(peer.digest);
            }
        }
        alive
    }

    /// Name digests of the live entries without a path to the upstreams, if this one leads a large
    /// domain; otherwise empty.
    pub fn no_path_digests(&self, now: Instant) -> Vec<u32> {
        let mut no_path = Vec::new();
        if self.is_full_mesh() || self.rank(now) > 0 {
            return no_path;
        }
        for peer in self.local_peers() {
            if self.is_live(peer, now) && !peer.record.has_path {
                no_path.push(peer.digest);
            }
        }
        no_path
    }

    /// Applies a report of the leader: which entries are alive, and which of those have no path.
    fn apply_alive_digests(&mut self, alive: &[u32], no_path: &[u32], now: Instant) {
        if alive.is_empty() {
            return;
        }
        let alive: FastSet<u32> = alive.iter().copied().collect();
        for peer in self.peers.values_mut() {
            let is_local = peer.record.failure_domain == self.own.failure_domain;
            if is_local && alive.contains(&peer.digest) {
                peer.last_reported_at = Some(now);
                peer.record.has_path = !no_path.contains(&peer.digest);
            }
        }
    }

    /// Peer address of one entry of each other failure domain, which forwards load updates to its
    /// own domain: the one that last sent an update, or else the domain's entries in turn, by
    /// `turn`.
    pub fn gateways(&self, turn: usize, now: Instant) -> Vec<SocketAddr> {
        let mut domains: BTreeMap<&FailureDomain, Vec<SocketAddr>> = BTreeMap::new();
        for peer in self.peers.values() {
            if peer.record.failure_domain != self.own.failure_domain {
                let domain = domains.entry(&peer.record.failure_domain).or_default();
                domain.push(peer.record.peer_address);
            }
        }
        let mut gateways = Vec::with_capacity(domains.len());
        for addresses in domains.values() {
            let active = self.active_gateways.iter().find(|active| {
                now - active.last_update_at <= GATEWAY_TIMEOUT
                    && addresses.contains(&active.address)
            });
            let round_robin = addresses[turn % addresses.len()];
            gateways.push(active.map_or(round_robin, |active| active.address));
        }
        gateways
    }

    /// Records a load update from an entry of another failure domain.
    pub fn record_gateway(&mut self, address: SocketAddr, now: Instant) {
        self.active_gateways.retain(|active| {
            now - active.last_update_at <= GATEWAY_TIMEOUT && active.address != address
        });
        self.active_gateways.insert(0, ActiveGateway { address, last_update_at: now });
    }

    /// Registrations of the live entries of the local failure domain, this one included.
    pub fn live_registrations(&self, now: Instant) -> BTreeMap<String, EntryRegistration> {
        let mut live = BTreeMap::from([(self.own.vm.to_string(), registration(&self.own))]);
        for (vm, peer) in &self.peers {
            if self.is_live(peer, now) {
                live.insert(vm.to_string(), registration(&peer.record));
            }
        }
        live
    }

    /// Whether no live entry of the local failure domain with a lower name is on `roster`.
    pub fn is_first_of(&self, roster: &DomainRoster, now: Instant) -> bool {
        let lower = self.peers.range(..&self.own.vm);
        !lower
            .into_iter()
            .any(|(vm, peer)| self.is_live(peer, now) && roster.entries.contains_key(vm.as_str()))
    }

    /// Number of entries in all failure domains, this one included.
    pub fn entry_count(&self) -> u32 {
        self.peers.len() as u32 + 1
    }

    /// Number of live, enrolled entries of the local failure domain with lower names; 0 for the
    /// leader.
    pub fn rank(&self, now: Instant) -> u32 {
        let mut rank = 0;
        for (_, peer) in self.peers.range(..&self.own.vm) {
            rank += u32::from(self.is_candidate(peer, now));
        }
        rank
    }

    /// The live entries of the local failure domain with a path to the upstreams, this one included,
    /// which share the probing.
    pub fn probers(&self, now: Instant) -> ProberSet {
        let mut others = Vec::with_capacity(self.local_peer_count);
        for (vm, peer) in &self.peers {
            if self.is_live(peer, now) && peer.record.has_path {
                others.push(vm.clone());
            }
        }
        ProberSet { own: self.own.vm.clone(), others }
    }

    /// The entries that share the rate limits of upstreams.
    pub fn limit_members(&self, now: Instant) -> LimitMembers {
        let mut domains = BTreeSet::from([self.own.failure_domain.clone()]);
        let mut live = Vec::with_capacity(self.local_peer_count);
        for (vm, peer) in &self.peers {
            domains.insert(peer.record.failure_domain.clone());
            if self.is_live(peer, now) && peer.record.has_path {
                live.push(vm.clone());
            }
        }
        LimitMembers {
            own: self.own.vm.clone(),
            own_domain: self.own.failure_domain.clone(),
            live,
            domains: domains.into_iter().collect(),
        }
    }

    /// Number of changes of which entries are registered in which failure domain.
    pub fn registered_revision(&self) -> u64 {
        self.registered_revision
    }

    /// The registered entries of all failure domains, dead ones included, and this entry if
    /// `is_registered`, by failure domain. `may_stand_in` says whether this entry knows those of other
    /// failure domains well enough to take the place of a domain without entries.
    pub fn registered_members(&self, is_registered: bool, may_stand_in: bool) -> WarmUpMembers {
        let mut domains: BTreeMap<FailureDomain, Vec<VmId>> = BTreeMap::new();
        if is_registered {
            domains.insert(self.own.failure_domain.clone(), vec![self.own.vm.clone()]);
        }
        for (vm, peer) in &self.peers {
            if peer.is_registered {
                let domain = domains.entry(peer.record.failure_domain.clone()).or_default();
                domain.push(vm.clone());
            }
        }
        WarmUpMembers { own: self.own.vm.clone(), domains, may_stand_in }
    }

    /// The membership by name: live entries of the local failure domain, and all known entries of
    /// the others, whose liveness is not tracked here.
    pub fn membership(&self, now: Instant) -> MembershipView {
        let mut entries = vec![self.own.clone()];
        for peer in self.peers.values() {
            let is_local = peer.record.failure_domain == self.own.failure_domain;
            if !is_local || self.is_live(peer, now) {
                entries.push(peer.record.clone());
            }
        }
        entries.sort_by(|a, b| a.vm.cmp(&b.vm));
        MembershipView { entries }
    }

    /// Entries that requests may be forwarded to: the live, ready ones of the local failure domain
    /// with a path to the upstreams, and all known ones of the others, whose liveness is not tracked
    /// here.
    pub fn forward_candidates(&self, now: Instant) -> ForwardCandidates {
        let mut candidates = ForwardCandidates::default();
        for peer in self.peers.values() {
            let record = &peer.record;
            if record.failure_domain != self.own.failure_domain {
                candidates.remote.push(record.clone());
            } else if self.is_live(peer, now)
                && record.has_path
                && record.state == EntryState::Ready
            {
                candidates.local.push(record.clone());
            }
        }
        candidates
    }

    /// Whether the entry may lead its failure domain.
    fn is_candidate(&self, peer: &PeerEntry, now: Instant) -> bool {
        peer.is_enrolled && self.is_live(peer, now)
    }

    /// Time without a message after which an entry is considered dead.
    fn failure_timeout(&self) -> Duration {
        MIN_FAILURE_TIMEOUT.max(self.message_interval() * MAX_MISSED_MESSAGES)
    }

    fn is_live(&self, peer: &PeerEntry, now: Instant) -> bool {
        let is_local = peer.record.failure_domain == self.own.failure_domain;
        is_local && self.is_recent(peer.last_alive_at(), now)
    }

    /// Whether a sign of life at this time shows that an entry is alive.
    fn is_recent(&self, at: Option<Instant>, now: Instant) -> bool {
        at.is_some_and(|at| now - at <= self.failure_timeout())
    }
}

fn registration(record: &EntryRecord) -> EntryRegistration {
    EntryRegistration {
        failure_domain: record.failure_domain.to_string(),
        caller_address: record.caller_address,
        peer_address: record.peer_address,
    }
}
