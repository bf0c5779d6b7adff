//! HTTP server of the platform stand-in, for the protocol of [`heatherfall_platform_api::wire`].
//!
//! In addition, `PUT /standin/faults` sets the faults, `PUT /standin/vms` adds a VM and
//! `GET /standin/counts` returns the call counters.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use heatherfall_platform_api::wire::{OBJECTS_PATH, StatusBody, VMS_PATH, WATCH_PATH};
use heatherfall_platform_api::{
    ObjectDraft, PlatformStore, Precondition, StoreError, VmRecord, WatchRequest,
};
use http::header::{CONTENT_TYPE, IF_MATCH, IF_NONE_MATCH};
use http::{HeaderMap, Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::faults::FaultSettings;
use super::store::StandinPlatform;
use crate::server::{self, ServerHandle};

/// Serves `platform` on `addr`; port 0 picks a free port.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn serve(platform: StandinPlatform, addr: SocketAddr) -> std::io::Result<ServerHandle> {
    server::serve(addr, move |request| {
        let platform = platform.clone();
        async move { respond(&platform, request).await }
    })
    .await
}

async fn respond(
    platform: &StandinPlatform,
    request: Request<Incoming>,
) -> Result<Response<Full<Bytes>>, std::io::Error> {
    let (parts, body) = request.into_parts();
    let body = body.collect().await.map(|body| body.to_bytes()).unwrap_or_default();
    match route(platform, &parts, &body).await {
        Ok(bytes) => Ok(json_response(StatusCode::OK, bytes)),
        // Closes the connection without a response: the client cannot tell whether the write took
        // effect.
        Err(StoreError::ResponseLost(reason)) => Err(std::io::Error::other(reason)),
        Err(error) => Ok(error_response(error)),
    }
}

async fn route(
    platform: &StandinPlatform,
    parts: &http::request::Parts,
    body: &Bytes,
) -> Result<Bytes, StoreError> {
    let path = parts.uri.path();
    let query = parts.uri.query().unwrap_or_default();
    match (&parts.method, path) {
        (&Method::GET, WATCH_PATH) => encode(&platform.watch(watch_request(query)?).await?),
        (&Method::GET, VMS_PATH) => encode(&platform.vms().await?),
        (&Method::GET, "/standin/counts") => encode(&platform.counts()),
        (&Method::PUT, "/standin/faults") => {
            platform.set_faults(decode::<FaultSettings>(body)?);
            Ok(Bytes::new())
        }
        (&Method::PUT, "/standin/vms") => {
            platform.put_vm(decode::<VmRecord>(body)?);
            Ok(Bytes::new())
        }
        _ => object_call(platform, parts, body).await,
    }
}

async fn object_call(
    platform: &StandinPlatform,
    parts: &http::request::Parts,
    body: &Bytes,
) -> Result<Bytes, StoreError> {
    let path = parts.uri.path();
    let Some(rest) = path.strip_prefix(OBJECTS_PATH) else {
        return Err(StoreError::Protocol(format!("no such path {path}")));
    };
    let segments: Vec<&str> = rest.split('/').collect();
    match (&parts.method, segments.as_slice()) {
        (&Method::GET, [kind]) => {
            let prefix = query_value(parts.uri.query().unwrap_or_default(), "prefix");
            encode(&platform.list(kind, prefix.unwrap_or_default()).await?)
        }
        (&Method::GET, [kind, name]) => encode(&platform.get(kind, name).await?),
        (&Method::PUT, [_, _]) => {
            let draft = decode::<ObjectDraft>(body)?;
            encode(&platform.put(draft, precondition(&parts.headers)?).await?)
        }
        (&Method::PUT, [kind, name, "status"]) => {
            let status = decode::<StatusBody>(body)?.status;
            let version = match_version(&parts.headers)?;
            encode(&platform.put_status(kind, name, version, status).await?)
        }
        (&Method::DELETE, [kind, name]) => {
            platform.delete(kind, name, match_version(&parts.headers)?).await?;
            Ok(Bytes::new())
        }
        _ => Err(StoreError::Protocol(format!("no such call {} {path}", parts.method))),
    }
}

fn watch_request(query: &str) -> Result<WatchRequest, StoreError> {
    let kinds = query_value(query, "kinds").unwrap_or_default();
    let since = query_value(query, "since").unwrap_or("0");
    let wait_ms = query_value(query, "wait_ms").unwrap_or("0");
    Ok(WatchRequest {
        kinds: kinds.split(',').map(str::to_owned).collect(),
        since: parse_number(since)?,
        wait: Duration::from_millis(parse_number(wait_ms)?),
    })
}

fn query_value<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    for pair in query.split('&') {
        let Some((key, value)) = pair.split_once('=') else { continue };
        if key == name {
            return Some(value);
        }
    }
    None
}

fn precondition(headers: &HeaderMap) -> Result<Precondition, StoreError> {
    if headers.contains_key(IF_NONE_MATCH) {
        return Ok(Precondition::Absent);
    }
    match_version(headers).map(Precondition::SpecVersion)
}

fn match_version(headers: &HeaderMap) -> Result<u64, StoreError> {
    let value = headers.get(IF_MATCH).and_then(|value| value.to_str().ok());
    let Some(value) = value else {
        return Err(StoreError::Protocol("write without a precondition".to_owned()));
    };
    parse_number(value)
}

fn parse_number(text: &str) -> Result<u64, StoreError> {
    text.parse().map_err(|_| StoreError::Protocol(format!("not a number: {text}")))
}

fn encode<T: Serialize>(value: &T) -> Result<Bytes, StoreError> {
    let bytes = serde_json::to_vec(value);
    bytes.map(Bytes::from).map_err(|error| StoreError::Protocol(error.to_string()))
}

fn decode<T: DeserializeOwned>(body: &Bytes) -> Result<T, StoreError> {
    serde_json::from_slice(body).map_err(|error| StoreError::Protocol(error.to_string()))
}

fn error_response(error: StoreError) -> Response<Full<Bytes>> {
    let status = match &error {
        StoreError::NotFound => StatusCode::NOT_FOUND,
        StoreError::Conflict(_) => StatusCode::PRECONDITION_FAILED,
        StoreError::TooLarge(_) => StatusCode::PAYLOAD_TOO_LARGE,
        StoreError::Compacted => StatusCode::GONE,
        StoreError::Protocol(_) => StatusCode::BAD_REQUEST,
        StoreError::Unavailable(_)
        | StoreError::ResponseLost(_)
        | StoreError::ResponseTooLong(_) => StatusCode::SERVICE_UNAVAILABLE,
    };
    let body = match error {
        StoreError::Conflict(Some(object)) => serde_json::to_vec(&object).unwrap_or_default(),
        error => error.to_string().into_bytes(),
    };
    json_response(status, body.into())
}

fn json_response(status: StatusCode, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    *response.status_mut() = status;
    let value = http::HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, value);
    response
}
