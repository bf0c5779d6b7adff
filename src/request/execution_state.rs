//! The decisions about one request's attempts, without I/O.
//!
//! [`ExchangeState::step`] takes what happened and returns what to do next:
//!
//! ```text
//! Begun -> Start(First) -> Started -> Wait -> Ended -> Answer | Fail | Start(Retry)
//!                                      |                                  |
//!                                      +-> TimerFired -> Start(Hedge) <---+
//! ```
//!
//! It promises: an at-most-once request is never started again unless every earlier attempt
//! provably did not run, and a code that means "not run" is returned only if that holds for all
//! attempts of the request.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::{IdempotenceMode, ResultCode};
use crate::request::attempt::UnknownCause;

/// Attempts are numbered from 0 in the order in which they start.
pub type AttemptIndex = u32;

/// Why an attempt is made.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptRole {
    /// The first one.
    First,
    /// After an earlier one has failed.
    Retry,
    /// Beside a slow one.
    Hedge,
}

/// Whether the configuration of admission is known to be the newest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigConfirmation {
    /// It is.
    Confirmed,
    /// A newer one may say that the request is at-most-once.
    Unconfirmed,
}

/// What the decisions depend on, fixed at the start.
#[derive(Clone, Copy, Debug)]
pub struct AttemptPolicy {
    /// Whether the request may run more than once.
    pub mode: IdempotenceMode,
    /// Time by which the answer must have begun.
    pub deadline: Instant,
    /// Time that must be left for an attempt to be started.
    pub min_attempt_time: Duration,
    /// Attempts allowed beside the first.
    pub retry_allowance: u32,
    /// Time from the start of the first attempt to the hedge, if there may be one.
    pub hedge_delay: Option<Duration>,
    /// Time after which a hedge that was not started is asked for again.
    pub hedge_interval: Option<Duration>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OutcomeKind {
    /// An answer that is passed on.
    Answered,
    /// An answer that says the upstream failed; passed on if there is no better one.
    ServerError,
    /// It provably did not run.
    NotRun,
    /// It may have run.
    Unknown(UnknownCause),
}

/// Why an attempt that was asked for was not started.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StartRefusal {
    /// No upstream can take it.
    NoUpstream,
    /// The upstreams have too much work already.
    Crowded,
    /// The budget is spent.
    BudgetSpent,
}

/// What happened.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionEvent {
    /// The request was admitted.
    Admitted,
    /// The attempt that was asked for is under way.
    Started,
    /// The attempt that was asked for is not made.
    StartRefused(StartRefusal),
    /// An attempt has ended.
    Ended {
        /// Which one.
        attempt: AttemptIndex,
        /// How.
        end: OutcomeKind,
    },
    /// The time of the last [`ExchangeAction::Wait`] has come.
    TimerFired,
}

/// What to do next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ExecutionAction {
    /// Start an attempt, or say why not.
    Start(AttemptRole),
    /// Wait for an attempt to end, or until a time.
    Wait {
        /// The time.
        until: Instant,
    },
    /// Pass on the answer of an attempt and cancel the others.
    Respond(AttemptIndex),
    /// Cancel what is in flight and refuse; the code says what is known.
    Fail(ResultCode),
}

/// Circumstances of a step.
#[derive(Clone, Copy, Debug)]
pub struct StepContext {
    /// The time.
    pub now: Instant,
    /// Standing of the configuration.
    pub confirmation: ConfigConfirmation,
}

/// The state of one request.
#[derive(Clone, Debug)]
pub struct ExecutionState {
    plan: AttemptPolicy,
    starting: AttemptRole,
    started: u32,
    in_flight: u32,
    hedge_due: Option<Instant>,
    server_error: Option<AttemptIndex>,
    unknown: Option<ResultCode>,
}

impl ExecutionState {
    /// Creates the state of a request that has no attempts yet.
    pub fn new(plan: AttemptPolicy) -> Self {
        Self {
            plan,
            starting: AttemptRole::First,
            started: 0,
            in_flight: 0,
            hedge_due: None,
            server_error: None,
            unknown: None,
        }
    }

    /// Takes in what happened and decides what to do next.
    pub fn step(&mut self, event: ExecutionEvent, ctx: StepContext) -> ExecutionAction {
        match event {
            ExecutionEvent::Admitted => self.begin(ctx),
            ExecutionEvent::Started => self.on_started(ctx),
            ExecutionEvent::StartRefused(reason) => self.on_start_refused(reason, ctx),
            ExecutionEvent::Ended { attempt, end } => self.on_ended(attempt, end, ctx),
            ExecutionEvent::TimerFired => self.on_timer(ctx),
        }
    }

    fn begin(&mut self, ctx: StepContext) -> ExecutionAction {
        if !self.has_time(ctx) {
            return ExecutionAction::Fail(ResultCode::NotRun);
        }
        self.start(AttemptRole::First)
    }

    fn on_started(&mut self, ctx: StepContext) -> ExecutionAction {
        if self.starting == AttemptRole::First {
            self.hedge_due = self.plan.hedge_delay.map(|delay| ctx.now + delay);
        }
        self.started += 1;
        self.in_flight += 1;
        self.wait()
    }

    fn on_start_refused(&mut self, reason: StartRefusal, ctx: StepContext) -> ExecutionAction {
        if self.in_flight > 0 {
            self.hedge_due = self.plan.hedge_interval.map(|interval| ctx.now + interval);
            return self.wait();
        }
        match (self.starting, reason) {
            (AttemptRole::First, StartRefusal::Crowded) => {
                ExecutionAction::Fail(ResultCode::Overloaded)
            }
            (AttemptRole::First, _) => ExecutionAction::Fail(ResultCode::NoUpstream),
            (AttemptRole::Retry | AttemptRole::Hedge, _) => self.settle(),
        }
    }

    fn on_ended(
        &mut self,
        attempt: AttemptIndex,
        end: OutcomeKind,
        ctx: StepContext,
    ) -> ExecutionAction {
        self.in_flight = self.in_flight.saturating_sub(1);
        match end {
            OutcomeKind::Answered => return ExecutionAction::Respond(attempt),
            OutcomeKind::ServerError if !self.is_idempotent() => {
                return ExecutionAction::Respond(attempt);
            }
            OutcomeKind::ServerError => {
                self.server_error = Some(attempt);
                self.unknown.get_or_insert(ResultCode::OutcomeUnknown);
            }
            OutcomeKind::NotRun => {}
            OutcomeKind::Unknown(cause) => {
                self.unknown.get_or_insert(code_of(cause));
            }
        }
        if self.in_flight > 0 {
            return self.wait();
        }
        self.hedge_due = None;
        if self.allows_another(ctx) {
            return self.start(AttemptRole::Retry);
        }
        self.settle()
    }

    fn on_timer(&mut self, ctx: StepContext) -> ExecutionAction {
        if ctx.now >= self.plan.deadline {
            if self.in_flight > 0 {
                self.unknown.get_or_insert(ResultCode::DeadlineExceeded);
            }
            return self.settle();
        }
        let is_due = self.hedge_due.is_some_and(|due| due <= ctx.now);
        if !is_due {
            return self.wait();
        }
        self.hedge_due = None;
        let is_alone = self.in_flight == 1;
        let is_confirmed = ctx.confirmation == ConfigConfirmation::Confirmed;
        if is_alone && is_confirmed && self.is_idempotent() && self.allows_another(ctx) {
            return self.start(AttemptRole::Hedge);
        }
        self.hedge_due = self.plan.hedge_interval.map(|interval| ctx.now + interval);
        self.wait()
    }

    /// Whether one more attempt may start, as far as its count, the time and earlier ones go.
    fn allows_another(&self, ctx: StepContext) -> bool {
        if self.started > self.plan.retry_allowance || !self.has_time(ctx) {
            return false;
        }
        let is_confirmed = ctx.confirmation == ConfigConfirmation::Confirmed;
        self.unknown.is_none() || (self.is_idempotent() && is_confirmed)
    }

    fn has_time(&self, ctx: StepContext) -> bool {
        let left = self.plan.deadline.saturating_duration_since(ctx.now);
        left >= self.plan.min_attempt_time
    }

    fn is_idempotent(&self) -> bool {
        self.plan.mode == IdempotenceMode::Idempotent
    }

    fn start(&mut self, role: AttemptRole) -> ExecutionAction {
        self.starting = role;
        ExecutionAction::Start(role)
    }

    fn wait(&self) -> ExecutionAction {
        let deadline = self.plan.deadline;
        let until = self.hedge_due.map_or(deadline, |due| due.min(deadline));
        ExecutionAction::Wait { until }
    }

    /// Ends the request with what is known about its attempts.
    fn settle(&self) -> ExecutionAction {
        if let Some(attempt) = self.server_error {
            return ExecutionAction::Respond(attempt);
        }
        ExecutionAction::Fail(self.unknown.unwrap_or(ResultCode::NotRun))
    }
}

fn code_of(cause: UnknownCause) -> ResultCode {
    match cause {
        UnknownCause::ConnectionBroken | UnknownCause::UnmarkedRefusal => {
            ResultCode::OutcomeUnknown
        }
        UnknownCause::TimedOut => ResultCode::DeadlineExceeded,
        UnknownCause::AnswerNotWhole
        | UnknownCause::ForeignAnswer
        | UnknownCause::AnswerUnproven => ResultCode::AnswerNotWhole,
    }
}
