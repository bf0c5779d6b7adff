//! Freshness of this node's configuration.

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Age of the last confirmation up to which the configuration counts as the newest.
///
/// A change is guaranteed to be in force on every node within 5 s, so a node without a
/// confirmation restricts itself before that time is over.
pub const MAX_CONFIRMED_AGE: Duration = Duration::from_secs(4);

/// Time of the last confirmation that no newer generation exists.
///
/// Without a fresh confirmation a node still serves idempotent requests, but without hedges and
/// without retries after unknown outcomes, and refuses keyed at-most-once requests as not run.
#[derive(Debug)]
pub struct ConfigFreshness {
    base: Instant,
    /// Time of the last confirmation in microseconds after `base`; negative if a confirmation was
    /// already older than `base` on arrival.
    confirmed_us: AtomicI64,
}

/// Value of `confirmed_us` before the first confirmation.
const UNCONFIRMED: i64 = i64::MIN;

impl Default for ConfigFreshness {
    fn default() -> Self {
        Self { base: Instant::now(), confirmed_us: AtomicI64::new(UNCONFIRMED) }
    }
}

impl ConfigFreshness {
    /// Records a confirmation that was `age` old when it arrived.
    pub fn confirm(&self, age: Duration) {
        let confirmed = self.now_us().saturating_sub(micros(age));
        self.confirmed_us.fetch_max(confirmed, Ordering::Relaxed);
    }

    /// Time since the last confirmation; `None` before the first.
    pub fn age(&self) -> Option<Duration> {
        let confirmed = self.confirmed_us.load(Ordering::Relaxed);
        if confirmed == UNCONFIRMED {
            return None;
        }
        let age = self.now_us().saturating_sub(confirmed);
        Some(Duration::from_micros(u64::try_from(age).unwrap_or(0)))
    }

    fn now_us(&self) -> i64 {
        micros(self.base.elapsed())
    }

    /// Whether the last confirmation is at most [`MAX_CONFIRMED_AGE`] old.
    pub fn is_confirmed(&self) -> bool {
        self.age().is_some_and(|age| age <= MAX_CONFIRMED_AGE)
    }
}

fn micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}
