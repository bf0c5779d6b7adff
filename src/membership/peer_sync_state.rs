//! What a peer that this node calls has acknowledged, and what this node has of the peer.
//!
//! A heartbeat whose content the peer already has is sent compact: identity, order, age and a
//! digest of the content. By the digest the peer sees whether it has that very content; if not, it
//! asks for the full record.

use prost::Message;
use sha2::{Digest, Sha256};

use crate::membership::drain_hint_table::{DrainHintDelta, DrainHintTable};
use crate::peer::generated::peer::{ExchangeReply, HeartbeatRecord};
use crate::util::FastMap;

/// Synchronisation state of the exchange with one peer.
#[derive(Debug, Default)]
pub(super) struct PeerSyncState {
    /// Positions in this node's drain hint table that the peer has acknowledged, and that the
    /// pending request goes up to.
    acked_hint_cursor: u64,
    pending_hint_cursor: u64,
    /// Position in the peer's drain hint table up to which this node has its hints.
    received_hint_cursor: u64,
    /// Digests of the contents that the peer has acknowledged, by VM, and of those in the pending
    /// request.
    acked_digests: FastMap<String, u32>,
    pending: Vec<PendingContent>,
}

#[derive(Debug)]
struct PendingContent {
    vm: String,
    digest: u32,
}

impl PeerSyncState {
    /// Position in the peer's drain hint table up to which this node has its hints.
    pub(super) fn received_hint_cursor(&self) -> u64 {
        self.received_hint_cursor
    }

    /// Returns the drain hints that the peer has not acknowledged and marks them as pending.
    pub(super) fn unacked_hints(&mut self, drains: &DrainHintTable) -> DrainHintDelta {
        let delta = drains.changes_since(self.acked_hint_cursor);
        self.pending_hint_cursor = delta.cursor;
        delta
    }

    /// Starts a request. Whatever the previous one left pending counts as not delivered.
    pub(super) fn begin_request(&mut self) {
        self.pending.clear();
    }

    /// Returns the record as it is sent to the peer: compact if the peer has its content.
    pub(super) fn compact(&mut self, record: HeartbeatRecord) -> HeartbeatRecord {
        let digest = content_digest(&record);
        if self.acked_digests.get(&record.vm) == Some(&digest) {
            return HeartbeatRecord {
                vm: record.vm,
                incarnation: record.incarnation,
                sequence: record.sequence,
                age_ms: record.age_ms,
                content_digest: digest,
                ..HeartbeatRecord::default()
            };
        }
        self.acked_digests.remove(&record.vm);
        self.pending.push(PendingContent { vm: record.vm.clone(), digest });
        record
    }

    /// Marks everything in the pending request as acknowledged, and takes the peer's position.
    pub(super) fn acknowledge(&mut self, reply: &ExchangeReply) {
        self.acked_hint_cursor = self.pending_hint_cursor;
        self.received_hint_cursor = reply.drain_cursor;
        for sent in self.pending.drain(..) {
            self.acked_digests.insert(sent.vm, sent.digest);
        }
        for vm in &reply.wanted_vms {
            self.acked_digests.remove(vm);
        }
    }
}

/// Returns a digest of what an entry says about itself; never 0, which marks a full record.
pub(super) fn content_digest(record: &HeartbeatRecord) -> u32 {
    let content = HeartbeatRecord { sequence: 0, age_ms: 0, content_digest: 0, ..record.clone() };
    let hash = Sha256::digest(content.encode_to_vec());
    let mut first = [0; 4];
    first.copy_from_slice(&hash[..4]);
    u32::from_be_bytes(first).max(1)
}

/// Returns the full record for a compact one if `known` has the same content.
pub(super) fn expand(
    compact: &HeartbeatRecord,
    known: Option<&HeartbeatRecord>,
) -> Option<HeartbeatRecord> {
    let known = known.filter(|known| content_digest(known) == compact.content_digest)?;
    Some(HeartbeatRecord { sequence: compact.sequence, age_ms: compact.age_ms, ..known.clone() })
}
