//! What is asked of a partition, and how it is gathered into batches.

use std::sync::Arc;

use bytes::Bytes;
use prost::Message;
use tokio::sync::oneshot;

use crate::ledger::claim::StoredOutcome;
use crate::ledger::settings::MAX_KEPT_BODY_BYTES;
use crate::ledger::table::{
    ClaimClose, EntryIdentity, KeyClaim, KeyState, KeyTable, TableAnswer, TableUndo,
};
use crate::peer::generated::ledger::KeyRecord;

/// What a partition says to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum PartitionAnswer {
    /// The claim is durable and exclusive.
    Granted,
    /// Another claim holds the key, without an outcome.
    Taken(EntryIdentity),
    /// The request ran.
    Ran(Arc<StoredOutcome>),
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
pub(super) enum EndReceipt {
    /// It is durable, or there was no such claim to end.
    Settled,
    /// It was not recorded; try again, at the owner.
    NotSettled,
}

/// A request to a partition.
#[derive(Debug)]
pub(super) enum PartitionCommand {
    Claim { claim: KeyClaim, reply: oneshot::Sender<PartitionAnswer> },
    Finish { close: ClaimClose, is_rechecked: bool, reply: oneshot::Sender<EndReceipt> },
}

/// A batch that is about to be written.
#[derive(Debug, Default)]
pub(super) struct PartitionBatch {
    pub(super) records: Vec<KeyRecord>,
    pub(super) bytes: usize,
    pub(super) undos: Vec<TableUndo>,
    pub(super) commands: Vec<PartitionCommand>,
    /// Commands that can be decided about only by a table that is not out of date.
    pub(super) unsure: Vec<PartitionCommand>,
}

impl PartitionBatch {
    pub(super) fn push(&mut self, record: KeyRecord, undo: TableUndo, command: PartitionCommand) {
        self.bytes += record.encoded_len();
        self.records.push(record);
        self.undos.push(undo);
        self.commands.push(command);
    }

    pub(super) fn gather_claim(
        &mut self,
        table: &mut KeyTable,
        sequence: u64,
        claim: KeyClaim,
        reply: oneshot::Sender<PartitionAnswer>,
        answer: TableAnswer,
    ) {
        if reply.is_closed() {
            return;
        }
        let answer = match answer {
            TableAnswer::Full => PartitionAnswer::Full,
            TableAnswer::Free => {
                let (record, undo) = table.claim(&claim, sequence);
                self.push(record, undo, PartitionCommand::Claim { claim, reply });
                return;
            }
            TableAnswer::Held => {
                self.commands.push(PartitionCommand::Claim { claim, reply });
                return;
            }
            TableAnswer::Taken(entry) => PartitionAnswer::Taken(entry),
            TableAnswer::Ran(outcome) => PartitionAnswer::Ran(outcome),
            TableAnswer::Unknown => PartitionAnswer::Unknown,
            TableAnswer::Mismatch => PartitionAnswer::Mismatch,
            TableAnswer::Expired => PartitionAnswer::Expired,
            TableAnswer::GivenUp => PartitionAnswer::Unavailable,
        };
        let _ = reply.send(answer);
    }
}

impl PartitionCommand {
    /// Whether the command may wait for others to share a write with.
    pub(super) fn is_patient(&self) -> bool {
        match self {
            Self::Claim { .. } => false,
            Self::Finish { close, .. } => close.state != KeyState::Released,
        }
    }

    pub(super) fn reject(self, answer: PartitionAnswer) {
        match self {
            Self::Claim { reply, .. } => drop(reply.send(answer)),
            Self::Finish { reply, .. } => drop(reply.send(EndReceipt::NotSettled)),
        }
    }
}

impl ClaimClose {
    /// Drops the body of an outcome that is longer than `max_bytes`.
    pub(super) fn bound_body(&mut self, max_bytes: usize) {
        let KeyState::Ran(outcome) = &mut self.state else { return };
        if outcome.body.len() > max_bytes.min(MAX_KEPT_BODY_BYTES) {
            let outcome = Arc::make_mut(outcome);
            outcome.body = Bytes::new();
            outcome.is_body_dropped = true;
        }
    }
}
