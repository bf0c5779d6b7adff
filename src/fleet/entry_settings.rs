//! Settings of an entry on a platform whose store holds the whole configuration.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::read_schedule::ChangeBounds;
use crate::limits::{HedgeAllowance, WindowAllowance};
use crate::ops::node_settings::LogSettings;
use crate::util::duration_text;
use crate::util::settings_file::{FieldError, ValidatedSettings};

/// Contents of an entry's settings file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the VM, unique in the deployment.
    pub vm: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Budget for retries and hedges of the whole deployment.
    pub repeats: RepeatBudgetSettings,
    /// Bounds for applying changes.
    #[serde(default)]
    pub changes: ChangeBounds,
    /// Rate of load probes.
    #[serde(default)]
    pub probes: ProbeRate,
    /// Directory responses to callers.
    #[serde(default)]
    pub directory: DirectorySettings,
    /// Graceful shutdown.
    #[serde(default)]
    pub shutdown: ShutdownGrace,
    /// Level and format of the logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Region of each failure domain; empty if the deployment names none.
    #[serde(default)]
    pub regions: BTreeMap<String, String>,
    /// Evacuation of failure domains; without it the store is not asked for evacuations.
    #[serde(default)]
    pub evacuation: Option<EvacuationSettings>,
    /// Tolerance of the request rate of upstreams that are warming up; without it, the rates that
    /// services name are not enforced.
    #[serde(default)]
    pub warm_up: Option<WarmUpTolerance>,
    /// Tolerance of the tenants' quotas; without it, quotas are not enforced.
    #[serde(default)]
    pub quota: Option<QuotaTolerance>,
    /// Limits of hedging; without it, hedges are bounded by the budget for repeats alone.
    #[serde(default)]
    pub hedging: Option<HedgeLimits>,
    /// Pipelined requests.
    #[serde(default)]
    pub pipelining: PipelineSettings,
    /// Memory of the VM in megabytes, if known; bounds the request bodies that are held.
    #[serde(default)]
    pub memory_mb: Option<u64>,
}

/// Evacuation of failure domains.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EvacuationSettings {
    /// Time from the store's acknowledgement of an evacuation until upstreams of the failure domain
    /// get no new requests.
    #[serde(with = "duration_text")]
    pub bound: Duration,
}

/// Tolerance of the request rate of upstreams that are warming up. In any second, all entries
/// together may send such an upstream `rate * overage + slack` requests.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct WarmUpTolerance {
    /// Multiple of the rate that the service names, at least 1.
    pub overage: f64,
    /// Further requests, 0 or more.
    pub slack: f64,
}

/// Tolerance of the tenants' quotas. In any window, all entries together may run
/// `(rate * window + burst) * (1 + overage) + slack` requests of a tenant.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct QuotaTolerance {
    /// Length of the sliding window.
    #[serde(with = "duration_text")]
    pub window: Duration,
    /// Share beyond the quota, 0 or more.
    pub overage: f64,
    /// Further requests, 0 or more.
    pub slack: f64,
}

/// Limits of hedging.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct HedgeLimits {
    /// Hedges as a share of the requests of a route, between 0 and 1.
    pub max_share: f64,
    /// Hedges as a share of the requests to a service, between 0 and 1.
    pub max_service_share: f64,
}

impl HedgeLimits {
    /// The shares as a limit of the table of limits.
    pub fn allowance(self) -> HedgeAllowance {
        let Self { max_share, max_service_share } = self;
        HedgeAllowance { max_share, max_service_share }
    }
}

/// Pipelined requests: idempotent ones may start before the response to the first is complete.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PipelineSettings {
    /// Requests of a connection that may run ahead of the one that is being answered; 0 to run one
    /// after the other.
    pub max_ahead: u32,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// For requests of callers.
    pub callers: SocketAddr,
    /// For the platform's readiness checks.
    pub ready: SocketAddr,
    /// For callers that query entry addresses.
    pub directory: SocketAddr,
    /// For metrics.
    pub control: SocketAddr,
    /// For datagrams of other entries (UDP), and requests that they forward (TCP).
    pub peers: SocketAddr,
}

/// Repeats, that is retries and hedges, that the whole deployment may send to the upstreams of a
/// service within a time window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RepeatBudgetSettings {
    /// Allowed repeats per request in the window, between 0 and 1.
    pub ratio: f64,
    /// Repeats allowed in the window in addition to that ratio.
    pub extra: f64,
    /// Length of the window.
    #[serde(with = "duration_text")]
    pub window: Duration,
}

/// Rate of load probes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProbeRate {
    /// Time between two probes of an upstream. `docs/MEASUREMENTS.md`, "Fresh load", compares
    /// intervals.
    #[serde(with = "duration_text")]
    pub interval: Duration,
    /// Maximum probes per second of an upstream; 0 for no limit.
    pub max_per_second: f64,
}

impl Default for ProbeRate {
    fn default() -> Self {
        Self { interval: Duration::from_millis(100), max_per_second: 0.0 }
    }
}

impl ProbeRate {
    /// `interval`, raised to keep within `max_per_second`.
    pub fn bounded_interval(&self) -> Duration {
        if self.max_per_second <= 0.0 {
            return self.interval;
        }
        self.interval.max(Duration::from_secs_f64(1.0 / self.max_per_second))
    }
}

/// Directory responses to callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectorySettings {
    /// Time for which a caller may cache a response. A new query costs a caller two round trips, as
    /// much as some requests; a cached response may name entries that have stopped.
    #[serde(with = "duration_text")]
    pub lifetime: Duration,
}

impl Default for DirectorySettings {
    fn default() -> Self {
        Self { lifetime: Duration::from_secs(5) }
    }
}

/// Graceful shutdown.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShutdownGrace {
    /// Time from the termination signal until the platform kills the process.
    #[serde(with = "duration_text")]
    pub grace: Duration,
}

impl Default for ShutdownGrace {
    fn default() -> Self {
        Self { grace: Duration::from_secs(6) }
    }
}

/// Minimum of the change bounds: time for several store calls.
const MIN_CHANGE_BOUND: Duration = Duration::from_millis(500);
/// Minimum grace: callers need time to refresh their list of entries.
const MIN_GRACE: Duration = Duration::from_secs(4);

impl RepeatBudgetSettings {
    /// Converts the settings to the allowance that the limits use.
    pub fn allowance(&self) -> WindowAllowance {
        WindowAllowance { ratio: self.ratio, extra: self.extra, window: self.window }
    }
}

impl ValidatedSettings for EntrySettings {
    fn validate(&self) -> Result<(), FieldError> {
        if self.vm.is_empty() {
            return Err(field_error("vm", "is empty", "the name of this VM"));
        }
        if self.failure_domain.is_empty() {
            return Err(field_error("failure_domain", "is empty", "the failure domain of this VM"));
        }
        if !(0.0..=1.0).contains(&self.repeats.ratio) {
            return Err(field_error("ratio", "is out of range", "a number between 0 and 1"));
        }
        if self.repeats.extra < 0.0 {
            return Err(field_error("extra", "is negative", "a number of repeats, 0 or more"));
        }
        if self.repeats.window.is_zero() {
            return Err(field_error("window", "is zero", "a duration such as \"10s\""));
        }
        let bounds = [
            ("config", self.changes.config),
            ("drain", self.changes.drain),
            ("heartbeat", self.changes.heartbeat),
        ];
        for (field, bound) in bounds {
            if bound < MIN_CHANGE_BOUND {
                return Err(field_error(field, "is too short", "a duration of at least 500ms"));
            }
        }
        if self.probes.interval.is_zero() {
            return Err(field_error("interval", "is zero", "a duration such as \"100ms\""));
        }
        if self.directory.lifetime.is_zero() {
            return Err(field_error("lifetime", "is zero", "a duration such as \"5s\""));
        }
        if self.shutdown.grace < MIN_GRACE {
            return Err(field_error("grace", "is too short", "a duration of at least 4s"));
        }
        self.validate_optional()
    }
}

impl EntrySettings {
    /// Checks the settings of the optional features.
    fn validate_optional(&self) -> Result<(), FieldError> {
        if self.evacuation.as_ref().is_some_and(|evacuation| evacuation.bound < MIN_CHANGE_BOUND) {
            return Err(field_error("bound", "is too short", "a duration of at least 500ms"));
        }
        if let Some(WarmUpTolerance { overage, slack }) = self.warm_up
            && !(overage >= 1.0 && slack >= 0.0)
        {
            return Err(field_error("overage", "is out of range", "an overage of at least 1"));
        }
        if let Some(QuotaTolerance { window, overage, slack }) = self.quota
            && !(window >= MIN_CHANGE_BOUND && overage >= 0.0 && slack >= 0.0)
        {
            let help = "a window of at least 500ms, and an overage and a slack of 0 or more";
            return Err(field_error("quota", "is out of range", help));
        }
        if let Some(HedgeLimits { max_share, max_service_share }) = self.hedging
            && !((0.0..=1.0).contains(&max_share) && (0.0..=1.0).contains(&max_service_share))
        {
            return Err(field_error("max_share", "is out of range", "a number between 0 and 1"));
        }
        Ok(())
    }
}

fn field_error(field: &'static str, message: &str, help: &str) -> FieldError {
    FieldError { field, message: message.to_owned(), help: help.to_owned() }
}
