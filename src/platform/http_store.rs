//! [`PlatformStore`] over the HTTP/JSON protocol.
//!
//! What is known about the effect decides the error: a connection that could not be opened, and a
//! 503, promise that nothing was done ([`StoreError::Unavailable`]); anything that goes wrong
//! later leaves the effect unknown ([`StoreError::AnswerLost`]).

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use heatherfall_platform_api::wire::{OBJECTS_PATH, StatusBody, VMS_PATH, WATCH_PATH};
use heatherfall_platform_api::{
    ObjectDraft, ObjectEnvelope, ObjectList, PlatformStore, Precondition, Revision, StoreError,
    VmList, WatchBatch, WatchRequest,
};
use http::header::{CONTENT_TYPE, IF_MATCH, IF_NONE_MATCH};
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::{TokioExecutor, TokioTimer};
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

/// Largest answer that is read, in bytes; a list holds many values.
const MAX_ANSWER_BYTES: usize = 64 << 20;
/// Time that a watch may take beyond its own wait.
const WATCH_GRACE: Duration = Duration::from_secs(1);

/// Where the platform is and how long to wait for it.
#[derive(Clone, Debug)]
pub struct HttpStoreSettings {
    /// Address of the platform.
    pub address: SocketAddr,
    /// Time for one call other than a watch.
    pub timeout: Duration,
}

/// Client of the platform.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: Client<HttpConnector, Full<Bytes>>,
    settings: HttpStoreSettings,
}

impl HttpStore {
    /// Creates a client; nothing is connected yet.
    pub fn new(settings: HttpStoreSettings) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        connector.set_connect_timeout(Some(settings.timeout));
        let client = Client::builder(TokioExecutor::new())
            .pool_timer(TokioTimer::new())
            .retry_canceled_requests(false)
            .build(connector);
        Self { client, settings }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        request: CallRequest,
        timeout: Duration,
    ) -> Result<T, StoreError> {
        let body = self.call_bytes(request, timeout).await?;
        serde_json::from_slice(&body).map_err(|error| StoreError::Protocol(error.to_string()))
    }

    async fn call_bytes(
        &self,
        request: CallRequest,
        timeout: Duration,
    ) -> Result<Bytes, StoreError> {
        let request = request.build(self.settings.address)?;
        let exchange = async {
            let response = self.client.request(request).await.map_err(|error| {
                if error.is_connect() {
                    StoreError::Unavailable(error.to_string())
                } else {
                    StoreError::AnswerLost(error.to_string())
                }
            })?;
            let status = response.status();
            let body = Limited::new(response.into_body(), MAX_ANSWER_BYTES).collect().await;
            let body = body.map_err(|error| StoreError::AnswerLost(error.to_string()))?;
            interpret(status, body.to_bytes())
        };
        match tokio::time::timeout(timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(StoreError::AnswerLost(format!("no answer in {timeout:?}"))),
        }
    }
}

impl PlatformStore for HttpStore {
    async fn get(&self, kind: &str, name: &str) -> Result<ObjectEnvelope, StoreError> {
        let request = CallRequest::new(Method::GET, format!("{OBJECTS_PATH}{kind}/{name}"));
        self.call(request, self.settings.timeout).await
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<ObjectList, StoreError> {
        let path = format!("{OBJECTS_PATH}{kind}?prefix={prefix}");
        self.call(CallRequest::new(Method::GET, path), self.settings.timeout).await
    }

    async fn put(
        &self,
        draft: ObjectDraft,
        precondition: Precondition,
    ) -> Result<ObjectEnvelope, StoreError> {
        let path = format!("{OBJECTS_PATH}{}/{}", draft.kind, draft.name);
        let request = CallRequest::new(Method::PUT, path)
            .with_precondition(precondition)
            .with_body(&draft)?;
        self.call(request, self.settings.timeout).await
    }

    async fn put_status(
        &self,
        kind: &str,
        name: &str,
        spec_version: Revision,
        status: Value,
    ) -> Result<ObjectEnvelope, StoreError> {
        let path = format!("{OBJECTS_PATH}{kind}/{name}/status");
        let request = CallRequest::new(Method::PUT, path)
            .with_precondition(Precondition::SpecVersion(spec_version))
            .with_body(&StatusBody { status })?;
        self.call(request, self.settings.timeout).await
    }

    async fn delete(
        &self,
        kind: &str,
        name: &str,
        spec_version: Revision,
    ) -> Result<(), StoreError> {
        let request = CallRequest::new(Method::DELETE, format!("{OBJECTS_PATH}{kind}/{name}"))
            .with_precondition(Precondition::SpecVersion(spec_version));
        self.call_bytes(request, self.settings.timeout).await.map(drop)
    }

    async fn watch(&self, request: WatchRequest) -> Result<WatchBatch, StoreError> {
        let path = format!(
            "{WATCH_PATH}?kinds={}&since={}&wait_ms={}",
            request.kinds.join(","),
            request.since,
            request.wait.as_millis(),
        );
        self.call(CallRequest::new(Method::GET, path), request.wait + WATCH_GRACE).await
    }

    async fn vms(&self) -> Result<VmList, StoreError> {
        let request = CallRequest::new(Method::GET, VMS_PATH.to_owned());
        self.call(request, self.settings.timeout).await
    }
}

/// One call before it is sent.
struct CallRequest {
    method: Method,
    path: String,
    precondition: Option<Precondition>,
    body: Bytes,
}

impl CallRequest {
    fn new(method: Method, path: String) -> Self {
        Self { method, path, precondition: None, body: Bytes::new() }
    }

    fn with_precondition(mut self, precondition: Precondition) -> Self {
        self.precondition = Some(precondition);
        self
    }

    fn with_body<T: Serialize>(mut self, body: &T) -> Result<Self, StoreError> {
        let bytes = serde_json::to_vec(body);
        self.body = bytes.map_err(|error| StoreError::Protocol(error.to_string()))?.into();
        Ok(self)
    }

    fn build(self, address: SocketAddr) -> Result<Request<Full<Bytes>>, StoreError> {
        let mut builder =
            Request::builder().method(self.method).uri(format!("http://{address}{}", self.path));
        builder = match self.precondition {
            Some(Precondition::Absent) => builder.header(IF_NONE_MATCH, "*"),
            Some(Precondition::SpecVersion(version)) => builder.header(IF_MATCH, version),
            None => builder,
        };
        if !self.body.is_empty() {
            builder = builder.header(CONTENT_TYPE, "application/json");
        }
        let request = builder.body(Full::new(self.body));
        request.map_err(|error| StoreError::Protocol(error.to_string()))
    }
}

fn interpret(status: StatusCode, body: Bytes) -> Result<Bytes, StoreError> {
    if status.is_success() {
        return Ok(body);
    }
    let text = String::from_utf8_lossy(&body).into_owned();
    Err(match status {
        StatusCode::NOT_FOUND => StoreError::NotFound,
        StatusCode::PRECONDITION_FAILED => {
            StoreError::Conflict(serde_json::from_slice(&body).ok().map(Box::new))
        }
        StatusCode::GONE => StoreError::Compacted,
        StatusCode::PAYLOAD_TOO_LARGE => StoreError::TooLarge(body.len()),
        StatusCode::SERVICE_UNAVAILABLE => StoreError::Unavailable(text),
        _ => StoreError::Protocol(format!("{status}: {text}")),
    })
}
