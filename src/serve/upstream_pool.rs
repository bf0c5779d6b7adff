//! Pool of the connections to one upstream, generic over the connection and without I/O.
//!
//! A complete exchange (request and response) verifies a connection. Open connections can become
//! unresponsive without being closed, usually all that are open at that moment. So when one turns
//! out to be unresponsive, all idle connections that have not been verified since its request was
//! sent are closed together.
//!
//! An upstream may send a response once more where the next one is expected. A request that it has refused
//! is therefore not sent again on the same connection: there, the copy of the refusal would look like
//! the response to the second send, and has the same id.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::util::fnv1a;

/// Weight of the latest exchange in the moving average of exchange times.
const EXCHANGE_TIME_WEIGHT: f64 = 0.1;
/// A connection counts as unresponsive after this multiple of the average exchange time.
const UNRESPONSIVE_FACTOR: f64 = 10.0;
/// Refused requests that a connection remembers; with more it is closed. Each takes eight bytes.
const MAX_REFUSED_REQUESTS: usize = 256;
/// Number of steps over which the expiry of connections opened together is spread.
const EXPIRY_STEPS: u32 = 16;

/// Settings of the connections to one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamPoolSettings {
    /// Most idle connections.
    pub max_idle_connections: usize,
    /// Idle time after which a connection is closed.
    pub idle_timeout: Duration,
    /// Age from which a connection is closed as soon as it is idle; up to a quarter less, so that
    /// connections opened together do not expire together.
    pub max_age: Duration,
    /// Shortest time without a byte of the response after which a connection may count as
    /// unresponsive.
    pub min_unresponsive_time: Duration,
    /// Time after a complete exchange during which a connection counts as verified: a few round
    /// trips.
    pub verified_window: Duration,
}

impl Default for UpstreamPoolSettings {
    fn default() -> Self {
        Self {
            max_idle_connections: 12,
            idle_timeout: Duration::from_secs(30),
            max_age: Duration::from_secs(300),
            min_unresponsive_time: Duration::from_millis(50),
            verified_window: Duration::from_millis(10),
        }
    }
}

/// A connection that can be pooled.
pub trait Poolable {
    /// Whether the connection can carry another request; false once the peer has closed it.
    fn is_open(&self) -> bool;
}

/// Identifies a request over all times that it is sent, by a digest of its id.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestDigest(u64);

impl RequestDigest {
    /// Digest of a request id (FNV-1a). That two requests share it costs a connection at most.
    pub fn of(id: &[u8]) -> Self {
        Self(fnv1a(id.iter().copied()))
    }
}

/// Permit for one open connection; returned when dropped.
#[derive(Debug)]
pub struct ConnectionPermit {
    open: Arc<AtomicU32>,
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::SeqCst);
    }
}

/// A connection with its state in the pool; dropping it closes the connection.
#[derive(Debug)]
pub struct PooledConnection<T> {
    /// The connection.
    pub connection: T,
    /// When its last complete exchange ended; none before the first.
    verified_at: Option<Instant>,
    /// When its current or last exchange began.
    checked_out_at: Instant,
    expires: Instant,
    /// Requests that the upstream has refused on this connection.
    refused: Vec<RequestDigest>,
    _permit: ConnectionPermit,
}

impl<T> PooledConnection<T> {
    /// Records that the upstream has refused a request on this connection, which must not be sent on it
    /// again.
    pub fn record_refusal(&mut self, request: RequestDigest) {
        self.refused.push(request);
    }

    /// Whether the upstream has refused `request` on this connection.
    pub fn has_refused(&self, request: RequestDigest) -> bool {
        self.refused.contains(&request)
    }

    /// Whether `request` may be sent on this connection.
    fn may_carry(&self, request: Option<RequestDigest>) -> bool {
        request.is_none_or(|request| !self.has_refused(request))
    }

    /// Whether the connection has completed an exchange.
    pub fn is_reused(&self) -> bool {
        self.verified_at.is_some()
    }
}

/// Pool of the connections to one upstream.
#[derive(Debug)]
pub struct UpstreamPool<T> {
    settings: UpstreamPoolSettings,
    open: Arc<AtomicU32>,
    opened_total: AtomicU32,
    max_connections: AtomicU32,
    state: Mutex<PoolState<T>>,
}

#[derive(Debug)]
struct PoolState<T> {
    /// Idle connections, the most recently used last.
    idle: Vec<PooledConnection<T>>,
    mean_exchange_secs: f64,
}

impl<T: Poolable> UpstreamPool<T> {
    /// Creates an empty pool.
    pub fn new(settings: UpstreamPoolSettings) -> Self {
        Self {
            settings,
            open: Arc::default(),
            opened_total: AtomicU32::new(0),
            max_connections: AtomicU32::new(u32::MAX),
            state: Mutex::new(PoolState { idle: Vec::new(), mean_exchange_secs: 0.0 }),
        }
    }

    /// Number of connections that are open or being opened.
    pub fn open_connections(&self) -> u32 {
        self.open.load(Ordering::SeqCst)
    }

    /// Connections that the upstream accepts from all entries together, as last set; unlimited
    /// before.
    pub fn max_connections(&self) -> u32 {
        self.max_connections.load(Ordering::Relaxed)
    }

    /// Sets the number of connections that the upstream accepts from all entries together.
    pub fn set_max_connections(&self, max_connections: u32) {
        self.max_connections.store(max_connections, Ordering::Relaxed);
    }

    /// Number of idle connections.
    pub fn idle_connections(&self) -> usize {
        self.lock().idle.len()
    }

    /// Checks out the most recently used idle connection that is open, has not expired and may carry
    /// `request`, if it has an id.
    pub fn checkout(&self, request: Option<RequestDigest>) -> Option<PooledConnection<T>> {
        let now = Instant::now();
        let mut state = self.lock();
        let is_usable = |pooled: &PooledConnection<T>| {
            pooled.connection.is_open() && self.is_unexpired(pooled, now)
        };
        let closing: Vec<_> = state.idle.extract_if(.., |pooled| !is_usable(pooled)).collect();
        let position = state.idle.iter().rposition(|pooled| pooled.may_carry(request));
        let mut usable = position.map(|position| state.idle.remove(position));
        drop(state);
        drop(closing);
        if let Some(pooled) = &mut usable {
            pooled.checked_out_at = now;
        }
        usable
    }

    /// Checks out the most recently used idle connection that may carry `request`, if it completed an
    /// exchange within the verified window.
    pub fn checkout_verified(&self, request: Option<RequestDigest>) -> Option<PooledConnection<T>> {
        let now = Instant::now();
        let mut state = self.lock();
        let position = state.idle.iter().rposition(|pooled| pooled.may_carry(request))?;
        let latest = &state.idle[position];
        let is_verified =
            latest.verified_at.is_some_and(|at| now - at <= self.settings.verified_window);
        if !is_verified || !latest.connection.is_open() {
            return None;
        }
        let mut pooled = state.idle.remove(position);
        pooled.checked_out_at = now;
        Some(pooled)
    }

    /// Acquires a permit to open a connection if fewer than `share` are open. Otherwise closes the
    /// least recently used idle connection and tries once more.
    pub fn reserve(&self, share: u32) -> Option<ConnectionPermit> {
        if let Some(permit) = self.try_reserve(share) {
            return Some(permit);
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

    /// Registers a new connection, checked out for its first exchange.
    pub fn register(&self, connection: T, permit: ConnectionPermit) -> PooledConnection<T> {
        let now = Instant::now();
        let step = self.opened_total.fetch_add(1, Ordering::Relaxed) % EXPIRY_STEPS;
        let jitter = self.settings.max_age / 4 / EXPIRY_STEPS * step;
        let expires = now + self.settings.max_age - jitter;
        PooledConnection {
            connection,
            verified_at: None,
            checked_out_at: now,
            expires,
            refused: Vec::new(),
            _permit: permit,
        }
    }

    /// Releases a connection to the pool after a complete exchange.
    ///
    /// The connection is closed instead if more than `share` are open, if it has expired, if it has
    /// refused too many requests to remember, or if enough connections are idle.
    pub fn release(&self, mut pooled: PooledConnection<T>, share: u32) {
        let now = Instant::now();
        pooled.verified_at = Some(now);
        let latest = now.duration_since(pooled.checked_out_at).as_secs_f64();
        let is_wanted = self.open_connections() <= share
            && now < pooled.expires
            && pooled.refused.len() < MAX_REFUSED_REQUESTS;
        let mut state = self.lock();
        state.mean_exchange_secs = match state.mean_exchange_secs {
            0.0 => latest,
            mean => mean + (latest - mean) * EXCHANGE_TIME_WEIGHT,
        };
        if is_wanted && state.idle.len() < self.settings.max_idle_connections {
            state.idle.push(pooled);
            return;
        }
        // Closing a connection must not happen while the lock is held.
        drop(state);
        drop(pooled);
    }

    /// Closes a connection whose exchange was cancelled before the first byte of the response.
    ///
    /// If the connection was reused and the exchange lasted long enough for it to count as
    /// unresponsive, also closes the idle connections that have not been verified since its request
    /// was sent, and returns their number.
    pub fn abandon(&self, pooled: PooledConnection<T>) -> usize {
        let checked_out_at = pooled.checked_out_at;
        let is_reused = pooled.is_reused();
        drop(pooled);
        let mut state = self.lock();
        let unresponsive_time =
            Duration::from_secs_f64(state.mean_exchange_secs * UNRESPONSIVE_FACTOR);
        if !is_reused
            || checked_out_at.elapsed() < unresponsive_time.max(self.settings.min_unresponsive_time)
        {
            return 0;
        }
        let unverified: Vec<_> = state
            .idle
            .extract_if(.., |idle| idle.verified_at.is_none_or(|at| at < checked_out_at))
            .collect();
        drop(state);
        unverified.len()
    }

    /// Closes idle connections that have expired, that the upstream has closed, or that exceed
    /// `share`.
    pub fn trim(&self, share: u32) {
        let now = Instant::now();
        let mut state = self.lock();
        let mut closing: Vec<_> = state
            .idle
            .extract_if(.., |pooled| {
                !pooled.connection.is_open() || !self.is_unexpired(pooled, now)
            })
            .collect();
        let open = self.open_connections().saturating_sub(closing.len() as u32);
        let excess = (open.saturating_sub(share) as usize).min(state.idle.len());
        closing.extend(state.idle.drain(..excess));
        drop(state);
    }

    fn is_unexpired(&self, pooled: &PooledConnection<T>, now: Instant) -> bool {
        let since = pooled.verified_at.unwrap_or(pooled.checked_out_at);
        now < pooled.expires && now.duration_since(since) < self.settings.idle_timeout
    }

    fn lock(&self) -> MutexGuard<'_, PoolState<T>> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
