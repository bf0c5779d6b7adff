//! The platform stand-in: the object store behind injectable faults.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use heatherfall_platform_api::{
    ObjectDraft, ObjectEnvelope, ObjectList, PlatformStore, Precondition, Revision, StoreEra,
    StoreError, VmList, VmRecord, VmState, WatchBatch, WatchRequest,
};
use serde_json::Value;
use tokio::sync::watch;

use super::faults::{CallCounts, FaultSettings};
use super::state::StoreState;

#[derive(Debug, Default)]
struct Shared {
    state: StoreState,
    faults: FaultSettings,
    counts: CallCounts,
    vms: VmList,
    frozen_vms: VmList,
    /// Incremented each time that all open watches are silenced. A watch that sees another value
    /// than at its start never returns.
    watch_silence_epoch: u64,
}

/// Copy of all objects of a stand-in, to restore it from.
#[derive(Clone, Debug)]
pub struct StoreCopy(StoreState);

/// In-memory platform; clones share its state.
#[derive(Clone, Debug)]
pub struct StandinPlatform {
    shared: Arc<Mutex<Shared>>,
    changed: watch::Sender<u64>,
}

impl Default for StandinPlatform {
    fn default() -> Self {
        Self { shared: Arc::default(), changed: watch::Sender::new(0) }
    }
}

impl StandinPlatform {
    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: FaultSettings) {
        let mut shared = self.lock();
        if faults.freeze_vm_list && !shared.faults.freeze_vm_list {
            shared.frozen_vms = shared.vms.clone();
        }
        if faults.silence_open_watches {
            shared.watch_silence_epoch += 1;
        }
        shared.faults = faults;
        drop(shared);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Faults injected now.
    pub fn faults(&self) -> FaultSettings {
        self.lock().faults.clone()
    }

    /// Copies all objects.
    pub fn take_copy(&self) -> StoreCopy {
        StoreCopy(self.lock().state.clone())
    }

    /// Goes back to `copy`, in the next era: later writes are lost, and their revisions are assigned
    /// again.
    pub fn restore(&self, copy: StoreCopy) {
        self.lock().state.restore(copy.0);
        self.changed.send_modify(|count| *count += 1);
    }

    /// Reports another era from now on, with the same objects.
    pub fn set_era(&self, era: StoreEra) {
        self.lock().state.set_era(era);
    }

    /// Calls received so far.
    pub fn counts(&self) -> CallCounts {
        self.lock().counts
    }

    /// Adds a VM to the VM list, or replaces its record.
    pub fn put_vm(&self, record: VmRecord) {
        let mut shared = self.lock();
        shared.vms.vms.retain(|vm| vm.id != record.id);
        shared.vms.vms.push(record);
        shared.vms.vms.sort_by(|a, b| a.id.cmp(&b.id));
    }

    /// Sets the state of a VM in the VM list.
    pub fn set_vm_state(&self, id: &str, state: VmState) {
        for vm in &mut self.lock().vms.vms {
            if vm.id == id {
                vm.state = state;
            }
        }
    }

    /// Removes a VM from the VM list.
    pub fn remove_vm(&self, id: &str) {
        self.lock().vms.vms.retain(|vm| vm.id != id);
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the next write is to conflict; counts it down.
    fn consume_overtaken_write(&self) -> bool {
        let mut shared = self.lock();
        let is_overtaken = shared.faults.overtaken_writes > 0;
        shared.faults.overtaken_writes = shared.faults.overtaken_writes.saturating_sub(1);
        is_overtaken
    }

    /// Changes a label of an existing object as another operator would, so that the caller's write
    /// conflicts.
    fn write_concurrent_change(&self, kind: &str, name: &str) {
        let mut shared = self.lock();
        let Ok(current) = shared.state.get(kind, name, 0) else { return };
        let mut labels = current.labels;
        labels.insert("changed-by".to_owned(), "another-operator".to_owned());
        let draft = ObjectDraft {
            kind: current.kind,
            name: current.name,
            labels,
            spec: current.spec,
            change_id: "another-operator".to_owned(),
        };
        let _ = shared.state.put(draft, Precondition::SpecVersion(current.spec_version));
    }

    /// Counts a call and applies the `down` and `delay` faults.
    async fn begin_call(&self, count: impl FnOnce(&mut CallCounts)) -> Result<(), StoreError> {
        let faults = {
            let mut shared = self.lock();
            count(&mut shared.counts);
            shared.faults.clone()
        };
        if faults.down {
            return Err(StoreError::Unavailable("stand-in is down".to_owned()));
        }
        if faults.delay > Duration::ZERO {
            tokio::time::sleep(faults.delay).await;
        }
        Ok(())
    }

    /// Applies a write and, under `lose_write_answers`, drops its response after the effect.
    async fn write<T>(
        &self,
        bytes: usize,
        apply: impl FnOnce(&mut StoreState) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        self.begin_call(|counts| {
            counts.writes += 1;
            counts.bytes_written += bytes as u64;
        })
        .await?;
        let result = {
            let mut shared = self.lock();
            let result = apply(&mut shared.state);
            if shared.faults.lose_write_answers > 0 {
                shared.faults.lose_write_answers -= 1;
                Err(StoreError::ResponseLost("stand-in dropped the response".to_owned()))
            } else {
                result
            }
        };
        self.changed.send_modify(|count| *count += 1);
        result
    }
}

impl PlatformStore for StandinPlatform {
    async fn get(&self, kind: &str, name: &str) -> Result<ObjectEnvelope, StoreError> {
        self.begin_call(|counts| counts.gets += 1).await?;
        let shared = self.lock();
        shared.state.get(kind, name, shared.faults.stale_revisions)
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<ObjectList, StoreError> {
        self.begin_call(|counts| counts.lists += 1).await?;
        let shared = self.lock();
        Ok(shared.state.list(kind, prefix, shared.faults.stale_revisions))
    }

    async fn get_relaxed(&self, kind: &str, name: &str) -> Result<ObjectEnvelope, StoreError> {
        self.begin_call(|counts| counts.relaxed += 1).await?;
        let shared = self.lock();
        shared.state.get(kind, name, shared.faults.stale_revisions)
    }

    async fn list_relaxed(&self, kind: &str, prefix: &str) -> Result<ObjectList, StoreError> {
        self.begin_call(|counts| counts.relaxed += 1).await?;
        let shared = self.lock();
        Ok(shared.state.list(kind, prefix, shared.faults.stale_revisions))
    }

    async fn put(
        &self,
        draft: ObjectDraft,
        precondition: Precondition,
    ) -> Result<ObjectEnvelope, StoreError> {
        let bytes = draft.spec.to_string().len();
        if self.consume_overtaken_write() {
            self.write_concurrent_change(&draft.kind, &draft.name);
        }
        self.write(bytes, |state| state.put(draft, precondition)).await
    }

    async fn put_status(
        &self,
        kind: &str,
        name: &str,
        spec_version: Revision,
        status: Value,
    ) -> Result<ObjectEnvelope, StoreError> {
        let bytes = status.to_string().len();
        self.write(bytes, |state| state.put_status(kind, name, spec_version, status)).await
    }

    async fn delete(
        &self,
        kind: &str,
        name: &str,
        spec_version: Revision,
    ) -> Result<(), StoreError> {
        self.write(0, |state| state.delete(kind, name, spec_version)).await
    }

    async fn watch(&self, request: WatchRequest) -> Result<WatchBatch, StoreError> {
        self.begin_call(|counts| counts.watches += 1).await?;
        let deadline = tokio::time::Instant::now() + request.wait;
        let mut changed = self.changed.subscribe();
        let silencings = self.lock().watch_silence_epoch;
        loop {
            let batch = {
                let shared = self.lock();
                if shared.faults.down {
                    return Err(StoreError::Unavailable("stand-in is down".to_owned()));
                }
                if shared.faults.silent_watches || shared.watch_silence_epoch != silencings {
                    None
                } else {
                    Some(shared.state.changes(&request.kinds, request.since)?)
                }
            };
            match batch {
                Some(batch) if !batch.events.is_empty() => return Ok(batch),
                Some(batch) => {
                    if tokio::time::timeout_at(deadline, changed.changed()).await.is_err() {
                        return Ok(batch);
                    }
                }
                None => {
                    let _ = changed.changed().await;
                }
            }
        }
    }

    async fn vms(&self) -> Result<VmList, StoreError> {
        self.begin_call(|counts| counts.vm_lists += 1).await?;
        let shared = self.lock();
        let vms = if shared.faults.freeze_vm_list { &shared.frozen_vms } else { &shared.vms };
        Ok(vms.clone())
    }
}
