//! Measures how state and work grow with targets and rules, for `docs/CAPACITY.md`.
//!
//! Each slope has several points made by the code that the daemon runs: the size and the compile
//! time of a configuration against its targets, and the time to classify a request against the
//! number of rules.

use std::hint::black_box;
use std::time::Instant;

use heatherfall_platform_api::{ObjectEnvelope, ObjectList};
use http::{HeaderMap, Method, Uri};
use serde::Serialize;
use serde_json::{Value, json};

use crate::config::{ObjectSet, compile};
use crate::core::{CONFIG_KINDS, ConfigSnapshot, GenerationNumber};
use crate::request::{RequestHead, classify};

/// Compilations timed for each point; the median counts.
const COMPILE_ITERATIONS: usize = 15;
/// Classifications timed for each point.
const CLASSIFY_ITERATIONS: u32 = 20_000;

/// One point of the slope against targets.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct TargetPoint {
    /// Services.
    pub services: usize,
    /// Targets over all services.
    pub targets: usize,
    /// Size of all objects as JSON, in bytes.
    pub object_bytes: usize,
    /// Median time to compile, in microseconds.
    pub compile_us: f64,
}

/// One point of the slope against rules.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RulePoint {
    /// `RequestLabel` objects; there are as many routes and idempotence rules.
    pub rules: usize,
    /// Mean time to classify one request, in nanoseconds.
    pub classify_ns: f64,
}

/// All points.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct ScalingReport {
    /// Against targets.
    pub targets: Vec<TargetPoint>,
    /// Against rules.
    pub rules: Vec<RulePoint>,
}

/// Measures all points.
pub fn run() -> ScalingReport {
    let mut report = ScalingReport { targets: Vec::new(), rules: Vec::new() };
    for targets in [79, 197, 395, 790] {
        report.targets.push(target_point(20, targets));
    }
    for rules in [10, 20, 40, 80] {
        report.rules.push(rule_point(rules));
    }
    report
}

fn target_point(services: usize, targets: usize) -> TargetPoint {
    let objects = objects_of(services, targets);
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

fn rule_point(rules: usize) -> RulePoint {
    let objects = objects_of(rules, rules);
    let snapshot = compile(&objects, GenerationNumber(1), None).snapshot;
    RulePoint { rules, classify_ns: time_classify(&snapshot, rules) }
}

fn time_classify(snapshot: &ConfigSnapshot, services: usize) -> f64 {
    let method = Method::GET;
    let headers = HeaderMap::new();
    let mut uris = Vec::with_capacity(services);
    for service in 0..services {
        uris.extend(format!("/service-{service}/item").parse::<Uri>().ok());
    }
    let started = Instant::now();
    for run in 0..CLASSIFY_ITERATIONS as usize {
        let head = RequestHead { method: &method, uri: &uris[run % uris.len()], headers: &headers };
        black_box(classify(snapshot, head));
    }
    started.elapsed().as_secs_f64() * 1e9 / f64::from(CLASSIFY_ITERATIONS)
}

fn objects_of(services: usize, targets: usize) -> ObjectSet {
    let mut set = ObjectSet::default();
    let mut labels = Vec::new();
    let mut routes = Vec::new();
    let mut idempotence = Vec::new();
    let mut upstreams = Vec::new();
    for service in 0..services {
        let app = format!("app-{service}");
        let selector = format!("app={app}");
        labels.push(object(
            "RequestLabel",
            &app,
            &app,
            json!({
                "match": { "path_prefix": format!("/service-{service}") },
                "labels": { "app": app }, "tenant": "tenant", "class": app,
            }),
        ));
        routes.push(object(
            "Route",
            &app,
            &app,
            json!({
                "requests": selector, "upstreams": selector,
            }),
        ));
        idempotence.push(object(
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
        upstreams.push(object(
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
        set.replace_kind(kind, ObjectList { revision: 1, items });
    }
    set
}

fn object(kind: &str, name: &str, app: &str, spec: Value) -> ObjectEnvelope {
    ObjectEnvelope {
        kind: kind.to_owned(),
        name: name.to_owned(),
        labels: [("app".to_owned(), app.to_owned())].into(),
        spec,
        status: Value::Null,
        version: 1,
        spec_version: 1,
        change_id: String::new(),
    }
}
