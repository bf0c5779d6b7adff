//! Segments and archives as objects of the platform.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use heatherfall_platform_api::{
    ObjectDraft, ObjectEnvelope, PlatformStore, Precondition, StoreError,
};
use prost::Message;
use serde::{Deserialize, Serialize};

use crate::ledger::settings::LedgerSettings;

/// Kind of the objects that make up the rings of the partitions.
pub const SEGMENT_KIND: &str = "LedgerSegment";
/// Kind of the objects that hold what the rings no longer hold.
pub const ARCHIVE_KIND: &str = "LedgerArchive";
/// Kind of the one object that says how the ledger is laid out.
pub const LAYOUT_KIND: &str = "LedgerLayout";
/// Name of that object.
pub const LAYOUT_NAME: &str = "default";

/// How the ledger of a deployment is laid out; never changes once written.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LedgerLayout {
    /// Number of partitions.
    pub partitions: u32,
    /// Segments in the ring of each partition.
    pub ring_slots: u64,
}

/// Spec of a segment or archive.
#[derive(Debug, Deserialize, Serialize)]
struct DataSpec {
    /// VM of the writer, for operators.
    writer: String,
    /// Encoded message, in base64.
    data: String,
}

/// Beginning of the names of a partition's objects.
pub(super) fn name_prefix(partition: u32) -> String {
    format!("p{partition:04}-")
}

/// Name of the segment object of a ring slot.
pub(super) fn slot_name(partition: u32, slot: u64) -> String {
    format!("{}{slot:06}", name_prefix(partition))
}

/// Slot that a segment object's name stands for.
pub(super) fn slot_of(name: &str) -> Option<u64> {
    name.rsplit_once('-')?.1.parse().ok()
}

/// Identity and place of an object to be written.
#[derive(Clone, Debug)]
pub(super) struct ObjectIdentity {
    pub(super) kind: &'static str,
    pub(super) name: String,
    pub(super) change_id: String,
    pub(super) writer: String,
}

pub(super) fn encode<M: Message>(place: ObjectIdentity, message: &M) -> ObjectDraft {
    let spec = DataSpec { writer: place.writer, data: STANDARD.encode(message.encode_to_vec()) };
    ObjectDraft {
        kind: place.kind.to_owned(),
        name: place.name,
        spec: serde_json::to_value(spec).unwrap_or_default(),
        change_id: place.change_id,
        ..ObjectDraft::default()
    }
}

/// Reads the message of a segment or archive; `None` if it is not one.
pub(super) fn decode<M: Message + Default>(object: &ObjectEnvelope) -> Option<M> {
    let data = object.spec.get("data")?.as_str()?;
    M::decode(STANDARD.decode(data).ok()?.as_slice()).ok()
}

/// Reads the layout, or writes it if this is the first node of the deployment.
pub(super) async fn read_or_create_layout<S: PlatformStore>(
    store: &S,
    settings: &LedgerSettings,
) -> Result<LedgerLayout, StoreError> {
    let own = LedgerLayout { partitions: settings.partitions, ring_slots: settings.ring_slots };
    let spec = serde_json::to_value(own);
    let draft = ObjectDraft {
        kind: LAYOUT_KIND.to_owned(),
        name: LAYOUT_NAME.to_owned(),
        spec: spec.map_err(|error| StoreError::Protocol(error.to_string()))?,
        ..ObjectDraft::default()
    };
    let object = match store.get(LAYOUT_KIND, LAYOUT_NAME).await {
        Err(StoreError::NotFound) => match store.put(draft, Precondition::Absent).await {
            Err(StoreError::Conflict(Some(object))) => *object,
            other => other?,
        },
        other => other?,
    };
    serde_json::from_value(object.spec).map_err(|error| StoreError::Protocol(error.to_string()))
}
