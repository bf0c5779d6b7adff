//! Idempotency keys: their identity, their creation time and their partition.

use std::time::Duration;

use sha2::{Digest, Sha256};
use tokio::time::Instant;
use uuid::Uuid;

use crate::core::TenantId;

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Earliest creation time that a key may carry, in Unix milliseconds; smaller numbers are not
/// times.
const MIN_KEY_TIME_MS: u64 = 1_000_000_000_000;

/// Milliseconds since the Unix epoch, on the runtime's clock.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    origin_ms: u64,
    started: Instant,
}

impl WallClock {
    /// A clock that shows `origin_ms` now.
    pub fn starting_at(origin_ms: u64) -> Self {
        Self { origin_ms, started: Instant::now() }
    }

    /// A clock set by the operating system's.
    pub fn system() -> Self {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self::starting_at(millis(since_epoch.unwrap_or_default()))
    }

    /// The time now.
    pub fn now_ms(&self) -> u64 {
        self.origin_ms + millis(self.started.elapsed())
    }
}

/// Whole milliseconds of a duration.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Identity of a key of a tenant: a truncated SHA-256.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyId(pub [u8; 16]);

/// A key as the ledger sees it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerKey {
    /// Identity.
    pub id: KeyId,
    /// Creation time that the key carries, in Unix milliseconds.
    pub time_ms: u64,
    hash: u64,
}

impl LedgerKey {
    /// Reads a key; `None` if it carries no creation time.
    pub fn parse(tenant: &TenantId, key: &str) -> Option<Self> {
        if key.len() > MAX_KEY_BYTES {
            return None;
        }
        let time_ms = parse_key_time(key)?;
        let mut digest = Sha256::new();
        digest.update((tenant.as_str().len() as u64).to_be_bytes());
        digest.update(tenant.as_str());
        digest.update(key);
        let digest: [u8; 32] = digest.finalize().into();
        let (id, rest) = digest.split_at(16);
        let id = KeyId(id.try_into().ok()?);
        let hash = u64::from_be_bytes(rest[..8].try_into().ok()?);
        Some(Self { id, time_ms, hash })
    }

    /// Partition of the key among `partitions`.
    pub fn partition(&self, partitions: u32) -> u32 {
        (self.hash % u64::from(partitions.max(1))) as u32
    }
}

/// Creation time of a UUIDv7, or of `<unix milliseconds>-<anything>`.
fn parse_key_time(key: &str) -> Option<u64> {
    if let Ok(uuid) = Uuid::try_parse(key) {
        if uuid.get_version_num() != 7 {
            return None;
        }
        let (secs, nanos) = uuid.get_timestamp()?.to_unix();
        return Some(secs * 1000 + u64::from(nanos) / 1_000_000);
    }
    let (digits, _) = key.split_once('-')?;
    let time_ms = digits.parse().ok()?;
    (time_ms >= MIN_KEY_TIME_MS).then_some(time_ms)
}
