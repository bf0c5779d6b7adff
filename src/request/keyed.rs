//! At-most-once requests with an idempotency key.
//!
//! Each runs in a task of the data plane: claim the key, run the attempts, relay the response,
//! record the outcome. The task outlives the caller's connection, so that the outcome of a
//! dispatched request is always recorded.

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
use crate::request::attempt::{UpstreamClient, is_final_status};
use crate::request::attempt_trace::AttemptTrace;
use crate::request::crash_watch::content_digest;
use crate::request::data_plane::{DataPlaneCore, PlaneResponse, sanitize_response_headers};
use crate::request::execution::{ExecutionFailure, ExecutionOutcome, RequestExecution};
use crate::request::response::{
    ResponseBody, ResponseStream, error_response, is_not_run, unclaimed_error_response,
};
use crate::request::response_relay::{ResponseRelay, StoredBody};

/// If the body has not arrived this long after the head of a response, the outcome is recorded
/// without it.
const MAX_RECORD_DELAY: Duration = Duration::from_secs(10);

/// Idempotency key that must be claimed before the request is dispatched; none if none must be.
///
/// A node whose configuration is not confirmed cannot rely on a rule that marks the request
/// idempotent. It then treats every request with a key as at-most-once.
///
/// # Errors
///
/// Returns HF-1023 for a key that is not visible ASCII.
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

/// Builds the claim for this request; its digest covers method, target and body.
pub(super) fn claim_intent(key: &str, execution: &RequestExecution) -> ClaimIntent {
    let mut digest = Sha256::new();
    for part in [execution.method.as_str(), &execution.uri.to_string()] {
        digest.update((part.len() as u64).to_be_bytes());
        digest.update(part);
    }
    digest.update(&execution.body);
    ClaimIntent {
        tenant: execution.class.tenant.clone(),
        key: key.to_owned(),
        digest: digest.finalize().into(),
        generation: execution.snapshot.generation,
        deadline: execution.deadline,
    }
}

impl<C: UpstreamClient, P: UpstreamPicker, L: ClaimLedger> DataPlaneCore<C, P, L> {
    /// Claims the key and dispatches the request if the claim is granted.
    pub(super) async fn run_keyed(
        self: Arc<Self>,
        mut execution: RequestExecution,
        intent: ClaimIntent,
        permit: Option<GatePermit>,
        response_sender: oneshot::Sender<PlaneResponse<C>>,
    ) {
        execution.class.mode = IdempotenceMode::AtMostOnce;
        match self.ledger.claim(intent).await {
            ClaimDecision::Granted(grant) => {
                self.dispatch(execution, grant, permit, response_sender).await
            }
            ClaimDecision::Finished(stored) => {
                let _ = response_sender.send(replayed_response::<C>(stored));
            }
            ClaimDecision::Refused(code) => {
                let _ = response_sender.send(unclaimed_error_response(&execution.headers, code));
            }
        }
    }

    async fn dispatch(
        &self,
        execution: RequestExecution,
        grant: ClaimGrant,
        permit: Option<GatePermit>,
        response_sender: oneshot::Sender<PlaneResponse<C>>,
    ) {
        let remaining = execution.deadline.saturating_duration_since(Instant::now());
        if remaining < self.context().settings.min_attempt_time {
            let _ = response_sender.send(error_response(ResultCode::NotRun));
            return self.ledger.finish(grant, ClaimOutcome::DidNotRun).await;
        }
        let mut trace = AttemptTrace::default();
        match execution.run(self.context(), &mut trace).await {
            ExecutionOutcome::Failed(ExecutionFailure { code, .. }) => {
                let claim_outcome =
                    if is_not_run(code) { ClaimOutcome::DidNotRun } else { ClaimOutcome::Unknown };
                let _ = response_sender.send(error_response(code));
                drop(permit);
                self.ledger.finish(grant, claim_outcome).await;
            }
            ExecutionOutcome::Answered { response: upstream, inflight, .. } => {
                let ctx = self.context();
                execution.record_whole_response(
                    content_digest(&execution.body),
                    ctx.quarantine,
                    &ctx.settings.headers,
                );
                let (mut head, body) = upstream.response.into_parts();
                sanitize_response_headers(&mut head.headers);
                let (mut relay, relayed) = ResponseRelay::new(body, MAX_STORED_BODY_BYTES);
                let content_type = head.headers.get(CONTENT_TYPE);
                let content_type = content_type.and_then(|value| value.to_str().ok());
                let mut stored = StoredResponse {
                    status: head.status.as_u16(),
                    content_type: content_type.unwrap_or_default().to_owned(),
                    ..StoredResponse::default()
                };
                let stream = ResponseStream::new(relayed, execution.deadline, ());
                let _ =
                    response_sender.send(Response::from_parts(head, ResponseBody::Relayed(stream)));
                let record_deadline = Instant::now() + MAX_RECORD_DELAY;
                let stored_body =
                    tokio::time::timeout_at(record_deadline, relay.relay_stored_part()).await;
                let stored_body = stored_body.unwrap_or_else(|_| StoredBody::not_stored());
                stored.body = stored_body.bytes;
                stored.is_body_dropped = stored_body.is_dropped;
                let recorded = self.ledger.finish(grant, ClaimOutcome::Ran(stored));
                let relayed_rest = async {
                    relay.relay_rest().await;
                    drop((inflight, permit));
                };
                tokio::join!(recorded, relayed_rest);
            }
        }
    }
}

/// The stored response of the request that ran with this key, or HF-1026 if its body was not
/// stored or its status is none that a response can have.
fn replayed_response<C: UpstreamClient>(stored: StoredResponse) -> PlaneResponse<C> {
    let status = StatusCode::from_u16(stored.status).ok().filter(|it| is_final_status(*it));
    let Some(status) = status.filter(|_| !stored.is_body_dropped) else {
        return error_response(ResultCode::AlreadyRan);
    };
    let mut response = Response::new(ResponseBody::Local(Some(stored.body)));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    if let Ok(value) = HeaderValue::from_str(&stored.content_type)
        && !stored.content_type.is_empty()
    {
        headers.insert(CONTENT_TYPE, value);
    }
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    response
}
