//! Bounds on work: budgets of retries and hedges, and the recent latency that hedges start by.
//!
//! Everything here is kept for each route by its name, so that a configuration change does not
//! refill a budget.

mod hedge_budget;
mod latency_window;
mod ratio_budget;
mod retry_budget;
mod route_limits;

pub use self::hedge_budget::HedgeBudget;
pub use self::latency_window::LatencyWindow;
pub use self::retry_budget::RetryBudget;
pub use self::route_limits::{LimitTable, RouteLimits};
