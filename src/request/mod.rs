//! The data plane: one request from admission to response, without sockets.
//!
//! ```text
//! head -> classify -> RequestClass -> pick -> load check -> attempt -> outcome -> response
//!                                      ^                                 |
//!                                      +--------- ExecutionState --------+
//! ```
//!
//! [`ExecutionState`] is the state machine that decides on attempts, retries and hedges without
//! I/O; [`RequestExecution`] performs the I/O for it.

mod access_log;
mod admission;
mod attempt;
mod attempt_reporter;
mod attempt_trace;
mod authentication;
mod body_watch;
mod classify;
mod crash_watch;
mod data_plane;
mod execution;
mod execution_settings;
mod execution_state;
mod forward_attempt;
mod forward_gate;
mod forward_header;
mod forward_table;
mod head_validation;
mod hedge_tally;
mod keyed;
mod load_check;
mod refusal_log;
mod request_decision;
mod response;
mod response_relay;
mod run_guard;
mod run_watch;
mod upstream_notices;
mod upstream_selection;

pub use self::admission::AdmittedRequest;
pub(crate) use self::attempt::is_final_status;
pub use self::attempt::{
    AttemptOutcome, AttemptRequest, ConnectionPolicy, NotRunProof, UnknownCause, UpstreamClient,
    UpstreamResponse,
};
pub use self::attempt_trace::AttemptTrace;
pub(crate) use self::classify::{DEFAULT_CLASS, DEFAULT_TENANT, matches_request};
pub use self::classify::{RequestClass, RequestHead, classify};
pub use self::crash_watch::CallerAddress;
pub(crate) use self::crash_watch::{lifetime_digest, log_refusal};
pub use self::data_plane::{DataPlane, PlaneResponse, ResponseGuard};
pub use self::execution::{
    ExecutionContext, ExecutionFailure, ExecutionOutcome, RepeatBudgetShare, RequestExecution,
};
pub use self::execution_settings::{ExecutionSettings, HedgeTrigger};
pub use self::execution_state::{
    AttemptIndex, AttemptPolicy, AttemptRole, ConfigConfirmation, ExecutionAction, ExecutionEvent,
    ExecutionState, OutcomeKind, StartRefusal, StepContext,
};
pub use self::forward_attempt::PeerForwarder;
pub use self::forward_gate::{ForwardAdmissionError, ForwardRefusal};
pub use self::forward_header::{AttemptOrder, ForwardKey, ForwardedRequest, SignedParts};
pub use self::forward_table::{ForwardKeys, ForwardPeers, ForwardTable};
pub use self::head_validation::{validate_head, validate_host};
pub(crate) use self::load_check::is_other_instance;
pub use self::load_check::{LoadCheckSettings, LoadChecker, LoadProbeOutcome, probe_load};
pub use self::refusal_log::RefusalLog;
pub use self::request_decision::RequestDecision;
pub use self::response::{
    BodyObserver, CallerResponse, ResponseBody, ResponseBodyError, ResponseStream,
    RetryAfterFormat, error_response, error_response_retry_after, is_not_run,
    unclaimed_error_response,
};
pub use self::response_relay::RelayedBody;
pub use self::run_watch::{RunCheck, RunId, RunWatch, WatchedRun};
pub(crate) use self::upstream_notices::record_late_response;
