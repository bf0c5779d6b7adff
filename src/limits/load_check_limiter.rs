//! Rate limit on the load checks of one entry, such that all entries together stay within the
//! bound of probes and checks per upstream.

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Share of the bound that load checks may use; the rest is left to regular probes.
const CHECK_SHARE: f64 = 0.5;
/// Capacity of the bucket, as the time in which it fills.
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
    /// Time of the last refill; a bucket starts full.
    filled_at: Option<Instant>,
}

impl LoadCheckLimiter {
    /// Creates a limiter for a bound of `max_per_second` per upstream over all entries together;
    /// 0 means no bound.
    pub fn new(max_per_second: f64) -> Self {
        Self { max_per_second, state: Mutex::new(BucketState { tokens: 0.0, filled_at: None }) }
    }

    /// Takes a token for one check by one of `entries` entries that share `upstreams` upstreams;
    /// false if this entry has used up its share.
    pub fn try_spend(&self, upstreams: usize, entries: u32) -> bool {
        if self.max_per_second <= 0.0 {
            return true;
        }
        let rate = CHECK_SHARE * self.max_per_second * upstreams as f64 / f64::from(entries.max(1));
        let capacity = rate * BURST_TIME.as_secs_f64();
        let now = Instant::now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let refill = state.filled_at.map_or(capacity, |at| rate * (now - at).as_secs_f64());
        state.filled_at = Some(now);
        state.tokens = (state.tokens + refill).min(capacity);
        if state.tokens < 1.0 {
            return false;
        }
        state.tokens -= 1.0;
        true
    }
}
