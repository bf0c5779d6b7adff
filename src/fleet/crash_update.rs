//! Shares which requests crash upstreams with all entries.
//!
//! A request that crashes the upstreams that run it may come again at any entry. The entry that saw
//! an upstream end under a request sends the record to its failure domain and to one entry of each
//! other domain, the gateway, which forwards it to its own. Datagrams may be lost, so each record is
//! sent several times. The leader of a domain repeats the records of refused requests for as long as
//! they are refused, so that entries that start later know them too.

use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::peer_message::{MessageError, MessageKey};
use crate::limits::{CrashRecord, QuarantineTable, RequestFingerprint, RequestTraits, TraitSets};

/// First byte of a crash update; a load update has another one, and a `PeerMessage` is JSON.
const CRASH_UPDATE_TAG: u8 = 2;
/// Encoded length of a record: 28 bytes fingerprint, 4 bytes upstream, 2 bytes age, 1 byte of what
/// has cleared it.
const RECORD_BYTES: usize = 35;
/// Resolution of the encoded age.
const AGE_STEP: Duration = Duration::from_millis(10);
/// Most records in one datagram, which then fits into few packets.
const MAX_RECORDS: usize = 128;
/// Most records that wait to be sent; further ones are dropped.
const MAX_PENDING_RECORDS: usize = 4096;
/// Times that a record is sent.
const RECORD_SENDS: u32 = 6;
/// Time between two updates of an entry, and between two sends of a record.
const UPDATE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two repetitions of the records of refused requests.
const REPEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Encodes and signs records as datagrams.
pub fn encode_crash_updates(key: &MessageKey, records: &[CrashRecord]) -> Vec<Vec<u8>> {
    let mut datagrams = Vec::with_capacity(records.len().div_ceil(MAX_RECORDS));
    for chunk in records.chunks(MAX_RECORDS) {
        let mut payload = Vec::with_capacity(1 + chunk.len() * RECORD_BYTES);
        payload.push(CRASH_UPDATE_TAG);
        for record in chunk {
            payload.extend_from_slice(&record.request.target.to_be_bytes());
            payload.extend_from_slice(&record.request.content.to_be_bytes());
            let RequestTraits { query, caller, headers } = record.request.traits;
            for digest in [query, caller, headers] {
                payload.extend_from_slice(&digest.to_be_bytes());
            }
            payload.extend_from_slice(&record.upstream.to_be_bytes());
            let steps = record.age.as_millis() / AGE_STEP.as_millis();
            payload.extend_from_slice(&u16::try_from(steps).unwrap_or(u16::MAX).to_be_bytes());
            payload.push(record.cleared.0);
        }
        datagrams.push(key.sign(&payload));
    }
    datagrams
}

/// Decodes the payload of a datagram; `None` if it is not a crash update.
///
/// # Errors
///
/// Returns [`MessageError::Malformed`] if the last record is truncated.
pub fn decode_crash_update(payload: &[u8]) -> Option<Result<Vec<CrashRecord>, MessageError>> {
    let (tag, rest) = payload.split_first()?;
    if *tag != CRASH_UPDATE_TAG {
        return None;
    }
    let (chunks, partial) = rest.as_chunks::<RECORD_BYTES>();
    if !partial.is_empty() {
        return Some(Err(MessageError::Malformed));
    }
    let mut records = Vec::with_capacity(chunks.len());
    for chunk in chunks {
        records.push(decode_record(chunk));
    }
    Some(Ok(records))
}

fn decode_record(bytes: &[u8; RECORD_BYTES]) -> CrashRecord {
    let number = |from: usize, to: usize| {
        bytes[from..to].iter().fold(0_u64, |number, byte| number << 8 | u64::from(*byte))
    };
    let digest = |from: usize| number(from, from + 4) as u32;
    let traits = RequestTraits { query: digest(16), caller: digest(20), headers: digest(24) };
    let request = RequestFingerprint { target: number(0, 8), content: number(8, 16), traits };
    let age = AGE_STEP * number(32, 34) as u32;
    CrashRecord { request, upstream: digest(28), cleared: TraitSets(bytes[34]), age }
}

/// Which entries a record is sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordScope {
    /// The entries of the local failure domain.
    Domain,
    /// These, and the gateways of the other failure domains.
    Fleet,
}

#[derive(Clone, Copy, Debug)]
struct PendingRecord {
    record: CrashRecord,
    received_at: Instant,
    scope: RecordScope,
    sends_left: u32,
}

/// Records that are due to be sent.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct DueRecords {
    /// To the entries of the local failure domain.
    pub domain: Vec<CrashRecord>,
    /// To the gateways of the other failure domains.
    pub gateways: Vec<CrashRecord>,
}

/// Decides which records are sent when.
#[derive(Debug, Default)]
pub struct CrashRelay {
    pending: Vec<PendingRecord>,
    updated_at: Option<Instant>,
    repeated_at: Option<Instant>,
}

impl CrashRelay {
    /// Queues a record to be sent.
    pub fn queue(&mut self, record: CrashRecord, scope: RecordScope, now: Instant) {
        if self.pending.len() >= MAX_PENDING_RECORDS {
            return;
        }
        let sends_left = RECORD_SENDS;
        self.pending.push(PendingRecord { record, received_at: now, scope, sends_left });
    }

    /// Whether nothing waits to be sent.
    pub fn is_idle(&self) -> bool {
        self.pending.is_empty()
    }

    /// Takes what is due: new records of this entry, those that are sent again, and, if this entry
    /// leads its failure domain, the records of refused requests.
    pub fn take_due(
        &mut self,
        table: &QuarantineTable,
        is_leader: bool,
        now: Instant,
    ) -> DueRecords {
        let mut due = DueRecords::default();
        if self.updated_at.is_some_and(|at| now - at < UPDATE_INTERVAL) {
            return due;
        }
        self.updated_at = Some(now);
        for record in table.take_unshared(now) {
            self.queue(record, RecordScope::Fleet, now);
        }
        for pending in &mut self.pending {
            pending.sends_left -= 1;
            let age = pending.record.age + (now - pending.received_at);
            due.add(CrashRecord { age, ..pending.record }, pending.scope);
        }
        self.pending.retain(|pending| pending.sends_left > 0);
        if self.repeated_at.is_some_and(|at| now - at < REPEAT_INTERVAL) {
            return due;
        }
        self.repeated_at = Some(now);
        table.remove_expired(now);
        if is_leader {
            for record in table.refused_records(now) {
                due.add(record, RecordScope::Fleet);
            }
        }
        due
    }
}

impl DueRecords {
    fn add(&mut self, record: CrashRecord, scope: RecordScope) {
        self.domain.push(record);
        if scope == RecordScope::Fleet {
            self.gateways.push(record);
        }
    }
}
