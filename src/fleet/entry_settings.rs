//! Settings of an entry on a platform whose store holds the whole configuration.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::fleet::read_schedule::ChangeBounds;
use crate::limits::WindowAllowance;
use crate::ops::node_settings::LogSettings;
use crate::util::duration_text;
use crate::util::settings_file::{FieldError, ValidatedSettings};

/// Settings of one entry, from its settings file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Identity of the VM.
    pub vm: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Addresses to listen on.
    pub listen: ListenAddresses,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Repeats that the whole deployment may send.
    pub repeats: RepeatBudgetSettings,
    /// How soon changes are due in force.
    #[serde(default)]
    pub changes: ChangeBounds,
    /// Measuring the upstreams' load.
    #[serde(default)]
    pub probes: ProbeRate,
    /// Answers to callers that ask for addresses.
    #[serde(default)]
    pub directory: DirectorySettings,
    /// Graceful shutdown.
    #[serde(default)]
    pub shutdown: ShutdownGrace,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For the platform's readiness checks.
    pub ready: SocketAddr,
    /// For callers that ask for addresses.
    pub directory: SocketAddr,
    /// For operators and metrics.
    pub control: SocketAddr,
    /// For datagrams of other entries.
    pub peers: SocketAddr,
}

/// Repeats that the whole deployment may send to the upstreams of a service within a window.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RepeatBudgetSettings {
    /// Repeats as a share of requests, between 0 and 1.
    pub ratio: f64,
    /// Repeats beside that share.
    pub extra: f64,
    /// Length of the window.
    #[serde(with = "duration_text")]
    pub window: Duration,
}

/// Rate of probes.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ProbeRate {
    /// Time between two probes of an upstream (`docs/MEASUREMENTS.md`, "Fresh load").
    #[serde(with = "duration_text")]
    pub interval: Duration,
    /// Probes a second that an upstream may get; 0 for no bound.
    pub max_per_second: f64,
}

impl Default for ProbeRate {
    fn default() -> Self {
        Self { interval: Duration::from_millis(100), max_per_second: 0.0 }
    }
}

impl ProbeRate {
    /// Time between two probes of an upstream, within the bound.
    pub fn bounded_interval(&self) -> Duration {
        if self.max_per_second <= 0.0 {
            return self.interval;
        }
        self.interval.max(Duration::from_secs_f64(1.0 / self.max_per_second))
    }
}

/// Answers to callers that ask for addresses.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct DirectorySettings {
    /// Time for which a caller may keep an answer. Asking again costs a caller two round trips, as
    /// much as some requests; keeping an answer sends it to entries that have gone.
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
    /// Time from the signal to stop until the process is ended from outside.
    #[serde(with = "duration_text")]
    pub grace: Duration,
}

impl Default for ShutdownGrace {
    fn default() -> Self {
        Self { grace: Duration::from_secs(6) }
    }
}

/// Shortest bound of changes: some calls of the store.
const MIN_CHANGE_BOUND: Duration = Duration::from_millis(500);
/// Shortest time to stop: callers need time to hear of other entries.
const MIN_GRACE: Duration = Duration::from_secs(4);

impl RepeatBudgetSettings {
    /// The allowance that these settings describe.
    pub fn allowance(&self) -> WindowAllowance {
        WindowAllowance { ratio: self.ratio, extra: self.extra, window: self.window }
    }
}

impl ValidatedSettings for EntrySettings {
    fn validate(&self) -> Result<(), FieldError> {
        if self.vm.is_empty() {
            return Err(fault("vm", "is empty", "the name of this VM"));
        }
        if self.failure_domain.is_empty() {
            return Err(fault("failure_domain", "is empty", "the failure domain of this VM"));
        }
        if !(0.0..=1.0).contains(&self.repeats.ratio) {
            return Err(fault("ratio", "is not a share", "a number between 0 and 1"));
        }
        if self.repeats.extra < 0.0 {
            return Err(fault("extra", "is negative", "a number of repeats, 0 or more"));
        }
        if self.repeats.window.is_zero() {
            return Err(fault("window", "is zero", "a duration such as \"10s\""));
        }
        let bounds = [
            ("config", self.changes.config),
            ("drain", self.changes.drain),
            ("heartbeat", self.changes.heartbeat),
        ];
        for (field, bound) in bounds {
            if bound < MIN_CHANGE_BOUND {
                return Err(fault(field, "is too short", "a duration of at least 500ms"));
            }
        }
        if self.probes.interval.is_zero() {
            return Err(fault("interval", "is zero", "a duration such as \"100ms\""));
        }
        if self.directory.lifetime.is_zero() {
            return Err(fault("lifetime", "is zero", "a duration such as \"5s\""));
        }
        if self.shutdown.grace < MIN_GRACE {
            return Err(fault("grace", "is too short", "a duration of at least 4s"));
        }
        Ok(())
    }
}

fn fault(field: &'static str, message: &str, help: &str) -> FieldError {
    FieldError { field, message: message.to_owned(), help: help.to_owned() }
}
