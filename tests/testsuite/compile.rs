//! Compilation of objects into snapshots.

use std::sync::Arc;

use heatherfall::config::{CompileOutcome, DeclaredUpstream, ObjectSet, compile, with_upstreams};
use heatherfall::core::{
    ConfigSnapshot, GenerationNumber, LabelSelector, LabelSet, ResultCode, UpstreamKey,
};
use heatherfall::platform::{ObjectEnvelope, ObjectList};
use proptest::prelude::*;
use serde_json::{Value, json};

fn object(kind: &str, name: &str, version: u64, spec: Value) -> ObjectEnvelope {
    ObjectEnvelope {
        kind: kind.to_owned(),
        name: name.to_owned(),
        labels: [("app".to_owned(), "lookups".to_owned())].into(),
        spec,
        status: Value::Null,
        version,
        spec_version: version,
        change_id: String::new(),
        era: Default::default(),
    }
}

fn upstream(port: u16, is_draining: bool) -> Value {
    json!({ "address": format!("127.0.0.1:{port}"), "failure_domain": "fd-a", "draining": is_draining })
}

fn compile_one(
    number: u64,
    objects: Vec<ObjectEnvelope>,
    previous: Option<&ConfigSnapshot>,
) -> CompileOutcome {
    let mut set = ObjectSet::default();
    for kind in ["Upstream", "Route"] {
        let items = objects.iter().filter(|object| object.kind == kind).cloned().collect();
        set.replace_kind(kind, ObjectList { revision: number, items, ..ObjectList::default() });
    }
    compile(&set, GenerationNumber(number), previous)
}

fn only_key(snapshot: &ConfigSnapshot) -> UpstreamKey {
    snapshot.upstreams.keys().next().expect("one upstream")
}

#[test]
fn an_upstream_keeps_its_key_and_requests_in_flight_when_its_spec_changes() {
    let first = compile_one(1, vec![object("Upstream", "u", 1, upstream(1, false))], None).snapshot;
    let key = only_key(&first);
    let guard = first.upstreams[key].start_request();
    let changed = vec![object("Upstream", "u", 2, upstream(1, true))];
    let second = compile_one(2, changed, Some(&first)).snapshot;
    assert_eq!(only_key(&second), key);
    assert_eq!(second.upstreams[key].inflight(), 1);
    assert!(second.upstreams[key].is_draining());
    drop(guard);
    assert_eq!(second.upstreams[key].inflight(), 0);
}

#[test]
fn an_upstream_at_another_address_gets_a_new_key() {
    let first = compile_one(1, vec![object("Upstream", "u", 1, upstream(1, false))], None).snapshot;
    let _guard = first.upstreams[only_key(&first)].start_request();
    let moved = vec![object("Upstream", "u", 2, upstream(2, false))];
    let second = compile_one(2, moved, Some(&first)).snapshot;
    assert_ne!(only_key(&second), only_key(&first));
    assert_eq!(second.upstreams.len(), 1);
    assert_eq!(second.upstreams[only_key(&second)].inflight(), 0);
}

#[test]
fn an_invalid_object_is_left_out_and_reported_with_its_field() {
    let route = json!({ "requests": "app=lookups", "upstreams": "app in (" });
    let outcome = compile_one(
        1,
        vec![object("Upstream", "u", 1, upstream(1, false)), object("Route", "r", 2, route)],
        None,
    );
    assert_eq!(outcome.snapshot.upstreams.len(), 1);
    assert!(outcome.snapshot.routes.is_empty());
    assert_eq!(outcome.errors.len(), 1);
    assert_eq!(outcome.errors[0].code, ResultCode::SpecMalformed);
    assert!(outcome.errors[0].message.starts_with("spec.upstreams:"), "{:?}", outcome.errors);
}

/// Guards against a list of upstreams for each route and snapshot, which takes tens of megabytes at
/// 1,400 routes.
#[test]
fn routes_with_one_selector_share_their_upstreams_and_a_snapshot_shares_unchanged_ones() {
    let route = json!({ "requests": "route=a", "upstreams": "app in (lookups,packs)" });
    let objects = vec![object("Route", "a", 1, route.clone()), object("Route", "b", 1, route)];
    let rules = compile_one(1, objects, None).snapshot;
    let declared = |name: &str, app: &str| DeclaredUpstream {
        name: name.to_owned(),
        labels: LabelSet::new([("app".to_owned(), app.to_owned())].into()),
        spec: serde_json::from_value(upstream(1, false)).expect("a spec"),
    };
    let first = with_upstreams(&rules, vec![declared("u", "packs")], None);
    assert_eq!(first.routes[0].upstreams.len(), 1);
    assert!(Arc::ptr_eq(&first.routes[0].upstreams, &first.routes[1].upstreams));
    let other = vec![declared("u", "packs"), declared("v", "reads")];
    let second = with_upstreams(&rules, other, Some(&first));
    assert!(Arc::ptr_eq(&second.routes[0].upstreams, &first.routes[0].upstreams));
    assert!(Arc::ptr_eq(&second.routes[1].spec, &rules.routes[1].spec));
    let changed = vec![declared("u", "packs"), declared("w", "lookups")];
    let third = with_upstreams(&rules, changed, Some(&second));
    assert_eq!(third.routes[1].upstreams.len(), 2);
}

proptest! {
    /// Guards against an index of the upstreams' labels that misses one, repeats one or changes
    /// their order.
    #[test]
    fn a_route_has_the_upstreams_that_its_selector_matches_in_name_order(
        labels in prop::collection::vec(prop::collection::btree_map("[ab]", "[0-3]", 0..3), 0..12),
        selector in "([ab]=[0-3],)?[ab] (not)?in \\([0-3],[0-3],[0-3]\\)(,!?[ab])?",
    ) {
        let route = json!({ "requests": "", "upstreams": selector.as_str() });
        let rules = compile_one(1, vec![object("Route", "r", 1, route)], None).snapshot;
        let mut declared = Vec::new();
        for (index, labels) in labels.into_iter().enumerate() {
            let spec = serde_json::from_value(upstream(1, false)).expect("a spec");
            let name = format!("u{}", index * 7 % 12);
            declared.push(DeclaredUpstream { name, labels: LabelSet::new(labels), spec });
        }
        let snapshot = with_upstreams(&rules, declared, None);
        let selector: LabelSelector = selector.parse().expect("a selector");
        let mut wanted: Vec<_> = snapshot.upstreams.iter().collect();
        wanted.retain(|(_, upstream)| selector.matches(&upstream.labels));
        wanted.sort_by(|a, b| a.1.name.cmp(&b.1.name));
        let wanted: Vec<UpstreamKey> = wanted.into_iter().map(|(key, _)| key).collect();
        prop_assert_eq!(snapshot.routes[0].upstreams.to_vec(), wanted);
    }
}
