//! Faults of the simulated targets: a pure function of scenario, target, time and seed.

use std::time::Duration;

use crate::ops::experiment::settings::{ExperimentSettings, ScenarioKind, ServiceSettings};

/// One target in this many has a fault that affects a few targets, and at least one has it.
const FEW_TARGETS_DIVISOR: usize = 6;
/// Speed of a target that slows down, as a share of its nominal speed.
const SLOW_SPEED: f64 = 0.2;
/// Speed of a target beside a noisy neighbour, as a share of its nominal speed.
const NOISY_SPEED: f64 = 0.4;
/// Share of the periods in which a target has a noisy neighbour.
const NOISY_SHARE: f64 = 0.12;
/// Length of a period with or without a noisy neighbour.
const NOISY_PERIOD: Duration = Duration::from_millis(150);
/// Speed of a target that has just started, as a share of its nominal speed.
const COLD_SPEED: f64 = 0.2;
/// Time in which the speed of a started target grows to the nominal one.
const TARGET_WARM_UP_TIME: Duration = Duration::from_secs(1);
/// Targets that are replaced, or drained and then replaced, during a run.
const TURNOVERS: u32 = 6;
/// Time from the start of the drain signal to the stop of the target.
const DRAIN_DURATION: Duration = Duration::from_secs(1);
/// Time from the stop of a target to its replacement.
const DOWNTIME: Duration = Duration::from_secs(1);

/// Faults of a target at one time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct TargetCondition {
    /// Speed as a share of the nominal speed.
    pub(super) speed: f64,
    /// Whether load reports say that the target is idle, whatever its load.
    pub(super) is_underreporting: bool,
    /// Whether every request fails immediately with a server error.
    pub(super) is_failing: bool,
    /// Whether responses carry the drain signal.
    pub(super) is_draining: bool,
    /// Whether connections are refused.
    pub(super) is_down: bool,
    /// Number of requests in flight from which on further requests are shed.
    pub(super) shed_at: Option<u32>,
}

/// When targets have which faults in one run.
#[derive(Clone, Debug)]
pub(super) struct FaultSchedule {
    kind: ScenarioKind,
    seed: u64,
    duration: Duration,
    targets: usize,
    slots: u32,
}

impl FaultSchedule {
    pub(super) fn new(
        kind: ScenarioKind,
        settings: &ExperimentSettings,
        service: &ServiceSettings,
    ) -> Self {
        Self {
            kind,
            seed: settings.seed,
            duration: settings.duration,
            targets: service.targets,
            slots: service.slots,
        }
    }

    /// Faults of `target` at `now`, counted from the start of the run.
    pub(super) fn condition(&self, target: usize, now: Duration) -> TargetCondition {
        let mut condition = TargetCondition {
            speed: 1.0,
            is_underreporting: false,
            is_failing: false,
            is_draining: false,
            is_down: false,
            shed_at: None,
        };
        match self.kind {
            ScenarioKind::Steady => {}
            ScenarioKind::NoisyNeighbours => condition.speed = self.noisy_speed(target, now),
            ScenarioKind::SlowDown if self.is_affected(target) && self.is_middle_third(now) => {
                condition.speed = SLOW_SPEED;
            }
            ScenarioKind::LyingReports => condition.is_underreporting = self.is_affected(target),
            ScenarioKind::FastFailure => {
                condition.is_failing = self.is_affected(target) && self.is_middle_third(now);
            }
            ScenarioKind::ColdStarts => condition.speed = self.warm_up_speed(target, now),
            ScenarioKind::Shed => condition.shed_at = Some(2 * self.slots),
            ScenarioKind::Drain => self.apply_drain(&mut condition, target, now),
            ScenarioKind::SlowDown => {}
        }
        condition
    }

    /// Targets that are replaced by new ones, with the times.
    pub(super) fn replacements(&self) -> Vec<ScheduledReplacement> {
        let delay = match self.kind {
            ScenarioKind::ColdStarts => Duration::ZERO,
            ScenarioKind::Drain => DRAIN_DURATION + DOWNTIME,
            _ => return Vec::new(),
        };
        let mut replacements = Vec::new();
        for turn in 0..TURNOVERS {
            let at = self.turnover_time(turn) + delay;
            replacements.push(ScheduledReplacement { target: turn as usize % self.targets, at });
        }
        replacements
    }

    fn turnover_time(&self, turn: u32) -> Duration {
        self.duration * (turn + 1) / (TURNOVERS + 2)
    }

    /// Time since the last turnover of `target` began, if there was one.
    fn time_since_turnover(&self, target: usize, now: Duration) -> Option<Duration> {
        let mut since = None;
        for turn in 0..TURNOVERS {
            let at = self.turnover_time(turn);
            if turn as usize % self.targets == target && at <= now {
                since = Some(now - at);
            }
        }
        since
    }

    fn warm_up_speed(&self, target: usize, now: Duration) -> f64 {
        let Some(since) = self.time_since_turnover(target, now) else { return 1.0 };
        let progress = (since.as_secs_f64() / TARGET_WARM_UP_TIME.as_secs_f64()).min(1.0);
        COLD_SPEED + (1.0 - COLD_SPEED) * progress
    }

    fn apply_drain(&self, condition: &mut TargetCondition, target: usize, now: Duration) {
        let Some(since) = self.time_since_turnover(target, now) else { return };
        condition.is_draining = since < DRAIN_DURATION;
        condition.is_down = since >= DRAIN_DURATION && since < DRAIN_DURATION + DOWNTIME;
    }

    fn noisy_speed(&self, target: usize, now: Duration) -> f64 {
        let period = (now.as_nanos() / NOISY_PERIOD.as_nanos()) as u64;
        let draw = splitmix64(self.seed ^ splitmix64(period ^ ((target as u64) << 40)));
        let unit = (draw >> 11) as f64 / (1_u64 << 53) as f64;
        if unit < NOISY_SHARE { NOISY_SPEED } else { 1.0 }
    }

    fn is_affected(&self, target: usize) -> bool {
        target < (self.targets / FEW_TARGETS_DIVISOR).max(1)
    }

    fn is_middle_third(&self, now: Duration) -> bool {
        now >= self.duration / 3 && now < self.duration * 2 / 3
    }
}

/// A target that is replaced by a new one at a set time.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct ScheduledReplacement {
    /// Index of the target.
    pub(super) target: usize,
    /// Time from the start of the run.
    pub(super) at: Duration,
}

/// The finalizer of SplitMix64 (G. Steele, D. Lea, C. Flood, "Fast Splittable Pseudorandom Number
/// Generators", 2014).
fn splitmix64(mut bits: u64) -> u64 {
    bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
