//! A platform client whose process can be paused around its reads and writes.

use std::time::Duration;

use heatherfall::platform::{
    ObjectDraft, ObjectEnvelope, ObjectList, PlatformStore, Precondition, Revision, StoreError,
    VmList, WatchBatch, WatchRequest,
};
use heatherfall_standins::platform::StandinPlatform;
use serde_json::Value;
use tokio::sync::watch;

/// Point of a store call at which a process is paused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum PausePoint {
    /// Before an object is read.
    BeforeRead,
    /// Before a write reaches the platform; the reads before it are done.
    BeforeWrite,
    /// After a write took effect and before the process sees the response.
    AfterWrite,
}

/// Store client of one process that waits at the pause point while one is set.
#[derive(Debug)]
pub(crate) struct GatedStore {
    platform: StandinPlatform,
    pause: watch::Sender<Option<PausePoint>>,
    /// Time that each read of an object takes.
    read_time: Duration,
}

impl GatedStore {
    pub(crate) fn new(platform: StandinPlatform) -> Self {
        Self { platform, pause: watch::Sender::new(None), read_time: Duration::ZERO }
    }

    /// Sets the time that each read of an object takes.
    pub(crate) fn with_read_time(self, read_time: Duration) -> Self {
        Self { read_time, ..self }
    }

    pub(crate) fn pause_at(&self, point: PausePoint) {
        self.pause.send_replace(Some(point));
    }

    pub(crate) fn resume(&self) {
        self.pause.send_replace(None);
    }

    async fn wait_while_paused_at(&self, point: PausePoint) {
        let mut pause = self.pause.subscribe();
        let _ = pause.wait_for(|pause| *pause != Some(point)).await;
    }
}

impl PlatformStore for GatedStore {
    async fn get(&self, kind: &str, name: &str) -> Result<ObjectEnvelope, StoreError> {
        self.wait_while_paused_at(PausePoint::BeforeRead).await;
        tokio::time::sleep(self.read_time).await;
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
        self.wait_while_paused_at(PausePoint::BeforeWrite).await;
        let result = self.platform.put(draft, precondition).await;
        self.wait_while_paused_at(PausePoint::AfterWrite).await;
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
