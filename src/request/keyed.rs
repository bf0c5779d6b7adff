//! At-most-once requests that carry an idempotency key.
//!
//! Each runs in a task of the plane: claim, exchange, relay, record. The task goes on when the
//! caller leaves, so that the outcome of a request that was dispatched is always recorded.

use std::sync::Arc;
use std::time::Duration;

use http::header::CONTENT_TYPE;
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use sha2::{Digest, Sha256};
use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::balance::UpstreamPicker;
use crate::core::{IDEMPOTENCY_KEY_HEADER, IdempotenceMode, REPLAYED_HEADER, ResultCode};
use crate::ledger::{
    ClaimDecision, ClaimGrant, ClaimIntent, ClaimLedger, ClaimOutcome, MAX_STORED_BODY_BYTES,
    StoredResponse,
};
use crate::limits::GatePermit;
use crate::membership::ConfigFreshness;
use crate::request::attempt::UpstreamClient;
use crate::request::attempt_trace::AttemptTrace;
use crate::request::data_plane::{DataPlaneCore, PlaneResponse, sanitize_response_headers};
use crate::request::execution::{ExecutionFailure, ExecutionOutcome, RequestExecution};
use crate::request::response::{
    ResponseBody, ResponseStream, error_response, is_not_run, unclaimed_error_response,
};
use crate::request::response_relay::{ResponseRelay, StoredBody};

/// Time after the head of an answer at which its outcome is recorded without the body.
const MAX_RECORD_DELAY: Duration = Duration::from_secs(10);

/// The key of a request that has to be claimed before it is dispatched.
///
/// A node whose configuration may be old cannot rely on a rule that marks the request idempotent,
/// and takes a key as the caller's word that the request must not run twice.
///
/// # Errors
///
/// Returns HF-1023 for a key that is not text.
pub(super) fn claim_key<'a>(
    headers: &'a HeaderMap,
    mode: IdempotenceMode,
    freshness: &ConfigFreshness,
) -> Result<Option<&'a str>, ResultCode> {
    if mode == IdempotenceMode::Idempotent && freshness.is_confirmed() {
        return Ok(None);
    }
    let Some(value) = headers.get(IDEMPOTENCY_KEY_HEADER) else { return Ok(None) };
    value.to_str().map(Some).map_err(|_| ResultCode::KeyMalformed)
}

/// What the ledger is asked for this request.
pub(super) fn claim_intent(key: &str, exchange: &RequestExecution) -> ClaimIntent {
    let mut digest = Sha256::new();
    for part in [exchange.method.as_str(), &exchange.uri.to_string()] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    digest.update(&exchange.body);
    ClaimIntent {
        tenant: exchange.class.tenant.clone(),
        key: key.to_owned(),
        digest: digest.finalize().into(),
        generation: exchange.snapshot.generation,
        deadline: exchange.deadline,
    }
}

impl<C: UpstreamClient, P: UpstreamPicker, L: ClaimLedger> DataPlaneCore<C, P, L> {
    /// Claims, and dispatches what was granted.
    pub(super) async fn run_keyed(
        self: Arc<Self>,
        mut exchange: RequestExecution,
        intent: ClaimIntent,
        permit: Option<GatePermit>,
        answer: oneshot::Sender<PlaneResponse<C>>,
    ) {
        exchange.class.mode = IdempotenceMode::AtMostOnce;
        match self.ledger.claim(intent).await {
            ClaimDecision::Granted(ticket) => self.dispatch(exchange, ticket, permit, answer).await,
            ClaimDecision::Finished(outcome) => {
                let _ = answer.send(replayed::<C>(outcome));
            }
            ClaimDecision::Refused(code) => {
                let _ = answer.send(unclaimed_error_response(&exchange.headers, code));
            }
        }
    }

    async fn dispatch(
        &self,
        exchange: RequestExecution,
        ticket: ClaimGrant,
        permit: Option<GatePermit>,
        answer: oneshot::Sender<PlaneResponse<C>>,
    ) {
        let remaining = exchange.deadline.saturating_duration_since(Instant::now());
        if remaining < self.context().settings.min_attempt_time {
            let _ = answer.send(error_response(ResultCode::NotRun));
            return self.ledger.finish(ticket, ClaimOutcome::DidNotRun).await;
        }
        let mut trace = AttemptTrace::default();
        match exchange.run(self.context(), &mut trace).await {
            ExecutionOutcome::Failed(ExecutionFailure { code, .. }) => {
                let end =
                    if is_not_run(code) { ClaimOutcome::DidNotRun } else { ClaimOutcome::Unknown };
                let _ = answer.send(error_response(code));
                drop(permit);
                self.ledger.finish(ticket, end).await;
            }
            ExecutionOutcome::Answered { answer: upstream, inflight } => {
                let (mut head, body) = upstream.response.into_parts();
                sanitize_response_headers(&mut head.headers);
                let (mut relay, relayed) = ResponseRelay::new(body, MAX_STORED_BODY_BYTES);
                let content_type = head.headers.get(CONTENT_TYPE);
                let content_type = content_type.and_then(|value| value.to_str().ok());
                let mut outcome = StoredResponse {
                    status: head.status.as_u16(),
                    content_type: content_type.unwrap_or_default().to_owned(),
                    ..StoredResponse::default()
                };
                let stream = ResponseStream::new(relayed, exchange.deadline, ());
                let _ = answer.send(Response::from_parts(head, ResponseBody::Relayed(stream)));
                let limit = Instant::now() + MAX_RECORD_DELAY;
                let kept = tokio::time::timeout_at(limit, relay.relay_stored_part()).await;
                let kept = kept.unwrap_or_else(|_| StoredBody::not_stored());
                outcome.body = kept.bytes;
                outcome.is_body_dropped = kept.is_dropped;
                let recorded = self.ledger.finish(ticket, ClaimOutcome::Ran(outcome));
                let passed = async {
                    relay.relay_rest().await;
                    drop((inflight, permit));
                };
                tokio::join!(recorded, passed);
            }
        }
    }
}

/// The kept answer of an earlier request, or the code that says that it ran.
fn replayed<C: UpstreamClient>(outcome: StoredResponse) -> PlaneResponse<C> {
    if outcome.is_body_dropped {
        return error_response(ResultCode::AlreadyRan);
    }
    let mut response = Response::new(ResponseBody::Local(Some(outcome.body)));
    *response.status_mut() = StatusCode::from_u16(outcome.status).unwrap_or(StatusCode::OK);
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&outcome.content_type)
        && !outcome.content_type.is_empty()
    {
        headers.insert(CONTENT_TYPE, value);
    }
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    response
}
