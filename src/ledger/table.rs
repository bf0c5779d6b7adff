//! In-memory state of a partition's keys, and the lookup that decides about a claim.

use std::sync::Arc;

use bytes::Bytes;

use crate::core::{GenerationNumber, VmId};
use crate::ledger::claim::StoredResponse;
use crate::ledger::key::{KeyId, LedgerKey};
use crate::peer::generated::ledger::{KeyPhase, KeyRecord, StoredOutcome as OutcomeMessage};
use crate::util::FastMap;

/// Identity of a claim.
pub(super) type ClaimId = [u8; 16];

/// One process of an entry VM, as the holder of a claim.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct EntryIdentity {
    /// VM that the process runs on.
    pub vm: VmId,
    /// Distinguishes successive processes on the same VM: a restarted process does not hold the
    /// claims of the one before.
    pub incarnation: u64,
}

/// A claim on a key, as the partition's owner processes it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct KeyClaim {
    pub(super) key: LedgerKey,
    pub(super) digest: [u8; 16],
    pub(super) claim_id: ClaimId,
    pub(super) entry: EntryIdentity,
    pub(super) generation: GenerationNumber,
}

/// State of a key, as in the `phase` of its record.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum KeyState {
    /// Claimed, without an outcome yet.
    Claimed,
    /// The request ran, with this response.
    Ran(Arc<StoredResponse>),
    /// The claim ended and it is not known whether the request ran.
    Unknown,
    /// The request did not run; the key may be claimed again.
    Released,
}

/// Index of an entry in a table's interner.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct EntryIndex(u32);

/// Interned identities of the entries that hold or held claims: a VM name is stored once, however
/// many keys refer to it.
#[derive(Debug, Default)]
struct EntryInterner {
    entries: Vec<EntryIdentity>,
    indices: FastMap<EntryIdentity, EntryIndex>,
}

impl EntryInterner {
    fn intern(&mut self, entry: &EntryIdentity) -> EntryIndex {
        if let Some(index) = self.indices.get(entry) {
            return *index;
        }
        let index = EntryIndex(self.entries.len() as u32);
        self.entries.push(entry.clone());
        self.indices.insert(entry.clone(), index);
        index
    }

    fn resolve(&self, index: EntryIndex) -> EntryIdentity {
        self.entries[index.0 as usize].clone()
    }
}

/// State of one key and the claim that last changed it.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct KeyRow {
    time_ms: u64,
    digest: [u8; 16],
    claim_id: ClaimId,
    entry: EntryIndex,
    generation: GenerationNumber,
    state: KeyState,
    /// Sequence of the segment that holds the last change.
    sequence: u64,
}

/// Request to record how a claim ended.
#[derive(Clone, Debug)]
pub(super) struct ClaimCompletion {
    pub(super) id: KeyId,
    pub(super) claim_id: ClaimId,
    pub(super) state: KeyState,
}

/// Result of looking a claim up in the table.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum ClaimLookup {
    /// No claim holds the key: the claim may be granted once it is written.
    Free,
    /// The same claim is durable already, from an earlier attempt by its entry.
    AlreadyGranted,
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
    /// The claim has ended already, so that its entry must not dispatch under it.
    AlreadyEnded,
    /// No claim holds the key, and the node is at its limit of keys.
    Full,
}

impl ClaimLookup {
    /// Turns `Free` into `Full`, for a node at its limit of keys; known keys are still decided.
    pub(super) fn or_full(self) -> Self {
        if self == Self::Free { Self::Full } else { self }
    }
}

/// Restores a key to its state before a change whose batch was not written.
#[derive(Debug)]
pub(super) struct TableRollback {
    id: KeyId,
    previous: Option<KeyRow>,
}

/// The keys of one partition.
#[derive(Debug, Default)]
pub(super) struct KeyTable {
    keys: FastMap<KeyId, KeyRow>,
    entries: EntryInterner,
    body_bytes: usize,
    horizon_ms: u64,
}

impl KeyTable {
    pub(super) fn len(&self) -> usize {
        self.keys.len()
    }

    pub(super) fn body_bytes(&self) -> usize {
        self.body_bytes
    }

    pub(super) fn horizon_ms(&self) -> u64 {
        self.horizon_ms
    }

    /// Removes the keys created before `horizon_ms` and refuses them from now on. The horizon only
    /// moves forward.
    pub(super) fn set_horizon(&mut self, horizon_ms: u64) {
        if horizon_ms <= self.horizon_ms {
            return;
        }
        self.horizon_ms = horizon_ms;
        let body_bytes = &mut self.body_bytes;
        self.keys.retain(|_, row| {
            let is_kept = row.time_ms >= horizon_ms;
            if !is_kept {
                *body_bytes -= row.body_len();
            }
            is_kept
        });
    }

    /// Decides about a claim without changing anything.
    pub(super) fn lookup(&self, claim: &KeyClaim) -> ClaimLookup {
        if claim.key.time_ms < self.horizon_ms {
            return ClaimLookup::Expired;
        }
        let Some(row) = self.keys.get(&claim.key.id) else { return ClaimLookup::Free };
        if row.claim_id == claim.claim_id {
            return match row.state {
                KeyState::Claimed => ClaimLookup::AlreadyGranted,
                _ => ClaimLookup::AlreadyEnded,
            };
        }
        if row.state == KeyState::Released {
            return ClaimLookup::Free;
        }
        if row.digest != claim.digest {
            return ClaimLookup::Mismatch;
        }
        match &row.state {
            KeyState::Ran(outcome) => ClaimLookup::Ran(Arc::clone(outcome)),
            KeyState::Unknown => ClaimLookup::Unknown,
            KeyState::Claimed | KeyState::Released => {
                ClaimLookup::HeldBy(self.entries.resolve(row.entry))
            }
        }
    }

    /// Records a claim that will be part of segment `sequence`.
    pub(super) fn claim(&mut self, claim: &KeyClaim, sequence: u64) -> (KeyRecord, TableRollback) {
        let row = KeyRow {
            time_ms: claim.key.time_ms,
            digest: claim.digest,
            claim_id: claim.claim_id,
            entry: self.entries.intern(&claim.entry),
            generation: claim.generation,
            state: KeyState::Claimed,
            sequence,
        };
        self.put(claim.key.id, row)
    }

    /// Whether this claim is the last one on its key and has an outcome.
    pub(super) fn is_ended(&self, id: KeyId, claim_id: ClaimId) -> bool {
        let row = self.keys.get(&id);
        row.is_some_and(|row| row.claim_id == claim_id && row.state != KeyState::Claimed)
    }

    /// Records how a claim ended; `None` if the claim does not hold its key or has an outcome.
    pub(super) fn finish(
        &mut self,
        completion: &ClaimCompletion,
        sequence: u64,
    ) -> Option<(KeyRecord, TableRollback)> {
        let row = self.keys.get(&completion.id)?;
        if row.claim_id != completion.claim_id || row.state != KeyState::Claimed {
            return None;
        }
        let row = KeyRow { state: completion.state.clone(), sequence, ..row.clone() };
        Some(self.put(completion.id, row))
    }

    /// Reverts a change; several are reverted in the reverse of their order.
    pub(super) fn roll_back(&mut self, rollback: TableRollback) {
        let current = match rollback.previous {
            Some(previous) => {
                self.body_bytes += previous.body_len();
                self.keys.insert(rollback.id, previous)
            }
            None => self.keys.remove(&rollback.id),
        };
        self.body_bytes -= current.map_or(0, |row| row.body_len());
    }

    /// Applies a record read from segment `sequence`; it replaces the key's state. `None` if the
    /// record is malformed.
    pub(super) fn replay(&mut self, record: KeyRecord, sequence: u64) -> Option<()> {
        let id = KeyId(record.key_id.as_ref().try_into().ok()?);
        let row = KeyRow::from_record(record, sequence, &mut self.entries)?;
        if row.time_ms >= self.horizon_ms {
            self.put(id, row);
        }
        Some(())
    }

    /// The keys whose last change is in a segment after `after` and up to `through`, sorted by
    /// segment and key.
    pub(super) fn changed(&self, after: u64, through: u64) -> Vec<(u64, KeyRecord)> {
        let mut records = Vec::new();
        for (id, row) in &self.keys {
            if row.sequence > after && row.sequence <= through {
                records.push((row.sequence, row.to_record(*id, &self.entries)));
            }
        }
        records.sort_by(|a, b| (a.0, &a.1.key_id).cmp(&(b.0, &b.1.key_id)));
        records
    }

    fn put(&mut self, id: KeyId, row: KeyRow) -> (KeyRecord, TableRollback) {
        let record = row.to_record(id, &self.entries);
        self.body_bytes += row.body_len();
        let previous = self.keys.insert(id, row);
        self.body_bytes -= previous.as_ref().map_or(0, KeyRow::body_len);
        (record, TableRollback { id, previous })
    }
}

impl KeyRow {
    fn body_len(&self) -> usize {
        match &self.state {
            KeyState::Ran(outcome) => outcome.body.len(),
            _ => 0,
        }
    }

    fn to_record(&self, id: KeyId, entries: &EntryInterner) -> KeyRecord {
        let entry = entries.resolve(self.entry);
        let mut record = KeyRecord {
            key_id: Bytes::copy_from_slice(&id.0),
            key_time_ms: self.time_ms,
            digest: Bytes::copy_from_slice(&self.digest),
            claim_id: Bytes::copy_from_slice(&self.claim_id),
            entry_vm: entry.vm.as_str().to_owned(),
            entry_incarnation: entry.incarnation,
            generation: self.generation.0,
            phase: KeyPhase::Claimed.into(),
            outcome: None,
        };
        match &self.state {
            KeyState::Claimed => {}
            KeyState::Ran(outcome) => {
                record.set_phase(KeyPhase::Ran);
                record.outcome = Some(OutcomeMessage::from(outcome.as_ref()));
            }
            KeyState::Unknown => record.set_phase(KeyPhase::Unknown),
            KeyState::Released => record.set_phase(KeyPhase::Released),
        }
        record
    }

    fn from_record(record: KeyRecord, sequence: u64, entries: &mut EntryInterner) -> Option<Self> {
        let identity = EntryIdentity {
            vm: VmId::new(&record.entry_vm),
            incarnation: record.entry_incarnation,
        };
        let state = match record.phase() {
            KeyPhase::Unspecified => return None,
            KeyPhase::Claimed => KeyState::Claimed,
            KeyPhase::Unknown => KeyState::Unknown,
            KeyPhase::Released => KeyState::Released,
            KeyPhase::Ran => KeyState::Ran(Arc::new(record.outcome.unwrap_or_default().into())),
        };
        Some(Self {
            time_ms: record.key_time_ms,
            digest: record.digest.as_ref().try_into().ok()?,
            claim_id: record.claim_id.as_ref().try_into().ok()?,
            entry: entries.intern(&identity),
            generation: GenerationNumber(record.generation),
            state,
            sequence,
        })
    }
}

impl From<&StoredResponse> for OutcomeMessage {
    fn from(outcome: &StoredResponse) -> Self {
        Self {
            status: u32::from(outcome.status),
            content_type: outcome.content_type.clone(),
            body: outcome.body.clone(),
            is_body_dropped: outcome.is_body_dropped,
        }
    }
}

impl From<OutcomeMessage> for StoredResponse {
    fn from(message: OutcomeMessage) -> Self {
        Self {
            status: u16::try_from(message.status).unwrap_or(0),
            content_type: message.content_type,
            body: message.body,
            is_body_dropped: message.is_body_dropped,
        }
    }
}
