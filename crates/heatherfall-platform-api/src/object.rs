//! Objects, lists, watch batches and VM records.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Revision of the whole store; grows by one with every write.
pub type Revision = u64;

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
    /// What the writer wants.
    #[serde(default)]
    pub spec: Value,
    /// What the system reports back.
    #[serde(default)]
    pub status: Value,
    /// Revision of the last write of any part.
    pub version: Revision,
    /// Revision of the last write of labels or spec; a status write leaves it unchanged.
    pub spec_version: Revision,
    /// Identity of the write that made this spec version, chosen by its writer.
    #[serde(default)]
    pub change_id: String,
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
    /// What the writer wants.
    #[serde(default)]
    pub spec: Value,
    /// Identity of this write; lets the writer recognise it after a lost answer.
    #[serde(default)]
    pub change_id: String,
}

/// All objects of a kind at one revision, sorted by name.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ObjectList {
    /// Revision at which the list is complete.
    pub revision: Revision,
    /// The objects.
    pub items: Vec<ObjectEnvelope>,
}

/// One change.
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
        /// Revision of the delete.
        revision: Revision,
    },
}

/// What a waiting watch returns: the changes and the revision up to which they are complete.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WatchBatch {
    /// Progress mark: every change up to this revision is known to the caller after this batch.
    pub revision: Revision,
    /// The changes in order; empty when the wait ended without one.
    pub events: Vec<WatchEvent>,
}

/// State of a VM in the platform's list.
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
    /// State according to the platform, which lags.
    pub state: VmState,
}

/// The platform's list of VMs.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct VmList {
    /// The VMs, sorted by identity.
    pub vms: Vec<VmRecord>,
}
