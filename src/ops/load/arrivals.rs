//! When requests are due, and what they are.

use std::time::Duration;

use crate::ops::load::settings::LoadTestSettings;
use crate::util::SeededRandom;

/// Lowest share of the mean rate after a shift.
const MIN_RATE_SHARE: f64 = 0.01;

/// One request to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ScheduledRequest {
    /// Time from the start of the run.
    pub(super) at: Duration,
    /// Index of its class.
    pub(super) class: usize,
    /// Index of its caller.
    pub(super) caller: usize,
}

/// Draws a Poisson process whose rate shifts every few milliseconds.
#[derive(Debug)]
pub(super) struct ArrivalSchedule {
    random: SeededRandom,
    mean_rate: f64,
    rate: f64,
    shift_interval: Duration,
    shift_depth: f64,
    shift_end: Duration,
    cumulative_weights: Vec<f64>,
    callers: usize,
    duration: Duration,
    now: Duration,
}

impl ArrivalSchedule {
    pub(super) fn new(settings: &LoadTestSettings) -> Self {
        let mut sum = 0.0;
        let mut cumulative_weights = Vec::with_capacity(settings.classes.len());
        for class in &settings.classes {
            sum += class.weight;
            cumulative_weights.push(sum);
        }
        Self {
            random: SeededRandom::new(settings.seed),
            mean_rate: settings.rate,
            rate: settings.rate,
            shift_interval: settings.shift_interval,
            shift_depth: settings.shift_depth,
            shift_end: Duration::ZERO,
            cumulative_weights,
            callers: settings.callers,
            duration: settings.duration,
            now: Duration::ZERO,
        }
    }

    fn shift(&mut self) {
        let change = self.shift_depth * (2.0 * self.random.unit() - 1.0);
        self.rate = self.mean_rate * (1.0 + change).max(MIN_RATE_SHARE);
        self.shift_end = self.now + self.shift_interval;
    }

    fn class(&mut self) -> usize {
        let last = self.cumulative_weights.len() - 1;
        let drawn = self.random.unit() * self.cumulative_weights[last];
        self.cumulative_weights.iter().position(|weight| drawn < *weight).unwrap_or(last)
    }
}

impl Iterator for ArrivalSchedule {
    type Item = ScheduledRequest;

    fn next(&mut self) -> Option<ScheduledRequest> {
        if self.now >= self.shift_end {
            self.shift();
        }
        // Exponential gaps make a Poisson process.
        let gap = -(1.0 - self.random.unit()).ln() / self.rate;
        self.now += Duration::from_secs_f64(gap);
        if self.now >= self.duration {
            return None;
        }
        let class = self.class();
        let caller = self.random.below(self.callers);
        Some(ScheduledRequest { at: self.now, class, caller })
    }
}
