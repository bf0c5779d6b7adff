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

use crate::balance::{PickRequest, UpstreamPicker};
use crate::core::{
    ConfigSnapshot, DEADLINE_HEADER, IdempotenceMode, InflightGuard, RETRY_ALLOWANCE_HEADER,
    ResultCode, RouteRecord, UpstreamKey, UpstreamState,
};
use crate::limits::RouteLimits;
use crate::membership::ConfigFreshness;
use crate::request::attempt::{
    AttemptOutcome, AttemptRequest, ConnectionChoice, UnknownCause, UpstreamAnswer, UpstreamClient,
};
use crate::request::attempt_watch::{AttemptWatch, inspect};
use crate::request::classify::RequestClass;
use crate::request::exchange_state::{
    AttemptEnd, AttemptIndex, AttemptRole, ConfigStanding, ExchangeAction, ExchangeEvent,
    ExchangePlan, ExchangeState, StartRefusal, StepContext,
};

/// Limits on the attempts of one request.
#[derive(Clone, Debug)]
pub struct ExchangeSettings {
    /// Time that must be left for another attempt to be started.
    pub min_attempt_time: Duration,
    /// Shortest time before a hedge.
    pub min_hedge_delay: Duration,
}

impl Default for ExchangeSettings {
    fn default() -> Self {
        Self {
            min_attempt_time: Duration::from_millis(1),
            min_hedge_delay: Duration::from_millis(1),
        }
    }
}

/// What an exchange works with.
#[derive(Debug)]
pub struct ExchangeTools<'a, C, P> {
    /// Carries out attempts.
    pub client: &'a C,
    /// Chooses upstreams.
    pub picker: &'a P,
    /// Whether the configuration is known to be the newest.
    pub freshness: &'a ConfigFreshness,
    /// Limits on attempts.
    pub settings: &'a ExchangeSettings,
}

/// A request that has been admitted.
#[derive(Debug)]
pub struct RequestExchange {
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
    /// Time by which the answer must be whole.
    pub deadline: Instant,
    /// Attempts beside the first that the caller allows.
    pub retry_allowance: Option<u32>,
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

/// An attempt that has ended.
struct FinishedAttempt<B> {
    index: AttemptIndex,
    end: AttemptEnd,
    answer: Option<UpstreamAnswer<B>>,
    inflight: InflightGuard,
}

/// An attempt that is about to start.
struct AttemptStart {
    index: AttemptIndex,
    role: AttemptRole,
    upstream: Arc<UpstreamState>,
    inflight: InflightGuard,
}

impl RequestExchange {
    /// Runs attempts until one is answered or no further one is allowed.
    pub async fn run<C: UpstreamClient, P: UpstreamPicker>(
        &self,
        tools: ExchangeTools<'_, C, P>,
    ) -> ExchangeEnd<C::Body> {
        let Some(route) = self.class.route.and_then(|key| self.snapshot.route(key)) else {
            return ExchangeEnd::Failed(ResultCode::NoRoute);
        };
        let mut state = ExchangeState::new(self.plan(route, tools.settings));
        let mut tried: Vec<UpstreamKey> = Vec::new();
        let mut kept: Option<FinishedAttempt<C::Body>> = None;
        let mut slot = pin!(None);
        let mut other_slot = pin!(None);
        let mut event = ExchangeEvent::Begun;
        loop {
            match state.step(event, context(&event, tools.freshness)) {
                ExchangeAction::Start(role) => {
                    match self.prepare(role, route, &tools, &mut tried) {
                        Ok(start) => {
                            let attempt = Some(self.attempt(start, route, &tools));
                            if slot.is_none() {
                                slot.set(attempt)
                            } else {
                                other_slot.set(attempt)
                            }
                            event = ExchangeEvent::Started;
                        }
                        Err(refusal) => event = ExchangeEvent::StartRefused(refusal),
                    }
                }
                ExchangeAction::Wait { until } => {
                    let finished = tokio::select! {
                        biased;
                        finished = slot_end(slot.as_mut()) => finished,
                        finished = slot_end(other_slot.as_mut()) => finished,
                        () = tokio::time::sleep_until(until) => {
                            event = ExchangeEvent::TimerFired;
                            continue;
                        }
                    };
                    event = ExchangeEvent::Ended { attempt: finished.index, end: finished.end };
                    if finished.answer.is_some() {
                        kept = Some(finished);
                    }
                }
                ExchangeAction::Answer(index) => return answered(kept, index),
                ExchangeAction::Fail(code) => return ExchangeEnd::Failed(code),
            }
        }
    }

    fn plan(&self, route: &RouteRecord, settings: &ExchangeSettings) -> ExchangePlan {
        let policy = &route.spec.retry;
        let configured = policy.max_attempts.saturating_sub(1);
        let allowed = self.retry_allowance.map_or(configured, |allowed| allowed.min(configured));
        let hedge = &route.spec.hedge;
        let may_hedge = hedge.enabled && self.class.mode == IdempotenceMode::Idempotent;
        let quantile = may_hedge.then(|| self.limits.latency.quantile(hedge.quantile)).flatten();
        ExchangePlan {
            mode: self.class.mode,
            deadline: self.deadline,
            min_attempt_time: settings.min_attempt_time,
            retry_allowance: allowed,
            hedge_delay: quantile.map(|delay| delay.max(settings.min_hedge_delay)),
        }
    }

    /// Chooses the upstream of an attempt and pays for it.
    fn prepare<C: UpstreamClient, P: UpstreamPicker>(
        &self,
        role: AttemptRole,
        route: &RouteRecord,
        tools: &ExchangeTools<'_, C, P>,
        tried: &mut Vec<UpstreamKey>,
    ) -> Result<AttemptStart, StartRefusal> {
        let pick = PickRequest { snapshot: &self.snapshot, route, tried };
        let key = tools.picker.pick(pick).ok_or(StartRefusal::NoUpstream)?;
        let upstream = self.snapshot.upstreams.get(key).ok_or(StartRefusal::NoUpstream)?;
        let is_paid = match role {
            AttemptRole::First => true,
            AttemptRole::Retry => self.limits.retries.try_spend(),
            AttemptRole::Hedge if tried.contains(&key) => return Err(StartRefusal::NoUpstream),
            AttemptRole::Hedge => self.limits.hedges.try_spend(),
        };
        if !is_paid {
            return Err(StartRefusal::BudgetSpent);
        }
        let index = tried.len() as AttemptIndex;
        tried.push(key);
        let inflight = upstream.enter();
        Ok(AttemptStart { index, role, upstream: Arc::clone(upstream), inflight })
    }

    async fn attempt<C: UpstreamClient, P: UpstreamPicker>(
        &self,
        start: AttemptStart,
        route: &RouteRecord,
        tools: &ExchangeTools<'_, C, P>,
    ) -> FinishedAttempt<C::Body> {
        let request = self.request_of(start.role, route, tools.freshness.is_confirmed());
        let deadline = request.deadline;
        let ratios = &self.snapshot.budget;
        let watch = AttemptWatch::new(tools.picker, &start.upstream, &self.limits, ratios);
        let sent = tools.client.send(&start.upstream, request);
        let outcome = match tokio::time::timeout_at(deadline, sent).await {
            Ok(outcome) => inspect(outcome),
            Err(_) => AttemptOutcome::Unknown(UnknownCause::TimedOut),
        };
        let end = watch.finish(&outcome);
        let answer = match outcome {
            AttemptOutcome::Answered(answer) => Some(answer),
            AttemptOutcome::NotRun(_) | AttemptOutcome::Unknown(_) => None,
        };
        FinishedAttempt { index: start.index, end, answer, inflight: start.inflight }
    }

    fn request_of(
        &self,
        role: AttemptRole,
        route: &RouteRecord,
        is_confirmed: bool,
    ) -> AttemptRequest {
        let is_idempotent = self.class.mode == IdempotenceMode::Idempotent;
        let now = Instant::now();
        let allowance = self.passed_allowance(role, route);
        let mut deadline = self.deadline;
        if is_idempotent {
            deadline = deadline.min(now + route.spec.retry.attempt_timeout);
        }
        if is_idempotent && is_confirmed && allowance > 0 {
            // The first attempt may meet a connection that has gone silent: half of the time is
            // kept for another one.
            deadline = deadline.min(now + self.deadline.saturating_duration_since(now) / 2);
        }
        let connection =
            if is_idempotent { ConnectionChoice::Pooled } else { ConnectionChoice::Proven };
        let remaining = deadline.saturating_duration_since(now);
        let mut headers = self.headers.clone();
        headers.insert(DEADLINE_HEADER, HeaderValue::from(remaining.as_millis() as u64));
        headers.insert(RETRY_ALLOWANCE_HEADER, HeaderValue::from(allowance));
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
fn context(event: &ExchangeEvent, freshness: &ConfigFreshness) -> StepContext {
    let is_decision = matches!(event, ExchangeEvent::Ended { .. } | ExchangeEvent::TimerFired);
    let is_confirmed = is_decision && freshness.is_confirmed();
    let standing =
        if is_confirmed { ConfigStanding::Confirmed } else { ConfigStanding::Unconfirmed };
    StepContext { now: Instant::now(), standing }
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

fn answered<B>(kept: Option<FinishedAttempt<B>>, index: AttemptIndex) -> ExchangeEnd<B> {
    match kept {
        Some(FinishedAttempt { index: own, answer: Some(answer), inflight, .. })
            if own == index =>
        {
            ExchangeEnd::Answered { answer, inflight }
        }
        _ => ExchangeEnd::Failed(ResultCode::OutcomeUnknown),
    }
}
