//! Limits of the ledger.

use std::time::Duration;

/// Largest response body that is stored with a key, in bytes.
pub const MAX_STORED_BODY_BYTES: usize = 4 << 10;

/// Limits and times of one node's ledger.
#[derive(Clone, Debug, PartialEq)]
pub struct LedgerSettings {
    /// Partitions, if this node is the first of the deployment; later ones follow the stored
    /// layout.
    pub partitions: u32,
    /// Segments in a partition's ring, if this node is the first of the deployment.
    pub ring_slots: u64,
    /// Platform writes per second of all partitions together.
    pub writes_per_second: f64,
    /// Writes of one partition that may be made in a burst.
    pub write_burst: f64,
    /// Time for which a key is kept, from the creation time that it carries; older keys are
    /// refused.
    pub retention: Duration,
    /// Largest allowed difference between the clocks of callers and nodes.
    pub max_clock_skew: Duration,
    /// Longest time that a claim waits to be decided.
    pub claim_timeout: Duration,
    /// Longest time that an entry retries to record an outcome.
    pub finish_timeout: Duration,
    /// Longest time that an outcome waits for a claim to share a write with.
    pub outcome_batch_delay: Duration,
    /// Keys that this node holds over all partitions that it serves; new ones are refused beyond.
    pub max_keys: usize,
    /// Bytes of stored response bodies that this node holds in memory; further bodies are dropped.
    pub max_body_bytes: usize,
    /// Size at which a batch takes no further records, in bytes of its records.
    pub max_segment_bytes: usize,
    /// Size at which an archive is full and the next one is started, in bytes of its records.
    pub archive_bytes: usize,
    /// Commands that may wait in one partition's queue; further ones are refused.
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
