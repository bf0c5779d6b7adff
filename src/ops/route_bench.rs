//! Benchmark of a fleet's configuration by its number of routes, for `docs/CAPACITY.md`.
//!
//! Each route has a host and a path prefix and selects the upstreams of two services by
//! `service in (...)`, in the form that the fleet's configuration is compiled to.

use std::hint::black_box;
use std::sync::Arc;
use std::time::{Duration, Instant};

use heatherfall_platform_api::{ObjectEnvelope, ObjectList};
use http::{HeaderMap, HeaderValue, Method, Uri, header};
use serde::Serialize;
use serde_json::{Value, json};

use crate::config::{DeclaredUpstream, ObjectSet, compile, with_upstreams};
use crate::core::{ConfigSnapshot, GenerationNumber, LabelSet, RouteKey};
use crate::limits::LimitTable;
use crate::request::{RequestHead, classify};

/// Snapshots over which memory is measured, and whose limits are timed.
const RECOMPILE_ITERATIONS: usize = 100;
/// Snapshots that are kept before memory is measured. They use up what compiling the rules freed; the
/// time of a recompilation is the median of these and the others.
const WARM_UP_SNAPSHOTS: usize = 100;
/// Classifications timed for each point; the point is their mean.
const CLASSIFY_ITERATIONS: usize = 20_000;
/// Upstreams of all services together.
const UPSTREAMS: usize = 250;
/// Services, each with an equal part of the upstreams.
const SERVICES: usize = 20;
/// Bytes of a page of `/proc/self/statm`.
const PAGE_BYTES: f64 = 4096.0;

/// Processing time and memory with a number of routes.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RoutePoint {
    /// Number of routes.
    pub routes: usize,
    /// Mean time to classify one request, in nanoseconds.
    pub classify_ns: f64,
    /// Median time to compile a change of the upstreams, in microseconds.
    pub recompile_us: f64,
    /// Median time of the first use of a route's limits under a new snapshot, in microseconds.
    pub limits_us: f64,
    /// Resident memory that a further snapshot takes, in kilobytes; 0 where the system does not
    /// report it.
    pub snapshot_kb: f64,
}

/// Measures a configuration with `routes` routes.
pub fn measure_routes(routes: usize) -> RoutePoint {
    let rules = compile(&build_objects(routes), GenerationNumber(1), None).snapshot;
    let mut current = Arc::new(with_upstreams(&rules, build_upstreams(), None));
    let table = LimitTable::default();
    let (mut compile_times, mut limit_times) = (Vec::new(), Vec::new());
    let mut kept = Vec::with_capacity(WARM_UP_SNAPSHOTS + RECOMPILE_ITERATIONS);
    let mut resident = 0.0;
    for iteration in 0..WARM_UP_SNAPSHOTS + RECOMPILE_ITERATIONS {
        if iteration == WARM_UP_SNAPSHOTS {
            resident = resident_bytes();
        }
        let declared = build_upstreams();
        let started = Instant::now();
        current = Arc::new(with_upstreams(&rules, declared, Some(&current)));
        compile_times.push(started.elapsed());
        kept.push(Arc::clone(&current));
    }
    let snapshot_kb = (resident_bytes() - resident) / 1024.0 / RECOMPILE_ITERATIONS as f64;
    for snapshot in kept.iter().take(RECOMPILE_ITERATIONS) {
        let started = Instant::now();
        black_box(table.get(snapshot, RouteKey(0)));
        limit_times.push(started.elapsed());
    }
    RoutePoint {
        routes,
        classify_ns: mean_classify_ns(&current, routes),
        recompile_us: median_us(compile_times),
        limits_us: median_us(limit_times),
        snapshot_kb: snapshot_kb.max(0.0),
    }
}

fn median_us(mut times: Vec<Duration>) -> f64 {
    times.sort_unstable();
    times[times.len() / 2].as_secs_f64() * 1e6
}

fn resident_bytes() -> f64 {
    let text = std::fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split(' ').nth(1).and_then(|pages| pages.parse::<f64>().ok());
    pages.unwrap_or_default() * PAGE_BYTES
}

fn mean_classify_ns(snapshot: &ConfigSnapshot, routes: usize) -> f64 {
    let method = Method::GET;
    let mut heads = Vec::with_capacity(routes);
    for route in 0..routes {
        let Ok(uri) = format!("/path-{route}/item").parse::<Uri>() else { continue };
        let Ok(host) = HeaderValue::from_str(&host_of(route)) else { continue };
        heads.push((uri, HeaderMap::from_iter([(header::HOST, host)])));
    }
    let started = Instant::now();
    for iteration in 0..CLASSIFY_ITERATIONS {
        let (uri, headers) = &heads[iteration % heads.len()];
        black_box(classify(snapshot, RequestHead { method: &method, uri, headers }));
    }
    started.elapsed().as_secs_f64() * 1e9 / CLASSIFY_ITERATIONS as f64
}

fn host_of(route: usize) -> String {
    format!("host-{}.example", route % 40)
}

fn build_objects(routes: usize) -> ObjectSet {
    let mut set = ObjectSet::default();
    let (mut labels, mut specs, mut idempotence) = (Vec::new(), Vec::new(), Vec::new());
    for route in 0..routes {
        let name = format!("route-{route}");
        let prefix = format!("/path-{route}/");
        let label = json!({
            "match": { "host": host_of(route), "path_prefix": prefix },
            "labels": { "route": name, "repeat": "safe" },
            "class": name,
            "priority": prefix.len(),
        });
        let (first, second) = (route % SERVICES, (route / SERVICES + route + 1) % SERVICES);
        let spec = json!({
            "requests": format!("route={name}"),
            "upstreams": format!("service in (service-{first},service-{second})"),
        });
        labels.push(envelope("RequestLabel", &name, label));
        specs.push(envelope("Route", &name, spec));
    }
    for (repeat, mode) in [("safe", "idempotent"), ("never", "at-most-once")] {
        let spec = json!({ "requests": format!("repeat={repeat}"), "mode": mode });
        idempotence.push(envelope("Idempotence", repeat, spec));
    }
    for (kind, items) in [("RequestLabel", labels), ("Route", specs), ("Idempotence", idempotence)]
    {
        set.replace_kind(kind, ObjectList { revision: 1, items, ..ObjectList::default() });
    }
    set
}

fn build_upstreams() -> Vec<DeclaredUpstream> {
    let mut declared = Vec::with_capacity(UPSTREAMS);
    for upstream in 0..UPSTREAMS {
        let service = format!("service-{}", upstream % SERVICES);
        let spec = json!({
            "address": format!("127.0.1.{}:8080", upstream + 1),
            "failure_domain": format!("fd-{}", upstream % 3),
        });
        let Ok(spec) = serde_json::from_value(spec) else { continue };
        let labels = LabelSet::new([("service".to_owned(), service)].into());
        declared.push(DeclaredUpstream { name: format!("upstream-{upstream}"), labels, spec });
    }
    declared
}

fn envelope(kind: &str, name: &str, spec: Value) -> ObjectEnvelope {
    ObjectEnvelope {
        kind: kind.to_owned(),
        name: name.to_owned(),
        labels: Default::default(),
        spec,
        status: Value::Null,
        version: 1,
        spec_version: 1,
        change_id: String::new(),
        era: Default::default(),
    }
}
