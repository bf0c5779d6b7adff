//! [`UpstreamClient`] over HTTP/1.1.
//!
//! A response is forwarded only if its end can be verified: by `Content-Length`, by chunked coding,
//! or because it has no body. A close-delimited response is rejected, unless the upstreams are
//! known to close the connection in order after a complete response and to reset it after a broken
//! one ([`ResponseFraming::AllowCloseDelimited`]).

use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{HeaderValue, Method, Request, Response, StatusCode, Version};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::balance::{PathMonitor, PathResult, PathTrial};
use crate::core::{HeaderNames, UpstreamState};
use crate::request::{
    AttemptOutcome, AttemptRequest, ConnectionPolicy, NotRunProof, UnknownCause, UpstreamClient,
    UpstreamResponse, is_final_status,
};
use crate::serve::connection_pool::{
    ConnectError, ConnectionPool, HttpUpstreamPool, PooledHttpConnection,
};
use crate::serve::pending_response::{LateResponseReader, PendingResponse};
use crate::serve::upstream_pool::RequestDigest;

/// The only transfer coding that delimits the body.
const CHUNKED: &[u8] = b"chunked";

/// Message framing (RFC 9112, section 6.3) that counts as a complete response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ResponseFraming {
    /// The framing delimits the body, so that truncation is detected.
    #[default]
    Delimited,
    /// The body may also end with an orderly close of the connection. Such a response is forwarded
    /// with chunked coding, so that the caller detects truncation too.
    AllowCloseDelimited,
}

/// HTTP/1.1 client with a connection pool.
#[derive(Clone, Debug)]
pub struct HttpUpstreamClient {
    pool: ConnectionPool,
    framing: ResponseFraming,
    path: Option<Arc<PathMonitor>>,
    /// Headers by which upstreams speak of themselves; none to read no responses of cancelled attempts.
    late_notices: Option<Arc<HeaderNames>>,
}

/// Shortest time after which a connection that is still being opened when its attempt is cancelled
/// counts as failed: a few round trips between failure domains.
const MIN_CONNECT_WAIT: Duration = Duration::from_millis(20);

/// A connection that is being opened, recorded when it is open, has failed, or is abandoned.
struct ConnectTrial<'a> {
    path: Option<&'a PathMonitor>,
    address: SocketAddr,
    began: Instant,
}

impl ConnectTrial<'_> {
    fn finish(mut self, result: PathResult) {
        if let Some(path) = self.path.take() {
            path.record(self.address, PathTrial::Connection, result);
        }
    }
}

impl Drop for ConnectTrial<'_> {
    /// Runs without a monitor after [`Self::finish`].
    fn drop(&mut self) {
        let Some(path) = self.path else { return };
        if self.began.elapsed() >= MIN_CONNECT_WAIT {
            path.record(self.address, PathTrial::Connection, PathResult::Unreached);
        }
    }
}

/// Result of sending a request on one connection.
enum SendResult {
    Done(AttemptOutcome<UpstreamBody>),
    /// No byte was written; returns the request.
    Unsent(Request<Full<Bytes>>),
}

/// Id of a request that its response repeats.
struct EchoedId {
    header_names: Arc<HeaderNames>,
    value: HeaderValue,
}

impl EchoedId {
    fn is_echoed_by<B>(&self, response: &Response<B>) -> bool {
        response.headers().get(&self.header_names.request_id) == Some(&self.value)
    }

    fn digest(&self) -> RequestDigest {
        RequestDigest::of(self.value.as_bytes())
    }
}

/// Pool that a connection was checked out of and is released to.
#[derive(Clone, Debug)]
pub(super) struct ConnectionOrigin {
    pool: ConnectionPool,
    upstream_pool: Arc<HttpUpstreamPool>,
    max_connections: u32,
}

impl ConnectionOrigin {
    fn release(&self, connection: PooledHttpConnection) {
        self.upstream_pool.release(connection, self.pool.share(self.max_connections));
    }

    /// Closes a connection whose attempt was cancelled before the first byte of the response.
    pub(super) fn abandon(&self, connection: PooledHttpConnection) {
        let closed = self.upstream_pool.abandon(connection);
        if closed > 0 {
            log::info!(
                target: "connection",
                "connection unresponsive; closed idle connections not verified since count={closed}"
            );
        }
    }
}

impl HttpUpstreamClient {
    /// Creates a client over `pool`.
    pub fn new(pool: ConnectionPool) -> Self {
        Self { pool, framing: ResponseFraming::default(), path: None, late_notices: None }
    }

    /// Sets the message framing that counts as a complete response.
    #[must_use]
    pub fn with_framing(mut self, framing: ResponseFraming) -> Self {
        self.framing = framing;
        self
    }

    /// Records with `path` whether connections can be opened.
    #[must_use]
    pub fn with_path_monitor(mut self, path: Arc<PathMonitor>) -> Self {
        self.path = Some(path);
        self
    }

    /// Records what upstreams say of themselves in responses that arrive just after their attempts
    /// were cancelled, by these headers.
    #[must_use]
    pub fn with_late_notices(mut self, header_names: HeaderNames) -> Self {
        self.late_notices = Some(Arc::new(header_names));
        self
    }

    async fn send_on_connection(
        &self,
        mut held: PooledHttpConnection,
        origin: &ConnectionOrigin,
        request: Request<Full<Bytes>>,
        reader: Option<LateResponseReader>,
    ) -> SendResult {
        let method = request.method().clone();
        let request_id = self.echoed_id(&request);
        if held.connection.sender.ready().await.is_err() {
            return SendResult::Unsent(request);
        }
        let response = held.connection.sender.try_send_request(request);
        let pending = PendingResponse::new(response, held, origin.clone(), reader);
        // Either the response has begun or the connection has closed, so it is not unresponsive.
        let (sent, held) = pending.wait().await;
        match sent {
            Ok(response) => {
                // The response to this request may still follow, so the connection must not be reused.
                let is_own = request_id.as_ref().is_none_or(|id| id.is_echoed_by(&response));
                let mut held = held.filter(|_| is_own);
                if request_id.is_none() && self.is_repeated_refusal(held.as_ref(), &response) {
                    return SendResult::Done(AttemptOutcome::Unknown(UnknownCause::ForeignAnswer));
                }
                if let Some((held, id)) = held.as_mut().zip(request_id)
                    && !response.status().is_success()
                {
                    held.record_refusal(id.digest());
                }
                SendResult::Done(wrap_response(&method, response, held, origin, self.framing))
            }
            Err(mut error) => match error.take_message() {
                Some(request) => SendResult::Unsent(request),
                None => {
                    let error = error.into_error();
                    log::debug!(
                        target: "connection",
                        "broken before a response reason={}",
                        error_chain(&error),
                    );
                    SendResult::Done(AttemptOutcome::Unknown(UnknownCause::ConnectionBroken))
                }
            },
        }
    }

    /// The id that the response to this request repeats; none if responses repeat no ids.
    fn echoed_id(&self, request: &Request<Full<Bytes>>) -> Option<EchoedId> {
        let header_names = self.late_notices.as_ref().filter(|names| names.echoes_request_id)?;
        let value = request.headers().get(&header_names.request_id)?;
        Some(EchoedId { header_names: Arc::clone(header_names), value: value.clone() })
    }

    /// Whether the response is that to a request which was refused on this connection before.
    fn is_repeated_refusal<B>(
        &self,
        connection: Option<&PooledHttpConnection>,
        response: &Response<B>,
    ) -> bool {
        let id = self.late_notices.as_ref().and_then(|it| response.headers().get(&it.request_id));
        let digest = id.map(|id| RequestDigest::of(id.as_bytes()));
        connection.zip(digest).is_some_and(|(held, digest)| held.has_refused(digest))
    }

    /// Reader of a late response to a request; none for load checks, which have no identity.
    fn late_reader(
        &self,
        upstream: &Arc<UpstreamState>,
        request: &Request<Full<Bytes>>,
        deadline: Instant,
    ) -> Option<LateResponseReader> {
        let header_names = self.late_notices.as_ref()?;
        let request_id = request.headers().get(&header_names.request_id)?;
        Some(LateResponseReader {
            upstream: Arc::clone(upstream),
            header_names: Arc::clone(header_names),
            request_id: request_id.clone(),
            deadline,
            sent_at: Instant::now(),
        })
    }
}

impl UpstreamClient for HttpUpstreamClient {
    type Body = UpstreamBody;

    async fn send(
        &self,
        upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<UpstreamBody> {
        let addr = upstream.spec.address;
        let max_connections = upstream.spec.max_connections;
        let origin = ConnectionOrigin {
            pool: self.pool.clone(),
            upstream_pool: self.pool.upstream_pool(addr),
            max_connections,
        };
        let (connection_policy, deadline) = (request.connection, request.deadline);
        let mut request = http_request(request);
        let digest = self.echoed_id(&request).map(|id| id.digest());
        let pooled = match connection_policy {
            ConnectionPolicy::AnyPooled => origin.upstream_pool.checkout(digest),
            ConnectionPolicy::NewOrVerified => origin.upstream_pool.checkout_verified(digest),
            ConnectionPolicy::New => None,
        };
        if let Some(held) = pooled {
            let reader = self.late_reader(upstream, &request, deadline);
            match self.send_on_connection(held, &origin, request, reader).await {
                SendResult::Done(outcome) => return outcome,
                SendResult::Unsent(unsent) => request = unsent,
            }
        }
        let trial =
            ConnectTrial { path: self.path.as_deref(), address: addr, began: Instant::now() };
        let held = match self.pool.connect(&origin.upstream_pool, addr, max_connections).await {
            Ok(held) => {
                trial.finish(PathResult::Reached);
                held
            }
            Err(ConnectError::ShareInUse) => {
                return AttemptOutcome::NotRun(NotRunProof::ShareInUse);
            }
            Err(ConnectError::Failed(_)) => {
                trial.finish(PathResult::Unreached);
                return AttemptOutcome::NotRun(NotRunProof::ConnectFailed);
            }
        };
        let reader = self.late_reader(upstream, &request, deadline);
        match self.send_on_connection(held, &origin, request, reader).await {
            SendResult::Done(outcome) => outcome,
            SendResult::Unsent(_) => AttemptOutcome::NotRun(NotRunProof::NothingSent),
        }
    }
}

/// An error with its causes, on one line.
fn error_chain(error: &dyn std::error::Error) -> String {
    let mut text = error.to_string();
    let mut source = error.source();
    while let Some(cause) = source {
        text.push_str(&format!(": {cause}"));
        source = cause.source();
    }
    text
}

fn wrap_response(
    method: &Method,
    response: Response<Incoming>,
    connection: Option<PooledHttpConnection>,
    origin: &ConnectionOrigin,
    framing: ResponseFraming,
) -> AttemptOutcome<UpstreamBody> {
    if !is_final_status(response.status()) {
        log::debug!(target: "connection", "response with status {}", response.status().as_u16());
        return AttemptOutcome::Unknown(UnknownCause::InvalidStatus);
    }
    let accepts_close_delimited =
        framing == ResponseFraming::AllowCloseDelimited && is_close_delimited(&response);
    if !accepts_close_delimited && !is_delimited(method, &response) {
        return AttemptOutcome::Unknown(UnknownCause::AnswerNotWhole);
    }
    let (mut head, incoming) = response.into_parts();
    // They belong to the connection to the upstream. A response of HTTP/1.0 without a length would be sent
    // on without chunked coding, by which callers see that it was cut off.
    head.version = Version::HTTP_11;
    head.extensions.clear();
    let response = Response::from_parts(head, incoming).map(|incoming| {
        let mut body = UpstreamBody { incoming, connection, origin: origin.clone() };
        if body.incoming.is_end_stream() {
            body.release_connection();
        }
        body
    });
    AttemptOutcome::Answered(UpstreamResponse { response })
}

fn http_request(attempt: AttemptRequest) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(attempt.body));
    *request.method_mut() = attempt.method;
    *request.uri_mut() = attempt.uri;
    *request.headers_mut() = attempt.headers;
    request
}

/// Whether the response is close-delimited: neither `Content-Length` nor `Transfer-Encoding`.
fn is_close_delimited<B>(response: &Response<B>) -> bool {
    let headers = response.headers();
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    !is_framed
}

/// Whether the framing distinguishes the end of the response from a broken connection.
fn is_delimited<B>(method: &Method, response: &Response<B>) -> bool {
    let (status, headers) = (response.status(), response.headers());
    if method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
    {
        return true;
    }
    let mut codings = headers.get_all(TRANSFER_ENCODING).iter();
    match (codings.next(), codings.next()) {
        (None, _) => headers.contains_key(CONTENT_LENGTH),
        // With any other final coding the response is close-delimited.
        (Some(coding), None) => {
            response.version() == Version::HTTP_11
                && coding.as_bytes().eq_ignore_ascii_case(CHUNKED)
        }
        (Some(_), Some(_)) => false,
    }
}

/// Body of an upstream's response; releases its connection to the pool at the verified end.
#[derive(Debug)]
pub struct UpstreamBody {
    incoming: Incoming,
    connection: Option<PooledHttpConnection>,
    origin: ConnectionOrigin,
}

impl UpstreamBody {
    fn release_connection(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.origin.release(connection);
        }
    }
}

impl Body for UpstreamBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = std::task::ready!(Pin::new(&mut self.incoming).poll_frame(cx));
        match &frame {
            Some(Ok(_)) if !self.incoming.is_end_stream() => {}
            Some(Ok(_)) | None => self.release_connection(),
            Some(Err(_)) => self.connection = None,
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.incoming.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.incoming.size_hint()
    }
}
