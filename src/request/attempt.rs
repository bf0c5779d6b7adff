//! One attempt at an upstream, and the interface of whoever carries it out.
//!
//! An attempt has three outcomes: it ran, it did not run, or nobody knows. Only proof gives "did
//! not run"; everything else that is not an answer is unknown.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, Uri};
use http_body::Body;
use tokio::time::Instant;

use crate::core::UpstreamState;

/// Which connections an attempt may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPolicy {
    /// Any open connection; a silent one costs a retry.
    AnyPooled,
    /// A fresh connection, or one proven alive just now.
    NewOrVerified,
}

/// What an attempt sends.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Time by which the answer must have begun.
    pub deadline: Instant,
    /// Which connections may be used.
    pub connection: ConnectionPolicy,
}

/// Proof that an attempt did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunProof {
    /// The connection could not be opened.
    ConnectFailed,
    /// This node already holds as many connections as it may.
    ShareInUse,
    /// No byte of the request was written.
    NothingSent,
    /// The upstream's own not-run mark.
    UpstreamMark {
        /// Whether the refusal also carried the drain mark.
        is_draining: bool,
    },
    /// HTTP/2 REFUSED_STREAM, or GOAWAY below the stream.
    StreamRefused,
    /// Another upstream has the address by now; it refuses what is not meant for it.
    WrongInstance,
}

/// Why an attempt ended without an answer that may be passed on, and without proof.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownCause {
    /// The connection broke after the first byte.
    ConnectionBroken,
    /// No answer before the deadline.
    TimedOut,
    /// The answer cannot be verified as whole.
    AnswerNotWhole,
    /// The answer belongs to another request.
    ForeignAnswer,
    /// A success without the upstream's proof, or not in the form that the upstream gave it.
    AnswerUnproven,
    /// A refusal that does not say whether the request ran.
    UnmarkedRefusal,
}

/// How an attempt ended.
#[derive(Debug)]
pub enum AttemptOutcome<B> {
    /// The head of an answer arrived; its body is still to come.
    Answered(UpstreamResponse<B>),
    /// The request did not run.
    NotRun(NotRunProof),
    /// The request may have run.
    Unknown(UnknownCause),
}

/// The head of an upstream's answer and the stream of its body.
pub struct UpstreamResponse<B> {
    /// The answer.
    pub response: Response<B>,
}

impl<B> fmt::Debug for UpstreamResponse<B> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamAnswer").field("status", &self.response.status()).finish()
    }
}

/// Carries out attempts.
///
/// Dropping the future, or the answer body before its end, cancels the attempt; its connection is
/// never used again.
pub trait UpstreamClient: Send + Sync + 'static {
    /// Body of answers. Ends with an error, never cleanly, when the answer is cut short.
    type Body: Body<Data = Bytes, Error: std::error::Error + Send + Sync + 'static>
        + Send
        + Unpin
        + 'static;

    /// Sends one attempt and waits for the head of its answer.
    fn send(
        &self,
        upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> impl Future<Output = AttemptOutcome<Self::Body>> + Send;
}
