//! Settings of an entry on a platform whose store holds the whole configuration.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::read_schedule::ChangeBounds;
use crate::limits::WindowAllowance;
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
        Ok(())
    }
}

fn field_error(field: &'static str, message: &str, help: &str) -> FieldError {
    FieldError { field, message: message.to_owned(), help: help.to_owned() }
}
