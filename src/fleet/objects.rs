//! Turns a declared configuration into the labelled objects that [`crate::config::compile`] takes.
//!
//! Upstreams change far more often and are declared directly, without objects.
//!
//! Each route becomes a `RequestLabel`, which labels its requests with the route's name and whether
//! they may be repeated, and a `Route`, which selects requests and upstreams by label. Two
//! `Idempotence` objects select requests by that label, so idempotence does not depend on a
//! request's method or path.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::{Value, json};

use crate::config::{DeclaredUpstream, ObjectSet};
use crate::core::{IdempotenceMode, LabelSet, ObjectKind, UpstreamSpec};
use crate::fleet::codec::{DeclaredConfig, DeclaredRoute, DeclaredService, RegisteredUpstream};
use crate::platform::{ObjectEnvelope, ObjectList, Revision, StoreEra};
use crate::util::duration_text;

/// Request label: name of the route.
const ROUTE_LABEL: &str = "route";
/// Request label: whether the request may run more than once.
const REPEAT_LABEL: &str = "repeat";
/// Value of [`REPEAT_LABEL`] for idempotent requests.
const REPEAT_SAFE: &str = "safe";
/// Value of [`REPEAT_LABEL`] for at-most-once requests.
const REPEAT_NEVER: &str = "never";
/// Upstream label: name of the service.
const SERVICE_LABEL: &str = "service";
/// Upstream label: region, of upstreams whose failure domain has a known one.
const REGION_LABEL: &str = "region";
/// Connection limit of an upstream whose service the configuration does not declare.
const DEFAULT_MAX_CONNECTIONS: u32 = 32;

/// Replaces the `RequestLabel`, `Route` and `Idempotence` objects by those of `config`.
pub fn set_config_objects(objects: &mut ObjectSet, config: &DeclaredConfig, revision: Revision) {
    let mut labels = ObjectList::default();
    let mut routes = ObjectList::default();
    for route in &config.routes {
        labels.items.push(label_object(route, revision));
        routes.items.push(route_object(route, revision));
    }
    objects.replace_kind(ObjectKind::RequestLabel.as_str(), labels);
    objects.replace_kind(ObjectKind::Route.as_str(), routes);
    objects.replace_kind(ObjectKind::Idempotence.as_str(), idempotence_objects(revision));
}

/// Declares a registered upstream; `service` is the declaration of its service, if there is one, and
/// `region` that of its failure domain, if it is known.
pub fn declared_upstream(
    upstream: &RegisteredUpstream,
    service: Option<&DeclaredService>,
    region: Option<&str>,
) -> DeclaredUpstream {
    let spec = UpstreamSpec {
        address: upstream.address,
        failure_domain: upstream.failure_domain.clone(),
        slots: upstream.slots,
        max_connections: service.map_or(DEFAULT_MAX_CONNECTIONS, |found| found.max_connections),
        draining: upstream.is_draining,
        health_path: service.map(|found| found.health_path.clone()),
        warm_up: upstream.warm_up,
        warm_up_per_second: service.and_then(|found| found.warm_up_per_second),
        started_ms: upstream.order.started_ms,
    };
    let mut labels = BTreeMap::from([(SERVICE_LABEL.to_owned(), upstream.service.clone())]);
    if let Some(region) = region {
        labels.insert(REGION_LABEL.to_owned(), region.to_owned());
    }
    DeclaredUpstream { name: upstream.instance.clone(), labels: LabelSet::new(labels), spec }
}

fn label_object(route: &DeclaredRoute, revision: Revision) -> ObjectEnvelope {
    let repeat = match route.mode {
        IdempotenceMode::Idempotent => REPEAT_SAFE,
        IdempotenceMode::AtMostOnce => REPEAT_NEVER,
    };
    let spec = json!({
        "match": { "host": route.host, "path_prefix": route.path_prefix },
        "labels": { ROUTE_LABEL: route.name, REPEAT_LABEL: repeat },
        "class": route.name,
        "priority": route.path_prefix.len(),
    });
    envelope(ObjectKind::RequestLabel, &route.name, spec, revision)
}

fn route_object(route: &DeclaredRoute, revision: Revision) -> ObjectEnvelope {
    let services: Vec<&str> = route.backends.iter().map(|part| part.service.as_str()).collect();
    let mut home_selector = String::new();
    if !route.allowed_regions.is_empty() {
        home_selector = format!(",{REGION_LABEL} in ({})", route.allowed_regions.join(","));
    }
    let mut parts = Vec::new();
    if route.backends.len() > 1 {
        for backend in &route.backends {
            let selector = format!("{SERVICE_LABEL}={}{home_selector}", backend.service);
            parts.push(json!({ "upstreams": selector, "weight": backend.weight }));
        }
    }
    let timeout = DurationText(route.timeout);
    let spec = json!({
        "requests": format!("{ROUTE_LABEL}={}", route.name),
        "upstreams": format!("{SERVICE_LABEL} in ({}){home_selector}", services.join(",")),
        "deadline": timeout,
        "goal": DurationText(route.goal),
        "rank": route.rank,
        "retry": { "max_attempts": route.max_attempts, "attempt_timeout": timeout },
        "parts": parts,
        "public": route.is_public,
    });
    envelope(ObjectKind::Route, &route.name, spec, revision)
}

fn idempotence_objects(revision: Revision) -> ObjectList {
    let mut list = ObjectList::default();
    for (repeat, mode) in [(REPEAT_SAFE, "idempotent"), (REPEAT_NEVER, "at-most-once")] {
        let spec = json!({ "requests": format!("{REPEAT_LABEL}={repeat}"), "mode": mode });
        list.items.push(envelope(ObjectKind::Idempotence, repeat, spec, revision));
    }
    list
}

fn envelope(kind: ObjectKind, name: &str, spec: Value, revision: Revision) -> ObjectEnvelope {
    ObjectEnvelope {
        kind: kind.as_str().to_owned(),
        name: name.to_owned(),
        labels: BTreeMap::new(),
        spec,
        status: Value::Null,
        version: revision,
        spec_version: revision,
        change_id: String::new(),
        era: StoreEra::UNKNOWN,
    }
}

/// Serializes a duration as text, as settings and objects have it.
#[derive(Clone, Copy, Serialize)]
#[serde(transparent)]
struct DurationText(#[serde(with = "duration_text")] std::time::Duration);
