//! Whether this node's configuration is known to be the newest.

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Age of the last confirmation up to which the configuration counts as the newest.
///
/// A generation is promised to be in force everywhere within 5 s; a node that has not heard for
/// this long takes the restrictive side before that time is over.
pub const MAX_CONFIRMED_AGE: Duration = Duration::from_secs(4);

/// Time of the last confirmation that no newer generation exists.
///
/// Without a fresh confirmation a node goes on with idempotent requests, without hedges and
/// without retries after unknown outcomes, and refuses keyed at-most-once requests as not run.
#[derive(Debug)]
pub struct ConfigFreshness {
    base: Instant,
    /// Time of the last confirmation in microseconds after `base`; a confirmation that was old on
    /// arrival may lie before it.
    confirmed_us: AtomicI64,
}

/// Value of `confirmed_us` before the first confirmation.
const NEVER: i64 = i64::MIN;

impl Default for ConfigFreshness {
    fn default() -> Self {
        Self { base: Instant::now(), confirmed_us: AtomicI64::new(NEVER) }
    }
}

impl ConfigFreshness {
    /// Records a confirmation that was `age` old when it arrived.
    pub fn confirm(&self, age: Duration) {
        let confirmed = self.now_us().saturating_sub(micros(age));
        self.confirmed_us.fetch_max(confirmed, Ordering::Relaxed);
    }

    /// Time since the last confirmation.
    pub fn age(&self) -> Option<Duration> {
        let confirmed = self.confirmed_us.load(Ordering::Relaxed);
        if confirmed == NEVER {
            return None;
        }
        let age = self.now_us().saturating_sub(confirmed);
        Some(Duration::from_micros(u64::try_from(age).unwrap_or(0)))
    }

    fn now_us(&self) -> i64 {
        micros(self.base.elapsed())
    }

    /// Whether the configuration counts as the newest.
    pub fn is_confirmed(&self) -> bool {
        self.age().is_some_and(|age| age <= MAX_CONFIRMED_AGE)
    }
}

fn micros(duration: Duration) -> i64 {
    i64::try_from(duration.as_micros()).unwrap_or(i64::MAX)
}
