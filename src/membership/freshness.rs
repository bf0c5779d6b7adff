//! Freshness of this node's configuration.

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Default age of the last confirmation up to which the configuration counts as the newest.
///
/// A change is guaranteed to be in force on every node within 5 s, so a node without a
/// confirmation restricts itself before that time is over.
pub const MAX_CONFIRMED_AGE: Duration = Duration::from_secs(4);

/// Times of the last confirmations that no newer generation exists.
///
/// Without a fresh confirmation a node still serves idempotent requests, but without hedges and
/// without retries after unknown outcomes, and refuses keyed at-most-once requests as not run.
///
/// A confirmation has two times. Its arrival tells that the node is in touch with the platform, and
/// schedules the next read. What it proves is older: no newer generation existed when the read that
/// it rests on began. Only that time permits a repeat.
#[derive(Debug)]
pub struct ConfigFreshness {
    base: Instant,
    max_age: Duration,
    /// Time of the last confirmation in microseconds after `base`; negative if a confirmation was
    /// already older than `base` on arrival.
    confirmed_us: AtomicI64,
    /// Start of the latest read that found no newer generation, in microseconds after `base`.
    read_us: AtomicI64,
    /// Until when reads prove nothing, in microseconds after `base`.
    suspended_until_us: AtomicI64,
}

/// Value of a time before the first confirmation.
const UNCONFIRMED: i64 = i64::MIN;

impl Default for ConfigFreshness {
    fn default() -> Self {
        Self::new(MAX_CONFIRMED_AGE)
    }
}

impl ConfigFreshness {
    /// Creates a record without a confirmation. The configuration counts as the newest for `max_age`
    /// after the start of a read, which must be less than the time within which a change is in force.
    pub fn new(max_age: Duration) -> Self {
        Self {
            base: Instant::now(),
            max_age,
            confirmed_us: AtomicI64::new(UNCONFIRMED),
            read_us: AtomicI64::new(UNCONFIRMED),
            suspended_until_us: AtomicI64::new(UNCONFIRMED),
        }
    }

    /// Records a confirmation by a read that began `age` ago.
    pub fn confirm(&self, age: Duration) {
        let confirmed = self.now_us().saturating_sub(micros(age));
        self.confirmed_us.fetch_max(confirmed, Ordering::Relaxed);
        self.raise_read(confirmed);
    }

    /// Records a confirmation that was `age` old when it arrived, without what it proves.
    pub fn record_contact(&self, age: Duration) {
        let confirmed = self.now_us().saturating_sub(micros(age));
        self.confirmed_us.fetch_max(confirmed, Ordering::Relaxed);
    }

    /// Records that a read that began at `read_at` found no newer generation.
    pub fn confirm_read(&self, read_at: Instant) {
        self.raise_read(self.to_us(read_at));
    }

    /// Forgets what reads have proved, and ignores those that begin within `duration`: the platform
    /// has lost what it had acknowledged, perhaps a newer generation.
    pub fn suspend(&self, duration: Duration) {
        let until = self.now_us().saturating_add(micros(duration));
        self.suspended_until_us.fetch_max(until, Ordering::Relaxed);
        self.read_us.store(UNCONFIRMED, Ordering::Relaxed);
    }

    /// Time since the last confirmation; `None` before the first.
    pub fn age(&self) -> Option<Duration> {
        self.age_of(self.confirmed_us.load(Ordering::Relaxed))
    }

    /// Time since the start of the latest read that found no newer generation; `None` before the
    /// first.
    pub fn read_age(&self) -> Option<Duration> {
        self.age_of(self.read_us.load(Ordering::Relaxed))
    }

    /// Age up to which a read permits repeats.
    pub fn max_age(&self) -> Duration {
        self.max_age
    }

    /// Whether the configuration still counts as the newest.
    pub fn is_confirmed(&self) -> bool {
        self.covers(Instant::now())
    }

    /// Whether the configuration counts as the newest for a request that was received at `received`.
    pub fn covers(&self, received: Instant) -> bool {
        let read = self.read_us.load(Ordering::Relaxed);
        read != UNCONFIRMED && self.to_us(received).saturating_sub(read) <= micros(self.max_age)
    }

    fn raise_read(&self, read_us: i64) {
        if read_us >= self.suspended_until_us.load(Ordering::Relaxed) {
            self.read_us.fetch_max(read_us, Ordering::Relaxed);
        }
    }

    fn age_of(&self, time_us: i64) -> Option<Duration> {
        if time_us == UNCONFIRMED {
            return None;
        }
        let age = self.now_us().saturating_sub(time_us);
        Some(Duration::from_micros(u64::try_from(age).unwrap_or(0)))
    }

    fn now_us(&self) -> i64 {
        micros(self.base.elapsed())
    }

    fn to_us(&self, at: Instant) -> i64 {
        match at.checked_duration_since(self.base) {
            Some(after) => micros(after),
            None => -micros(self.base.saturating_duration_since(at)),
        }
    }
}

fn micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}
