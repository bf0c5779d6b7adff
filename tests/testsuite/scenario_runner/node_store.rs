//! A node's platform client, which can be paused or killed and records calls in the transcript.

use std::sync::Arc;

use heatherfall::platform::{
    ObjectDraft, ObjectEnvelope, ObjectList, PlatformStore, Precondition, Revision, StoreError,
    VmList, WatchBatch, WatchRequest,
};
use heatherfall_standins::platform::StandinPlatform;
use serde_json::Value;
use tokio::sync::watch;

use super::transcript::Transcript;

/// Whether the process of a node runs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum ProcessState {
    Running,
    Paused,
    Killed,
}

/// Blocks a node's calls while it is paused, and for good once it is killed.
#[derive(Clone, Debug)]
pub(super) struct NodeGate {
    state: watch::Sender<ProcessState>,
}

impl NodeGate {
    pub(super) fn new() -> Self {
        Self { state: watch::Sender::new(ProcessState::Running) }
    }

    pub(super) fn set(&self, state: ProcessState) {
        self.state.send_replace(state);
    }

    pub(super) async fn wait_until_running(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|state| *state == ProcessState::Running).await;
    }
}

/// Platform client of one node.
#[derive(Clone, Debug)]
pub(super) struct NodeStore {
    pub(super) node: String,
    pub(super) platform: StandinPlatform,
    pub(super) gate: NodeGate,
    pub(super) transcript: Transcript,
}

impl NodeStore {
    /// Runs a call if the node is running before and after it. Records writes by the text of
    /// `describe`, and failures that differ from the previous one of the same call.
    async fn call<T>(
        &self,
        name: &str,
        call: impl Future<Output = Result<T, StoreError>>,
        describe: impl FnOnce(&T) -> Option<String>,
    ) -> Result<T, StoreError> {
        self.gate.wait_until_running().await;
        let result = call.await;
        self.gate.wait_until_running().await;
        let text = match &result {
            Ok(value) => describe(value),
            Err(StoreError::Conflict(_)) => Some("conflict".to_owned()),
            Err(StoreError::NotFound) => None,
            Err(error) => Some(error.to_string()),
        };
        if let Some(text) = text {
            self.transcript.record_change(&format!("platform {} {name}", self.node), &text);
        }
        result
    }
}

impl PlatformStore for NodeStore {
    async fn get(&self, kind: &str, name: &str) -> Result<ObjectEnvelope, StoreError> {
        let call = self.platform.get(kind, name);
        self.call(&format!("get {kind}"), call, |_| None).await
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<ObjectList, StoreError> {
        let call = self.platform.list(kind, prefix);
        self.call(&format!("list {kind}"), call, |_| None).await
    }

    async fn put(
        &self,
        draft: ObjectDraft,
        precondition: Precondition,
    ) -> Result<ObjectEnvelope, StoreError> {
        let name = format!("put {} {}", draft.kind, draft.name);
        let call = self.platform.put(draft, precondition);
        self.call(&name, call, |_| Some("done".to_owned())).await
    }

    async fn put_status(
        &self,
        kind: &str,
        name: &str,
        spec_version: Revision,
        status: Value,
    ) -> Result<ObjectEnvelope, StoreError> {
        let call = self.platform.put_status(kind, name, spec_version, status);
        let name = format!("status {kind} {name}");
        self.call(&name, call, |_| None).await
    }

    async fn delete(
        &self,
        kind: &str,
        name: &str,
        spec_version: Revision,
    ) -> Result<(), StoreError> {
        let call = self.platform.delete(kind, name, spec_version);
        self.call(&format!("delete {kind}"), call, |()| Some("done".to_owned())).await
    }

    async fn watch(&self, request: WatchRequest) -> Result<WatchBatch, StoreError> {
        let call = self.platform.watch(request);
        self.call("watch", call, |_| None).await
    }

    async fn vms(&self) -> Result<VmList, StoreError> {
        let call = self.platform.vms();
        self.call("vms", call, |_| None).await
    }
}

/// Store shared by the services of one node.
pub(super) type SharedNodeStore = Arc<NodeStore>;
