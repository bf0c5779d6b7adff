//! Specs of the objects that operators write.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::label::LabelSet;
use crate::core::selector::LabelSelector;
use crate::util::duration_text;

/// Kinds of objects.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ObjectKind {
    /// Deployment-wide budgets.
    Budget,
    /// Which requests run at most once.
    Idempotence,
    /// Labels, tenant and class of requests.
    RequestLabel,
    /// Which requests go to which upstreams.
    Route,
    /// One upstream.
    Upstream,
}

/// The kinds that make up the configuration.
pub const CONFIG_KINDS: [ObjectKind; 5] = [
    ObjectKind::Budget,
    ObjectKind::Idempotence,
    ObjectKind::RequestLabel,
    ObjectKind::Route,
    ObjectKind::Upstream,
];

impl ObjectKind {
    /// The kind with this name.
    pub fn from_name(name: &str) -> Option<Self> {
        CONFIG_KINDS.into_iter().find(|kind| kind.as_str() == name)
    }

    /// Name of the kind in the object API.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Budget => "Budget",
            Self::Idempotence => "Idempotence",
            Self::RequestLabel => "RequestLabel",
            Self::Route => "Route",
            Self::Upstream => "Upstream",
        }
    }
}

/// One upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Address, `ip:port`.
    pub address: std::net::SocketAddr,
    /// Failure domain that the upstream runs in.
    pub failure_domain: String,
    /// Requests that it works on at the same time.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Connections that it accepts from all entry VMs together.
    #[serde(default = "default_max_connections")]
    pub max_connections: u32,
    /// Whether it is leaving and gets no new requests.
    #[serde(default)]
    pub draining: bool,
    /// Path that answers with a load report at once; without one the upstream is not asked.
    #[serde(default)]
    pub health_path: Option<String>,
    /// Time from its start for which it works more slowly.
    #[serde(default, with = "duration_text")]
    pub warm_up: Duration,
}

fn default_slots() -> u32 {
    4
}

fn default_max_connections() -> u32 {
    250
}

/// Conditions on a request; those left out hold for every request.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestMatcher {
    /// Host without port.
    pub host: Option<String>,
    /// HTTP method.
    pub method: Option<String>,
    /// Prefix of the path, by whole segments.
    pub path_prefix: Option<String>,
    /// Name of a header that must be present.
    pub header: Option<String>,
    /// Value that the header must have.
    pub header_value: Option<String>,
}

/// Labels, tenant and class for the requests that match.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestLabelSpec {
    /// Which requests.
    #[serde(default, rename = "match")]
    pub matcher: RequestMatcher,
    /// Labels that they get.
    #[serde(default)]
    pub labels: LabelSet,
    /// Tenant that they belong to.
    #[serde(default)]
    pub tenant: Option<String>,
    /// Class in histograms and limits.
    #[serde(default)]
    pub class: Option<String>,
    /// Higher goes first; equal priorities go by object name.
    #[serde(default)]
    pub priority: i32,
}

/// What is shed first under overload: the lowest of these.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Criticality {
    /// Can wait and is shed first.
    Deferrable,
    /// Ordinary work.
    #[default]
    Normal,
    /// Shed last.
    Critical,
}

/// When a request is sent again to another upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryPolicy {
    /// Attempts in all, the first included.
    pub max_attempts: u32,
    /// Longest time that one attempt of an idempotent request may take.
    #[serde(with = "duration_text")]
    pub attempt_timeout: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { max_attempts: 3, attempt_timeout: Duration::from_secs(2) }
    }
}

/// When a second attempt is started beside a slow first one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HedgePolicy {
    /// Whether idempotent requests are hedged.
    pub enabled: bool,
    /// Quantile of recent latency after which the hedge starts, between 0 and 1.
    pub quantile: f64,
}

impl Default for HedgePolicy {
    fn default() -> Self {
        Self { enabled: true, quantile: 0.95 }
    }
}

/// Part of a route's requests.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePart {
    /// Selects the part's upstreams among those of the route.
    pub upstreams: LabelSelector,
    /// Share of the requests, relative to the weights of the other parts.
    pub weight: u32,
}

/// Which requests go to which upstreams, and how.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Selects requests by their labels.
    pub requests: LabelSelector,
    /// Selects upstreams by their labels.
    pub upstreams: LabelSelector,
    /// Higher goes first; equal priorities go by object name.
    #[serde(default)]
    pub priority: i32,
    /// Time for the whole call when the caller sets none, and the longest a caller may set.
    #[serde(default = "default_deadline", with = "duration_text")]
    pub deadline: Duration,
    /// What is shed first.
    #[serde(default)]
    pub criticality: Criticality,
    /// Retries.
    #[serde(default)]
    pub retry: RetryPolicy,
    /// Hedges.
    #[serde(default)]
    pub hedge: HedgePolicy,
    /// Response-time goal: an answer within it has its full use for the caller.
    #[serde(default, with = "duration_text")]
    pub goal: Duration,
    /// Order in which routes with the same upstreams are shed: higher ranks first.
    #[serde(default)]
    pub rank: u32,
    /// Parts by which the requests are split; empty for a route that is not split.
    #[serde(default)]
    pub parts: Vec<RoutePart>,
}

fn default_deadline() -> Duration {
    Duration::from_secs(10)
}

/// Whether a request may run more than once.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum IdempotenceMode {
    /// The request runs at most once.
    AtMostOnce,
    /// Running the request again does no harm.
    Idempotent,
}

/// Marks requests as idempotent or at-most-once. A request that no rule marks runs at most once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct IdempotenceSpec {
    /// Selects requests by their labels.
    pub requests: LabelSelector,
    /// The mark; at-most-once wins over idempotent.
    pub mode: IdempotenceMode,
}

/// Budgets of the whole deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetSpec {
    /// Probes a second, over all entry VMs and upstreams.
    pub probes_per_second: f64,
    /// Retries as a share of requests, between 0 and 1.
    pub retry_ratio: f64,
    /// Hedges as a share of requests, between 0 and 1.
    pub hedge_ratio: f64,
}

impl Default for BudgetSpec {
    fn default() -> Self {
        Self { probes_per_second: 50.0, retry_ratio: 0.1, hedge_ratio: 0.05 }
    }
}
