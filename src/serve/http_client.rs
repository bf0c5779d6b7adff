//! [`UpstreamClient`] over HTTP/1.1.
//!
//! An answer is passed on only if its end can be verified: by its length, by chunks, or because
//! it has no body. An answer that ends with the connection is refused, unless the upstreams are
//! known to end such answers in order and broken ones by a reset ([`AnswerFraming::UntilClose`]).

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{CONTENT_LENGTH, TRANSFER_ENCODING};
use http::{Method, Request, Response, StatusCode, Version};
use http_body::{Body, Frame, SizeHint};
use http_body_util::Full;
use hyper::body::Incoming;

use crate::core::UpstreamState;
use crate::request::{
    AttemptOutcome, AttemptRequest, ConnectionPolicy, NotRunProof, UnknownCause, UpstreamClient,
    UpstreamResponse,
};
use crate::serve::connection_pool::{
    ConnectError, ConnectionPool, HttpUpstreamPool, PooledHttpConnection,
};

/// The transfer coding that marks its own end.
const CHUNKED: &[u8] = b"chunked";

/// Which ends of answers are taken as whole.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum ResponseFraming {
    /// Those that can be verified.
    #[default]
    Delimited,
    /// Also the orderly end of the connection after an answer without a length. It is passed on in
    /// chunks, so that a cut one is cut for the caller too.
    AllowCloseDelimited,
}

/// Client over a pool of connections.
#[derive(Clone, Debug)]
pub struct HttpUpstreamClient {
    pool: ConnectionPool,
    framing: ResponseFraming,
}

/// What became of a request given to one connection.
enum Exchange {
    Done(AttemptOutcome<UpstreamBody>),
    /// No byte was written; the request is handed back.
    Unsent(Request<Full<Bytes>>),
}

/// Where the connection of an exchange came from and goes back to.
#[derive(Clone, Debug)]
struct ConnectionHome {
    pool: ConnectionPool,
    host: Arc<HttpUpstreamPool>,
    max_connections: u32,
}

impl ConnectionHome {
    fn put_back(&self, connection: PooledHttpConnection) {
        self.host.release(connection, self.pool.share(self.max_connections));
    }
}

/// Holds a connection while its answer is waited for.
struct AwaitedConnection<'a> {
    held: Option<PooledHttpConnection>,
    home: &'a ConnectionHome,
}

impl Drop for AwaitedConnection<'_> {
    /// The exchange was cancelled before a byte of the answer came.
    fn drop(&mut self) {
        let Some(held) = self.held.take() else { return };
        let closed = self.home.host.abandon(held);
        if closed > 0 {
            log::info!(target: "connection", "one was silent, unproven ones closed count={closed}");
        }
    }
}

impl HttpUpstreamClient {
    /// Creates a client over `pool`.
    pub fn new(pool: ConnectionPool) -> Self {
        Self { pool, framing: ResponseFraming::default() }
    }

    /// Sets which ends of answers are taken as whole.
    #[must_use]
    pub fn with_framing(mut self, framing: ResponseFraming) -> Self {
        self.framing = framing;
        self
    }

    async fn exchange(
        &self,
        held: PooledHttpConnection,
        home: &ConnectionHome,
        request: Request<Full<Bytes>>,
    ) -> Exchange {
        let method = request.method().clone();
        let mut awaited = AwaitedConnection { held: Some(held), home };
        let Some(held) = &mut awaited.held else { return Exchange::Unsent(request) };
        if held.connection.sender.ready().await.is_err() {
            return Exchange::Unsent(request);
        }
        let sent = held.connection.sender.try_send_request(request).await;
        // A byte has come, or the connection has ended: in either case it is not silent.
        let held = awaited.held.take();
        match sent {
            Ok(response) => Exchange::Done(wrap(&method, response, held, home, self.framing)),
            Err(mut error) => match error.take_message() {
                Some(request) => Exchange::Unsent(request),
                None => Exchange::Done(AttemptOutcome::Unknown(UnknownCause::ConnectionBroken)),
            },
        }
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
        let home = ConnectionHome {
            pool: self.pool.clone(),
            host: self.pool.upstream_pool(addr),
            max_connections,
        };
        let choice = request.connection;
        let mut request = http_request(request);
        let pooled = match choice {
            ConnectionPolicy::AnyPooled => home.host.checkout(),
            ConnectionPolicy::NewOrVerified => home.host.checkout_verified(),
        };
        if let Some(held) = pooled {
            match self.exchange(held, &home, request).await {
                Exchange::Done(outcome) => return outcome,
                Exchange::Unsent(unsent) => request = unsent,
            }
        }
        let held = match self.pool.connect(&home.host, addr, max_connections).await {
            Ok(held) => held,
            Err(ConnectError::ShareInUse) => {
                return AttemptOutcome::NotRun(NotRunProof::ShareInUse);
            }
            Err(ConnectError::Failed(_)) => {
                return AttemptOutcome::NotRun(NotRunProof::ConnectFailed);
            }
        };
        match self.exchange(held, &home, request).await {
            Exchange::Done(outcome) => outcome,
            Exchange::Unsent(_) => AttemptOutcome::NotRun(NotRunProof::NothingSent),
        }
    }
}

fn wrap(
    method: &Method,
    response: Response<Incoming>,
    connection: Option<PooledHttpConnection>,
    home: &ConnectionHome,
    framing: ResponseFraming,
) -> AttemptOutcome<UpstreamBody> {
    let is_until_close =
        framing == ResponseFraming::AllowCloseDelimited && is_without_length(&response);
    if !is_until_close && !is_end_verifiable(method, &response) {
        return AttemptOutcome::Unknown(UnknownCause::AnswerNotWhole);
    }
    let response = response.map(|incoming| {
        let mut body = UpstreamBody { incoming, connection, home: home.clone() };
        if body.incoming.is_end_stream() {
            body.finish();
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

/// Whether the answer ends with its connection.
fn is_without_length<B>(response: &Response<B>) -> bool {
    let headers = response.headers();
    let is_framed = headers.contains_key(CONTENT_LENGTH) || headers.contains_key(TRANSFER_ENCODING);
    !is_framed && !response.status().is_informational()
}

/// Whether the end of the answer can be told from a broken connection.
fn is_end_verifiable<B>(method: &Method, response: &Response<B>) -> bool {
    let (status, headers) = (response.status(), response.headers());
    if status.is_informational() {
        return false;
    }
    if method == Method::HEAD
        || status == StatusCode::NO_CONTENT
        || status == StatusCode::NOT_MODIFIED
    {
        return true;
    }
    let mut encodings = headers.get_all(TRANSFER_ENCODING).iter();
    match (encodings.next(), encodings.next()) {
        (None, _) => headers.contains_key(CONTENT_LENGTH),
        // With any other coding the end of the connection is the end of the answer.
        (Some(coding), None) => {
            response.version() == Version::HTTP_11
                && coding.as_bytes().eq_ignore_ascii_case(CHUNKED)
        }
        (Some(_), Some(_)) => false,
    }
}

/// Body of an upstream's answer; its connection goes back to the pool at the verified end.
#[derive(Debug)]
pub struct UpstreamBody {
    incoming: Incoming,
    connection: Option<PooledHttpConnection>,
    home: ConnectionHome,
}

impl UpstreamBody {
    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.home.put_back(connection);
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
            Some(Ok(_)) | None => self.finish(),
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
