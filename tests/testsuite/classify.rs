//! Classification through the indexes of the rules, against a linear evaluation.

use heatherfall::core::{
    ConfigSnapshot, IdempotenceMode, IdempotenceRule, LabelSet, ReplacedRules, RequestMatcher,
    RequestRule, RouteRecord, RouteSpec, TenantId,
};
use heatherfall::request::{RequestHead, classify};
use http::{HeaderMap, HeaderValue, Method, Uri, header};
use proptest::prelude::*;
use proptest::sample::select;
use serde_json::json;

/// Labels, tenant, class, route and mode of a request.
type Outcome = (LabelSet, String, String, Option<usize>, IdempotenceMode);

/// The evaluation that [`classify`] must equal: every rule in order of precedence.
fn classify_linearly(snapshot: &ConfigSnapshot, head: RequestHead<'_>) -> Outcome {
    let (mut labels, mut tenant, mut class) = (LabelSet::default(), None, None);
    for rule in &snapshot.request_rules {
        if matches_linearly(&rule.matcher, head) {
            tenant = tenant.or_else(|| rule.tenant.clone());
            class = class.or_else(|| rule.class.clone());
            labels.insert_missing(&rule.labels);
        }
    }
    let route = snapshot.routes.iter().position(|route| route.spec.requests.matches(&labels));
    let mut mode = mode_linearly(&snapshot.idempotence_rules, &labels);
    for replaced in &snapshot.replaced_rules {
        let mut labels = LabelSet::default();
        for rule in &replaced.request_rules {
            if matches_linearly(&rule.matcher, head) {
                labels.insert_missing(&rule.labels);
            }
        }
        if mode_linearly(&replaced.idempotence_rules, &labels) == IdempotenceMode::AtMostOnce {
            mode = IdempotenceMode::AtMostOnce;
        }
    }
    let tenant = tenant.map_or("none".to_owned(), |tenant| tenant.to_string());
    (labels, tenant, class.map_or("other".to_owned(), |class| class.to_string()), route, mode)
}

fn mode_linearly(rules: &[IdempotenceRule], labels: &LabelSet) -> IdempotenceMode {
    let mut mode = IdempotenceMode::AtMostOnce;
    for rule in rules {
        if rule.requests.matches(labels) {
            mode = rule.mode;
            if mode == IdempotenceMode::AtMostOnce {
                break;
            }
        }
    }
    mode
}

fn matches_linearly(matcher: &RequestMatcher, head: RequestHead<'_>) -> bool {
    let host = head.uri.host().or_else(|| {
        let host = head.headers.get(header::HOST)?.to_str().ok()?;
        Some(host.rsplit_once(':').map_or(host, |(host, _)| host))
    });
    let is_prefix = |prefix: &String| {
        let rest = head.uri.path().strip_prefix(prefix.as_str());
        rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
    };
    let has_header = |name: &String| {
        let value = head.headers.get(name);
        value.is_some_and(|value| matcher.header_value.as_ref().is_none_or(|want| value == want))
    };
    matcher.host.as_deref().is_none_or(|wanted| host == Some(wanted))
        && matcher.method.as_deref().is_none_or(|method| head.method == method)
        && matcher.path_prefix.as_ref().is_none_or(is_prefix)
        && matcher.header.as_ref().is_none_or(has_header)
}

fn rules() -> impl Strategy<Value = Vec<RequestRule>> {
    let host = prop::option::of(select(vec!["a.example", "b.example", ""]));
    let path = prop::option::of("(/|/x|/é|x){0,3}/?");
    let header = prop::option::of(select(vec![("h", None), ("h", Some("1"))]));
    let method = prop::option::weighted(0.2, select(vec!["GET", "PUT"]));
    let labels = prop::collection::btree_map("[ab]", "[0-3]", 0..3);
    let assigned = (prop::option::of("[st]"), prop::option::of("[cd]"));
    let rule = (host, path, header, method, labels, assigned).prop_map(
        |(host, path_prefix, header, method, labels, (tenant, class))| RequestRule {
            name: String::new(),
            matcher: RequestMatcher {
                host: host.map(str::to_owned),
                method: method.map(str::to_owned),
                path_prefix,
                header: header.map(|(name, _)| name.to_owned()),
                header_value: header.and_then(|(_, value)| value.map(str::to_owned)),
            },
            labels: LabelSet::new(labels),
            tenant: tenant.map(|tenant| TenantId::new(&tenant)),
            class: class.map(Into::into),
        },
    );
    prop::collection::vec(rule, 0..24)
}

fn selectors() -> impl Strategy<Value = Vec<String>> {
    let requirement = prop_oneof![
        4 => "[ab]=[0-3]",
        2 => "[ab] in \\([0-3],[0-3]\\)",
        1 => "[ab]!=[0-3]",
        1 => "!?[ab]",
    ];
    let selector = prop::collection::vec(requirement, 0..3).prop_map(|parts| parts.join(","));
    prop::collection::vec(selector, 0..12)
}

fn snapshot_of(rules: Vec<RequestRule>, routes: Vec<String>, modes: Vec<String>) -> ConfigSnapshot {
    let mut compiled = Vec::new();
    for requests in routes {
        let spec = json!({ "requests": requests, "upstreams": "" });
        let spec: RouteSpec = serde_json::from_value(spec).unwrap();
        let (name, upstreams) = (requests, Default::default());
        compiled.push(RouteRecord { name, spec: spec.into(), upstreams, parts: Vec::new() });
    }
    let mut snapshot = ConfigSnapshot { request_rules: rules.into(), ..Default::default() };
    snapshot.routes = compiled.into();
    for (index, requests) in modes.into_iter().enumerate() {
        let modes = [IdempotenceMode::Idempotent, IdempotenceMode::AtMostOnce];
        let (requests, mode) = (requests.parse().unwrap(), modes[usize::from(index % 3 == 2)]);
        snapshot.idempotence_rules.push(IdempotenceRule { name: String::new(), requests, mode });
    }
    snapshot
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(2000))]

    /// Guards against an index that misses a matching rule or changes the order of precedence.
    #[test]
    fn classification_equals_the_linear_evaluation(
        rules in rules(),
        routes in selectors(),
        modes in selectors(),
        replaced in prop::option::of((rules(), selectors())),
        requests in prop::collection::vec(
            ("(/|/x|/é|//){1,4}|x|\\*", prop::option::of(select(vec!["a.example", "b.example:80", "c"])), 0..3_u8),
            1..8,
        ),
    ) {
        let mut snapshot = snapshot_of(rules, routes, modes);
        if let Some((rules, modes)) = replaced {
            let ConfigSnapshot { request_rules, idempotence_rules, .. } =
                snapshot_of(rules, Vec::new(), modes);
            let replaced = ReplacedRules { request_rules, idempotence_rules };
            snapshot.replaced_rules.push(replaced.into());
        }
        for (path, host, kind) in requests {
            let target = match (kind, host) {
                (0, Some(host)) => format!("http://{host}{path}?q=/x"),
                _ => path,
            };
            let Ok(uri) = Uri::try_from(target) else { continue };
            let mut headers = HeaderMap::new();
            if let Some(host) = host {
                headers.insert(header::HOST, HeaderValue::from_static(host));
            }
            if kind > 0 {
                headers.insert("h", HeaderValue::from(u16::from(kind)));
            }
            let head = RequestHead { method: &Method::GET, uri: &uri, headers: &headers };
            let class = classify(&snapshot, head);
            let route = class.route.map(|key| key.0 as usize);
            let tenant = class.tenant.to_string();
            let outcome = (class.labels, tenant, class.class.to_string(), route, class.mode);
            prop_assert_eq!(outcome, classify_linearly(&snapshot, head));
        }
    }
}

/// Guards against a cost of each request that grows with the number of routes: every rule that is
/// returned is evaluated.
#[test]
fn of_many_rules_with_hosts_and_prefixes_only_those_of_the_path_are_evaluated() {
    let mut snapshot = ConfigSnapshot::default();
    for index in 0..1400 {
        let host = format!("host-{}.example", index % 40);
        let matcher = json!({ "host": host, "path_prefix": format!("/path-{index}/") });
        snapshot.request_rules.push(RequestRule {
            name: format!("rule-{index}"),
            matcher: serde_json::from_value(matcher).unwrap(),
            labels: LabelSet::default(),
            tenant: None,
            class: None,
        });
    }
    let candidates = snapshot.request_rules.candidates(Some("host-7.example"), "/path-7/item");
    let names: Vec<&str> = candidates.map(|rule| rule.name.as_str()).collect();
    assert_eq!(names, ["rule-7"]);
}
