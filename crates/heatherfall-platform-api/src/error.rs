//! Errors of the object API, split by what is known about the effect of the call.

use crate::object::ObjectEnvelope;

/// Why a call on the platform did not return a value.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The object does not exist.
    #[error("object not found")]
    NotFound,
    /// The precondition failed; nothing was written. Carries the current object if there is one.
    #[error("precondition failed")]
    Conflict(Option<Box<ObjectEnvelope>>),
    /// The value is larger than [`crate::MAX_VALUE_BYTES`]; nothing was written.
    #[error("value of {0} bytes is over the platform's limit")]
    TooLarge(usize),
    /// The watch asked for a revision that is no longer kept; the caller has to list again.
    #[error("revision is no longer kept, list again")]
    Compacted,
    /// The platform refused the call before doing anything.
    #[error("platform unavailable: {0}")]
    Unavailable(String),
    /// The call was sent and its answer was lost: a write may or may not have taken effect.
    #[error("answer lost: {0}")]
    ResponseLost(String),
    /// The platform did not understand the call, or heatherfall did not understand the answer.
    #[error("protocol error: {0}")]
    Protocol(String),
}

impl StoreError {
    /// Whether a write that ended with this error may nevertheless have taken effect.
    pub fn is_effect_unknown(&self) -> bool {
        matches!(self, Self::ResponseLost(_) | Self::Protocol(_))
    }

    /// Whether the platform could not be reached or did not answer.
    pub fn is_outage(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::ResponseLost(_))
    }
}
