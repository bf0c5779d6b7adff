//! Assignment of partitions to entries by rendezvous hashing.
//!
//! Ownership is only a hint: two entries whose views differ may both take themselves for the owner,
//! and the conditional writes of the partition's log decide.

use sha2::{Digest, Sha256};

use crate::core::VmId;
use crate::membership::{EntryRecord, MembershipView};

/// The ready entry with the highest rendezvous weight for `partition`.
pub fn owner_of(view: &MembershipView, partition: u32) -> Option<&EntryRecord> {
    view.ready().max_by_key(|entry| weight(&entry.vm, partition))
}

/// The ready entry with the `rank`th highest weight, counted from zero: it serves `partition` if
/// all entries before it cannot be reached. `None` beyond the last entry.
pub fn ranked_owner(view: &MembershipView, partition: u32, rank: usize) -> Option<&EntryRecord> {
    let mut entries: Vec<&EntryRecord> = view.ready().collect();
    entries.sort_by_cached_key(|entry| std::cmp::Reverse(weight(&entry.vm, partition)));
    entries.get(rank).copied()
}

/// Rendezvous weight: the first 64 bits of a SHA-256 over partition and VM.
fn weight(vm: &VmId, partition: u32) -> u64 {
    let mut digest = Sha256::new();
    digest.update(partition.to_be_bytes());
    digest.update(vm.as_str());
    let digest: [u8; 32] = digest.finalize().into();
    digest.iter().take(8).fold(0, |weight, byte| weight << 8 | u64::from(*byte))
}
