//! [`ExecutionState`] against a model that knows which attempts ran.

use std::time::Duration;

use heatherfall::core::{IdempotenceMode, ResultCode};
use heatherfall::request::{
    AttemptIndex, AttemptPolicy, AttemptRole, ConfigConfirmation, ExecutionAction, ExecutionEvent,
    ExecutionState, OutcomeKind, StartRefusal, StepContext, UnknownCause, is_not_run,
};
use proptest::prelude::*;
use tokio::time::Instant;

/// Next event of the environment; attempts and times are taken from those that are possible.
#[derive(Clone, Copy, Debug)]
enum ModelEvent {
    End { which: usize, outcome: OutcomeKind, ran: bool },
    FireTimer,
    UnconfirmConfig,
    Refuse(StartRefusal),
}

fn event() -> impl Strategy<Value = ModelEvent> {
    let unknown = prop_oneof![
        Just(UnknownCause::ConnectionBroken),
        Just(UnknownCause::TimedOut),
        Just(UnknownCause::AnswerNotWhole),
    ];
    let outcome = prop_oneof![
        1 => Just(OutcomeKind::Answered),
        2 => Just(OutcomeKind::ServerError),
        4 => Just(OutcomeKind::NotRun),
        4 => unknown.prop_map(OutcomeKind::Unknown),
    ];
    let refusal = prop_oneof![Just(StartRefusal::NoUpstream), Just(StartRefusal::BudgetSpent)];
    prop_oneof![
        8 => (0..2usize, outcome, any::<bool>())
            .prop_map(|(which, outcome, ran)| ModelEvent::End { which, outcome, ran }),
        2 => Just(ModelEvent::FireTimer),
        1 => Just(ModelEvent::UnconfirmConfig),
        1 => refusal.prop_map(ModelEvent::Refuse),
    ]
}

fn policy() -> impl Strategy<Value = AttemptPolicy> {
    let mode = prop_oneof![Just(IdempotenceMode::AtMostOnce), Just(IdempotenceMode::Idempotent)];
    (mode, 0..4u32, proptest::option::of(0..20u64)).prop_map(|(mode, retry_allowance, delay)| {
        AttemptPolicy {
            mode,
            deadline: Instant::now() + Duration::from_millis(100),
            min_attempt_time: Duration::from_millis(1),
            retry_allowance,
            hedge_delay: delay.map(Duration::from_millis),
            hedge_interval: None,
        }
    })
}

/// Drives one request to its end and checks all invariants at each step.
struct Model {
    policy: AttemptPolicy,
    state: ExecutionState,
    now: Instant,
    confirmation: ConfigConfirmation,
    started: u32,
    in_flight: Vec<AttemptIndex>,
    /// Attempts that ran or may have run: all except those that provably did not run.
    may_have_run: u32,
    /// Attempts that ran.
    ran: u32,
}

impl Model {
    fn new(policy: AttemptPolicy) -> Self {
        Self {
            policy,
            state: ExecutionState::new(policy),
            now: Instant::now(),
            confirmation: ConfigConfirmation::Confirmed,
            started: 0,
            in_flight: Vec::new(),
            may_have_run: 0,
            ran: 0,
        }
    }

    fn step(&mut self, event: ExecutionEvent) -> ExecutionAction {
        self.state.step(event, StepContext { now: self.now, confirmation: self.confirmation })
    }

    fn run(mut self, events: Vec<ModelEvent>) -> Result<(), TestCaseError> {
        let mut events = events.into_iter();
        let mut action = self.step(ExecutionEvent::Admitted);
        loop {
            action = match action {
                ExecutionAction::Start(role) => {
                    self.verify_start(role)?;
                    match events.next() {
                        Some(ModelEvent::Refuse(reason)) => {
                            self.step(ExecutionEvent::StartRefused(reason))
                        }
                        _ => {
                            self.in_flight.push(self.started);
                            self.started += 1;
                            self.may_have_run += 1;
                            self.step(ExecutionEvent::Started)
                        }
                    }
                }
                ExecutionAction::Wait { until } => {
                    prop_assert!(until <= self.policy.deadline);
                    prop_assert!(!self.in_flight.is_empty(), "waits without an attempt in flight");
                    self.advance(events.next(), until)
                }
                ExecutionAction::Respond(_) => return self.verify_end(None),
                ExecutionAction::Fail(code) => return self.verify_end(Some(code)),
            };
        }
    }

    fn advance(&mut self, event: Option<ModelEvent>, until: Instant) -> ExecutionAction {
        match event {
            Some(ModelEvent::End { which, outcome, ran }) => {
                let attempt = self.in_flight.remove(which % self.in_flight.len());
                match outcome {
                    OutcomeKind::NotRun => self.may_have_run -= 1,
                    OutcomeKind::Unknown(_) => self.ran += u32::from(ran),
                    OutcomeKind::Answered | OutcomeKind::ServerError => self.ran += 1,
                }
                self.now += Duration::from_millis(1);
                self.step(ExecutionEvent::Ended { attempt, outcome })
            }
            Some(ModelEvent::UnconfirmConfig) => {
                self.confirmation = ConfigConfirmation::Unconfirmed;
                ExecutionAction::Wait { until }
            }
            Some(ModelEvent::FireTimer | ModelEvent::Refuse(_)) | None => {
                self.now = self.now.max(until);
                self.step(ExecutionEvent::TimerFired)
            }
        }
    }

    fn verify_start(&self, role: AttemptRole) -> Result<(), TestCaseError> {
        prop_assert!(self.started <= self.policy.retry_allowance, "more attempts than allowed");
        prop_assert!(self.in_flight.len() < 2, "more than one hedge");
        prop_assert!(self.now < self.policy.deadline, "an attempt starts after the deadline");
        if self.may_have_run == 0 {
            return Ok(());
        }
        prop_assert_eq!(self.policy.mode, IdempotenceMode::Idempotent, "may run twice");
        prop_assert_eq!(
            self.confirmation,
            ConfigConfirmation::Confirmed,
            "repeated under an unconfirmed configuration"
        );
        if role == AttemptRole::Hedge {
            prop_assert_eq!(self.in_flight.len(), 1);
        }
        Ok(())
    }

    fn verify_end(&self, code: Option<ResultCode>) -> Result<(), TestCaseError> {
        if self.policy.mode == IdempotenceMode::AtMostOnce {
            prop_assert!(self.ran <= 1, "ran {} times", self.ran);
            prop_assert!(self.may_have_run <= 1);
        }
        let Some(code) = code else { return Ok(()) };
        if is_not_run(code) {
            prop_assert_eq!(
                self.may_have_run,
                0,
                "reported as not run, but may have run: {}",
                code
            );
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4096, ..ProptestConfig::default() })]

    #[test]
    fn no_order_of_events_runs_an_at_most_once_request_twice_or_reports_a_false_not_run(
        policy in policy(),
        events in proptest::collection::vec(event(), 0..24),
    ) {
        Model::new(policy).run(events)?;
    }
}
