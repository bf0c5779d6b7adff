//! News of load for the other failure domains, in as few bytes as will do.
//!
//! Bytes between failure domains are paid for, so only what changes a choice crosses: a machine
//! that turned slow or fast again, and now and then one that still is slow. One entry of a domain
//! sends them to one entry of each other domain, which passes them on.

use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::peer_message::{MeasuredLoad, MessageError, MessageKey};
use crate::util::FastMap;

/// First byte of a flash; a message begins with a brace.
const FLASH_MARK: u8 = 1;
/// Bytes of one load.
const LOAD_BYTES: usize = 6;
/// Percent that one unit of the work byte stands for.
const PERCENT_UNIT: u32 = 10;
/// Work percentage from which a machine counts as slow.
const SLOW_PERCENT: u32 = 150;
/// Time after which a machine that still is slow is told again: within the life of a report.
const SLOW_RENEWAL: Duration = Duration::from_millis(250);
/// Time after which one that is not is told again.
const USUAL_RENEWAL: Duration = Duration::from_secs(2);

/// Load of an upstream that is named by a digest.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CompactLoad {
    /// Digest of its name.
    pub digest: u32,
    /// Requests running and waiting.
    pub inflight: u32,
    /// Time that work takes, in percent of the usual one.
    pub work_percent: u32,
}

/// Digest that names an upstream.
pub fn name_digest(name: &str) -> u32 {
    const OFFSET_BASIS: u32 = 0x811c_9dc5;
    const PRIME: u32 = 0x0100_0193;
    let mut hash = OFFSET_BASIS;
    for byte in name.bytes() {
        hash = (hash ^ u32::from(byte)).wrapping_mul(PRIME);
    }
    hash
}

/// Writes loads as a sealed datagram.
pub fn encode_load_update(key: &MessageKey, loads: &[CompactLoad]) -> Vec<u8> {
    let mut payload = Vec::with_capacity(1 + loads.len() * LOAD_BYTES);
    payload.push(FLASH_MARK);
    for load in loads {
        payload.extend_from_slice(&load.digest.to_be_bytes());
        payload.push(load.inflight.min(u32::from(u8::MAX)) as u8);
        payload.push((load.work_percent / PERCENT_UNIT).min(u32::from(u8::MAX)) as u8);
    }
    key.sign(&payload)
}

/// Reads the payload of a datagram; none if it is no flash.
///
/// # Errors
///
/// Returns an error if the flash is cut.
pub fn decode_load_update(payload: &[u8]) -> Option<Result<Vec<CompactLoad>, MessageError>> {
    let (mark, rest) = payload.split_first()?;
    if *mark != FLASH_MARK {
        return None;
    }
    let (chunks, cut) = rest.as_chunks::<LOAD_BYTES>();
    if !cut.is_empty() {
        return Some(Err(MessageError::Malformed));
    }
    let mut loads = Vec::with_capacity(chunks.len());
    for [a, b, c, d, inflight, work] in chunks {
        loads.push(CompactLoad {
            digest: u32::from_be_bytes([*a, *b, *c, *d]),
            inflight: u32::from(*inflight),
            work_percent: u32::from(*work) * PERCENT_UNIT,
        });
    }
    Some(Ok(loads))
}

#[derive(Clone, Copy, Debug)]
struct ToldLoad {
    is_slow: bool,
    at: Instant,
}

/// Decides which loads are news.
#[derive(Debug, Default)]
pub struct LoadChangeFilter {
    told: FastMap<String, ToldLoad>,
}

impl LoadChangeFilter {
    /// The news among `loads`, which were measured at `now`.
    pub fn select_changed(&mut self, loads: &[MeasuredLoad], now: Instant) -> Vec<CompactLoad> {
        let mut news = Vec::new();
        for load in loads {
            let Some(work_percent) = load.work_percent else { continue };
            let is_slow = work_percent >= SLOW_PERCENT;
            let renewal = if is_slow { SLOW_RENEWAL } else { USUAL_RENEWAL };
            let told = self.told.get(&load.instance);
            if told.is_some_and(|told| told.is_slow == is_slow && now - told.at < renewal) {
                continue;
            }
            self.told.insert(load.instance.clone(), ToldLoad { is_slow, at: now });
            let digest = name_digest(&load.instance);
            news.push(CompactLoad { digest, inflight: load.inflight, work_percent });
        }
        news
    }

    /// Forgets upstreams that were not told of for a while.
    pub fn remove_stale(&mut self, now: Instant) {
        self.told.retain(|_, told| now - told.at < 2 * USUAL_RENEWAL);
    }
}
