//! Compact load updates, mainly for other failure domains.
//!
//! Traffic between failure domains costs money, so only loads that affect the choice of an upstream
//! are sent there: when a machine becomes slow or recovers, and a periodic refresh, more often
//! while it is slow. The leader of a failure domain sends updates to one entry of each other
//! domain, the gateway, which forwards them to its own.

use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::peer_message::{MeasuredLoad, MessageError, MessageKey};
use crate::util::FastMap;

/// First byte of a load update; a `PeerMessage` is JSON and starts with a brace.
const LOAD_UPDATE_TAG: u8 = 1;
/// Encoded length of a load: 4 bytes digest, 1 byte requests in flight, 1 byte service time.
const COMPACT_LOAD_BYTES: usize = 6;
/// Resolution of the service time byte, in percent.
const WORK_PERCENT_STEP: u32 = 10;
/// Service time from which a machine is slow, in percent of the usual one.
const SLOW_PERCENT: u32 = 150;
/// Resend interval while a machine is slow; shorter than the lifetime of a load report.
const SLOW_RESEND_INTERVAL: Duration = Duration::from_millis(250);
/// Resend interval while a machine is not slow.
const NORMAL_RESEND_INTERVAL: Duration = Duration::from_secs(2);

/// Load of an upstream, which is identified by a digest of its name.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CompactLoad {
    /// [`name_digest`] of the upstream.
    pub digest: u32,
    /// Requests that it runs or has queued; at most 255 are encoded.
    pub inflight: u32,
    /// Its service time in percent of the usual one; encoded in steps of 10, up to 2550.
    pub work_percent: u32,
}

/// 32-bit FNV-1a digest of the name of an upstream or entry.
pub fn name_digest(name: &str) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let mut hash = OFFSET_BASIS;
    for byte in name.bytes() {
        hash = (hash ^ u32::from(byte)).wrapping_mul(PRIME);
    }
    hash
}

/// Encodes and signs loads as a datagram.
pub fn encode_load_update(key: &MessageKey, loads: &[CompactLoad]) -> Vec<u8> {
    let mut payload = Vec::with_capacity(1 + loads.len() * COMPACT_LOAD_BYTES);
    payload.push(LOAD_UPDATE_TAG);
    for load in loads {
        payload.extend_from_slice(&load.digest.to_be_bytes());
        payload.push(load.inflight.min(u32::from(u8::MAX)) as u8);
        payload.push((load.work_percent / WORK_PERCENT_STEP).min(u32::from(u8::MAX)) as u8);
    }
    key.sign(&payload)
}

/// Decodes the payload of a datagram; `None` if it is not a load update.
///
/// # Errors
///
/// Returns [`MessageError::Malformed`] if the last load is truncated.
pub fn decode_load_update(payload: &[u8]) -> Option<Result<Vec<CompactLoad>, MessageError>> {
    let (tag, rest) = payload.split_first()?;
    if *tag != LOAD_UPDATE_TAG {
        return None;
    }
    let (chunks, partial) = rest.as_chunks::<COMPACT_LOAD_BYTES>();
    if !partial.is_empty() {
        return Some(Err(MessageError::Malformed));
    }
    let mut loads = Vec::with_capacity(chunks.len());
    for [a, b, c, d, inflight, work] in chunks {
        loads.push(CompactLoad {
            digest: u32::from_be_bytes([*a, *b, *c, *d]),
            inflight: u32::from(*inflight),
            work_percent: u32::from(*work) * WORK_PERCENT_STEP,
        });
    }
    Some(Ok(loads))
}

#[derive(Clone, Copy, Debug)]
struct SentLoad {
    is_slow: bool,
    sent_at: Instant,
}

/// Selects the loads that are worth sending to another failure domain.
#[derive(Debug, Default)]
pub struct LoadChangeFilter {
    last_sent: FastMap<String, SentLoad>,
}

impl LoadChangeFilter {
    /// Returns those of `loads`, measured at `now`, that became slow or normal, or are due to be
    /// sent again, and records them as sent. Loads without a service time are skipped.
    pub fn select_changed(&mut self, loads: &[MeasuredLoad], now: Instant) -> Vec<CompactLoad> {
        let mut changed = Vec::new();
        for load in loads {
            let Some(work_percent) = load.work_percent else { continue };
            let is_slow = work_percent >= SLOW_PERCENT;
            let resend_interval =
                if is_slow { SLOW_RESEND_INTERVAL } else { NORMAL_RESEND_INTERVAL };
            let sent = self.last_sent.get(&load.instance);
            if sent
                .is_some_and(|sent| sent.is_slow == is_slow && now - sent.sent_at < resend_interval)
            {
                continue;
            }
            self.last_sent.insert(load.instance.clone(), SentLoad { is_slow, sent_at: now });
            let digest = name_digest(&load.instance);
            changed.push(CompactLoad { digest, inflight: load.inflight, work_percent });
        }
        changed
    }

    /// Removes upstreams that were last sent twice the normal resend interval ago or earlier.
    pub fn remove_stale(&mut self, now: Instant) {
        self.last_sent.retain(|_, sent| now - sent.sent_at < 2 * NORMAL_RESEND_INTERVAL);
    }
}
