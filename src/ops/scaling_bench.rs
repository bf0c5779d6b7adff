//! Benchmark of how state and processing time grow with targets and rules, for `docs/CAPACITY.md`.
//!
//! Three series are measured at several sizes with the code that the daemon runs: size and compile
//! time of a configuration by number of targets, time to classify a request by number of rules, and
//! the costs of a fleet's configuration by number of routes ([`route_bench`]).

use std::hint::black_box;
use std::time::Instant;

use heatherfall_platform_api::{ObjectEnvelope, ObjectList};
use http::{HeaderMap, Method, Uri};
use serde::Serialize;
use serde_json::{Value, json};

use crate::config::{ObjectSet, compile};
use crate::core::{CONFIG_KINDS, ConfigSnapshot, GenerationNumber};
use crate::ops::route_bench::{self, RoutePoint};
use crate::request::{RequestHead, classify};

/// Compilations timed for each point; the point is their median.
const COMPILE_ITERATIONS: usize = 15;
/// Classifications timed for each point; the point is their mean.
const CLASSIFY_ITERATIONS: u32 = 20_000;

/// Size and compile time of a configuration with a number of targets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct TargetPoint {
    /// Number of services, each with its own label, route and idempotence rule.
    pub services: usize,
    /// Number of targets of all services together.
    pub targets: usize,
    /// Total size of the configuration objects as JSON, in bytes.
    pub object_bytes: usize,
    /// Median compile time in microseconds.
    pub compile_us: f64,
}

/// Classification time with a number of rules.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RulePoint {
    /// Number of `RequestLabel` objects, of `Route` objects and of `Idempotence` objects.
    pub rules: usize,
    /// Mean time to classify one request, in nanoseconds.
    pub classify_ns: f64,
}

/// Result of the benchmark.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScalingReport {
    /// Series by number of targets.
    pub targets: Vec<TargetPoint>,
    /// Series by number of rules.
    pub rules: Vec<RulePoint>,
    /// Series by number of routes with a host and a path prefix.
    pub routes: Vec<RoutePoint>,
}

/// Measures all series.
pub fn run() -> ScalingReport {
    let mut report = ScalingReport { targets: Vec::new(), rules: Vec::new(), routes: Vec::new() };
    for targets in [79, 197, 395, 790] {
        report.targets.push(measure_targets(20, targets));
    }
    for rules in [10, 20, 40, 80] {
        report.rules.push(measure_rules(rules));
    }
    for routes in [12, 400, 1400] {
        report.routes.push(route_bench::measure_routes(routes));
    }
    report
}

fn measure_targets(services: usize, targets: usize) -> TargetPoint {
    let objects = build_objects(services, targets);
    let object_bytes = CONFIG_KINDS
        .iter()
        .flat_map(|kind| objects.objects_of_kind(kind.as_str()))
        .map(|object| serde_json::to_vec(object).map_or(0, |bytes| bytes.len()))
        .sum();
    let mut times = Vec::with_capacity(COMPILE_ITERATIONS);
    for _ in 0..COMPILE_ITERATIONS {
        let started = Instant::now();
        black_box(compile(&objects, GenerationNumber(1), None));
        times.push(started.elapsed());
    }
    times.sort_unstable();
    let compile_us = times[COMPILE_ITERATIONS / 2].as_secs_f64() * 1e6;
    TargetPoint { services, targets, object_bytes, compile_us }
}

fn measure_rules(rules: usize) -> RulePoint {
    let objects = build_objects(rules, rules);
    let snapshot = compile(&objects, GenerationNumber(1), None).snapshot;
    RulePoint { rules, classify_ns: mean_classify_ns(&snapshot, rules) }
}

fn mean_classify_ns(snapshot: &ConfigSnapshot, services: usize) -> f64 {
    let method = Method::GET;
    let headers = HeaderMap::new();
    let mut uris = Vec::with_capacity(services);
    for service in 0..services {
        uris.extend(format!("/service-{service}/item").parse::<Uri>().ok());
    }
    let started = Instant::now();
    for iteration in 0..CLASSIFY_ITERATIONS as usize {
        let head =
            RequestHead { method: &method, uri: &uris[iteration % uris.len()], headers: &headers };
        black_box(classify(snapshot, head));
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(CLASSIFY_ITERATIONS)
}

fn build_objects(services: usize, targets: usize) -> ObjectSet {
    let mut set = ObjectSet::default();
    let mut labels = Vec::new();
    let mut routes = Vec::new();
    let mut idempotence = Vec::new();
    let mut upstreams = Vec::new();
    for service in 0..services {
        let app = format!("app-{service}");
        let selector = format!("app={app}");
        labels.push(envelope(
            "RequestLabel",
            &app,
            &app,
            json!({
                "match": { "path_prefix": format!("/service-{service}") },
                "labels": { "app": app }, "tenant": "tenant", "class": app,
            }),
        ));
        routes.push(envelope(
            "Route",
            &app,
            &app,
            json!({
                "requests": selector, "upstreams": selector,
            }),
        ));
        idempotence.push(envelope(
            "Idempotence",
            &app,
            &app,
            json!({
                "requests": selector, "mode": "idempotent",
            }),
        ));
    }
    for target in 0..targets {
        let app = format!("app-{}", target % services);
        upstreams.push(envelope(
            "Upstream",
            &format!("target-{target}"),
            &app,
            json!({
                "address": format!("127.0.{}.{}:8080", target / 250, target % 250 + 1),
                "failure_domain": format!("fd-{}", target % 6),
                "slots": 4, "max_connections": 250,
            }),
        ));
    }
    let lists = [
        ("RequestLabel", labels),
        ("Route", routes),
        ("Idempotence", idempotence),
        ("Upstream", upstreams),
    ];
    for (kind, items) in lists {
        set.replace_kind(kind, ObjectList { revision: 1, items, ..ObjectList::default() });
    }
    set
}

fn envelope(kind: &str, name: &str, app: &str, spec: Value) -> ObjectEnvelope {
    ObjectEnvelope {
        kind: kind.to_owned(),
        name: name.to_owned(),
        labels: [("app".to_owned(), app.to_owned())].into(),
        spec,
        status: Value::Null,
        version: 1,
        spec_version: 1,
        change_id: String::new(),
        era: Default::default(),
    }
}
