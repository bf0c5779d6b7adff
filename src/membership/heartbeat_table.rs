//! The heartbeats that a node has received and its view of the entries.
//!
//! A relay builds the view from the heartbeats of its own tree, those that other relays forward,
//! and the VM list. Every other node copies the view of its parent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::membership::peer_sync_state::expand;
use crate::membership::reconcile::{HeartbeatStatus, ListingStatus, MembershipDecision, reconcile};
use crate::membership::replicated_view::{ReplicatedView, ViewDelta, entry_state, wire_state};
use crate::peer::generated::peer::HeartbeatRecord;
use crate::platform::VmList;
use crate::util::FastMap;

/// Age up to which a heartbeat shows that its entry is alive.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a record that is not received again is dropped.
const RECORD_RETENTION: Duration = Duration::from_secs(60);

/// The path on which a heartbeat arrived.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatSource {
    /// From a descendant in this node's fan-out tree.
    Tree,
    /// From the relay of another failure domain.
    Relay,
}

/// Result of merging heartbeats.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MergeOutcome {
    /// Whether any record changed.
    pub effect: MergeEffect,
    /// VMs whose compact record arrived although their content is not known; the sender should send
    /// the full record.
    pub wanted: Vec<String>,
}

/// Effect of an update on records or on the view.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MergeEffect {
    /// Nothing but ages and sequence numbers changed.
    #[default]
    Unchanged,
    /// The content of a record changed.
    Changed,
}

#[derive(Clone, Debug)]
struct ReceivedHeartbeat {
    record: HeartbeatRecord,
    received_at: Instant,
    source: HeartbeatSource,
}

#[derive(Clone, Debug)]
struct SentView {
    view: Arc<ReplicatedView>,
    sent_at: Instant,
}

/// Heartbeats and view of one node.
#[derive(Debug)]
pub struct HeartbeatTable {
    own: HeartbeatRecord,
    received: BTreeMap<String, ReceivedHeartbeat>,
    vm_list: Option<VmList>,
    view: Arc<ReplicatedView>,
    sent_views: FastMap<String, SentView>,
}

impl HeartbeatTable {
    /// Creates the table of the node that `own` describes.
    pub fn new(own: HeartbeatRecord) -> Self {
        Self {
            own,
            received: BTreeMap::new(),
            vm_list: None,
            view: Arc::default(),
            sent_views: FastMap::default(),
        }
    }

    /// Increments the sequence number of the node's own record and returns the record.
    pub fn next_heartbeat(&mut self) -> HeartbeatRecord {
        self.own.sequence += 1;
        self.own.clone()
    }

    /// The node's own record.
    pub fn own(&self) -> &HeartbeatRecord {
        &self.own
    }

    /// Changes the node's own record and returns whether its content differs from before.
    pub fn update_own(&mut self, change: impl FnOnce(&mut HeartbeatRecord)) -> MergeEffect {
        let before = self.own.clone();
        change(&mut self.own);
        if self.own == before { MergeEffect::Unchanged } else { MergeEffect::Changed }
    }

    /// Whether the node is its failure domain's relay.
    pub fn is_relay(&self) -> bool {
        self.own.relay_term > 0
    }

    /// The current view.
    pub fn view(&self) -> Arc<ReplicatedView> {
        Arc::clone(&self.view)
    }

    /// Merges records of other nodes; a record replaces the known one only if it is newer.
    pub fn merge(
        &mut self,
        records: Vec<HeartbeatRecord>,
        source: HeartbeatSource,
    ) -> MergeOutcome {
        let now = Instant::now();
        let mut outcome = MergeOutcome::default();
        for record in records {
            if record.vm == self.own.vm {
                self.exceed_former_incarnation(&record);
                continue;
            }
            let known = self.received.get(&record.vm);
            if known.is_some_and(|known| !is_newer(&record, &known.record)) {
                continue;
            }
            let known = known.map(|known| &known.record);
            let record = if record.content_digest == 0 {
                record
            } else if let Some(full) = expand(&record, known) {
                full
            } else {
                outcome.wanted.push(record.vm);
                continue;
            };
            if known.is_none_or(|known| !is_same_content(&record, known)) {
                outcome.effect = MergeEffect::Changed;
            }
            let age = Duration::from_millis(record.age_ms);
            let received_at = now.checked_sub(age).unwrap_or(now);
            self.received
                .insert(record.vm.clone(), ReceivedHeartbeat { record, received_at, source });
        }
        outcome
    }

    /// Raises the own incarnation above that of a record of this VM's former process. The
    /// incarnation can be lower than before a restart if the clock was set back.
    fn exceed_former_incarnation(&mut self, record: &HeartbeatRecord) {
        if record.incarnation > self.own.incarnation {
            self.own.incarnation = record.incarnation + 1;
        }
    }

    /// The fresh records that came from descendants, with their ages, for a parent or another
    /// relay.
    pub fn descendant_heartbeats(&self) -> Vec<HeartbeatRecord> {
        let now = Instant::now();
        let mut records = Vec::new();
        for received in self.received.values() {
            let age = now.duration_since(received.received_at);
            if received.source != HeartbeatSource::Tree || age > HEARTBEAT_TIMEOUT {
                continue;
            }
            let mut record = received.record.clone();
            record.age_ms = age.as_millis() as u64;
            records.push(record);
        }
        records
    }

    /// Stores the platform's VM list.
    pub fn set_vm_list(&mut self, list: VmList) {
        self.vm_list = Some(list);
    }

    /// The platform's VM list; `None` until it has been read.
    pub fn vm_list(&self) -> Option<&VmList> {
        self.vm_list.as_ref()
    }

    /// VMs that are listed and from which no fresh heartbeat is known.
    pub fn missing_vms(&self) -> Vec<String> {
        let mut missing = Vec::new();
        for vm in self.vm_list.iter().flat_map(|list| &list.vms) {
            if vm.id != self.own.vm && self.decide(&vm.id) == MembershipDecision::Missing {
                missing.push(vm.id.clone());
            }
        }
        missing
    }

    /// Treats every entry of the current view as heard from now. A new relay does this because its
    /// children have not called it yet.
    pub fn seed_from_view(&mut self) {
        let now = Instant::now();
        for record in self.view.records() {
            if record.vm == self.own.vm {
                continue;
            }
            let is_own_domain = record.failure_domain == self.own.failure_domain;
            let source = if is_own_domain { HeartbeatSource::Tree } else { HeartbeatSource::Relay };
            let known = self.received.get(&record.vm);
            let mut record = record.clone();
            if let Some(known) =
                known.filter(|known| known.record.incarnation >= record.incarnation)
            {
                // A record that was received directly is newer than the view's.
                let is_stale = known.received_at.elapsed() > HEARTBEAT_TIMEOUT;
                record = if is_stale { record } else { known.record.clone() };
                record.sequence = known.record.sequence;
            }
            self.received
                .insert(record.vm.clone(), ReceivedHeartbeat { record, received_at: now, source });
        }
    }

    /// Builds the view from the received heartbeats and the VM list, and returns whether it
    /// changed.
    pub fn rebuild_view(&mut self) -> MergeEffect {
        let now = Instant::now();
        self.received
            .retain(|_, received| now.duration_since(received.received_at) < RECORD_RETENTION);
        self.sent_views.retain(|_, sent| now.duration_since(sent.sent_at) < RECORD_RETENTION);
        let mut records = vec![self.own.clone()];
        for received in self.received.values() {
            let MembershipDecision::Member(state) = self.decide(&received.record.vm) else {
                continue;
            };
            let mut record = received.record.clone();
            record.set_state(wire_state(state));
            records.push(record);
        }
        self.set_view(ReplicatedView::new(records))
    }

    /// Applies what a parent sent of its view, and returns whether the view changed.
    pub fn apply_parent_view(&mut self, is_full: bool, delta: ViewDelta) -> MergeEffect {
        let base =
            if is_full { ReplicatedView::default() } else { ReplicatedView::clone(&self.view) };
        self.set_view(base.with_delta(delta))
    }

    /// Returns what the child `vm`, whose view has `digest`, needs to reach this node's view.
    pub fn update_for_child(&mut self, vm: &str, digest: u64) -> ViewUpdate {
        let sent = self.sent_views.get(vm).filter(|sent| sent.view.digest() == digest);
        let update = match sent {
            Some(sent) => ViewUpdate { is_full: false, delta: self.view.delta_from(&sent.view) },
            None => {
                let delta = self.view.delta_from(&ReplicatedView::default());
                ViewUpdate { is_full: digest != self.view.digest(), delta }
            }
        };
        let sent = SentView { view: Arc::clone(&self.view), sent_at: Instant::now() };
        self.sent_views.insert(vm.to_owned(), sent);
        if digest == self.view.digest() {
            return ViewUpdate { is_full: false, delta: ViewDelta::default() };
        }
        update
    }

    fn decide(&self, vm: &str) -> MembershipDecision {
        let heartbeat = match self.received.get(vm) {
            Some(received) if received.received_at.elapsed() <= HEARTBEAT_TIMEOUT => {
                HeartbeatStatus::Fresh(entry_state(&received.record))
            }
            Some(_) => HeartbeatStatus::Stale,
            None => HeartbeatStatus::Never,
        };
        let list = match &self.vm_list {
            None => ListingStatus::Unknown,
            Some(list) => match list.vms.iter().find(|one| one.id == vm) {
                Some(listed) => ListingStatus::Listed(listed.state),
                None => ListingStatus::Unlisted,
            },
        };
        reconcile(heartbeat, list)
    }

    fn set_view(&mut self, view: ReplicatedView) -> MergeEffect {
        if view == *self.view {
            return MergeEffect::Unchanged;
        }
        self.view = Arc::new(view);
        MergeEffect::Changed
    }
}

/// Part of the view that is sent to a child.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewUpdate {
    /// Whether the records replace the child's whole view.
    pub is_full: bool,
    /// The records that differ from the child's view.
    pub delta: ViewDelta,
}

fn is_newer(record: &HeartbeatRecord, known: &HeartbeatRecord) -> bool {
    (record.incarnation, record.sequence) > (known.incarnation, known.sequence)
}

fn is_same_content(a: &HeartbeatRecord, b: &HeartbeatRecord) -> bool {
    let (mut a, mut b) = (a.clone(), b.clone());
    for record in [&mut a, &mut b] {
        record.sequence = 0;
        record.age_ms = 0;
    }
    a == b
}
