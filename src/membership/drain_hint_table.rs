//! Drain marks of upstreams, as seen by any node and passed on to all.
//!
//! A node that sees an upstream's mark change reports it under its own name with a sequence
//! number. Each exchange carries the marks that changed since the last one with that peer. Of the
//! marks of several nodes about one upstream the youngest holds; ages travel, not times. A mark
//! counts for a limited time: an upstream that gets no work cannot show that it is back.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::peer::generated::peer::DrainHint;
use crate::util::FastMap;

/// Time after which a mark that nobody repeats no longer counts.
const HINT_LIFETIME: Duration = Duration::from_secs(60);

/// Bits of a position that count the changes of one incarnation.
const POSITION_BITS: u32 = 24;

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct HintKey {
    upstream: String,
    source_vm: String,
}

#[derive(Clone, Copy, Debug)]
struct HintRecord {
    is_draining: bool,
    sequence: u64,
    seen: Instant,
    /// Grows with every change on this board.
    change: u64,
}

#[derive(Debug, Default)]
struct BoardState {
    hints: FastMap<HintKey, HintRecord>,
    changes: u64,
}

/// Marks for a peer, and the position up to which they are complete.
#[derive(Clone, Debug, Default)]
pub struct DrainHintDelta {
    /// The marks.
    pub hints: Vec<DrainHint>,
    /// The position.
    pub cursor: u64,
}

/// Drain marks known to one node.
#[derive(Debug, Default)]
pub struct DrainHintTable {
    state: Mutex<BoardState>,
}

impl DrainHintTable {
    /// Creates a board of a node's `incarnation`; positions of a later one are higher.
    pub fn new(incarnation: u64) -> Self {
        let state = BoardState { changes: incarnation << POSITION_BITS, ..BoardState::default() };
        Self { state: Mutex::new(state) }
    }

    /// Records this node's own sight of an upstream; returns whether it is news.
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

    /// Takes in marks of others; returns whether any is news.
    pub fn merge(&self, hints: &[DrainHint]) -> bool {
        let now = Instant::now();
        let mut state = self.lock();
        let mut is_news = false;
        for hint in hints {
            let key =
                HintKey { upstream: hint.upstream.clone(), source_vm: hint.source_vm.clone() };
            let known = state.hints.get(&key);
            if known.is_some_and(|known| known.sequence >= hint.sequence) {
                continue;
            }
            let seen = now.checked_sub(Duration::from_millis(hint.age_ms)).unwrap_or(now);
            state.put(key, hint.is_draining, hint.sequence, seen);
            is_news = true;
        }
        is_news
    }

    /// Whether the youngest mark of any node says that the upstream is draining.
    pub fn is_draining(&self, upstream: &str) -> bool {
        let state = self.lock();
        let mut youngest: Option<HintRecord> = None;
        for (key, hint) in &state.hints {
            if key.upstream != upstream || hint.seen.elapsed() > HINT_LIFETIME {
                continue;
            }
            if youngest.is_none_or(|youngest| hint.seen > youngest.seen) {
                youngest = Some(*hint);
            }
        }
        youngest.is_some_and(|youngest| youngest.is_draining)
    }

    /// Position of the latest change.
    pub fn cursor(&self) -> u64 {
        self.lock().changes
    }

    /// The marks that changed after position `since`.
    pub fn changes_since(&self, since: u64) -> DrainHintDelta {
        let mut state = self.lock();
        state.hints.retain(|_, hint| hint.seen.elapsed() < HINT_LIFETIME * 2);
        let mut news = DrainHintDelta { hints: Vec::new(), cursor: state.changes };
        for (key, hint) in &state.hints {
            if hint.change <= since {
                continue;
            }
            news.hints.push(DrainHint {
                upstream: key.upstream.clone(),
                is_draining: hint.is_draining,
                sequence: hint.sequence,
                source_vm: key.source_vm.clone(),
                age_ms: hint.seen.elapsed().as_millis() as u64,
            });
        }
        news
    }

    fn lock(&self) -> MutexGuard<'_, BoardState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl BoardState {
    fn put(&mut self, key: HintKey, is_draining: bool, sequence: u64, seen: Instant) {
        self.changes += 1;
        let change = self.changes;
        self.hints.insert(key, HintRecord { is_draining, sequence, seen, change });
    }
}
