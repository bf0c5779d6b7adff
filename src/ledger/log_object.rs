//! Encoding of segments, archives and the layout as platform objects.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use heatherfall_platform_api::{
    ObjectDraft, ObjectEnvelope, PlatformStore, Precondition, StoreError,
};
use prost::Message;
use serde::{Deserialize, Serialize};

use crate::ledger::settings::LedgerSettings;

/// Kind of the segment objects, one for each ring slot of a partition.
pub const SEGMENT_KIND: &str = "LedgerSegment";
/// Kind of the archive objects, which hold the keys of overwritten segments.
pub const ARCHIVE_KIND: &str = "LedgerArchive";
/// Kind of the deployment's layout object.
pub const LAYOUT_KIND: &str = "LedgerLayout";
/// Name of the layout object.
pub const LAYOUT_NAME: &str = "default";

/// Layout of a deployment's ledger. Never changes once written, because it decides in which
/// partition a key is looked for.
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
    /// VM of the writer; shown to operators, not read by the ledger.
    writer: String,
    /// Protobuf message, in base64.
    data: String,
}

/// Name prefix of a partition's objects.
pub(super) fn name_prefix(partition: u32) -> String {
    format!("p{partition:04}-")
}

/// Name of the segment object of a ring slot.
pub(super) fn slot_name(partition: u32, slot: u64) -> String {
    format!("{}{slot:06}", name_prefix(partition))
}

/// Ring slot in a segment object's name; `None` if there is no number.
pub(super) fn slot_of(name: &str) -> Option<u64> {
    name.rsplit_once('-')?.1.parse().ok()
}

/// Identity of an object and of the write that creates or replaces it.
#[derive(Clone, Debug)]
pub(super) struct ObjectIdentity {
    pub(super) kind: &'static str,
    pub(super) name: String,
    pub(super) change_id: String,
    pub(super) writer: String,
}

/// Builds the object that holds `message`.
pub(super) fn encode<M: Message>(identity: ObjectIdentity, message: &M) -> ObjectDraft {
    let spec = DataSpec { writer: identity.writer, data: STANDARD.encode(message.encode_to_vec()) };
    ObjectDraft {
        kind: identity.kind.to_owned(),
        name: identity.name,
        spec: serde_json::to_value(spec).unwrap_or_default(),
        change_id: identity.change_id,
        ..ObjectDraft::default()
    }
}

/// Decodes the message of a segment or archive; `None` if the object is malformed.
pub(super) fn decode<M: Message + Default>(object: &ObjectEnvelope) -> Option<M> {
    let data = object.spec.get("data")?.as_str()?;
    M::decode(STANDARD.decode(data).ok()?.as_slice()).ok()
}

/// Reads the layout. If there is none, writes one from `settings`; of several nodes that do so, the
/// first write wins and all use it.
pub(super) async fn read_or_create_layout<S: PlatformStore>(
    store: &S,
    settings: &LedgerSettings,
) -> Result<LedgerLayout, StoreError> {
    let proposed =
        LedgerLayout { partitions: settings.partitions, ring_slots: settings.ring_slots };
    let spec = serde_json::to_value(proposed);
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
