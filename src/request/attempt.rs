//! One attempt at an upstream, and the client interface that performs it.
//!
//! An attempt has three outcomes: it ran, it did not run, or that is unknown. "Did not run" needs
//! proof; every other end without a response is unknown.

use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, Method, Response, StatusCode, Uri};
use http_body::Body;
use tokio::time::Instant;

use crate::core::UpstreamState;

/// Connections that an attempt may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConnectionPolicy {
    /// Any idle connection of the pool, else a new one. An unresponsive one costs a retry.
    AnyPooled,
    /// A new connection, or one that has just completed an exchange.
    NewOrVerified,
    /// A new connection, which shows whether one can be opened.
    New,
}

/// The request that an attempt sends.
#[derive(Clone, Debug)]
pub struct AttemptRequest {
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers, without hop-by-hop headers.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// Time by which the head of the response must have arrived.
    pub deadline: Instant,
    /// Connections that may be used.
    pub connection: ConnectionPolicy,
}

/// Proof that the upstream did not run an attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotRunProof {
    /// The connection could not be opened.
    ConnectFailed,
    /// This node already has its share of the upstream's connections open.
    ShareInUse,
    /// No byte of the request was written.
    NothingSent,
    /// The upstream's response carries its not-run header.
    UpstreamMark {
        /// Whether the response also carried the drain signal.
        is_draining: bool,
    },
    /// HTTP/2 REFUSED_STREAM, or GOAWAY below the stream.
    StreamRefused,
    /// The address now belongs to another upstream, which rejected the misdirected request.
    WrongInstance,
    /// This entry has no path to the upstreams, and no peer has taken the request.
    NoPath,
    /// The peer to which the request was forwarded has refused it.
    PeerRefused,
}

/// Why it is unknown whether an attempt ran.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum UnknownCause {
    /// The connection broke after the first byte of the request had been written.
    ConnectionBroken,
    /// No response before the deadline.
    TimedOut,
    /// The status of the response is none that a final response can have.
    InvalidStatus,
    /// The framing of the response does not show where it ends, so truncation would go unnoticed.
    AnswerNotWhole,
    /// The response echoes the identity of another request.
    ForeignAnswer,
    /// A 2xx response without the upstream's authenticity proof, or re-encoded since the proof was
    /// made.
    AnswerUnproven,
    /// A rejection without the not-run header, with a status that callers take as "not run".
    UnmarkedRefusal,
}

/// Statuses that a final response can have; RFC 9110, section 15. A parser accepts up to 999.
const FINAL_STATUSES: std::ops::RangeInclusive<u16> = 200..=599;

/// Whether a final response can have this status. One that has another is not passed on, whoever it is
/// from: its sender is in trouble, and callers cannot tell what it means.
pub(crate) fn is_final_status(status: StatusCode) -> bool {
    FINAL_STATUSES.contains(&status.as_u16())
}

impl NotRunProof {
    /// Whether the attempt may have reached an upstream, which has refused it.
    pub(super) fn is_of_upstream(self) -> bool {
        match self {
            Self::ConnectFailed | Self::NothingSent | Self::NoPath => false,
            Self::ShareInUse
            | Self::UpstreamMark { .. }
            | Self::StreamRefused
            | Self::WrongInstance
            | Self::PeerRefused => true,
        }
    }
}

/// Outcome of an attempt.
#[derive(Debug)]
pub enum AttemptOutcome<B> {
    /// The head of a response arrived; its body has yet to be read.
    Answered(UpstreamResponse<B>),
    /// The request did not run.
    NotRun(NotRunProof),
    /// The request may have run.
    Unknown(UnknownCause),
}

/// An upstream's response; its body is a stream.
pub struct UpstreamResponse<B> {
    /// Head and body.
    pub response: Response<B>,
}

impl<B> fmt::Debug for UpstreamResponse<B> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("UpstreamAnswer").field("status", &self.response.status()).finish()
    }
}

/// Sends attempts to upstreams.
///
/// Dropping the future, or the response body before its end, cancels the attempt and closes its
/// connection.
pub trait UpstreamClient: Send + Sync + 'static {
    /// Body of responses. A truncated body ends with an error, never cleanly.
    type Body: Body<Data = Bytes, Error: std::error::Error + Send + Sync + 'static>
        + Send
        + Unpin
        + 'static;

    /// Sends one attempt and waits for the head of its response.
    fn send(
        &self,
        upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> impl Future<Output = AttemptOutcome<Self::Body>> + Send;
}
