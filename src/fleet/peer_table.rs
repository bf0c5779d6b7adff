//! The entries of a deployment as one of them sees them.
//!
//! Entries register in the store once, which tells how many there are. Those of the own failure
//! domain are heard several times a second, which tells who is alive, who may be named to callers,
//! and who reads the store for the domain.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::core::{FailureDomain, VmId};
use crate::fleet::load_update::name_digest;
use crate::fleet::peer_message::PeerMessage;
use crate::membership::{EntryRecord, EntryState, MembershipView, rendezvous_score};

/// Entries of a failure domain up to which each tells all others everything at once.
const MESH_SIZE: usize = 12;
/// Time between two messages in a domain of that size.
const MESH_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two messages in a larger one, where their number grows with the square of its size.
const LARGE_INTERVAL: Duration = Duration::from_millis(500);
/// Entries that hear the ordinary messages of all in a large domain: the first one and those that
/// would take its place.
const LISTENERS: usize = 3;
/// Time for which an entry that is only heard of outlives the one that told, so that the next one
/// can tell before all take each other for gone.
const HEARSAY_GRACE: Duration = Duration::from_secs(1);
/// Messages that an entry misses before another one counts as gone.
const MISSED_MESSAGES: u32 = 4;
/// Shortest silence after which an entry counts as gone: a slowed one skips some messages.
const MIN_SILENCE: Duration = Duration::from_millis(800);

/// Silence after which another entry of a failure domain is tried as its speaker.
const SPEAKER_SILENCE: Duration = Duration::from_secs(1);

/// An entry of another failure domain that has sent news.
#[derive(Clone, Copy, Debug)]
struct HeardSpeaker {
    address: SocketAddr,
    at: Instant,
}

/// Whom a message is for.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MessageScope {
    /// Those who keep track of who is alive.
    LeaderCandidates,
    /// All entries of the failure domain.
    All,
}

/// How an entry registers in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EntryRegistration {
    /// Failure domain.
    pub failure_domain: String,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for other entries.
    pub peer_address: SocketAddr,
}

#[derive(Clone, Debug)]
struct PeerEntry {
    record: EntryRecord,
    incarnation: u64,
    sequence: u64,
    heard: Option<Instant>,
}

/// The entries that share the measuring of a failure domain's upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ProberSet {
    own: VmId,
    others: Vec<VmId>,
}

impl ProberSet {
    /// Whether this entry is the one that measures `upstream`.
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

/// The table.
#[derive(Debug)]
pub struct PeerTable {
    own: EntryRecord,
    peers: BTreeMap<VmId, PeerEntry>,
    /// Peers of the own failure domain.
    home_peers: usize,
    heard: Vec<HeardSpeaker>,
}

impl PeerTable {
    /// Creates a table that knows only its own entry.
    pub fn new(own: EntryRecord) -> Self {
        Self { own, peers: BTreeMap::new(), home_peers: 0, heard: Vec::new() }
    }

    /// Own entry.
    pub fn own(&self) -> &EntryRecord {
        &self.own
    }

    /// Sets what the own entry is doing.
    pub fn set_own_state(&mut self, state: EntryState) {
        self.own.state = state;
    }

    /// Takes in what an entry registered in the store.
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
        };
        match self.peers.get_mut(&vm) {
            Some(known) if known.heard.is_none() => known.record = record,
            Some(_) => {}
            None => {
                let entry = PeerEntry { record, incarnation: 0, sequence: 0, heard: None };
                self.insert(vm, entry);
            }
        }
    }

    fn insert(&mut self, vm: VmId, entry: PeerEntry) {
        self.home_peers += usize::from(entry.record.failure_domain == self.own.failure_domain);
        self.peers.insert(vm, entry);
    }

    /// Takes in a message; false if it is older than one that was heard.
    pub fn apply_message(&mut self, message: &PeerMessage, from: SocketAddr, now: Instant) -> bool {
        let vm = VmId::new(&message.vm);
        if vm == self.own.vm {
            return false;
        }
        self.hear_of(&message.alive, now);
        let record = EntryRecord {
            vm: vm.clone(),
            failure_domain: FailureDomain::new(&message.failure_domain),
            caller_address: message.caller_address,
            peer_address: from,
            state: message.state,
        };
        let entry = PeerEntry {
            record,
            incarnation: message.incarnation,
            sequence: message.sequence,
            heard: Some(now),
        };
        let Some(known) = self.peers.get_mut(&vm) else {
            log::info!(target: "peer", "heard for the first time vm={vm} address={from}");
            self.insert(vm, entry);
            return true;
        };
        if known.incarnation == entry.incarnation && known.sequence >= entry.sequence {
            return false;
        }
        let is_back = known.heard.is_none_or(|at| now - at > MIN_SILENCE);
        let is_changed = known.record.state != entry.record.state;
        if is_back || is_changed {
            log::info!(target: "peer", "vm={vm} state={:?} address={from}", entry.record.state);
        }
        *known = entry;
        true
    }

    /// Whether every entry of the own failure domain tells all others its loads. In a larger domain
    /// the first entry gathers them and tells all.
    pub fn is_full_mesh(&self) -> bool {
        self.home_peers < MESH_SIZE
    }

    /// Time between two messages.
    pub fn message_interval(&self) -> Duration {
        if self.is_full_mesh() { MESH_INTERVAL } else { LARGE_INTERVAL }
    }

    /// Whether the address is that of an entry of the own failure domain.
    pub fn is_local_address(&self, address: SocketAddr) -> bool {
        self.home_peers().any(|peer| peer.record.peer_address == address)
    }

    /// The live entry of the own failure domain that comes first, if it is another one.
    pub fn leader_address(&self, now: Instant) -> Option<SocketAddr> {
        let first = self.peers.iter().find(|(_, peer)| self.is_live(peer, now));
        let (_, peer) = first.filter(|(vm, _)| **vm < self.own.vm)?;
        Some(peer.record.peer_address)
    }

    fn home_peers(&self) -> impl Iterator<Item = &PeerEntry> {
        let home = &self.own.failure_domain;
        self.peers.values().filter(move |peer| peer.record.failure_domain == *home)
    }

    /// Entries of the own failure domain that a message is sent to. In a large one, ordinary
    /// messages go to a few, of which the first tells all who is alive.
    pub fn recipients(&self, reach: MessageScope, now: Instant) -> Vec<SocketAddr> {
        if reach == MessageScope::All || self.is_full_mesh() || self.rank(now) == 0 {
            return self.home_peers().map(|peer| peer.record.peer_address).collect();
        }
        let live = self.home_peers().filter(|peer| self.is_live(peer, now));
        live.take(LISTENERS).map(|peer| peer.record.peer_address).collect()
    }

    /// Digests of the ready entries that this one hears, if it is the first of a large domain.
    pub fn alive_digests(&self, now: Instant) -> Vec<u32> {
        let mut alive = Vec::new();
        if self.is_full_mesh() || self.rank(now) > 0 {
            return alive;
        }
        for peer in self.home_peers() {
            if self.is_live(peer, now) && peer.record.state == EntryState::Ready {
                alive.push(name_digest(peer.record.vm.as_str()));
            }
        }
        alive
    }

    /// Takes in who is alive by the word of the first entry.
    fn hear_of(&mut self, alive: &[u32], now: Instant) {
        let heard = now + HEARSAY_GRACE;
        for (vm, peer) in &mut self.peers {
            let is_home = peer.record.failure_domain == self.own.failure_domain;
            if is_home && alive.contains(&name_digest(vm.as_str())) {
                peer.heard = peer.heard.max(Some(heard));
            }
        }
    }

    /// One entry of each other failure domain, for news that it passes on: the one that last sent
    /// some, or the entries in turn, by `turn`, while none was heard from.
    pub fn gateways(&self, turn: usize, now: Instant) -> Vec<SocketAddr> {
        let mut domains: BTreeMap<&FailureDomain, Vec<SocketAddr>> = BTreeMap::new();
        for peer in self.peers.values() {
            if peer.record.failure_domain != self.own.failure_domain {
                let domain = domains.entry(&peer.record.failure_domain).or_default();
                domain.push(peer.record.peer_address);
            }
        }
        let mut speakers = Vec::with_capacity(domains.len());
        for addresses in domains.values() {
            let heard = self.heard.iter().find(|heard| {
                now - heard.at <= SPEAKER_SILENCE && addresses.contains(&heard.address)
            });
            let in_turn = addresses[turn % addresses.len()];
            speakers.push(heard.map_or(in_turn, |heard| heard.address));
        }
        speakers
    }

    /// Records that an entry of another failure domain has sent news.
    pub fn record_gateway(&mut self, address: SocketAddr, now: Instant) {
        self.heard.retain(|heard| now - heard.at <= SPEAKER_SILENCE && heard.address != address);
        // The latest is found first.
        self.heard.insert(0, HeardSpeaker { address, at: now });
    }

    /// Entries of all failure domains, the own one included.
    pub fn entry_count(&self) -> u32 {
        self.peers.len() as u32 + 1
    }

    /// Number of live entries of the own failure domain that read the store before this one.
    pub fn rank(&self, now: Instant) -> u32 {
        let mut rank = 0;
        for (_, peer) in self.peers.range(..&self.own.vm) {
            rank += u32::from(self.is_live(peer, now));
        }
        rank
    }

    /// The live entries of the own failure domain, this one included, which share its upstreams.
    pub fn probers(&self, now: Instant) -> ProberSet {
        let mut others = Vec::with_capacity(self.home_peers);
        for (vm, peer) in &self.peers {
            if self.is_live(peer, now) {
                others.push(vm.clone());
            }
        }
        ProberSet { own: self.own.vm.clone(), others }
    }

    /// The entries: those of the own failure domain that are live, and all that are known of the
    /// others.
    pub fn membership(&self, now: Instant) -> MembershipView {
        let mut entries = vec![self.own.clone()];
        for peer in self.peers.values() {
            let is_own_domain = peer.record.failure_domain == self.own.failure_domain;
            if !is_own_domain || self.is_live(peer, now) {
                entries.push(peer.record.clone());
            }
        }
        entries.sort_by(|a, b| a.vm.cmp(&b.vm));
        MembershipView { entries }
    }

    fn is_live(&self, peer: &PeerEntry, now: Instant) -> bool {
        let silence = MIN_SILENCE.max(self.message_interval() * MISSED_MESSAGES);
        let is_own_domain = peer.record.failure_domain == self.own.failure_domain;
        is_own_domain && peer.heard.is_some_and(|at| now - at <= silence)
    }
}
