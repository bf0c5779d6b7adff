//! Settings file of `heatherfalld`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::ledger::LedgerSettings;
use crate::util::duration_text;
use crate::util::settings_file::{FieldError, ValidatedSettings};

/// Settings of one entry node, read from its settings file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct NodeSettings {
    /// Name of the VM, as in the platform's VM list.
    pub vm: String,
    /// Failure domain of the VM.
    pub failure_domain: String,
    /// Addresses of the listeners.
    pub listen: ListenSettings,
    /// Connection to the platform.
    pub platform: PlatformSettings,
    /// Peer calls between entry nodes.
    pub peers: PeerSettings,
    /// Size and time limits of callers' requests.
    #[serde(default)]
    pub limits: LimitSettings,
    /// At-most-once ledger of keyed requests.
    #[serde(default)]
    pub ledger: LedgerNodeSettings,
    /// Log output.
    #[serde(default)]
    pub log: LogSettings,
    /// Graceful shutdown.
    #[serde(default)]
    pub shutdown: ShutdownSettings,
}

/// Addresses of the listeners.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Requests of callers.
    pub callers: SocketAddr,
    /// Status, metrics and other operator requests.
    pub admin: SocketAddr,
    /// Calls from other entry nodes.
    pub peers: SocketAddr,
}

/// Peer calls between entry nodes.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// File with the deployment's keys, one per line. Calls are signed with the first key and
    /// verified with any of them, so that keys can be rotated. The file is re-read every few
    /// seconds.
    pub key_file: PathBuf,
    /// Peer addresses to contact first when the node starts during an outage of the platform.
    #[serde(default)]
    pub seeds: Vec<SocketAddr>,
}

/// Connection to the platform.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the object API.
    pub address: SocketAddr,
    /// Timeout of one platform call.
    #[serde(default = "default_platform_timeout", with = "duration_text")]
    pub timeout: Duration,
}

fn default_platform_timeout() -> Duration {
    Duration::from_secs(2)
}

/// Size and time limits of callers' requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LimitSettings {
    /// Largest request body, in bytes.
    pub max_body_bytes: usize,
    /// Longest request head, in bytes.
    pub max_head_bytes: usize,
    /// Longest time until a request head has arrived in full.
    #[serde(with = "duration_text")]
    pub header_timeout: Duration,
    /// Longest time until a request body has arrived in full.
    #[serde(with = "duration_text")]
    pub body_timeout: Duration,
    /// Most bytes of request bodies that are buffered at the same time.
    pub max_held_bytes: usize,
    /// Longest time for which a caller may accept no further bytes of its response.
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

/// At-most-once ledger. All nodes of a deployment need the same values.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LedgerNodeSettings {
    /// Time for which a key is stored, counted from the creation time that the key carries.
    #[serde(with = "duration_text")]
    pub retention: Duration,
    /// Platform writes per second of all nodes together.
    pub writes_per_second: f64,
    /// Most keys that one node stores.
    pub max_keys: usize,
    /// Most bytes of response bodies that one node stores for replay.
    pub max_body_bytes: usize,
}

impl Default for LedgerNodeSettings {
    fn default() -> Self {
        let defaults = LedgerSettings::default();
        Self {
            retention: defaults.retention,
            writes_per_second: defaults.writes_per_second,
            max_keys: defaults.max_keys,
            max_body_bytes: defaults.max_body_bytes,
        }
    }
}

impl LedgerNodeSettings {
    /// The ledger's settings: these values, and the defaults of all others.
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

/// Format of log lines.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum LogFormat {
    /// `time level target: message key=value`.
    #[default]
    Plain,
    /// One JSON object per line.
    Json,
}

/// Log output.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct LogSettings {
    /// Format of log lines.
    pub format: LogFormat,
    /// Least severe level that is written: error, warn, info, debug or trace.
    pub level: log::LevelFilter,
    /// Most lines per second; lines beyond that are dropped and counted.
    pub max_lines_per_second: u32,
}

/// Above the log rate of a busy node of which a third of the requests fail.
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
    /// Time for which a leaving node keeps accepting requests, because callers still hold address
    /// lists that name it.
    #[serde(with = "duration_text")]
    pub announce: Duration,
    /// Longest time after that for requests in flight to finish.
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
        let other_listeners = [self.listen.callers, self.listen.admin];
        if other_listeners.contains(&self.listen.peers) && self.listen.peers.port() != 0 {
            return Err(FieldError {
                field: "peers",
                message: format!("{} is also the address of another listener", self.listen.peers),
                help: "give each listener an address of its own".to_owned(),
            });
        }
        if self.limits.max_head_bytes < MIN_HEAD_BYTES {
            return Err(FieldError {
                field: "max_head_bytes",
                message: format!(
                    "{} bytes is too small for a request head",
                    self.limits.max_head_bytes
                ),
                help: format!("set at least {MIN_HEAD_BYTES}"),
            });
        }
        if !(self.ledger.writes_per_second >= 1.0 && self.ledger.writes_per_second.is_finite()) {
            return Err(FieldError {
                field: "writes_per_second",
                message: format!(
                    "{} is not a usable number of writes per second",
                    self.ledger.writes_per_second
                ),
                help: "set at least 1".to_owned(),
            });
        }
        if self.platform.timeout.is_zero() {
            return Err(FieldError {
                field: "timeout",
                message: "a timeout of zero fails every platform call".to_owned(),
                help: "set a time such as \"2s\"".to_owned(),
            });
        }
        Ok(())
    }
}

/// Smallest read buffer that the HTTP server accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8 << 10;

fn validate_name(field: &'static str, text: &str) -> Result<(), FieldError> {
    if crate::core::is_label_key(text) {
        return Ok(());
    }
    Err(FieldError {
        field,
        message: format!("{text:?} is not a valid name"),
        help: "use letters, digits, '-', '_' and '.', beginning with a letter or digit".to_owned(),
    })
}
