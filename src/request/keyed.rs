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
use crate::request::answer::{
    AnswerBody, AnswerStream, is_not_run, refusal, refusal_without_claim,
};
use crate::request::attempt::UpstreamClient;
use crate::request::exchange::{ExchangeEnd, ExchangeFailure, RequestExchange};
use crate::request::plane::{PlaneAnswer, PlaneCore, clean_answer_headers};
use crate::request::relay::{AnswerRelay, KeptBody};
use crate::request::trace::ExchangeTrace;

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
pub(super) fn claim_intent(key: &str, exchange: &RequestExchange) -> ClaimIntent {
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

impl<C: UpstreamClient, P: UpstreamPicker, L: ClaimLedger> PlaneCore<C, P, L> {
    /// Claims, and dispatches what was granted.
    pub(super) async fn run_keyed(
        self: Arc<Self>,
        mut exchange: RequestExchange,
        intent: ClaimIntent,
        permit: Option<GatePermit>,
        answer: oneshot::Sender<PlaneAnswer<C>>,
    ) {
        exchange.class.mode = IdempotenceMode::AtMostOnce;
        match self.ledger.claim(intent).await {
            ClaimDecision::Granted(ticket) => self.dispatch(exchange, ticket, permit, answer).await,
            ClaimDecision::Finished(outcome) => {
                let _ = answer.send(replayed::<C>(outcome));
            }
            ClaimDecision::Refused(code) => {
                let _ = answer.send(refusal_without_claim(&exchange.headers, code));
            }
        }
    }

    async fn dispatch(
        &self,
        exchange: RequestExchange,
        ticket: ClaimGrant,
        permit: Option<GatePermit>,
        answer: oneshot::Sender<PlaneAnswer<C>>,
    ) {
        let remaining = exchange.deadline.saturating_duration_since(Instant::now());
        if remaining < self.tools().settings.min_attempt_time {
            let _ = answer.send(refusal(ResultCode::NotRun));
            return self.ledger.finish(ticket, ClaimOutcome::DidNotRun).await;
        }
        let mut trace = ExchangeTrace::default();
        match exchange.run(self.tools(), &mut trace).await {
            ExchangeEnd::Failed(ExchangeFailure { code, .. }) => {
                let end =
                    if is_not_run(code) { ClaimOutcome::DidNotRun } else { ClaimOutcome::Unknown };
                let _ = answer.send(refusal(code));
                drop(permit);
                self.ledger.finish(ticket, end).await;
            }
            ExchangeEnd::Answered { answer: upstream, inflight } => {
                let (mut head, body) = upstream.response.into_parts();
                clean_answer_headers(&mut head.headers);
                let (mut relay, relayed) = AnswerRelay::new(body, MAX_STORED_BODY_BYTES);
                let content_type = head.headers.get(CONTENT_TYPE);
                let content_type = content_type.and_then(|value| value.to_str().ok());
                let mut outcome = StoredResponse {
                    status: head.status.as_u16(),
                    content_type: content_type.unwrap_or_default().to_owned(),
                    ..StoredResponse::default()
                };
                let stream = AnswerStream::new(relayed, exchange.deadline, ());
                let _ = answer.send(Response::from_parts(head, AnswerBody::Relayed(stream)));
                let limit = Instant::now() + MAX_RECORD_DELAY;
                let kept = tokio::time::timeout_at(limit, relay.pass_kept_part()).await;
                let kept = kept.unwrap_or_else(|_| KeptBody::dropped());
                outcome.body = kept.bytes;
                outcome.is_body_dropped = kept.is_dropped;
                let recorded = self.ledger.finish(ticket, ClaimOutcome::Ran(outcome));
                let passed = async {
                    relay.pass_rest().await;
                    drop((inflight, permit));
                };
                tokio::join!(recorded, passed);
            }
        }
    }
}

/// The kept answer of an earlier request, or the code that says that it ran.
fn replayed<C: UpstreamClient>(outcome: StoredResponse) -> PlaneAnswer<C> {
    if outcome.is_body_dropped {
        return refusal(ResultCode::AlreadyRan);
    }
    let mut response = Response::new(AnswerBody::Own(Some(outcome.body)));
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
