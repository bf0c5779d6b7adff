//! Hedges as a bounded share of requests.

use crate::limits::ratio_budget::{BudgetFloor, BudgetUsage, RatioBudget};

/// Tokens that a busy route may save up.
const MAX_TOKENS: f64 = 10.0;
/// Share of a request's earnings that one overloaded attempt takes away.
///
/// Hedges help one request at the cost of all others, so they stop before retries do.
const OVERLOAD_WEIGHT: f64 = 10.0;

/// Bounds the hedges of one route; earns only by requests and has no floor.
#[derive(Debug)]
pub struct HedgeBudget {
    budget: RatioBudget,
}

impl Default for HedgeBudget {
    fn default() -> Self {
        Self { budget: RatioBudget::new(MAX_TOKENS, BudgetFloor::default()) }
    }
}

impl HedgeBudget {
    /// Records a request that was admitted; `ratio` is the allowed share of hedges.
    pub fn record_request(&self, ratio: f64) {
        self.budget.add(ratio);
    }

    /// Records an attempt that was shed or timed out.
    pub fn record_overload(&self, ratio: f64) {
        self.budget.add(-ratio * OVERLOAD_WEIGHT);
    }

    /// Pays for one hedge; false if the budget is spent.
    pub fn try_spend(&self) -> bool {
        self.budget.try_take()
    }

    /// How many hedges were asked for so far.
    pub fn usage(&self) -> BudgetUsage {
        self.budget.usage()
    }
}
