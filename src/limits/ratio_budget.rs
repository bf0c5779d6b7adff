//! A lock-free token bucket that fills in proportion to work done.

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Parts that one token is counted in.
const PARTS_PER_TOKEN: f64 = 1_000_000.0;

/// Tokens that a bucket gains by itself, whatever the work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(super) struct BudgetFloor {
    /// Tokens in a new bucket.
    pub(super) initial: f64,
    /// Tokens gained per second.
    pub(super) per_second: f64,
}

/// What a budget was asked for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct BudgetUsage {
    /// Attempts that were paid for.
    pub spent: u64,
    /// Attempts that were not made because the budget was spent.
    pub refused: u64,
}

/// Tokens between zero and a cap.
#[derive(Debug)]
pub(super) struct RatioBudget {
    created: Instant,
    floor: BudgetFloor,
    cap: i64,
    parts: AtomicI64,
    filled_nanos: AtomicU64,
    spent: AtomicU64,
    refused: AtomicU64,
}

impl RatioBudget {
    pub(super) fn new(cap: f64, floor: BudgetFloor) -> Self {
        Self {
            created: Instant::now(),
            floor,
            cap: parts_of(cap),
            parts: AtomicI64::new(parts_of(floor.initial)),
            filled_nanos: AtomicU64::new(0),
            spent: AtomicU64::new(0),
            refused: AtomicU64::new(0),
        }
    }

    /// Adds tokens, or takes them if `tokens` is negative; stays between zero and the cap.
    pub(super) fn add(&self, tokens: f64) {
        let added = parts_of(tokens);
        let update = |parts: i64| Some((parts + added).clamp(0, self.cap));
        let _ = self.parts.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update);
    }

    /// Takes one token if there is one.
    pub(super) fn try_take(&self) -> bool {
        self.fill();
        let token = PARTS_PER_TOKEN as i64;
        let update = |parts: i64| (parts >= token).then_some(parts - token);
        let taken = self.parts.fetch_update(Ordering::Relaxed, Ordering::Relaxed, update).is_ok();
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
        self.fill();
        self.parts.load(Ordering::Relaxed) as f64 / PARTS_PER_TOKEN
    }

    fn fill(&self) {
        if self.floor.per_second <= 0.0 {
            return;
        }
        let now = self.created.elapsed().as_nanos() as u64;
        let last = self.filled_nanos.swap(now, Ordering::Relaxed);
        let elapsed = Duration::from_nanos(now.saturating_sub(last));
        self.add(elapsed.as_secs_f64() * self.floor.per_second);
    }
}

fn parts_of(tokens: f64) -> i64 {
    (tokens * PARTS_PER_TOKEN) as i64
}
