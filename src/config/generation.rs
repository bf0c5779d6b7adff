//! Configuration generations: the totally ordered contents that every node applies.
//!
//! One object of the platform, `ConfigGeneration/current`, holds the newest generation. Its spec
//! names the revision that it was made from and the version of every object, so that whoever
//! makes the next one can tell whether it looks at older objects than this one was made from.

use heatherfall_platform_api::{LabelMap, ObjectEnvelope, ObjectList, Revision};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::config::object_set::ObjectSet;
use crate::core::GenerationNumber;

/// Kind of the object that holds the newest generation.
pub const GENERATION_KIND: &str = "ConfigGeneration";
/// Name of the object that holds the newest generation.
pub const GENERATION_NAME: &str = "current";
/// Oldest format of generations that this program reads.
pub const MIN_FORMAT: u32 = 1;
/// Newest format of generations that this program reads, and the one that it writes.
pub const MAX_FORMAT: u32 = 1;

/// Spec of the object that holds the newest generation.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct GenerationContent {
    /// Number; a higher one is newer.
    pub number: GenerationNumber,
    /// Format of the content.
    pub format: u32,
    /// Revision of the platform up to which the objects were known.
    pub source_revision: Revision,
    /// The objects in force, sorted by kind and name.
    pub objects: Vec<GenerationObject>,
    /// Versions of objects that were rejected, sorted by kind and name.
    pub rejected: Vec<RejectedObject>,
}

/// One object in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct GenerationObject {
    /// Kind.
    pub kind: String,
    /// Name.
    pub name: String,
    /// Labels.
    #[serde(default)]
    pub labels: LabelMap,
    /// Spec.
    pub spec: Value,
    /// Spec version.
    pub version: Revision,
    /// First generation that holds this version.
    pub since: GenerationNumber,
}

/// A version of an object that was rejected; the version before it, if any, stays in force.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RejectedObject {
    /// Kind.
    pub kind: String,
    /// Name.
    pub name: String,
    /// Rejected spec version.
    pub version: Revision,
    /// Result code, such as `HF-2001`.
    pub code: String,
    /// What is wrong.
    pub message: String,
}

impl GenerationContent {
    /// The object in force with this kind and name.
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

    /// Highest version of an object that this generation has seen, in force or rejected.
    pub fn seen_version(&self, kind: &str, name: &str) -> Revision {
        let in_force = self.find(kind, name).map_or(0, |object| object.version);
        let rejected = self.find_rejected(kind, name).map_or(0, |object| object.version);
        in_force.max(rejected)
    }

    /// The objects in force as a set that can be compiled.
    pub fn to_object_set(&self) -> ObjectSet {
        let mut set = ObjectSet::default();
        for chunk in self.objects.chunk_by(|a, b| a.kind == b.kind) {
            let mut list = ObjectList { revision: self.source_revision, items: Vec::new() };
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
        }
    }
}
