//! Domain types: labels, selectors, objects, keys, result codes and the configuration snapshot.
//!
//! Nothing here does I/O; only drain signals, rate limits, warm-ups and statistics read the
//! clock.

mod drain_signal;
mod entry_peer;
mod header;
mod identity;
mod label;
mod limit_bucket;
mod object;
mod rate_limit;
mod result_code;
mod rule_index;
mod rule_table;
mod selector;
mod snapshot;
mod tenant;
mod upstream;
mod upstream_stats;
mod warm_up;

pub use self::drain_signal::{
    DRAIN_SIGNAL_TTL, DrainObservation, DrainSignal, FLAP_HOLD_DOWN, SignalExpiry,
};
pub use self::entry_peer::EntryPeer;
pub use self::header::{
    DEADLINE_HEADER, DECISION_HEADER, FORWARD_REFUSED_HEADER, FORWARDED_HEADER, HeaderNames,
    IDEMPOTENCY_KEY_HEADER, LOAD_METRICS_HEADER, LoadReportFormat, NOT_DISPATCHED_HEADER,
    NOT_RUN_HEADER, REPLAYED_HEADER, REQUEST_ID_HEADER, RESULT_CODE_HEADER, RETRY_ALLOWANCE_HEADER,
    UPSTREAM_DRAIN_HEADER, UPSTREAM_HEADER, UPSTREAM_NOT_RUN_HEADER,
};
pub use self::identity::{FailureDomain, GenerationNumber, TenantId, VmId};
pub use self::label::{LabelSet, is_label_key, is_label_value};
pub use self::limit_bucket::LimitShare;
pub use self::object::{
    BudgetSpec, CONFIG_KINDS, Criticality, HedgePolicy, IdempotenceMode, IdempotenceSpec,
    ObjectKind, RequestLabelSpec, RequestMatcher, RetryPolicy, RoutePart, RouteSpec, UpstreamSpec,
};
pub use self::rate_limit::{LimitNews, LimitStatement, NamedRateLimit, RateLimit};
pub use self::result_code::ResultCode;
pub use self::rule_index::{MatcherIndex, RuleIndex, SelectingRule, SelectorIndex};
pub use self::rule_table::{IdempotenceRules, RequestRules, RouteTable, RuleTable};
pub use self::selector::{LabelSelector, SelectorError};
pub use self::snapshot::{
    ConfigSnapshot, DepartedUpstream, IdempotenceRule, PartIndex, ReplacedRules, RequestRule,
    RouteKey, RouteRecord, SharedSnapshot, WeightedPart,
};
pub use self::tenant::{KeyDigest, TenantQuota, TenantRecord, TenantTable};
pub use self::upstream::{InflightGuard, UpstreamArena, UpstreamKey, UpstreamState};
pub use self::upstream_stats::{AtomicF32, AtomicTimestamp, UpstreamStats};
pub use self::warm_up::{
    WarmUpChange, WarmUpLimit, WarmUpNews, WarmUpShare, WarmUpSource, WarmUpStatement,
};
