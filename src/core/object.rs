//! Specs of the objects that operators write.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::core::label::LabelSet;
use crate::core::selector::LabelSelector;
use crate::util::duration_text;

/// Kind of an object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum ObjectKind {
    /// Deployment-wide budgets.
    Budget,
    /// Marks requests as idempotent or at-most-once.
    Idempotence,
    /// Assigns labels, a tenant and a class to requests.
    RequestLabel,
    /// Sends requests to upstreams.
    Route,
    /// An upstream and its capacity.
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
    /// The kind with this name in the object API.
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

/// Spec of an `Upstream` object.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct UpstreamSpec {
    /// Address, `ip:port`.
    pub address: std::net::SocketAddr,
    /// Failure domain that the upstream runs in.
    pub failure_domain: String,
    /// Requests that it serves concurrently; further ones wait in its queue.
    #[serde(default = "default_slots")]
    pub slots: u32,
    /// Connections that it accepts from all entry VMs together.
    #[serde(default = "default_max_connections")]
    pub max_connections: u32,
    /// Whether it is draining and gets no new requests.
    #[serde(default)]
    pub draining: bool,
    /// Path that responds with a load report at once; without one, no load checks are sent.
    #[serde(default)]
    pub health_path: Option<String>,
    /// Time after its start for which its service times are longer.
    #[serde(default, with = "duration_text")]
    pub warm_up: Duration,
    /// Requests per second that it bears during that time, from all entries together; `None` for no
    /// limit.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub warm_up_per_second: Option<f64>,
    /// Start of its process in milliseconds since the Unix epoch, if known. What is known of an
    /// upstream does not outlive its process.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub started_ms: Option<u64>,
}

fn default_slots() -> u32 {
    4
}

fn default_max_connections() -> u32 {
    250
}

/// Conditions on a request, all of which must hold; a condition that is left out always holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RequestMatcher {
    /// Host without port.
    pub host: Option<String>,
    /// HTTP method.
    pub method: Option<String>,
    /// Prefix of the path, compared by whole segments.
    pub path_prefix: Option<String>,
    /// Name of a header that must be present.
    pub header: Option<String>,
    /// Value that the header must have.
    pub header_value: Option<String>,
}

/// Spec of a `RequestLabel` object: labels, tenant and class of the requests that match.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RequestLabelSpec {
    /// Requests that the object applies to.
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
    /// Higher priorities take precedence; equal ones are ordered by object name.
    #[serde(default)]
    pub priority: i32,
}

/// Class of requests under overload: lower classes are shed first.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Criticality {
    /// Can wait, and is shed first.
    Deferrable,
    /// Neither shed first nor last.
    #[default]
    Normal,
    /// Shed last.
    Critical,
}

/// Retries of a route's requests.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct RetryPolicy {
    /// Attempts in all, the first included.
    pub max_attempts: u32,
    /// Timeout of one attempt of an idempotent request.
    #[serde(with = "duration_text")]
    pub attempt_timeout: Duration,
}

impl Default for RetryPolicy {
    fn default() -> Self {
        Self { max_attempts: 3, attempt_timeout: Duration::from_secs(2) }
    }
}

/// Hedging: a second attempt beside a slow first one.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct HedgePolicy {
    /// Whether idempotent requests are hedged.
    pub enabled: bool,
    /// Quantile of the recent latency that is the hedge delay, between 0 and 1.
    pub quantile: f64,
}

impl Default for HedgePolicy {
    fn default() -> Self {
        Self { enabled: true, quantile: 0.95 }
    }
}

/// Part of a route's traffic split.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RoutePart {
    /// Selects the part's upstreams among those of the route.
    pub upstreams: LabelSelector,
    /// Share of the requests, relative to the weights of the other parts.
    pub weight: u32,
}

/// Spec of a `Route` object: which requests go to which upstreams, and how.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RouteSpec {
    /// Selects requests by their labels.
    pub requests: LabelSelector,
    /// Selects upstreams by their labels.
    pub upstreams: LabelSelector,
    /// Higher priorities take precedence; equal ones are ordered by object name.
    #[serde(default)]
    pub priority: i32,
    /// Deadline of the whole call if the caller sets none, and the longest that a caller may set.
    #[serde(default = "default_deadline", with = "duration_text")]
    pub deadline: Duration,
    /// Class under overload.
    #[serde(default)]
    pub criticality: Criticality,
    /// When requests are retried.
    #[serde(default)]
    pub retry: RetryPolicy,
    /// When requests are hedged.
    #[serde(default)]
    pub hedge: HedgePolicy,
    /// Latency goal: a response within it has its full utility for the caller; zero for none.
    #[serde(default, with = "duration_text")]
    pub goal: Duration,
    /// Order in which routes that share upstreams are shed: higher ranks first, 0 last.
    #[serde(default)]
    pub rank: u32,
    /// Parts of the traffic split; empty for a route that is not split.
    #[serde(default)]
    pub parts: Vec<RoutePart>,
    /// Whether requests need no API key where the configuration has tenants.
    #[serde(default)]
    pub public: bool,
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
    /// The request may run more than once without harm.
    Idempotent,
}

/// Spec of an `Idempotence` object, which marks requests as idempotent or at-most-once. A request
/// that no object marks runs at most once.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct IdempotenceSpec {
    /// Selects requests by their labels.
    pub requests: LabelSelector,
    /// The mark; at-most-once takes precedence over idempotent.
    pub mode: IdempotenceMode,
}

/// Spec of a `Budget` object: budgets of the whole deployment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct BudgetSpec {
    /// Probes per second, over all entry VMs and upstreams.
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
