//! What is asked of a partition, and how it is gathered into batches.

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

/// What a partition says to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum PartitionReply {
    /// The claim is durable and exclusive.
    Granted,
    /// Another claim holds the key, without an outcome.
    Taken(EntryIdentity),
    /// The request ran.
    Ran(Arc<StoredResponse>),
    /// Nobody knows whether the request ran.
    Unknown,
    /// The key was used with another digest.
    Mismatch,
    /// The key is older than what is remembered.
    Expired,
    /// This node does not own the partition.
    NotOwner,
    /// The claim was not granted: the platform cannot take it now.
    Unavailable,
    /// The node remembers as many keys as it may.
    Full,
}

/// What became of the end of a claim.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum FinishReceipt {
    /// It is durable, or there was no such claim to end.
    Recorded,
    /// It was not recorded; try again, at the owner.
    NotRecorded,
}

/// A request to a partition.
#[derive(Debug)]
pub(super) enum PartitionCommand {
    Claim { claim: KeyClaim, reply: oneshot::Sender<PartitionReply> },
    Finish { close: ClaimCompletion, is_rechecked: bool, reply: oneshot::Sender<FinishReceipt> },
}

/// A batch that is about to be written.
#[derive(Debug, Default)]
pub(super) struct PartitionBatch {
    pub(super) records: Vec<KeyRecord>,
    pub(super) bytes: usize,
    pub(super) undos: Vec<TableRollback>,
    pub(super) commands: Vec<PartitionCommand>,
    /// Commands that can be decided about only by a table that is not out of date.
    pub(super) unverified: Vec<PartitionCommand>,
}

impl PartitionBatch {
    pub(super) fn push(
        &mut self,
        record: KeyRecord,
        undo: TableRollback,
        command: PartitionCommand,
    ) {
        self.bytes += record.encoded_len();
        self.records.push(record);
        self.undos.push(undo);
        self.commands.push(command);
    }

    pub(super) fn add_claim(
        &mut self,
        table: &mut KeyTable,
        sequence: u64,
        claim: KeyClaim,
        reply: oneshot::Sender<PartitionReply>,
        answer: ClaimLookup,
    ) {
        if reply.is_closed() {
            return;
        }
        let answer = match answer {
            ClaimLookup::Full => PartitionReply::Full,
            ClaimLookup::Free => {
                let (record, undo) = table.claim(&claim, sequence);
                self.push(record, undo, PartitionCommand::Claim { claim, reply });
                return;
            }
            ClaimLookup::AlreadyGranted => {
                self.commands.push(PartitionCommand::Claim { claim, reply });
                return;
            }
            ClaimLookup::Taken(entry) => PartitionReply::Taken(entry),
            ClaimLookup::Ran(outcome) => PartitionReply::Ran(outcome),
            ClaimLookup::Unknown => PartitionReply::Unknown,
            ClaimLookup::Mismatch => PartitionReply::Mismatch,
            ClaimLookup::Expired => PartitionReply::Expired,
            ClaimLookup::Abandoned => PartitionReply::Unavailable,
        };
        let _ = reply.send(answer);
    }
}

impl PartitionCommand {
    /// Whether the command may wait for others to share a write with.
    pub(super) fn can_wait_for_batch(&self) -> bool {
        match self {
            Self::Claim { .. } => false,
            Self::Finish { close, .. } => close.state != KeyState::Released,
        }
    }

    pub(super) fn reject(self, answer: PartitionReply) {
        match self {
            Self::Claim { reply, .. } => drop(reply.send(answer)),
            Self::Finish { reply, .. } => drop(reply.send(FinishReceipt::NotRecorded)),
        }
    }
}

impl ClaimCompletion {
    /// Drops the body of an outcome that is longer than `max_bytes`.
    pub(super) fn limit_body(&mut self, max_bytes: usize) {
        let KeyState::Ran(outcome) = &mut self.state else { return };
        if outcome.body.len() > max_bytes.min(MAX_STORED_BODY_BYTES) {
            let outcome = Arc::make_mut(outcome);
            outcome.body = Bytes::new();
            outcome.is_body_dropped = true;
        }
    }
}
