//! State machine for the attempts, retries and hedges of one request, without I/O.
//!
//! [`ExecutionState::step`] takes an event and returns the next action:
//!
//! ```text
//! Admitted -> Start(First) -> Started -> Wait -> Ended -> Respond | Fail | Start(Retry)
//!                                         |                                   |
//!                                         +-> TimerFired -> Start(Hedge) <----+
//! ```
//!
//! Invariants: another attempt of an at-most-once request starts only if every earlier attempt
//! provably did not run, and a result code that means "not run" is returned only if that holds for
//! all attempts of the request.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::{IdempotenceMode, ResultCode};
use crate::request::attempt::UnknownCause;

/// Attempts are numbered from 0 in the order in which they start.
pub type AttemptIndex = u32;

/// Role of an attempt in its request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptRole {
    /// The first attempt.
    First,
    /// Follows a failed attempt.
    Retry,
    /// Runs in parallel with a slow attempt.
    Hedge,
}

/// Whether the configuration under which the request was admitted is known to be the newest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigConfirmation {
    /// It is the newest.
    Confirmed,
    /// A newer configuration may exist, and may mark the request as at-most-once.
    Unconfirmed,
}

/// Limits on the attempts of one request, fixed at admission.
#[derive(Clone, Copy, Debug)]
pub struct AttemptPolicy {
    /// Whether the request may run more than once.
    pub mode: IdempotenceMode,
    /// Time by which the head of the response must have arrived.
    pub deadline: Instant,
    /// No attempt starts with less time than this left before the deadline.
    pub min_attempt_time: Duration,
    /// Attempts allowed in addition to the first; retries and hedges together.
    pub retry_allowance: u32,
    /// Time from the start of the first attempt to the hedge; none disables hedging.
    pub hedge_delay: Option<Duration>,
    /// Time after which a hedge that could not start is considered again; none for no second try.
    pub hedge_interval: Option<Duration>,
}

/// Kind of an attempt's outcome, as far as further attempts depend on it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutcomeKind {
    /// A response that is forwarded to the caller.
    Answered,
    /// A 5xx response on which an idempotent request is retried; forwarded if no attempt does
    /// better.
    ServerError,
    /// The attempt provably did not run.
    NotRun,
    /// The attempt may have run.
    Unknown(UnknownCause),
}

/// Why a requested attempt was not started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// No upstream is available for it.
    NoUpstream,
    /// The available upstreams are overloaded.
    Crowded,
    /// The retry or hedge budget is exhausted.
    BudgetSpent,
    /// The operators' limit on hedges is reached.
    HedgeLimit,
    /// Upstreams have ended while they ran the request.
    Quarantined,
    /// This entry has no path to the upstreams, and no peer takes requests.
    NoPath,
    /// The request has been forwarded to a peer, which sends any further attempt.
    Forwarded,
}

/// Input of the state machine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionEvent {
    /// The request was admitted.
    Admitted,
    /// The requested attempt is in flight.
    Started,
    /// The requested attempt was not started.
    StartRefused(StartRefusal),
    /// An attempt has ended.
    Ended {
        /// The attempt.
        attempt: AttemptIndex,
        /// Its outcome.
        outcome: OutcomeKind,
    },
    /// The time of the last [`ExecutionAction::Wait`] has come.
    TimerFired,
}

/// What the caller of [`ExecutionState::step`] must do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionAction {
    /// Start an attempt, then report [`ExecutionEvent::Started`] or
    /// [`ExecutionEvent::StartRefused`].
    Start(AttemptRole),
    /// Wait until an attempt ends, at most until a point in time.
    Wait {
        /// When to report [`ExecutionEvent::TimerFired`].
        until: Instant,
    },
    /// Forward the response of an attempt and cancel the others.
    Respond(AttemptIndex),
    /// Cancel the attempts in flight and fail the request with this code.
    Fail(ResultCode),
}

/// Conditions under which a step is taken.
#[derive(Clone, Copy, Debug)]
pub struct StepContext {
    /// Current time.
    pub now: Instant,
    /// Whether the configuration is confirmed.
    pub confirmation: ConfigConfirmation,
}

/// State of one request's attempts.
#[derive(Clone, Debug)]
pub struct ExecutionState {
    policy: AttemptPolicy,
    pending_role: AttemptRole,
    started_attempts: u32,
    in_flight: u32,
    hedge_due: Option<Instant>,
    /// Whether the last hedge that was due needed a confirmed configuration.
    is_hedge_unconfirmed: bool,
    server_error_attempt: Option<AttemptIndex>,
    unknown_code: Option<ResultCode>,
}

impl ExecutionState {
    /// Creates the state of a request without attempts.
    pub fn new(policy: AttemptPolicy) -> Self {
        Self {
            policy,
            pending_role: AttemptRole::First,
            started_attempts: 0,
            in_flight: 0,
            hedge_due: None,
            is_hedge_unconfirmed: false,
            server_error_attempt: None,
            unknown_code: None,
        }
    }

    /// Processes an event and returns the next action.
    pub fn step(&mut self, event: ExecutionEvent, ctx: StepContext) -> ExecutionAction {
        match event {
            ExecutionEvent::Admitted => self.begin(ctx),
            ExecutionEvent::Started => self.on_started(ctx),
            ExecutionEvent::StartRefused(reason) => self.on_start_refused(reason, ctx),
            ExecutionEvent::Ended { attempt, outcome } => {
                self.on_attempt_ended(attempt, outcome, ctx)
            }
            ExecutionEvent::TimerFired => self.on_timer(ctx),
        }
    }

    /// Whether the last hedge that was due was not started because the configuration is not
    /// confirmed.
    pub fn is_hedge_unconfirmed(&self) -> bool {
        self.is_hedge_unconfirmed
    }

    fn begin(&mut self, ctx: StepContext) -> ExecutionAction {
        if !self.has_time(ctx) {
            return ExecutionAction::Fail(ResultCode::NotRun);
        }
        self.start(AttemptRole::First)
    }

    fn on_started(&mut self, ctx: StepContext) -> ExecutionAction {
        if self.pending_role == AttemptRole::First {
            self.hedge_due = self.policy.hedge_delay.map(|delay| ctx.now + delay);
        }
        self.started_attempts += 1;
        self.in_flight += 1;
        self.wait()
    }

    fn on_start_refused(&mut self, reason: StartRefusal, ctx: StepContext) -> ExecutionAction {
        if self.in_flight > 0 {
            self.hedge_due = self.policy.hedge_interval.map(|interval| ctx.now + interval);
            return self.wait();
        }
        match (self.pending_role, reason) {
            (AttemptRole::First, StartRefusal::Crowded) => {
                ExecutionAction::Fail(ResultCode::Overloaded)
            }
            (AttemptRole::First, StartRefusal::Quarantined) => {
                ExecutionAction::Fail(ResultCode::CrashesUpstreams)
            }
            (AttemptRole::First, _) => ExecutionAction::Fail(ResultCode::NoUpstream),
            (AttemptRole::Retry | AttemptRole::Hedge, _) => self.conclude(),
        }
    }

    fn on_attempt_ended(
        &mut self,
        attempt: AttemptIndex,
        outcome: OutcomeKind,
        ctx: StepContext,
    ) -> ExecutionAction {
        self.in_flight = self.in_flight.saturating_sub(1);
        match outcome {
            OutcomeKind::Answered => return ExecutionAction::Respond(attempt),
            OutcomeKind::ServerError if !self.is_idempotent() => {
                return ExecutionAction::Respond(attempt);
            }
            OutcomeKind::ServerError => {
                self.server_error_attempt = Some(attempt);
                self.unknown_code.get_or_insert(ResultCode::OutcomeUnknown);
            }
            OutcomeKind::NotRun => {}
            OutcomeKind::Unknown(cause) => {
                self.unknown_code.get_or_insert(result_code(cause));
            }
        }
        if self.in_flight > 0 {
            return self.wait();
        }
        self.hedge_due = None;
        if self.allows_another(ctx) {
            return self.start(AttemptRole::Retry);
        }
        self.conclude()
    }

    fn on_timer(&mut self, ctx: StepContext) -> ExecutionAction {
        if ctx.now >= self.policy.deadline {
            if self.in_flight > 0 {
                self.unknown_code.get_or_insert(ResultCode::DeadlineExceeded);
            }
            return self.conclude();
        }
        let is_due = self.hedge_due.is_some_and(|due| due <= ctx.now);
        if !is_due {
            return self.wait();
        }
        self.hedge_due = None;
        let has_no_hedge = self.in_flight == 1;
        let is_confirmed = ctx.confirmation == ConfigConfirmation::Confirmed;
        let may_hedge = has_no_hedge && self.is_idempotent() && self.allows_another(ctx);
        self.is_hedge_unconfirmed = may_hedge && !is_confirmed;
        if may_hedge && is_confirmed {
            return self.start(AttemptRole::Hedge);
        }
        self.hedge_due = self.policy.hedge_interval.map(|interval| ctx.now + interval);
        self.wait()
    }

    /// Whether the retry allowance, the time left and the earlier outcomes permit another attempt.
    fn allows_another(&self, ctx: StepContext) -> bool {
        if self.started_attempts > self.policy.retry_allowance || !self.has_time(ctx) {
            return false;
        }
        let is_confirmed = ctx.confirmation == ConfigConfirmation::Confirmed;
        self.unknown_code.is_none() || (self.is_idempotent() && is_confirmed)
    }

    fn has_time(&self, ctx: StepContext) -> bool {
        let left = self.policy.deadline.saturating_duration_since(ctx.now);
        left >= self.policy.min_attempt_time
    }

    fn is_idempotent(&self) -> bool {
        self.policy.mode == IdempotenceMode::Idempotent
    }

    fn start(&mut self, role: AttemptRole) -> ExecutionAction {
        self.pending_role = role;
        ExecutionAction::Start(role)
    }

    fn wait(&self) -> ExecutionAction {
        let deadline = self.policy.deadline;
        let until = self.hedge_due.map_or(deadline, |due| due.min(deadline));
        ExecutionAction::Wait { until }
    }

    /// Ends the request: forwards the 5xx response of an attempt if there is one, else fails with
    /// what is known about the attempts.
    fn conclude(&self) -> ExecutionAction {
        if let Some(attempt) = self.server_error_attempt {
            return ExecutionAction::Respond(attempt);
        }
        ExecutionAction::Fail(self.unknown_code.unwrap_or(ResultCode::NotRun))
    }
}

fn result_code(cause: UnknownCause) -> ResultCode {
    match cause {
        UnknownCause::ConnectionBroken
        | UnknownCause::InvalidStatus
        | UnknownCause::UnmarkedRefusal => ResultCode::OutcomeUnknown,
        UnknownCause::TimedOut => ResultCode::DeadlineExceeded,
        UnknownCause::AnswerNotWhole
        | UnknownCause::ForeignAnswer
        | UnknownCause::AnswerUnproven => ResultCode::AnswerNotWhole,
    }
}
