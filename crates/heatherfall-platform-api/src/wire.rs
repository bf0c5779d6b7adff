//! Paths, headers and bodies of the API over HTTP and JSON.
//!
//! ```text
//! GET    /v1/objects/{kind}?prefix=P              -> ObjectList
//! GET    /v1/objects/{kind}/{name}                -> ObjectEnvelope
//! PUT    /v1/objects/{kind}/{name}                ObjectDraft -> ObjectEnvelope
//! PUT    /v1/objects/{kind}/{name}/status         StatusBody  -> ObjectEnvelope
//! DELETE /v1/objects/{kind}/{name}
//! GET    /v1/watch?kinds=A,B&since=R&wait_ms=N    -> WatchBatch
//! GET    /v1/vms                                  -> VmList
//! ```
//!
//! Writes carry `If-None-Match: *` or `If-Match: <spec version>`. Errors: 412 with the current
//! object for a failed precondition, 404 for a missing object, 410 for a compacted watch revision,
//! 413 for an oversized value, and 503 for a call that was refused without any effect.

use serde::{Deserialize, Serialize};
use serde_json::Value;

/// Path prefix of objects.
pub const OBJECTS_PATH: &str = "/v1/objects/";
/// Path of the long-poll watch.
pub const WATCH_PATH: &str = "/v1/watch";
/// Path of the VM list.
pub const VMS_PATH: &str = "/v1/vms";

/// Body of a status write.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StatusBody {
    /// The status to store.
    pub status: Value,
}
