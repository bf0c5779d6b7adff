//! [`PlatformStore`] over the platform's HTTP/JSON protocol.
//!
//! A 503 guarantees that the call had no effect; [`JsonClient`] tells what is known after other
//! failures.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use heatherfall_platform_api::wire::{OBJECTS_PATH, StatusBody, VMS_PATH, WATCH_PATH};
use heatherfall_platform_api::{
    ObjectDraft, ObjectEnvelope, ObjectList, PlatformStore, Precondition, Revision, StoreError,
    VmList, WatchBatch, WatchRequest,
};
use http::header::{IF_MATCH, IF_NONE_MATCH};
use http::{HeaderValue, Method, StatusCode};
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::platform::json_client::{JsonClient, JsonRequest};

/// Time limit of a watch beyond its long-poll time.
const WATCH_GRACE: Duration = Duration::from_secs(1);

/// Address and time limit of the platform's API.
#[derive(Clone, Debug)]
pub struct HttpStoreSettings {
    /// Address of the platform's API.
    pub address: SocketAddr,
    /// Time limit of each call other than a watch, and of opening a connection.
    pub timeout: Duration,
}

/// Client of the platform; clones share its connections.
#[derive(Clone, Debug)]
pub struct HttpStore {
    client: JsonClient,
    settings: HttpStoreSettings,
}

impl HttpStore {
    /// Creates a client, which connects on its first call.
    pub fn new(settings: HttpStoreSettings) -> Self {
        Self { client: JsonClient::new(settings.address, settings.timeout), settings }
    }

    async fn call<T: DeserializeOwned>(
        &self,
        request: JsonRequest,
        timeout: Duration,
    ) -> Result<T, StoreError> {
        let body = self.send(request, timeout).await?;
        serde_json::from_slice(&body).map_err(|error| StoreError::Protocol(error.to_string()))
    }

    async fn send(&self, request: JsonRequest, timeout: Duration) -> Result<Bytes, StoreError> {
        let response = self.client.call(request, timeout).await?;
        check_status(response.status, response.body)
    }
}

/// Adds the header that makes a write conditional.
fn with_precondition(request: JsonRequest, precondition: Precondition) -> JsonRequest {
    match precondition {
        Precondition::Absent => request.with_header(IF_NONE_MATCH, HeaderValue::from_static("*")),
        Precondition::SpecVersion(version) => {
            request.with_header(IF_MATCH, HeaderValue::from(version))
        }
    }
}

impl PlatformStore for HttpStore {
    async fn get(&self, kind: &str, name: &str) -> Result<ObjectEnvelope, StoreError> {
        let request = JsonRequest::new(Method::GET, format!("{OBJECTS_PATH}{kind}/{name}"));
        self.call(request, self.settings.timeout).await
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<ObjectList, StoreError> {
        let path = format!("{OBJECTS_PATH}{kind}?prefix={prefix}");
        self.call(JsonRequest::new(Method::GET, path), self.settings.timeout).await
    }

    async fn put(
        &self,
        draft: ObjectDraft,
        precondition: Precondition,
    ) -> Result<ObjectEnvelope, StoreError> {
        let path = format!("{OBJECTS_PATH}{}/{}", draft.kind, draft.name);
        let request = with_precondition(JsonRequest::new(Method::PUT, path), precondition);
        self.call(request.with_body(&draft)?, self.settings.timeout).await
    }

    async fn put_status(
        &self,
        kind: &str,
        name: &str,
        spec_version: Revision,
        status: Value,
    ) -> Result<ObjectEnvelope, StoreError> {
        let path = format!("{OBJECTS_PATH}{kind}/{name}/status");
        let request = JsonRequest::new(Method::PUT, path);
        let request = with_precondition(request, Precondition::SpecVersion(spec_version));
        self.call(request.with_body(&StatusBody { status })?, self.settings.timeout).await
    }

    async fn delete(
        &self,
        kind: &str,
        name: &str,
        spec_version: Revision,
    ) -> Result<(), StoreError> {
        let request = JsonRequest::new(Method::DELETE, format!("{OBJECTS_PATH}{kind}/{name}"));
        let request = with_precondition(request, Precondition::SpecVersion(spec_version));
        self.send(request, self.settings.timeout).await.map(drop)
    }

    async fn watch(&self, request: WatchRequest) -> Result<WatchBatch, StoreError> {
        let path = format!(
            "{WATCH_PATH}?kinds={}&since={}&wait_ms={}",
            request.kinds.join(","),
            request.since,
            request.wait.as_millis(),
        );
        self.call(JsonRequest::new(Method::GET, path), request.wait + WATCH_GRACE).await
    }

    async fn vms(&self) -> Result<VmList, StoreError> {
        let request = JsonRequest::new(Method::GET, VMS_PATH.to_owned());
        self.call(request, self.settings.timeout).await
    }
}

fn check_status(status: StatusCode, body: Bytes) -> Result<Bytes, StoreError> {
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
