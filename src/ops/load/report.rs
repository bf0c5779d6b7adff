//! Report of a load test: a table to read, and JSON for `compare` and plots.

use std::fmt;
use std::time::Duration;

use comfy_table::{Table, presets};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::ops::load::caller::CallOutcome;
use crate::ops::load::settings::LoadTestSettings;

/// Significant decimal digits of recorded latencies.
const HISTOGRAM_DIGITS: u8 = 3;
/// Longest latency that the histogram records, in microseconds; longer ones count as this one.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Points of the latency distribution for each halving of the distance to the 100th percentile.
const POINTS_PER_HALVING: u32 = 4;

/// Outcomes and latencies of one class during a run.
#[derive(Debug)]
pub(super) struct ClassRecorder {
    latency_us: Histogram<u64>,
    stats: ClassStats,
}

/// Result of a load test.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadTestReport {
    /// Settings of the run.
    pub settings: LoadTestSettings,
    /// Stats of each class, in the order of the settings.
    pub classes: Vec<ClassStats>,
    /// Requests answered per second, over all classes.
    pub answered_per_second: f64,
}

/// Outcomes and latencies of one class. Latency is measured from the time at which a request was
/// due to the end of its response, and only for requests that were answered.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClassStats {
    /// Name of the class.
    pub name: String,
    /// Requests with a complete response of their own and status 200.
    pub answered: u64,
    /// Requests refused with the not-run header.
    pub not_run: u64,
    /// Error responses of an entry after which the request may have run.
    pub unknown: u64,
    /// Other responses with a status other than 200.
    pub errors: u64,
    /// Failed connections and truncated responses.
    pub broken: u64,
    /// Responses that belonged to another request.
    pub foreign: u64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of latency in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of latency in microseconds.
    pub p999_us: u64,
    /// Longest latency in microseconds.
    pub max_us: u64,
    /// Latency by quantile; empty if no request was answered.
    pub points: Vec<LatencyPoint>,
}

/// One point of a latency distribution.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct LatencyPoint {
    /// Quantile between 0 and 1.
    pub quantile: f64,
    /// Latency in microseconds.
    pub latency_us: u64,
}

impl ClassRecorder {
    pub(super) fn new() -> miette::Result<Self> {
        let latency_us = Histogram::new_with_max(MAX_LATENCY_US, HISTOGRAM_DIGITS)
            .map_err(|error| miette::miette!("{error}"))?;
        Ok(Self { latency_us, stats: ClassStats::default() })
    }

    pub(super) fn record(&mut self, outcome: CallOutcome, latency: Duration) {
        let stats = &mut self.stats;
        match outcome {
            CallOutcome::Answered => {
                stats.answered += 1;
                self.latency_us.saturating_record(latency.as_micros() as u64);
            }
            CallOutcome::NotRun => stats.not_run += 1,
            CallOutcome::Unknown => stats.unknown += 1,
            CallOutcome::Error => stats.errors += 1,
            CallOutcome::Broken => stats.broken += 1,
            CallOutcome::Foreign => stats.foreign += 1,
        }
    }

    pub(super) fn stats(&self, name: &str) -> ClassStats {
        let quantile = |q| self.latency_us.value_at_quantile(q);
        let mut points = Vec::new();
        if self.stats.answered > 0 {
            for value in self.latency_us.iter_quantiles(POINTS_PER_HALVING) {
                points.push(LatencyPoint {
                    quantile: value.quantile_iterated_to(),
                    latency_us: value.value_iterated_to(),
                });
            }
        }
        ClassStats {
            name: name.to_owned(),
            p50_us: quantile(0.5),
            p99_us: quantile(0.99),
            p999_us: quantile(0.999),
            max_us: self.latency_us.max(),
            points,
            ..self.stats.clone()
        }
    }
}

impl ClassStats {
    /// Requests of the class that were not answered.
    pub fn failed(&self) -> u64 {
        self.not_run + self.unknown + self.errors + self.broken + self.foreign
    }
}

impl LoadTestReport {
    pub(super) fn new(
        settings: LoadTestSettings,
        classes: Vec<ClassStats>,
        elapsed: Duration,
    ) -> Self {
        let answered: u64 = classes.iter().map(|class| class.answered).sum();
        let answered_per_second = answered as f64 / elapsed.as_secs_f64();
        Self { settings, classes, answered_per_second }
    }

    /// Answered requests of all classes.
    pub fn answered(&self) -> u64 {
        self.classes.iter().map(|class| class.answered).sum()
    }

    /// Requests of all classes that were not answered.
    pub fn failed(&self) -> u64 {
        self.classes.iter().map(ClassStats::failed).sum()
    }
}

impl fmt::Display for LoadTestReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new();
        table.load_style(presets::ASCII_MARKDOWN).set_header([
            "class", "answered", "not run", "unknown", "errors", "broken", "foreign", "p50 ms",
            "p99 ms", "p99.9 ms", "max ms",
        ]);
        for class in &self.classes {
            table.add_row([
                class.name.clone(),
                class.answered.to_string(),
                class.not_run.to_string(),
                class.unknown.to_string(),
                class.errors.to_string(),
                class.broken.to_string(),
                class.foreign.to_string(),
                millis(class.p50_us),
                millis(class.p99_us),
                millis(class.p999_us),
                millis(class.max_us),
            ]);
        }
        write!(f, "{table}\n{:.0} answered requests per second", self.answered_per_second)
    }
}

fn millis(micros: u64) -> String {
    format!("{:.2}", micros as f64 / 1000.0)
}
