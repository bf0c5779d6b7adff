//! One node's part in the exchange between entries.
//!
//! ```text
//!        heartbeats up            generations, views, confirmations down
//! child ---------------> parent ---------------------------------------> child
//! ```
//!
//! Both directions travel in one call: the child tells what it knows and the parent answers as
//! soon as it knows something newer, at the latest after the wait that the child asks for.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::Instant;

use crate::config::{GenerationHolder, MAX_FORMAT, MIN_FORMAT, NodeGeneration, OfferOutcome};
use crate::core::{FailureDomain, GenerationNumber, VmId};
use crate::membership::board::{HeartbeatBoard, HeartbeatSource, MergeEffect};
use crate::membership::drain_board::DrainBoard;
use crate::membership::fanout::{ParentCandidate, candidates, relay_of, rival_relays};
use crate::membership::freshness::ConfigFreshness;
use crate::membership::peer_cursor::PeerCursor;
use crate::membership::view::{EntryRecord, EntryState, MembershipView, SharedMembership};
use crate::membership::view_table::{ViewDelta, entry_of, generation_of, node_state_of, state_of};
use crate::peer::generated::peer::{DrainHint, ExchangeReply, ExchangeRequest, HeartbeatRecord};
use crate::platform::VmList;
use crate::util::FastMap;

/// Longest time for which a call waits for news.
pub const MAX_EXCHANGE_WAIT: Duration = Duration::from_millis(500);

/// Who a node is.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// Identity of its VM.
    pub vm: VmId,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Address for callers, `ip:port`.
    pub caller_address: String,
    /// Address for peers, `ip:port`.
    pub peer_address: String,
    /// Grows with every start of the VM's node.
    pub incarnation: u64,
}

/// A node in the exchange between entries.
#[derive(Debug)]
pub struct ControlNode {
    identity: NodeIdentity,
    pub(super) holder: Arc<GenerationHolder>,
    pub(super) freshness: Arc<ConfigFreshness>,
    membership: SharedMembership,
    board: Mutex<HeartbeatBoard>,
    pub(super) drains: DrainBoard,
    /// Positions by the address of the peer that this node asks.
    cursors: Mutex<FastMap<SocketAddr, PeerCursor>>,
    /// Position of the board before its first mark.
    pub(super) first_cursor: u64,
    /// Counts what children should hear of.
    pub(super) news: watch::Sender<u64>,
    /// Counts what the parent should hear of.
    reports: watch::Sender<u64>,
}

impl ControlNode {
    /// Creates a node that applies generations to `holder`, records confirmations in `freshness`
    /// and publishes the entries to `membership`.
    pub fn new(
        identity: NodeIdentity,
        holder: Arc<GenerationHolder>,
        freshness: Arc<ConfigFreshness>,
        membership: SharedMembership,
    ) -> Self {
        let own = HeartbeatRecord {
            vm: identity.vm.as_str().to_owned(),
            failure_domain: identity.failure_domain.as_str().to_owned(),
            caller_address: identity.caller_address.clone(),
            peer_address: identity.peer_address.clone(),
            state: node_state_of(EntryState::Starting).into(),
            incarnation: identity.incarnation,
            min_format: MIN_FORMAT,
            max_format: MAX_FORMAT,
            ..HeartbeatRecord::default()
        };
        let drains = DrainBoard::new(identity.incarnation);
        let node = Self {
            first_cursor: drains.cursor(),
            cursors: Mutex::default(),
            holder,
            freshness,
            membership,
            board: Mutex::new(HeartbeatBoard::new(own)),
            drains,
            news: watch::Sender::new(0),
            reports: watch::Sender::new(0),
            identity,
        };
        node.publish_view();
        node
    }

    /// Who the node is.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// The generation that the node applies.
    pub fn holder(&self) -> &GenerationHolder {
        &self.holder
    }

    /// The generation that the node applies, shared.
    pub fn shared_holder(&self) -> Arc<GenerationHolder> {
        Arc::clone(&self.holder)
    }

    /// Drain marks of upstreams.
    pub fn drains(&self) -> &DrainBoard {
        &self.drains
    }

    /// Whether the node is its failure domain's relay.
    pub fn is_relay(&self) -> bool {
        self.lock().is_relay()
    }

    /// Tells when the parent should hear of something at once.
    pub fn reports(&self) -> watch::Receiver<u64> {
        self.reports.subscribe()
    }

    /// Records that this node sees an upstream draining, or no longer; the others hear of it.
    pub fn report_drain(&self, upstream: &str, is_draining: bool) {
        if self.drains.report(self.identity.vm.as_str(), upstream, is_draining) {
            self.tell_all();
        }
    }

    pub(super) fn merge_drains(&self, hints: &[DrainHint]) {
        if self.drains.merge(hints) {
            self.tell_all();
        }
    }

    /// Records what the node is doing and tells the others at once.
    pub fn set_state(&self, state: EntryState) {
        let changed = self.lock().change_own(|own| own.set_state(node_state_of(state)));
        self.own_changed(changed);
    }

    /// Records that the node holds, or with 0 does not hold, its failure domain's relay lease.
    pub fn set_relay_term(&self, term: u64) {
        let changed = {
            let mut board = self.lock();
            let was_relay = board.is_relay();
            let changed = board.change_own(|own| own.relay_term = term);
            if !was_relay && term > 0 {
                board.inherit_view();
            }
            changed
        };
        self.own_changed(changed);
    }

    /// What the node is doing.
    pub fn state(&self) -> EntryState {
        state_of(self.lock().own())
    }

    /// Time since the configuration was confirmed as the newest.
    pub fn confirmed_age(&self) -> Option<Duration> {
        self.freshness.age()
    }

    /// VMs that the platform lists and that this node, if it is a relay, does not hear.
    pub fn missing(&self) -> Vec<String> {
        let board = self.lock();
        if board.is_relay() { board.missing() } else { Vec::new() }
    }

    /// Records a confirmation by the platform that is `age` old.
    pub fn confirm(&self, age: Duration) {
        self.freshness.confirm(age);
    }

    /// Records what the platform lists.
    pub fn set_listed(&self, list: VmList) {
        self.lock().set_listed(list);
    }

    /// Records that a generation was applied, the state that follows, and the time's passing.
    pub fn refresh(&self) {
        self.holder.end_transitions();
        let generation = self.holder.number();
        let changed = {
            let mut board = self.lock();
            board.change_own(|own| {
                own.generation = generation.0;
                if generation.0 > 0 && own.state == node_state_of(EntryState::Starting) as i32 {
                    own.set_state(node_state_of(EntryState::Ready));
                }
            })
        };
        self.own_changed(changed);
        self.rebuild_if_relay();
    }

    /// Addresses of listed VMs other than this one.
    pub fn listed_peers(&self) -> Vec<SocketAddr> {
        let board = self.lock();
        let mut peers = Vec::new();
        for vm in board.listed().iter().flat_map(|list| &list.vms) {
            if vm.id == self.identity.vm.as_str() {
                continue;
            }
            peers.extend(vm.peer_address.parse::<SocketAddr>());
        }
        peers
    }

    /// Nodes to ask, in order.
    pub fn candidates(&self) -> Vec<ParentCandidate> {
        let view = self.lock().view();
        candidates(&view, self.identity.failure_domain.as_str(), self.identity.vm.as_str())
    }

    /// Other nodes that claim to be the relay of this node's failure domain.
    pub fn rival_relays(&self) -> Vec<ParentCandidate> {
        let view = self.lock().view();
        rival_relays(&view, self.identity.failure_domain.as_str(), self.identity.vm.as_str())
    }

    /// Whether this node comes first after the relay of its failure domain.
    pub fn is_first_child(&self) -> bool {
        let view = self.lock().view();
        let domain = self.identity.failure_domain.as_str();
        let relay = relay_of(&view, domain).map(|relay| &relay.vm);
        let mut others = view
            .records()
            .iter()
            .filter(|record| record.failure_domain == domain && Some(&record.vm) != relay);
        others.next().is_some_and(|record| record.vm == self.identity.vm.as_str())
    }

    /// Term of the relay that the node knows for its own failure domain; 0 if it knows none.
    pub fn known_relay_term(&self) -> u64 {
        let view = self.lock().view();
        let relay = relay_of(&view, self.identity.failure_domain.as_str());
        relay.map_or(0, |relay| relay.relay_term)
    }

    /// Generations that the live entries apply. A VM that is listed and not heard may run an entry
    /// that this node is cut off from, and counts as without one.
    pub fn node_generations(&self) -> Vec<NodeGeneration> {
        let mut nodes = Vec::new();
        for record in self.lock().view().records() {
            let vm = VmId::new(&record.vm);
            nodes.push(NodeGeneration { vm, generation: generation_of(record) });
        }
        for vm in self.missing() {
            nodes.push(NodeGeneration { vm: VmId::new(&vm), generation: GenerationNumber(0) });
        }
        nodes
    }

    /// Newest format that every live entry reads.
    pub fn oldest_format(&self) -> u32 {
        let view = self.lock().view();
        view.records().iter().map(|record| record.max_format).min().unwrap_or(MAX_FORMAT)
    }

    /// The request for a parent or, with [`HeartbeatSource::Relay`], for another domain's relay.
    pub fn request(&self, to: &ParentCandidate, as_what: HeartbeatSource) -> ExchangeRequest {
        let mut cursors = self.cursors.lock().unwrap_or_else(PoisonError::into_inner);
        let cursor = cursors.entry(to.address).or_default();
        let mut board = self.lock();
        let is_child = as_what == HeartbeatSource::Tree;
        cursor.start();
        let sender = cursor.shortened(board.beat());
        let mut heartbeats = Vec::new();
        for record in board.upward() {
            heartbeats.push(cursor.shortened(record));
        }
        ExchangeRequest {
            sender: Some(sender),
            heartbeats,
            drain_hints: cursor.drain_news(&self.drains).hints,
            drain_cursor: cursor.drains_heard(),
            known_generation: self.holder.number().max(self.holder.refused()).0,
            wait_ms: if is_child { MAX_EXCHANGE_WAIT.as_millis() as u64 } else { 0 },
            view_digest: is_child.then(|| board.view().digest()),
        }
    }

    /// Takes in the answer to a request that was sent at `sent`.
    pub fn take_reply(&self, to: &ParentCandidate, reply: ExchangeReply, sent: Instant) {
        {
            let mut cursors = self.cursors.lock().unwrap_or_else(PoisonError::into_inner);
            cursors.entry(to.address).or_default().delivered(&reply);
        }
        self.merge_drains(&reply.drain_hints);
        if !reply.generation_content.is_empty() {
            self.offer(&reply.generation_content);
        }
        if let Some(age) = reply.confirmed_age_ms
            && self.holder.number().0 >= reply.generation
        {
            // Time on the way counts as age, time for which the callee waited does not.
            let waited = Duration::from_millis(reply.waited_ms);
            let on_the_way = sent.elapsed().saturating_sub(waited);
            self.freshness.confirm(Duration::from_millis(age) + on_the_way);
        }
        let delta = ViewDelta { changed: reply.heartbeats, removed: reply.removed_vms };
        let is_empty = delta == ViewDelta::default() && !reply.is_full_view;
        let changed = {
            let mut board = self.lock();
            if board.is_relay() || is_empty {
                MergeEffect::Refreshed
            } else {
                board.adopt_view(reply.is_full_view, delta)
            }
        };
        if changed == MergeEffect::Changed {
            self.publish_view();
        }
    }

    /// Applies a generation if it is newer.
    pub fn offer(&self, bytes: &bytes::Bytes) -> OfferOutcome {
        let outcome = self.holder.offer(bytes);
        if let OfferOutcome::Rejected { code, message } = &outcome {
            log::warn!(target: "config", "generation refused code={code} reason={message:?}");
        }
        if outcome == OfferOutcome::Applied {
            self.refresh();
            self.tell_children();
        }
        outcome
    }

    /// Makes the view anew if this node is the relay.
    pub(super) fn rebuild_if_relay(&self) {
        let changed = {
            let mut board = self.lock();
            if !board.is_relay() {
                return;
            }
            board.rebuild_view()
        };
        if changed == MergeEffect::Changed {
            self.publish_view();
        }
    }

    /// Publishes the view, in which this node's own record always is as it says itself.
    fn publish_view(&self) {
        let (view, own) = {
            let board = self.lock();
            (board.view(), board.own().clone())
        };
        let mut entries: Vec<EntryRecord> = Vec::new();
        for record in view.records().iter().filter(|record| record.vm != own.vm) {
            entries.extend(entry_of(record));
        }
        entries.extend(entry_of(&own));
        entries.sort_by(|a, b| a.vm.cmp(&b.vm));
        self.membership.store(Arc::new(MembershipView { entries }));
        self.tell_children();
    }

    fn own_changed(&self, changed: MergeEffect) {
        if changed == MergeEffect::Refreshed {
            return;
        }
        self.rebuild_if_relay();
        self.publish_view();
        self.tell_parent();
    }

    fn tell_children(&self) {
        self.news.send_modify(|count| *count += 1);
    }

    pub(super) fn tell_parent(&self) {
        self.reports.send_modify(|count| *count += 1);
    }

    fn tell_all(&self) {
        self.tell_children();
        self.tell_parent();
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, HeartbeatBoard> {
        self.board.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
