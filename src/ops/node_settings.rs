//! Settings of `heatherfalld`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ledger::LedgerSettings;
use crate::util::duration_text;
use crate::util::settings_file::{FieldError, ValidatedSettings};

/// Settings of one node, from its settings file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Identity of the VM, as in the platform's VM list.
    pub vm: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Addresses to listen on.
    pub listen: ListenSettings,
    /// The platform.
    pub platform: PlatformSettings,
    /// Calls between entry nodes.
    pub peers: PeerSettings,
    /// Limits on callers.
    #[serde(default)]
    pub limits: LimitSettings,
    /// At-most-once ledger.
    #[serde(default)]
    pub ledger: LedgerNodeSettings,
    /// Logs.
    #[serde(default)]
    pub log: LogSettings,
    /// Graceful shutdown.
    #[serde(default)]
    pub shutdown: ShutdownSettings,
}

/// Addresses to listen on.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators and metrics.
    pub admin: SocketAddr,
    /// For other entry nodes.
    pub peers: SocketAddr,
}

/// Calls between entry nodes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// File with the deployment's keys, one a line: the first signs, all verify. It is read again
    /// every few seconds.
    pub key_file: PathBuf,
    /// Addresses of some peers, for a start while the platform is down.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// The platform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the object API.
    pub address: SocketAddr,
    /// Time for one call.
    #[serde(default = "default_platform_timeout", with = "duration_text")]
    pub timeout: Duration,
}

fn default_platform_timeout() -> Duration {
    Duration::from_secs(2)
}

/// Limits on callers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest request head, in bytes.
    pub max_head_bytes: usize,
    /// Time for a request head to arrive.
    #[serde(with = "duration_text")]
    pub header_timeout: Duration,
    /// Time for a request body to arrive.
    #[serde(with = "duration_text")]
    pub body_timeout: Duration,
    /// Most bytes of request bodies that are held at the same time.
    pub max_held_bytes: usize,
    /// Time for a caller to take any more bytes of its answer.
    #[serde(with = "duration_text")]
    pub write_timeout: Duration,
}

impl Default for LimitSettings {
    fn default() -> Self {
        Self {
            max_body_bytes: 8 << 20,
            max_head_bytes: 64 << 10,
            header_timeout: Duration::from_secs(10),
            body_timeout: Duration::from_secs(30),
            max_held_bytes: 128 << 20,
            write_timeout: Duration::from_secs(20),
        }
    }
}

/// At-most-once ledger; the same on all nodes of a deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerNodeSettings {
    /// Time for which a key is remembered, from the creation time that it carries.
    #[serde(with = "duration_text")]
    pub retention: Duration,
    /// Platform writes a second of all nodes together.
    pub writes_per_second: f64,
    /// Keys that one node remembers.
    pub max_keys: usize,
    /// Bytes of answer bodies that one node keeps.
    pub max_body_bytes: usize,
}

impl Default for LedgerNodeSettings {
    fn default() -> Self {
        let limits = LedgerSettings::default();
        Self {
            retention: limits.retention,
            writes_per_second: limits.writes_per_second,
            max_keys: limits.max_keys,
            max_body_bytes: limits.max_body_bytes,
        }
    }
}

impl LedgerNodeSettings {
    /// The limits that these settings stand for.
    pub fn ledger_settings(&self) -> LedgerSettings {
        LedgerSettings {
            retention: self.retention,
            writes_per_second: self.writes_per_second,
            max_keys: self.max_keys,
            max_body_bytes: self.max_body_bytes,
            ..LedgerSettings::default()
        }
    }
}

/// Form of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// `time level part: sentence key=value`.
    #[default]
    Plain,
    /// One JSON object a line.
    Json,
}

/// Logs.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Form of log lines.
    pub format: LogFormat,
    /// Least severe level that is written: error, warn, info, debug or trace.
    pub level: log::LevelFilter,
    /// Lines a second; more are dropped and counted.
    pub max_lines_per_second: u32,
}

/// Lines that a busy node writes in a second while a third of its requests fail, with room to spare.
const DEFAULT_LINES_PER_SECOND: u32 = 400;

impl Default for LogSettings {
    fn default() -> Self {
        Self {
            format: LogFormat::Plain,
            level: log::LevelFilter::Info,
            max_lines_per_second: DEFAULT_LINES_PER_SECOND,
        }
    }
}

/// Graceful shutdown.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ShutdownSettings {
    /// Time during which a leaving node keeps accepting, for callers with an old address answer.
    #[serde(with = "duration_text")]
    pub announce: Duration,
    /// Longest time for requests in flight to finish after that.
    #[serde(with = "duration_text")]
    pub drain: Duration,
}

impl Default for ShutdownSettings {
    fn default() -> Self {
        Self { announce: Duration::from_secs(12), drain: Duration::from_secs(30) }
    }
}

impl ValidatedSettings for NodeSettings {
    fn validate(&self) -> Result<(), FieldError> {
        validate_name("vm", &self.vm)?;
        validate_name("failure_domain", &self.failure_domain)?;
        if self.listen.callers == self.listen.admin && self.listen.admin.port() != 0 {
            return Err(FieldError {
                field: "admin",
                message: format!("{} is also the address for callers", self.listen.admin),
                help: "give each listener an address of its own".to_owned(),
            });
        }
        let others = [self.listen.callers, self.listen.admin];
        if others.contains(&self.listen.peers) && self.listen.peers.port() != 0 {
            return Err(FieldError {
                field: "peers",
                message: format!("{} is also the address of another listener", self.listen.peers),
                help: "give each listener an address of its own".to_owned(),
            });
        }
        if self.limits.max_head_bytes < MIN_HEAD_BYTES {
            return Err(FieldError {
                field: "max_head_bytes",
                message: format!("{} bytes cannot hold a request head", self.limits.max_head_bytes),
                help: format!("set at least {MIN_HEAD_BYTES}"),
            });
        }
        if !(self.ledger.writes_per_second >= 1.0 && self.ledger.writes_per_second.is_finite()) {
            return Err(FieldError {
                field: "writes_per_second",
                message: format!("{} writes a second cannot serve", self.ledger.writes_per_second),
                help: "set at least 1".to_owned(),
            });
        }
        if self.platform.timeout.is_zero() {
            return Err(FieldError {
                field: "timeout",
                message: "no call can be answered in no time".to_owned(),
                help: "set a time such as \"2s\"".to_owned(),
            });
        }
        Ok(())
    }
}

/// Smallest buffer that the HTTP server can read a head into, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

fn validate_name(field: &'static str, text: &str) -> Result<(), FieldError> {
    if crate::core::is_label_key(text) {
        return Ok(());
    }
    Err(FieldError {
        field,
        message: format!("{text:?} is not a name"),
        help: "use letters, digits, '-', '_' and '.', beginning with a letter or digit".to_owned(),
    })
}
