//! Errors of the object API, by what is known about the effect of the call.

use crate::object::ObjectEnvelope;

/// Error of a platform call.
#[derive(Clone, Debug, thiserror::Error)]
pub enum StoreError {
    /// The object does not exist.
    #[error("object not found")]
    NotFound,
    /// The precondition failed and nothing was written. Carries the current object if the platform
    /// returned it.
    #[error("precondition failed")]
    Conflict(Option<Box<ObjectEnvelope>>),
    /// The value, of this many bytes, is over [`crate::MAX_VALUE_BYTES`]; nothing was written.
    #[error("value of {0} bytes is over the platform's limit")]
    TooLarge(usize),
    /// The changes after the watch's revision have been compacted; the caller has to list again.
    #[error("watch revision was compacted, list again")]
    Compacted,
    /// The platform could not be reached or refused the call; nothing was done.
    #[error("platform unavailable: {0}")]
    Unavailable(String),
    /// The call was sent and no response was received: a write may or may not have taken effect.
    #[error("response lost: {0}")]
    ResponseLost(String),
    /// The response has more bytes than this and was not read to its end: a write may or may not have
    /// taken effect.
    #[error("response of more than {0} bytes")]
    ResponseTooLong(usize),
    /// The platform rejected the call as malformed, or its response could not be parsed.
    #[error("protocol error: {0}")]
    Protocol(String),
}

impl StoreError {
    /// Whether a write that failed with this error may have taken effect.
    pub fn is_effect_unknown(&self) -> bool {
        matches!(self, Self::ResponseLost(_) | Self::ResponseTooLong(_) | Self::Protocol(_))
    }

    /// Whether the platform could not be reached, refused the call or did not respond.
    pub fn is_outage(&self) -> bool {
        matches!(self, Self::Unavailable(_) | Self::ResponseLost(_))
    }
}
