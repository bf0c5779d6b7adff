//! Drain hints: reports of upstreams' drain signals that the entries exchange.
//!
//! A node that sees an upstream's signal change reports it under its own name with a sequence
//! number. Each exchange carries the hints that changed since the last one with that peer. If
//! several nodes report on one upstream, the youngest hint wins; hints carry ages, not times, so
//! that clocks need not agree. A hint expires, because an upstream that receives no requests cannot
//! show that it no longer drains.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::peer::generated::peer::DrainHint;
use crate::util::FastMap;

/// Age at which a hint expires unless a newer one replaces it.
const HINT_TTL: Duration = Duration::from_secs(60);

/// Low bits of a position, which count the changes of one incarnation.
const CHANGE_COUNT_BITS: u32 = 24;

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct HintKey {
    upstream: String,
    source_vm: String,
}

#[derive(Clone, Copy, Debug)]
struct StoredHint {
    is_draining: bool,
    sequence: u64,
    seen_at: Instant,
    /// Position of the table at which the hint last changed.
    change: u64,
}

#[derive(Debug, Default)]
struct TableState {
    hints: FastMap<HintKey, StoredHint>,
    last_change: u64,
}

/// Hints for a peer, and the position up to which they are complete.
#[derive(Clone, Debug, Default)]
pub struct DrainHintDelta {
    /// The hints, in no order.
    pub hints: Vec<DrainHint>,
    /// Position in the sender's table.
    pub cursor: u64,
}

/// Drain hints known to one node.
#[derive(Debug, Default)]
pub struct DrainHintTable {
    state: Mutex<TableState>,
}

impl DrainHintTable {
    /// Creates an empty table. Positions start from the node's `incarnation`, so that those of a
    /// later incarnation are higher.
    pub fn new(incarnation: u64) -> Self {
        let state =
            TableState { last_change: incarnation << CHANGE_COUNT_BITS, ..TableState::default() };
        Self { state: Mutex::new(state) }
    }

    /// Records this node's own observation of an upstream; returns whether it changed.
    pub fn report(&self, own_vm: &str, upstream: &str, is_draining: bool) -> bool {
        let mut state = self.lock();
        let key = HintKey { upstream: upstream.to_owned(), source_vm: own_vm.to_owned() };
        let known = state.hints.get(&key).copied();
        if known.is_some_and(|known| known.is_draining == is_draining) {
            return false;
        }
        let sequence = known.map_or(1, |known| known.sequence + 1);
        state.put(key, is_draining, sequence, Instant::now());
        true
    }

    /// Merges hints of other nodes; returns whether any is newer than the known one.
    pub fn merge(&self, hints: &[DrainHint]) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        let mut is_changed = false;
        for hint in hints {
            let key =
                HintKey { upstream: hint.upstream.clone(), source_vm: hint.source_vm.clone() };
            let known = state.hints.get(&key);
            if known.is_some_and(|known| known.sequence >= hint.sequence) {
                continue;
            }
            let seen_at = now.checked_sub(Duration::from_millis(hint.age_ms)).unwrap_or(now);
            state.put(key, hint.is_draining, hint.sequence, seen_at);
            is_changed = true;
        }
        is_changed
    }

    /// Whether the youngest unexpired hint says that the upstream is draining.
    pub fn is_draining(&self, upstream: &str) -> bool {
        let state = self.lock();
        let mut youngest: Option<StoredHint> = None;
        for (key, hint) in &state.hints {
            if key.upstream != upstream || hint.seen_at.elapsed() > HINT_TTL {
                continue;
            }
            if youngest.is_none_or(|youngest| hint.seen_at > youngest.seen_at) {
                youngest = Some(*hint);
            }
        }
        youngest.is_some_and(|youngest| youngest.is_draining)
    }

    /// Position of the latest change.
    pub fn cursor(&self) -> u64 {
        self.lock().last_change
    }

    /// Returns the hints that changed after position `since`.
    pub fn changes_since(&self, since: u64) -> DrainHintDelta {
        let mut state = self.lock();
        state.hints.retain(|_, hint| hint.seen_at.elapsed() < HINT_TTL * 2);
        let mut delta = DrainHintDelta { hints: Vec::new(), cursor: state.last_change };
        for (key, hint) in &state.hints {
            if hint.change <= since {
                continue;
            }
            delta.hints.push(DrainHint {
                upstream: key.upstream.clone(),
                is_draining: hint.is_draining,
                sequence: hint.sequence,
                source_vm: key.source_vm.clone(),
                age_ms: hint.seen_at.elapsed().as_millis() as u64,
            });
        }
        delta
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl TableState {
    fn put(&mut self, key: HintKey, is_draining: bool, sequence: u64, seen_at: Instant) {
        self.last_change += 1;
        let change = self.last_change;
        self.hints.insert(key, StoredHint { is_draining, sequence, seen_at, change });
    }
}
