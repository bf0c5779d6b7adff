//! Compiles a set of objects into a [`ConfigSnapshot`].
//!
//! An object whose spec does not parse is left out of the snapshot and reported with its result
//! code; whether a snapshot with errors may replace the last good one is the caller's decision.
//! Rules and routes are in a total order: higher `priority` first, then object name.

use std::sync::Arc;
use std::time::Duration;

use heatherfall_platform_api::ObjectEnvelope;
use serde::de::DeserializeOwned;
use serde_json::Value;
use tokio::time::Instant;

use crate::config::object_set::ObjectSet;
use crate::config::upstream_selection::UpstreamSelection;
use crate::core::{
    BudgetSpec, ConfigSnapshot, DepartedUpstream, GenerationNumber, IdempotenceRule,
    IdempotenceSpec, LabelSet, ObjectKind, RequestLabelSpec, RequestRule, ResultCode, RouteSpec,
    RouteTable, TenantId, UpstreamArena, UpstreamKey, UpstreamSpec, UpstreamState,
};
use crate::util::{FastMap, FastSet};

/// Name of the only `Budget` object that has an effect.
const BUDGET_NAME: &str = "default";

/// An object whose spec could not be parsed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SpecError {
    /// Kind of the object.
    pub kind: ObjectKind,
    /// Name of the object.
    pub name: String,
    /// Result code for callers and operators.
    pub code: ResultCode,
    /// Description of the error, beginning with the path of the field.
    pub message: String,
}

/// Result of compiling a set of objects.
#[derive(Debug)]
pub struct CompileOutcome {
    /// Snapshot of the valid objects.
    pub snapshot: ConfigSnapshot,
    /// One error for each invalid object.
    pub errors: Vec<SpecError>,
}

/// Compiles `objects`. An upstream that `previous` has under the same name and address keeps its
/// key and counters.
pub fn compile(
    objects: &ObjectSet,
    generation: GenerationNumber,
    previous: Option<&ConfigSnapshot>,
) -> CompileOutcome {
    let mut faults = Vec::new();
    let declared = declared_upstreams(objects, &mut faults);
    let MergedUpstreams { upstreams, departed_upstreams } = merge_upstreams(declared, previous);
    let routes = read_specs(objects, ObjectKind::Route, &mut faults);
    let mut snapshot = ConfigSnapshot {
        generation,
        request_rules: compile_request_rules(objects, &mut faults).into(),
        routes: compile_routes(routes, &upstreams),
        idempotence_rules: compile_idempotence(objects, &mut faults).into(),
        budget: compile_budget(objects, &mut faults),
        departed_upstreams,
        ..ConfigSnapshot::default()
    };
    set_upstreams(&mut snapshot, upstreams);
    CompileOutcome { snapshot, errors: faults }
}

/// An upstream whose spec is already parsed.
#[derive(Clone, Debug)]
pub struct DeclaredUpstream {
    /// Name of the upstream's object.
    pub name: String,
    /// Labels that selectors of routes match.
    pub labels: LabelSet,
    /// Parsed spec.
    pub spec: UpstreamSpec,
}

/// Returns a snapshot with the rules of `rules`, in their order, and these upstreams. An upstream that `previous`
/// has under the same name, address and start keeps its key and counters.
///
/// Upstreams change far more often than rules, so this avoids parsing the rules again.
pub fn with_upstreams(
    rules: &ConfigSnapshot,
    declared: Vec<DeclaredUpstream>,
    previous: Option<&ConfigSnapshot>,
) -> ConfigSnapshot {
    let MergedUpstreams { upstreams, departed_upstreams } = merge_upstreams(declared, previous);
    let mut selection = UpstreamSelection::new(&upstreams);
    if let Some(previous) = previous {
        selection.reuse_lists(&previous.routes);
    }
    let routes = rules.routes.map_upstreams(|route| {
        selection.compile_route(route.name.clone(), Arc::clone(&route.spec))
    });
    let mut snapshot = ConfigSnapshot { routes, departed_upstreams, ..rules.clone() };
    set_upstreams(&mut snapshot, upstreams);
    snapshot
}

fn set_upstreams(snapshot: &mut ConfigSnapshot, upstreams: UpstreamArena) {
    let mut upstream_names = FastMap::default();
    for (key, upstream) in &upstreams {
        upstream_names.insert(upstream.name.clone(), key);
    }
    snapshot.upstreams = upstreams;
    snapshot.upstream_names = upstream_names;
}

fn read_spec<T: DeserializeOwned>(
    kind: ObjectKind,
    object: &ObjectEnvelope,
) -> Result<T, SpecError> {
    parse_spec(kind, &object.name, &object.spec)
}

fn parse_spec<T: DeserializeOwned>(
    kind: ObjectKind,
    name: &str,
    spec: &Value,
) -> Result<T, SpecError> {
    serde_path_to_error::deserialize(spec).map_err(|error| SpecError {
        kind,
        name: name.to_owned(),
        code: ResultCode::SpecMalformed,
        message: format!("spec.{}: {}", error.path(), error.inner()),
    })
}

/// Checks that a spec parses as `kind`.
///
/// # Errors
///
/// Returns HF-2001 with the path of the field that does not parse.
pub fn check_object(kind: ObjectKind, name: &str, spec: &Value) -> Result<(), SpecError> {
    match kind {
        ObjectKind::Budget => parse_spec::<BudgetSpec>(kind, name, spec).map(drop),
        ObjectKind::Idempotence => parse_spec::<IdempotenceSpec>(kind, name, spec).map(drop),
        ObjectKind::RequestLabel => parse_spec::<RequestLabelSpec>(kind, name, spec).map(drop),
        ObjectKind::Route => parse_spec::<RouteSpec>(kind, name, spec).map(drop),
        ObjectKind::Upstream => parse_spec::<UpstreamSpec>(kind, name, spec).map(drop),
    }
}

fn read_specs<T: DeserializeOwned>(
    objects: &ObjectSet,
    kind: ObjectKind,
    faults: &mut Vec<SpecError>,
) -> Vec<(String, T)> {
    let mut specs = Vec::new();
    for object in objects.objects_of_kind(kind.as_str()) {
        match read_spec(kind, object) {
            Ok(spec) => specs.push((object.name.clone(), spec)),
            Err(fault) => faults.push(fault),
        }
    }
    specs
}

fn declared_upstreams(objects: &ObjectSet, faults: &mut Vec<SpecError>) -> Vec<DeclaredUpstream> {
    let mut declared = Vec::new();
    for object in objects.objects_of_kind(ObjectKind::Upstream.as_str()) {
        match read_spec(ObjectKind::Upstream, object) {
            Ok(spec) => {
                let labels = LabelSet::new(object.labels.clone());
                declared.push(DeclaredUpstream { name: object.name.clone(), labels, spec });
            }
            Err(fault) => faults.push(fault),
        }
    }
    declared
}

/// Time for which the state of removed upstreams is kept. One that does not reach the platform's store
/// for some seconds is removed and returns.
const DEPARTED_STATE_TTL: Duration = Duration::from_secs(60);

/// The upstreams of a configuration, and those that it no longer has.
struct MergedUpstreams {
    upstreams: UpstreamArena,
    departed_upstreams: Vec<DepartedUpstream>,
}

fn merge_upstreams(
    declared: Vec<DeclaredUpstream>,
    previous: Option<&ConfigSnapshot>,
) -> MergedUpstreams {
    let now = Instant::now();
    let mut arena = previous.map(|snapshot| snapshot.upstreams.clone()).unwrap_or_default();
    let mut departed =
        previous.map(|snapshot| snapshot.departed_upstreams.clone()).unwrap_or_default();
    departed.retain(|departed| now - departed.removed_at < DEPARTED_STATE_TTL);
    let mut known: FastMap<String, UpstreamKey> = FastMap::default();
    for (key, upstream) in &arena {
        known.insert(upstream.name.clone(), key);
    }
    let mut kept: FastSet<UpstreamKey> = FastSet::default();
    for upstream in declared {
        let key = known.get(&upstream.name).copied();
        kept.insert(merge_upstream(&mut arena, key, upstream, &mut departed));
    }
    arena.retain(|key, upstream| {
        let is_kept = kept.contains(&key);
        upstream.set_retired(!is_kept || upstream.spec.draining);
        if !is_kept {
            departed.push(DepartedUpstream { upstream: Arc::clone(upstream), removed_at: now });
        }
        is_kept
    });
    MergedUpstreams { upstreams: arena, departed_upstreams: departed }
}

/// Inserts or updates one upstream. One that keeps its address and its process keeps its key and
/// counters, and one that returns to its address with the same process keeps its counters; otherwise
/// it is a different server and starts afresh.
fn merge_upstream(
    arena: &mut UpstreamArena,
    known_key: Option<UpstreamKey>,
    upstream: DeclaredUpstream,
    departed: &mut Vec<DepartedUpstream>,
) -> UpstreamKey {
    let DeclaredUpstream { name, labels, spec } = upstream;
    if let Some((key, state)) = known_key.and_then(|key| Some((key, arena.get_mut(key)?)))
        && is_same_process(&state.spec, &spec)
    {
        if state.spec != spec || state.labels != labels {
            *state = Arc::new(state.with_spec(spec, labels));
        }
        return key;
    }
    let returned = departed.iter().position(|departed| {
        departed.upstream.name == name && is_same_process(&departed.upstream.spec, &spec)
    });
    let Some(returned) = returned else {
        return arena.insert(Arc::new(UpstreamState::new(&name, spec, labels)));
    };
    let DepartedUpstream { upstream, .. } = departed.swap_remove(returned);
    arena.insert(Arc::new(upstream.with_spec(spec, labels)))
}

/// Whether both are specs of one process at one address. Starts that are not stated may be the same.
fn is_same_process(known: &UpstreamSpec, spec: &UpstreamSpec) -> bool {
    let is_restarted = known.started_ms.is_some()
        && spec.started_ms.is_some()
        && known.started_ms != spec.started_ms;
    known.address == spec.address && !is_restarted
}

fn compile_request_rules(objects: &ObjectSet, faults: &mut Vec<SpecError>) -> Vec<RequestRule> {
    let mut specs: Vec<(String, RequestLabelSpec)> =
        read_specs(objects, ObjectKind::RequestLabel, faults);
    specs.sort_by(|a, b| b.1.priority.cmp(&a.1.priority).then_with(|| a.0.cmp(&b.0)));
    let mut rules = Vec::with_capacity(specs.len());
    for (name, spec) in specs {
        rules.push(RequestRule {
            name,
            matcher: spec.matcher,
            labels: spec.labels,
            tenant: spec.tenant.as_deref().map(TenantId::new),
            class: spec.class.as_deref().map(Arc::from),
        });
    }
    rules
}

fn compile_routes(mut specs: Vec<(String, RouteSpec)>, upstreams: &UpstreamArena) -> RouteTable {
    specs.sort_by(|a, b| b.1.priority.cmp(&a.1.priority).then_with(|| a.0.cmp(&b.0)));
    let mut selection = UpstreamSelection::new(upstreams);
    let mut routes = Vec::with_capacity(specs.len());
    for (name, spec) in specs {
        routes.push(selection.compile_route(name, Arc::new(spec)));
    }
    routes.into()
}

fn compile_idempotence(objects: &ObjectSet, faults: &mut Vec<SpecError>) -> Vec<IdempotenceRule> {
    let specs: Vec<(String, IdempotenceSpec)> =
        read_specs(objects, ObjectKind::Idempotence, faults);
    let mut rules = Vec::with_capacity(specs.len());
    for (name, spec) in specs {
        rules.push(IdempotenceRule { name, requests: spec.requests, mode: spec.mode });
    }
    rules
}

fn compile_budget(objects: &ObjectSet, faults: &mut Vec<SpecError>) -> BudgetSpec {
    let specs: Vec<(String, BudgetSpec)> = read_specs(objects, ObjectKind::Budget, faults);
    let named = specs.into_iter().find(|(name, _)| name == BUDGET_NAME);
    named.map(|(_, spec)| spec).unwrap_or_default()
}
