//! Arrivals of requests: a Poisson process whose rate and split over the entries are drawn anew
//! every `shift_interval`.

use std::time::Duration;

use crate::ops::experiment::settings::{ExperimentSettings, ServiceSettings};
use crate::util::SeededRandom;

/// A request's arrival at an entry.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestArrival {
    /// Index of the entry.
    pub(super) entry: usize,
    /// Service time at a target of full speed.
    pub(super) service_time: Duration,
    /// Time of the next arrival.
    pub(super) next_at: Duration,
}

/// The arrivals of one run; the seed determines them.
#[derive(Debug)]
pub(super) struct ArrivalProcess {
    random: SeededRandom,
    mean_rate: f64,
    shift_interval: Duration,
    shift_depth: f64,
    service_time_median_secs: f64,
    service_time_sigma: f64,
    shift_end: Duration,
    rate: f64,
    cumulative_shares: Vec<f64>,
}

impl ArrivalProcess {
    pub(super) fn new(settings: &ExperimentSettings, service: &ServiceSettings) -> Self {
        let sigma = service.sigma;
        Self {
            random: SeededRandom::new(settings.seed),
            mean_rate: settings.load * service.capacity(),
            shift_interval: settings.shift_interval,
            shift_depth: settings.shift_depth,
            // The mean of a log-normal variable is its median times exp(sigma^2 / 2).
            service_time_median_secs: service.mean_service.as_secs_f64()
                / (sigma * sigma / 2.0).exp(),
            service_time_sigma: sigma,
            shift_end: Duration::ZERO,
            rate: 1.0,
            cumulative_shares: vec![0.0; settings.entries],
        }
    }

    /// Draws the arrival at `now` and the time of the one after it.
    pub(super) fn next(&mut self, now: Duration) -> RequestArrival {
        if now >= self.shift_end {
            self.shift_rates();
            self.shift_end = now + self.shift_interval;
        }
        let work =
            self.service_time_median_secs * (self.service_time_sigma * self.draw_normal()).exp();
        // The gaps of a Poisson process are exponentially distributed.
        let gap = -(1.0 - self.random.unit()).ln() / self.rate;
        RequestArrival {
            entry: self.draw_entry(),
            service_time: Duration::from_secs_f64(work),
            next_at: now + Duration::from_secs_f64(gap),
        }
    }

    /// Draws the arrival rate and the entries' shares of it.
    fn shift_rates(&mut self) {
        let change = self.shift_depth * (2.0 * self.random.unit() - 1.0);
        self.rate = self.mean_rate * (1.0 + change);
        let mut sum = 0.0;
        for share in &mut self.cumulative_shares {
            sum += 1.0 + self.shift_depth * (2.0 * self.random.unit() - 1.0);
            *share = sum;
        }
    }

    fn draw_entry(&mut self) -> usize {
        let last = self.cumulative_shares.len() - 1;
        let drawn = self.random.unit() * self.cumulative_shares[last];
        self.cumulative_shares.iter().position(|share| drawn < *share).unwrap_or(last)
    }

    /// Draws a standard normal variable by the Box-Muller transform.
    fn draw_normal(&mut self) -> f64 {
        let radius = (-2.0 * (1.0 - self.random.unit()).ln()).sqrt();
        radius * (std::f64::consts::TAU * self.random.unit()).cos()
    }
}
