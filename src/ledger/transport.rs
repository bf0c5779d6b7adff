//! Ledger calls to other entries.

use crate::membership::EntryRecord;
use crate::peer::generated::ledger::{ClaimReply, ClaimRequest, FinishReply, FinishRequest};

/// The peer did not respond; the request may or may not have reached it. Carries the reason.
#[derive(Clone, Debug, thiserror::Error)]
#[error("peer did not respond: {0}")]
pub struct TransportError(pub String);

/// Client of other entries' ledgers.
pub trait LedgerTransport: Send + Sync + 'static {
    /// Sends a claim to `owner`.
    fn claim(
        &self,
        owner: &EntryRecord,
        request: ClaimRequest,
    ) -> impl Future<Output = Result<ClaimReply, TransportError>> + Send;

    /// Sends the outcome of a claim to `owner`.
    fn finish(
        &self,
        owner: &EntryRecord,
        request: FinishRequest,
    ) -> impl Future<Output = Result<FinishReply, TransportError>> + Send;
}

/// Transport of a node without peers; every call fails.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoTransport;

impl LedgerTransport for NoTransport {
    async fn claim(&self, _: &EntryRecord, _: ClaimRequest) -> Result<ClaimReply, TransportError> {
        Err(TransportError("node has no transport to other entries".to_owned()))
    }

    async fn finish(
        &self,
        _: &EntryRecord,
        _: FinishRequest,
    ) -> Result<FinishReply, TransportError> {
        Err(TransportError("node has no transport to other entries".to_owned()))
    }
}
