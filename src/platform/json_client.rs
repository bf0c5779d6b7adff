//! A client for HTTP calls with JSON bodies to one address.
//!
//! Errors tell what is known about the effect of a call. If no connection could be opened, the call
//! had no effect ([`StoreError::Unavailable`]); after any later failure its effect is unknown
//! ([`StoreError::ResponseLost`]).

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use tokio::time::Instant;

use heatherfall_platform_api::StoreError;

use crate::util::{LimitedBodyError, read_limited};

/// Default maximum size of a response body in bytes; a list holds many objects.
const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// A request to be sent.
#[derive(Clone, Debug)]
pub struct JsonRequest {
    method: Method,
    path: String,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
}

/// Status, headers and body of a response.
#[derive(Clone, Debug)]
pub struct JsonResponse {
    /// HTTP status.
    pub status: StatusCode,
    /// All headers.
    pub headers: HeaderMap,
    /// Complete body.
    pub body: Bytes,
}

impl JsonRequest {
    /// Creates a request for `path`, which begins with a slash and may have a query.
    pub fn new(method: Method, path: String) -> Self {
        Self { method, path, headers: Vec::new(), body: Bytes::new() }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Sets the body to `body` as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Protocol`] if the value cannot be serialized.
    pub fn with_body<T: Serialize>(mut self, body: &T) -> Result<Self, StoreError> {
        let bytes = serde_json::to_vec(body);
        self.body = bytes.map_err(|error| StoreError::Protocol(error.to_string()))?.into();
        Ok(self)
    }

    fn build(self, address: SocketAddr) -> Result<Request<Full<Bytes>>, StoreError> {
        let uri = format!("http://{address}{}", self.path);
        let mut builder = Request::builder().method(self.method).uri(uri);
        for (name, value) in self.headers {
            builder = builder.header(name, value);
        }
        if !self.body.is_empty() {
            builder = builder.header(CONTENT_TYPE, "application/json");
        }
        let request = builder.body(Full::new(self.body));
        request.map_err(|error| StoreError::Protocol(error.to_string()))
    }
}

type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// Sends requests to one address; clones share its connections.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: Arc<Mutex<HttpClient>>,
    address: SocketAddr,
    connect_timeout: Duration,
    max_response_bytes: usize,
}

impl JsonClient {
    /// Creates a client, which connects on its first call.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        let client = Arc::new(Mutex::new(new_client(connect_timeout)));
        Self { client, address, connect_timeout, max_response_bytes: MAX_RESPONSE_BYTES }
    }

    /// Sets the maximum size of a response body in bytes; without it, it is 64 MiB.
    #[must_use]
    pub fn with_max_response_bytes(self, max_response_bytes: usize) -> Self {
        Self { max_response_bytes, ..self }
    }

    /// Sends a request and waits for the whole response.
    ///
    /// If the response is lost, or the call is dropped before it, all idle connections are closed too:
    /// they may have stopped responding together with the one that was used.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if nothing was sent, and [`StoreError::ResponseLost`] if
    /// the call may have had an effect, [`StoreError::ResponseTooLong`] also if the response is larger
    /// than allowed.
    pub async fn call(
        &self,
        request: JsonRequest,
        timeout: Duration,
    ) -> Result<JsonResponse, StoreError> {
        let started = Instant::now();
        let request_line = format!("{} {}", request.method, request.path);
        let request = request.build(self.address)?;
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let mut reset = ConnectionReset { client: self, is_needed: true };
        let sent = send(&client, request, self.max_response_bytes);
        let result = match tokio::time::timeout(timeout, sent).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::ResponseLost(format!("no response within {timeout:?}"))),
        };
        log::debug!(
            target: "store",
            "call={request_line} outcome={:?} ms={}",
            result.as_ref().map(|response| response.status),
            started.elapsed().as_millis(),
        );
        reset.is_needed = matches!(result, Err(StoreError::ResponseLost(_)));
        result
    }
}

/// Closes all idle connections when it is dropped, unless the response has arrived. Callers have
/// timeouts of their own and drop the call.
struct ConnectionReset<'a> {
    client: &'a JsonClient,
    is_needed: bool,
}

impl Drop for ConnectionReset<'_> {
    fn drop(&mut self) {
        if self.is_needed {
            let mut client = self.client.client.lock().unwrap_or_else(PoisonError::into_inner);
            *client = new_client(self.client.connect_timeout);
        }
    }
}

async fn send(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
    max_response_bytes: usize,
) -> Result<JsonResponse, StoreError> {
    let response = client.request(request).await.map_err(|error| {
        if error.is_connect() {
            StoreError::Unavailable(error.to_string())
        } else {
            StoreError::ResponseLost(error.to_string())
        }
    })?;
    let (head, body) = response.into_parts();
    let body = read_limited(body, max_response_bytes).await.map_err(|error| match error {
        LimitedBodyError::TooLong { max_bytes } => StoreError::ResponseTooLong(max_bytes),
        LimitedBodyError::Broken(_) => StoreError::ResponseLost(error.to_string()),
    })?;
    Ok(JsonResponse { status: head.status, headers: head.headers, body })
}

fn new_client(connect_timeout: Duration) -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(connect_timeout));
    Client::builder(TokioExecutor::new())
        .pool_timer(TokioTimer::new())
        .retry_canceled_requests(false)
        .build(connector)
}
