//! Commands to a partition, their replies, and the batch that they are collected into.

use std::sync::Arc;

use bytes::Bytes;
use prost::Message;
use tokio::sync::oneshot;

use crate::ledger::claim::StoredResponse;
use crate::ledger::settings::MAX_STORED_BODY_BYTES;
use crate::ledger::table::{
    ClaimCompletion, ClaimLookup, EntryIdentity, KeyClaim, KeyState, KeyTable, TableRollback,
};
use crate::peer::generated::ledger::KeyRecord;

/// A partition's reply to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum PartitionReply {
    /// The claim is durable and exclusive.
    Granted,
    /// Another claim, by this entry, holds the key without an outcome.
    HeldBy(EntryIdentity),
    /// The request ran.
    Ran(Arc<StoredResponse>),
    /// An earlier claim ended and it is not known whether its request ran.
    Unknown,
    /// The key was used for a request with another digest.
    Mismatch,
    /// The key's creation time is before the expiry horizon.
    Expired,
    /// This node does not own the partition.
    NotOwner,
    /// The claim was not granted: it cannot be made durable now, or its entry has ended it.
    Unavailable,
    /// The node is at its limit of keys.
    Full,
}

/// Reply to a request to record how a claim ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FinishReceipt {
    /// The outcome is durable, or there was no such claim without an outcome.
    Recorded,
    /// The outcome was not recorded; the caller has to retry at the owner.
    NotRecorded,
}

/// A command to a partition's task.
#[derive(Debug)]
pub(super) enum PartitionCommand {
    /// Asks for a claim.
    Claim { claim: KeyClaim, reply: oneshot::Sender<PartitionReply> },
    /// Records how a claim ended. `is_rechecked` is set once the claim has been looked up in the
    /// table, so that a claim that is unknown after a check against the log is not checked again.
    Finish {
        completion: ClaimCompletion,
        is_rechecked: bool,
        reply: oneshot::Sender<FinishReceipt>,
    },
}

/// The records of the next segment, and the commands that get a reply once it is durable.
#[derive(Debug, Default)]
pub(super) struct PartitionBatch {
    pub(super) records: Vec<KeyRecord>,
    pub(super) bytes: usize,
    /// One for each record, in the same order; applied in reverse if the write has no effect.
    pub(super) rollbacks: Vec<TableRollback>,
    pub(super) commands: Vec<PartitionCommand>,
    /// Commands that the table may decide only after a check that no other owner has written.
    pub(super) unverified: Vec<PartitionCommand>,
}

impl PartitionBatch {
    pub(super) fn push(
        &mut self,
        record: KeyRecord,
        rollback: TableRollback,
        command: PartitionCommand,
    ) {
        self.bytes += record.encoded_len();
        self.records.push(record);
        self.rollbacks.push(rollback);
        self.commands.push(command);
    }

    /// Adds a claim that may be granted to the batch and replies to any other at once. Drops a
    /// claim whose caller no longer waits.
    pub(super) fn add_claim(
        &mut self,
        table: &mut KeyTable,
        sequence: u64,
        claim: KeyClaim,
        reply: oneshot::Sender<PartitionReply>,
        lookup: ClaimLookup,
    ) {
        if reply.is_closed() {
            return;
        }
        let decided = match lookup {
            ClaimLookup::Full => PartitionReply::Full,
            ClaimLookup::Free => {
                let (record, rollback) = table.claim(&claim, sequence);
                self.push(record, rollback, PartitionCommand::Claim { claim, reply });
                return;
            }
            ClaimLookup::AlreadyGranted => {
                self.commands.push(PartitionCommand::Claim { claim, reply });
                return;
            }
            ClaimLookup::HeldBy(entry) => PartitionReply::HeldBy(entry),
            ClaimLookup::Ran(response) => PartitionReply::Ran(response),
            ClaimLookup::Unknown => PartitionReply::Unknown,
            ClaimLookup::Mismatch => PartitionReply::Mismatch,
            ClaimLookup::Expired => PartitionReply::Expired,
            ClaimLookup::AlreadyEnded => PartitionReply::Unavailable,
        };
        let _ = reply.send(decided);
    }
}

impl PartitionCommand {
    /// Whether the command may wait for others to share a write with. A release may not, because
    /// the key can be claimed again only once it is durable.
    pub(super) fn can_wait_for_batch(&self) -> bool {
        match self {
            Self::Claim { .. } => false,
            Self::Finish { completion, .. } => completion.state != KeyState::Released,
        }
    }

    /// Replies to a claim with `refusal`, and to the end of a claim that it is not recorded.
    pub(super) fn reject(self, refusal: PartitionReply) {
        match self {
            Self::Claim { reply, .. } => drop(reply.send(refusal)),
            Self::Finish { reply, .. } => drop(reply.send(FinishReceipt::NotRecorded)),
        }
    }
}

impl ClaimCompletion {
    /// Drops the response body if it is over `max_bytes` or [`MAX_STORED_BODY_BYTES`].
    pub(super) fn limit_body(&mut self, max_bytes: usize) {
        let KeyState::Ran(response) = &mut self.state else { return };
        if response.body.len() > max_bytes.min(MAX_STORED_BODY_BYTES) {
            let response = Arc::make_mut(response);
            response.body = Bytes::new();
            response.is_body_dropped = true;
        }
    }
}
