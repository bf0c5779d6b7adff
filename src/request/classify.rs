//! Classifies a request: its labels, tenant, class, route and idempotence.
//!
//! Every matching `RequestLabel` contributes: of two that set the same label, tenant or class, the
//! one with precedence wins. At-most-once takes precedence over idempotent, and a request that no
//! rule marks idempotent runs at most once: the HTTP method alone does not make it idempotent.

use std::sync::Arc;

use http::{HeaderMap, Method, Uri};

use crate::core::{
    ConfigSnapshot, IdempotenceMode, IdempotenceRules, LabelSet, RequestMatcher, RequestRule,
    RequestRules, RouteKey, TenantId, TenantRecord,
};

/// Class of requests to which no rule assigns one.
pub(crate) const DEFAULT_CLASS: &str = "other";
/// Tenant of requests to which no rule assigns one.
pub(crate) const DEFAULT_TENANT: &str = "none";

/// The parts of a request that rules match on.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// Method.
    pub method: &'a Method,
    /// Request target.
    pub uri: &'a Uri,
    /// Headers.
    pub headers: &'a HeaderMap,
}

/// Classification of a request under one configuration.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Labels that routes and idempotence rules select on.
    pub labels: LabelSet,
    /// Tenant that the request is accounted to.
    pub tenant: TenantId,
    /// Class label in metrics and logs.
    pub class: Arc<str>,
    /// The first route that selects the request.
    pub route: Option<RouteKey>,
    /// Whether the request may run more than once.
    pub mode: IdempotenceMode,
    /// Tenant whose API key the request carries, once it has been authenticated.
    pub authenticated: Option<Arc<TenantRecord>>,
    /// Shedding rank: requests of higher ranks are shed first.
    pub rank: u32,
}

/// Classifies a request under one configuration.
pub fn classify(snapshot: &ConfigSnapshot, head: RequestHead<'_>) -> RequestClass {
    let mut tenant = None;
    let mut class = None;
    let mut labels = LabelSet::default();
    for rule in matching_rules(&snapshot.request_rules, head) {
        tenant = tenant.or_else(|| rule.tenant.clone());
        class = class.or_else(|| rule.class.clone());
        labels.insert_missing(&rule.labels);
    }
    let route = snapshot.routes.first_match(&labels);
    let rank = route.map_or(0, |index| snapshot.routes[index].spec.rank);
    RequestClass {
        tenant: tenant.unwrap_or_else(|| TenantId::new(DEFAULT_TENANT)),
        class: class.unwrap_or_else(|| Arc::from(DEFAULT_CLASS)),
        route: route.map(|index| RouteKey(index as u32)),
        mode: resolve_idempotence(snapshot, &labels, head),
        authenticated: None,
        rank,
        labels,
    }
}

/// Rules that match a request, in order of precedence.
fn matching_rules<'a>(
    rules: &'a RequestRules,
    head: RequestHead<'a>,
) -> impl Iterator<Item = &'a RequestRule> {
    let candidates = rules.candidates(request_host(head.uri, head.headers), head.uri.path());
    candidates.filter(move |rule| matches_request(&rule.matcher, head))
}

fn collect_labels(rules: &RequestRules, head: RequestHead<'_>) -> LabelSet {
    let mut labels = LabelSet::default();
    for rule in matching_rules(rules, head) {
        labels.insert_missing(&rule.labels);
    }
    labels
}

/// While one generation replaces another, a request is at-most-once if either marks it so.
fn resolve_idempotence(
    snapshot: &ConfigSnapshot,
    labels: &LabelSet,
    head: RequestHead<'_>,
) -> IdempotenceMode {
    if mode_under_rules(&snapshot.idempotence_rules, labels) == IdempotenceMode::AtMostOnce {
        return IdempotenceMode::AtMostOnce;
    }
    for replaced in &snapshot.replaced_rules {
        let labels = collect_labels(&replaced.request_rules, head);
        if mode_under_rules(&replaced.idempotence_rules, &labels) == IdempotenceMode::AtMostOnce {
            return IdempotenceMode::AtMostOnce;
        }
    }
    IdempotenceMode::Idempotent
}

fn mode_under_rules(rules: &IdempotenceRules, labels: &LabelSet) -> IdempotenceMode {
    let mut mode = IdempotenceMode::AtMostOnce;
    for rule in rules.matches(labels) {
        if rule.mode == IdempotenceMode::AtMostOnce {
            return IdempotenceMode::AtMostOnce;
        }
        mode = IdempotenceMode::Idempotent;
    }
    mode
}

/// Whether a request meets all conditions of `matcher`.
pub(crate) fn matches_request(matcher: &RequestMatcher, head: RequestHead<'_>) -> bool {
    if let Some(host) = &matcher.host
        && request_host(head.uri, head.headers) != Some(host.as_str())
    {
        return false;
    }
    if let Some(method) = &matcher.method
        && head.method.as_str() != method
    {
        return false;
    }
    if let Some(prefix) = &matcher.path_prefix
        && !is_path_prefix(prefix, head.uri.path())
    {
        return false;
    }
    let Some(name) = &matcher.header else { return true };
    let Some(value) = head.headers.get(name) else { return false };
    match &matcher.header_value {
        Some(wanted) => value.as_bytes() == wanted.as_bytes(),
        None => true,
    }
}

/// Host of a request without its port.
pub(super) fn request_host<'a>(uri: &'a Uri, headers: &'a HeaderMap) -> Option<&'a str> {
    if let Some(host) = uri.host() {
        return Some(host);
    }
    let value = headers.get(http::header::HOST)?.to_str().ok()?;
    Some(value.rsplit_once(':').map_or(value, |(host, _)| host))
}

/// Whether `prefix` equals `path` or ends at a segment boundary of it.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
