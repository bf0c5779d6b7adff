//! Explains how a configuration classifies and routes a request.

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Serialize;

use crate::config::{GENERATION_KIND, GENERATION_NAME, GenerationContent, ObjectSet, compile};
use crate::core::{
    CONFIG_KINDS, ConfigSnapshot, Criticality, GenerationNumber, IdempotenceMode, LabelSet,
    RouteRecord,
};
use crate::ops::object_error::ObjectError;
use crate::platform::{PlatformStore, StoreError};
use crate::request::{RequestHead, classify, matches_request};
use crate::util::duration_text;

/// Classification and route of a request under one configuration, with the rules that decided.
#[derive(Clone, Debug, Serialize)]
pub struct RequestExplanation {
    /// Generation of the configuration; 0 for one that is compiled from the present objects.
    pub generation: GenerationNumber,
    /// Matching `RequestLabel` rules in order of precedence.
    pub rules: Vec<MatchedRule>,
    /// Labels that the rules give to the request.
    pub labels: LabelSet,
    /// Tenant that the request is attributed to.
    pub tenant: String,
    /// Request class.
    pub class: String,
    /// Routes that select the request, in order of precedence; the first is taken.
    pub routes: Vec<MatchedRoute>,
    /// Whether the request may run more than once.
    pub idempotence: IdempotenceDecision,
    /// Upstreams that the taken route selects.
    pub upstreams: Vec<SelectedUpstream>,
}

/// A `RequestLabel` rule that matches the request.
#[derive(Clone, Debug, Serialize)]
pub struct MatchedRule {
    /// Object name.
    pub name: String,
    /// Settings that the rule contributes, as `key=value`.
    pub sets: Vec<String>,
    /// Settings of the rule that a rule of higher precedence overrides, as `key=value`.
    pub overruled: Vec<String>,
}

/// A route that selects the request.
#[derive(Clone, Debug, Serialize)]
pub struct MatchedRoute {
    /// Object name.
    pub name: String,
    /// Priority among the routes that select a request.
    pub priority: i32,
    /// Time limit of the request with all its attempts.
    #[serde(with = "duration_text")]
    pub deadline: Duration,
    /// Criticality, which decides the order of load shedding.
    pub criticality: Criticality,
    /// Most attempts of one request, the first included.
    pub max_attempts: u32,
}

/// Idempotence of the request and the rules that decided it.
#[derive(Clone, Debug, Serialize)]
pub struct IdempotenceDecision {
    /// Mode that applies.
    pub mode: IdempotenceMode,
    /// Mode that each matching `Idempotence` rule asks for, by object name.
    pub rules: BTreeMap<String, IdempotenceMode>,
    /// Why this mode applies.
    pub reason: &'static str,
}

/// An upstream that the taken route selects.
#[derive(Clone, Debug, Serialize)]
pub struct SelectedUpstream {
    /// Object name.
    pub name: String,
    /// Address with port.
    pub address: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Whether its object marks it as draining.
    pub is_draining: bool,
}

/// Classifies a request under `snapshot` and lists the rules and routes that match.
pub fn explain(snapshot: &ConfigSnapshot, head: RequestHead<'_>) -> RequestExplanation {
    let class = classify(snapshot, head);
    let mut routes = Vec::new();
    for route in &snapshot.routes {
        if route.spec.requests.matches(&class.labels) {
            routes.push(matched_route(route));
        }
    }
    let taken = class.route.and_then(|key| snapshot.route(key));
    RequestExplanation {
        generation: snapshot.generation,
        rules: matched_rules(snapshot, head),
        tenant: class.tenant.to_string(),
        class: class.class.to_string(),
        routes,
        idempotence: idempotence_decision(snapshot, &class.labels, class.mode),
        upstreams: taken.map(|route| selected_upstreams(snapshot, route)).unwrap_or_default(),
        labels: class.labels,
    }
}

/// Loads the active configuration: the newest published generation.
///
/// # Errors
///
/// Returns HF-2007 if no generation is published yet and HF-3001 if the platform does not respond.
pub async fn load_active<S: PlatformStore>(store: &S) -> Result<ConfigSnapshot, ObjectError> {
    let object = match store.get(GENERATION_KIND, GENERATION_NAME).await {
        Ok(object) => object,
        Err(StoreError::NotFound) => {
            return Err(ObjectError::missing(GENERATION_KIND, GENERATION_NAME));
        }
        Err(error) => return Err(ObjectError::Unavailable(error)),
    };
    let content: GenerationContent = serde_json::from_value(object.spec)
        .map_err(|error| ObjectError::Unavailable(StoreError::Protocol(error.to_string())))?;
    Ok(compile(&content.to_object_set(), content.number, None).snapshot)
}

/// Compiles a configuration from the present objects, whether or not they are accepted. Objects
/// with an invalid spec are left out.
///
/// # Errors
///
/// Returns HF-3001 if the platform does not respond.
pub async fn load_proposed<S: PlatformStore>(store: &S) -> Result<ConfigSnapshot, ObjectError> {
    let mut objects = ObjectSet::default();
    for kind in CONFIG_KINDS {
        let list = store.list(kind.as_str(), "").await.map_err(ObjectError::Unavailable)?;
        objects.replace_kind(kind.as_str(), list);
    }
    Ok(compile(&objects, GenerationNumber::default(), None).snapshot)
}

fn matched_rules(snapshot: &ConfigSnapshot, head: RequestHead<'_>) -> Vec<MatchedRule> {
    let mut decided: BTreeMap<String, String> = BTreeMap::new();
    let mut rules = Vec::new();
    for rule in &snapshot.request_rules {
        if !matches_request(&rule.matcher, head) {
            continue;
        }
        let mut settings: Vec<(String, String)> = Vec::new();
        for (key, value) in rule.labels.iter() {
            settings.push((format!("label {key}"), value.to_owned()));
        }
        if let Some(tenant) = &rule.tenant {
            settings.push(("tenant".to_owned(), tenant.to_string()));
        }
        if let Some(class) = &rule.class {
            settings.push(("class".to_owned(), class.to_string()));
        }
        let mut matched =
            MatchedRule { name: rule.name.clone(), sets: Vec::new(), overruled: Vec::new() };
        for (key, value) in settings {
            let text = format!("{key}={value}");
            if decided.contains_key(&key) {
                matched.overruled.push(text);
                continue;
            }
            decided.insert(key, value);
            matched.sets.push(text);
        }
        rules.push(matched);
    }
    rules
}

fn matched_route(route: &RouteRecord) -> MatchedRoute {
    MatchedRoute {
        name: route.name.clone(),
        priority: route.spec.priority,
        deadline: route.spec.deadline,
        criticality: route.spec.criticality,
        max_attempts: route.spec.retry.max_attempts,
    }
}

fn idempotence_decision(
    snapshot: &ConfigSnapshot,
    labels: &LabelSet,
    mode: IdempotenceMode,
) -> IdempotenceDecision {
    let mut rules = BTreeMap::new();
    for rule in &snapshot.idempotence_rules {
        if rule.requests.matches(labels) {
            rules.insert(rule.name.clone(), rule.mode);
        }
    }
    let reason = if rules.is_empty() {
        "no rule marks it, so it runs at most once"
    } else if rules.values().all(|rule_mode| *rule_mode == mode) {
        "every matching rule says so"
    } else {
        "at-most-once wins over every rule that says otherwise"
    };
    IdempotenceDecision { mode, rules, reason }
}

fn selected_upstreams(snapshot: &ConfigSnapshot, route: &RouteRecord) -> Vec<SelectedUpstream> {
    let mut upstreams = Vec::with_capacity(route.upstreams.len());
    for key in route.upstreams.iter() {
        let Some(upstream) = snapshot.upstreams.get(*key) else { continue };
        upstreams.push(SelectedUpstream {
            name: upstream.name.clone(),
            address: upstream.spec.address.to_string(),
            failure_domain: upstream.failure_domain.to_string(),
            is_draining: upstream.is_draining(),
        });
    }
    upstreams
}
