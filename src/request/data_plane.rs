//! The data plane of one entry VM, without sockets.
//!
//! A request is admitted by its head, before its body is read, and run afterwards. Both steps use
//! the configuration that was active at admission.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_LENGTH, EXPECT, HOST, TE, TRANSFER_ENCODING, UPGRADE};
use http::request::Parts;
use http::{HeaderMap, HeaderName, HeaderValue, Response, StatusCode, Uri};
use http_body::Body;
use tokio::sync::oneshot;
use tokio_util::task::TaskTracker;

use crate::balance::{PathMonitor, UpstreamPicker};
use crate::core::{
    Criticality, HeaderNames, InflightGuard, PartIndex, ResultCode, SharedSnapshot,
    UPSTREAM_HEADER, UpstreamState,
};
use crate::ledger::ClaimLedger;
use crate::limits::{
    GatePermit, GateRefusal, GateRequest, LimitTable, QuarantineTable, RouteLimitSettings,
};
use crate::membership::ConfigFreshness;
use crate::request::access_log::AccessLogEntry;
use crate::request::admission::AdmittedRequest;
use crate::request::attempt::UpstreamClient;
use crate::request::attempt_trace::AttemptTrace;
use crate::request::authentication::set_tenant_headers;
use crate::request::body_watch::BodyWatch;
use crate::request::crash_watch::CallerAddress;
use crate::request::execution::{
    ExecutionContext, ExecutionFailure, ExecutionOutcome, RepeatBudgetShare, RequestExecution,
};
use crate::request::execution_settings::ExecutionSettings;
use crate::request::forward_attempt::PeerForwarder;
use crate::request::forward_gate::ForwardRefusal;
use crate::request::forward_header::{AttemptOrder, ForwardedRequest};
use crate::request::keyed::{claim_intent, claim_key};
use crate::request::load_check::LoadChecker;
use crate::request::refusal_log::RefusalLog;
use crate::request::response::{
    BodyObserver, CallerResponse, RESERVED_RESPONSE_HEADERS, ResponseBody, ResponseStream,
    error_response, error_response_retry_after, limit_claim_to_this_send, set_retry_after,
    unclaimed_error_response,
};
use crate::request::run_watch::RunWatch;

/// Hop-by-hop headers, in addition to those that `Connection` names.
const HOP_BY_HOP: [HeaderName; 4] = [CONNECTION, TE, TRANSFER_ENCODING, UPGRADE];
/// Hop-by-hop headers for which the `http` crate has no constant.
const HOP_BY_HOP_NAMES: [&str; 2] = ["keep-alive", "proxy-connection"];

/// `Retry-After` of shed requests, by criticality.
const CRITICAL_RETRY_AFTER: Duration = Duration::from_secs(1);
const NORMAL_RETRY_AFTER: Duration = Duration::from_secs(2);
const DEFERRABLE_RETRY_AFTER: Duration = Duration::from_secs(30);

/// Response of the data plane.
pub type PlaneResponse<C> = CallerResponse<<C as UpstreamClient>::Body, ResponseGuard>;

/// Held until a response has been forwarded: keeps the request in flight at its upstream and its
/// permit of the route's limit.
#[derive(Debug)]
pub struct ResponseGuard {
    _inflight: InflightGuard,
    _permit: Option<GatePermit>,
    /// None once the end of the body is known, and for responses of a peer, which watches the upstream.
    watch: Option<Box<BodyWatch>>,
}

impl BodyObserver for ResponseGuard {
    fn record_whole_body(&mut self) {
        self.watch.record_whole_body();
    }

    fn record_broken_body(&mut self) {
        self.watch.record_broken_body();
    }
}

/// Components that run requests, shared with the tasks of keyed requests.
#[derive(Debug)]
pub(super) struct DataPlaneCore<C, P, L> {
    client: C,
    picker: P,
    active: SharedSnapshot,
    pub(super) freshness: Arc<ConfigFreshness>,
    pub(super) settings: ExecutionSettings,
    /// Those of the settings, for what outlives the request.
    header_names: Arc<HeaderNames>,
    load_checker: Option<LoadChecker>,
    quarantine: Arc<QuarantineTable>,
    runs: Arc<RunWatch>,
    path: Arc<PathMonitor>,
    pub(super) forwarder: Option<PeerForwarder<C>>,
    pub(super) ledger: L,
}

impl<C, P, L> DataPlaneCore<C, P, L> {
    pub(super) fn context(&self) -> ExecutionContext<'_, C, P> {
        ExecutionContext {
            client: &self.client,
            picker: &self.picker,
            active: &self.active,
            freshness: &self.freshness,
            settings: &self.settings,
            load_checker: self.load_checker.as_ref(),
            quarantine: &self.quarantine,
            runs: &self.runs,
            path: &self.path,
            forwarder: self.forwarder.as_ref(),
        }
    }
}

/// Admits requests and runs them.
#[derive(Debug)]
pub struct DataPlane<C, P, L> {
    pub(super) snapshot: SharedSnapshot,
    pub(super) limits: Arc<LimitTable>,
    pub(super) core: Arc<DataPlaneCore<C, P, L>>,
    keyed_tasks: TaskTracker,
    pub(super) refusal_log: RefusalLog,
}

impl<C: UpstreamClient, P: UpstreamPicker, L: ClaimLedger> DataPlane<C, P, L> {
    /// Creates a data plane that follows the active configuration in `snapshot`.
    pub fn new(
        snapshot: SharedSnapshot,
        client: C,
        picker: P,
        ledger: L,
        freshness: Arc<ConfigFreshness>,
        settings: ExecutionSettings,
    ) -> Self {
        let load_checker = settings.load_checks.clone().map(LoadChecker::new);
        let header_names = Arc::new(settings.headers.clone());
        let core = Arc::new(DataPlaneCore {
            header_names,
            client,
            picker,
            active: Arc::clone(&snapshot),
            freshness,
            settings,
            load_checker,
            quarantine: Arc::default(),
            runs: Arc::default(),
            path: Arc::default(),
            forwarder: None,
            ledger,
        });
        Self {
            snapshot,
            limits: Arc::default(),
            core,
            keyed_tasks: TaskTracker::new(),
            refusal_log: RefusalLog::default(),
        }
    }

    /// Resets the limits of all routes and applies these settings to them.
    #[must_use]
    pub fn with_limits(mut self, limit_settings: RouteLimitSettings) -> Self {
        self.limits = Arc::new(LimitTable::new(limit_settings));
        self
    }

    /// Forwards requests to peers while this entry has no path to the upstreams, and takes theirs.
    ///
    /// # Panics
    ///
    /// Panics if requests are already being run.
    #[must_use]
    pub fn with_forwarder(mut self, forwarder: PeerForwarder<C>) -> Self {
        #[expect(clippy::expect_used, reason = "the data plane has not been shared yet")]
        let core = Arc::get_mut(&mut self.core).expect("no request is being run");
        core.path = Arc::clone(forwarder.table.path());
        core.forwarder = Some(forwarder);
        self
    }

    /// Whether this entry has a path to the upstreams.
    pub fn path(&self) -> Arc<PathMonitor> {
        Arc::clone(&self.core.path)
    }

    /// Tasks of keyed requests. Each ends when the outcome of its request has been recorded and the
    /// rest of its response relayed.
    pub fn keyed_tasks(&self) -> TaskTracker {
        self.keyed_tasks.clone()
    }

    /// Requests that are refused because they crash upstreams.
    pub fn quarantine(&self) -> Arc<QuarantineTable> {
        Arc::clone(&self.core.quarantine)
    }

    /// Runs whose upstreams have fallen silent; whoever reads them must check those upstreams.
    pub fn runs(&self) -> Arc<RunWatch> {
        Arc::clone(&self.core.runs)
    }

    /// Limits of all routes.
    pub fn limits(&self) -> Arc<LimitTable> {
        Arc::clone(&self.limits)
    }

    /// Response to a request that is refused for `after`; it did not run.
    pub fn refusal(&self, parts: &Parts, code: ResultCode, after: Duration) -> PlaneResponse<C> {
        let mut response = unclaimed_error_response(&parts.headers, code);
        set_retry_after(&mut response, after, self.core.settings.retry_after_format);
        response
    }

    /// Runs an admitted request with its complete body.
    pub async fn run(
        &self,
        admitted: AdmittedRequest,
        parts: Parts,
        body: Bytes,
    ) -> PlaneResponse<C> {
        let deadline = admitted.deadline;
        let Ok(permit) = self.acquire_permit(&admitted).await else {
            let response = error_response_retry_after(
                ResultCode::Overloaded,
                shed_retry_after(admitted.criticality),
            );
            return limit_claim_to_this_send(&parts.headers, response);
        };
        let part = self.select_part(&admitted);
        let forwarded = parts.extensions.get::<ForwardedRequest>().copied();
        let repeat_budget_share = self.record_request(&admitted, part, forwarded);
        let header_names = &self.core.settings.headers;
        let allowance = header_names.retry_allowance.as_ref();
        let allowance = allowance.and_then(|name| header_u64(&parts.headers, name));
        let allowance = forwarded.map(|forwarded| forwarded.retries.into()).or(allowance);
        let key = claim_key(&parts.headers, admitted.class.mode, &self.core.freshness);
        let key = key.map(|key| key.map(str::to_owned));
        let uri = origin_form(&parts.uri);
        let caller = parts.extensions.get::<CallerAddress>().copied();
        let mut headers = forwarded_headers(parts.headers, &parts.uri, &header_names.request_id);
        let tenant = admitted.class.authenticated.as_deref();
        set_tenant_headers(&mut headers, header_names, &admitted.snapshot, tenant);
        let execution = RequestExecution {
            snapshot: admitted.snapshot,
            admitted_under: admitted.confirmation,
            class: admitted.class,
            limits: admitted.limits,
            headers,
            uri,
            method: parts.method,
            body,
            started: admitted.started,
            deadline,
            retry_allowance: allowance.map(|retries| retries.min(u64::from(u32::MAX)) as u32),
            part,
            repeat_budget_share,
            caller,
            forwarded,
            is_answered: AtomicBool::default(),
        };
        match key {
            Ok(None) => {}
            Ok(Some(key)) => return self.run_keyed(&key, execution, permit).await,
            Err(code) => return unclaimed_error_response(&execution.headers, code),
        }
        let mut log_entry = AccessLogEntry { core: &self.core, execution: &execution, trace: None };
        let outcome =
            execution.run(self.core.context(), log_entry.trace.get_or_insert_default()).await;
        let has_reached_upstream =
            log_entry.trace.as_ref().is_some_and(AttemptTrace::has_reached_upstream);
        log_entry.write(&outcome);
        drop(log_entry);
        match outcome {
            ExecutionOutcome::Answered { response: answered, inflight, upstream, is_forwarded } => {
                record_transfer_size(&execution, &answered.response);
                let status = answered.response.status();
                let mut watch =
                    (!is_forwarded).then(|| self.watch_body(execution, &upstream, status));
                if answered.response.body().is_end_stream() {
                    watch.record_whole_body();
                }
                let guard = ResponseGuard { _inflight: inflight, _permit: permit, watch };
                let mut response = answered
                    .response
                    .map(|body| ResponseBody::Stream(ResponseStream::new(body, deadline, guard)));
                sanitize_response_headers(response.headers_mut());
                if forwarded.is_some()
                    && let Ok(name) = HeaderValue::from_str(&upstream.name)
                {
                    response.headers_mut().insert(UPSTREAM_HEADER, name);
                }
                response
            }
            ExecutionOutcome::Failed(ExecutionFailure { code: ResultCode::NotRun, .. })
                if forwarded.is_some() && !has_reached_upstream =>
            {
                ForwardRefusal::NoPath.response()
            }
            ExecutionOutcome::Failed(ExecutionFailure { code, retry_after }) => {
                let mut response = unclaimed_error_response(&execution.headers, code);
                if let Some(after) = retry_after {
                    set_retry_after(&mut response, after, self.core.settings.retry_after_format);
                }
                response
            }
        }
    }

    /// Watches the body of an upstream's response.
    fn watch_body(
        &self,
        mut execution: RequestExecution,
        upstream: &Arc<UpstreamState>,
        status: StatusCode,
    ) -> Box<BodyWatch> {
        let content = execution.take_content();
        Box::new(BodyWatch {
            execution,
            content,
            upstream: Arc::clone(upstream),
            quarantine: Arc::clone(&self.core.quarantine),
            runs: Arc::clone(&self.core.runs),
            header_names: Arc::clone(&self.core.header_names),
            is_served: !status.is_server_error(),
        })
    }

    /// Waits for a permit of the route's limit; returns none at once if the limit is disabled.
    async fn acquire_permit(
        &self,
        admitted: &AdmittedRequest,
    ) -> Result<Option<GatePermit>, GateRefusal> {
        if self.limits.settings().is_gate_disabled {
            return Ok(None);
        }
        let gate_request = GateRequest {
            class: admitted.criticality,
            tenant: admitted.class.tenant.clone(),
            deadline: admitted.deadline,
        };
        admitted.limits.gate.acquire(&gate_request).await.map(Some)
    }

    fn select_part(&self, admitted: &AdmittedRequest) -> Option<PartIndex> {
        let route = admitted.class.route.and_then(|key| admitted.snapshot.route(key))?;
        admitted.limits.part_sequence.next_part(route)
    }

    /// Counts the request in the budgets that its retries and hedges will be spent from.
    fn record_request(
        &self,
        admitted: &AdmittedRequest,
        part: Option<PartIndex>,
        forwarded: Option<ForwardedRequest>,
    ) -> Option<RepeatBudgetShare> {
        let budget = &admitted.snapshot.budget;
        admitted.limits.retries.record_request(budget.retry_ratio);
        admitted.limits.hedges.record_request(budget.hedge_ratio);
        // A repeat has been counted where it came from.
        let is_first = forwarded.is_none_or(|forwarded| forwarded.order == AttemptOrder::First);
        if is_first && let Some(hedge_limits) = admitted.limits.hedge_limits(part) {
            hedge_limits.record_request();
        }
        let window = admitted.limits.window_budget(part)?;
        if is_first {
            window.record_request();
        }
        Some(RepeatBudgetShare { window, entries: self.limits.entries() })
    }

    /// Runs a keyed request in a task of its own, which continues if the caller disconnects.
    async fn run_keyed(
        &self,
        key: &str,
        execution: RequestExecution,
        permit: Option<GatePermit>,
    ) -> PlaneResponse<C> {
        let claim = claim_intent(key, &execution);
        let (tx, rx) = oneshot::channel();
        self.keyed_tasks.spawn(Arc::clone(&self.core).run_keyed(execution, claim, permit, tx));
        rx.await.unwrap_or_else(|_| error_response(ResultCode::OutcomeUnknown))
    }
}

fn shed_retry_after(criticality: Criticality) -> Duration {
    match criticality {
        Criticality::Critical => CRITICAL_RETRY_AFTER,
        Criticality::Normal => NORMAL_RETRY_AFTER,
        Criticality::Deferrable => DEFERRABLE_RETRY_AFTER,
    }
}

/// Records the size of a request and its response, if the response has a known length.
fn record_transfer_size<B: Body>(execution: &RequestExecution, response: &Response<B>) {
    let Some(response_bytes) = response.body().size_hint().exact() else { return };
    execution.limits.cost_estimator.record_bytes(execution.body.len() as u64 + response_bytes);
}

/// Value of a header that holds an unsigned integer; none if it is missing or malformed.
pub(super) fn header_u64(headers: &HeaderMap, name: &HeaderName) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map(Uri::from).unwrap_or_else(|| Uri::from_static("/"))
}

fn forwarded_headers(mut headers: HeaderMap, uri: &Uri, request_id: &HeaderName) -> HeaderMap {
    remove_hop_by_hop(&mut headers);
    headers.remove(CONTENT_LENGTH);
    // The body has already been read, so there is nothing for `Expect: 100-continue` to save.
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

/// Removes from an upstream's response the hop-by-hop headers and those that only this node may
/// set.
pub(super) fn sanitize_response_headers(headers: &mut HeaderMap) {
    if headers.contains_key(TRANSFER_ENCODING) {
        // `Transfer-Encoding` overrides `Content-Length` (RFC 9112, section 6.3).
        headers.remove(CONTENT_LENGTH);
    }
    remove_hop_by_hop(headers);
    for name in RESERVED_RESPONSE_HEADERS {
        headers.remove(name);
    }
}

fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let mut connection_headers = Vec::new();
    for value in headers.get_all(CONNECTION) {
        let Ok(text) = value.to_str() else { continue };
        for name in text.split(',') {
            if let Ok(name) = HeaderName::try_from(name.trim()) {
                connection_headers.push(name);
            }
        }
    }
    for name in connection_headers.into_iter().chain(HOP_BY_HOP) {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_NAMES {
        headers.remove(name);
    }
}
