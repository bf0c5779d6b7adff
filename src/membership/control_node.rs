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

use crate::config::{GenerationApplier, MAX_FORMAT, MIN_FORMAT, NodeGeneration, OfferOutcome};
use crate::core::{FailureDomain, GenerationNumber, VmId};
use crate::membership::drain_hint_table::DrainHintTable;
use crate::membership::fanout::{ParentCandidate, competing_relays, parent_candidates, relay_of};
use crate::membership::freshness::ConfigFreshness;
use crate::membership::heartbeat_table::{HeartbeatSource, HeartbeatTable, MergeEffect};
use crate::membership::peer_sync_state::PeerSyncState;
use crate::membership::replicated_view::{
    ViewDelta, entry_record, entry_state, generation_number, wire_state,
};
use crate::membership::view::{EntryRecord, EntryState, MembershipView, SharedMembership};
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
    pub(super) generation_applier: Arc<GenerationApplier>,
    pub(super) freshness: Arc<ConfigFreshness>,
    membership: SharedMembership,
    heartbeats: Mutex<HeartbeatTable>,
    pub(super) drain_hints: DrainHintTable,
    /// Positions by the address of the peer that this node asks.
    cursors: Mutex<FastMap<SocketAddr, PeerSyncState>>,
    /// Position of the board before its first mark.
    pub(super) initial_drain_cursor: u64,
    /// Counts what children should hear of.
    pub(super) child_updates: watch::Sender<u64>,
    /// Counts what the parent should hear of.
    parent_updates: watch::Sender<u64>,
}

impl ControlNode {
    /// Creates a node that applies generations to `holder`, records confirmations in `freshness`
    /// and publishes the entries to `membership`.
    pub fn new(
        identity: NodeIdentity,
        holder: Arc<GenerationApplier>,
        freshness: Arc<ConfigFreshness>,
        membership: SharedMembership,
    ) -> Self {
        let own = HeartbeatRecord {
            vm: identity.vm.as_str().to_owned(),
            failure_domain: identity.failure_domain.as_str().to_owned(),
            caller_address: identity.caller_address.clone(),
            peer_address: identity.peer_address.clone(),
            state: wire_state(EntryState::Starting).into(),
            incarnation: identity.incarnation,
            min_format: MIN_FORMAT,
            max_format: MAX_FORMAT,
            ..HeartbeatRecord::default()
        };
        let drains = DrainHintTable::new(identity.incarnation);
        let node = Self {
            initial_drain_cursor: drains.cursor(),
            cursors: Mutex::default(),
            generation_applier: holder,
            freshness,
            membership,
            heartbeats: Mutex::new(HeartbeatTable::new(own)),
            drain_hints: drains,
            child_updates: watch::Sender::new(0),
            parent_updates: watch::Sender::new(0),
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
    pub fn generation_applier(&self) -> &GenerationApplier {
        &self.generation_applier
    }

    /// The generation that the node applies, shared.
    pub fn shared_generation_applier(&self) -> Arc<GenerationApplier> {
        Arc::clone(&self.generation_applier)
    }

    /// Drain marks of upstreams.
    pub fn drain_hints(&self) -> &DrainHintTable {
        &self.drain_hints
    }

    /// Whether the node is its failure domain's relay.
    pub fn is_relay(&self) -> bool {
        self.lock().is_relay()
    }

    /// Tells when the parent should hear of something at once.
    pub fn parent_updates(&self) -> watch::Receiver<u64> {
        self.parent_updates.subscribe()
    }

    /// Records that this node sees an upstream draining, or no longer; the others hear of it.
    pub fn report_drain(&self, upstream: &str, is_draining: bool) {
        if self.drain_hints.report(self.identity.vm.as_str(), upstream, is_draining) {
            self.notify_children_and_parent();
        }
    }

    pub(super) fn merge_drain_hints(&self, hints: &[DrainHint]) {
        if self.drain_hints.merge(hints) {
            self.notify_children_and_parent();
        }
    }

    /// Records what the node is doing and tells the others at once.
    pub fn set_state(&self, state: EntryState) {
        let changed = self.lock().update_own(|own| own.set_state(wire_state(state)));
        self.propagate_own_change(changed);
    }

    /// Records that the node holds, or with 0 does not hold, its failure domain's relay lease.
    pub fn set_relay_term(&self, term: u64) {
        let changed = {
            let mut board = self.lock();
            let was_relay = board.is_relay();
            let changed = board.update_own(|own| own.relay_term = term);
            if !was_relay && term > 0 {
                board.seed_from_view();
            }
            changed
        };
        self.propagate_own_change(changed);
    }

    /// What the node is doing.
    pub fn state(&self) -> EntryState {
        entry_state(self.lock().own())
    }

    /// Time since the configuration was confirmed as the newest.
    pub fn confirmed_age(&self) -> Option<Duration> {
        self.freshness.age()
    }

    /// VMs that the platform lists and that this node, if it is a relay, does not hear.
    pub fn missing_vms(&self) -> Vec<String> {
        let board = self.lock();
        if board.is_relay() { board.missing_vms() } else { Vec::new() }
    }

    /// Records a confirmation by the platform that is `age` old.
    pub fn confirm(&self, age: Duration) {
        self.freshness.confirm(age);
    }

    /// Records what the platform lists.
    pub fn set_vm_list(&self, list: VmList) {
        self.lock().set_vm_list(list);
    }

    /// Records that a generation was applied, the state that follows, and the time's passing.
    pub fn refresh(&self) {
        self.generation_applier.expire_replaced_rules();
        let generation = self.generation_applier.number();
        let changed = {
            let mut board = self.lock();
            board.update_own(|own| {
                own.generation = generation.0;
                if generation.0 > 0 && own.state == wire_state(EntryState::Starting) as i32 {
                    own.set_state(wire_state(EntryState::Ready));
                }
            })
        };
        self.propagate_own_change(changed);
        self.rebuild_if_relay();
    }

    /// Addresses of listed VMs other than this one.
    pub fn listed_peer_addresses(&self) -> Vec<SocketAddr> {
        let board = self.lock();
        let mut peers = Vec::new();
        for vm in board.vm_list().iter().flat_map(|list| &list.vms) {
            if vm.id == self.identity.vm.as_str() {
                continue;
            }
            peers.extend(vm.peer_address.parse::<SocketAddr>());
        }
        peers
    }

    /// Nodes to ask, in order.
    pub fn parent_candidates(&self) -> Vec<ParentCandidate> {
        let view = self.lock().view();
        parent_candidates(&view, self.identity.failure_domain.as_str(), self.identity.vm.as_str())
    }

    /// Other nodes that claim to be the relay of this node's failure domain.
    pub fn competing_relays(&self) -> Vec<ParentCandidate> {
        let view = self.lock().view();
        competing_relays(&view, self.identity.failure_domain.as_str(), self.identity.vm.as_str())
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
            nodes.push(NodeGeneration { vm, generation: generation_number(record) });
        }
        for vm in self.missing_vms() {
            nodes.push(NodeGeneration { vm: VmId::new(&vm), generation: GenerationNumber(0) });
        }
        nodes
    }

    /// Newest format that every live entry reads.
    pub fn max_common_format(&self) -> u32 {
        let view = self.lock().view();
        view.records().iter().map(|record| record.max_format).min().unwrap_or(MAX_FORMAT)
    }

    /// The request for a parent or, with [`HeartbeatSource::Relay`], for another domain's relay.
    pub fn build_request(&self, to: &ParentCandidate, as_what: HeartbeatSource) -> ExchangeRequest {
        let mut cursors = self.cursors.lock().unwrap_or_else(PoisonError::into_inner);
        let cursor = cursors.entry(to.address).or_default();
        let mut board = self.lock();
        let is_child = as_what == HeartbeatSource::Tree;
        cursor.start();
        let sender = cursor.shortened(board.next_heartbeat());
        let mut heartbeats = Vec::new();
        for record in board.descendant_heartbeats() {
            heartbeats.push(cursor.shortened(record));
        }
        ExchangeRequest {
            sender: Some(sender),
            heartbeats,
            drain_hints: cursor.drain_news(&self.drain_hints).hints,
            drain_cursor: cursor.drains_heard(),
            known_generation: self
                .generation_applier
                .number()
                .max(self.generation_applier.highest_rejected())
                .0,
            wait_ms: if is_child { MAX_EXCHANGE_WAIT.as_millis() as u64 } else { 0 },
            view_digest: is_child.then(|| board.view().digest()),
        }
    }

    /// Takes in the answer to a request that was sent at `sent`.
    pub fn handle_reply(&self, to: &ParentCandidate, reply: ExchangeReply, sent: Instant) {
        {
            let mut cursors = self.cursors.lock().unwrap_or_else(PoisonError::into_inner);
            cursors.entry(to.address).or_default().delivered(&reply);
        }
        self.merge_drain_hints(&reply.drain_hints);
        if !reply.generation_content.is_empty() {
            self.offer(&reply.generation_content);
        }
        if let Some(age) = reply.confirmed_age_ms
            && self.generation_applier.number().0 >= reply.generation
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
                board.apply_parent_view(reply.is_full_view, delta)
            }
        };
        if changed == MergeEffect::Changed {
            self.publish_view();
        }
    }

    /// Applies a generation if it is newer.
    pub fn offer(&self, bytes: &bytes::Bytes) -> OfferOutcome {
        let outcome = self.generation_applier.offer(bytes);
        if let OfferOutcome::Rejected { code, message } = &outcome {
            log::warn!(target: "config", "generation refused code={code} reason={message:?}");
        }
        if outcome == OfferOutcome::Applied {
            self.refresh();
            self.notify_children();
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
            entries.extend(entry_record(record));
        }
        entries.extend(entry_record(&own));
        entries.sort_by(|a, b| a.vm.cmp(&b.vm));
        self.membership.store(Arc::new(MembershipView { entries }));
        self.notify_children();
    }

    fn propagate_own_change(&self, changed: MergeEffect) {
        if changed == MergeEffect::Refreshed {
            return;
        }
        self.rebuild_if_relay();
        self.publish_view();
        self.notify_parent();
    }

    fn notify_children(&self) {
        self.child_updates.send_modify(|count| *count += 1);
    }

    pub(super) fn notify_parent(&self) {
        self.parent_updates.send_modify(|count| *count += 1);
    }

    fn notify_children_and_parent(&self) {
        self.notify_children();
        self.notify_parent();
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, HeartbeatTable> {
        self.heartbeats.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
