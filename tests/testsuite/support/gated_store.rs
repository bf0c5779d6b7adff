//! A platform client whose process can be paused between its steps.

use heatherfall::platform::{
    ObjectDraft, ObjectEnvelope, ObjectList, PlatformStore, Precondition, Revision, StoreError,
    VmList, WatchBatch, WatchRequest,
};
use heatherfall_standins::platform::StandinPlatform;
use serde_json::Value;
use tokio::sync::watch;

/// Where a process is paused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PausePoint {
    /// Before it reads an object.
    BeforeRead,
    /// After it has read and before it writes.
    BeforeWrite,
    /// After its write took effect and before it sees the answer.
    AfterWrite,
}

/// The store as one process calls it.
#[derive(Debug)]
pub(crate) struct GatedStore {
    platform: StandinPlatform,
    gate: watch::Sender<Option<PausePoint>>,
}

impl GatedStore {
    pub(crate) fn new(platform: StandinPlatform) -> Self {
        Self { platform, gate: watch::Sender::new(None) }
    }

    pub(crate) fn pause_at(&self, point: PausePoint) {
        self.gate.send_replace(Some(point));
    }

    pub(crate) fn resume(&self) {
        self.gate.send_replace(None);
    }

    async fn pass(&self, point: PausePoint) {
        let mut gate = self.gate.subscribe();
        let _ = gate.wait_for(|paused| *paused != Some(point)).await;
    }
}

impl PlatformStore for GatedStore {
    async fn get(&self, kind: &str, name: &str) -> Result<ObjectEnvelope, StoreError> {
        self.pass(PausePoint::BeforeRead).await;
        self.platform.get(kind, name).await
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<ObjectList, StoreError> {
        self.platform.list(kind, prefix).await
    }

    async fn put(
        &self,
        draft: ObjectDraft,
        precondition: Precondition,
    ) -> Result<ObjectEnvelope, StoreError> {
        self.pass(PausePoint::BeforeWrite).await;
        let result = self.platform.put(draft, precondition).await;
        self.pass(PausePoint::AfterWrite).await;
        result
    }

    async fn put_status(
        &self,
        kind: &str,
        name: &str,
        spec_version: Revision,
        status: Value,
    ) -> Result<ObjectEnvelope, StoreError> {
        self.platform.put_status(kind, name, spec_version, status).await
    }

    async fn delete(
        &self,
        kind: &str,
        name: &str,
        spec_version: Revision,
    ) -> Result<(), StoreError> {
        self.platform.delete(kind, name, spec_version).await
    }

    async fn watch(&self, request: WatchRequest) -> Result<WatchBatch, StoreError> {
        self.platform.watch(request).await
    }

    async fn vms(&self) -> Result<VmList, StoreError> {
        self.platform.vms().await
    }
}
