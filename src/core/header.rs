//! Names of the HTTP headers that heatherfall reads and writes, in lower case.

use http::{HeaderName, StatusCode};

/// Result code of a refusal or failure, on responses to callers.
pub const RESULT_CODE_HEADER: &str = "heatherfall-result";
/// Present on a response to a caller only if the request provably did not run.
pub const NOT_RUN_HEADER: &str = "heatherfall-not-run";
/// Present on the refusal of a request whose idempotency key could not be claimed: this request
/// reached no upstream, but an earlier one with the same key may have run.
pub const NOT_DISPATCHED_HEADER: &str = "heatherfall-not-dispatched";
/// Time left for the call in milliseconds, set by callers and on every attempt.
pub const DEADLINE_HEADER: &str = "heatherfall-deadline-ms";
/// Attempts beside the first that nested calls may make; set on every attempt.
pub const RETRY_ALLOWANCE_HEADER: &str = "heatherfall-retry-allowance";
/// Key that identifies the repetitions of an at-most-once request by its caller.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Present on a response that was stored for an earlier request with the same idempotency key.
pub const REPLAYED_HEADER: &str = "heatherfall-replayed";
/// What an entry tells a peer about a request that it forwards; not on requests to upstreams.
pub const FORWARDED_HEADER: &str = "heatherfall-forwarded";
/// Digest of what the configuration of the forwarding entry decides about the request. A peer with
/// another generation takes the request if its own configuration decides the same.
pub const DECISION_HEADER: &str = "heatherfall-decision";
/// Why a peer has not taken a forwarded request, which has not run.
pub const FORWARD_REFUSED_HEADER: &str = "heatherfall-forward-refused";
/// Name of the upstream that has answered a forwarded request; not on responses to callers.
pub const UPSTREAM_HEADER: &str = "heatherfall-upstream";
/// Identity of the request, passed on to the upstream.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Set by an upstream that did not run the request.
pub const UPSTREAM_NOT_RUN_HEADER: &str = "x-upstream-not-run";
/// Drain signal: set by an upstream that is draining and wants no new requests. A value of `0` counts
/// as not set.
pub const UPSTREAM_DRAIN_HEADER: &str = "x-upstream-drain";
/// Load report of an upstream in the text form of Open Request Cost Aggregation (ORCA).
pub const LOAD_METRICS_HEADER: &str = "endpoint-load-metrics";

/// Statuses of upstream responses on which the not-run header counts.
const DEFAULT_NOT_RUN_STATUSES: &[StatusCode] = &[StatusCode::SERVICE_UNAVAILABLE];

/// Format of the load report on upstream responses.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadReportFormat {
    /// The text form of Open Request Cost Aggregation, under [`LOAD_METRICS_HEADER`].
    Orca,
    /// Running requests, waiting requests, slots and, if known, the current service time in percent
    /// of the usual one, separated by commas, under this header.
    Counts(HeaderName),
}

/// Names of the headers that callers, entries and upstreams of a deployment exchange.
///
/// They are configurable, because a platform may have its own names.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeaderNames {
    /// Identity of a request, on requests.
    pub request_id: HeaderName,
    /// Time left in milliseconds, on requests.
    pub deadline: HeaderName,
    /// Attempts beside the first that nested calls may make; not sent if unset.
    pub retry_allowance: Option<HeaderName>,
    /// Set by an upstream that did not run the request.
    pub not_run: HeaderName,
    /// Statuses of upstream responses on which `not_run` counts.
    pub not_run_statuses: &'static [StatusCode],
    /// Drain signal of an upstream, if the deployment has one.
    pub drain: Option<HeaderName>,
    /// Rate limit of an upstream in requests per second, if the deployment has such a header.
    pub rate_limit: Option<HeaderName>,
    /// Time in seconds for which an upstream that answers 503 wants no requests from this node, if
    /// the deployment has such a header.
    pub pause: Option<HeaderName>,
    /// Format of load reports.
    pub load: LoadReportFormat,
    /// Identity of the upstream that a request is sent to; any other instance refuses it.
    pub expected_instance: Option<HeaderName>,
    /// Response header of health checks that names the upstream which answered.
    pub instance: Option<HeaderName>,
    /// Present on every genuine successful response of an upstream; without it, a success may come
    /// from something else.
    pub response_signature: Option<HeaderName>,
    /// Whether upstreams repeat the identity of the request on its response.
    pub echoes_request_id: bool,
    /// API key of a tenant on callers' requests, if the deployment has tenants. It is not forwarded.
    pub api_key: Option<HeaderName>,
    /// Name of the tenant on requests to upstreams, if the deployment has tenants.
    pub tenant: Option<HeaderName>,
    /// Time in milliseconds for which an upstream is still warming up, on responses to load probes.
    pub warm_up: Option<HeaderName>,
    /// Statuses that callers take as a guarantee that the request did not run.
    pub caller_not_run_statuses: &'static [StatusCode],
}

impl Default for HeaderNames {
    fn default() -> Self {
        Self {
            request_id: HeaderName::from_static(REQUEST_ID_HEADER),
            deadline: HeaderName::from_static(DEADLINE_HEADER),
            retry_allowance: Some(HeaderName::from_static(RETRY_ALLOWANCE_HEADER)),
            not_run: HeaderName::from_static(UPSTREAM_NOT_RUN_HEADER),
            not_run_statuses: DEFAULT_NOT_RUN_STATUSES,
            drain: Some(HeaderName::from_static(UPSTREAM_DRAIN_HEADER)),
            rate_limit: None,
            pause: None,
            load: LoadReportFormat::Orca,
            expected_instance: None,
            instance: None,
            response_signature: None,
            echoes_request_id: false,
            api_key: None,
            tenant: None,
            warm_up: None,
            caller_not_run_statuses: &[],
        }
    }
}
