//! Hedge budget: bounds hedges to a share of the requests.

use crate::limits::ratio_budget::{BudgetFloor, BudgetUsage, RatioBudget};

/// Capacity of the bucket, in hedges.
const MAX_TOKENS: f64 = 10.0;
/// Tokens that one shed or timed-out attempt removes, as a multiple of those that a request adds.
///
/// A hedge helps one request at the cost of all others, so hedging stops earlier under overload
/// than retrying does.
const OVERLOAD_WEIGHT: f64 = 10.0;

/// Bounds the hedges of one route. Only requests add tokens; there is no minimum rate.
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
    /// Records an admitted request; `ratio` is the allowed share of hedges.
    pub fn record_request(&self, ratio: f64) {
        self.budget.add(ratio);
    }

    /// Records an attempt that was shed or timed out.
    pub fn record_overload(&self, ratio: f64) {
        self.budget.add(-ratio * OVERLOAD_WEIGHT);
    }

    /// Takes the token for one hedge; false if there is none.
    pub fn try_spend(&self) -> bool {
        self.budget.try_take()
    }

    /// Number of hedges that were allowed and refused so far.
    pub fn usage(&self) -> BudgetUsage {
        self.budget.usage()
    }
}
