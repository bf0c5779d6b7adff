//! The request plane of one node, without sockets.
//!
//! A request is admitted by its head, before its body is read, and then run. Both steps use the
//! configuration of admission.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TE, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Response, Uri};
use http_body::Body;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::task::TaskTracker;

use crate::balance::UpstreamPicker;
use crate::core::{
    ConfigSnapshot, Criticality, InflightGuard, PartIndex, ResultCode, SharedSnapshot,
};
use crate::ledger::ClaimLedger;
use crate::limits::{
    GatePermit, GateRefusal, GateRequest, LimitTable, RouteLimitSettings, RouteLimits,
};
use crate::membership::ConfigFreshness;
use crate::request::attempt::UpstreamClient;
use crate::request::attempt_trace::AttemptTrace;
use crate::request::classify::{RequestClass, RequestHead, classify};
use crate::request::execution::{
    ExecutionContext, ExecutionFailure, ExecutionOutcome, RepeatBudgetShare, RequestExecution,
};
use crate::request::execution_settings::ExecutionSettings;
use crate::request::head_validation::validate_head;
use crate::request::keyed::{claim_intent, claim_key};
use crate::request::load_check::LoadChecker;
use crate::request::response::{
    CallerResponse, RESERVED_RESPONSE_HEADERS, ResponseBody, ResponseStream, error_response,
    error_response_retry_after, limit_claim_to_this_send, set_retry_after,
    unclaimed_error_response,
};

/// Headers that concern one connection only, beside those that `Connection` names.
const HOP_BY_HOP: [HeaderName; 4] = [CONNECTION, TE, TRANSFER_ENCODING, UPGRADE];
/// The same, without a constant of their own.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// Time after which a shed caller may come back, by class.
const CRITICAL_RETRY_AFTER: Duration = Duration::from_secs(1);
const NORMAL_RETRY_AFTER: Duration = Duration::from_secs(2);
const DEFERRABLE_RETRY_AFTER: Duration = Duration::from_secs(30);

/// An answer of the request plane.
pub type PlaneResponse<C> = CallerResponse<<C as UpstreamClient>::Body, ResponseGuard>;

/// Held until an answer has been passed on.
#[derive(Debug)]
pub struct ResponseGuard {
    _inflight: InflightGuard,
    _permit: Option<GatePermit>,
}

/// A request whose head has been accepted.
#[derive(Clone, Debug)]
pub struct AdmittedRequest {
    /// Configuration of admission.
    pub snapshot: Arc<ConfigSnapshot>,
    /// Class under that configuration.
    pub class: RequestClass,
    /// Limits of its route.
    pub limits: Arc<RouteLimits>,
    /// What is shed first.
    pub criticality: Criticality,
    /// Time of admission.
    pub started: Instant,
    /// Time by which the answer must be whole.
    pub deadline: Instant,
}

/// What runs requests; tasks of keyed requests share it.
#[derive(Debug)]
pub(super) struct DataPlaneCore<C, P, L> {
    client: C,
    picker: P,
    freshness: Arc<ConfigFreshness>,
    settings: ExecutionSettings,
    check: Option<LoadChecker>,
    pub(super) ledger: L,
}

impl<C, P, L> DataPlaneCore<C, P, L> {
    pub(super) fn context(&self) -> ExecutionContext<'_, C, P> {
        ExecutionContext {
            client: &self.client,
            picker: &self.picker,
            freshness: &self.freshness,
            settings: &self.settings,
            load_checker: self.check.as_ref(),
        }
    }
}

/// Decides about requests and runs them.
#[derive(Debug)]
pub struct DataPlane<C, P, L> {
    snapshot: SharedSnapshot,
    limits: Arc<LimitTable>,
    core: Arc<DataPlaneCore<C, P, L>>,
    keyed: TaskTracker,
}

impl<C: UpstreamClient, P: UpstreamPicker, L: ClaimLedger> DataPlane<C, P, L> {
    /// Creates the plane over the pointer to the present configuration.
    pub fn new(
        snapshot: SharedSnapshot,
        client: C,
        picker: P,
        ledger: L,
        freshness: Arc<ConfigFreshness>,
        settings: ExecutionSettings,
    ) -> Self {
        let check = settings.load_checks.clone().map(LoadChecker::new);
        let core = Arc::new(DataPlaneCore { client, picker, freshness, settings, check, ledger });
        Self { snapshot, limits: Arc::default(), core, keyed: TaskTracker::new() }
    }

    /// Replaces the limits of the routes by empty ones under `rules`.
    #[must_use]
    pub fn with_limits(mut self, rules: RouteLimitSettings) -> Self {
        self.limits = Arc::new(LimitTable::new(rules));
        self
    }

    /// The tasks of keyed requests. Each ends when the outcome of its request has been recorded.
    pub fn keyed_tasks(&self) -> TaskTracker {
        self.keyed.clone()
    }

    /// Limits of the routes.
    pub fn limits(&self) -> Arc<LimitTable> {
        Arc::clone(&self.limits)
    }

    /// Admits a request by its head.
    ///
    /// # Errors
    ///
    /// Returns the code of the refusal; the request did not run.
    pub fn admit(&self, parts: &Parts) -> Result<AdmittedRequest, ResultCode> {
        let started = Instant::now();
        let snapshot = self.snapshot.load_full().ok_or(ResultCode::NotReady)?;
        validate_head(parts)?;
        let head = RequestHead { method: &parts.method, uri: &parts.uri, headers: &parts.headers };
        let class = classify(&snapshot, head);
        let key = class.route.ok_or(ResultCode::NoRoute)?;
        let route = snapshot.route(key).ok_or(ResultCode::NoRoute)?;
        let limits = self.limits.get(&snapshot, key).ok_or(ResultCode::NoRoute)?;
        let allowed = route.spec.deadline;
        let name = &self.core.settings.headers.deadline;
        let wanted = number_in(&parts.headers, name).map(Duration::from_millis);
        let deadline = started + wanted.unwrap_or(allowed).min(allowed);
        let criticality = route.spec.criticality;
        Ok(AdmittedRequest { snapshot, class, limits, criticality, started, deadline })
    }

    /// Runs an admitted request with its whole body.
    pub async fn run(
        &self,
        admission: AdmittedRequest,
        parts: Parts,
        body: Bytes,
    ) -> PlaneResponse<C> {
        let deadline = admission.deadline;
        let Ok(permit) = self.pass_gate(&admission).await else {
            let refused = error_response_retry_after(
                ResultCode::Overloaded,
                retry_after(admission.criticality),
            );
            return limit_claim_to_this_send(&parts.headers, refused);
        };
        let part = self.part_of(&admission);
        let repeat_share = self.record_request(&admission, part);
        let names = &self.core.settings.headers;
        let allowance = names.retry_allowance.as_ref();
        let allowance = allowance.and_then(|name| number_in(&parts.headers, name));
        let key = claim_key(&parts.headers, admission.class.mode, &self.core.freshness);
        let key = key.map(|key| key.map(str::to_owned));
        let uri = origin_form(&parts.uri);
        let exchange = RequestExecution {
            snapshot: admission.snapshot,
            class: admission.class,
            limits: admission.limits,
            headers: forwarded_headers(parts.headers, &parts.uri, &names.request_id),
            uri,
            method: parts.method,
            body,
            started: admission.started,
            deadline,
            retry_allowance: allowance.map(|allowed| allowed.min(u64::from(u32::MAX)) as u32),
            part,
            repeat_budget_share: repeat_share,
        };
        match key {
            Ok(None) => {}
            Ok(Some(key)) => return self.run_keyed(&key, exchange, permit).await,
            Err(code) => return unclaimed_error_response(&exchange.headers, code),
        }
        let mut line = RequestLine { core: &self.core, exchange: &exchange, trace: None };
        let end = exchange.run(self.core.context(), line.trace.get_or_insert_default()).await;
        line.write(&end);
        drop(line);
        match end {
            ExecutionOutcome::Answered { answer, inflight } => {
                record_bytes(&exchange, &answer.response);
                let guard = ResponseGuard { _inflight: inflight, _permit: permit };
                let mut response = answer
                    .response
                    .map(|body| ResponseBody::Stream(ResponseStream::new(body, deadline, guard)));
                sanitize_response_headers(response.headers_mut());
                response
            }
            ExecutionOutcome::Failed(ExecutionFailure { code, retry_after }) => {
                let mut refused = unclaimed_error_response(&exchange.headers, code);
                if let Some(after) = retry_after {
                    set_retry_after(&mut refused, after, self.core.settings.retry_after_format);
                }
                refused
            }
        }
    }

    /// Waits for a place, unless requests pass ungated.
    async fn pass_gate(
        &self,
        admission: &AdmittedRequest,
    ) -> Result<Option<GatePermit>, GateRefusal> {
        if self.limits.settings().is_gate_disabled {
            return Ok(None);
        }
        let asked = GateRequest {
            class: admission.criticality,
            tenant: admission.class.tenant.clone(),
            deadline: admission.deadline,
        };
        admission.limits.gate.acquire(&asked).await.map(Some)
    }

    fn part_of(&self, admission: &AdmittedRequest) -> Option<PartIndex> {
        let route = admission.class.route.and_then(|key| admission.snapshot.route(key))?;
        admission.limits.cost_estimator.next_part(route)
    }

    /// Counts the request where its repeats will be paid from.
    fn record_request(
        &self,
        admission: &AdmittedRequest,
        part: Option<PartIndex>,
    ) -> Option<RepeatBudgetShare> {
        let budget = &admission.snapshot.budget;
        admission.limits.retries.record_request(budget.retry_ratio);
        admission.limits.hedges.record_request(budget.hedge_ratio);
        let window = admission.limits.window_budget(part)?;
        window.record_request();
        Some(RepeatBudgetShare { window, entries: self.limits.entries() })
    }

    /// Runs a keyed request in a task of its own, which survives its caller.
    async fn run_keyed(
        &self,
        key: &str,
        exchange: RequestExecution,
        permit: Option<GatePermit>,
    ) -> PlaneResponse<C> {
        let intent = claim_intent(key, &exchange);
        let (tx, rx) = oneshot::channel();
        self.keyed.spawn(Arc::clone(&self.core).run_keyed(exchange, intent, permit, tx));
        rx.await.unwrap_or_else(|_| error_response(ResultCode::OutcomeUnknown))
    }
}

fn retry_after(class: Criticality) -> Duration {
    match class {
        Criticality::Critical => CRITICAL_RETRY_AFTER,
        Criticality::Normal => NORMAL_RETRY_AFTER,
        Criticality::Deferrable => DEFERRABLE_RETRY_AFTER,
    }
}

/// Writes the line of a request: at its end, or when its caller leaves before.
struct RequestLine<'a, C, P, L> {
    core: &'a DataPlaneCore<C, P, L>,
    exchange: &'a RequestExecution,
    /// None once the line is written.
    trace: Option<AttemptTrace>,
}

impl<C, P, L> RequestLine<'_, C, P, L> {
    /// Writes the line. An ordinary one is left to the debug level, so that a calm day costs
    /// nothing.
    fn write<B>(&mut self, end: &ExecutionOutcome<B>) {
        let Some(trace) = self.trace.take() else { return };
        match end {
            ExecutionOutcome::Answered { answer, .. } => {
                let status = answer.response.status();
                let is_ordinary = trace.is_single_attempt() && !status.is_server_error();
                let level = if is_ordinary { log::Level::Debug } else { log::Level::Info };
                self.log(level, status.as_str(), &trace);
            }
            ExecutionOutcome::Failed(failure) => {
                self.log(log::Level::Info, &failure.code.to_string(), &trace);
            }
        }
    }

    fn log(&self, level: log::Level, outcome: &str, trace: &AttemptTrace) {
        let exchange = self.exchange;
        let id = exchange.headers.get(&self.core.settings.headers.request_id);
        // Quoted, so that a caller cannot forge fields of the line.
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let age = self.core.freshness.age().unwrap_or(Duration::MAX);
        log::log!(
            target: "request",
            level,
            "id={id:?} class={} generation={} config_age_ms={} outcome={outcome} ms={} left_ms={} attempts={trace}",
            exchange.class.class,
            exchange.snapshot.generation,
            age.as_millis(),
            exchange.started.elapsed().as_millis(),
            exchange.deadline.saturating_duration_since(Instant::now()).as_millis(),
        );
    }
}

impl<C, P, L> Drop for RequestLine<'_, C, P, L> {
    fn drop(&mut self) {
        if let Some(trace) = self.trace.take() {
            self.log(log::Level::Info, "caller-left", &trace);
        }
    }
}

/// Learns the size of a request and of its answer, if that is known beforehand.
fn record_bytes<B: Body>(exchange: &RequestExecution, response: &Response<B>) {
    let Some(answer_bytes) = response.body().size_hint().exact() else { return };
    exchange.limits.cost_estimator.record_bytes(exchange.body.len() as u64 + answer_bytes);
}

/// A header that holds a whole number.
fn number_in(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_else(|| Uri::from_static("/"))
}

fn forwarded_headers(mut headers: HeaderMap, uri: &Uri, request_id: &HeaderName) -> HeaderMap {
    remove_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    // The body is held whole, so the upstream is not asked whether it wants it.
    headers.remove(EXPECT);
    if let Some(authority) = uri.authority()
        && let Ok(value) = HeaderValue::from_str(authority.as_str())
    {
        headers.insert(HOST, value);
    }
    if !headers.contains_key(request_id) {
        let id = uuid::Uuid::now_v7().to_string();
        if let Ok(value) = HeaderValue::from_str(&id) {
            headers.insert(request_id, value);
        }
    }
    headers
}

/// Removes from an upstream's answer what only this system may say to callers, and what concerns
/// the upstream's connection.
pub(super) fn sanitize_response_headers(headers: &mut HeaderMap) {
    if headers.contains_key(TRANSFER_ENCODING) {
        // The chunks count; a length beside them is not to be believed.
        headers.remove(CONTENT_LENGTH);
    }
    remove_hop_by_hop(headers);
    for name in RESERVED_RESPONSE_HEADERS {
        headers.remove(name);
    }
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
