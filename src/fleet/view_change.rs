//! View changes, which entries send each other, and watermarks, by which they compare their views.

use serde::{Deserialize, Serialize};

use crate::fleet::evacuation::EvacuatedDomains;
use crate::platform::{ObjectEnvelope, Revision, StoreEra, StorePosition};
use crate::util::fnv1a;

/// Names that a [`NameList`] writes out.
const MAX_LOGGED_NAMES: usize = 12;

/// Difference between two states of the view, as sent to other entries.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ViewChange {
    /// Revision of the view before the change.
    pub base: Revision,
    /// Revision of the view after it.
    pub revision: Revision,
    /// New and changed upstream registrations.
    pub puts: Vec<ObjectEnvelope>,
    /// Names of removed upstreams.
    pub deletes: Vec<String>,
    /// Names of upstreams that are missing after an outage and held for a grace period.
    pub held: Vec<String>,
    /// The configuration object, if it changed.
    pub config: Option<ObjectEnvelope>,
    /// Era that the revisions belong to.
    #[serde(default)]
    pub era: StoreEra,
    /// The evacuated failure domains, if they changed.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<EvacuatedDomains>,
}

impl ViewChange {
    /// Position of the view after the change.
    pub fn position(&self) -> StorePosition {
        StorePosition { era: self.era, revision: self.revision }
    }

    /// Whether at most the revision changed.
    pub fn is_empty(&self) -> bool {
        !self.has_upstreams() && self.config.is_none() && self.evacuations.is_none()
    }

    /// Whether upstreams were put, deleted or held.
    pub fn has_upstreams(&self) -> bool {
        !self.puts.is_empty() || !self.deletes.is_empty() || !self.held.is_empty()
    }
}

/// Revisions and digest that identify the state of a view.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewWatermark {
    /// Store revision up to which upstream changes are known.
    pub revision: Revision,
    /// Revision of the configuration object in the store, or 0 before it was read in this era.
    pub config_revision: Revision,
    /// Store revision up to which no newer configuration exists.
    pub config_known: Revision,
    /// Digest of the names and revisions of the upstreams without held ones, so that entries that
    /// hold missing upstreams and entries that don't still agree.
    pub digest: u64,
    /// Era that the revisions belong to.
    #[serde(default)]
    pub era: StoreEra,
    /// Generation of the active configuration, which may be newer than the one in a restored store;
    /// 0 before the first one.
    #[serde(default)]
    pub generation: u64,
    /// Digest of the evacuated failure domains; `None` if the sender does not track them. They are
    /// known up to the same revision as the configuration.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub evacuations: Option<u64>,
}

impl ViewWatermark {
    /// Position up to which upstream changes are known.
    pub fn position(&self) -> StorePosition {
        StorePosition { era: self.era, revision: self.revision }
    }

    /// Whether both views were read from the same upstreams and the same configuration.
    pub fn matches(&self, other: &ViewWatermark) -> bool {
        self.position() == other.position()
            && self.has_same_config(other)
            && self.digest == other.digest
    }

    /// Whether `other` was read from the same configuration and the same evacuations, as far as this
    /// view tracks those.
    pub fn has_same_config(&self, other: &ViewWatermark) -> bool {
        let has_same_evacuations =
            self.evacuations.is_none() || self.evacuations == other.evacuations;
        self.config_revision == other.config_revision && has_same_evacuations
    }

    /// Whether `newer` was read from the same upstreams and the same configuration at a later
    /// revision of the same era, so that only other objects have changed since.
    pub fn is_unchanged_in(&self, newer: &ViewWatermark) -> bool {
        self.era == newer.era
            && self.revision < newer.revision
            && self.has_same_config(newer)
            && self.digest == newer.digest
    }

    /// Whether the configuration is known up to the revision of the upstreams.
    pub fn is_config_current(&self) -> bool {
        self.config_known >= self.revision
    }
}

/// Names in a log line: the first [`MAX_LOGGED_NAMES`] and the number of further ones.
#[derive(Debug, Default)]
pub(super) struct NameList {
    names: Vec<String>,
    count: usize,
}

impl NameList {
    pub(super) fn push(&mut self, name: &str) {
        self.count += 1;
        if self.names.len() < MAX_LOGGED_NAMES {
            self.names.push(name.to_owned());
        }
    }
}

impl std::fmt::Display for NameList {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let more = self.count - self.names.len();
        write!(f, "[{}", self.names.join(","))?;
        if more > 0 {
            write!(f, ",+{more}")?;
        }
        f.write_str("]")
    }
}

/// Digest of one upstream (FNV-1a over its name and revision). The view's digest is their sum,
/// which does not depend on the order.
pub(super) fn entry_digest(name: &str, revision: Revision) -> u64 {
    fnv1a(name.bytes().chain(revision.to_be_bytes()))
}
