//! Retries as a bounded share of requests.

use crate::limits::ratio_budget::{BudgetFloor, BudgetUsage, RatioBudget};

/// Tokens that a busy route may save up for a burst of failures.
const MAX_TOKENS: f64 = 20.0;
/// What a route with few requests may spend, so that a single failure is still retried.
const FLOOR: BudgetFloor = BudgetFloor { initial: 3.0, per_second: 0.5 };
/// Share of a request's earnings that one overloaded attempt takes away.
///
/// With 2, a route earns nothing while half of its attempts are shed or time out.
const OVERLOAD_WEIGHT: f64 = 2.0;

/// Bounds the retries of one route.
///
/// Every admitted request earns the deployment's ratio of a token and every retry costs one, so
/// over all routes and nodes retries stay within that ratio of the requests, plus the floor. Shed
/// and timed-out attempts take earnings back: under overload the budget shrinks to its floor.
#[derive(Debug)]
pub struct RetryBudget {
    budget: RatioBudget,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self { budget: RatioBudget::new(MAX_TOKENS, FLOOR) }
    }
}

impl RetryBudget {
    /// Records a request that was admitted; `ratio` is the allowed share of retries.
    pub fn record_request(&self, ratio: f64) {
        self.budget.add(ratio);
    }

    /// Records an attempt that was shed or timed out.
    pub fn record_overload(&self, ratio: f64) {
        self.budget.add(-ratio * OVERLOAD_WEIGHT);
    }

    /// Pays for one retry; false if the budget is spent.
    pub fn try_spend(&self) -> bool {
        self.budget.try_take()
    }

    /// Retries that could be paid for now.
    pub fn tokens(&self) -> f64 {
        self.budget.tokens()
    }

    /// How many retries were asked for so far.
    pub fn usage(&self) -> BudgetUsage {
        self.budget.usage()
    }
}
