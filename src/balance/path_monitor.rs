//! Whether this entry has a path to the upstreams.
//!
//! An upstream that does not respond has crashed, is ill, or cannot be reached from here; an attempt
//! cannot tell which. If the entry has lost its path, no other upstream responds either:
//!
//! ```text
//! some upstreams unreached, none reached since -> suspicion -> check of several others
//!     one responds -> open: the fault is with the upstreams
//!     none does    -> cut, until a later check reaches half of those that it asks
//! ```
//!
//! Connections are counted apart, because those that are open may live on while no new one can be
//! opened.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};

use tokio::sync::Notify;
use tokio::time::Instant;

/// Number of different upstreams that must fail, with no success in between, to start a check.
const SUSPECT_UPSTREAMS: usize = 2;
/// Number of failures in a row that start a check even if all concern one upstream; it may be the only
/// one.
const SUSPECT_FAILURES: u32 = 4;

/// What was tried.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathTrial {
    /// Opening a connection.
    Connection,
    /// An exchange, on a new connection or an open one.
    Exchange,
}

/// Whether the upstream was reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathResult {
    /// It responded, or accepted the connection.
    Reached,
    /// It did neither.
    Unreached,
}

/// What a check of several upstreams has shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathVerdict {
    /// Enough of them responded.
    Open,
    /// Those that did not respond accepted no connection.
    NoConnection,
    /// Too few of them responded, though some others accepted connections.
    NoResponse,
}

/// Change of the state by a verdict.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PathChange {
    /// None.
    Unchanged,
    /// The path has been lost; `since` is when the first upstream was not reached.
    Cut {
        /// First failure.
        since: Instant,
    },
    /// The path is back after it was lost; `since` is when it was lost.
    Restored {
        /// First failure of the cut.
        since: Instant,
    },
}

/// Upstreams that have not been reached since one was.
#[derive(Debug, Default)]
struct FailedTrials {
    addresses: Vec<SocketAddr>,
    failures: u32,
}

impl FailedTrials {
    fn record(&mut self, address: SocketAddr) {
        self.failures = self.failures.saturating_add(1);
        if self.addresses.len() < SUSPECT_UPSTREAMS && !self.addresses.contains(&address) {
            self.addresses.push(address);
        }
    }

    fn is_suspect(&self) -> bool {
        self.addresses.len() >= SUSPECT_UPSTREAMS || self.failures >= SUSPECT_FAILURES
    }

    fn clear(&mut self) {
        self.addresses.clear();
        self.failures = 0;
    }
}

#[derive(Debug, Default)]
struct PathState {
    connections: FailedTrials,
    exchanges: FailedTrials,
    /// Checks in a row that have got no response.
    silent_checks: u32,
    /// First failure of those above; of the cut while there is one.
    first_failure_at: Option<Instant>,
    last_exchange_at: Option<Instant>,
}

/// Tracks whether this entry has a path to the upstreams.
#[derive(Debug, Default)]
pub struct PathMonitor {
    is_cut: AtomicBool,
    /// Whether the last check opened connections.
    accepts_connections: AtomicBool,
    /// Whether there are failures; spares the lock for every success.
    has_failures: AtomicBool,
    state: Mutex<PathState>,
    suspicion: Notify,
}

impl PathMonitor {
    /// Whether the entry has no path to the upstreams.
    pub fn is_cut(&self) -> bool {
        self.is_cut.load(Ordering::Relaxed)
    }

    /// Whether upstreams accepted connections when they were last checked, though they did not respond.
    /// They may be slow, so a request that no peer takes is worth sending from here.
    pub fn accepts_connections(&self) -> bool {
        self.accepts_connections.load(Ordering::Relaxed)
    }

    /// Records what became of a trial at an upstream.
    pub fn record(&self, address: SocketAddr, trial: PathTrial, result: PathResult) {
        if result == PathResult::Reached && !self.has_failures.load(Ordering::Relaxed) {
            return;
        }
        let now = Instant::now();
        let mut state = self.lock();
        if result == PathResult::Reached {
            state.record_reached(trial, now);
            if !self.is_cut() && state.is_clear() {
                state.first_failure_at = None;
                self.has_failures.store(false, Ordering::Relaxed);
            }
            return;
        }
        state.first_failure_at.get_or_insert(now);
        self.has_failures.store(true, Ordering::Relaxed);
        let trials = state.trials(trial);
        trials.record(address);
        if trials.is_suspect() && !self.is_cut() {
            self.suspicion.notify_one();
        }
    }

    /// Waits until the path is suspected to be cut.
    pub async fn suspected(&self) {
        self.suspicion.notified().await;
    }

    /// Applies the verdict of a check that began at `began`.
    ///
    /// Upstreams that were reached on open connections meanwhile outweigh missing responses, but not
    /// that no connection can be opened. Missing responses make a cut only with the second check in a
    /// row: a process that stands still for a moment misses them too.
    pub fn conclude(&self, verdict: PathVerdict, began: Instant) -> PathChange {
        let mut state = self.lock();
        let is_reached_since = state.last_exchange_at.is_some_and(|at| at >= began);
        let is_open = match verdict {
            PathVerdict::Open => true,
            PathVerdict::NoConnection => false,
            PathVerdict::NoResponse => is_reached_since,
        };
        let accepts_connections = verdict != PathVerdict::NoConnection;
        self.accepts_connections.store(accepts_connections, Ordering::Relaxed);
        state.silent_checks = match verdict {
            PathVerdict::NoResponse if !is_open => state.silent_checks + 1,
            _ => 0,
        };
        if state.silent_checks == 1 && !self.is_cut() {
            self.suspicion.notify_one();
            return PathChange::Unchanged;
        }
        let was_cut = self.is_cut.swap(!is_open, Ordering::Relaxed);
        let since = state.first_failure_at.unwrap_or(began);
        if is_open {
            state.connections.clear();
            state.exchanges.clear();
            state.first_failure_at = None;
            self.has_failures.store(false, Ordering::Relaxed);
        }
        match (was_cut, is_open) {
            (false, false) => PathChange::Cut { since },
            (true, true) => PathChange::Restored { since },
            _ => PathChange::Unchanged,
        }
    }

    fn lock(&self) -> MutexGuard<'_, PathState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PathState {
    fn trials(&mut self, trial: PathTrial) -> &mut FailedTrials {
        match trial {
            PathTrial::Connection => &mut self.connections,
            PathTrial::Exchange => &mut self.exchanges,
        }
    }

    fn record_reached(&mut self, trial: PathTrial, now: Instant) {
        self.trials(trial).clear();
        if trial == PathTrial::Exchange {
            self.last_exchange_at = Some(now);
        }
    }

    fn is_clear(&self) -> bool {
        self.connections.failures == 0 && self.exchanges.failures == 0
    }
}
