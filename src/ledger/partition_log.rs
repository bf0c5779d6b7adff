//! The durable log of one partition: a ring of segment objects.
//!
//! Segment `n` is written into slot `n % ring_slots`, on the condition that the slot still has the
//! version that the writer knows. That write makes a batch durable and is the fence: of two
//! owners that both believe that `n` is next, one succeeds. Versions never repeat and slots are
//! never deleted, so a writer that was paused for however long meets a conflict.
//!
//! Before a slot is reused, the changes that it holds are in an archive that a later segment
//! names. Archives have names of their own, are never changed, and count only once a segment
//! names them.

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

/// Archives that are read at the same time.
const MAX_PARALLEL_ARCHIVE_READS: usize = 8;
/// How an append ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum AppendOutcome {
    /// The batch is durable.
    Durable,
    /// Nothing was written and nothing will be.
    NoEffect,
    /// Another writer has written this segment: the state at hand is out of date.
    Fenced,
}

/// Why a log could not be read.
#[derive(Debug, thiserror::Error)]
pub(super) enum LoadError {
    /// The platform does not answer.
    #[error("{0}")]
    Store(#[from] StoreError),
    /// The objects were read while they changed, or are damaged.
    #[error("log is not whole: {0}")]
    Inconsistent(String),
}

/// Who writes, and where.
#[derive(Clone, Debug)]
pub(super) struct LogSettings {
    pub(super) partition: u32,
    pub(super) layout: LedgerLayout,
    pub(super) writer: String,
    pub(super) archive_bytes: usize,
}

/// The end of a partition's log as one writer knows it.
#[derive(Debug)]
pub(super) struct PartitionLog<S> {
    store: Arc<S>,
    site: LogSettings,
    random: SeededRandom,
    /// Version of each slot; `None` before its first use.
    slots: Vec<Option<Revision>>,
    next_sequence: u64,
    /// Archives that the next segment names, oldest first.
    archives: Vec<ArchiveRef>,
    archived_through: u64,
    /// The same as of the last durable segment.
    durable_archived_through: u64,
    newest_archive_bytes: usize,
    /// Archives that are no longer named once the next segment is durable.
    obsolete: Vec<String>,
}

impl<S: PlatformStore> PartitionLog<S> {
    /// Reads the log and the state that it amounts to.
    pub(super) async fn load(
        store: Arc<S>,
        site: LogSettings,
        random: SeededRandom,
    ) -> Result<(Self, KeyTable), LoadError> {
        let list = store.list(SEGMENT_KIND, &name_prefix(site.partition)).await?;
        let mut slots = vec![None; site.layout.ring_slots as usize];
        let mut segments = Vec::with_capacity(list.items.len());
        for object in &list.items {
            let slot = slot_of(&object.name).filter(|slot| *slot < site.layout.ring_slots);
            let segment = decode::<LedgerSegment>(object);
            let (Some(slot), Some(segment)) = (slot, segment) else {
                return Err(LoadError::Inconsistent(format!(
                    "segment unreadable name={}",
                    object.name
                )));
            };
            slots[slot as usize] = Some(object.spec_version);
            segments.push(segment);
        }
        segments.sort_by_key(|segment| segment.sequence);
        let mut log = Self {
            store,
            site,
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
                    "segment missing sequence={expected}"
                )));
            }
            expected += 1;
            replay_records(table, segment.records, segment.sequence)?;
        }
        Ok(())
    }

    async fn replay_archives(&mut self, name: &str, table: &mut KeyTable) -> Result<(), LoadError> {
        if name.is_empty() {
            return Ok(());
        }
        let newest = read_archive(self.store.as_ref(), name).await?;
        self.archives = newest.previous.clone();
        let wanted: Vec<ArchiveRef> = newest.previous.clone();
        let store = self.store.as_ref();
        let reads = stream::iter(wanted)
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

    /// Whether the next slot still holds changes that no archive has.
    fn is_full(&self) -> bool {
        self.next_sequence > self.archived_through + self.site.layout.ring_slots
    }

    /// Whether no other writer has written the next segment.
    pub(super) async fn is_current(&self) -> Result<bool, StoreError> {
        let slot = self.next_sequence % self.site.layout.ring_slots;
        let name = slot_name(self.site.partition, slot);
        match self.store.get(SEGMENT_KIND, &name).await {
            Ok(object) => Ok(self.slots[slot as usize] == Some(object.spec_version)),
            Err(StoreError::NotFound) => Ok(self.slots[slot as usize].is_none()),
            Err(error) => Err(error),
        }
    }

    /// Writes a batch as the next segment. Returns only when it is known whether the batch is
    /// durable; `observer` hears of a write whose effect is not known at first.
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
        let slot = self.next_sequence % self.site.layout.ring_slots;
        let place = self.place(SEGMENT_KIND, slot_name(self.site.partition, slot));
        let draft = encode(place, &segment);
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

    /// Whether half of the ring is not covered by an archive.
    pub(super) fn is_archive_due(&self) -> bool {
        self.next_sequence - 1 - self.archived_through >= self.site.layout.ring_slots / 2
    }

    /// Writes what the ring holds into archives; the next segment puts them in force.
    pub(super) async fn archive(
        &mut self,
        table: &KeyTable,
        observer: &impl StallObserver,
    ) -> AppendOutcome {
        let through = self.next_sequence - 1;
        let mut archives = self.archives.clone();
        let mut obsolete = Vec::new();
        let mut after = self.archived_through;
        if self.newest_archive_bytes < self.site.archive_bytes
            && let Some(small) = archives.pop()
        {
            after = small.after_sequence;
            obsolete.push(small.name);
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
        for chunk in chunks(table.changed(after, through), self.site.archive_bytes) {
            let archive = self.build_archive(&archives, chunk);
            bytes = archive.encoded_len();
            let own = archive.own.clone().unwrap_or_default();
            let place = self.place(ARCHIVE_KIND, own.name.clone());
            let draft = encode(place, &archive);
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
        let name = format!("{}{:016x}", name_prefix(self.site.partition), self.random.bits());
        let own = ArchiveRef { name, after_sequence: first - 1, newest_key_ms };
        LedgerArchive { previous: previous.to_vec(), own: Some(own), records }
    }

    /// Deletes one archive that no segment in force names.
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

    /// Whether an archive waits to be deleted.
    pub(super) fn has_obsolete_archives(&self) -> bool {
        !self.obsolete.is_empty() && self.archived_through == self.durable_archived_through
    }

    fn place(&mut self, kind: &'static str, name: String) -> ObjectIdentity {
        let change_id = format!("{:016x}{:016x}", self.random.bits(), self.random.bits());
        ObjectIdentity { kind, name, change_id, writer: self.site.writer.clone() }
    }
}

/// Splits records into runs of about `max_bytes`.
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
            return Err(LoadError::Inconsistent(format!("record unreadable sequence={sequence}")));
        }
    }
    Ok(())
}

async fn read_archive<S: PlatformStore>(store: &S, name: &str) -> Result<LedgerArchive, LoadError> {
    let object = store.get(ARCHIVE_KIND, name).await?;
    decode(&object)
        .ok_or_else(|| LoadError::Inconsistent(format!("archive unreadable name={name}")))
}
