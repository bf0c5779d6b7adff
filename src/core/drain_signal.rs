//! An upstream's drain mark, with protection against flapping.
//!
//! A steady mark counts at once. A mark that keeps changing counts only once it has been steady
//! for [`FLAP_HOLD`]: until then it cannot take the upstream out of its service, and after it an
//! upstream that really leaves gets no new work. A mark that nothing renews ends after
//! [`MARK_LIFETIME`].

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time for which a flapping mark must be steady to count.
pub const FLAP_HOLD_DOWN: Duration = Duration::from_secs(3);
/// Time after which a mark that nothing renews ends.
pub const DRAIN_SIGNAL_TTL: Duration = Duration::from_secs(60);
/// Time over which changes are counted.
const FLAP_WINDOW: Duration = Duration::from_secs(30);
/// Times that a mark may be set within the window before it counts as flapping.
const MAX_SETTINGS: u32 = 2;

/// What a node has seen of a mark.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainObservation {
    /// Never seen.
    NeverSeen,
    /// Seen, and later seen to be gone.
    Cleared,
    /// Seen and not seen to be gone.
    Set,
}

#[derive(Clone, Copy, Debug)]
struct MarkHistory {
    is_marked: bool,
    /// When the mark was last set or cleared.
    changed: Instant,
    /// When the mark was last seen.
    renewed: Instant,
    /// Times that the mark was set since `window`.
    settings: u32,
    window: Instant,
}

/// A drain mark.
#[derive(Debug, Default)]
pub struct DrainSignal {
    /// Lets the many upstreams without a mark be read without a lock.
    is_marked: AtomicBool,
    history: Mutex<Option<MarkHistory>>,
}

impl DrainSignal {
    /// Whether the mark counts at present.
    pub fn is_active(&self) -> bool {
        if !self.is_marked.load(Ordering::Relaxed) {
            return false;
        }
        let Some(history) = *self.lock() else { return false };
        if history.renewed.elapsed() > DRAIN_SIGNAL_TTL {
            return false;
        }
        history.settings <= MAX_SETTINGS || history.changed.elapsed() >= FLAP_HOLD_DOWN
    }

    /// Takes in an answer with or without the mark, `latency` after its request was sent. An
    /// answer without it clears the mark only if its request was sent after the mark was seen.
    pub fn record(&self, is_marked: bool, latency: Duration) {
        if !is_marked && !self.is_marked.load(Ordering::Relaxed) {
            return;
        }
        let now = Instant::now();
        let mut history = self.lock();
        let Some(known) = history.as_mut() else {
            if is_marked {
                *history = Some(MarkHistory::new(now));
                self.is_marked.store(true, Ordering::Relaxed);
            }
            return;
        };
        if is_marked {
            known.set(now);
        } else if known.is_marked && known.renewed.elapsed() >= latency {
            known.is_marked = false;
            known.changed = now;
        }
        self.is_marked.store(known.is_marked, Ordering::Relaxed);
    }

    /// What was seen last.
    pub fn last_observation(&self) -> DrainObservation {
        let history = *self.lock();
        match history {
            None => DrainObservation::NeverSeen,
            Some(history) if history.is_marked => DrainObservation::Set,
            Some(_) => DrainObservation::Cleared,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<MarkHistory>> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl MarkHistory {
    fn new(now: Instant) -> Self {
        Self { is_marked: true, changed: now, renewed: now, settings: 1, window: now }
    }

    fn set(&mut self, now: Instant) {
        self.renewed = now;
        if self.is_marked {
            return;
        }
        if now.duration_since(self.window) > FLAP_WINDOW {
            self.window = now;
            self.settings = 0;
        }
        self.settings += 1;
        self.is_marked = true;
        self.changed = now;
    }
}
