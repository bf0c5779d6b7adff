//! HTTP client of the tests, in the role of a caller.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;

/// A response with its complete body.
#[derive(Debug)]
pub(crate) struct CallerResponse {
    pub(crate) status: StatusCode,
    pub(crate) headers: HeaderMap,
    pub(crate) body: String,
}

/// HTTP/1.1 client that keeps connections alive between requests.
#[derive(Clone, Debug)]
pub(crate) struct TestCaller {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl TestCaller {
    pub(crate) fn new() -> Self {
        Self { client: Client::builder(TokioExecutor::new()).build_http() }
    }

    /// Sends a request and reads the response to its end. The error is that of the connection or of
    /// a truncated body.
    pub(crate) async fn send(
        &self,
        entry: SocketAddr,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
    ) -> Result<CallerResponse, String> {
        let mut builder = Request::builder().method(method).uri(format!("http://{entry}{path}"));
        for (name, value) in headers {
            builder = builder.header(*name, *value);
        }
        let request = builder.body(Full::new(Bytes::from_static(b"body"))).expect("valid request");
        let response = self.client.request(request).await.map_err(|error| error.to_string())?;
        let (parts, body) = response.into_parts();
        let body = body.collect().await.map_err(|error| error.to_string())?.to_bytes();
        let body = String::from_utf8_lossy(&body).into_owned();
        Ok(CallerResponse { status: parts.status, headers: parts.headers, body })
    }
}
