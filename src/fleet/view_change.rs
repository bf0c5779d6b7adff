//! What entries tell each other of their views: changes, and marks that compare two views.

use serde::{Deserialize, Serialize};

use crate::platform::{ObjectEnvelope, Revision};
use crate::util::fnv1a;

/// Names in one log line.
const MAX_LOGGED_NAMES: usize = 12;
/// What changed between two states of the view, for the other entries.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ViewChange {
    /// Revision that the change starts from.
    pub base: Revision,
    /// Revision that it leads to.
    pub revision: Revision,
    /// Upstream entries that are new or changed.
    pub puts: Vec<ObjectEnvelope>,
    /// Upstream entries that are gone.
    pub deletes: Vec<String>,
    /// Upstream entries that are missing after an outage and kept for now.
    pub held: Vec<String>,
    /// The configuration, if it changed.
    pub config: Option<ObjectEnvelope>,
}

impl ViewChange {
    /// Whether nothing but the revision changed.
    pub fn is_empty(&self) -> bool {
        !self.has_upstreams() && self.config.is_none()
    }

    /// Whether upstreams changed.
    pub fn has_upstreams(&self) -> bool {
        !self.puts.is_empty() || !self.deletes.is_empty() || !self.held.is_empty()
    }
}

/// How far a view has come.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ViewWatermark {
    /// Revision up to which upstreams are known.
    pub revision: Revision,
    /// Revision of the configuration.
    pub config_revision: Revision,
    /// Revision up to which the configuration is known to be the newest.
    pub config_known: Revision,
    /// Digest of the names and revisions of the upstreams, without those that are only kept
    /// because they may come back.
    pub digest: u64,
}

impl ViewWatermark {
    /// Whether two entries know the same upstreams and the same configuration.
    pub fn matches(&self, other: &ViewWatermark) -> bool {
        self.revision == other.revision
            && self.config_revision == other.config_revision
            && self.digest == other.digest
    }

    /// Whether the configuration is known as far as the upstreams are.
    pub fn is_config_current(&self) -> bool {
        self.config_known >= self.revision
    }
}

/// Names in a log line: the first few and the number of all.
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

/// Digest of one entry (FNV-1a over its name and revision); the sum over all does not depend on
/// their order.
pub(super) fn entry_digest(name: &str, revision: Revision) -> u64 {
    fnv1a(name.bytes().chain(revision.to_be_bytes()))
}
