//! [`UpstreamClient`] over HTTP/1.1.
//!
//! An answer is passed on only if its end can be verified: by its length, by chunks, or because
//! it has no body. An answer that ends with the connection is refused.

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
    AttemptOutcome, AttemptRequest, ConnectionChoice, NotRunProof, UnknownCause, UpstreamAnswer,
    UpstreamClient,
};
use crate::serve::connection_pool::{ConnectionPool, UpstreamConnection};

/// The transfer coding that marks its own end.
const CHUNKED: &[u8] = b"chunked";

/// Client over a pool of connections.
#[derive(Clone, Debug, Default)]
pub struct HttpUpstreamClient {
    pool: ConnectionPool,
}

impl HttpUpstreamClient {
    /// Creates a client over `pool`.
    pub fn new(pool: ConnectionPool) -> Self {
        Self { pool }
    }

    async fn exchange(
        &self,
        mut connection: UpstreamConnection,
        request: Request<Full<Bytes>>,
    ) -> Exchange {
        let method = request.method().clone();
        match connection.sender.try_send_request(request).await {
            Ok(response) => Exchange::Done(self.wrap(&method, response, connection)),
            Err(mut error) => match error.take_message() {
                Some(request) => Exchange::Unsent(request),
                None => Exchange::Done(AttemptOutcome::Unknown(UnknownCause::ConnectionBroken)),
            },
        }
    }

    fn wrap(
        &self,
        method: &Method,
        response: Response<Incoming>,
        connection: UpstreamConnection,
    ) -> AttemptOutcome<UpstreamBody> {
        if !is_end_verifiable(method, &response) {
            return AttemptOutcome::Unknown(UnknownCause::AnswerNotWhole);
        }
        let response = response.map(|incoming| {
            let mut body =
                UpstreamBody { incoming, connection: Some(connection), pool: self.pool.clone() };
            if body.incoming.is_end_stream() {
                body.finish();
            }
            body
        });
        AttemptOutcome::Answered(UpstreamAnswer { response })
    }
}

/// What became of a request given to one connection.
enum Exchange {
    Done(AttemptOutcome<UpstreamBody>),
    /// No byte was written; the request is handed back.
    Unsent(Request<Full<Bytes>>),
}

impl UpstreamClient for HttpUpstreamClient {
    type Body = UpstreamBody;

    async fn send(
        &self,
        upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<UpstreamBody> {
        let addr = upstream.spec.address;
        let choice = request.connection;
        let mut request = http_request(request);
        if choice == ConnectionChoice::Pooled
            && let Some(connection) = self.pool.take(addr)
        {
            match self.exchange(connection, request).await {
                Exchange::Done(outcome) => return outcome,
                Exchange::Unsent(unsent) => request = unsent,
            }
        }
        let Ok(connection) = self.pool.connect(addr).await else {
            return AttemptOutcome::NotRun(NotRunProof::ConnectFailed);
        };
        match self.exchange(connection, request).await {
            Exchange::Done(outcome) => outcome,
            Exchange::Unsent(_) => AttemptOutcome::NotRun(NotRunProof::NothingSent),
        }
    }
}

fn http_request(attempt: AttemptRequest) -> Request<Full<Bytes>> {
    let mut request = Request::new(Full::new(attempt.body));
    *request.method_mut() = attempt.method;
    *request.uri_mut() = attempt.uri;
    *request.headers_mut() = attempt.headers;
    request
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
    connection: Option<UpstreamConnection>,
    pool: ConnectionPool,
}

impl UpstreamBody {
    fn finish(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool.put_back(connection);
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
