//! How an entry reaches the owner of a partition.

use crate::membership::EntryRecord;
use crate::peer::generated::ledger::{ClaimReply, ClaimRequest, FinishReply, FinishRequest};

/// The owner gave no answer; the request may or may not have reached it.
#[derive(Clone, Debug, thiserror::Error)]
#[error("peer does not answer: {0}")]
pub struct TransportError(pub String);

/// Carries ledger requests to other entries.
pub trait LedgerTransport: Send + Sync + 'static {
    /// Asks `owner` for a claim.
    fn claim(
        &self,
        owner: &EntryRecord,
        request: ClaimRequest,
    ) -> impl Future<Output = Result<ClaimReply, TransportError>> + Send;

    /// Tells `owner` how a claim ended.
    fn finish(
        &self,
        owner: &EntryRecord,
        request: FinishRequest,
    ) -> impl Future<Output = Result<FinishReply, TransportError>> + Send;
}

/// Reaches nobody.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoTransport;

impl LedgerTransport for NoTransport {
    async fn claim(&self, _: &EntryRecord, _: ClaimRequest) -> Result<ClaimReply, TransportError> {
        Err(TransportError("no way to other entries".to_owned()))
    }

    async fn finish(
        &self,
        _: &EntryRecord,
        _: FinishRequest,
    ) -> Result<FinishReply, TransportError> {
        Err(TransportError("no way to other entries".to_owned()))
    }
}
