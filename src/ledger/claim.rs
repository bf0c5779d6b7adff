//! The interface between the request plane and the ledger.

use bytes::Bytes;
use tokio::time::Instant;

use crate::core::{GenerationNumber, ResultCode, TenantId};

/// A request that asks for the right to be dispatched.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimIntent {
    /// Tenant that the key belongs to.
    pub tenant: TenantId,
    /// The caller's idempotency key.
    pub key: String,
    /// Digest of method, path and body; the same key with another digest is refused.
    pub digest: [u8; 32],
    /// Generation that the request was admitted under.
    pub generation: GenerationNumber,
    /// Time after which the caller is gone.
    pub deadline: Instant,
}

/// The right to dispatch one request once.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClaimGrant {
    /// Tenant that the key belongs to.
    pub tenant: TenantId,
    /// The caller's idempotency key.
    pub key: String,
    /// Identity of the claim.
    pub claim_id: [u8; 16],
}

/// The kept answer of a request that ran.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct StoredResponse {
    /// HTTP status.
    pub status: u16,
    /// Content type, empty if there was none.
    pub content_type: String,
    /// Body, empty if it was not kept.
    pub body: Bytes,
    /// Whether the body was larger than what is kept.
    pub is_body_dropped: bool,
}

/// What the ledger says to an intent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimDecision {
    /// The claim is durable and exclusive.
    Granted(ClaimGrant),
    /// The request ran earlier.
    Finished(StoredResponse),
    /// The request is not dispatched; the code says what is known.
    Refused(ResultCode),
}

/// How a claimed request ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimOutcome {
    /// It ran and was answered.
    Ran(StoredResponse),
    /// It provably did not run; the key may be claimed again.
    DidNotRun,
    /// Nobody knows; the claim stays without an outcome.
    Unknown,
}

/// Decides who may dispatch a keyed at-most-once request.
pub trait ClaimLedger: Send + Sync + 'static {
    /// Asks for the right to dispatch. Returns only after the claim is durable or refused.
    fn claim(&self, intent: ClaimIntent) -> impl Future<Output = ClaimDecision> + Send;

    /// Records how the claimed request ended.
    fn finish(&self, ticket: ClaimGrant, end: ClaimOutcome) -> impl Future<Output = ()> + Send;
}
