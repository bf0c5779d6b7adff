//! An entry's side of the exchange of heartbeats, generations and drain hints with its peers.
//!
//! ```text
//!        heartbeats up            generations, views, confirmations down
//! child ---------------> parent ---------------------------------------> child
//! ```
//!
//! One call carries both directions: the child sends what it knows, and the parent replies as soon
//! as it knows something newer, at the latest after the wait that the child asks for.

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

/// Longest time for which a call is held open until there is something newer to reply.
pub const MAX_EXCHANGE_WAIT: Duration = Duration::from_millis(500);

/// Identity and addresses of a node.
#[derive(Clone, Debug)]
pub struct NodeIdentity {
    /// The VM that the node runs on.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Address on which callers' requests are accepted, `ip:port`.
    pub caller_address: String,
    /// Address on which peers' calls are accepted, `ip:port`.
    pub peer_address: String,
    /// Increases with every start of the node on this VM, so that records of a former process lose.
    pub incarnation: u64,
}

/// State of one entry in the exchange between entries; [`MembershipDriver`] makes its calls.
///
/// [`MembershipDriver`]: crate::membership::MembershipDriver
#[derive(Debug)]
pub struct ControlNode {
    identity: NodeIdentity,
    pub(super) generation_applier: Arc<GenerationApplier>,
    pub(super) freshness: Arc<ConfigFreshness>,
    membership: SharedMembership,
    heartbeats: Mutex<HeartbeatTable>,
    pub(super) drain_hints: DrainHintTable,
    /// What each called peer has acknowledged, by its address.
    peer_sync_states: Mutex<FastMap<SocketAddr, PeerSyncState>>,
    /// Position of the drain hint table before its first hint.
    pub(super) initial_drain_cursor: u64,
    /// Incremented to wake the held calls of children.
    pub(super) child_updates: watch::Sender<u64>,
    /// Incremented when the parent should be called at once.
    parent_updates: watch::Sender<u64>,
}

impl ControlNode {
    /// Creates a node that applies generations through `generation_applier`, records confirmations
    /// in `freshness` and publishes the entries to `membership`.
    pub fn new(
        identity: NodeIdentity,
        generation_applier: Arc<GenerationApplier>,
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
        let drain_hints = DrainHintTable::new(identity.incarnation);
        let node = Self {
            initial_drain_cursor: drain_hints.cursor(),
            peer_sync_states: Mutex::default(),
            generation_applier,
            freshness,
            membership,
            heartbeats: Mutex::new(HeartbeatTable::new(own)),
            drain_hints,
            child_updates: watch::Sender::new(0),
            parent_updates: watch::Sender::new(0),
            identity,
        };
        node.publish_view();
        node
    }

    /// Identity and addresses of the node.
    pub fn identity(&self) -> &NodeIdentity {
        &self.identity
    }

    /// Applies generations on this node.
    pub fn generation_applier(&self) -> &GenerationApplier {
        &self.generation_applier
    }

    /// A shared pointer to [`ControlNode::generation_applier`].
    pub fn shared_generation_applier(&self) -> Arc<GenerationApplier> {
        Arc::clone(&self.generation_applier)
    }

    /// Drain hints about upstreams, of this node and of others.
    pub fn drain_hints(&self) -> &DrainHintTable {
        &self.drain_hints
    }

    /// Whether this node holds its failure domain's relay lease.
    pub fn is_relay(&self) -> bool {
        self.lock().is_relay()
    }

    /// Changes when the parent should be called at once instead of after the current call.
    pub fn parent_updates(&self) -> watch::Receiver<u64> {
        self.parent_updates.subscribe()
    }

    /// Records this node's drain signal of an upstream and passes a change on to the other entries.
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

    /// Sets the node's state and passes a change on to the other entries at once.
    pub fn set_state(&self, state: EntryState) {
        let effect = self.lock().update_own(|own| own.set_state(wire_state(state)));
        self.propagate_own_change(effect);
    }

    /// Sets the term under which the node holds its failure domain's relay lease; 0 if it does not.
    pub fn set_relay_term(&self, term: u64) {
        let effect = {
            let mut table = self.lock();
            let was_relay = table.is_relay();
            let effect = table.update_own(|own| own.relay_term = term);
            if !was_relay && term > 0 {
                table.seed_from_view();
            }
            effect
        };
        self.propagate_own_change(effect);
    }

    /// State that the node reports about itself.
    pub fn state(&self) -> EntryState {
        entry_state(self.lock().own())
    }

    /// Time since the configuration was confirmed as the newest; `None` before the first time.
    pub fn confirmed_age(&self) -> Option<Duration> {
        self.freshness.age()
    }

    /// VMs that the platform lists and from which this node, as a relay, has no fresh heartbeat.
    /// Empty on a node that is not a relay.
    pub fn missing_vms(&self) -> Vec<String> {
        let table = self.lock();
        if table.is_relay() { table.missing_vms() } else { Vec::new() }
    }

    /// Records that the platform confirmed the configuration as the newest `age` ago.
    pub fn confirm(&self, age: Duration) {
        self.freshness.confirm(age);
    }

    /// Stores the platform's VM list.
    pub fn set_vm_list(&self, list: VmList) {
        self.lock().set_vm_list(list);
    }

    /// Updates the node's own record to the applied generation, and everything that depends on the
    /// time: ages of heartbeats and rules of replaced generations. A starting node becomes ready
    /// with its first generation.
    pub fn refresh(&self) {
        self.generation_applier.expire_replaced_rules();
        let generation = self.generation_applier.number();
        let effect = {
            let mut table = self.lock();
            table.update_own(|own| {
                own.generation = generation.0;
                if generation.0 > 0 && own.state == wire_state(EntryState::Starting) as i32 {
                    own.set_state(wire_state(EntryState::Ready));
                }
            })
        };
        self.propagate_own_change(effect);
        self.rebuild_if_relay();
    }

    /// Peer addresses of the listed VMs other than this one.
    pub fn listed_peer_addresses(&self) -> Vec<SocketAddr> {
        let table = self.lock();
        let mut peers = Vec::new();
        for vm in table.vm_list().iter().flat_map(|list| &list.vms) {
            if vm.id == self.identity.vm.as_str() {
                continue;
            }
            peers.extend(vm.peer_address.parse::<SocketAddr>());
        }
        peers
    }

    /// Nodes that this one may call as its parent, in order of preference.
    pub fn parent_candidates(&self) -> Vec<ParentCandidate> {
        let view = self.lock().view();
        parent_candidates(&view, self.identity.failure_domain.as_str(), self.identity.vm.as_str())
    }

    /// Other nodes that claim to be the relay of this node's failure domain.
    pub fn competing_relays(&self) -> Vec<ParentCandidate> {
        let view = self.lock().view();
        competing_relays(&view, self.identity.failure_domain.as_str(), self.identity.vm.as_str())
    }

    /// Whether this node is the first of its failure domain after the relay, by VM name.
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

    /// Term of the relay of this node's failure domain as this node knows it; 0 without one.
    pub fn known_relay_term(&self) -> u64 {
        let view = self.lock().view();
        let relay = relay_of(&view, self.identity.failure_domain.as_str());
        relay.map_or(0, |relay| relay.relay_term)
    }

    /// Generations that the live entries apply. A VM that is listed and not heard from may run an
    /// entry on the other side of a network partition, and counts as having none.
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

    /// Newest generation format that every live entry reads.
    pub fn max_common_format(&self) -> u32 {
        let view = self.lock().view();
        view.records().iter().map(|record| record.max_format).min().unwrap_or(MAX_FORMAT)
    }

    /// Builds the request to a parent or, with [`HeartbeatSource::Relay`], to another domain's
    /// relay.
    pub fn build_request(&self, to: &ParentCandidate, source: HeartbeatSource) -> ExchangeRequest {
        let mut peer_sync_states =
            self.peer_sync_states.lock().unwrap_or_else(PoisonError::into_inner);
        let sync = peer_sync_states.entry(to.address).or_default();
        let mut table = self.lock();
        let is_child = source == HeartbeatSource::Tree;
        sync.begin_request();
        let sender = sync.compact(table.next_heartbeat());
        let mut heartbeats = Vec::new();
        for record in table.descendant_heartbeats() {
            heartbeats.push(sync.compact(record));
        }
        ExchangeRequest {
            sender: Some(sender),
            heartbeats,
            drain_hints: sync.unacked_hints(&self.drain_hints).hints,
            drain_cursor: sync.received_hint_cursor(),
            known_generation: self
                .generation_applier
                .number()
                .max(self.generation_applier.highest_rejected())
                .0,
            wait_ms: if is_child { MAX_EXCHANGE_WAIT.as_millis() as u64 } else { 0 },
            view_digest: is_child.then(|| table.view().digest()),
        }
    }

    /// Merges the reply to a request that was sent at `sent_at`.
    pub fn handle_reply(&self, to: &ParentCandidate, reply: ExchangeReply, sent_at: Instant) {
        {
            let mut peer_sync_states =
                self.peer_sync_states.lock().unwrap_or_else(PoisonError::into_inner);
            peer_sync_states.entry(to.address).or_default().acknowledge(&reply);
        }
        self.merge_drain_hints(&reply.drain_hints);
        if !reply.generation_content.is_empty() {
            self.offer(&reply.generation_content);
        }
        if let Some(age) = reply.confirmed_age_ms
            && self.generation_applier.number().0 >= reply.generation
        {
            // Transit time counts towards the age; the time for which the peer held the call does
            // not.
            let waited = Duration::from_millis(reply.waited_ms);
            let transit_time = sent_at.elapsed().saturating_sub(waited);
            self.freshness.confirm(Duration::from_millis(age) + transit_time);
        }
        let delta = ViewDelta { changed: reply.heartbeats, removed: reply.removed_vms };
        let is_empty = delta == ViewDelta::default() && !reply.is_full_view;
        let effect = {
            let mut table = self.lock();
            if table.is_relay() || is_empty {
                MergeEffect::Unchanged
            } else {
                table.apply_parent_view(reply.is_full_view, delta)
            }
        };
        if effect == MergeEffect::Changed {
            self.publish_view();
        }
    }

    /// Applies an encoded generation if it is newer than the one in force.
    pub fn offer(&self, bytes: &bytes::Bytes) -> OfferOutcome {
        let outcome = self.generation_applier.offer(bytes);
        if let OfferOutcome::Rejected { code, message } = &outcome {
            log::warn!(target: "config", "generation rejected code={code} reason={message:?}");
        }
        if outcome == OfferOutcome::Applied {
            self.refresh();
            self.notify_children();
        }
        outcome
    }

    /// Rebuilds the view if this node is the relay.
    pub(super) fn rebuild_if_relay(&self) {
        let effect = {
            let mut table = self.lock();
            if !table.is_relay() {
                return;
            }
            table.rebuild_view()
        };
        if effect == MergeEffect::Changed {
            self.publish_view();
        }
    }

    /// Publishes the view. This node's own record in it is always the node's current one, whatever
    /// its parent last sent.
    fn publish_view(&self) {
        let (view, own) = {
            let table = self.lock();
            (table.view(), table.own().clone())
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

    fn propagate_own_change(&self, effect: MergeEffect) {
        if effect == MergeEffect::Unchanged {
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
