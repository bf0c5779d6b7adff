//! What is known about each key of a partition, and what that says to a claim.

use std::sync::Arc;

use bytes::Bytes;

use crate::core::{GenerationNumber, VmId};
use crate::ledger::claim::StoredResponse;
use crate::ledger::key::{KeyId, LedgerKey};
use crate::peer::generated::ledger::{KeyPhase, KeyRecord, StoredOutcome as OutcomeMessage};
use crate::util::FastMap;

/// Identity of a claim.
pub(super) type ClaimId = [u8; 16];

/// The entry that holds a claim.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct EntryIdentity {
    /// Its VM.
    pub vm: VmId,
    /// Distinguishes processes that run on the same VM one after the other.
    pub incarnation: u64,
}

/// A claim as the owner of its partition sees it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) struct KeyClaim {
    pub(super) key: LedgerKey,
    pub(super) digest: [u8; 16],
    pub(super) claim_id: ClaimId,
    pub(super) entry: EntryIdentity,
    pub(super) generation: GenerationNumber,
}

/// How far a key has come.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum KeyState {
    Claimed,
    Ran(Arc<StoredResponse>),
    Unknown,
    Released,
}

/// Index of an entry in the arena of a table.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct EntryIndex(u32);

/// The entries that hold or held claims; a name is kept once however many claims it has.
#[derive(Debug, Default)]
struct EntryInterner {
    entries: Vec<EntryIdentity>,
    keys: FastMap<EntryIdentity, EntryIndex>,
}

impl EntryInterner {
    fn key(&mut self, entry: &EntryIdentity) -> EntryIndex {
        if let Some(key) = self.keys.get(entry) {
            return *key;
        }
        let key = EntryIndex(self.entries.len() as u32);
        self.entries.push(entry.clone());
        self.keys.insert(entry.clone(), key);
        key
    }

    fn get(&self, key: EntryIndex) -> EntryIdentity {
        self.entries[key.0 as usize].clone()
    }
}

/// One key.
#[derive(Clone, Debug, PartialEq)]
pub(super) struct KeyRow {
    time_ms: u64,
    digest: [u8; 16],
    claim_id: ClaimId,
    entry: EntryIndex,
    generation: GenerationNumber,
    state: KeyState,
    /// Segment of the last change.
    sequence: u64,
}

/// The end of a claim.
#[derive(Clone, Debug)]
pub(super) struct ClaimCompletion {
    pub(super) id: KeyId,
    pub(super) claim_id: ClaimId,
    pub(super) state: KeyState,
}

/// What the table says to a claim.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum ClaimLookup {
    /// Nobody holds the key: the claim has to be written.
    Free,
    /// The same claim is durable already, from an earlier try.
    AlreadyGranted,
    /// Another claim holds the key, without an outcome.
    Taken(EntryIdentity),
    /// The request ran.
    Ran(Arc<StoredResponse>),
    /// Nobody knows whether the request ran.
    Unknown,
    /// The key was used with another digest.
    Mismatch,
    /// The key is older than the horizon.
    Expired,
    /// The claim was given up by its own entry.
    Abandoned,
    /// Nobody holds the key, and no further key can be remembered.
    Full,
}

impl ClaimLookup {
    /// The answer of a node that remembers as many keys as it may.
    pub(super) fn or_full(self) -> Self {
        if self == Self::Free { Self::Full } else { self }
    }
}

/// How a change is taken back.
#[derive(Debug)]
pub(super) struct TableRollback {
    id: KeyId,
    before: Option<KeyRow>,
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

    /// Forgets the keys created before `horizon_ms`; they are refused from now on.
    pub(super) fn set_horizon(&mut self, horizon_ms: u64) {
        if horizon_ms <= self.horizon_ms {
            return;
        }
        self.horizon_ms = horizon_ms;
        let body_bytes = &mut self.body_bytes;
        self.keys.retain(|_, entry| {
            let is_kept = entry.time_ms >= horizon_ms;
            if !is_kept {
                *body_bytes -= entry.body_len();
            }
            is_kept
        });
    }

    pub(super) fn ask(&self, claim: &KeyClaim) -> ClaimLookup {
        if claim.key.time_ms < self.horizon_ms {
            return ClaimLookup::Expired;
        }
        let Some(entry) = self.keys.get(&claim.key.id) else { return ClaimLookup::Free };
        if entry.claim_id == claim.claim_id {
            return match entry.state {
                KeyState::Claimed => ClaimLookup::AlreadyGranted,
                _ => ClaimLookup::Abandoned,
            };
        }
        if entry.state == KeyState::Released {
            return ClaimLookup::Free;
        }
        if entry.digest != claim.digest {
            return ClaimLookup::Mismatch;
        }
        match &entry.state {
            KeyState::Ran(outcome) => ClaimLookup::Ran(Arc::clone(outcome)),
            KeyState::Unknown => ClaimLookup::Unknown,
            KeyState::Claimed | KeyState::Released => {
                ClaimLookup::Taken(self.entries.get(entry.entry))
            }
        }
    }

    /// Records a claim in segment `sequence`.
    pub(super) fn claim(&mut self, claim: &KeyClaim, sequence: u64) -> (KeyRecord, TableRollback) {
        let entry = KeyRow {
            time_ms: claim.key.time_ms,
            digest: claim.digest,
            claim_id: claim.claim_id,
            entry: self.entries.key(&claim.entry),
            generation: claim.generation,
            state: KeyState::Claimed,
            sequence,
        };
        self.put(claim.key.id, entry)
    }

    /// Whether the claim holds its key and has ended.
    pub(super) fn is_ended(&self, id: KeyId, claim_id: ClaimId) -> bool {
        let entry = self.keys.get(&id);
        entry.is_some_and(|entry| entry.claim_id == claim_id && entry.state != KeyState::Claimed)
    }

    /// Records how a claim ended, if it still holds its key without an outcome.
    pub(super) fn finish(
        &mut self,
        close: &ClaimCompletion,
        sequence: u64,
    ) -> Option<(KeyRecord, TableRollback)> {
        let entry = self.keys.get(&close.id)?;
        if entry.claim_id != close.claim_id || entry.state != KeyState::Claimed {
            return None;
        }
        let entry = KeyRow { state: close.state.clone(), sequence, ..entry.clone() };
        Some(self.put(close.id, entry))
    }

    pub(super) fn undo(&mut self, undo: TableRollback) {
        let now = match undo.before {
            Some(before) => {
                self.body_bytes += before.body_len();
                self.keys.insert(undo.id, before)
            }
            None => self.keys.remove(&undo.id),
        };
        self.body_bytes -= now.map_or(0, |entry| entry.body_len());
    }

    /// Takes a record of segment `sequence` over; later calls win.
    pub(super) fn replay(&mut self, record: KeyRecord, sequence: u64) -> Option<()> {
        let id = KeyId(record.key_id.as_ref().try_into().ok()?);
        let entry = KeyRow::from_record(record, sequence, &mut self.entries)?;
        if entry.time_ms >= self.horizon_ms {
            self.put(id, entry);
        }
        Some(())
    }

    /// The keys last changed after segment `after` and up to `through`, in order of that change.
    pub(super) fn changed(&self, after: u64, through: u64) -> Vec<(u64, KeyRecord)> {
        let mut records = Vec::new();
        for (id, entry) in &self.keys {
            if entry.sequence > after && entry.sequence <= through {
                records.push((entry.sequence, entry.to_record(*id, &self.entries)));
            }
        }
        records.sort_by(|a, b| (a.0, &a.1.key_id).cmp(&(b.0, &b.1.key_id)));
        records
    }

    fn put(&mut self, id: KeyId, entry: KeyRow) -> (KeyRecord, TableRollback) {
        let record = entry.to_record(id, &self.entries);
        self.body_bytes += entry.body_len();
        let before = self.keys.insert(id, entry);
        self.body_bytes -= before.as_ref().map_or(0, KeyRow::body_len);
        (record, TableRollback { id, before })
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
        let entry = entries.get(self.entry);
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
            entry: entries.key(&identity),
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
