//! Settings of a policy comparison.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::balance::LoadPickerSettings;
use crate::util::duration_text;
use crate::util::settings_file::{FieldError, ValidatedSettings};

/// Settings of a policy comparison; every field has a default.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ExperimentSettings {
    /// Seed of the arrivals, the service times, the noisy neighbours and every picker.
    pub seed: u64,
    /// Mean arrival rate as a share of the targets' nominal capacity, above 0 and up to 2.
    pub load: f64,
    /// Simulated time of each run in which requests arrive.
    #[serde(with = "duration_text")]
    pub duration: Duration,
    /// Time at the start of each run whose requests and probes are left out of the results.
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
    /// Time after which the arrival rate and the entries' shares of it are drawn anew.
    #[serde(with = "duration_text")]
    pub shift_interval: Duration,
    /// Largest relative change of the arrival rate and of an entry's share, between 0 and 1.
    pub shift_depth: f64,
    /// Settings of the daemon's picker.
    pub picker: LoadPickerSettings,
    /// Most attempts of one request; a shed, a refused connection or an error leads to another.
    pub max_attempts: usize,
    /// Probe budget of the whole deployment in probes per second, for policies with a budget.
    pub probes_per_second: f64,
    /// Mean number of probes that the probe pool sends at each request, outside the budget.
    pub pool_probes_per_request: f64,
    /// Services to simulate.
    pub services: Vec<ServiceSettings>,
    /// Scenarios to simulate.
    pub scenarios: Vec<ScenarioKind>,
    /// Policies to compare.
    pub policies: Vec<PolicyKind>,
}

/// A service whose requests are distributed over its targets.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name in the report.
    pub name: String,
    /// Number of targets.
    pub targets: usize,
    /// Requests that a target serves concurrently; further ones are queued.
    pub slots: u32,
    /// Mean service time; service times are log-normally distributed.
    #[serde(with = "duration_text")]
    pub mean_service: Duration,
    /// Standard deviation of the logarithm of the service time.
    pub sigma: f64,
}

/// Fault that targets have during a run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ScenarioKind {
    /// No fault.
    Steady,
    /// All targets lose part of their speed for short times, at random.
    NoisyNeighbours,
    /// A few targets run at a fifth of their speed in the middle third of the run.
    SlowDown,
    /// A few targets always report that they are idle.
    LyingReports,
    /// A few targets fail every request immediately in the middle third of the run.
    FastFailure,
    /// Targets are replaced one after another by new ones, which are slow at first.
    ColdStarts,
    /// Targets shed requests beyond a short queue.
    Shed,
    /// Targets send the drain signal, stop and are replaced, one after another.
    Drain,
}

/// Policy by which entries pick a target.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum PolicyKind {
    /// A uniformly random target.
    Random,
    /// Targets in turn.
    RoundRobin,
    /// The one of two random targets with fewer requests of the same entry in flight.
    PowerOfTwo,
    /// Probed in-flight counts and latencies with the hot-cold rule of Prequal.
    ProbePool,
    /// The daemon's picker.
    Heatherfall,
    /// The target with the fewest requests of all entries in flight, which no entry can know.
    Oracle,
}

/// All scenarios in the order of reports.
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

/// All policies in the order of reports.
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

    /// Requests per second that all targets together can serve at full speed.
    pub fn capacity(&self) -> f64 {
        self.targets as f64 * f64::from(self.slots) / self.mean_service.as_secs_f64()
    }
}

impl ValidatedSettings for ExperimentSettings {
    fn validate(&self) -> Result<(), FieldError> {
        if !(self.load > 0.0 && self.load <= 2.0) {
            return Err(field_error("load", "out of range", "set a number above 0 and up to 2"));
        }
        if !(0.0..=1.0).contains(&self.shift_depth) {
            return Err(field_error("shift_depth", "out of range", "set a number between 0 and 1"));
        }
        if self.warm_up >= self.duration {
            return Err(field_error(
                "warm_up",
                "not shorter than `duration`",
                "set a shorter time",
            ));
        }
        if self.entries == 0 || self.failure_domains == 0 {
            return Err(field_error(
                "entries",
                "no entries or no failure domains",
                "set at least one of each",
            ));
        }
        if self.shift_interval.is_zero() {
            return Err(field_error("shift_interval", "zero", "set a time such as \"10ms\""));
        }
        for service in &self.services {
            if service.targets == 0 || service.slots == 0 || service.mean_service.is_zero() {
                return Err(field_error(
                    "services",
                    "a service with no capacity",
                    "set targets, slots and mean_service above 0",
                ));
            }
        }
        Ok(())
    }
}

fn field_error(field: &'static str, message: &str, help: &str) -> FieldError {
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
