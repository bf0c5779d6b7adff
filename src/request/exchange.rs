//! The attempts of one request.
//!
//! An idempotent request goes to another upstream after any failure; an at-most-once request only
//! after proof that the attempt before did not run. The snapshot is the one of admission, so a
//! configuration change in between changes nothing.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, StatusCode, Uri};
use tokio::time::Instant;

use crate::balance::{AttemptReport, AttemptResult, LoadReport, PickRequest, UpstreamPicker};
use crate::core::{
    ConfigSnapshot, DEADLINE_HEADER, IdempotenceMode, InflightGuard, ResultCode, RouteRecord,
    UPSTREAM_DRAIN_HEADER, UPSTREAM_NOT_RUN_HEADER, UpstreamKey, UpstreamState,
};
use crate::request::attempt::{
    AttemptOutcome, AttemptRequest, ConnectionChoice, NotRunProof, UnknownCause, UpstreamAnswer,
    UpstreamClient,
};
use crate::request::classify::RequestClass;

/// Limits on the attempts of one request.
#[derive(Clone, Debug)]
pub struct ExchangeSettings {
    /// Time that must be left for another attempt to be started.
    pub min_attempt_time: Duration,
}

impl Default for ExchangeSettings {
    fn default() -> Self {
        Self { min_attempt_time: Duration::from_millis(1) }
    }
}

/// A request that has been admitted.
#[derive(Debug)]
pub struct RequestExchange {
    /// Configuration of admission.
    pub snapshot: Arc<ConfigSnapshot>,
    /// Its class under that configuration.
    pub class: RequestClass,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// Time by which the answer must have begun.
    pub deadline: Instant,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum ExchangeEnd<B> {
    /// An upstream's answer.
    Answered {
        /// The answer.
        answer: UpstreamAnswer<B>,
        /// Counts the request as in flight at its upstream until the answer has been passed on.
        inflight: InflightGuard,
    },
    /// No answer; the code says what is known.
    Failed(ResultCode),
}

impl RequestExchange {
    /// Runs attempts until one is answered or no further one is allowed.
    pub async fn run<C: UpstreamClient, P: UpstreamPicker>(
        &self,
        client: &C,
        picker: &P,
        settings: &ExchangeSettings,
    ) -> ExchangeEnd<C::Body> {
        let Some(route) = self.class.route.and_then(|key| self.snapshot.route(key)) else {
            return ExchangeEnd::Failed(ResultCode::NoRoute);
        };
        let mut tried: Vec<UpstreamKey> = Vec::new();
        let mut failure = ResultCode::NoUpstream;
        while tried.len() < route.spec.retry.max_attempts.max(1) as usize {
            if self.deadline.saturating_duration_since(Instant::now()) < settings.min_attempt_time {
                return ExchangeEnd::Failed(past_deadline(failure));
            }
            let pick = PickRequest { snapshot: &self.snapshot, route, tried: &tried };
            let Some(key) = picker.pick(pick) else { break };
            let Some(upstream) = self.snapshot.upstreams.get(key) else { break };
            tried.push(key);
            let inflight = upstream.enter();
            let started = Instant::now();
            let outcome = self.attempt(client, upstream, route).await;
            picker.observe(upstream, report_of(&outcome, started.elapsed()));
            match outcome {
                AttemptOutcome::Answered(answer) => {
                    return ExchangeEnd::Answered { answer, inflight };
                }
                AttemptOutcome::NotRun(_) => failure = worse(failure, ResultCode::NotRun),
                AttemptOutcome::Unknown(cause) => {
                    failure = worse(failure, code_of(cause));
                    if self.class.mode == IdempotenceMode::AtMostOnce {
                        break;
                    }
                }
            }
        }
        ExchangeEnd::Failed(failure)
    }

    async fn attempt<C: UpstreamClient>(
        &self,
        client: &C,
        upstream: &Arc<UpstreamState>,
        route: &RouteRecord,
    ) -> AttemptOutcome<C::Body> {
        let is_idempotent = self.class.mode == IdempotenceMode::Idempotent;
        let attempt_end = Instant::now() + route.spec.retry.attempt_timeout;
        let deadline = if is_idempotent { attempt_end.min(self.deadline) } else { self.deadline };
        let connection =
            if is_idempotent { ConnectionChoice::Pooled } else { ConnectionChoice::Proven };
        let mut headers = self.headers.clone();
        let remaining = deadline.saturating_duration_since(Instant::now());
        headers.insert(DEADLINE_HEADER, HeaderValue::from(remaining.as_millis() as u64));
        let request = AttemptRequest {
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers,
            body: self.body.clone(),
            deadline,
            connection,
        };
        let sent = client.send(upstream, request);
        let outcome = match tokio::time::timeout_at(deadline, sent).await {
            Ok(outcome) => outcome,
            Err(_) => AttemptOutcome::Unknown(UnknownCause::TimedOut),
        };
        inspect(outcome)
    }
}

/// Takes an answer with the upstream's not-run mark as proof that the request did not run.
fn inspect<B>(outcome: AttemptOutcome<B>) -> AttemptOutcome<B> {
    let AttemptOutcome::Answered(answer) = outcome else { return outcome };
    let is_marked = answer.response.headers().contains_key(UPSTREAM_NOT_RUN_HEADER);
    if is_marked && answer.response.status() == StatusCode::SERVICE_UNAVAILABLE {
        let is_draining = answer.response.headers().contains_key(UPSTREAM_DRAIN_HEADER);
        return AttemptOutcome::NotRun(NotRunProof::UpstreamMark { is_draining });
    }
    AttemptOutcome::Answered(answer)
}

fn report_of<B>(outcome: &AttemptOutcome<B>, latency: Duration) -> AttemptReport {
    let mut report =
        AttemptReport { latency, result: AttemptResult::Answered, load: None, is_draining: false };
    match outcome {
        AttemptOutcome::Answered(answer) => {
            let headers = answer.response.headers();
            report.load = LoadReport::from_headers(headers);
            report.is_draining = headers.contains_key(UPSTREAM_DRAIN_HEADER);
            if answer.response.status().is_server_error() {
                report.result = AttemptResult::ServerError;
            }
        }
        AttemptOutcome::NotRun(NotRunProof::UpstreamMark { is_draining }) => {
            report.result = AttemptResult::Shed;
            report.is_draining = *is_draining;
        }
        AttemptOutcome::NotRun(_) => report.result = AttemptResult::ConnectFailed,
        AttemptOutcome::Unknown(UnknownCause::TimedOut) => report.result = AttemptResult::TimedOut,
        AttemptOutcome::Unknown(_) => report.result = AttemptResult::Broken,
    }
    report
}

fn code_of(cause: UnknownCause) -> ResultCode {
    match cause {
        UnknownCause::ConnectionBroken => ResultCode::OutcomeUnknown,
        UnknownCause::TimedOut => ResultCode::DeadlineExceeded,
        UnknownCause::AnswerNotWhole => ResultCode::AnswerNotWhole,
    }
}

/// Keeps an unknown outcome over a later proof of not run: the request as a whole is unknown.
fn worse(earlier: ResultCode, later: ResultCode) -> ResultCode {
    match earlier {
        ResultCode::NoUpstream | ResultCode::NotRun => later,
        _ => earlier,
    }
}

fn past_deadline(failure: ResultCode) -> ResultCode {
    match failure {
        ResultCode::NoUpstream | ResultCode::NotRun => ResultCode::NotRun,
        other => other,
    }
}
