//! Retry budget: bounds retries to a share of the requests.

use crate::limits::ratio_budget::{BudgetFloor, BudgetUsage, RatioBudget};

/// Capacity of the bucket, in retries; spent on a burst of failures.
const MAX_TOKENS: f64 = 20.0;
/// Tokens beside those that requests add, so that a route with few requests can still retry a
/// single failure.
const FLOOR: BudgetFloor = BudgetFloor { initial: 3.0, per_second: 0.5 };
/// Tokens that one shed or timed-out attempt removes, as a multiple of those that a request adds.
///
/// With 2, the bucket does not fill while half of a route's attempts are shed or time out.
const OVERLOAD_WEIGHT: f64 = 2.0;

/// Bounds the retries of one route.
///
/// Every admitted request adds a fraction of a token, the deployment's retry ratio, and every retry
/// takes one. Over all routes and nodes, retries thus stay within that ratio of the requests, plus
/// the floor. Shed and timed-out attempts remove tokens, so under overload only the floor is left.
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
    /// Records an admitted request; `ratio` is the allowed share of retries.
    pub fn record_request(&self, ratio: f64) {
        self.budget.add(ratio);
    }

    /// Records an attempt that was shed or timed out.
    pub fn record_overload(&self, ratio: f64) {
        self.budget.add(-ratio * OVERLOAD_WEIGHT);
    }

    /// Takes the token for one retry; false if there is none.
    pub fn try_spend(&self) -> bool {
        self.budget.try_take()
    }

    /// Retries that are allowed now.
    pub fn tokens(&self) -> f64 {
        self.budget.tokens()
    }

    /// Number of retries that were allowed and refused so far.
    pub fn usage(&self) -> BudgetUsage {
        self.budget.usage()
    }
}
