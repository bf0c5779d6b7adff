//! Bounds how often one entry asks upstreams for their load, so that all entries together keep
//! within what an upstream may get.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Part of the bound that checks may use; the rest is for regular probes.
const CHECK_PART: f64 = 0.5;
/// Time whose checks may be saved up for a burst.
const BURST_TIME: Duration = Duration::from_secs(1);

/// A token bucket whose rate follows the number of entries and upstreams.
#[derive(Debug)]
pub struct LoadCheckLimiter {
    max_per_second: f64,
    state: Mutex<BucketState>,
}

#[derive(Clone, Copy, Debug)]
struct BucketState {
    tokens: f64,
    filled: Option<Instant>,
}

impl LoadCheckLimiter {
    /// Creates an allowance of `max_per_second` for each upstream from all entries together; 0 for
    /// no bound.
    pub fn new(max_per_second: f64) -> Self {
        Self { max_per_second, state: Mutex::new(BucketState { tokens: 0.0, filled: None }) }
    }

    /// Pays for one check by one of `entries` entries that share `upstreams` upstreams; false if
    /// this entry has spent its share.
    pub fn try_spend(&self, upstreams: usize, entries: u32) -> bool {
        if self.max_per_second <= 0.0 {
            return true;
        }
        let rate = CHECK_PART * self.max_per_second * upstreams as f64 / f64::from(entries.max(1));
        let most = rate * BURST_TIME.as_secs_f64();
        let now = Instant::now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let gained = state.filled.map_or(most, |at| rate * (now - at).as_secs_f64());
        state.filled = Some(now);
        state.tokens = (state.tokens + gained).min(most);
        if state.tokens < 1.0 {
            return false;
        }
        state.tokens -= 1.0;
        true
    }
}
