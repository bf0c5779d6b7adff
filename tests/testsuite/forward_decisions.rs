//! Requests that are forwarded between entries with different generations, on the paused clock.

use std::sync::Arc;

use heatherfall::balance::PathVerdict;
use heatherfall::core::{
    ConfigSnapshot, GenerationNumber, IdempotenceMode, IdempotenceRule, RouteRecord,
    SharedSnapshot, TenantId,
};
use heatherfall::request::{RequestClass, RequestDecision, RequestHead, classify};
use http::{HeaderMap, Method, Request, StatusCode, Uri};
use proptest::prelude::*;
use serde_json::{Value, json};
use tokio::time::Instant;

use crate::path_forwarding::{Fleet, code, is_not_run};
use crate::support::three_upstream_snapshot;

/// How a generation differs from the one of the entry that forwards.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ConfigChange {
    /// Only the number of the generation is another one.
    Number,
    Deadline,
    AttemptTimeout,
    OtherRoute,
    /// The others concern the request.
    Upstreams,
    Parts,
    Attempts,
    Rank,
    Public,
    AtMostOnce,
    Tenant,
    LongerRoute,
    NoRoute,
}

const CHANGES: [ConfigChange; 13] = [
    ConfigChange::Number,
    ConfigChange::Deadline,
    ConfigChange::AttemptTimeout,
    ConfigChange::OtherRoute,
    ConfigChange::Upstreams,
    ConfigChange::Parts,
    ConfigChange::Attempts,
    ConfigChange::Rank,
    ConfigChange::Public,
    ConfigChange::AtMostOnce,
    ConfigChange::Tenant,
    ConfigChange::LongerRoute,
    ConfigChange::NoRoute,
];

impl ConfigChange {
    /// Whether the change leaves what is decided about requests to `/read` as it was.
    fn is_harmless(self) -> bool {
        use ConfigChange::{AttemptTimeout, Deadline, Number, OtherRoute};
        matches!(self, Number | Deadline | AttemptTimeout | OtherRoute)
    }

    fn apply(self, snapshot: &mut ConfigSnapshot) {
        match self {
            Self::Number => {}
            Self::Deadline => set_route(snapshot, json!({ "deadline": "101ms" })),
            Self::AttemptTimeout => {
                set_route(snapshot, json!({ "retry": { "attempt_timeout": "1s" } }));
            }
            Self::OtherRoute => add_route(snapshot, "other", "work=other"),
            Self::Upstreams => set_route(snapshot, json!({ "upstreams": "app=b" })),
            Self::Parts => {
                let parts = json!([{ "upstreams": "app=b", "weight": 1 }]);
                set_route(snapshot, json!({ "parts": parts }));
            }
            Self::Attempts => set_route(snapshot, json!({ "retry": { "max_attempts": 1 } })),
            Self::Rank => set_route(snapshot, json!({ "rank": 3 })),
            Self::Public => set_route(snapshot, json!({ "public": true })),
            Self::AtMostOnce => snapshot.idempotence_rules.push(IdempotenceRule {
                name: "no-reads".into(),
                requests: "work=read".parse().unwrap(),
                mode: IdempotenceMode::AtMostOnce,
            }),
            Self::Tenant => {
                let mut rules: Vec<_> = snapshot.request_rules.to_vec();
                rules[0].tenant = Some(TenantId::new("other"));
                snapshot.request_rules = rules.into();
            }
            Self::LongerRoute => {
                let only = snapshot.routes[0].clone();
                let longer = RouteRecord { name: "longer".into(), ..only.clone() };
                snapshot.routes = vec![longer, only].into();
            }
            Self::NoRoute => snapshot.routes = Vec::new().into(),
        }
    }
}

fn set_route(snapshot: &mut ConfigSnapshot, fields: Value) {
    let mut route = snapshot.routes[0].clone();
    let mut spec = serde_json::to_value(&*route.spec).unwrap();
    for (key, value) in fields.as_object().unwrap() {
        spec[key] = value.clone();
    }
    route.spec = Arc::new(serde_json::from_value(spec).unwrap());
    snapshot.routes = vec![route].into();
}

fn add_route(snapshot: &mut ConfigSnapshot, name: &str, requests: &str) {
    let only = snapshot.routes[0].clone();
    let mut spec = (*only.spec).clone();
    spec.requests = requests.parse().unwrap();
    let other = RouteRecord { name: name.into(), spec: Arc::new(spec), ..only.clone() };
    snapshot.routes = vec![other, only].into();
}

fn change(shared: &SharedSnapshot, generation: u64, changes: &[ConfigChange]) {
    let mut snapshot = (*shared.load_full().unwrap()).clone();
    snapshot.generation = GenerationNumber(generation);
    changes.iter().for_each(|change| change.apply(&mut snapshot));
    shared.store(Some(Arc::new(snapshot)));
}

/// Guards against a zone without a path that is served by no other one while versions come quickly, and
/// against a request that runs as only one of two versions allows.
#[tokio::test(start_paused = true)]
async fn a_peer_with_another_generation_takes_what_both_decide_alike_and_nothing_else() {
    for generation in [6, 8] {
        for changed in CHANGES {
            let fleet = Fleet::with_cut_entry(1);
            change(&fleet.snapshots[1], generation, &[changed]);
            let response = fleet.send("/read").await;
            let context = format!("{changed:?}, generation {generation}");
            assert_eq!(response.status() == StatusCode::OK, changed.is_harmless(), "{context}");
            assert_eq!(is_not_run(&response), !changed.is_harmless(), "{context}");
            assert_eq!(fleet.runs(), usize::from(changed.is_harmless()), "{context}");
            if !changed.is_harmless() {
                assert_eq!(code(&response), "HF-1003", "{context}");
            }
        }
    }
}

/// Guards against at-most-once work that runs twice because two entries send it.
#[tokio::test(start_paused = true)]
async fn at_most_once_work_runs_once_at_a_peer_with_another_generation() {
    let fleet = Fleet::with_cut_entry(3);
    for snapshot in &fleet.snapshots[1..] {
        change(snapshot, 8, &[ConfigChange::Deadline]);
    }
    for runs in 1..=5 {
        let response = fleet.send("/write").await;
        assert_eq!(response.status(), StatusCode::OK);
        assert_eq!((fleet.runs(), fleet.forwards()), (runs, runs));
    }
}

/// Guards against a request that the entry sends by the path that it knows to be lost, because its peers
/// have another configuration: its outcome is then unknown, and it was refused nowhere.
#[tokio::test(start_paused = true)]
async fn a_request_that_peers_decide_otherwise_is_refused_and_not_sent_by_the_lost_path() {
    for path in ["/read", "/write"] {
        let fleet = Fleet::with_cut_entry(2);
        let lost = fleet.entry.path();
        for _ in 0..2 {
            lost.conclude(PathVerdict::NoResponse, Instant::now());
        }
        assert!(lost.is_cut() && lost.accepts_connections());
        for snapshot in &fleet.snapshots[1..] {
            change(snapshot, 8, &[ConfigChange::Rank]);
        }
        let response = fleet.send(path).await;
        assert!(is_not_run(&response), "{path}: {}", code(&response));
        assert_eq!(fleet.runs(), 0, "{path}");
    }
}

fn decided(snapshot: &ConfigSnapshot, path: &str) -> (RequestClass, Option<RequestDecision>) {
    let (method, uri) = (Method::GET, path.parse::<Uri>().unwrap());
    let headers = HeaderMap::new();
    let class = classify(snapshot, RequestHead { method: &method, uri: &uri, headers: &headers });
    let decision = RequestDecision::new(snapshot, &class);
    (class, decision)
}

proptest! {
    /// Guards against two generations whose decisions compare as equal and are not.
    #[test]
    fn equal_decisions_have_the_same_route_mode_tenant_and_upstreams(
        first in prop::collection::vec(prop::sample::select(CHANGES.to_vec()), 0..4),
        second in prop::collection::vec(prop::sample::select(CHANGES.to_vec()), 0..4),
        path in prop::sample::select(vec!["/read", "/write"]),
    ) {
        let [one, other] = [&first, &second].map(|changes| {
            let shared = three_upstream_snapshot(json!({}), Default::default());
            for changed in changes.iter().filter(|it| **it != ConfigChange::NoRoute) {
                change(&shared, 1, &[*changed]);
            }
            if changes.contains(&ConfigChange::NoRoute) {
                change(&shared, 1, &[ConfigChange::NoRoute]);
            }
            shared.load_full().unwrap()
        });
        let [(class, decision), (other_class, other_decision)] =
            [decided(&one, path), decided(&other, path)];
        prop_assert_eq!(decision.is_none(), class.route.is_none());
        let (Some(decision), Some(other_decision)) = (decision, other_decision) else {
            return Ok(());
        };
        let [route, other_route] = [(&one, &class), (&other, &other_class)]
            .map(|(snapshot, class)| snapshot.route(class.route.unwrap()).unwrap());
        let is_alike = class.mode == other_class.mode
            && class.tenant == other_class.tenant
            && class.rank == other_class.rank
            && route.name == other_route.name
            && route.spec.upstreams == other_route.spec.upstreams
            && route.spec.parts == other_route.spec.parts
            && route.spec.public == other_route.spec.public
            && route.spec.retry.max_attempts == other_route.spec.retry.max_attempts;
        prop_assert_eq!(decision == other_decision, is_alike, "{:?} {:?}", first, second);
    }
}

/// Guards against a peer of a build that does not tell what it has decided, whose requests would be taken
/// unchecked.
#[test]
fn a_request_without_a_decision_is_taken_by_its_own_generation_only() {
    let fleet = Fleet::with_cut_entry(1);
    for (value, generation, is_taken) in
        [("7 1 first - 00", 7, true), ("7 1 first - 00", 8, false), ("8 1 first - 00", 7, false)]
    {
        change(&fleet.snapshots[1], generation, &[]);
        let request = Request::get("/read").header("heatherfall-forwarded", value);
        let (parts, ()) = request.body(()).unwrap().into_parts();
        assert_eq!(fleet.peers[0].check_forwarded(&parts).is_ok(), is_taken, "{generation}");
    }
}
