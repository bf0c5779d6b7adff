//! The compiled configuration that the request plane reads.
//!
//! A snapshot is immutable. The control plane compiles a new one and swaps the pointer; a request
//! keeps the snapshot under which it was admitted for all of its attempts.

use std::sync::Arc;

use arc_swap::ArcSwapOption;
use tokio::time::Instant;

use crate::core::identity::{GenerationNumber, TenantId};
use crate::core::label::LabelSet;
use crate::core::object::{BudgetSpec, IdempotenceMode, RequestMatcher, RouteSpec};
use crate::core::rule_table::{IdempotenceRules, RequestRules, RouteTable};
use crate::core::selector::LabelSelector;
use crate::core::tenant::TenantTable;
use crate::core::upstream::{UpstreamArena, UpstreamKey, UpstreamState};
use crate::util::FastMap;

/// Pointer to the current snapshot; empty until the first configuration has arrived.
pub type SharedSnapshot = Arc<ArcSwapOption<ConfigSnapshot>>;

/// Index of a route within its snapshot.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RouteKey(pub u32);

/// One compiled configuration.
#[derive(Clone, Debug, Default)]
pub struct ConfigSnapshot {
    /// Generation that the snapshot was compiled from.
    pub generation: GenerationNumber,
    /// Upstreams by key.
    pub upstreams: UpstreamArena,
    /// Keys of the upstreams by object name.
    pub upstream_names: FastMap<String, UpstreamKey>,
    /// Upstreams that were removed a short time ago, and may return.
    pub departed_upstreams: Vec<DepartedUpstream>,
    /// Request rules in order of precedence.
    pub request_rules: RequestRules,
    /// Routes in order of precedence; [`RouteKey`] is the index.
    pub routes: RouteTable,
    /// Idempotence rules in name order.
    pub idempotence_rules: IdempotenceRules,
    /// Idempotence rules of recently replaced generations. While other nodes may still apply them,
    /// a request that one of them marks at-most-once runs at most once here too.
    pub replaced_rules: Vec<Arc<ReplacedRules>>,
    /// Deployment-wide budgets.
    pub budget: BudgetSpec,
    /// Tenants and their API keys; `None` if requests carry no key.
    pub tenants: Option<Arc<TenantTable>>,
}

/// An upstream that has been removed. If it returns, it is still known what it asked for.
#[derive(Clone, Debug)]
pub struct DepartedUpstream {
    /// Its last state.
    pub upstream: Arc<UpstreamState>,
    /// When it was removed.
    pub removed_at: Instant,
}

/// Idempotence rules of a replaced generation, and what they depend on.
#[derive(Clone, Debug, Default)]
pub struct ReplacedRules {
    /// Request rules in order of precedence; they assign the labels that idempotence rules select
    /// by.
    pub request_rules: RequestRules,
    /// Idempotence rules in name order.
    pub idempotence_rules: IdempotenceRules,
}

/// A compiled `RequestLabel`.
#[derive(Clone, Debug)]
pub struct RequestRule {
    /// Object name.
    pub name: String,
    /// Requests that the rule applies to.
    pub matcher: RequestMatcher,
    /// Labels that they get.
    pub labels: LabelSet,
    /// Tenant that they belong to.
    pub tenant: Option<TenantId>,
    /// Class in histograms and limits.
    pub class: Option<Arc<str>>,
}

/// A compiled `Route`.
#[derive(Clone, Debug)]
pub struct RouteRecord {
    /// Object name.
    pub name: String,
    /// Spec that the route was compiled from, shared between snapshots.
    pub spec: Arc<RouteSpec>,
    /// Upstreams that the route selects, in name order; shared by routes with the same selector.
    pub upstreams: Arc<[UpstreamKey]>,
    /// Parts of the traffic split; empty for a route that is not split.
    pub parts: Vec<WeightedPart>,
}

/// Index of a part within its route.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct PartIndex(pub u32);

/// A compiled `RoutePart`.
#[derive(Clone, Debug)]
pub struct WeightedPart {
    /// Share of the requests, relative to the weights of the other parts.
    pub weight: u32,
    /// Upstreams of the part, in name order.
    pub upstreams: Arc<[UpstreamKey]>,
}

impl RouteRecord {
    /// Upstreams of a part; those of the whole route if `part` is none or out of range.
    pub fn upstreams_of(&self, part: Option<PartIndex>) -> &[UpstreamKey] {
        let part = part.and_then(|index| self.parts.get(index.0 as usize));
        part.map_or(&self.upstreams, |part| &part.upstreams)
    }

    /// The part whose range contains `position`, where the parts divide `[0, 1)` in proportion to
    /// their weights; none if the route is not split.
    pub fn part_at(&self, position: f64) -> Option<PartIndex> {
        let total: u64 = self.parts.iter().map(|part| u64::from(part.weight)).sum();
        let mut left = position * total as f64;
        for (index, part) in self.parts.iter().enumerate() {
            left -= f64::from(part.weight);
            if left < 0.0 {
                return Some(PartIndex(index as u32));
            }
        }
        None
    }
}

/// A compiled `Idempotence`.
#[derive(Clone, Debug)]
pub struct IdempotenceRule {
    /// Object name.
    pub name: String,
    /// Selects requests by their labels.
    pub requests: LabelSelector,
    /// Whether the requests are idempotent or run at most once.
    pub mode: IdempotenceMode,
}

impl ConfigSnapshot {
    /// The route with this key; none if the key is from a larger snapshot.
    pub fn route(&self, key: RouteKey) -> Option<&RouteRecord> {
        self.routes.get(key.0 as usize)
    }

    /// The route with this object name.
    pub fn route_by_name(&self, name: &str) -> Option<&RouteRecord> {
        self.routes.iter().find(|route| route.name == name)
    }
}
