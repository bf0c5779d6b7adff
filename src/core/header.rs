//! Names of the HTTP headers that heatherfall reads and writes, lower case.

use http::{HeaderName, StatusCode};

/// Result code of a refusal or failure, on answers to callers.
pub const RESULT_CODE_HEADER: &str = "heatherfall-result";
/// Present on an answer to a caller only when the request provably did not run.
pub const NOT_RUN_HEADER: &str = "heatherfall-not-run";
/// Present on a refusal of a request with an idempotency key that this send got no claim for: no
/// upstream saw this send, while an earlier send with the same key may have run.
pub const NOT_DISPATCHED_HEADER: &str = "heatherfall-not-dispatched";
/// Remaining time for the call in milliseconds, set by callers and on every attempt.
pub const DEADLINE_HEADER: &str = "heatherfall-deadline-ms";
/// Attempts beside the first that a call may make, set on every attempt for the calls below it.
pub const RETRY_ALLOWANCE_HEADER: &str = "heatherfall-retry-allowance";
/// Key under which a caller repeats an at-most-once request.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Present on the kept answer of an earlier request with the same idempotency key.
pub const REPLAYED_HEADER: &str = "heatherfall-replayed";
/// Identity of the request, passed on to the upstream.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Upstream's mark: this request was not run.
pub const UPSTREAM_NOT_RUN_HEADER: &str = "x-upstream-not-run";
/// Upstream's mark: it is draining and wants no new work.
pub const UPSTREAM_DRAIN_HEADER: &str = "x-upstream-drain";
/// Upstream's load report in the text form of Open Request Cost Aggregation (ORCA).
pub const LOAD_METRICS_HEADER: &str = "endpoint-load-metrics";

/// Statuses by which an upstream may say that it did not run a request, if the not-run header is
/// set too.
const DEFAULT_NOT_RUN_STATUSES: &[StatusCode] = &[StatusCode::SERVICE_UNAVAILABLE];

/// How upstreams write the load report on their answers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LoadReportFormat {
    /// The text form of Open Request Cost Aggregation, under [`LOAD_METRICS_HEADER`].
    Orca,
    /// Requests running, requests waiting, slots and, if known, the time that work takes at
    /// present in percent of the usual one, separated by commas, under this header.
    Counts(HeaderName),
}

/// The headers that callers, entries and upstreams of a deployment exchange.
///
/// The names are data, because a platform may have chosen its own.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeaderNames {
    /// Identity of a request, on requests.
    pub request_id: HeaderName,
    /// Remaining time in milliseconds, on requests.
    pub deadline: HeaderName,
    /// Attempts beside the first for nested calls; left out if unset.
    pub retry_allowance: Option<HeaderName>,
    /// Upstream's mark that it did not run the request.
    pub not_run: HeaderName,
    /// Statuses with which that mark counts.
    pub not_run_statuses: &'static [StatusCode],
    /// Upstream's mark that it is draining, if there is one.
    pub drain: Option<HeaderName>,
    /// Load report of an upstream.
    pub load: LoadReportFormat,
    /// Identity of the upstream that a request is meant for; another one does not run it.
    pub expected_instance: Option<HeaderName>,
    /// Header that every genuine success of an upstream carries.
    pub response_signature: Option<HeaderName>,
    /// Whether upstreams repeat the identity of the request on its answer.
    pub echoes_request_id: bool,
    /// Statuses that callers take as a promise that the request did not run.
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
            load: LoadReportFormat::Orca,
            expected_instance: None,
            response_signature: None,
            echoes_request_id: false,
            caller_not_run_statuses: &[],
        }
    }
}
