//! Bounds on requests in flight, on waiting requests, and on retries and hedges.
//!
//! [`AdmissionGate`] admits requests to a group of upstreams, by class and by fair shares of the
//! tenants, under an [`AdaptiveLimit`]. [`RetryBudget`] and [`HedgeBudget`] bound further attempts.
//! All of these are kept per route name (gates per group of routes), so that a configuration change
//! does not refill a budget. [`WindowBudget`] replaces the two budgets where a platform sets an
//! allowance for the whole deployment, [`HedgeLimit`] is the operators' limit on hedges, on top of
//! the budgets, [`LoadCheckLimiter`] bounds the load checks sent to
//! upstreams, [`RouteCostEstimator`] estimates the cost of a route's requests, [`PartSequence`]
//! divides the requests of a split route, and [`QuarantineTable`] names the requests that are refused
//! because they crash upstreams. [`tenant_quota`] limits the requests of a tenant over all entries.

mod adaptive_limit;
mod admission_gate;
mod connection_share;
mod fair_queue;
mod hedge_budget;
mod hedge_counts;
mod hedge_limit;
mod hedge_table;
mod latency_window;
mod load_check_limiter;
mod part_sequence;
mod quarantine;
mod ratio_budget;
mod retry_budget;
mod route_cost;
mod route_group;
mod route_limits;
pub mod tenant_quota;
mod window_budget;

pub use self::adaptive_limit::{AdaptiveLimit, AttemptWindow, CongestionSignal, LimitUsage};
pub use self::admission_gate::{AdmissionGate, GatePermit, GateRefusal, GateRequest, GateSettings};
pub use self::connection_share::{EntryCountWindow, connection_share};
pub use self::fair_queue::{FairQueue, QueueFlow};
pub use self::hedge_budget::HedgeBudget;
pub use self::hedge_counts::{HEDGE_EVENTS, HedgeCounts, HedgeEvent};
pub use self::hedge_limit::{
    HEDGE_WINDOW, HedgeAllowance, HedgeLimit, HedgeLimitPair, PERMIT_LIFETIME,
};
pub use self::latency_window::LatencyWindow;
pub use self::load_check_limiter::LoadCheckLimiter;
pub use self::part_sequence::PartSequence;
pub use self::quarantine::{
    CrashRecord, QuarantineSettings, QuarantineTable, RecordEffect, RequestFingerprint,
    RequestTraits, TraitSets,
};
pub use self::ratio_budget::BudgetUsage;
pub use self::retry_budget::RetryBudget;
pub use self::route_cost::RouteCostEstimator;
pub use self::route_limits::{LimitTable, NamedLimits, RouteLimitSettings, RouteLimits};
pub use self::window_budget::{WindowAllowance, WindowBudget};
