//! The view of live entries that a relay builds and the fan-out tree replicates.
//!
//! Records in a view have neither sequence number nor age, so they change only when an entry's
//! content does, and a fleet without changes sends no views. A child sends the digest of its view;
//! the parent replies with the difference from what it last sent, or with the whole view if that
//! digest does not match.

use prost::Message;
use sha2::{Digest, Sha256};

use crate::core::{FailureDomain, GenerationNumber, VmId};
use crate::membership::view::{EntryRecord, EntryState};
use crate::peer::generated::peer::{HeartbeatRecord, NodeState};

/// A view in the form of the wire, sorted by VM.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ReplicatedView {
    records: Vec<HeartbeatRecord>,
    digest: u64,
}

/// Difference between two views.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ViewDelta {
    /// Records that are new or changed.
    pub changed: Vec<HeartbeatRecord>,
    /// VMs that are no longer in the view.
    pub removed: Vec<String>,
}

impl ReplicatedView {
    /// Creates a view of `records`, whose sequence numbers and ages are cleared.
    pub fn new(mut records: Vec<HeartbeatRecord>) -> Self {
        for record in &mut records {
            record.sequence = 0;
            record.age_ms = 0;
        }
        records.sort_by(|a, b| a.vm.cmp(&b.vm));
        let digest = records_digest(&records);
        Self { records, digest }
    }

    /// The records, sorted by VM.
    pub fn records(&self) -> &[HeartbeatRecord] {
        &self.records
    }

    /// Digest of the records; 0 for the empty view.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// The record of the entry on `vm`.
    pub fn find(&self, vm: &str) -> Option<&HeartbeatRecord> {
        let found = self.records.binary_search_by(|record| record.vm.as_str().cmp(vm));
        self.records.get(found.ok()?)
    }

    /// Returns the difference that turns `before` into this view.
    pub fn delta_from(&self, before: &ReplicatedView) -> ViewDelta {
        let mut delta = ViewDelta::default();
        for record in &self.records {
            if before.find(&record.vm) != Some(record) {
                delta.changed.push(record.clone());
            }
        }
        for record in &before.records {
            if self.find(&record.vm).is_none() {
                delta.removed.push(record.vm.clone());
            }
        }
        delta
    }

    /// Returns this view with a difference applied.
    pub fn with_delta(&self, delta: ViewDelta) -> Self {
        let mut records = self.records.clone();
        records.retain(|record| !delta.removed.contains(&record.vm));
        for changed in delta.changed {
            records.retain(|record| record.vm != changed.vm);
            records.push(changed);
        }
        Self::new(records)
    }
}

fn records_digest(records: &[HeartbeatRecord]) -> u64 {
    if records.is_empty() {
        return 0;
    }
    let mut hasher = Sha256::new();
    for record in records {
        hasher.update(record.encode_length_delimited_to_vec());
    }
    let hash = hasher.finalize();
    let mut first = [0; 8];
    first.copy_from_slice(&hash[..8]);
    u64::from_be_bytes(first)
}

/// Converts the state of a heartbeat; an unspecified one counts as starting.
pub(super) fn entry_state(record: &HeartbeatRecord) -> EntryState {
    match record.state() {
        NodeState::Ready => EntryState::Ready,
        NodeState::Leaving => EntryState::Leaving,
        NodeState::Starting | NodeState::Unspecified => EntryState::Starting,
    }
}

/// Converts a state for a heartbeat.
pub(super) fn wire_state(state: EntryState) -> NodeState {
    match state {
        EntryState::Starting => NodeState::Starting,
        EntryState::Ready => NodeState::Ready,
        EntryState::Leaving => NodeState::Leaving,
    }
}

/// Returns the entry that a heartbeat describes, or `None` if an address does not parse.
pub(super) fn entry_record(record: &HeartbeatRecord) -> Option<EntryRecord> {
    Some(EntryRecord {
        vm: VmId::new(&record.vm),
        failure_domain: FailureDomain::new(&record.failure_domain),
        caller_address: record.caller_address.parse().ok()?,
        peer_address: record.peer_address.parse().ok()?,
        state: entry_state(record),
        has_path: true,
    })
}

/// Generation that the entry of a heartbeat applies.
pub(super) fn generation_number(record: &HeartbeatRecord) -> GenerationNumber {
    GenerationNumber(record.generation)
}
