//! The decisions about attempts against a model that knows which attempts really ran.

use std::time::Duration;

use heatherfall::core::{IdempotenceMode, ResultCode};
use heatherfall::request::{
    AttemptIndex, AttemptPolicy, AttemptRole, ConfigConfirmation, ExecutionAction, ExecutionEvent,
    ExecutionState, OutcomeKind, StartRefusal, StepContext, UnknownCause, is_not_run,
};
use proptest::prelude::*;
use tokio::time::Instant;

/// What the environment does next; attempts and times are chosen among those that are possible.
#[derive(Clone, Copy, Debug)]
enum Choice {
    End { which: usize, end: OutcomeKind, ran: bool },
    FireTimer,
    Flip,
    Refuse(StartRefusal),
}

fn choice() -> impl Strategy<Value = Choice> {
    let unknown = prop_oneof![
        Just(UnknownCause::ConnectionBroken),
        Just(UnknownCause::TimedOut),
        Just(UnknownCause::AnswerNotWhole),
    ];
    let end = prop_oneof![
        1 => Just(OutcomeKind::Answered),
        2 => Just(OutcomeKind::ServerError),
        4 => Just(OutcomeKind::NotRun),
        4 => unknown.prop_map(OutcomeKind::Unknown),
    ];
    let refusal = prop_oneof![Just(StartRefusal::NoUpstream), Just(StartRefusal::BudgetSpent)];
    prop_oneof![
        8 => (0..2usize, end, any::<bool>())
            .prop_map(|(which, end, ran)| Choice::End { which, end, ran }),
        2 => Just(Choice::FireTimer),
        1 => Just(Choice::Flip),
        1 => refusal.prop_map(Choice::Refuse),
    ]
}

fn plan() -> impl Strategy<Value = AttemptPolicy> {
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

/// Drives one exchange to its end and checks every promise on the way.
struct Model {
    plan: AttemptPolicy,
    state: ExecutionState,
    now: Instant,
    standing: ConfigConfirmation,
    started: u32,
    in_flight: Vec<AttemptIndex>,
    /// Attempts that ran or may have run: all but the provably not run.
    may_have_run: u32,
    /// Attempts that really ran.
    ran: u32,
}

impl Model {
    fn new(plan: AttemptPolicy) -> Self {
        Self {
            plan,
            state: ExecutionState::new(plan),
            now: Instant::now(),
            standing: ConfigConfirmation::Confirmed,
            started: 0,
            in_flight: Vec::new(),
            may_have_run: 0,
            ran: 0,
        }
    }

    fn step(&mut self, event: ExecutionEvent) -> ExecutionAction {
        self.state.step(event, StepContext { now: self.now, confirmation: self.standing })
    }

    fn run(mut self, choices: Vec<Choice>) -> Result<(), TestCaseError> {
        let mut choices = choices.into_iter();
        let mut action = self.step(ExecutionEvent::Admitted);
        loop {
            action = match action {
                ExecutionAction::Start(role) => {
                    self.check_start(role)?;
                    match choices.next() {
                        Some(Choice::Refuse(reason)) => {
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
                    prop_assert!(until <= self.plan.deadline);
                    prop_assert!(!self.in_flight.is_empty(), "waits for nothing");
                    self.advance(choices.next(), until)
                }
                ExecutionAction::Respond(_) => return self.check_end(None),
                ExecutionAction::Fail(code) => return self.check_end(Some(code)),
            };
        }
    }

    fn advance(&mut self, choice: Option<Choice>, until: Instant) -> ExecutionAction {
        match choice {
            Some(Choice::End { which, end, ran }) => {
                let attempt = self.in_flight.remove(which % self.in_flight.len());
                match end {
                    OutcomeKind::NotRun => self.may_have_run -= 1,
                    OutcomeKind::Unknown(_) => self.ran += u32::from(ran),
                    OutcomeKind::Answered | OutcomeKind::ServerError => self.ran += 1,
                }
                self.now += Duration::from_millis(1);
                self.step(ExecutionEvent::Ended { attempt, end })
            }
            Some(Choice::Flip) => {
                self.standing = ConfigConfirmation::Unconfirmed;
                ExecutionAction::Wait { until }
            }
            Some(Choice::FireTimer | Choice::Refuse(_)) | None => {
                self.now = self.now.max(until);
                self.step(ExecutionEvent::TimerFired)
            }
        }
    }

    fn check_start(&self, role: AttemptRole) -> Result<(), TestCaseError> {
        prop_assert!(self.started <= self.plan.retry_allowance, "more attempts than allowed");
        prop_assert!(self.in_flight.len() < 2, "more than one hedge");
        prop_assert!(self.now < self.plan.deadline, "work is started past its deadline");
        if self.may_have_run == 0 {
            return Ok(());
        }
        prop_assert_eq!(self.plan.mode, IdempotenceMode::Idempotent, "would run twice");
        prop_assert_eq!(
            self.standing,
            ConfigConfirmation::Confirmed,
            "repeated without confirmation"
        );
        if role == AttemptRole::Hedge {
            prop_assert_eq!(self.in_flight.len(), 1);
        }
        Ok(())
    }

    fn check_end(&self, code: Option<ResultCode>) -> Result<(), TestCaseError> {
        if self.plan.mode == IdempotenceMode::AtMostOnce {
            prop_assert!(self.ran <= 1, "ran {} times", self.ran);
            prop_assert!(self.may_have_run <= 1);
        }
        let Some(code) = code else { return Ok(()) };
        if is_not_run(code) {
            prop_assert_eq!(self.may_have_run, 0, "false not run: {}", code);
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 4096, ..ProptestConfig::default() })]

    #[test]
    fn no_order_of_events_runs_at_most_once_work_twice_or_tells_a_false_not_run(
        plan in plan(),
        choices in proptest::collection::vec(choice(), 0..24),
    ) {
        Model::new(plan).run(choices)?;
    }
}
