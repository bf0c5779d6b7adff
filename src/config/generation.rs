//! Configuration generations: totally ordered versions of the whole configuration.
//!
//! One object of the platform, `ConfigGeneration/current`, holds the newest generation. Its spec
//! records the source revision and the version of every object, so that the compiler that makes
//! the next one can detect that its own objects are older.

use heatherfall_platform_api::{LabelMap, ObjectEnvelope, ObjectList, Revision, StoreEra};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::config::object_set::ObjectSet;
use crate::core::GenerationNumber;

/// Kind of the object that holds the newest generation.
pub const GENERATION_KIND: &str = "ConfigGeneration";
/// Name of the object that holds the newest generation.
pub const GENERATION_NAME: &str = "current";
/// Oldest generation format that this version reads.
pub const MIN_FORMAT: u32 = 1;
/// Newest generation format that this version reads, and the one that it writes.
pub const MAX_FORMAT: u32 = 1;

/// Spec of the object that holds the newest generation.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct GenerationContent {
    /// Generation number; increases with every generation.
    pub number: GenerationNumber,
    /// Format of the content, between [`MIN_FORMAT`] and [`MAX_FORMAT`] if this version can read
    /// it.
    pub format: u32,
    /// Platform revision of the objects from which the generation was made.
    pub source_revision: Revision,
    /// The active objects, sorted by kind and name.
    pub objects: Vec<GenerationObject>,
    /// The rejected versions of objects, sorted by kind and name.
    pub rejected: Vec<RejectedObject>,
}

/// An active object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GenerationObject {
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// Labels of the object.
    #[serde(default)]
    pub labels: LabelMap,
    /// Unparsed spec.
    pub spec: Value,
    /// Spec version.
    pub version: Revision,
    /// First generation that holds this version.
    pub since: GenerationNumber,
}

/// A rejected version of an object; the previous version, if any, stays active.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RejectedObject {
    /// Kind of the object.
    pub kind: String,
    /// Name of the object.
    pub name: String,
    /// Rejected spec version.
    pub version: Revision,
    /// Result code, such as `HF-2001`.
    pub code: String,
    /// Description of the error.
    pub message: String,
}

impl GenerationContent {
    /// The active object with this kind and name.
    pub fn find(&self, kind: &str, name: &str) -> Option<&GenerationObject> {
        let found = self
            .objects
            .binary_search_by(|object| (&*object.kind, &*object.name).cmp(&(kind, name)));
        self.objects.get(found.ok()?)
    }

    /// The rejected version of the object with this kind and name.
    pub fn find_rejected(&self, kind: &str, name: &str) -> Option<&RejectedObject> {
        let found = self
            .rejected
            .binary_search_by(|object| (&*object.kind, &*object.name).cmp(&(kind, name)));
        self.rejected.get(found.ok()?)
    }

    /// Highest spec version of an object that this generation includes, active or rejected; 0 if
    /// none.
    pub fn processed_version(&self, kind: &str, name: &str) -> Revision {
        let active = self.find(kind, name).map_or(0, |object| object.version);
        let rejected = self.find_rejected(kind, name).map_or(0, |object| object.version);
        active.max(rejected)
    }

    /// Converts the active objects to a set that can be compiled.
    pub fn to_object_set(&self) -> ObjectSet {
        let mut set = ObjectSet::default();
        for chunk in self.objects.chunk_by(|a, b| a.kind == b.kind) {
            let mut list = ObjectList { revision: self.source_revision, ..ObjectList::default() };
            for object in chunk {
                list.items.push(object.to_envelope());
            }
            let Some(first) = chunk.first() else { continue };
            set.replace_kind(&first.kind, list);
        }
        set.set_revision(self.source_revision);
        set
    }
}

impl GenerationObject {
    fn to_envelope(&self) -> ObjectEnvelope {
        ObjectEnvelope {
            kind: self.kind.clone(),
            name: self.name.clone(),
            labels: self.labels.clone(),
            spec: self.spec.clone(),
            status: Value::Null,
            version: self.version,
            spec_version: self.version,
            change_id: String::new(),
            era: StoreEra::UNKNOWN,
        }
    }
}
