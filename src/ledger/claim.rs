//! Interface between the request plane and the ledger.

use bytes::Bytes;
use tokio::time::Instant;

use crate::core::{GenerationNumber, ResultCode, TenantId};

/// A keyed request that asks to be dispatched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimIntent {
    /// Tenant that the key belongs to.
    pub tenant: TenantId,
    /// The caller's idempotency key.
    pub key: String,
    /// Digest of method, path and body; a key that was used with another digest is refused.
    pub digest: [u8; 32],
    /// Configuration generation that the request was admitted under.
    pub generation: GenerationNumber,
    /// Deadline of the request; a claim does not wait beyond it.
    pub deadline: Instant,
}

/// The right to dispatch one request once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimGrant {
    /// Tenant that the key belongs to.
    pub tenant: TenantId,
    /// The caller's idempotency key.
    pub key: String,
    /// Claim id, chosen by the entry that made the claim.
    pub claim_id: [u8; 16],
}

/// The response of a request that ran, stored to be replayed to repeats of its key.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type; empty if the response had none.
    pub content_type: String,
    /// Body; empty if it was not stored.
    pub body: Bytes,
    /// Whether the body was over the limits of stored bodies and is missing here.
    pub is_body_dropped: bool,
}

/// The ledger's decision about an intent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// The claim is durable and exclusive.
    Granted(ClaimGrant),
    /// A request with this key ran earlier; its response is to be replayed.
    Finished(StoredResponse),
    /// The request must not be dispatched; the code tells why.
    Refused(ResultCode),
}

/// How a claimed request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// It ran, with this response.
    Ran(StoredResponse),
    /// It certainly did not run; the key may be claimed again.
    DidNotRun,
    /// It is not known whether it ran; the key is never claimed again.
    Unknown,
}

/// Decides who may dispatch a keyed at-most-once request.
pub trait ClaimLedger: Send + Sync + 'static {
    /// Claims the key of a request. Returns only once the claim is durable or refused.
    fn claim(&self, intent: ClaimIntent) -> impl Future<Output = ClaimDecision> + Send;

    /// Records how the claimed request ended.
    fn finish(&self, grant: ClaimGrant, outcome: ClaimOutcome) -> impl Future<Output = ()> + Send;
}
