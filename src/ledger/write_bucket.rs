//! Rate limit of one partition's platform writes.

use std::time::Duration;

use tokio::time::Instant;

/// Token bucket with one token for each platform write.
#[derive(Debug)]
pub(super) struct WriteBucket {
    writes_per_second: f64,
    burst: f64,
    tokens: f64,
    refilled_at: Instant,
}

impl WriteBucket {
    /// A full bucket of `burst` tokens that is refilled by `writes_per_second`. The burst is at
    /// least one token and the rate at least 0.01, so that every write is possible after a finite
    /// wait.
    pub(super) fn new(writes_per_second: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self {
            writes_per_second: writes_per_second.max(0.01),
            burst,
            tokens: burst,
            refilled_at: Instant::now(),
        }
    }

    /// Takes one token, waiting until there is one.
    pub(super) async fn take(&mut self) {
        self.refill();
        if self.tokens < 1.0 {
            let wait = Duration::from_secs_f64((1.0 - self.tokens) / self.writes_per_second);
            tokio::time::sleep(wait).await;
            self.refill();
        }
        self.charge();
    }

    /// Takes one token without waiting. The bucket may go below zero; later writes wait longer.
    pub(super) fn charge(&mut self) {
        self.tokens -= 1.0;
    }

    /// Returns the token of a write that was not made.
    pub(super) fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }

    fn refill(&mut self) {
        let now = Instant::now();
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * self.writes_per_second;
        self.tokens = (self.tokens + refill).min(self.burst);
        self.refilled_at = now;
    }
}
