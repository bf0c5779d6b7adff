//! Performs the attempts that [`ExecutionState`] decides on.
//!
//! At most two attempts are in flight at a time: one, and its hedge. Attempts still in flight when
//! the request ends are dropped, which closes their connections. The snapshot is the one of
//! admission, so a configuration change does not affect a running request.

use std::pin::{Pin, pin};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method, Uri};
use tokio::time::Instant;

use crate::balance::{PathMonitor, PathResult, PathTrial, UpstreamPicker};
use crate::core::{
    ConfigSnapshot, IdempotenceMode, InflightGuard, PartIndex, ResultCode, RouteRecord,
    SharedSnapshot, UpstreamState,
};
use crate::limits::{QuarantineTable, RouteLimits, WindowBudget};
use crate::membership::ConfigFreshness;
use crate::request::attempt::{
    AttemptOutcome, AttemptRequest, ConnectionPolicy, UnknownCause, UpstreamClient,
    UpstreamResponse,
};
use crate::request::attempt_reporter::{
    AttemptReporter, ReporterContext, takes_last_slot, validate_outcome,
};
use crate::request::attempt_trace::AttemptTrace;
use crate::request::classify::{RequestClass, RequestHead, classify};
use crate::request::crash_watch::{CallerAddress, RunKnowledge};
use crate::request::execution_settings::{ExecutionSettings, HedgeTrigger, hedge_interval};
use crate::request::execution_state::{
    AttemptIndex, AttemptPolicy, AttemptRole, ConfigConfirmation, ExecutionAction, ExecutionEvent,
    ExecutionState, OutcomeKind, StartRefusal, StepContext,
};
use crate::request::forward_attempt::PeerForwarder;
use crate::request::forward_header::ForwardedRequest;
use crate::request::forward_table::FORWARD_RETRY_AFTER;
use crate::request::hedge_tally::HedgeTally;
use crate::request::load_check::LoadChecker;
use crate::request::run_guard::RunGuard;
use crate::request::run_watch::{RunWatch, SILENCE_INTERVAL};
use crate::request::upstream_notices::UpstreamNotices;
use crate::request::upstream_selection::{AttemptHistory, PreparedAttempt};

/// Components of the node that run an execution.
#[derive(Debug)]
pub struct ExecutionContext<'a, C, P> {
    /// Sends attempts.
    pub client: &'a C,
    /// Picks upstreams.
    pub picker: &'a P,
    /// The active configuration, which may have replaced that of the request.
    pub active: &'a SharedSnapshot,
    /// Whether the active configuration is known to be the newest.
    pub freshness: &'a ConfigFreshness,
    /// Settings of attempts.
    pub settings: &'a ExecutionSettings,
    /// Checks the load of upstreams before attempts; none disables load checks.
    pub load_checker: Option<&'a LoadChecker>,
    /// Requests that are refused because they crash upstreams.
    pub quarantine: &'a QuarantineTable,
    /// Runs whose upstreams have fallen silent.
    pub runs: &'a RunWatch,
    /// Whether this entry has a path to the upstreams.
    pub path: &'a PathMonitor,
    /// Forwards requests to peers while there is no path; none disables that.
    pub forwarder: Option<&'a PeerForwarder<C>>,
}

/// An admitted request, ready to run.
#[derive(Debug)]
pub struct RequestExecution {
    /// Configuration under which the request was admitted.
    pub snapshot: Arc<ConfigSnapshot>,
    /// Whether that configuration was confirmed when the request was admitted.
    pub admitted_under: ConfigConfirmation,
    /// Class of the request under that configuration.
    pub class: RequestClass,
    /// Limits of the route.
    pub limits: Arc<RouteLimits>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub uri: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
    /// When the request was admitted.
    pub started: Instant,
    /// Time by which the response must be complete.
    pub deadline: Instant,
    /// Attempts in addition to the first that the caller allows; none if the caller set no limit.
    pub retry_allowance: Option<u32>,
    /// Part of a split route that the request belongs to.
    pub part: Option<PartIndex>,
    /// Budget for retries and hedges that replaces the route's own budgets.
    pub repeat_budget_share: Option<RepeatBudgetShare>,
    /// Address of the caller, if known.
    pub caller: Option<CallerAddress>,
    /// What the peer that forwarded the request told about it; `None` if a caller sent it here.
    pub forwarded: Option<ForwardedRequest>,
    /// Whether an attempt got a response that is forwarded to the caller.
    pub is_answered: AtomicBool,
}

/// This entry's share of a budget for repeats (retries and hedges) that all entries spend from.
#[derive(Clone, Debug)]
pub struct RepeatBudgetShare {
    /// Repeats and requests of this entry within the budget's window.
    pub window: Arc<WindowBudget>,
    /// Number of entries that share the budget.
    pub entries: u32,
}

/// Outcome of an execution.
#[derive(Debug)]
pub enum ExecutionOutcome<B> {
    /// An upstream responded.
    Answered {
        /// The response.
        response: UpstreamResponse<B>,
        /// Counts the request as in flight at its upstream until the response has been forwarded.
        inflight: InflightGuard,
        /// The upstream, or the peer to which the request was forwarded.
        upstream: Arc<UpstreamState>,
        /// Whether it is a peer.
        is_forwarded: bool,
    },
    /// There is no response to forward.
    Failed(ExecutionFailure),
}

/// Why an execution has no response to forward.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ExecutionFailure {
    /// Result code for the caller.
    pub code: ResultCode,
    /// Time after which an upstream is expected to be available, if known.
    pub retry_after: Option<Duration>,
}

/// An attempt that has ended, with its response if it may be forwarded.
pub(super) struct FinishedAttempt<B> {
    pub(super) index: AttemptIndex,
    pub(super) role: AttemptRole,
    pub(super) outcome: OutcomeKind,
    pub(super) response: Option<UpstreamResponse<B>>,
    pub(super) inflight: InflightGuard,
    /// Whether the attempt may have reached an upstream.
    pub(super) has_reached_upstream: bool,
    /// Why no peer has taken the attempt, if it was to be forwarded.
    pub(super) untaken: Option<UntakenReason>,
    /// Why the peer to which the request was forwarded has refused it, or that no peer took it.
    pub(super) failure: Option<ExecutionFailure>,
    /// The upstream, or the peer.
    pub(super) upstream: Arc<UpstreamState>,
    /// Whether it is a peer.
    pub(super) is_forwarded: bool,
}

/// Why peers have not taken a forwarded attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum UntakenReason {
    /// None could be reached that has a path to the upstreams.
    NoPath,
    /// One has another configuration, which decides about the request otherwise.
    OtherGeneration,
}

impl RequestExecution {
    /// Runs attempts until one gets a response or no further one is allowed; records each in
    /// `trace`.
    pub async fn run<C: UpstreamClient, P: UpstreamPicker>(
        &self,
        ctx: ExecutionContext<'_, C, P>,
        trace: &mut AttemptTrace,
    ) -> ExecutionOutcome<C::Body> {
        let Some(route) = self.class.route.and_then(|key| self.snapshot.route(key)) else {
            let code = ResultCode::NoRoute;
            return ExecutionOutcome::Failed(ExecutionFailure { code, retry_after: None });
        };
        let mut state = ExecutionState::new(self.attempt_policy(route, ctx.settings));
        let mut history = AttemptHistory {
            tried: Vec::new(),
            began: Instant::now(),
            slowdown: None,
            is_saturated: false,
            checks_sent: 0,
            attempts: 0,
            is_forwarded: false,
        };
        let mut tally = HedgeTally::new(route, &self.limits);
        let mut refusal: Option<ExecutionFailure> = None;
        let mut last_response: Option<FinishedAttempt<C::Body>> = None;
        let mut slot = pin!(None);
        let mut other_slot = pin!(None);
        let mut event = ExecutionEvent::Admitted;
        loop {
            match state.step(event, self.step_context(&event, &ctx)) {
                ExecutionAction::Start(role) => {
                    let prepared = tokio::select! {
                        biased;
                        finished = wait_slot(slot.as_mut()) => Err(finished),
                        finished = wait_slot(other_slot.as_mut()) => Err(finished),
                        start = self.prepare_attempt(role, route, &ctx, &mut history, trace) => {
                            Ok(start)
                        }
                    };
                    let prepared = match prepared {
                        Ok(prepared) => prepared,
                        Err(finished) => {
                            let finished: FinishedAttempt<C::Body> = finished;
                            // The running attempt ended while its hedge was being prepared, so the
                            // hedge is dropped before the end is reported.
                            let refused = ExecutionEvent::StartRefused(StartRefusal::NoUpstream);
                            state.step(refused, self.step_context(&refused, &ctx));
                            refusal = finished.failure.or(refusal);
                            event = record_end(finished, trace, &mut last_response);
                            continue;
                        }
                    };
                    match prepared {
                        Ok(start) => {
                            trace.started(start.role, &start.upstream);
                            tally.started(start.role, start.index);
                            history.began = Instant::now();
                            history.slowdown = start.slowdown;
                            history.is_saturated = takes_last_slot(&start.upstream) != Some(false);
                            history.tried.extend(start.key);
                            history.attempts += 1;
                            let attempt = Some(self.attempt(start, route, &ctx));
                            if slot.is_none() {
                                slot.set(attempt)
                            } else {
                                other_slot.set(attempt)
                            }
                            event = ExecutionEvent::Started;
                        }
                        Err(reason) => {
                            trace.refused(role, reason);
                            tally.refused(role, reason);
                            event = ExecutionEvent::StartRefused(reason);
                        }
                    }
                }
                ExecutionAction::Wait { until } => {
                    if state.is_hedge_unconfirmed() {
                        tally.unconfirmed();
                    }
                    let finished = tokio::select! {
                        biased;
                        finished = wait_slot(slot.as_mut()) => finished,
                        finished = wait_slot(other_slot.as_mut()) => finished,
                        () = tokio::time::sleep_until(until) => {
                            event = ExecutionEvent::TimerFired;
                            continue;
                        }
                    };
                    refusal = finished.failure.or(refusal);
                    event = record_end(finished, trace, &mut last_response);
                }
                ExecutionAction::Respond(index) => {
                    tally.answered(index);
                    self.is_answered.store(true, Ordering::Relaxed);
                    return forward_response(last_response, index);
                }
                ExecutionAction::Fail(code) => {
                    let unsent = (code == ResultCode::NotRun).then_some(&*trace);
                    let last_resort = unsent
                        .and_then(|trace| self.prepare_last_resort(&ctx, &mut history, trace));
                    if let Some(start) = last_resort {
                        trace.started(start.role, &start.upstream);
                        history.attempts += 1;
                        let finished = self.attempt(start, route, &ctx).await;
                        refusal = finished.failure.or(refusal);
                        event = record_end(finished, trace, &mut last_response);
                        continue;
                    }
                    if let Some(refusal) = refusal.filter(|_| code == ResultCode::NotRun) {
                        return ExecutionOutcome::Failed(refusal);
                    }
                    let pick = self.pick_request(AttemptRole::Retry, route, &history.tried, &ctx);
                    let retry_after = match code {
                        ResultCode::CrashesUpstreams => self.refusal_left(&ctx),
                        _ if ctx.path.is_cut() => Some(FORWARD_RETRY_AFTER),
                        _ => ctx.picker.retry_after(pick),
                    };
                    return ExecutionOutcome::Failed(ExecutionFailure { code, retry_after });
                }
            }
        }
    }

    fn attempt_policy(&self, route: &RouteRecord, settings: &ExecutionSettings) -> AttemptPolicy {
        let policy = &route.spec.retry;
        let configured = policy.max_attempts.saturating_sub(1);
        let allowed = self.retry_allowance.map_or(configured, |allowed| allowed.min(configured));
        let hedge = &route.spec.hedge;
        let is_hedging_allowed = hedge.enabled && self.class.mode == IdempotenceMode::Idempotent;
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
        let delay = delay.filter(|_| is_hedging_allowed);
        AttemptPolicy {
            mode: self.class.mode,
            deadline: self.deadline,
            min_attempt_time: settings.min_attempt_time,
            retry_allowance: allowed,
            hedge_delay: delay.map(|delay| delay.max(settings.min_hedge_delay)),
            hedge_interval: interval,
        }
    }

    /// Conditions of a step. Whether the configuration is confirmed is looked up only for the events
    /// after which a further attempt may start.
    fn step_context<C, P>(
        &self,
        event: &ExecutionEvent,
        ctx: &ExecutionContext<'_, C, P>,
    ) -> StepContext {
        let may_start_attempt =
            matches!(event, ExecutionEvent::Ended { .. } | ExecutionEvent::TimerFired);
        let confirmation = match may_start_attempt {
            true => self.confirmation(ctx),
            false => ConfigConfirmation::Unconfirmed,
        };
        StepContext { now: Instant::now(), confirmation }
    }

    /// Whether the request's configuration was the newest one when the request was received, as far
    /// as the bound for changes requires. One that has replaced it since must not forbid repeats.
    fn confirmation<C, P>(&self, ctx: &ExecutionContext<'_, C, P>) -> ConfigConfirmation {
        let active = ctx.active.load();
        let replacing = active.as_ref().filter(|it| it.generation != self.snapshot.generation);
        let Some(replacing) = replacing else {
            let is_covered = ctx.freshness.covers(self.started);
            return if is_covered { ConfigConfirmation::Confirmed } else { self.admitted_under };
        };
        let head = RequestHead { method: &self.method, uri: &self.uri, headers: &self.headers };
        match classify(replacing, head).mode {
            IdempotenceMode::Idempotent => self.admitted_under,
            IdempotenceMode::AtMostOnce => ConfigConfirmation::Unconfirmed,
        }
    }

    async fn attempt<C: UpstreamClient, P: UpstreamPicker>(
        &self,
        prepared: PreparedAttempt,
        route: &RouteRecord,
        ctx: &ExecutionContext<'_, C, P>,
    ) -> FinishedAttempt<C::Body> {
        if prepared.key.is_some() {
            return self.attempt_upstream(prepared, route, ctx).await;
        }
        // Boxed, because they are rare and would make every attempt larger.
        let finished = Box::pin(self.forward(prepared, route, ctx)).await;
        match self.prepare_untaken(&finished, route, ctx) {
            Some(prepared) => Box::pin(self.attempt_upstream(prepared, route, ctx)).await,
            None => finished,
        }
    }

    async fn attempt_upstream<C: UpstreamClient, P: UpstreamPicker>(
        &self,
        prepared: PreparedAttempt,
        route: &RouteRecord,
        ctx: &ExecutionContext<'_, C, P>,
    ) -> FinishedAttempt<C::Body> {
        let header_names = &ctx.settings.headers;
        let mut request = self.build_request(prepared.role, route, ctx);
        if let Some(name) = &header_names.expected_instance
            && let Ok(value) = HeaderValue::from_str(&prepared.upstream.name)
        {
            request.headers.insert(name, value);
        }
        let deadline = request.deadline;
        let reporter_context = ReporterContext {
            route,
            limits: &self.limits,
            ratios: &self.snapshot.budget,
            headers: header_names,
        };
        let reporter = AttemptReporter::new(ctx.picker, &prepared.upstream, reporter_context);
        let mut guard = RunGuard::new(ctx.runs, self, header_names, &prepared.upstream);
        let ended = {
            let mut sent = pin!(ctx.client.send(&prepared.upstream, request));
            loop {
                let until = deadline.min(Instant::now() + SILENCE_INTERVAL);
                match tokio::time::timeout_at(until, sent.as_mut()).await {
                    Err(_) if until < deadline => guard.check_silence(),
                    ended => break ended,
                }
            }
        };
        let outcome = match ended {
            Ok(outcome) => {
                let notices = UpstreamNotices::from_outcome(&outcome, header_names);
                let request_id = self.headers.get(&header_names.request_id);
                let outcome = validate_outcome(outcome, request_id, header_names);
                reporter.record_notices(notices, &outcome);
                outcome
            }
            Err(_) => AttemptOutcome::Unknown(UnknownCause::TimedOut),
        };
        let has_reached_upstream = match &outcome {
            AttemptOutcome::NotRun(proof) => proof.is_of_upstream(),
            AttemptOutcome::Answered(_) | AttemptOutcome::Unknown(_) => true,
        };
        let kind = reporter.finish(&outcome);
        if self.record_run(kind, &prepared.upstream, ctx).await == RunKnowledge::Known {
            guard.finish();
        }
        let response = match outcome {
            AttemptOutcome::Answered(response) => {
                let address = prepared.upstream.spec.address;
                ctx.path.record(address, PathTrial::Exchange, PathResult::Reached);
                Some(response)
            }
            AttemptOutcome::NotRun(_) | AttemptOutcome::Unknown(_) => None,
        };
        FinishedAttempt {
            index: prepared.index,
            role: prepared.role,
            outcome: kind,
            response,
            inflight: prepared.inflight,
            has_reached_upstream,
            untaken: None,
            failure: None,
            upstream: prepared.upstream,
            is_forwarded: false,
        }
    }

    fn build_request<C, P>(
        &self,
        role: AttemptRole,
        route: &RouteRecord,
        ctx: &ExecutionContext<'_, C, P>,
    ) -> AttemptRequest {
        let settings = ctx.settings;
        let is_confirmed = self.confirmation(ctx) == ConfigConfirmation::Confirmed;
        let is_idempotent = self.class.mode == IdempotenceMode::Idempotent;
        let now = Instant::now();
        let allowance = self.forwarded_allowance(role, route);
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
        let header_names = &settings.headers;
        headers.insert(&header_names.deadline, HeaderValue::from(remaining.as_millis() as u64));
        if let Some(name) = &header_names.retry_allowance {
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

    /// Retry allowance forwarded to the upstream for its own nested calls.
    ///
    /// Only the first attempt forwards its allowance; retries and hedges forward 0. With allowance
    /// `a`, a failing call at the bottom of `d` nested calls is then attempted at most `1 + a * d`
    /// times, not `(1 + a)^d` times.
    pub(super) fn forwarded_allowance(&self, role: AttemptRole, route: &RouteRecord) -> u32 {
        if role != AttemptRole::First {
            return 0;
        }
        let configured = route.spec.retry.max_attempts.saturating_sub(1);
        self.retry_allowance.map_or(configured, |allowed| allowed.min(configured))
    }
}

/// Waits for the attempt in a slot to end, and empties the slot. Never returns for an empty slot.
async fn wait_slot<F: Future>(mut slot: Pin<&mut Option<F>>) -> F::Output {
    std::future::poll_fn(|cx| {
        let Some(attempt) = slot.as_mut().as_pin_mut() else { return Poll::Pending };
        let output = ready!(attempt.poll(cx));
        slot.set(None);
        Poll::Ready(output)
    })
    .await
}

/// Records the end of an attempt in the trace and keeps its response.
fn record_end<B>(
    finished: FinishedAttempt<B>,
    trace: &mut AttemptTrace,
    last_response: &mut Option<FinishedAttempt<B>>,
) -> ExecutionEvent {
    trace.ended(finished.index, finished.outcome);
    if finished.has_reached_upstream {
        trace.record_reached_upstream();
    }
    let event = ExecutionEvent::Ended { attempt: finished.index, outcome: finished.outcome };
    if finished.response.is_some() {
        *last_response = Some(finished);
    }
    event
}

fn forward_response<B>(
    last_response: Option<FinishedAttempt<B>>,
    index: AttemptIndex,
) -> ExecutionOutcome<B> {
    match last_response {
        Some(FinishedAttempt {
            index: last,
            response: Some(response),
            inflight,
            upstream,
            is_forwarded,
            ..
        }) if last == index => {
            ExecutionOutcome::Answered { response, inflight, upstream, is_forwarded }
        }
        _ => ExecutionOutcome::Failed(ExecutionFailure {
            code: ResultCode::OutcomeUnknown,
            retry_after: None,
        }),
    }
}
