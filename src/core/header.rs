//! Names of the HTTP headers that heatherfall reads and writes, lower case.

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
