//! Idempotency keys: identity, creation time and partition.

use std::time::Duration;

use sha2::{Digest, Sha256};
use tokio::time::Instant;
use uuid::Uuid;

use crate::core::TenantId;

/// Longest accepted key, in bytes.
const MAX_KEY_BYTES: usize = 255;
/// Earliest creation time that a key may carry, in Unix milliseconds (September 2001); a smaller
/// number, such as a counter or a time in seconds, is not taken for a creation time.
const MIN_KEY_TIME_MS: u64 = 1_000_000_000_000;

/// Milliseconds since the Unix epoch, on the runtime's clock.
#[derive(Clone, Copy, Debug)]
pub struct WallClock {
    origin_ms: u64,
    started: Instant,
}

impl WallClock {
    /// A clock that reads `origin_ms` now.
    pub fn starting_at(origin_ms: u64) -> Self {
        Self { origin_ms, started: Instant::now() }
    }

    /// A clock that starts at the operating system's time and does not follow later changes of it.
    pub fn system() -> Self {
        let since_epoch = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
        Self::starting_at(millis(since_epoch.unwrap_or_default()))
    }

    /// Current time, in Unix milliseconds.
    pub fn now_ms(&self) -> u64 {
        self.origin_ms + millis(self.started.elapsed())
    }
}

/// Whole milliseconds of a duration, at most `u64::MAX`.
pub(super) fn millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// Identity of a tenant's key: the first 128 bits of a SHA-256 over tenant and key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyId(pub [u8; 16]);

/// A parsed idempotency key.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LedgerKey {
    /// Identity of the key within all tenants.
    pub id: KeyId,
    /// Creation time that the key carries, in Unix milliseconds.
    pub time_ms: u64,
    hash: u64,
}

impl LedgerKey {
    /// Parses a key; `None` if it is longer than 255 bytes or carries no creation time.
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

    /// Index of the key's partition, below `partitions`.
    pub fn partition(&self, partitions: u32) -> u32 {
        (self.hash % u64::from(partitions.max(1))) as u32
    }
}

/// Creation time of a UUIDv7, or of `<Unix milliseconds>-<anything>`; `None` for any other key.
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
