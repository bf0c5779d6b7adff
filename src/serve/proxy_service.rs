//! HTTP service between the server for callers and the data plane.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CONNECTION, CONTENT_TYPE};
use http::request::Parts;
use http::{HeaderValue, Request, Response, Uri, Version};
use http_body::Body;
use http_body_util::Empty;
use prometheus::IntCounter;
use tokio::time::Instant;
use tokio_util::task::{AbortOnDropHandle, TaskTracker};

use crate::balance::UpstreamPicker;
use crate::core::{
    IdempotenceMode, NOT_DISPATCHED_HEADER, NOT_RUN_HEADER, RESULT_CODE_HEADER, ResultCode,
    TenantId,
};
use crate::ledger::ClaimLedger;
use crate::limits::tenant_quota::{QuotaTable, TenantPermit};
use crate::membership::AddressResolver;
use crate::request::{
    AdmittedRequest, ConfigConfirmation, DEFAULT_CLASS, DEFAULT_TENANT, DataPlane,
    ForwardAdmissionError, ForwardRefusal, PlaneResponse, ResponseBody, UpstreamClient,
    error_response, unclaimed_error_response, validate_host,
};
use crate::serve::early_response::EarlyResponse;
use crate::serve::latency_metrics::LatencyMetrics;
use crate::serve::leaving_flag::LeavingFlag;
use crate::serve::request_body::{BodyLimits, BodyMemoryBudget, BufferedBody, read_body};
use crate::util::read_limited;

/// Time after which a request that a leaving entry refuses may be sent to another one.
const LEAVING_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Time after which a request that is refused by an unconfirmed configuration may be sent to another
/// entry, or to this one once it has read the configuration.
const UNCONFIRMED_RETRY_AFTER: Duration = Duration::from_millis(200);
/// Path at which callers look up the addresses of entry VMs.
const ADDRESSES_PATH: &str = "/.heatherfall/addresses";

/// Limits of callers' requests.
#[derive(Clone, Debug)]
pub struct ProxySettings {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest time for a request body to arrive.
    pub body_timeout: Duration,
    /// Most bytes of request bodies buffered at the same time, over all requests.
    pub max_total_body_bytes: usize,
    /// Largest response without `Content-Length` that is buffered for an HTTP/1.0 caller, in bytes.
    pub max_buffered_response_bytes: usize,
}

impl Default for ProxySettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 << 20,
            body_timeout: Duration::from_secs(30),
            max_total_body_bytes: 128 << 20,
            max_buffered_response_bytes: 1 << 20,
        }
    }
}

/// Who sends the requests of a listener.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RequestOrigin {
    /// Callers.
    #[default]
    Callers,
    /// Peers without a path to the upstreams, which forward their callers' requests.
    Peers,
}

/// Serves callers' requests.
#[derive(Debug)]
pub struct ProxyService<C, P, L> {
    plane: DataPlane<C, P, L>,
    addresses: Arc<AddressResolver>,
    metrics: LatencyMetrics,
    settings: ProxySettings,
    body_budget: Arc<BodyMemoryBudget>,
    at_most_once_tasks: TaskTracker,
    leaving_flag: LeavingFlag,
    /// `None` if quotas are not enforced.
    quota: Option<Arc<QuotaTable>>,
}

impl<C: UpstreamClient, P: UpstreamPicker, L: ClaimLedger> ProxyService<C, P, L> {
    /// Creates a service that forwards requests to `plane`.
    pub fn new(
        plane: DataPlane<C, P, L>,
        addresses: Arc<AddressResolver>,
        metrics: LatencyMetrics,
        settings: ProxySettings,
    ) -> Self {
        let body_budget = Arc::new(BodyMemoryBudget::new(settings.max_total_body_bytes));
        Self {
            plane,
            addresses,
            metrics,
            settings,
            body_budget,
            at_most_once_tasks: TaskTracker::new(),
            leaving_flag: LeavingFlag::default(),
            quota: None,
        }
    }

    /// Enforces the quotas of tenants on requests of callers.
    #[must_use]
    pub fn with_quota(self, quota: Arc<QuotaTable>) -> Self {
        Self { quota: Some(quota), ..self }
    }

    /// Waits for all at-most-once requests, which continue if their callers disconnect.
    pub(super) async fn wait_for_at_most_once_tasks(&self) {
        self.at_most_once_tasks.close();
        self.at_most_once_tasks.wait().await;
    }

    /// Counter of connections whose callers left before their requests were answered.
    pub(super) fn abandoned_connections(&self) -> IntCounter {
        self.metrics.pipeline().abandoned.clone()
    }

    /// Whether the node is leaving.
    pub(super) fn is_leaving(&self) -> bool {
        self.leaving_flag.is_leaving()
    }

    /// Flag to set when the node is leaving.
    pub fn leaving_flag(&self) -> LeavingFlag {
        self.leaving_flag.clone()
    }

    /// Serves a request that the server has called for. `early` is the same request if it was
    /// started ahead of its turn.
    pub(super) async fn serve_request<B: Body<Data = Bytes> + Unpin>(
        self: Arc<Self>,
        request: Request<B>,
        origin: RequestOrigin,
        early: Option<EarlyResponse<C>>,
    ) -> Result<PlaneResponse<C>, Infallible> {
        let version = request.version();
        let mut response = match early {
            Some(early) => early.take_over().await,
            None => Self::route_request(&self, request, origin, None).await,
        };
        if version == Version::HTTP_10 {
            response = self.buffer_unsized_response(response).await;
        }
        let closes_connection = self.leaving_flag.is_leaving() && version < Version::HTTP_2;
        if closes_connection {
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
        }
        Ok(response)
    }

    /// Starts a caller's request without a body ahead of its turn; none if it must not run more than
    /// once, or would be refused now.
    pub(super) fn start_early(self: &Arc<Self>, parts: Parts) -> Option<EarlyResponse<C>> {
        let admitted = self.admit_idempotent(&parts)?;
        // An early request that is cancelled is sent again in its turn, which repeats it.
        if admitted.confirmation == ConfigConfirmation::Unconfirmed {
            return None;
        }
        let request = Request::from_parts(parts, Empty::<Bytes>::new());
        let service = Arc::clone(self);
        let task = tokio::spawn(async move {
            let origin = RequestOrigin::Callers;
            service.route_request(request, origin, Some(admitted)).await
        });
        Some(EarlyResponse::new(AbortOnDropHandle::new(task), self.metrics.pipeline().clone()))
    }

    /// Admits a caller's request if it may run more than once.
    pub(super) fn admit_idempotent(&self, parts: &Parts) -> Option<AdmittedRequest> {
        if parts.uri.path() == ADDRESSES_PATH || validate_host(parts).is_err() {
            return None;
        }
        let admitted = self.plane.admit(parts).ok()?;
        (admitted.class.mode == IdempotenceMode::Idempotent).then_some(admitted)
    }

    /// Runs a request; `admitted` is set if it was admitted to be started ahead of its turn.
    async fn route_request<B: Body<Data = Bytes> + Unpin>(
        self: &Arc<Self>,
        request: Request<B>,
        origin: RequestOrigin,
        admitted: Option<AdmittedRequest>,
    ) -> PlaneResponse<C> {
        if origin == RequestOrigin::Callers && request.uri().path() == ADDRESSES_PATH {
            return self.addresses_response(request.uri());
        }
        let (mut parts, body) = request.into_parts();
        let forwarded = match origin {
            RequestOrigin::Callers => None,
            RequestOrigin::Peers => match self.plane.check_forwarded(&parts) {
                Ok(forwarded) => Some(forwarded),
                Err(refusal) => return refusal.response(),
            },
        };
        if let Err(code) = validate_host(&parts) {
            let mut response = unclaimed_error_response(&parts.headers, code);
            response.headers_mut().insert(CONNECTION, HeaderValue::from_static("close"));
            return response;
        }
        let admitted = match (admitted, forwarded) {
            (Some(admitted), _) => Ok(admitted),
            (None, None) => self.plane.admit(&parts).map_err(ForwardAdmissionError::Failed),
            (None, Some(forwarded)) => self.plane.admit_forwarded(&parts, forwarded),
        };
        let admitted = match admitted {
            Ok(admitted) => admitted,
            Err(ForwardAdmissionError::Failed(code)) => {
                return self.refuse_admission(&parts, code);
            }
            Err(ForwardAdmissionError::Refused(refusal)) => return refusal.response(),
        };
        let deadline = admitted.deadline;
        if !self.leaving_flag.can_finish(deadline) {
            return self.refuse_leaving(&admitted, &parts, origin);
        }
        let mut permit = match self.acquire_permit(&admitted, origin).await {
            Ok(permit) => permit,
            Err(after) => return self.refuse_over_quota(&admitted, &parts, after),
        };
        let limits = BodyLimits {
            max_bytes: self.settings.max_body_bytes,
            deadline: (admitted.started + self.settings.body_timeout).min(admitted.deadline),
        };
        let body = tokio::select! {
            biased;
            body = read_body(body, limits, &self.body_budget) => body,
            () = self.leaving_flag.cannot_finish(deadline) => {
                return self.refuse_leaving(&admitted, &parts, origin);
            }
        };
        let body = match body {
            Ok(body) => body,
            Err(code) => {
                let response = unclaimed_error_response(&parts.headers, code);
                let class = &admitted.class;
                self.record_metrics(&class.tenant, &class.class, &response, admitted.started);
                return response;
            }
        };
        if let Some(forwarded) = forwarded {
            let accepted =
                self.plane.accept_forwarded(&mut parts, &body.bytes, forwarded, &admitted);
            if let Err(refusal) = accepted {
                return refusal.response();
            }
        }
        if permit.as_ref().is_some_and(TenantPermit::is_expired) {
            permit = match self.acquire_permit(&admitted, origin).await {
                Ok(permit) => permit,
                Err(after) => return self.refuse_over_quota(&admitted, &parts, after),
            };
        }
        // The entry may have begun to leave while the request waited.
        if !self.leaving_flag.can_finish(deadline) {
            return self.refuse_leaving(&admitted, &parts, origin);
        }
        if admitted.class.mode == IdempotenceMode::Idempotent {
            return tokio::select! {
                biased;
                response = self.run(admitted, parts, body, permit) => response,
                () = self.leaving_flag.work_over() => error_response(ResultCode::OutcomeUnknown),
            };
        }
        // This future is dropped when the caller disconnects. That must not cancel an at-most-once
        // request, whose outcome would then be unknown.
        let service = Arc::clone(self);
        let run = async move { service.run(admitted, parts, body, permit).await };
        let task = self.at_most_once_tasks.spawn(run);
        tokio::select! {
            biased;
            response = task => {
                response.unwrap_or_else(|_| error_response(ResultCode::OutcomeUnknown))
            }
            () = self.leaving_flag.work_over() => error_response(ResultCode::OutcomeUnknown),
        }
    }

    async fn run(
        &self,
        admitted: AdmittedRequest,
        parts: Parts,
        body: BufferedBody,
        mut permit: Option<TenantPermit>,
    ) -> PlaneResponse<C> {
        // A request that is cancelled from here on may have run.
        if let Some(permit) = &mut permit {
            permit.set_used(true);
        }
        let (tenant, class) = (admitted.class.tenant.clone(), admitted.class.class.clone());
        let started = admitted.started;
        let response = self.plane.run(admitted, parts, body.bytes.clone()).await;
        if let Some(permit) = &mut permit {
            permit.set_used(!has_not_run(&response));
        }
        self.record_metrics(&tenant, &class, &response, started);
        response
    }

    /// Obtains a permit of the tenant's quota; `None` if the request needs none. The entry that has
    /// forwarded a request has obtained its permit.
    async fn acquire_permit(
        &self,
        admitted: &AdmittedRequest,
        origin: RequestOrigin,
    ) -> Result<Option<TenantPermit>, Duration> {
        let (Some(quota), Some(tenant)) = (&self.quota, &admitted.class.authenticated) else {
            return Ok(None);
        };
        if origin == RequestOrigin::Peers {
            return Ok(None);
        }
        quota.acquire(tenant).await
    }

    /// Refuses a request by its head.
    fn refuse_admission(&self, parts: &Parts, code: ResultCode) -> PlaneResponse<C> {
        if !self.plane.log_refusal(parts, code) {
            self.metrics.record_unlogged_refusal();
        }
        let response = match code {
            ResultCode::ConfigUnconfirmed => {
                self.plane.refusal(parts, code, UNCONFIRMED_RETRY_AFTER)
            }
            _ => unclaimed_error_response(&parts.headers, code),
        };
        let tenant = TenantId::new(DEFAULT_TENANT);
        self.record_metrics(&tenant, DEFAULT_CLASS, &response, Instant::now());
        response
    }

    fn refuse_over_quota(
        &self,
        admitted: &AdmittedRequest,
        parts: &Parts,
        after: Duration,
    ) -> PlaneResponse<C> {
        let response = self.plane.refusal(parts, ResultCode::QuotaExceeded, after);
        let class = &admitted.class;
        self.record_metrics(&class.tenant, &class.class, &response, admitted.started);
        response
    }

    /// Refuses a request that may need longer than this leaving entry works.
    fn refuse_leaving(
        &self,
        admitted: &AdmittedRequest,
        parts: &Parts,
        origin: RequestOrigin,
    ) -> PlaneResponse<C> {
        if origin == RequestOrigin::Peers {
            return ForwardRefusal::Leaving.response();
        }
        let response = self.plane.refusal(parts, ResultCode::Leaving, LEAVING_RETRY_AFTER);
        let class = &admitted.class;
        self.record_metrics(&class.tenant, &class.class, &response, admitted.started);
        response
    }

    /// Buffers a response without `Content-Length` until it is complete.
    ///
    /// HTTP/1.0 has no chunked coding: the response would be close-delimited, and the caller could
    /// not detect truncation.
    async fn buffer_unsized_response(&self, response: PlaneResponse<C>) -> PlaneResponse<C> {
        if response.body().size_hint().exact().is_some() {
            return response;
        }
        let (parts, body) = response.into_parts();
        match read_limited(body, self.settings.max_buffered_response_bytes).await {
            Ok(complete) => Response::from_parts(parts, ResponseBody::Local(Some(complete))),
            Err(_) => error_response(ResultCode::AnswerNotWhole),
        }
    }

    fn addresses_response(&self, uri: &Uri) -> PlaneResponse<C> {
        let body = self.addresses.respond(uri.query().unwrap_or_default());
        let mut response = Response::new(ResponseBody::Local(Some(body)));
        let value = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, value);
        response
    }

    fn record_metrics(
        &self,
        tenant: &TenantId,
        class: &str,
        response: &PlaneResponse<C>,
        started: Instant,
    ) {
        let code = response.headers().get(RESULT_CODE_HEADER);
        let result = code.and_then(|value| value.to_str().ok()).unwrap_or("ok");
        self.metrics.record(tenant.as_str(), class, result, started.elapsed());
    }
}

/// Whether a response of the data plane states that no upstream has run the request. Only this node
/// sets these headers.
fn has_not_run<B>(response: &Response<B>) -> bool {
    let headers = response.headers();
    headers.contains_key(NOT_RUN_HEADER) || headers.contains_key(NOT_DISPATCHED_HEADER)
}
