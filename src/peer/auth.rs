//! Authentication of calls between entry nodes.
//!
//! Every call carries the sender's VM, the time of the call, and an HMAC-SHA-256 over both and the
//! called method with a key that the whole deployment shares. The first key of the list signs and
//! every key verifies, so that keys can be rotated one node after the other.
//!
//! The time only bounds how long a recorded call can be replayed; nothing else depends on the
//! clocks of VMs. Calls between peers are safe to repeat: records are ordered by their own sequence
//! numbers, and claims carry an identity of their own.

use std::net::IpAddr;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use arc_swap::ArcSwap;
use hmac::{Hmac, KeyInit, Mac};
use http::HeaderMap;
use sha2::Sha256;
use tonic::metadata::MetadataValue;
use tonic::service::Interceptor;
use tonic::{GrpcMethod, Request, Status};

use crate::core::{ResultCode, VmId};
use crate::util::FastSet;

/// Metadata key of the sender's VM.
const SENDER_METADATA: &str = "heatherfall-sender";
/// Metadata key of the time of the call in milliseconds since the epoch.
const TIME_METADATA: &str = "heatherfall-time";
/// Metadata key of the HMAC in hexadecimal digits.
const MAC_METADATA: &str = "heatherfall-mac";
/// Largest tolerated difference between the clocks of two VMs, and so the time for which a recorded
/// call can be replayed.
const MAX_CLOCK_SKEW: Duration = Duration::from_secs(300);
/// Minimum length of a key in bytes.
const MIN_KEY_BYTES: usize = 16;
/// Maximum number of source addresses whose refused calls are logged.
const MAX_LOGGED_SOURCES: usize = 1024;

/// The deployment's shared keys: the first signs, all verify.
#[derive(Clone, Eq, PartialEq)]
pub struct PeerKeys {
    keys: Vec<Vec<u8>>,
}

/// Reason for which keys cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum KeyError {
    /// The key file cannot be read.
    #[error("cannot read key file {path}: {error}")]
    Unreadable {
        /// Path of the key file.
        path: PathBuf,
        /// Error of the operating system.
        error: std::io::Error,
    },
    /// The list has no key.
    #[error("no peer key found")]
    Empty,
    /// A key is shorter than 16 bytes.
    #[error("key {line} is shorter than {MIN_KEY_BYTES} bytes")]
    Short {
        /// Number of the key, from 1.
        line: usize,
    },
}

impl std::fmt::Debug for PeerKeys {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "PeerKeys({})", self.keys.len())
    }
}

impl PeerKeys {
    /// Parses keys, one a line; blank lines and lines that begin with `#` are skipped.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no key or one is shorter than 16 bytes.
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        let mut keys = Vec::new();
        for line in text.lines() {
            let line = line.trim();
            if line.is_empty() || line.starts_with('#') {
                continue;
            }
            if line.len() < MIN_KEY_BYTES {
                return Err(KeyError::Short { line: keys.len() + 1 });
            }
            keys.push(line.as_bytes().to_vec());
        }
        if keys.is_empty() {
            return Err(KeyError::Empty);
        }
        Ok(Self { keys })
    }

    /// Reads keys from the file at `path`.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be read or holds no usable keys.
    pub fn load(path: &Path) -> Result<Self, KeyError> {
        let text = std::fs::read_to_string(path)
            .map_err(|error| KeyError::Unreadable { path: path.to_owned(), error })?;
        Self::parse(&text)
    }
}

/// Reason for which a call was refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AuthError {
    /// Metadata is missing or does not parse.
    InvalidMetadata,
    /// The time of the call differs too much from this VM's clock.
    ClockSkew,
    /// The HMAC matches none of the keys.
    InvalidMac,
}

impl AuthError {
    /// The reason as it stands in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::InvalidMetadata => "missing",
            Self::ClockSkew => "time",
            Self::InvalidMac => "mac",
        }
    }
}

#[derive(Debug)]
struct AuthState {
    vm: VmId,
    keys: ArcSwap<PeerKeys>,
    refused: AtomicU64,
    logged: Mutex<FastSet<IpAddr>>,
}

/// Signs this node's calls and verifies those of others; clones share the keys.
#[derive(Clone, Debug)]
pub struct PeerAuth {
    state: Arc<AuthState>,
}

impl PeerAuth {
    /// Creates the authentication of the node on `vm`.
    pub fn new(vm: VmId, keys: PeerKeys) -> Self {
        let state = AuthState {
            vm,
            keys: ArcSwap::from_pointee(keys),
            refused: AtomicU64::new(0),
            logged: Mutex::default(),
        };
        Self { state: Arc::new(state) }
    }

    /// Replaces the keys; calls in flight are not affected.
    pub fn set_keys(&self, keys: PeerKeys) {
        if **self.state.keys.load() == keys {
            return;
        }
        log::info!(target: "peer", "keys replaced count={}", keys.keys.len());
        self.state.keys.store(Arc::new(keys));
    }

    /// Number of calls refused since the start.
    pub fn refused(&self) -> u64 {
        self.state.refused.load(Ordering::Relaxed)
    }

    /// Signs a call of `path`, such as `/package.Service/Method`, by adding its metadata to
    /// `headers`.
    pub fn sign(&self, path: &str, headers: &mut HeaderMap) {
        let time = millis_since_epoch(SystemTime::now()).to_string();
        let sender = self.state.vm.as_str();
        let keys = self.state.keys.load();
        let Some(mac) = keys.keys.first().and_then(|key| compute_mac(key, path, sender, &time))
        else {
            return;
        };
        let mac = hex::encode(mac.finalize().into_bytes());
        for (name, text) in
            [(SENDER_METADATA, sender), (TIME_METADATA, &time), (MAC_METADATA, &mac)]
        {
            if let Ok(value) = http::HeaderValue::from_str(text) {
                headers.insert(name, value);
            }
        }
    }

    /// Verifies a call of `path` and returns the sender's VM.
    ///
    /// # Errors
    ///
    /// Returns the reason if the call must be refused.
    pub fn verify(&self, path: &str, headers: &HeaderMap) -> Result<VmId, AuthError> {
        let sender = metadata_text(headers, SENDER_METADATA)?;
        let time = metadata_text(headers, TIME_METADATA)?;
        let mac = hex::decode(metadata_text(headers, MAC_METADATA)?)
            .map_err(|_| AuthError::InvalidMetadata)?;
        let sent: u64 = time.parse().map_err(|_| AuthError::InvalidMetadata)?;
        let clock_skew = millis_since_epoch(SystemTime::now()).abs_diff(sent);
        let keys = self.state.keys.load();
        for key in &keys.keys {
            let Some(expected) = compute_mac(key, path, sender, time) else { continue };
            if expected.verify_slice(&mac).is_err() {
                continue;
            }
            if u128::from(clock_skew) > MAX_CLOCK_SKEW.as_millis() {
                return Err(AuthError::ClockSkew);
            }
            return Ok(VmId::new(sender));
        }
        Err(AuthError::InvalidMac)
    }

    /// Counts a refused call. Logs the first one of each source.
    pub fn record_refused(&self, source: IpAddr, error: AuthError) {
        self.state.refused.fetch_add(1, Ordering::Relaxed);
        let mut logged = self.state.logged.lock().unwrap_or_else(PoisonError::into_inner);
        if logged.len() >= MAX_LOGGED_SOURCES || !logged.insert(source) {
            return;
        }
        log::warn!(
            target: "peer",
            "call refused source={source} code={} fault={}",
            ResultCode::PeerUnauthenticated, error.as_str(),
        );
    }
}

impl Interceptor for PeerAuth {
    fn call(&mut self, mut request: Request<()>) -> Result<Request<()>, Status> {
        let Some(method) = request.extensions().get::<GrpcMethod<'static>>() else {
            return Err(Status::internal("call without a method"));
        };
        let path = format!("/{}/{}", method.service(), method.method());
        let mut headers = HeaderMap::new();
        self.sign(&path, &mut headers);
        for name in [SENDER_METADATA, TIME_METADATA, MAC_METADATA] {
            let Some(text) = headers.get(name).and_then(|value| value.to_str().ok()) else {
                return Err(Status::internal("call could not be signed"));
            };
            let value = MetadataValue::try_from(text);
            let value = value.map_err(|_| Status::internal("call could not be signed"))?;
            request.metadata_mut().insert(name, value);
        }
        Ok(request)
    }
}

fn compute_mac(key: &[u8], path: &str, sender: &str, time: &str) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(key).ok()?;
    for part in [path, sender, time] {
        // Each part is preceded by its length, so that no two different calls have the same input.
        mac.update(&(part.len() as u64).to_be_bytes());
        mac.update(part.as_bytes());
    }
    Some(mac)
}

fn metadata_text<'a>(headers: &'a HeaderMap, name: &str) -> Result<&'a str, AuthError> {
    let value = headers.get(name).ok_or(AuthError::InvalidMetadata)?;
    value.to_str().map_err(|_| AuthError::InvalidMetadata)
}

fn millis_since_epoch(time: SystemTime) -> u64 {
    time.duration_since(UNIX_EPOCH).unwrap_or_default().as_millis() as u64
}
