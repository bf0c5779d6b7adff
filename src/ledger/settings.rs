//! Limits of the ledger.

use std::time::Duration;

/// Largest answer body that is kept with an outcome, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 4 << 10;

/// Limits of one node's part in the ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerSettings {
    /// Partitions of a deployment whose first node this is.
    pub partitions: u32,
    /// Segments that a partition's ring holds, for a deployment whose first node this is.
    pub ring_slots: u64,
    /// Platform writes a second of all partitions together.
    pub writes_per_second: f64,
    /// Writes of one partition that may follow each other at once.
    pub write_burst: f64,
    /// Time for which a key is remembered, from the creation time that it carries.
    pub retention: Duration,
    /// Time by which clocks of callers and nodes may differ.
    pub max_clock_skew: Duration,
    /// Longest time that a claim waits for its decision.
    pub claim_timeout: Duration,
    /// Longest time that an entry tries to record an outcome.
    pub finish_timeout: Duration,
    /// Time that an outcome may wait for claims to share a write with.
    pub outcome_batch_delay: Duration,
    /// Keys that this node remembers over all partitions that it owns.
    pub max_keys: usize,
    /// Bytes of answer bodies that this node keeps in memory.
    pub max_body_bytes: usize,
    /// Largest batch, in bytes of its records.
    pub max_segment_bytes: usize,
    /// Size at which an archive is closed and another begun, in bytes of its records.
    pub archive_bytes: usize,
    /// Commands that may wait at one partition.
    pub max_queued_commands: usize,
}

impl Default for LedgerSettings {
    fn default() -> Self {
        Self {
            partitions: 16,
            ring_slots: 128,
            writes_per_second: 200.0,
            write_burst: 16.0,
            retention: Duration::from_secs(24 * 3600),
            max_clock_skew: Duration::from_secs(300),
            claim_timeout: Duration::from_millis(900),
            finish_timeout: Duration::from_secs(60),
            outcome_batch_delay: Duration::from_millis(50),
            max_keys: 200_000,
            max_body_bytes: 16 << 20,
            max_segment_bytes: 96 << 10,
            archive_bytes: 256 << 10,
            max_queued_commands: 4096,
        }
    }
}
