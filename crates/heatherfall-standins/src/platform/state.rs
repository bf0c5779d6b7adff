//! The object store of the platform stand-in, without faults, clocks or sockets.

use std::collections::{BTreeMap, VecDeque};

use heatherfall_platform_api::{
    MAX_VALUE_BYTES, ObjectDraft, ObjectEnvelope, ObjectList, Precondition, Revision, StoreEra,
    StoreError, WatchBatch, WatchEvent,
};
use serde_json::Value;

/// Changes kept for watches; a watch from before the oldest one has to list again.
const MAX_LOG_RECORDS: usize = 10_000;

/// Kind and name of an object.
type ObjectKey = (String, String);

/// A past write, kept for watches and stale reads.
#[derive(Clone, Debug)]
struct LogRecord {
    revision: Revision,
    event: WatchEvent,
    /// The object before the write; `None` if the write created it.
    previous: Option<ObjectEnvelope>,
}

/// Objects by kind and name, and the log of their changes.
#[derive(Clone, Debug, Default)]
pub(super) struct StoreState {
    objects: BTreeMap<ObjectKey, ObjectEnvelope>,
    log: VecDeque<LogRecord>,
    revision: Revision,
    /// Revision of the last change that the log no longer holds.
    compacted_through: Revision,
    era: StoreEra,
}

impl StoreState {
    /// Replaces everything by `copy` and begins the next era. Watches from before the restore end.
    pub(super) fn restore(&mut self, copy: Self) {
        let era = StoreEra(self.era.0 + 1);
        *self = copy;
        self.log.clear();
        self.compacted_through = self.revision;
        self.set_era(era);
    }

    pub(super) fn set_era(&mut self, era: StoreEra) {
        self.era = era;
        for object in self.objects.values_mut() {
            object.era = era;
        }
    }

    /// Reads an object as it was `stale_revisions` ago.
    pub(super) fn get(
        &self,
        kind: &str,
        name: &str,
        stale_revisions: u64,
    ) -> Result<ObjectEnvelope, StoreError> {
        let objects = self.objects_as_of(stale_revisions);
        let key = (kind.to_owned(), name.to_owned());
        objects.get(&key).cloned().ok_or(StoreError::NotFound)
    }

    /// Lists objects as they were `stale_revisions` ago.
    pub(super) fn list(&self, kind: &str, prefix: &str, stale_revisions: u64) -> ObjectList {
        let objects = self.objects_as_of(stale_revisions);
        let first = (kind.to_owned(), prefix.to_owned());
        let mut items = Vec::new();
        for ((item_kind, name), object) in objects.range(first..) {
            if item_kind != kind || !name.starts_with(prefix) {
                break;
            }
            items.push(object.clone());
        }
        ObjectList { revision: self.revision.saturating_sub(stale_revisions), items, era: self.era }
    }

    pub(super) fn put(
        &mut self,
        draft: ObjectDraft,
        precondition: Precondition,
    ) -> Result<ObjectEnvelope, StoreError> {
        check_size(&draft.spec)?;
        let key = (draft.kind.clone(), draft.name.clone());
        let current = self.objects.get(&key);
        let holds = match (precondition, current) {
            (Precondition::Absent, None) => true,
            (Precondition::SpecVersion(version), Some(current)) => current.spec_version == version,
            _ => false,
        };
        if !holds {
            return Err(StoreError::Conflict(current.cloned().map(Box::new)));
        }
        let status = current.map_or(Value::Null, |current| current.status.clone());
        let version = self.revision + 1;
        let object = ObjectEnvelope {
            kind: draft.kind,
            name: draft.name,
            labels: draft.labels,
            spec: draft.spec,
            status,
            version,
            spec_version: version,
            change_id: draft.change_id,
            era: self.era,
        };
        self.record_put(object.clone());
        Ok(object)
    }

    pub(super) fn put_status(
        &mut self,
        kind: &str,
        name: &str,
        spec_version: Revision,
        status: Value,
    ) -> Result<ObjectEnvelope, StoreError> {
        check_size(&status)?;
        let mut object = self.get(kind, name, 0)?;
        if object.spec_version != spec_version {
            return Err(StoreError::Conflict(Some(Box::new(object))));
        }
        object.status = status;
        object.version = self.revision + 1;
        self.record_put(object.clone());
        Ok(object)
    }

    pub(super) fn delete(
        &mut self,
        kind: &str,
        name: &str,
        spec_version: Revision,
    ) -> Result<(), StoreError> {
        let object = self.get(kind, name, 0)?;
        if object.spec_version != spec_version {
            return Err(StoreError::Conflict(Some(Box::new(object))));
        }
        self.objects.remove(&(kind.to_owned(), name.to_owned()));
        let revision = self.revision + 1;
        let event = WatchEvent::Delete { kind: kind.to_owned(), name: name.to_owned(), revision };
        self.append(revision, event, Some(object));
        Ok(())
    }

    /// Returns the changes of objects of `kinds` after revision `since`.
    pub(super) fn changes(
        &self,
        kinds: &[String],
        since: Revision,
    ) -> Result<WatchBatch, StoreError> {
        if since < self.compacted_through || since > self.revision {
            return Err(StoreError::Compacted);
        }
        let mut events = Vec::new();
        for record in &self.log {
            if record.revision <= since {
                continue;
            }
            let kind = match &record.event {
                WatchEvent::Put { object } => &object.kind,
                WatchEvent::Delete { kind, .. } => kind,
            };
            if kinds.contains(kind) {
                events.push(record.event.clone());
            }
        }
        Ok(WatchBatch { revision: self.revision, events, era: self.era })
    }

    fn record_put(&mut self, object: ObjectEnvelope) {
        let key = (object.kind.clone(), object.name.clone());
        let revision = object.version;
        let previous = self.objects.insert(key, object.clone());
        self.append(revision, WatchEvent::Put { object }, previous);
    }

    fn append(&mut self, revision: Revision, event: WatchEvent, previous: Option<ObjectEnvelope>) {
        self.revision = revision;
        self.log.push_back(LogRecord { revision, event, previous });
        if self.log.len() > MAX_LOG_RECORDS
            && let Some(dropped) = self.log.pop_front()
        {
            self.compacted_through = dropped.revision;
        }
    }

    /// The objects as they were `stale_revisions` ago, or at the oldest revision in the log.
    fn objects_as_of(
        &self,
        stale_revisions: u64,
    ) -> std::borrow::Cow<'_, BTreeMap<ObjectKey, ObjectEnvelope>> {
        if stale_revisions == 0 {
            return std::borrow::Cow::Borrowed(&self.objects);
        }
        let shown_revision = self.revision.saturating_sub(stale_revisions);
        let mut objects = self.objects.clone();
        for record in self.log.iter().rev() {
            if record.revision <= shown_revision {
                break;
            }
            let key = match &record.event {
                WatchEvent::Put { object } => (object.kind.clone(), object.name.clone()),
                WatchEvent::Delete { kind, name, .. } => (kind.clone(), name.clone()),
            };
            match &record.previous {
                Some(previous) => objects.insert(key, previous.clone()),
                None => objects.remove(&key),
            };
        }
        std::borrow::Cow::Owned(objects)
    }
}

fn check_size(value: &Value) -> Result<(), StoreError> {
    let bytes = value.to_string().len();
    if bytes > MAX_VALUE_BYTES {
        return Err(StoreError::TooLarge(bytes));
    }
    Ok(())
}
