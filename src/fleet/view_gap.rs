//! Changes that a peer knows and this entry has missed.

use tokio::time::Instant;

use crate::fleet::view::{ViewChange, ViewWatermark};

/// How a peer's view differs from the local one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GapKind {
    /// The peer knows later changes.
    NewerRevision,
    /// The digests differ at the same revision, which only a list can resolve.
    DigestMismatch,
    /// The peer has read the store since it was restored from a copy.
    NewerEra,
}

/// Changes that a peer knows and this entry has missed.
#[derive(Clone, Copy, Debug)]
pub(super) struct ViewGap {
    pub(super) noticed_at: Instant,
    /// Watermark of the peer's view.
    pub(super) watermark: ViewWatermark,
}

impl ViewGap {
    /// Whether the peer that revealed the gap knows the change, and so has sent it to the others.
    pub(super) fn covers(&self, change: &ViewChange) -> bool {
        let config = change.config.as_ref().map_or(0, |object| object.version);
        change.era == self.watermark.era
            && change.revision <= self.watermark.revision
            && config <= self.watermark.config_revision
    }

    /// How the peer's view differs from the local one, whose watermark is `own`.
    pub(super) fn kind(&self, own: ViewWatermark) -> GapKind {
        let other = self.watermark;
        if other.era != own.era {
            return GapKind::NewerEra;
        }
        if other.revision > own.revision || other.config_revision > own.config_revision {
            return GapKind::NewerRevision;
        }
        GapKind::DigestMismatch
    }
}

/// Whether an entry with the watermark `own` lacks changes that one with `other` has.
pub(super) fn is_behind(own: ViewWatermark, other: ViewWatermark) -> bool {
    if other.era != own.era {
        return other.era > own.era;
    }
    let is_mismatched = other.revision == own.revision && other.digest != own.digest;
    other.revision > own.revision || is_mismatched || other.config_revision > own.config_revision
}
