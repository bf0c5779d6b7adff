//! Bounds the platform writes of one partition.

use std::time::Duration;

use tokio::time::Instant;

/// A token bucket whose tokens are platform writes.
#[derive(Debug)]
pub(super) struct WriteBucket {
    rate: f64,
    burst: f64,
    tokens: f64,
    refilled: Instant,
}

impl WriteBucket {
    /// A full bucket that regains `rate` writes a second, up to `burst`.
    pub(super) fn new(rate: f64, burst: f64) -> Self {
        let burst = burst.max(1.0);
        Self { rate: rate.max(0.01), burst, tokens: burst, refilled: Instant::now() }
    }

    /// Takes one write, waiting until there is one.
    pub(super) async fn take(&mut self) {
        self.refill();
        if self.tokens < 1.0 {
            let wait = Duration::from_secs_f64((1.0 - self.tokens) / self.rate);
            tokio::time::sleep(wait).await;
            self.refill();
        }
        self.charge();
    }

    /// Counts a write that does not wait; later ones wait the longer.
    pub(super) fn charge(&mut self) {
        self.tokens -= 1.0;
    }

    /// Gives a write back that was taken and not made.
    pub(super) fn refund(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.burst);
    }

    fn refill(&mut self) {
        let now = Instant::now();
        let gained = now.duration_since(self.refilled).as_secs_f64() * self.rate;
        self.tokens = (self.tokens + gained).min(self.burst);
        self.refilled = now;
    }
}
