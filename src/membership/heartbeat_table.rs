//! What one node knows about the entries: heartbeats that it heard, and its view.
//!
//! A relay makes the view from the heartbeats of its own tree, those that other relays send, and
//! the VM list. Every other node has the view of its parent.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::membership::peer_sync_state::restored;
use crate::membership::reconcile::{HeartbeatStatus, ListingStatus, MembershipDecision, reconcile};
use crate::membership::replicated_view::{ReplicatedView, ViewDelta, entry_state, wire_state};
use crate::peer::generated::peer::HeartbeatRecord;
use crate::platform::VmList;
use crate::util::FastMap;

/// Age up to which a heartbeat counts.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_secs(3);
/// Time after which a record that is not heard again is dropped.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// The way on which a heartbeat came.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatSource {
    /// From below in the tree.
    Tree,
    /// From another failure domain's relay.
    Relay,
}

/// What came of merging heartbeats.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MergeOutcome {
    /// What changed.
    pub effect: MergeEffect,
    /// VMs of which a short record came and the content is not known.
    pub wanted: Vec<String>,
}

/// What changed by a step.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum MergeEffect {
    /// Ages at most.
    #[default]
    Refreshed,
    /// What an entry says about itself.
    Changed,
}

#[derive(Clone, Debug)]
struct ReceivedHeartbeat {
    record: HeartbeatRecord,
    heard: Instant,
    source: HeartbeatSource,
}

#[derive(Clone, Debug)]
struct SentView {
    view: Arc<ReplicatedView>,
    sent: Instant,
}

/// Heartbeats and view of one node.
#[derive(Debug)]
pub struct HeartbeatTable {
    own: HeartbeatRecord,
    heard: BTreeMap<String, ReceivedHeartbeat>,
    listed: Option<VmList>,
    view: Arc<ReplicatedView>,
    sent: FastMap<String, SentView>,
}

impl HeartbeatTable {
    /// Creates the board of the node that `own` describes.
    pub fn new(own: HeartbeatRecord) -> Self {
        Self {
            own,
            heard: BTreeMap::new(),
            listed: None,
            view: Arc::default(),
            sent: FastMap::default(),
        }
    }

    /// The node's own record, with the next sequence number.
    pub fn next_heartbeat(&mut self) -> HeartbeatRecord {
        self.own.sequence += 1;
        self.own.clone()
    }

    /// The node's own record.
    pub fn own(&self) -> &HeartbeatRecord {
        &self.own
    }

    /// Changes the node's own record and tells whether that made a difference.
    pub fn update_own(&mut self, change: impl FnOnce(&mut HeartbeatRecord)) -> MergeEffect {
        let before = self.own.clone();
        change(&mut self.own);
        if self.own == before { MergeEffect::Refreshed } else { MergeEffect::Changed }
    }

    /// Whether the node is its failure domain's relay.
    pub fn is_relay(&self) -> bool {
        self.own.relay_term > 0
    }

    /// The view.
    pub fn view(&self) -> Arc<ReplicatedView> {
        Arc::clone(&self.view)
    }

    /// Takes in heartbeats of others.
    pub fn merge(
        &mut self,
        records: Vec<HeartbeatRecord>,
        source: HeartbeatSource,
    ) -> MergeOutcome {
        let now = Instant::now();
        let mut outcome = MergeOutcome::default();
        for record in records {
            if record.vm == self.own.vm {
                self.yield_incarnation(&record);
                continue;
            }
            let known = self.heard.get(&record.vm);
            if known.is_some_and(|known| !is_newer(&record, &known.record)) {
                continue;
            }
            let known = known.map(|known| &known.record);
            let record = if record.content_digest == 0 {
                record
            } else if let Some(whole) = restored(&record, known) {
                whole
            } else {
                outcome.wanted.push(record.vm);
                continue;
            };
            if known.is_none_or(|known| !is_same_content(&record, known)) {
                outcome.effect = MergeEffect::Changed;
            }
            let age = Duration::from_millis(record.age_ms);
            let heard = now.checked_sub(age).unwrap_or(now);
            self.heard.insert(record.vm.clone(), ReceivedHeartbeat { record, heard, source });
        }
        outcome
    }

    /// A clock that went back over a restart gave this node an incarnation below its former one.
    fn yield_incarnation(&mut self, record: &HeartbeatRecord) {
        if record.incarnation > self.own.incarnation {
            self.own.incarnation = record.incarnation + 1;
        }
    }

    /// The records heard from below, with their ages, for a parent or another relay.
    pub fn descendant_heartbeats(&self) -> Vec<HeartbeatRecord> {
        let now = Instant::now();
        let mut records = Vec::new();
        for heard in self.heard.values() {
            let age = now.duration_since(heard.heard);
            if heard.source != HeartbeatSource::Tree || age > HEARTBEAT_TIMEOUT {
                continue;
            }
            let mut record = heard.record.clone();
            record.age_ms = age.as_millis() as u64;
            records.push(record);
        }
        records
    }

    /// Records what the platform lists.
    pub fn set_vm_list(&mut self, list: VmList) {
        self.listed = Some(list);
    }

    /// What the platform lists, as far as it was read.
    pub fn vm_list(&self) -> Option<&VmList> {
        self.listed.as_ref()
    }

    /// VMs that are listed and from which nothing is heard.
    pub fn missing_vms(&self) -> Vec<String> {
        let mut missing = Vec::new();
        for vm in self.listed.iter().flat_map(|list| &list.vms) {
            if vm.id != self.own.vm && self.decide(&vm.id) == MembershipDecision::Missing {
                missing.push(vm.id.clone());
            }
        }
        missing
    }

    /// Counts every entry of the present view as heard now. A new relay does this, because its
    /// children have not called it yet.
    pub fn seed_from_view(&mut self) {
        let now = Instant::now();
        for record in self.view.records() {
            if record.vm == self.own.vm {
                continue;
            }
            let is_own_domain = record.failure_domain == self.own.failure_domain;
            let source = if is_own_domain { HeartbeatSource::Tree } else { HeartbeatSource::Relay };
            let known = self.heard.get(&record.vm);
            let mut record = record.clone();
            if let Some(known) =
                known.filter(|known| known.record.incarnation >= record.incarnation)
            {
                // A record that was heard itself is younger than the view.
                let is_late = known.heard.elapsed() > HEARTBEAT_TIMEOUT;
                record = if is_late { record } else { known.record.clone() };
                record.sequence = known.record.sequence;
            }
            self.heard.insert(record.vm.clone(), ReceivedHeartbeat { record, heard: now, source });
        }
    }

    /// Makes the view from what is heard and listed, and tells whether it changed.
    pub fn rebuild_view(&mut self) -> MergeEffect {
        let now = Instant::now();
        self.heard.retain(|_, heard| now.duration_since(heard.heard) < FORGET_AFTER);
        self.sent.retain(|_, sent| now.duration_since(sent.sent) < FORGET_AFTER);
        let mut records = vec![self.own.clone()];
        for heard in self.heard.values() {
            let MembershipDecision::Member(state) = self.decide(&heard.record.vm) else {
                continue;
            };
            let mut record = heard.record.clone();
            record.set_state(wire_state(state));
            records.push(record);
        }
        self.set_view(ReplicatedView::new(records))
    }

    /// Takes over the view of a parent, and tells whether it changed.
    pub fn apply_parent_view(&mut self, is_full: bool, delta: ViewDelta) -> MergeEffect {
        let base =
            if is_full { ReplicatedView::default() } else { ReplicatedView::clone(&self.view) };
        self.set_view(base.with_delta(delta))
    }

    /// The difference between the view and what the child `vm`, whose view has `digest`, has.
    pub fn update_for_child(&mut self, vm: &str, digest: u64) -> ViewUpdate {
        let sent = self.sent.get(vm).filter(|sent| sent.view.digest() == digest);
        let reply = match sent {
            Some(sent) => ViewUpdate { is_full: false, delta: self.view.delta_from(&sent.view) },
            None => {
                let delta = self.view.delta_from(&ReplicatedView::default());
                ViewUpdate { is_full: digest != self.view.digest(), delta }
            }
        };
        let sent = SentView { view: Arc::clone(&self.view), sent: Instant::now() };
        self.sent.insert(vm.to_owned(), sent);
        if digest == self.view.digest() {
            return ViewUpdate { is_full: false, delta: ViewDelta::default() };
        }
        reply
    }

    fn decide(&self, vm: &str) -> MembershipDecision {
        let heartbeat = match self.heard.get(vm) {
            Some(heard) if heard.heard.elapsed() <= HEARTBEAT_TIMEOUT => {
                HeartbeatStatus::Fresh(entry_state(&heard.record))
            }
            Some(_) => HeartbeatStatus::Stale,
            None => HeartbeatStatus::Never,
        };
        let list = match &self.listed {
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
            return MergeEffect::Refreshed;
        }
        self.view = Arc::new(view);
        MergeEffect::Changed
    }
}

/// What a child is sent of the view.
#[derive(Clone, Debug, PartialEq)]
pub struct ViewUpdate {
    /// The records replace the child's whole view.
    pub is_full: bool,
    /// The difference.
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
