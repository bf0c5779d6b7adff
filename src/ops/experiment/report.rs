//! Report of a comparison: a table to read, and JSON.

use std::fmt;

use comfy_table::{Table, presets};
use serde::Serialize;

use crate::ops::experiment::RunPlan;
use crate::ops::experiment::run::SimulationStats;
use crate::ops::experiment::settings::{ExperimentSettings, PolicyKind, ScenarioKind};

/// Number of requests that probe counts are given for.
const PROBE_BASE: f64 = 1000.0;

/// Result of one simulation. Requests that arrived in the warm-up are left out.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyStats {
    /// Name of the service.
    pub service: String,
    /// Scenario.
    pub scenario: ScenarioKind,
    /// Policy.
    pub policy: PolicyKind,
    /// Requests that were answered.
    pub answered: u64,
    /// Requests that failed in all attempts, or for which no target could be picked.
    pub errors: u64,
    /// Probes per 1,000 requests.
    pub probes_per_1000: f64,
    /// Median latency in microseconds.
    pub p50_us: u64,
    /// 99th percentile of latency in microseconds.
    pub p99_us: u64,
    /// 99.9th percentile of latency in microseconds.
    pub p999_us: u64,
    /// Lower bound of the 99.9th percentile in microseconds: service time at full speed without
    /// queueing, and the network delay within one failure domain.
    pub p999_floor_us: u64,
    /// Ratios to power of two choices in the same service and scenario, if that was simulated.
    pub ratios: Option<LatencyRatios>,
}

/// Latencies relative to those of a baseline policy.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct LatencyRatios {
    /// Ratio of the medians.
    pub p50: f64,
    /// Ratio of the 99th percentiles.
    pub p99: f64,
    /// Ratio of the 99.9th percentiles.
    pub p999: f64,
}

/// Result of a comparison.
#[derive(Clone, Debug, Serialize)]
pub struct ExperimentReport {
    /// Settings of the comparison.
    pub settings: ExperimentSettings,
    /// Results in order of service, scenario and policy.
    pub figures: Vec<PolicyStats>,
}

impl PolicyStats {
    pub(super) fn new(plan: &RunPlan, stats: &SimulationStats) -> Self {
        let quantile = |q| stats.latency_us.value_at_quantile(q);
        let requests = (stats.answered + stats.errors).max(1);
        Self {
            service: plan.service.name.clone(),
            scenario: plan.scenario,
            policy: plan.policy,
            answered: stats.answered,
            errors: stats.errors,
            probes_per_1000: stats.probes as f64 * PROBE_BASE / requests as f64,
            p50_us: quantile(0.5),
            p99_us: quantile(0.99),
            p999_us: quantile(0.999),
            p999_floor_us: stats.floor_us.value_at_quantile(0.999),
            ratios: None,
        }
    }
}

impl ExperimentReport {
    pub(super) fn new(settings: ExperimentSettings, mut figures: Vec<PolicyStats>) -> Self {
        let baselines: Vec<PolicyStats> = figures
            .iter()
            .filter(|stats| stats.policy == PolicyKind::PowerOfTwo)
            .cloned()
            .collect();
        for stats in &mut figures {
            let baseline = baselines.iter().find(|baseline| {
                baseline.service == stats.service && baseline.scenario == stats.scenario
            });
            stats.ratios = baseline.map(|baseline| LatencyRatios {
                p50: ratio(stats.p50_us, baseline.p50_us),
                p99: ratio(stats.p99_us, baseline.p99_us),
                p999: ratio(stats.p999_us, baseline.p999_us),
            });
        }
        Self { settings, figures }
    }

    /// Result of one simulation, if it is part of the comparison.
    pub fn find(
        &self,
        service: &str,
        scenario: ScenarioKind,
        policy: PolicyKind,
    ) -> Option<&PolicyStats> {
        self.figures.iter().find(|stats| {
            stats.service == service && stats.scenario == scenario && stats.policy == policy
        })
    }
}

fn ratio(value: u64, baseline: u64) -> f64 {
    value as f64 / baseline.max(1) as f64
}

impl fmt::Display for ExperimentReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut table = Table::new();
        table.load_style(presets::ASCII_MARKDOWN).set_header([
            "service",
            "scenario",
            "policy",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "floor ms",
            "p50",
            "p99",
            "p99.9",
            "errors",
            "probes/1000",
        ]);
        for stats in &self.figures {
            let ratios = stats.ratios.map(|r| [r.p50, r.p99, r.p999]);
            let [p50, p99, p999] =
                ratios.map(|values| values.map(|value| format!("{value:.2}"))).unwrap_or_default();
            table.add_row([
                stats.service.clone(),
                stats.scenario.as_str().to_owned(),
                stats.policy.as_str().to_owned(),
                millis(stats.p50_us),
                millis(stats.p99_us),
                millis(stats.p999_us),
                millis(stats.p999_floor_us),
                p50,
                p99,
                p999,
                stats.errors.to_string(),
                format!("{:.1}", stats.probes_per_1000),
            ]);
        }
        write!(f, "{table}")
    }
}

fn millis(micros: u64) -> String {
    format!("{:.2}", micros as f64 / 1000.0)
}
