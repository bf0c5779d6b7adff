//! Calls with JSON bodies to one address, for the clients of object APIs.
//!
//! What is known about the effect of a call decides its error: a connection that could not be
//! opened promises that nothing was done ([`StoreError::Unavailable`]); anything that goes wrong
//! later leaves the effect unknown ([`StoreError::ResponseLost`]).

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::{HeaderName, HeaderValue, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use tokio::time::Instant;

use heatherfall_platform_api::StoreError;

/// Largest answer that is read, in bytes; a list holds many values.
const MAX_ANSWER_BYTES: usize = 64 << 20;

/// One call before it is sent.
#[derive(Clone, Debug)]
pub struct JsonRequest {
    method: Method,
    path: String,
    headers: Vec<(HeaderName, HeaderValue)>,
    body: Bytes,
}

/// Status and body of an answer.
#[derive(Clone, Debug)]
pub struct JsonResponse {
    /// Status.
    pub status: StatusCode,
    /// Body.
    pub body: Bytes,
}

impl JsonRequest {
    /// A call of `path`, which begins with a slash and may hold a query.
    pub fn new(method: Method, path: String) -> Self {
        Self { method, path, headers: Vec::new(), body: Bytes::new() }
    }

    /// Adds a header.
    #[must_use]
    pub fn with_header(mut self, name: HeaderName, value: HeaderValue) -> Self {
        self.headers.push((name, value));
        self
    }

    /// Sets the body.
    ///
    /// # Errors
    ///
    /// Returns an error if the value cannot be written as JSON.
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

/// Sends calls to one address; clones share its connections.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: Arc<Mutex<HttpClient>>,
    address: SocketAddr,
    connect_timeout: Duration,
}

impl JsonClient {
    /// Creates a caller; nothing is connected yet.
    pub fn new(address: SocketAddr, connect_timeout: Duration) -> Self {
        let client = Arc::new(Mutex::new(new_client(connect_timeout)));
        Self { client, address, connect_timeout }
    }

    /// Sends a call and waits for its whole answer.
    ///
    /// A call whose answer is lost closes the idle connections too: those that were open at that
    /// moment may have gone silent together.
    ///
    /// # Errors
    ///
    /// Returns [`StoreError::Unavailable`] if nothing was sent, and [`StoreError::ResponseLost`] if
    /// the call may have been carried out.
    pub async fn call(
        &self,
        call: JsonRequest,
        timeout: Duration,
    ) -> Result<JsonResponse, StoreError> {
        let started = Instant::now();
        let line = format!("{} {}", call.method, call.path);
        let request = call.build(self.address)?;
        let client = self.client.lock().unwrap_or_else(PoisonError::into_inner).clone();
        let result = match tokio::time::timeout(timeout, exchange(&client, request)).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::ResponseLost(format!("no answer in {timeout:?}"))),
        };
        log::debug!(
            target: "store",
            "call={line} outcome={:?} ms={}",
            result.as_ref().map(|answer| answer.status),
            started.elapsed().as_millis(),
        );
        if matches!(result, Err(StoreError::ResponseLost(_))) {
            let mut client = self.client.lock().unwrap_or_else(PoisonError::into_inner);
            *client = new_client(self.connect_timeout);
        }
        result
    }
}

async fn exchange(
    client: &HttpClient,
    request: Request<Full<Bytes>>,
) -> Result<JsonResponse, StoreError> {
    let response = client.request(request).await.map_err(|error| {
        if error.is_connect() {
            StoreError::Unavailable(error.to_string())
        } else {
            StoreError::ResponseLost(error.to_string())
        }
    })?;
    let status = response.status();
    let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
    let body = body.map_err(|error| StoreError::ResponseLost(error.to_string()))?;
    Ok(JsonResponse { status, body: body.to_bytes() })
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
