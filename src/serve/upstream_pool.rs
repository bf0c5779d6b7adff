//! Connections to one upstream: which are idle, how many there are, which are in doubt.
//!
//! Decides without I/O and without knowing what a connection is. A connection is proven by the
//! whole exchanges that it carried. Open connections can go silent for good, usually all that were
//! open at some moment; so when one proves silent, those that have not been proven since its last
//! request went out are closed together.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Weight of the latest exchange in the mean.
const MEAN_WEIGHT: f64 = 0.1;
/// Silence counts from this multiple of the mean time of an exchange.
const SILENCE_FACTOR: f64 = 10.0;
/// Steps over which the ends of connections of the same age are spread.
const AGE_STEPS: u32 = 16;

/// Limits of the connections to one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamPoolSettings {
    /// Idle connections kept.
    pub max_idle_connections: usize,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Duration,
    /// Age after which a connection is closed when it next falls idle; up to a quarter earlier,
    /// so that connections opened together do not end together.
    pub max_age: Duration,
    /// Shortest time without a byte that counts as silence.
    pub min_unresponsive_time: Duration,
    /// Time after a whole exchange for which a connection counts as proven alive; some round trips.
    pub liveness_window: Duration,
}

impl Default for UpstreamPoolSettings {
    fn default() -> Self {
        Self {
            max_idle_connections: 12,
            idle_timeout: Duration::from_secs(30),
            max_age: Duration::from_secs(300),
            min_unresponsive_time: Duration::from_millis(50),
            liveness_window: Duration::from_millis(10),
        }
    }
}

/// A connection that may have been closed by its other end.
pub trait Poolable {
    /// Whether it can take a request.
    fn is_open(&self) -> bool;
}

/// The right to one connection; given back when dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    open: Arc<AtomicU32>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A connection in use; dropping it closes it.
#[derive(Debug)]
pub struct PooledConnection<T> {
    /// The connection.
    pub connection: T,
    /// When its last whole exchange ended, if it has carried one.
    proven: Option<Instant>,
    /// When its present exchange began.
    began: Instant,
    expires: Instant,
    _place: ConnectionPermit,
}

impl<T> PooledConnection<T> {
    /// Whether it carried an exchange before.
    pub fn is_reused(&self) -> bool {
        self.proven.is_some()
    }
}

/// Connections to one upstream.
#[derive(Debug)]
pub struct UpstreamPool<T> {
    settings: UpstreamPoolSettings,
    open: Arc<AtomicU32>,
    opened: AtomicU32,
    max_connections: AtomicU32,
    state: Mutex<HostState<T>>,
}

#[derive(Debug)]
struct HostState<T> {
    /// Most recently used last.
    idle: Vec<PooledConnection<T>>,
    mean_secs: f64,
}

impl<T: Poolable> UpstreamPool<T> {
    /// Creates an empty pool.
    pub fn new(settings: UpstreamPoolSettings) -> Self {
        Self {
            settings,
            open: Arc::default(),
            opened: AtomicU32::new(0),
            max_connections: AtomicU32::new(u32::MAX),
            state: Mutex::new(HostState { idle: Vec::new(), mean_secs: 0.0 }),
        }
    }

    /// Connections that are open or being opened.
    pub fn open_connections(&self) -> u32 {
        self.open.load(Ordering::SeqCst)
    }

    /// Connections that the upstream accepts from all entries, as last set.
    pub fn max_connections(&self) -> u32 {
        self.max_connections.load(Ordering::Relaxed)
    }

    /// Records what the configuration says that the upstream accepts.
    pub fn set_max_connections(&self, max_connections: u32) {
        self.max_connections.store(max_connections, Ordering::Relaxed);
    }

    /// Connections that are idle.
    pub fn idle_connections(&self) -> usize {
        self.lock().idle.len()
    }

    /// Takes the most recently used idle connection.
    pub fn checkout(&self) -> Option<PooledConnection<T>> {
        let now = Instant::now();
        let mut closing = Vec::new();
        let mut state = self.lock();
        let mut found = None;
        while let Some(mut held) = state.idle.pop() {
            if held.connection.is_open() && self.is_fresh(&held, now) {
                held.began = now;
                found = Some(held);
                break;
            }
            closing.push(held);
        }
        drop(state);
        found
    }

    /// Takes the most recently used idle connection if it has just carried a whole exchange.
    pub fn checkout_verified(&self) -> Option<PooledConnection<T>> {
        let now = Instant::now();
        let mut state = self.lock();
        let latest = state.idle.last()?;
        let is_proven = latest.proven.is_some_and(|at| now - at <= self.settings.liveness_window);
        if !is_proven || !latest.connection.is_open() {
            return None;
        }
        let mut held = state.idle.pop()?;
        held.began = now;
        Some(held)
    }

    /// Takes the right to open a connection, if fewer than `share` are open.
    ///
    /// An idle connection is closed for it if need be.
    pub fn reserve(&self, share: u32) -> Option<ConnectionPermit> {
        if let Some(place) = self.try_reserve(share) {
            return Some(place);
        }
        let mut state = self.lock();
        let oldest = (!state.idle.is_empty()).then(|| state.idle.remove(0));
        drop(state);
        drop(oldest?);
        self.try_reserve(share)
    }

    fn try_reserve(&self, share: u32) -> Option<ConnectionPermit> {
        let update = |open: u32| (open < share).then_some(open + 1);
        self.open.fetch_update(Ordering::SeqCst, Ordering::SeqCst, update).ok()?;
        Some(ConnectionPermit { open: Arc::clone(&self.open) })
    }

    /// Takes in a connection that has just been opened.
    pub fn register(&self, connection: T, place: ConnectionPermit) -> PooledConnection<T> {
        let now = Instant::now();
        let step = self.opened.fetch_add(1, Ordering::Relaxed) % AGE_STEPS;
        let early = self.settings.max_age / 4 / AGE_STEPS * step;
        let expires = now + self.settings.max_age - early;
        PooledConnection { connection, proven: None, began: now, expires, _place: place }
    }

    /// Takes a connection back after a whole exchange.
    ///
    /// It is closed if there are more than `share`, if it is old, or if enough are idle.
    pub fn release(&self, mut held: PooledConnection<T>, share: u32) {
        let now = Instant::now();
        held.proven = Some(now);
        let latest = now.duration_since(held.began).as_secs_f64();
        let is_wanted = self.open_connections() <= share && now < held.expires;
        let mut state = self.lock();
        state.mean_secs = match state.mean_secs {
            0.0 => latest,
            mean => mean + (latest - mean) * MEAN_WEIGHT,
        };
        if is_wanted && state.idle.len() < self.settings.max_idle_connections {
            state.idle.push(held);
            return;
        }
        // A connection is never closed under the lock.
        drop(state);
        drop(held);
    }

    /// Gives up a connection whose exchange has not brought a byte.
    ///
    /// If that has lasted long enough to count as silence, and the connection had worked before,
    /// closes the idle connections that have not been proven since its request went out, and
    /// returns how many.
    pub fn abandon(&self, held: PooledConnection<T>) -> usize {
        let began = held.began;
        let is_reused = held.is_reused();
        drop(held);
        let mut state = self.lock();
        let silence = Duration::from_secs_f64(state.mean_secs * SILENCE_FACTOR);
        if !is_reused || began.elapsed() < silence.max(self.settings.min_unresponsive_time) {
            return 0;
        }
        let doubtful: Vec<_> =
            state.idle.extract_if(.., |idle| idle.proven.is_none_or(|at| at < began)).collect();
        drop(state);
        doubtful.len()
    }

    /// Closes idle connections that are old, closed by the other end, or more than `share`.
    pub fn trim(&self, share: u32) {
        let now = Instant::now();
        let mut state = self.lock();
        let mut closing: Vec<_> = state
            .idle
            .extract_if(.., |held| !held.connection.is_open() || !self.is_fresh(held, now))
            .collect();
        let open = self.open_connections().saturating_sub(closing.len() as u32);
        let excess = (open.saturating_sub(share) as usize).min(state.idle.len());
        closing.extend(state.idle.drain(..excess));
        drop(state);
    }

    fn is_fresh(&self, held: &PooledConnection<T>, now: Instant) -> bool {
        let since = held.proven.unwrap_or(held.began);
        now < held.expires && now.duration_since(since) < self.settings.idle_timeout
    }

    fn lock(&self) -> MutexGuard<'_, HostState<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
