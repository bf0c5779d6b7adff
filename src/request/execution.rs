//! Carries out the attempts that [`ExchangeState`] decides on.
//!
//! At most two attempts are in flight at a time: one, and its hedge. Whatever is still in flight
//! when the request ends is dropped, which closes its connection. The snapshot is the one of
//! admission, so a configuration change in between changes nothing.

use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::{Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Uri};
use tokio::time::Instant;

use crate::balance::UpstreamPicker;
use crate::core::{
    ConfigSnapshot, IdempotenceMode, InflightGuard, PartIndex, ResultCode, RouteRecord,
};
use crate::limits::{RouteLimits, WindowBudget};
use crate::membership::ConfigFreshness;
use crate::request::attempt::{
    AttemptOutcome, AttemptRequest, ConnectionPolicy, UnknownCause, UpstreamClient,
    UpstreamResponse,
};
use crate::request::attempt_reporter::{AttemptReporter, ReporterContext, validate_outcome};
use crate::request::attempt_trace::AttemptTrace;
use crate::request::classify::RequestClass;
use crate::request::execution_settings::{ExecutionSettings, HedgeTrigger, hedge_interval};
use crate::request::execution_state::{
    AttemptIndex, AttemptPolicy, AttemptRole, ConfigConfirmation, ExecutionAction, ExecutionEvent,
    ExecutionState, OutcomeKind, StartRefusal, StepContext,
};
use crate::request::load_check::LoadChecker;
use crate::request::upstream_selection::{AttemptHistory, PreparedAttempt};

/// What an exchange works with.
#[derive(Debug)]
pub struct ExecutionContext<'a, C, P> {
    /// Carries out attempts.
    pub client: &'a C,
    /// Chooses upstreams.
    pub picker: &'a P,
    /// Whether the configuration is known to be the newest.
    pub freshness: &'a ConfigFreshness,
    /// Limits on attempts.
    pub settings: &'a ExecutionSettings,
    /// Asks upstreams for their load before a request goes out, if they are asked.
    pub load_checker: Option<&'a LoadChecker>,
}

/// A request that has been admitted.
#[derive(Debug)]
pub struct RequestExecution {
    /// Configuration of admission.
    pub snapshot: Arc<ConfigSnapshot>,
    /// Its class under that configuration.
    pub class: RequestClass,
    /// Limits of its route.
    pub limits: Arc<RouteLimits>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// When the request was admitted.
    pub started: Instant,
    /// Time by which the answer must be whole.
    pub deadline: Instant,
    /// Attempts beside the first that the caller allows.
    pub retry_allowance: Option<u32>,
    /// Part of a split route that the request belongs to.
    pub part: Option<PartIndex>,
    /// What pays for repeats in place of the route's own budgets.
    pub repeat_budget_share: Option<RepeatBudgetShare>,
}

/// This entry's share of the repeats that the deployment allows.
#[derive(Clone, Debug)]
pub struct RepeatBudgetShare {
    /// The window.
    pub window: Arc<WindowBudget>,
    /// Entries that share the allowance.
    pub entries: u32,
}

/// How an exchange ended.
#[derive(Debug)]
pub enum ExecutionOutcome<B> {
    /// An upstream's answer.
    Answered {
        /// The answer.
        answer: UpstreamResponse<B>,
        /// Counts the request as in flight at its upstream until the answer has been passed on.
        inflight: InflightGuard,
    },
    /// No answer.
    Failed(ExecutionFailure),
}

/// Why there is no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExecutionFailure {
    /// What is known.
    pub code: ResultCode,
    /// Time after which another request may fare better, if that is known.
    pub retry_after: Option<Duration>,
}

/// An attempt that has ended.
struct FinishedAttempt<B> {
    index: AttemptIndex,
    end: OutcomeKind,
    answer: Option<UpstreamResponse<B>>,
    inflight: InflightGuard,
}

impl RequestExecution {
    /// Runs attempts until one is answered or no further one is allowed, and notes each in `trace`.
    pub async fn run<C: UpstreamClient, P: UpstreamPicker>(
        &self,
        tools: ExecutionContext<'_, C, P>,
        trace: &mut AttemptTrace,
    ) -> ExecutionOutcome<C::Body> {
        let Some(route) = self.class.route.and_then(|key| self.snapshot.route(key)) else {
            let code = ResultCode::NoRoute;
            return ExecutionOutcome::Failed(ExecutionFailure { code, retry_after: None });
        };
        let mut state = ExecutionState::new(self.plan(route, tools.settings));
        let mut history =
            AttemptHistory { tried: Vec::new(), began: Instant::now(), pace: None, checks_sent: 0 };
        let mut kept: Option<FinishedAttempt<C::Body>> = None;
        let mut slot = pin!(None);
        let mut other_slot = pin!(None);
        let mut event = ExecutionEvent::Admitted;
        loop {
            match state.step(event, context(&event, tools.freshness)) {
                ExecutionAction::Start(role) => {
                    let prepared = tokio::select! {
                        biased;
                        finished = slot_end(slot.as_mut()) => Err(finished),
                        finished = slot_end(other_slot.as_mut()) => Err(finished),
                        start = self.prepare_attempt(role, route, &tools, &mut history, trace) => Ok(start),
                    };
                    let prepared = match prepared {
                        Ok(prepared) => prepared,
                        Err(finished) => {
                            // The running attempt ended while its hedge was being prepared.
                            let refused = ExecutionEvent::StartRefused(StartRefusal::NoUpstream);
                            state.step(refused, context(&refused, tools.freshness));
                            event = note_end(finished, trace, &mut kept);
                            continue;
                        }
                    };
                    match prepared {
                        Ok(start) => {
                            trace.started(start.role, &start.upstream);
                            history.began = Instant::now();
                            history.pace = start.pace;
                            history.tried.push(start.key);
                            let attempt = Some(self.attempt(start, route, &tools));
                            if slot.is_none() {
                                slot.set(attempt)
                            } else {
                                other_slot.set(attempt)
                            }
                            event = ExecutionEvent::Started;
                        }
                        Err(refusal) => {
                            trace.refused(role, refusal);
                            event = ExecutionEvent::StartRefused(refusal);
                        }
                    }
                }
                ExecutionAction::Wait { until } => {
                    let finished = tokio::select! {
                        biased;
                        finished = slot_end(slot.as_mut()) => finished,
                        finished = slot_end(other_slot.as_mut()) => finished,
                        () = tokio::time::sleep_until(until) => {
                            event = ExecutionEvent::TimerFired;
                            continue;
                        }
                    };
                    event = note_end(finished, trace, &mut kept);
                }
                ExecutionAction::Respond(index) => return answered(kept, index),
                ExecutionAction::Fail(code) => {
                    let pick = self.pick_request(AttemptRole::Retry, route, &history.tried, &tools);
                    let retry_after = tools.picker.retry_after(pick);
                    return ExecutionOutcome::Failed(ExecutionFailure { code, retry_after });
                }
            }
        }
    }

    fn plan(&self, route: &RouteRecord, settings: &ExecutionSettings) -> AttemptPolicy {
        let policy = &route.spec.retry;
        let configured = policy.max_attempts.saturating_sub(1);
        let allowed = self.retry_allowance.map_or(configured, |allowed| allowed.min(configured));
        let hedge = &route.spec.hedge;
        let may_hedge = hedge.enabled && self.class.mode == IdempotenceMode::Idempotent;
        let interval = match settings.hedge_trigger {
            HedgeTrigger::LatencyQuantile => None,
            HedgeTrigger::ExpectedGain => {
                Some(hedge_interval(self.limits.cost_estimator.service_time(route)))
            }
        };
        let delay = match settings.hedge_trigger {
            HedgeTrigger::LatencyQuantile => self.limits.latency.quantile(hedge.quantile),
            HedgeTrigger::ExpectedGain => interval,
        };
        let delay = delay.filter(|_| may_hedge);
        AttemptPolicy {
            mode: self.class.mode,
            deadline: self.deadline,
            min_attempt_time: settings.min_attempt_time,
            retry_allowance: allowed,
            hedge_delay: delay.map(|delay| delay.max(settings.min_hedge_delay)),
            hedge_interval: interval,
        }
    }

    async fn attempt<C: UpstreamClient, P: UpstreamPicker>(
        &self,
        start: PreparedAttempt,
        route: &RouteRecord,
        tools: &ExecutionContext<'_, C, P>,
    ) -> FinishedAttempt<C::Body> {
        let names = &tools.settings.headers;
        let mut request = self.request_of(start.role, route, tools);
        if let Some(name) = &names.expected_instance
            && let Ok(value) = HeaderValue::from_str(&start.upstream.name)
        {
            request.headers.insert(name, value);
        }
        let deadline = request.deadline;
        let context = ReporterContext {
            route,
            limits: &self.limits,
            ratios: &self.snapshot.budget,
            headers: names,
        };
        let watch = AttemptReporter::new(tools.picker, &start.upstream, context);
        let sent = tools.client.send(&start.upstream, request);
        let outcome = match tokio::time::timeout_at(deadline, sent).await {
            Ok(outcome) => validate_outcome(outcome, self.headers.get(&names.request_id), names),
            Err(_) => AttemptOutcome::Unknown(UnknownCause::TimedOut),
        };
        let end = watch.finish(&outcome);
        let answer = match outcome {
            AttemptOutcome::Answered(answer) => Some(answer),
            AttemptOutcome::NotRun(_) | AttemptOutcome::Unknown(_) => None,
        };
        FinishedAttempt { index: start.index, end, answer, inflight: start.inflight }
    }

    fn request_of<C, P>(
        &self,
        role: AttemptRole,
        route: &RouteRecord,
        tools: &ExecutionContext<'_, C, P>,
    ) -> AttemptRequest {
        let settings = tools.settings;
        let is_confirmed = tools.freshness.is_confirmed();
        let is_idempotent = self.class.mode == IdempotenceMode::Idempotent;
        let now = Instant::now();
        let allowance = self.passed_allowance(role, route);
        let mut deadline = self.deadline;
        if is_idempotent {
            deadline = deadline.min(now + route.spec.retry.attempt_timeout);
        }
        if is_idempotent && is_confirmed && allowance > 0 {
            let left = self.deadline.saturating_duration_since(now);
            deadline = deadline.min(now + left.mul_f64(settings.first_attempt_ratio));
        }
        let connection = if is_idempotent {
            ConnectionPolicy::AnyPooled
        } else {
            ConnectionPolicy::NewOrVerified
        };
        let remaining = deadline.saturating_duration_since(now);
        let mut headers = self.headers.clone();
        let names = &settings.headers;
        headers.insert(&names.deadline, HeaderValue::from(remaining.as_millis() as u64));
        if let Some(name) = &names.retry_allowance {
            headers.insert(name, HeaderValue::from(allowance));
        }
        AttemptRequest {
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers,
            body: self.body.clone(),
            deadline,
            connection,
        }
    }

    /// Allowance for the calls that the upstream makes in turn.
    ///
    /// Only the first attempt passes its own on. With allowance `a`, a failing call at the bottom
    /// of `d` nested calls is then attempted at most `1 + a * d` times, not `(1 + a)^d` times.
    fn passed_allowance(&self, role: AttemptRole, route: &RouteRecord) -> u32 {
        if role != AttemptRole::First {
            return 0;
        }
        let configured = route.spec.retry.max_attempts.saturating_sub(1);
        self.retry_allowance.map_or(configured, |allowed| allowed.min(configured))
    }
}

/// Circumstances of a step. The standing matters only where a further attempt may be allowed.
fn context(event: &ExecutionEvent, freshness: &ConfigFreshness) -> StepContext {
    let is_decision = matches!(event, ExecutionEvent::Ended { .. } | ExecutionEvent::TimerFired);
    let is_confirmed = is_decision && freshness.is_confirmed();
    let standing =
        if is_confirmed { ConfigConfirmation::Confirmed } else { ConfigConfirmation::Unconfirmed };
    StepContext { now: Instant::now(), confirmation: standing }
}

/// Waits for the end of the attempt in a slot and empties it; an empty slot never ends.
async fn slot_end<F: Future>(mut slot: Pin<&mut Option<F>>) -> F::Output {
    std::future::poll_fn(|cx| {
        let Some(attempt) = slot.as_mut().as_pin_mut() else { return Poll::Pending };
        let output = ready!(attempt.poll(cx));
        slot.set(None);
        Poll::Ready(output)
    })
    .await
}

/// Notes the end of an attempt and keeps its answer.
fn note_end<B>(
    finished: FinishedAttempt<B>,
    trace: &mut AttemptTrace,
    kept: &mut Option<FinishedAttempt<B>>,
) -> ExecutionEvent {
    trace.ended(finished.index, finished.end);
    let event = ExecutionEvent::Ended { attempt: finished.index, end: finished.end };
    if finished.answer.is_some() {
        *kept = Some(finished);
    }
    event
}

fn answered<B>(kept: Option<FinishedAttempt<B>>, index: AttemptIndex) -> ExecutionOutcome<B> {
    match kept {
        Some(FinishedAttempt { index: own, answer: Some(answer), inflight, .. })
            if own == index =>
        {
            ExecutionOutcome::Answered { answer, inflight }
        }
        _ => ExecutionOutcome::Failed(ExecutionFailure {
            code: ResultCode::OutcomeUnknown,
            retry_after: None,
        }),
    }
}
