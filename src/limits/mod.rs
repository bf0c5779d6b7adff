//! Bounds on work: what is in flight, what waits, and how often it may be repeated.
//!
//! [`AdmissionGate`] admits requests to a group of upstreams, by class and by fair shares of the
//! tenants, under an [`AdaptiveLimit`]. [`RetryBudget`] and [`HedgeBudget`] bound further attempts.
//! Everything here is kept for each route by its name, so that a configuration change does not
//! refill a budget. [`WindowBudget`] takes their place where a platform sets the allowance of the
//! whole deployment, [`CheckAllowance`] bounds questions to upstreams, and [`RouteDemand`] holds what a request of a route is expected to cost.

mod adaptive_limit;
mod admission_gate;
mod check_allowance;
mod connection_share;
mod demand;
mod fair_queue;
mod hedge_budget;
mod latency_window;
mod ratio_budget;
mod retry_budget;
mod route_group;
mod route_limits;
mod window_budget;

pub use self::adaptive_limit::{AdaptiveLimit, AttemptWindow, CongestionSignal, LimitUse};
pub use self::admission_gate::{AdmissionGate, GatePermit, GateRefusal, GateRequest, GateSettings};
pub use self::check_allowance::CheckAllowance;
pub use self::connection_share::{EntryCount, connection_share};
pub use self::demand::RouteDemand;
pub use self::fair_queue::{FairQueue, QueueShare};
pub use self::hedge_budget::HedgeBudget;
pub use self::latency_window::LatencyWindow;
pub use self::ratio_budget::BudgetUsage;
pub use self::retry_budget::RetryBudget;
pub use self::route_limits::{LimitRules, LimitTable, NamedLimits, RouteLimits};
pub use self::window_budget::{WindowAllowance, WindowBudget};
