//! Compilation of objects into snapshots.

use heatherfall::config::{CompileOutcome, ObjectSet, compile};
use heatherfall::core::{ConfigSnapshot, GenerationNumber, ResultCode, UpstreamKey};
use heatherfall::platform::{ObjectEnvelope, ObjectList};
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
