//! A lock-free token bucket that is filled in proportion to the requests served.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Tokens are counted in integer millionths, so that fractions can be added atomically.
const MICROTOKENS_PER_TOKEN: f64 = 1_000_000.0;

/// Tokens that a bucket gains independently of the requests.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct BudgetFloor {
    /// Tokens in a new bucket.
    pub(super) initial: f64,
    /// Tokens gained per second.
    pub(super) per_second: f64,
}

/// Number of attempts that a budget has allowed and refused.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BudgetUsage {
    /// Attempts that took a token.
    pub spent: u64,
    /// Attempts that were not made for want of a token.
    pub refused: u64,
}

/// A token bucket between zero and its capacity.
#[derive(Debug)]
pub(super) struct RatioBudget {
    created: Instant,
    floor: BudgetFloor,
    /// Capacity in microtokens.
    capacity: i64,
    microtokens: AtomicI64,
    /// Time of the last refill from the floor, in nanoseconds after `created`.
    refilled_nanos: AtomicU64,
    spent: AtomicU64,
    refused: AtomicU64,
}

impl RatioBudget {
    /// Creates a bucket that holds at most `capacity` tokens.
    pub(super) fn new(capacity: f64, floor: BudgetFloor) -> Self {
        Self {
            created: Instant::now(),
            floor,
            capacity: microtokens_of(capacity),
            microtokens: AtomicI64::new(microtokens_of(floor.initial)),
            refilled_nanos: AtomicU64::new(0),
            spent: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Adds tokens, or removes them if `tokens` is negative, within the bounds of the bucket.
    pub(super) fn add(&self, tokens: f64) {
        let added = microtokens_of(tokens);
        let update = |microtokens: i64| Some((microtokens + added).clamp(0, self.capacity));
        let _ = self.microtokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }

    /// Takes one token if there is one.
    pub(super) fn try_take(&self) -> bool {
        self.refill();
        let token = MICROTOKENS_PER_TOKEN as i64;
        let update = |left: i64| (left >= token).then_some(left - token);
        let taken =
            self.microtokens.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update).is_ok();
        let counter = if taken { &self.spent } else { &self.refused };
        counter.fetch_add(1, Ordering::Relaxed);
        taken
    }

    pub(super) fn usage(&self) -> BudgetUsage {
        BudgetUsage {
            spent: self.spent.load(Ordering::Relaxed),
            refused: self.refused.load(Ordering::Relaxed),
        }
    }

    /// Tokens that are left.
    pub(super) fn tokens(&self) -> f64 {
        self.refill();
        self.microtokens.load(Ordering::Relaxed) as f64 / MICROTOKENS_PER_TOKEN
    }

    /// Adds the floor's tokens for the time since the last refill.
    fn refill(&self) {
        if self.floor.per_second <= 0.0 {
            return;
        }
        let now = self.created.elapsed().as_nanos() as u64;
        let last = self.refilled_nanos.swap(now, Ordering::Relaxed);
        let elapsed = Duration::from_nanos(now.saturating_sub(last));
        self.add(elapsed.as_secs_f64() * self.floor.per_second);
    }
}

fn microtokens_of(tokens: f64) -> i64 {
    (tokens * MICROTOKENS_PER_TOKEN) as i64
}
