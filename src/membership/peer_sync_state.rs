//! How far this node and a peer that it asks have told each other.
//!
//! A heartbeat whose content the peer already has is sent short: identity, order, age and a digest
//! of the content. The digest lets the peer see that it has this very content; if not, it asks for
//! the whole record.

use prost::Message;
use sha2::{Digest, Sha256};

use crate::membership::drain_hint_table::{DrainHintDelta, DrainHintTable};
use crate::peer::generated::peer::{ExchangeReply, HeartbeatRecord};
use crate::util::FastMap;

/// Position towards one peer.
#[derive(Debug, Default)]
pub(super) struct PeerSyncState {
    /// Drain marks of this node's board that the peer has, and those under way to it.
    drains_told: u64,
    drains_under_way: u64,
    /// Drain marks of the peer's board that this node has.
    drains_heard: u64,
    /// Digests of the contents that the peer has, and of those under way to it.
    told: FastMap<String, u32>,
    under_way: Vec<SentContent>,
}

#[derive(Debug)]
struct SentContent {
    vm: String,
    digest: u32,
}

impl PeerSyncState {
    /// Position in the peer's drain marks.
    pub(super) fn drains_heard(&self) -> u64 {
        self.drains_heard
    }

    /// Drain marks that the peer does not have.
    pub(super) fn drain_news(&mut self, drains: &DrainHintTable) -> DrainHintDelta {
        let news = drains.changes_since(self.drains_told);
        self.drains_under_way = news.cursor;
        news
    }

    /// Starts a request; what the one before had under way counts as lost.
    pub(super) fn start(&mut self) {
        self.under_way.clear();
    }

    /// The record as it is sent to the peer.
    pub(super) fn shortened(&mut self, record: HeartbeatRecord) -> HeartbeatRecord {
        let digest = content_digest(&record);
        if self.told.get(&record.vm) == Some(&digest) {
            return HeartbeatRecord {
                vm: record.vm,
                incarnation: record.incarnation,
                sequence: record.sequence,
                age_ms: record.age_ms,
                content_digest: digest,
                ..HeartbeatRecord::default()
            };
        }
        self.told.remove(&record.vm);
        self.under_way.push(SentContent { vm: record.vm.clone(), digest });
        record
    }

    /// Records that the peer has answered the request.
    pub(super) fn delivered(&mut self, reply: &ExchangeReply) {
        self.drains_told = self.drains_under_way;
        self.drains_heard = reply.drain_cursor;
        for sent in self.under_way.drain(..) {
            self.told.insert(sent.vm, sent.digest);
        }
        for vm in &reply.wanted_vms {
            self.told.remove(vm);
        }
    }
}

/// Digest of what an entry says about itself; never 0, which stands for a whole record.
pub(super) fn content_digest(record: &HeartbeatRecord) -> u32 {
    let content = HeartbeatRecord { sequence: 0, age_ms: 0, content_digest: 0, ..record.clone() };
    let hash = Sha256::digest(content.encode_to_vec());
    let mut first = [0; 4];
    first.copy_from_slice(&hash[..4]);
    u32::from_be_bytes(first).max(1)
}

/// The whole record for a short one, if `known` has its content.
pub(super) fn restored(
    short: &HeartbeatRecord,
    known: Option<&HeartbeatRecord>,
) -> Option<HeartbeatRecord> {
    let known = known.filter(|known| content_digest(known) == short.content_digest)?;
    Some(HeartbeatRecord { sequence: short.sequence, age_ms: short.age_ms, ..known.clone() })
}
