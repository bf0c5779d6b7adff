//! The rate limit that an upstream names in its responses, and the share of it that this entry uses.
//!
//! ```text
//! responses, load probes, peers -> limit named by the upstream
//! live entries                  -> share of this entry -> token bucket -> attempts
//! ```
//!
//! An upstream names a limit for all entries together, for as long as its responses say so. The
//! bucket is empty when the limit is first seen: the requests before that count too.

use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{HeaderMap, HeaderName};
use tokio::time::Instant;

use crate::core::limit_bucket::{LimitBucket, LimitPermit, LimitShare};

/// Lowest limit that is enforced; a lower one would never be lifted for want of responses.
const MIN_PER_SECOND: f64 = 0.01;
/// Highest limit that is enforced, far above what one upstream can serve.
const MAX_PER_SECOND: f64 = 1_000_000.0;
/// Time after which a limit that is still in effect is sent to the other entries again.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// A rate limit in requests per second.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct RateLimit(f64);

impl RateLimit {
    /// A limit in requests per second, moved into the range that is enforced; `None` if it is
    /// negative or not a number.
    pub fn new(per_second: f64) -> Option<Self> {
        let is_valid = per_second >= 0.0;
        is_valid.then(|| Self(per_second.clamp(MIN_PER_SECOND, MAX_PER_SECOND)))
    }

    /// Requests per second.
    pub fn per_second(self) -> f64 {
        self.0
    }
}

/// What a response says about the rate limit of its upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum LimitStatement {
    /// The upstream names no limit.
    Unlimited,
    /// The upstream names this limit.
    Limited(RateLimit),
    /// The header is not a decimal number of requests per second.
    Invalid,
}

impl LimitStatement {
    /// Reads the statement from the headers of a response. The lowest of several limits counts.
    pub fn from_headers(headers: &HeaderMap, name: &HeaderName) -> Self {
        let mut statement = Self::Unlimited;
        for value in headers.get_all(name) {
            let number = value.to_str().ok().and_then(|text| text.trim().parse().ok());
            let Some(limit) = number.and_then(RateLimit::new) else { return Self::Invalid };
            statement = match statement {
                Self::Limited(known) if known < limit => statement,
                _ => Self::Limited(limit),
            };
        }
        statement
    }
}

/// What an entry has learned of a limit, for the other entries and the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitNews {
    /// The limit; `None` if the upstream no longer names one.
    pub limit: Option<RateLimit>,
    /// Time since the response that said so.
    pub age: Duration,
    /// Whether the limit differs from what was known before.
    pub is_changed: bool,
    /// Whether a response to this entry said so, not another entry.
    pub is_own: bool,
}

/// A limit that an upstream has named, or named before.
#[derive(Clone, Copy, Debug)]
struct LimitRecord {
    limit: Option<RateLimit>,
    /// When the upstream last named the limit, or was first seen without it.
    observed_at: Instant,
    is_own: bool,
    /// Whether a load probe has named a limit. Only then its absence from a probe says anything.
    is_named_by_probes: bool,
    is_changed: bool,
    /// When the other entries last heard of the limit.
    shared_at: Option<Instant>,
    bucket: LimitBucket,
}

impl LimitRecord {
    fn new(now: Instant) -> Self {
        Self {
            limit: None,
            observed_at: now,
            is_own: true,
            is_named_by_probes: false,
            is_changed: false,
            shared_at: None,
            bucket: LimitBucket::new(now),
        }
    }

    fn observe(&mut self, limit: Option<RateLimit>, observed_at: Instant, is_own: bool) {
        if self.limit != limit {
            self.is_changed = true;
            self.is_own = is_own;
        }
        if self.limit.is_none() {
            self.bucket.empty(Instant::now());
        }
        self.limit = limit;
        self.observed_at = self.observed_at.max(observed_at);
    }
}

/// Rate limit of one upstream.
#[derive(Debug, Default)]
pub struct NamedRateLimit {
    /// Copy of whether a limit is named; spares the lock for the many upstreams without one.
    is_limited: AtomicBool,
    /// Whether there is a record; spares the lock likewise.
    is_known: AtomicBool,
    /// Number of invalid limits that the upstream has named.
    invalid: AtomicU64,
    record: Mutex<Option<LimitRecord>>,
}

impl NamedRateLimit {
    /// The limit that the upstream names now.
    pub fn limit(&self) -> Option<RateLimit> {
        if !self.is_limited.load(Ordering::Relaxed) {
            return None;
        }
        (*self.lock())?.limit
    }

    /// Counts an invalid limit, and returns the number of them.
    pub fn count_invalid(&self) -> u64 {
        self.invalid.fetch_add(1, Ordering::Relaxed) + 1
    }

    /// Records what a response says, `latency` after its request was sent. A response without a
    /// limit lifts it only if its request was sent after the limit was last named.
    pub fn record_response(&self, statement: LimitStatement, latency: Duration) {
        let now = Instant::now();
        match statement {
            LimitStatement::Limited(limit) => self.observe(Some(limit), now, true),
            LimitStatement::Unlimited if self.is_limited.load(Ordering::Relaxed) => {
                let is_later = now.checked_sub(latency).is_none_or(|sent_at| {
                    (*self.lock()).is_some_and(|known| known.observed_at <= sent_at)
                });
                if is_later {
                    self.observe(None, now, true);
                }
            }
            LimitStatement::Unlimited | LimitStatement::Invalid => {}
        }
    }

    /// Records what the response to a load probe says. Not all upstreams name their limit there.
    pub fn record_probe(&self, statement: LimitStatement, latency: Duration) {
        match statement {
            LimitStatement::Limited(_) => {
                self.record_response(statement, latency);
                if let Some(known) = self.lock().as_mut() {
                    known.is_named_by_probes = true;
                }
            }
            LimitStatement::Unlimited => {
                if (*self.lock()).is_some_and(|known| known.is_named_by_probes) {
                    self.record_response(statement, latency);
                }
            }
            LimitStatement::Invalid => {}
        }
    }

    /// Records what another entry learned `age` ago. Older news than what is known is ignored.
    pub fn record_peer(&self, limit: Option<RateLimit>, age: Duration) {
        let now = Instant::now();
        let observed_at = now.checked_sub(age).unwrap_or(now);
        let known = *self.lock();
        if known.is_some_and(|known| known.observed_at >= observed_at) {
            return;
        }
        if known.is_some() || limit.is_some() {
            self.observe(limit, observed_at, false);
        }
        if let Some(known) = self.lock().as_mut() {
            known.shared_at = Some(now);
        }
    }

    /// Sets this entry's share of the limit.
    pub fn set_share(&self, share: LimitShare) {
        let mut record = self.lock();
        let Some(known) = record.as_mut() else { return };
        known.bucket.set_share(share, Instant::now());
    }

    /// Whether a request may be sent to the upstream now.
    pub fn may_send(&self, now: Instant) -> bool {
        if !self.is_limited.load(Ordering::Relaxed) {
            return true;
        }
        let mut record = self.lock();
        let Some(known) = record.as_mut() else { return true };
        let news_at = known.observed_at;
        known.bucket.may_send(now, news_at)
    }

    /// Counts a request against the share of this entry; false if it may not be sent now.
    pub fn try_take(&self, now: Instant) -> bool {
        if !self.is_limited.load(Ordering::Relaxed) {
            return true;
        }
        let mut record = self.lock();
        let Some(known) = record.as_mut() else { return true };
        let news_at = known.observed_at;
        match known.bucket.take(now, news_at) {
            LimitPermit::Share => true,
            LimitPermit::Trial => {
                // The next trial is due a whole delay after this one.
                known.observed_at = now;
                true
            }
            LimitPermit::None => false,
        }
    }

    /// Time until this entry may send the upstream a request or, if it has no share, until one of the
    /// others may.
    pub fn opens_in(&self, now: Instant) -> Duration {
        if self.may_send(now) {
            return Duration::ZERO;
        }
        let Some(LimitRecord { limit: Some(limit), bucket, .. }) = *self.lock() else {
            return Duration::ZERO;
        };
        let interval = Duration::from_secs_f64(1.0 / limit.per_second());
        bucket.next_token_in().unwrap_or(interval)
    }

    /// What is to be logged or sent to the other entries now; each change once, and a limit that
    /// stays in effect at intervals.
    pub fn take_news(&self, now: Instant) -> Option<LimitNews> {
        if !self.is_known.load(Ordering::Relaxed) {
            return None;
        }
        let mut record = self.lock();
        let known = record.as_mut()?;
        let is_renewed = known.limit.is_some()
            && known.shared_at.is_none_or(|at| {
                now.saturating_duration_since(at) >= RENEWAL_INTERVAL && known.observed_at > at
            });
        if !known.is_changed && !is_renewed {
            return None;
        }
        let age = now.saturating_duration_since(known.observed_at);
        let news = LimitNews {
            limit: known.limit,
            age,
            is_changed: known.is_changed,
            is_own: known.is_own || !known.is_changed,
        };
        known.is_changed = false;
        known.shared_at = Some(now);
        Some(news)
    }

    fn observe(&self, limit: Option<RateLimit>, observed_at: Instant, is_own: bool) {
        let mut record = self.lock();
        let known = record.get_or_insert_with(|| LimitRecord::new(observed_at));
        known.observe(limit, observed_at, is_own);
        self.is_limited.store(limit.is_some(), Ordering::Relaxed);
        self.is_known.store(true, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, Option<LimitRecord>> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
