//! Explains what the configuration makes of a request.

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

/// What a request is under one configuration, and why.
#[derive(Clone, Debug, Serialize)]
pub struct RequestExplanation {
    /// Generation that was looked at.
    pub generation: GenerationNumber,
    /// Matching request rules in order of precedence.
    pub rules: Vec<MatchedRule>,
    /// Labels of the request.
    pub labels: LabelSet,
    /// Tenant.
    pub tenant: String,
    /// Class.
    pub class: String,
    /// Routes that select the request, in order of precedence; the first is taken.
    pub routes: Vec<MatchedRoute>,
    /// Whether it may run more than once.
    pub idempotence: IdempotenceDecision,
    /// Upstreams that the taken route selects.
    pub upstreams: Vec<SelectedUpstream>,
}

/// A matching `RequestLabel`.
#[derive(Clone, Debug, Serialize)]
pub struct MatchedRule {
    /// Object name.
    pub name: String,
    /// What it decides, as `key=value`.
    pub sets: Vec<String>,
    /// What a rule before it has decided already.
    pub overruled: Vec<String>,
}

/// A route that selects the request.
#[derive(Clone, Debug, Serialize)]
pub struct MatchedRoute {
    /// Object name.
    pub name: String,
    /// Priority.
    pub priority: i32,
    /// Time for the whole call.
    #[serde(with = "duration_text")]
    pub deadline: Duration,
    /// What is shed first.
    pub criticality: Criticality,
    /// Attempts in all.
    pub max_attempts: u32,
}

/// How the idempotence of the request was decided.
#[derive(Clone, Debug, Serialize)]
pub struct IdempotenceDecision {
    /// The decision.
    pub mode: IdempotenceMode,
    /// Matching rules and what each says.
    pub rules: BTreeMap<String, IdempotenceMode>,
    /// Why the decision is what it is.
    pub reason: &'static str,
}

/// An upstream of the taken route.
#[derive(Clone, Debug, Serialize)]
pub struct SelectedUpstream {
    /// Object name.
    pub name: String,
    /// Address.
    pub address: String,
    /// Failure domain.
    pub failure_domain: String,
    /// Whether its object says that it is leaving.
    pub is_draining: bool,
}

/// Explains a request under `snapshot`.
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

/// The configuration that is in force: the newest published generation.
///
/// # Errors
///
/// Returns HF-2007 if nothing is published yet and HF-3001 if the platform does not answer.
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

/// The configuration as the objects would make it, accepted or not. Faulty objects are left out.
///
/// # Errors
///
/// Returns HF-3001 if the platform does not answer.
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
    let mut steps = Vec::new();
    for rule in &snapshot.request_rules {
        if !matches_request(&rule.matcher, head) {
            continue;
        }
        let mut wanted: Vec<(String, String)> = Vec::new();
        for (key, value) in rule.labels.iter() {
            wanted.push((format!("label {key}"), value.to_owned()));
        }
        if let Some(tenant) = &rule.tenant {
            wanted.push(("tenant".to_owned(), tenant.to_string()));
        }
        if let Some(class) = &rule.class {
            wanted.push(("class".to_owned(), class.to_string()));
        }
        let mut step =
            MatchedRule { name: rule.name.clone(), sets: Vec::new(), overruled: Vec::new() };
        for (key, value) in wanted {
            let text = format!("{key}={value}");
            if decided.contains_key(&key) {
                step.overruled.push(text);
                continue;
            }
            decided.insert(key, value);
            step.sets.push(text);
        }
        steps.push(step);
    }
    steps
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
    } else if rules.values().all(|said| *said == mode) {
        "every matching rule says so"
    } else {
        "at-most-once wins over every rule that says otherwise"
    };
    IdempotenceDecision { mode, rules, reason }
}

fn selected_upstreams(snapshot: &ConfigSnapshot, route: &RouteRecord) -> Vec<SelectedUpstream> {
    let mut steps = Vec::with_capacity(route.upstreams.len());
    for key in &route.upstreams {
        let Some(upstream) = snapshot.upstreams.get(*key) else { continue };
        steps.push(SelectedUpstream {
            name: upstream.name.clone(),
            address: upstream.spec.address.to_string(),
            failure_domain: upstream.failure_domain.to_string(),
            is_draining: upstream.is_draining(),
        });
    }
    steps
}
