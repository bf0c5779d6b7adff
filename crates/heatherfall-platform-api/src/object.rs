//! Objects, lists, watch batches and VM records.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Revision of the whole store; incremented by every write.
pub type Revision = u64;

/// Number of a store's history, which rises by one each time that the store is restored from a copy.
/// Writes made after the copy are lost, and their revisions are assigned again.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct StoreEra(pub u64);

impl StoreEra {
    /// Era of a store that does not report one.
    pub const UNKNOWN: Self = Self(0);

    /// Whether the store did not report its era.
    pub fn is_unknown(&self) -> bool {
        *self == Self::UNKNOWN
    }
}

impl std::fmt::Display for StoreEra {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// A point in the history of a store. Revisions are comparable only within one era.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct StorePosition {
    /// History that the revision belongs to.
    #[serde(default)]
    pub era: StoreEra,
    /// Revision of the whole store.
    pub revision: Revision,
}

/// Labels of an object, sorted by key.
pub type LabelMap = BTreeMap<String, String>;

/// An object as stored, with the versions that conditional writes refer to.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ObjectEnvelope {
    /// Kind, for example `Upstream`.
    pub kind: String,
    /// Name, unique within the kind.
    pub name: String,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: LabelMap,
    /// Desired state, set by the writer.
    #[serde(default)]
    pub spec: Value,
    /// Observed state, reported back by the system.
    #[serde(default)]
    pub status: Value,
    /// Revision of the last write of labels, spec or status.
    pub version: Revision,
    /// Revision of the last write of labels or spec; status writes leave it unchanged.
    pub spec_version: Revision,
    /// Identity of the write that created this spec version, chosen by the writer.
    #[serde(default)]
    pub change_id: String,
    /// Era of the response that contained the object.
    #[serde(default, skip_serializing_if = "StoreEra::is_unknown")]
    pub era: StoreEra,
}

impl ObjectEnvelope {
    /// Position of the last write of labels, spec or status.
    pub fn position(&self) -> StorePosition {
        StorePosition { era: self.era, revision: self.version }
    }
}

/// An object to be written.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ObjectDraft {
    /// Kind, for example `Upstream`.
    pub kind: String,
    /// Name, unique within the kind.
    pub name: String,
    /// Labels that selectors match.
    #[serde(default)]
    pub labels: LabelMap,
    /// Desired state, set by the writer.
    #[serde(default)]
    pub spec: Value,
    /// Identity of this write; lets the writer recognise it after a lost response.
    #[serde(default)]
    pub change_id: String,
}

/// All objects of a kind at one revision, sorted by name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ObjectList {
    /// Revision up to which the list reflects all writes.
    pub revision: Revision,
    /// The objects.
    pub items: Vec<ObjectEnvelope>,
    /// Era that the revision belongs to.
    #[serde(default, skip_serializing_if = "StoreEra::is_unknown")]
    pub era: StoreEra,
}

impl ObjectList {
    /// Position up to which the list reflects all writes.
    pub fn position(&self) -> StorePosition {
        StorePosition { era: self.era, revision: self.revision }
    }
}

/// Change of one object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "type")]
pub enum WatchEvent {
    /// The object was created or changed.
    Put {
        /// The object after the change.
        object: ObjectEnvelope,
    },
    /// The object was deleted.
    Delete {
        /// Kind of the deleted object.
        kind: String,
        /// Name of the deleted object.
        name: String,
        /// Revision of the deletion.
        revision: Revision,
    },
}

/// Result of a long-poll watch.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WatchBatch {
    /// Resume point: with this batch, the caller has seen every change up to this revision.
    pub revision: Revision,
    /// Changes in the order of their revisions; empty if the wait ended without one.
    pub events: Vec<WatchEvent>,
    /// Era that the revision belongs to.
    #[serde(default, skip_serializing_if = "StoreEra::is_unknown")]
    pub era: StoreEra,
}

impl WatchBatch {
    /// Resume point within the store's history.
    pub fn position(&self) -> StorePosition {
        StorePosition { era: self.era, revision: self.revision }
    }
}

/// Lifecycle state of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum VmState {
    /// Running.
    Live,
    /// About to be stopped or replaced.
    Leaving,
}

/// One VM in the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmRecord {
    /// Identity of the VM.
    pub id: String,
    /// Address that callers connect to, `ip:port`.
    pub address: String,
    /// Address that peers connect to, `ip:port`.
    pub peer_address: String,
    /// Failure domain that the VM runs in.
    pub failure_domain: String,
    /// State according to the platform; may be out of date.
    pub state: VmState,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// The VMs, sorted by identity.
    pub vms: Vec<VmRecord>,
}
