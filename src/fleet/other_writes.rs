//! Writes to the store of other kinds than the one that is watched.
//!
//! A watch covers one kind, and returns the revision of the whole store. Every change of an object has
//! a revision of its own, so the revisions that no event accounts for belong to other kinds, perhaps to
//! the configuration. Events are counted by their revisions: several objects that the store removes
//! together, an object that it returns twice and an event from before the watch account for one
//! revision or none, whatever their number.

use std::collections::BTreeSet;

use crate::platform::{Revision, WatchBatch, WatchEvent};

/// Writes of other kinds, as the result of a watch shows them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct OtherWrites {
    /// Revision at which the watch began.
    since: Revision,
    /// Revision that the watch returned.
    until: Revision,
    count: u64,
}

impl OtherWrites {
    /// The writes that `batch`, the result of a watch from `since`, does not account for.
    pub(super) fn beside(batch: &WatchBatch, since: Revision) -> Self {
        let until = batch.revision;
        let mut accounted = BTreeSet::new();
        for event in &batch.events {
            let revision = match event {
                WatchEvent::Put { object } => object.version,
                WatchEvent::Delete { revision, .. } => *revision,
            };
            if since < revision && revision <= until {
                accounted.insert(revision);
            }
        }
        let count = until.saturating_sub(since).saturating_sub(accounted.len() as u64);
        Self { since, until, count }
    }

    /// Revision at which the watch began.
    pub(super) fn since(&self) -> Revision {
        self.since
    }

    /// Whether nothing else was written.
    pub(super) fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Whether the last write of the configuration, at `revision`, is the only one among them.
    pub(super) fn are_only_config(&self, revision: Revision) -> bool {
        let is_within = self.since < revision && revision <= self.until;
        self.count == u64::from(is_within)
    }
}
