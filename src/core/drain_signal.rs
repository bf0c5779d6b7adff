//! The drain signal of an upstream as one node sees it, with flap damping.
//!
//! A steady signal takes effect at once. A signal that keeps changing takes effect only once it has
//! been set without a break for [`FLAP_HOLD_DOWN`]. Flapping thus does not take an upstream out of
//! service, while an upstream that really drains gets no new requests after the hold-down. A signal
//! that is not renewed expires after [`DRAIN_SIGNAL_TTL`], unless the process that gave it is known: that
//! one leaves, and another process has a signal of its own.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Time for which a flapping signal must be set without a break to take effect.
pub const FLAP_HOLD_DOWN: Duration = Duration::from_secs(3);
/// Time after which a signal that is not renewed expires.
pub const DRAIN_SIGNAL_TTL: Duration = Duration::from_secs(60);
/// Time over which changes of the signal are counted.
const FLAP_WINDOW: Duration = Duration::from_secs(30);
/// Times that the signal may be newly set within a window before it counts as flapping.
const MAX_SETS_PER_WINDOW: u32 = 2;

/// When a signal that is not renewed expires.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SignalExpiry {
    /// After [`DRAIN_SIGNAL_TTL`]: whoever gave it may have started again unnoticed.
    AfterTtl,
    /// Never: it belongs to one process.
    Never,
}

/// What a node last saw of a drain signal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DrainObservation {
    /// No response carried the signal so far.
    NeverSeen,
    /// A response without the signal came after one with it.
    Cleared,
    /// The last relevant response carried the signal.
    Set,
}

#[derive(Clone, Copy, Debug)]
struct SignalHistory {
    is_set: bool,
    /// When the signal was last set or cleared.
    changed: Instant,
    /// When the signal was last seen.
    renewed: Instant,
    /// Times that the signal was newly set since `window_started`.
    sets: u32,
    window_started: Instant,
}

/// Drain signal of one upstream.
#[derive(Debug, Default)]
pub struct DrainSignal {
    /// Copy of the history's flag; spares the lock for the many upstreams without a signal.
    is_set: AtomicBool,
    history: Mutex<Option<SignalHistory>>,
}

impl DrainSignal {
    /// Whether the signal is in effect now.
    pub fn is_active(&self) -> bool {
        self.is_active_with(SignalExpiry::AfterTtl)
    }

    /// Whether the signal is in effect now, by when it expires.
    pub fn is_active_with(&self, expiry: SignalExpiry) -> bool {
        if !self.is_set.load(Ordering::Relaxed) {
            return false;
        }
        let Some(history) = *self.lock() else { return false };
        let is_expired = history.renewed.elapsed() > DRAIN_SIGNAL_TTL;
        if is_expired && expiry == SignalExpiry::AfterTtl {
            return false;
        }
        history.sets <= MAX_SETS_PER_WINDOW || history.changed.elapsed() >= FLAP_HOLD_DOWN
    }

    /// Records a response with or without the signal, `latency` after its request was sent. A
    /// response without the signal clears it only if its request was sent after the signal was last
    /// seen.
    pub fn record(&self, is_set: bool, latency: Duration) {
        if !is_set && !self.is_set.load(Ordering::Relaxed) {
            return;
        }
        let now = Instant::now();
        let mut history = self.lock();
        let Some(known) = history.as_mut() else {
            if is_set {
                *history = Some(SignalHistory::new(now));
                self.is_set.store(true, Ordering::Relaxed);
            }
            return;
        };
        if is_set {
            known.set(now);
        } else if known.is_set && known.renewed.elapsed() >= latency {
            known.is_set = false;
            known.changed = now;
        }
        self.is_set.store(known.is_set, Ordering::Relaxed);
    }

    /// What was last seen of the signal.
    pub fn last_observation(&self) -> DrainObservation {
        let history = *self.lock();
        match history {
            None => DrainObservation::NeverSeen,
            Some(history) if history.is_set => DrainObservation::Set,
            Some(_) => DrainObservation::Cleared,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Option<SignalHistory>> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl SignalHistory {
    fn new(now: Instant) -> Self {
        Self { is_set: true, changed: now, renewed: now, sets: 1, window_started: now }
    }

    fn set(&mut self, now: Instant) {
        self.renewed = now;
        if self.is_set {
            return;
        }
        if now.duration_since(self.window_started) > FLAP_WINDOW {
            self.window_started = now;
            self.sets = 0;
        }
        self.sets += 1;
        self.is_set = true;
        self.changed = now;
    }
}
