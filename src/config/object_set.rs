//! An in-memory set of configuration objects, kept up to date from lists and watches.

use heatherfall_platform_api::{ObjectEnvelope, ObjectList, Revision, WatchBatch, WatchEvent};

use crate::util::FastMap;

/// Objects by kind and name, complete up to one revision.
#[derive(Clone, Debug, Default)]
pub struct ObjectSet {
    objects: FastMap<String, FastMap<String, ObjectEnvelope>>,
    revision: Revision,
}

impl ObjectSet {
    /// Revision up to which the set is complete.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Replaces all objects of `kind`, which also drops objects whose deletion a watch missed.
    ///
    /// The caller replaces all kinds, then watches from the lowest revision among their lists.
    pub fn replace_kind(&mut self, kind: &str, list: ObjectList) {
        let mut objects = FastMap::default();
        for object in list.items {
            objects.insert(object.name.clone(), object);
        }
        self.objects.insert(kind.to_owned(), objects);
    }

    /// Sets the revision up to which the set is complete.
    pub fn set_revision(&mut self, revision: Revision) {
        self.revision = revision;
    }

    /// Applies a watch batch. Events at or below an object's known version are ignored.
    pub fn apply(&mut self, batch: WatchBatch) {
        for event in batch.events {
            match event {
                WatchEvent::Put { object } => self.put(object),
                WatchEvent::Delete { kind, name, revision } => self.remove(&kind, &name, revision),
            }
        }
        self.revision = self.revision.max(batch.revision);
    }

    /// Returns the objects of `kind` in name order.
    pub fn objects_of_kind(&self, kind: &str) -> Vec<&ObjectEnvelope> {
        let mut objects: Vec<&ObjectEnvelope> =
            self.objects.get(kind).into_iter().flat_map(FastMap::values).collect();
        objects.sort_by(|a, b| a.name.cmp(&b.name));
        objects
    }

    fn put(&mut self, object: ObjectEnvelope) {
        let objects = self.objects.entry(object.kind.clone()).or_default();
        let known = objects.get(&object.name).map_or(0, |known| known.version);
        if object.version > known {
            objects.insert(object.name.clone(), object);
        }
    }

    fn remove(&mut self, kind: &str, name: &str, revision: Revision) {
        let Some(objects) = self.objects.get_mut(kind) else { return };
        let known = objects.get(name).map_or(0, |known| known.version);
        if revision > known {
            objects.remove(name);
        }
    }
}
