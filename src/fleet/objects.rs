//! A declared configuration as the labelled objects that [`crate::config::compile`] takes.
//!
//! Upstreams, which change far more often, are declared without the detour over objects.
//!
//! Each route becomes a `RequestLabel` that names it on its requests and says whether they may be
//! repeated, and a `Route` that selects requests and upstreams by those labels. Idempotence is a
//! matter of two selectors over the label, not of a request's method or path.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::{Value, json};

use crate::config::{DeclaredUpstream, ObjectSet};
use crate::core::{LabelSet, ObjectKind, UpstreamSpec};
use crate::fleet::codec::{DeclaredConfig, DeclaredRoute, DeclaredService, RegisteredUpstream};
use crate::platform::{ObjectEnvelope, ObjectList, Revision};
use crate::util::duration_text;

/// Label of requests: name of their route.
const ROUTE_LABEL: &str = "route";
/// Label of requests: whether they may run more than once.
const REPEAT_LABEL: &str = "repeat";
/// Value of [`REPEAT_LABEL`] for idempotent requests.
const REPEAT_SAFE: &str = "safe";
/// Value of [`REPEAT_LABEL`] for at-most-once requests.
const REPEAT_NEVER: &str = "never";
/// Label of upstreams: name of their service.
const SERVICE_LABEL: &str = "service";
/// Connections to an upstream whose service is not declared.
const DEFAULT_MAX_CONNECTIONS: u32 = 32;

/// Replaces the objects of the configuration.
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

/// An upstream as it is compiled; `service` is what the configuration declares of its service.
pub fn declared_upstream(
    upstream: &RegisteredUpstream,
    service: Option<&DeclaredService>,
) -> DeclaredUpstream {
    let spec = UpstreamSpec {
        address: upstream.address,
        failure_domain: upstream.failure_domain.clone(),
        slots: upstream.slots,
        max_connections: service.map_or(DEFAULT_MAX_CONNECTIONS, |found| found.max_connections),
        draining: upstream.is_draining,
        health_path: service.map(|found| found.health_path.clone()),
        warm_up: upstream.warm_up,
    };
    let labels = BTreeMap::from([(SERVICE_LABEL.to_owned(), upstream.service.clone())]);
    DeclaredUpstream { name: upstream.instance.clone(), labels: LabelSet::new(labels), spec }
}

fn label_object(route: &DeclaredRoute, revision: Revision) -> ObjectEnvelope {
    let repeat = if route.is_idempotent { REPEAT_SAFE } else { REPEAT_NEVER };
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
    let mut parts = Vec::new();
    if route.backends.len() > 1 {
        for backend in &route.backends {
            let selector = format!("{SERVICE_LABEL}={}", backend.service);
            parts.push(json!({ "upstreams": selector, "weight": backend.weight }));
        }
    }
    let timeout = DurationText(route.timeout);
    let spec = json!({
        "requests": format!("{ROUTE_LABEL}={}", route.name),
        "upstreams": format!("{SERVICE_LABEL} in ({})", services.join(",")),
        "deadline": timeout,
        "goal": DurationText(route.goal),
        "rank": route.rank,
        "retry": { "max_attempts": route.max_attempts, "attempt_timeout": timeout },
        "parts": parts,
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
    }
}

/// A duration that is written as in settings and objects.
#[derive(Clone, Copy, Serialize)]
#[serde(transparent)]
struct DurationText(#[serde(with = "duration_text")] std::time::Duration);
