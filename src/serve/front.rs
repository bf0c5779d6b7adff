//! What happens to a caller's request between the HTTP server and the exchange.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, HOST, TE, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, Uri};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;
use tokio::time::Instant;

use crate::balance::UpstreamPicker;
use crate::core::{
    ConfigSnapshot, DEADLINE_HEADER, InflightGuard, REQUEST_ID_HEADER, ResultCode, SharedSnapshot,
};
use crate::membership::AddressBook;
use crate::request::{
    AnswerBody, CallerAnswer, ExchangeEnd, ExchangeSettings, RequestClass, RequestExchange,
    RequestHead, UpstreamClient, classify, refusal,
};
use crate::serve::latency_metrics::LatencyMetrics;

/// Path under which callers ask for entry addresses.
const ADDRESSES_PATH: &str = "/.heatherfall/addresses";
/// Headers that concern one connection only, beside those that `Connection` names.
const HOP_BY_HOP: [HeaderName; 4] = [CONNECTION, TE, TRANSFER_ENCODING, UPGRADE];
/// The same, without a constant of their own.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Limits on callers' requests.
#[derive(Clone, Debug)]
pub struct FrontSettings {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request body to arrive.
    pub body_timeout: Duration,
    /// Limits on the attempts.
    pub exchange: ExchangeSettings,
}

impl Default for FrontSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 << 20,
            body_timeout: Duration::from_secs(30),
            exchange: ExchangeSettings::default(),
        }
    }
}

/// Answers callers' requests.
#[derive(Debug)]
pub struct FrontService<C, P> {
    snapshot: SharedSnapshot,
    client: C,
    picker: P,
    addresses: Arc<AddressBook>,
    metrics: LatencyMetrics,
    settings: FrontSettings,
    is_leaving: AtomicBool,
}

/// An answer of this service.
pub(super) type FrontAnswer<C> = CallerAnswer<<C as UpstreamClient>::Body, InflightGuard>;

impl<C: UpstreamClient, P: UpstreamPicker> FrontService<C, P> {
    /// Creates the service.
    pub fn new(
        snapshot: SharedSnapshot,
        client: C,
        picker: P,
        addresses: Arc<AddressBook>,
        metrics: LatencyMetrics,
        settings: FrontSettings,
    ) -> Self {
        let is_leaving = AtomicBool::new(false);
        Self { snapshot, client, picker, addresses, metrics, settings, is_leaving }
    }

    /// From now on answers tell callers on HTTP/1.1 to close their connection.
    pub fn set_leaving(&self) {
        self.is_leaving.store(true, Ordering::Relaxed);
    }

    pub(super) async fn answer(
        &self,
        request: Request<Incoming>,
    ) -> Result<FrontAnswer<C>, Infallible> {
        let version = request.version();
        let mut response = self.respond(request).await;
        let closes = self.is_leaving.load(Ordering::Relaxed) && version < http::Version::HTTP_2;
        if closes {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    async fn respond(&self, request: Request<Incoming>) -> FrontAnswer<C> {
        let started = Instant::now();
        if request.uri().path() == ADDRESSES_PATH {
            return self.address_answer(request.uri());
        }
        let Some(snapshot) = self.snapshot.load_full() else {
            return refusal(ResultCode::NotReady);
        };
        let (parts, body) = request.into_parts();
        if parts.method == Method::CONNECT || parts.headers.contains_key(UPGRADE) {
            return refusal(ResultCode::Unsupported);
        }
        let head = RequestHead { method: &parts.method, uri: &parts.uri, headers: &parts.headers };
        let class = classify(&snapshot, head);
        let response = match self.read_body(body).await {
            Ok(body) => self.exchange(snapshot, &class, parts, body, started).await,
            Err(code) => refusal(code),
        };
        self.record(&class, &response, started);
        response
    }

    async fn exchange(
        &self,
        snapshot: Arc<ConfigSnapshot>,
        class: &RequestClass,
        parts: Parts,
        body: Bytes,
        started: Instant,
    ) -> FrontAnswer<C> {
        let Some(route) = class.route.and_then(|key| snapshot.route(key)) else {
            return refusal(ResultCode::NoRoute);
        };
        let allowed = route.spec.deadline;
        let wanted = deadline_of(&parts.headers).unwrap_or(allowed);
        let exchange = RequestExchange {
            class: class.clone(),
            uri: origin_form(&parts.uri),
            headers: forwarded_headers(&parts),
            method: parts.method,
            body,
            deadline: started + wanted.min(allowed),
            snapshot,
        };
        match exchange.run(&self.client, &self.picker, &self.settings.exchange).await {
            ExchangeEnd::Answered { answer, inflight } => {
                let mut response =
                    answer.response.map(|body| AnswerBody::Stream { body, guard: inflight });
                remove_hop_by_hop(response.headers_mut());
                response
            }
            ExchangeEnd::Failed(code) => refusal(code),
        }
    }

    async fn read_body(&self, body: Incoming) -> Result<Bytes, ResultCode> {
        let whole = Limited::new(body, self.settings.max_body_bytes).collect();
        match tokio::time::timeout(self.settings.body_timeout, whole).await {
            Ok(Ok(body)) => Ok(body.to_bytes()),
            Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
                Err(ResultCode::RequestTooLarge)
            }
            Ok(Err(_)) | Err(_) => Err(ResultCode::MalformedRequest),
        }
    }

    fn address_answer(&self, uri: &Uri) -> FrontAnswer<C> {
        let body = self.addresses.answer(uri.query().unwrap_or_default());
        let mut response = Response::new(AnswerBody::Own(Some(body)));
        let value = HeaderValue::from_static("application/json");
        response.headers_mut().insert(http::header::CONTENT_TYPE, value);
        response
    }

    fn record(&self, class: &RequestClass, response: &FrontAnswer<C>, started: Instant) {
        let code = response.headers().get(crate::core::RESULT_CODE_HEADER);
        let result = code.and_then(|value| value.to_str().ok()).unwrap_or("ok");
        self.metrics.record(class.tenant.as_str(), &class.class, result, started.elapsed());
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
    headers.remove(http::header::CONTENT_LENGTH);
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
