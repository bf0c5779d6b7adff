//! The request plane of one node, without sockets.
//!
//! A request is admitted by its head, before its body is read, and then run. Both steps use the
//! configuration of admission.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, HOST, TE, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Uri};
use tokio::time::Instant;

use crate::balance::UpstreamPicker;
use crate::core::{
    ConfigSnapshot, DEADLINE_HEADER, InflightGuard, REQUEST_ID_HEADER, ResultCode, SharedSnapshot,
};
use crate::request::answer::{AnswerBody, CallerAnswer, refusal};
use crate::request::attempt::UpstreamClient;
use crate::request::classify::{RequestClass, RequestHead, classify};
use crate::request::exchange::{ExchangeEnd, ExchangeSettings, RequestExchange};

/// Headers that concern one connection only, beside those that `Connection` names.
const HOP_BY_HOP: [HeaderName; 4] = [CONNECTION, TE, TRANSFER_ENCODING, UPGRADE];
/// The same, without a constant of their own.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// An answer of the request plane.
pub type PlaneAnswer<C> = CallerAnswer<<C as UpstreamClient>::Body, InflightGuard>;

/// A request whose head has been accepted.
#[derive(Clone, Debug)]
pub struct RequestAdmission {
    /// Configuration of admission.
    pub snapshot: Arc<ConfigSnapshot>,
    /// Class under that configuration.
    pub class: RequestClass,
    /// Time of admission.
    pub started: Instant,
    /// Time by which the answer must have begun.
    pub deadline: Instant,
}

/// Decides about requests and runs them.
#[derive(Debug)]
pub struct RequestPlane<C, P> {
    snapshot: SharedSnapshot,
    client: C,
    picker: P,
    settings: ExchangeSettings,
}

impl<C: UpstreamClient, P: UpstreamPicker> RequestPlane<C, P> {
    /// Creates the plane over the pointer to the present configuration.
    pub fn new(snapshot: SharedSnapshot, client: C, picker: P, settings: ExchangeSettings) -> Self {
        Self { snapshot, client, picker, settings }
    }

    /// Admits a request by its head.
    ///
    /// # Errors
    ///
    /// Returns the code of the refusal; the request did not run.
    pub fn admit(&self, parts: &Parts) -> Result<RequestAdmission, ResultCode> {
        let started = Instant::now();
        let snapshot = self.snapshot.load_full().ok_or(ResultCode::NotReady)?;
        if parts.method == Method::CONNECT || parts.headers.contains_key(UPGRADE) {
            return Err(ResultCode::Unsupported);
        }
        let head = RequestHead { method: &parts.method, uri: &parts.uri, headers: &parts.headers };
        let class = classify(&snapshot, head);
        let route = class.route.and_then(|key| snapshot.route(key));
        let allowed = route.ok_or(ResultCode::NoRoute)?.spec.deadline;
        let wanted = deadline_of(&parts.headers).unwrap_or(allowed);
        let deadline = started + wanted.min(allowed);
        Ok(RequestAdmission { snapshot, class, started, deadline })
    }

    /// Runs an admitted request with its whole body.
    pub async fn run(
        &self,
        admission: RequestAdmission,
        parts: Parts,
        body: Bytes,
    ) -> PlaneAnswer<C> {
        let exchange = RequestExchange {
            snapshot: admission.snapshot,
            class: admission.class,
            uri: origin_form(&parts.uri),
            headers: forwarded_headers(&parts),
            method: parts.method,
            body,
            deadline: admission.deadline,
        };
        match exchange.run(&self.client, &self.picker, &self.settings).await {
            ExchangeEnd::Answered { answer, inflight } => {
                let mut response =
                    answer.response.map(|body| AnswerBody::Stream { body, guard: inflight });
                remove_hop_by_hop(response.headers_mut());
                response
            }
            ExchangeEnd::Failed(code) => refusal(code),
        }
    }
}

/// Time that the caller leaves for the call.
fn deadline_of(headers: &HeaderMap) -> Option<Duration> {
    let millis = headers.get(DEADLINE_HEADER)?.to_str().ok()?.parse().ok()?;
    Some(Duration::from_millis(millis))
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_else(|| Uri::from_static("/"))
}

fn forwarded_headers(parts: &Parts) -> HeaderMap {
    let mut headers = parts.headers.clone();
    remove_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    if !headers.contains_key(HOST)
        && let Some(authority) = parts.uri.authority()
        && let Ok(value) = HeaderValue::from_str(authority.as_str())
    {
        headers.insert(HOST, value);
    }
    if !headers.contains_key(REQUEST_ID_HEADER) {
        let id = uuid::Uuid::now_v7().to_string();
        if let Ok(value) = HeaderValue::from_str(&id) {
            headers.insert(REQUEST_ID_HEADER, value);
        }
    }
    headers
}

fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let mut named = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let Ok(text) = value.to_str() else { continue };
        for name in text.split(',') {
            if let Ok(name) = HeaderName::try_from(name.trim()) {
                named.push(name);
            }
        }
    }
    for name in named.into_iter().chain(HOP_BY_HOP) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_NAMES {
        headers.remove(name);
    }
}
