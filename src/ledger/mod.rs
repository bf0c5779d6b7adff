//! At-most-once dispatch of requests with an idempotency key.
//!
//! A key belongs to a partition, and a partition is owned by the entry that rendezvous hashing
//! selects. The owner collects claims into batches and makes each batch durable by one conditional
//! write. Safety rests on that write and not on the ownership: of two entries that both take
//! themselves for the owner, one conflicts. An entry dispatches a request only after its claim is
//! durable, and records how the request ended, so that repeats of the key get the stored response.

mod claim;
mod claim_message;
mod entry_claim;
mod key;
mod log_object;
mod metrics;
mod node_ledger;
mod ownership;
mod partition;
mod partition_batch;
mod partition_flags;
mod partition_log;
mod resolved_put;
mod settings;
mod table;
mod transport;
mod write_bucket;

pub use self::claim::{
    ClaimDecision, ClaimGrant, ClaimIntent, ClaimLedger, ClaimOutcome, StoredResponse,
};
pub use self::key::{KeyId, LedgerKey, WallClock};
pub use self::log_object::{ARCHIVE_KIND, LAYOUT_KIND, LAYOUT_NAME, LedgerLayout, SEGMENT_KIND};
pub use self::metrics::{LedgerCounters, LedgerMetrics};
pub use self::node_ledger::{LedgerParts, NodeLedger};
pub use self::ownership::{owner_of, ranked_owner};
pub use self::settings::{LedgerSettings, MAX_STORED_BODY_BYTES};
pub use self::table::EntryIdentity;
pub use self::transport::{LedgerTransport, NoTransport, TransportError};
