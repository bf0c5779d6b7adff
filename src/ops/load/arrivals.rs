//! The open-loop schedule of requests: when each is due, of which class and from which caller.

use std::time::Duration;

use crate::ops::load::settings::LoadTestSettings;
use crate::util::SeededRandom;

/// Lowest rate after a shift, as a share of the mean rate. A shift depth of 1 could draw a rate of
/// zero, with which the next request would never be due.
const MIN_RATE_SHARE: f64 = 0.01;

/// A request with the time at which it is due.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct ScheduledRequest {
    /// Due time, from the start of the run.
    pub(super) at: Duration,
    /// Index into the classes of the settings.
    pub(super) class: usize,
    /// Index of the caller that sends it.
    pub(super) caller: usize,
}

/// A Poisson process whose rate is drawn anew every `shift_interval`; the seed determines it.
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

    fn shift_rate(&mut self) {
        let change = self.shift_depth * (2.0 * self.random.unit() - 1.0);
        self.rate = self.mean_rate * (1.0 + change).max(MIN_RATE_SHARE);
        self.shift_end = self.now + self.shift_interval;
    }

    fn draw_class(&mut self) -> usize {
        let last = self.cumulative_weights.len() - 1;
        let drawn = self.random.unit() * self.cumulative_weights[last];
        self.cumulative_weights.iter().position(|weight| drawn < *weight).unwrap_or(last)
    }
}

impl Iterator for ArrivalSchedule {
    type Item = ScheduledRequest;

    fn next(&mut self) -> Option<ScheduledRequest> {
        if self.now >= self.shift_end {
            self.shift_rate();
        }
        // The gaps of a Poisson process are exponentially distributed.
        let gap = -(1.0 - self.random.unit()).ln() / self.rate;
        self.now += Duration::from_secs_f64(gap);
        if self.now >= self.duration {
            return None;
        }
        let class = self.draw_class();
        let caller = self.random.below(self.callers);
        Some(ScheduledRequest { at: self.now, class, caller })
    }
}
