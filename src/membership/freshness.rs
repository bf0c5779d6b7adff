//! Whether this node's configuration is known to be the newest.

use std::sync::Mutex;
use std::sync::PoisonError;
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
#[derive(Debug, Default)]
pub struct ConfigFreshness {
    confirmed: Mutex<Option<Instant>>,
}

impl ConfigFreshness {
    /// Records a confirmation that was `age` old when it arrived.
    pub fn confirm(&self, age: Duration) {
        let Some(confirmed) = Instant::now().checked_sub(age) else { return };
        let mut last = self.confirmed.lock().unwrap_or_else(PoisonError::into_inner);
        *last = Some(last.map_or(confirmed, |last| last.max(confirmed)));
    }

    /// Time since the last confirmation.
    pub fn age(&self) -> Option<Duration> {
        let last = *self.confirmed.lock().unwrap_or_else(PoisonError::into_inner);
        last.map(|last| last.elapsed())
    }

    /// Whether the configuration counts as the newest.
    pub fn is_confirmed(&self) -> bool {
        self.age().is_some_and(|age| age <= MAX_CONFIRMED_AGE)
    }
}
