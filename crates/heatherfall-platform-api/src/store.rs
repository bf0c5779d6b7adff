//! The [`PlatformStore`] trait and its parameters.

use std::future::Future;
use std::time::Duration;

use crate::error::StoreError;
use crate::object::{ObjectDraft, ObjectEnvelope, ObjectList, Revision, VmList, WatchBatch};

/// Largest serialized spec or status that the platform accepts, in bytes.
pub const MAX_VALUE_BYTES: usize = 1 << 20;

/// Condition of a write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Precondition {
    /// The object must not exist.
    Absent,
    /// The object's spec version must be this one.
    SpecVersion(Revision),
}

/// Parameters of a long-poll watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WatchRequest {
    /// Kinds to report.
    pub kinds: Vec<String>,
    /// Report changes after this revision.
    pub since: Revision,
    /// Time without a change after which the watch returns an empty batch.
    pub wait: Duration,
}

/// The platform's object API and VM list.
///
/// A write that fails with an error for which [`StoreError::is_effect_unknown`] holds may have
/// taken effect. Its writer has to read the object and compare `change_id` before it goes on.
pub trait PlatformStore: Send + Sync + 'static {
    /// Reads one object.
    fn get(
        &self,
        kind: &str,
        name: &str,
    ) -> impl Future<Output = Result<ObjectEnvelope, StoreError>> + Send;

    /// Lists the objects of `kind` whose names start with `prefix`.
    fn list(
        &self,
        kind: &str,
        prefix: &str,
    ) -> impl Future<Output = Result<ObjectList, StoreError>> + Send;

    /// Reads one object with bounded staleness: the result may be seconds old. Cheaper than
    /// [`PlatformStore::get`] on some platforms.
    fn get_relaxed(
        &self,
        kind: &str,
        name: &str,
    ) -> impl Future<Output = Result<ObjectEnvelope, StoreError>> + Send {
        self.get(kind, name)
    }

    /// Lists objects with bounded staleness: the result may be seconds old. Cheaper than
    /// [`PlatformStore::list`] on some platforms.
    fn list_relaxed(
        &self,
        kind: &str,
        prefix: &str,
    ) -> impl Future<Output = Result<ObjectList, StoreError>> + Send {
        self.list(kind, prefix)
    }

    /// Number of pages of lists that have been received, by which a caller sees that a long list goes on.
    /// A store that sends each list whole need not count them.
    fn received_pages(&self) -> u64 {
        0
    }

    /// Writes labels and spec if `precondition` holds.
    fn put(
        &self,
        draft: ObjectDraft,
        precondition: Precondition,
    ) -> impl Future<Output = Result<ObjectEnvelope, StoreError>> + Send;

    /// Writes the status if the object's spec version is still `spec_version`.
    fn put_status(
        &self,
        kind: &str,
        name: &str,
        spec_version: Revision,
        status: serde_json::Value,
    ) -> impl Future<Output = Result<ObjectEnvelope, StoreError>> + Send;

    /// Deletes the object if its spec version is still `spec_version`.
    fn delete(
        &self,
        kind: &str,
        name: &str,
        spec_version: Revision,
    ) -> impl Future<Output = Result<(), StoreError>> + Send;

    /// Waits for changes of `request.kinds` after `request.since`.
    fn watch(
        &self,
        request: WatchRequest,
    ) -> impl Future<Output = Result<WatchBatch, StoreError>> + Send;

    /// Reads the VM list.
    fn vms(&self) -> impl Future<Output = Result<VmList, StoreError>> + Send;
}
