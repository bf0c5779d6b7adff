//! The durable log of one partition: a ring of segment objects.
//!
//! Segment `n` is written into slot `n % ring_slots`, on the condition that the slot still has the
//! version that the writer has seen. That write makes a batch durable and is the fence: if two
//! owners both take `n` for the next sequence, one write succeeds and the other conflicts. Versions
//! never repeat and slots are never deleted, so a writer conflicts however long it was paused.
//!
//! A slot is reused only after its changes are in an archive that a later segment refers to.
//! Archives have unique names, are never changed, and take effect once a segment refers to them.

use std::sync::Arc;

use futures_util::stream::{self, StreamExt, TryStreamExt};
use heatherfall_platform_api::{PlatformStore, Precondition, Revision, StoreError};
use prost::Message;

use crate::ledger::log_object::{
    ARCHIVE_KIND, LedgerLayout, ObjectIdentity, SEGMENT_KIND, decode, encode, name_prefix,
    slot_name, slot_of,
};
use crate::ledger::resolved_put::{PutOutcome, StallObserver, put_resolved};
use crate::ledger::table::KeyTable;
use crate::peer::generated::ledger::{ArchiveRef, KeyRecord, LedgerArchive, LedgerSegment};
use crate::util::SeededRandom;

/// Archives that a load reads concurrently.
const MAX_PARALLEL_ARCHIVE_READS: usize = 8;

/// How an append or an archive write ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AppendOutcome {
    /// The data is durable.
    Durable,
    /// Nothing was written, and no write is still under way.
    NoEffect,
    /// Another writer has written this segment: the loaded log and table are out of date.
    Fenced,
}

/// Why a log could not be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum LoadError {
    /// A read from the platform failed.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The objects changed while they were read, or are corrupt.
    #[error("log is inconsistent: {0}")]
    Inconsistent(String),
}

/// Settings of one partition's log.
#[derive(Clone, Debug)]
pub(super) struct LogSettings {
    pub(super) partition: u32,
    pub(super) layout: LedgerLayout,
    /// VM that writes the log.
    pub(super) writer: String,
    /// Size at which an archive is full, in bytes of its records.
    pub(super) archive_bytes: usize,
}

/// Head of a partition's log, as last read or written by this writer.
#[derive(Debug)]
pub(super) struct PartitionLog<S> {
    store: Arc<S>,
    settings: LogSettings,
    random: SeededRandom,
    /// Spec version of each slot's object; `None` if it has not been written.
    slots: Vec<Option<Revision>>,
    next_sequence: u64,
    /// Archives that the next segment refers to, oldest first.
    archives: Vec<ArchiveRef>,
    /// Last sequence whose changes are in `archives`.
    archived_through: u64,
    /// `archived_through` of the last durable segment.
    durable_archived_through: u64,
    newest_archive_bytes: usize,
    /// Archives that nothing refers to once the next segment is durable.
    obsolete: Vec<String>,
}

impl<S: PlatformStore> PartitionLog<S> {
    /// Reads the log and builds the table from it.
    pub(super) async fn load(
        store: Arc<S>,
        settings: LogSettings,
        random: SeededRandom,
    ) -> Result<(Self, KeyTable), LoadError> {
        let list = store.list(SEGMENT_KIND, &name_prefix(settings.partition)).await?;
        let mut slots = vec![None; settings.layout.ring_slots as usize];
        let mut segments = Vec::with_capacity(list.items.len());
        for object in &list.items {
            let slot = slot_of(&object.name).filter(|slot| *slot < settings.layout.ring_slots);
            let segment = decode::<LedgerSegment>(object);
            let (Some(slot), Some(segment)) = (slot, segment) else {
                return Err(LoadError::Inconsistent(format!(
                    "segment is malformed name={}",
                    object.name
                )));
            };
            slots[slot as usize] = Some(object.spec_version);
            segments.push(segment);
        }
        segments.sort_by_key(|segment| segment.sequence);
        let mut log = Self {
            store,
            settings,
            random,
            slots,
            next_sequence: 1,
            archives: Vec::new(),
            archived_through: 0,
            durable_archived_through: 0,
            newest_archive_bytes: 0,
            obsolete: Vec::new(),
        };
        let mut table = KeyTable::default();
        log.replay(segments, &mut table).await?;
        Ok((log, table))
    }

    /// Applies the archives, then the segments after them, which have to be without a gap.
    async fn replay(
        &mut self,
        segments: Vec<LedgerSegment>,
        table: &mut KeyTable,
    ) -> Result<(), LoadError> {
        let Some(newest) = segments.last() else { return Ok(()) };
        self.next_sequence = newest.sequence + 1;
        self.archived_through = newest.archived_through;
        self.durable_archived_through = newest.archived_through;
        table.set_horizon(newest.horizon_ms);
        self.replay_archives(&newest.newest_archive.clone(), table).await?;
        let mut expected = self.archived_through + 1;
        for segment in segments {
            if segment.sequence < expected {
                continue;
            }
            if segment.sequence > expected {
                return Err(LoadError::Inconsistent(format!(
                    "segment is missing sequence={expected}"
                )));
            }
            expected += 1;
            replay_records(table, segment.records, segment.sequence)?;
        }
        Ok(())
    }

    /// Applies the archive `name` and those before it that still hold keys within the horizon.
    async fn replay_archives(&mut self, name: &str, table: &mut KeyTable) -> Result<(), LoadError> {
        if name.is_empty() {
            return Ok(());
        }
        let newest = read_archive(self.store.as_ref(), name).await?;
        self.archives = newest.previous.clone();
        let previous: Vec<ArchiveRef> = newest.previous.clone();
        let store = self.store.as_ref();
        let reads = stream::iter(previous)
            .filter(|archive| std::future::ready(archive.newest_key_ms >= table.horizon_ms()))
            .map(|archive| async move { read_archive(store, &archive.name).await });
        let mut older: Vec<LedgerArchive> =
            reads.buffered(MAX_PARALLEL_ARCHIVE_READS).try_collect().await?;
        self.newest_archive_bytes = newest.encoded_len();
        older.push(newest);
        for archive in older {
            let own = archive.own.unwrap_or_default();
            replay_records(table, archive.records, own.after_sequence + 1)?;
            if own.name == name {
                self.archives.push(own);
            }
        }
        Ok(())
    }

    /// Sequence of the segment that the next append writes.
    pub(super) fn next_sequence(&self) -> u64 {
        self.next_sequence
    }

    /// Whether the next slot holds a segment that is not archived.
    fn is_full(&self) -> bool {
        self.next_sequence > self.archived_through + self.settings.layout.ring_slots
    }

    /// Reads the next slot. Returns whether no other writer has written the next segment.
    pub(super) async fn is_current(&self) -> Result<bool, StoreError> {
        let slot = self.next_sequence % self.settings.layout.ring_slots;
        let name = slot_name(self.settings.partition, slot);
        match self.store.get(SEGMENT_KIND, &name).await {
            Ok(object) => Ok(self.slots[slot as usize] == Some(object.spec_version)),
            Err(StoreError::NotFound) => Ok(self.slots[slot as usize].is_none()),
            Err(error) => Err(error),
        }
    }

    /// Writes a batch as the next segment. Returns only once it is known whether the batch is
    /// durable; `observer` is told while the effect of a write is unknown.
    pub(super) async fn append(
        &mut self,
        records: Vec<KeyRecord>,
        horizon_ms: u64,
        observer: &impl StallObserver,
    ) -> AppendOutcome {
        if self.is_full() {
            return AppendOutcome::NoEffect;
        }
        let newest_archive = self.archives.last().map(|archive| archive.name.clone());
        let segment = LedgerSegment {
            sequence: self.next_sequence,
            horizon_ms,
            newest_archive: newest_archive.unwrap_or_default(),
            archived_through: self.archived_through,
            records,
        };
        let slot = self.next_sequence % self.settings.layout.ring_slots;
        let identity = self.object_identity(SEGMENT_KIND, slot_name(self.settings.partition, slot));
        let draft = encode(identity, &segment);
        let precondition = match self.slots[slot as usize] {
            Some(version) => Precondition::SpecVersion(version),
            None => Precondition::Absent,
        };
        match put_resolved(self.store.as_ref(), draft, precondition, observer).await {
            PutOutcome::Written(version) => {
                self.slots[slot as usize] = Some(version);
                self.next_sequence += 1;
                self.durable_archived_through = self.archived_through;
                AppendOutcome::Durable
            }
            PutOutcome::NoEffect => AppendOutcome::NoEffect,
            PutOutcome::Conflict => AppendOutcome::Fenced,
        }
    }

    /// Whether at least half of the ring holds segments that are not archived.
    pub(super) fn is_archive_due(&self) -> bool {
        self.next_sequence - 1 - self.archived_through >= self.settings.layout.ring_slots / 2
    }

    /// Writes the keys changed since the last archive into new archives, which take effect with the
    /// next segment. A newest archive that is not full is merged into them, and archives whose keys
    /// have all expired are dropped.
    pub(super) async fn archive(
        &mut self,
        table: &KeyTable,
        observer: &impl StallObserver,
    ) -> AppendOutcome {
        let through = self.next_sequence - 1;
        let mut archives = self.archives.clone();
        let mut obsolete = Vec::new();
        let mut after = self.archived_through;
        if self.newest_archive_bytes < self.settings.archive_bytes
            && let Some(partial) = archives.pop()
        {
            after = partial.after_sequence;
            obsolete.push(partial.name);
        }
        archives.retain(|archive| {
            let is_kept = archive.newest_key_ms >= table.horizon_ms();
            if !is_kept {
                obsolete.push(archive.name.clone());
            }
            is_kept
        });
        let mut bytes = 0;
        let kept = archives.len();
        for chunk in chunks(table.changed(after, through), self.settings.archive_bytes) {
            let archive = self.build_archive(&archives, chunk);
            bytes = archive.encoded_len();
            let own = archive.own.clone().unwrap_or_default();
            let identity = self.object_identity(ARCHIVE_KIND, own.name.clone());
            let draft = encode(identity, &archive);
            let put = put_resolved(self.store.as_ref(), draft, Precondition::Absent, observer);
            match put.await {
                PutOutcome::Written(_) => archives.push(own),
                PutOutcome::NoEffect | PutOutcome::Conflict => {
                    self.obsolete.extend(archives.drain(kept..).map(|archive| archive.name));
                    return AppendOutcome::NoEffect;
                }
            }
        }
        self.archives = archives;
        self.archived_through = through;
        self.newest_archive_bytes = bytes;
        self.obsolete.extend(obsolete);
        AppendOutcome::Durable
    }

    fn build_archive(
        &mut self,
        previous: &[ArchiveRef],
        chunk: Vec<(u64, KeyRecord)>,
    ) -> LedgerArchive {
        let first = chunk.first().map_or(1, |(sequence, _)| *sequence);
        let mut newest_key_ms = 0;
        let mut records = Vec::with_capacity(chunk.len());
        for (_, record) in chunk {
            newest_key_ms = newest_key_ms.max(record.key_time_ms);
            records.push(record);
        }
        let name = format!("{}{:016x}", name_prefix(self.settings.partition), self.random.bits());
        let own = ArchiveRef { name, after_sequence: first - 1, newest_key_ms };
        LedgerArchive { previous: previous.to_vec(), own: Some(own), records }
    }

    /// Deletes one obsolete archive, once a durable segment no longer refers to it. An archive
    /// whose delete failed because the platform is unavailable is tried again later.
    pub(super) async fn delete_obsolete(&mut self) {
        if self.archived_through != self.durable_archived_through {
            return;
        }
        let Some(name) = self.obsolete.pop() else { return };
        let deleted = match self.store.get(ARCHIVE_KIND, &name).await {
            Ok(object) => self.store.delete(ARCHIVE_KIND, &name, object.spec_version).await,
            Err(error) => Err(error),
        };
        if deleted.is_err_and(|error| error.is_outage()) {
            self.obsolete.push(name);
        }
    }

    /// Whether an obsolete archive can be deleted now.
    pub(super) fn has_obsolete_archives(&self) -> bool {
        !self.obsolete.is_empty() && self.archived_through == self.durable_archived_through
    }

    /// Identity of a new write, with a random change id.
    fn object_identity(&mut self, kind: &'static str, name: String) -> ObjectIdentity {
        let change_id = format!("{:016x}{:016x}", self.random.bits(), self.random.bits());
        ObjectIdentity { kind, name, change_id, writer: self.settings.writer.clone() }
    }
}

/// Splits records into chunks of up to `max_bytes`; a larger record gets a chunk of its own.
fn chunks(records: Vec<(u64, KeyRecord)>, max_bytes: usize) -> Vec<Vec<(u64, KeyRecord)>> {
    let mut chunks = Vec::new();
    let mut chunk = Vec::new();
    let mut bytes = 0;
    for (sequence, record) in records {
        let size = record.encoded_len();
        if bytes + size > max_bytes && !chunk.is_empty() {
            chunks.push(std::mem::take(&mut chunk));
            bytes = 0;
        }
        bytes += size;
        chunk.push((sequence, record));
    }
    if !chunk.is_empty() {
        chunks.push(chunk);
    }
    chunks
}

fn replay_records(
    table: &mut KeyTable,
    records: Vec<KeyRecord>,
    sequence: u64,
) -> Result<(), LoadError> {
    for record in records {
        if table.replay(record, sequence).is_none() {
            return Err(LoadError::Inconsistent(format!(
                "record is malformed sequence={sequence}"
            )));
        }
    }
    Ok(())
}

async fn read_archive<S: PlatformStore>(store: &S, name: &str) -> Result<LedgerArchive, LoadError> {
    let object = store.get(ARCHIVE_KIND, name).await?;
    decode(&object)
        .ok_or_else(|| LoadError::Inconsistent(format!("archive is malformed name={name}")))
}
