//! What a run measured: a table for people, JSON for `compare` and plots.

use std::fmt;
use std::time::Duration;

use comfy_table::{Table, presets};
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::ops::load::caller::CallOutcome;
use crate::ops::load::settings::LoadTestSettings;

/// Significant digits of recorded latencies.
const HISTOGRAM_DIGITS: u8 = 3;
/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Steps for each halving of the distance to the 100th percentile.
const POINTS_PER_HALF: u32 = 4;

/// Counters of one class during a run.
#[derive(Debug)]
pub(super) struct ClassRecorder {
    latency_us: Histogram<u64>,
    figures: ClassStats,
}

/// What a run measured.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct LoadTestReport {
    /// What was asked for.
    pub settings: LoadTestSettings,
    /// Figures of each class, in the order of the settings.
    pub classes: Vec<ClassStats>,
    /// Whole own answers a second, over all classes.
    pub answered_per_second: f64,
}

/// Figures of one class. Latencies count from the time a request was due to the end of its
/// answer, and only for whole own answers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct ClassStats {
    /// Name.
    pub name: String,
    /// Whole own answers.
    pub answered: u64,
    /// Refusals with proof that the request did not run.
    pub not_run: u64,
    /// Failures after which the request may have run.
    pub unknown: u64,
    /// Other answers that are no success.
    pub errors: u64,
    /// Connections that failed and answers that were cut.
    pub broken: u64,
    /// Answers that belonged to another request.
    pub foreign: u64,
    /// Median in microseconds.
    pub p50_us: u64,
    /// 99th percentile in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile in microseconds.
    pub p999_us: u64,
    /// Longest in microseconds.
    pub max_us: u64,
    /// Latency by quantile.
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
        Ok(Self { latency_us, figures: ClassStats::default() })
    }

    pub(super) fn record(&mut self, outcome: CallOutcome, latency: Duration) {
        let figures = &mut self.figures;
        match outcome {
            CallOutcome::Answered => {
                figures.answered += 1;
                self.latency_us.saturating_record(latency.as_micros() as u64);
            }
            CallOutcome::NotRun => figures.not_run += 1,
            CallOutcome::Unknown => figures.unknown += 1,
            CallOutcome::Error => figures.errors += 1,
            CallOutcome::Broken => figures.broken += 1,
            CallOutcome::Foreign => figures.foreign += 1,
        }
    }

    pub(super) fn figures(&self, name: &str) -> ClassStats {
        let quantile = |q| self.latency_us.value_at_quantile(q);
        let mut points = Vec::new();
        if self.figures.answered > 0 {
            for value in self.latency_us.iter_quantiles(POINTS_PER_HALF) {
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
            ..self.figures.clone()
        }
    }
}

impl ClassStats {
    /// Requests that did not get a whole answer of their own.
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

    /// Requests of all classes that got a whole answer of their own.
    pub fn answered(&self) -> u64 {
        self.classes.iter().map(|class| class.answered).sum()
    }

    /// Requests of all classes that did not.
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
        write!(f, "{table}\n{:.0} answers a second", self.answered_per_second)
    }
}

fn millis(micros: u64) -> String {
    format!("{:.2}", micros as f64 / 1000.0)
}
