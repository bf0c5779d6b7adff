//! Labels a request and finds its route and its idempotence.
//!
//! Every matching `RequestLabel` contributes: of two that set the same label, tenant or class, the
//! one with precedence wins. At-most-once wins over every rule that says otherwise, and a request
//! that no rule marks idempotent runs at most once: a method alone proves nothing.

use std::sync::Arc;

use http::{HeaderMap, Method, Uri};

use crate::core::{
    ConfigSnapshot, IdempotenceMode, IdempotenceRule, LabelSet, RequestMatcher, RequestRule,
    RouteKey, TenantId,
};

/// Class of requests that no rule gives one.
const DEFAULT_CLASS: &str = "other";
/// Tenant of requests that no rule gives one.
const DEFAULT_TENANT: &str = "none";

/// The parts of a request that rules look at.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// Method.
    pub method: &'a Method,
    /// Target.
    pub uri: &'a Uri,
    /// Headers.
    pub headers: &'a HeaderMap,
}

/// What the configuration says about a request.
#[derive(Clone, Debug)]
pub struct RequestClass {
    /// Labels.
    pub labels: LabelSet,
    /// Tenant.
    pub tenant: TenantId,
    /// Class in histograms and limits.
    pub class: Arc<str>,
    /// Route, if one selects the request.
    pub route: Option<RouteKey>,
    /// Whether the request may run more than once.
    pub mode: IdempotenceMode,
}

/// Classifies a request under one configuration.
pub fn classify(snapshot: &ConfigSnapshot, head: RequestHead<'_>) -> RequestClass {
    let mut tenant = None;
    let mut class = None;
    for rule in &snapshot.request_rules {
        if !matches_request(&rule.matcher, head) {
            continue;
        }
        tenant = tenant.or_else(|| rule.tenant.clone());
        class = class.or_else(|| rule.class.clone());
    }
    let labels = labels_of(&snapshot.request_rules, head);
    let route = snapshot.routes.iter().position(|route| route.spec.requests.matches(&labels));
    RequestClass {
        tenant: tenant.unwrap_or_else(|| TenantId::new(DEFAULT_TENANT)),
        class: class.unwrap_or_else(|| Arc::from(DEFAULT_CLASS)),
        route: route.map(|index| RouteKey(index as u32)),
        mode: idempotence_of(snapshot, &labels, head),
        labels,
    }
}

fn labels_of(rules: &[RequestRule], head: RequestHead<'_>) -> LabelSet {
    let mut labels = LabelSet::default();
    for rule in rules {
        if matches_request(&rule.matcher, head) {
            labels.insert_missing(&rule.labels);
        }
    }
    labels
}

/// While a generation replaces another, a request is at-most-once if either says so.
fn idempotence_of(
    snapshot: &ConfigSnapshot,
    labels: &LabelSet,
    head: RequestHead<'_>,
) -> IdempotenceMode {
    if marked(&snapshot.idempotence_rules, labels) == IdempotenceMode::AtMostOnce {
        return IdempotenceMode::AtMostOnce;
    }
    for replaced in &snapshot.replaced_rules {
        let labels = labels_of(&replaced.request_rules, head);
        if marked(&replaced.idempotence_rules, &labels) == IdempotenceMode::AtMostOnce {
            return IdempotenceMode::AtMostOnce;
        }
    }
    IdempotenceMode::Idempotent
}

fn marked(rules: &[IdempotenceRule], labels: &LabelSet) -> IdempotenceMode {
    let mut mode = IdempotenceMode::AtMostOnce;
    for rule in rules {
        if !rule.requests.matches(labels) {
            continue;
        }
        if rule.mode == IdempotenceMode::AtMostOnce {
            return IdempotenceMode::AtMostOnce;
        }
        mode = IdempotenceMode::Idempotent;
    }
    mode
}

/// Whether a request meets every condition of `matcher`.
pub(crate) fn matches_request(matcher: &RequestMatcher, head: RequestHead<'_>) -> bool {
    if let Some(host) = &matcher.host
        && host_of(head) != Some(host.as_str())
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
fn host_of(head: RequestHead<'_>) -> Option<&str> {
    if let Some(host) = head.uri.host() {
        return Some(host);
    }
    let value = head.headers.get(http::header::HOST)?.to_str().ok()?;
    Some(value.rsplit_once(':').map_or(value, |(host, _)| host))
}

/// Whether `prefix` is `path` or ends at one of its slashes.
fn is_path_prefix(prefix: &str, path: &str) -> bool {
    let Some(rest) = path.strip_prefix(prefix) else { return false };
    rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/')
}
