//! Settings of the policy comparison.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::balance::LoadPickerSettings;
use crate::util::duration_text;
use crate::util::settings_file::{FieldError, ValidatedSettings};

/// What a comparison runs; every field has a default.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExperimentSettings {
    /// Seed of arrivals, service times and of every picker.
    pub seed: u64,
    /// Arrivals as a share of the targets' nominal capacity.
    pub load: f64,
    /// Length of each run.
    #[serde(with = "duration_text")]
    pub duration: Duration,
    /// Start of each run that is left out of the figures.
    #[serde(with = "duration_text")]
    pub warm_up: Duration,
    /// Entry VMs, each with a picker of its own.
    pub entries: usize,
    /// Failure domains that entries and targets are spread over.
    pub failure_domains: usize,
    /// One-way network delay within a failure domain.
    #[serde(with = "duration_text")]
    pub local_delay: Duration,
    /// One-way network delay between failure domains.
    #[serde(with = "duration_text")]
    pub remote_delay: Duration,
    /// Time after which the arrival rate and its spread over entries are drawn anew.
    #[serde(with = "duration_text")]
    pub shift_interval: Duration,
    /// Largest relative change of the arrival rate, between 0 and 1.
    pub shift_depth: f64,
    /// Settings of the daemon's picker.
    pub picker: LoadPickerSettings,
    /// Attempts of one request; a shed, a refused connection or an error leads to another.
    pub max_attempts: usize,
    /// Probes a second of the whole deployment, for policies that keep to a budget.
    pub probes_per_second: f64,
    /// Probes that the probed pool sends with each request, outside the budget.
    pub pool_probes_per_request: f64,
    /// Services to run.
    pub services: Vec<ServiceSettings>,
    /// Scenarios to run.
    pub scenarios: Vec<ScenarioKind>,
    /// Policies to compare.
    pub policies: Vec<PolicyKind>,
}

/// One service of a user.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name in the report.
    pub name: String,
    /// Targets.
    pub targets: usize,
    /// Requests that a target works on at the same time.
    pub slots: u32,
    /// Mean service time.
    #[serde(with = "duration_text")]
    pub mean_service: Duration,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
}

/// What goes wrong during a run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ScenarioKind {
    /// Nothing.
    Steady,
    /// Targets lose part of their speed for short times.
    NoisyNeighbours,
    /// A few targets run at a fifth of their speed for the middle third.
    SlowDown,
    /// A few targets report that they are idle.
    LyingReports,
    /// A few targets answer every request at once with an error for the middle third.
    FastFailure,
    /// Targets are replaced one after another by cold ones.
    ColdStarts,
    /// Targets refuse work beyond a short queue.
    Shed,
    /// Targets mark themselves as draining and stop, one after another.
    Drain,
}

/// Who picks.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// Any target.
    Random,
    /// Targets in turn.
    RoundRobin,
    /// The less loaded of two random targets by own in-flight.
    PowerOfTwo,
    /// Probed in-flight and latency pools.
    ProbePool,
    /// The daemon's picker.
    Heatherfall,
    /// The least loaded target by the true load, which no entry can know.
    Oracle,
}

/// Every scenario in the order of reports.
pub const ALL_SCENARIOS: [ScenarioKind; 8] = [
    ScenarioKind::Steady,
    ScenarioKind::NoisyNeighbours,
    ScenarioKind::SlowDown,
    ScenarioKind::LyingReports,
    ScenarioKind::FastFailure,
    ScenarioKind::ColdStarts,
    ScenarioKind::Shed,
    ScenarioKind::Drain,
];

/// Every policy in the order of reports.
pub const ALL_POLICIES: [PolicyKind; 6] = [
    PolicyKind::Random,
    PolicyKind::RoundRobin,
    PolicyKind::PowerOfTwo,
    PolicyKind::ProbePool,
    PolicyKind::Heatherfall,
    PolicyKind::Oracle,
];

impl Default for ExperimentSettings {
    fn default() -> Self {
        Self {
            seed: 1,
            load: 0.8,
            duration: Duration::from_secs(24),
            warm_up: Duration::from_secs(1),
            entries: 17,
            failure_domains: 3,
            local_delay: Duration::from_micros(100),
            remote_delay: Duration::from_micros(1500),
            shift_interval: Duration::from_millis(10),
            shift_depth: 0.5,
            picker: LoadPickerSettings::default(),
            max_attempts: 3,
            probes_per_second: 50.0,
            pool_probes_per_request: 2.0,
            services: vec![
                ServiceSettings::new("lookups", 17, 4, 5, 0.4),
                ServiceSettings::new("repository-reads", 22, 3, 20, 0.7),
            ],
            scenarios: ALL_SCENARIOS.to_vec(),
            policies: ALL_POLICIES.to_vec(),
        }
    }
}

impl ServiceSettings {
    /// Creates the settings of a service; the mean service time is in milliseconds.
    pub fn new(name: &str, targets: usize, slots: u32, mean_ms: u64, sigma: f64) -> Self {
        Self {
            name: name.to_owned(),
            targets,
            slots,
            mean_service: Duration::from_millis(mean_ms),
            sigma,
        }
    }

    /// Requests a second that the targets can serve together.
    pub fn capacity(&self) -> f64 {
        self.targets as f64 * f64::from(self.slots) / self.mean_service.as_secs_f64()
    }
}

impl ValidatedSettings for ExperimentSettings {
    fn validate(&self) -> Result<(), FieldError> {
        if !(self.load > 0.0 && self.load <= 2.0) {
            return Err(fault("load", "out of range", "set a share above 0 and up to 2"));
        }
        if !(0.0..=1.0).contains(&self.shift_depth) {
            return Err(fault("shift_depth", "out of range", "set a share between 0 and 1"));
        }
        if self.warm_up >= self.duration {
            return Err(fault("warm_up", "not shorter than the run", "set a shorter time"));
        }
        if self.entries == 0 || self.failure_domains == 0 {
            return Err(fault("entries", "nothing to run on", "set at least one entry and domain"));
        }
        if self.shift_interval.is_zero() {
            return Err(fault("shift_interval", "no time at all", "set a time such as \"10ms\""));
        }
        for service in &self.services {
            if service.targets == 0 || service.slots == 0 || service.mean_service.is_zero() {
                return Err(fault("services", "a service without capacity", "set all above 0"));
            }
        }
        Ok(())
    }
}

fn fault(field: &'static str, message: &str, help: &str) -> FieldError {
    FieldError { field, message: message.to_owned(), help: help.to_owned() }
}

impl ScenarioKind {
    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Steady => "steady",
            Self::NoisyNeighbours => "noisy-neighbours",
            Self::SlowDown => "slow-down",
            Self::LyingReports => "lying-reports",
            Self::FastFailure => "fast-failure",
            Self::ColdStarts => "cold-starts",
            Self::Shed => "shed",
            Self::Drain => "drain",
        }
    }
}

impl PolicyKind {
    /// Name in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Random => "random",
            Self::RoundRobin => "round-robin",
            Self::PowerOfTwo => "power-of-two",
            Self::ProbePool => "probe-pool",
            Self::Heatherfall => "heatherfall",
            Self::Oracle => "oracle",
        }
    }
}
