//! State of a scenario and the commands that act on it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use datadriven::TestCase;
use heatherfall::core::{FailureDomain, ObjectKind, VmId};
use heatherfall::membership::{EntryState, NodeIdentity};
use heatherfall::ops::objects::{self, ObjectManifest};
use heatherfall::platform::{ObjectDraft, PlatformStore, Precondition, VmRecord, VmState};
use heatherfall_standins::platform::{FaultSettings, StandinPlatform};
use serde_json::json;
use tokio::task::JoinSet;

use super::entry_node::EntryNode;
use super::ledger_network::LedgerNetwork;
use super::log_capture;
use super::node_store::{NodeGate, NodeStore, ProcessState};
use super::request::{CallerRequest, ResponseLog};
use super::scripted_upstream::{ScriptedBehaviour, ScriptedClient, ScriptedUpstreams};
use super::transcript::Transcript;
use crate::support::InMemoryNetwork;

/// Time after a command for its effects to pass through the nodes' services.
const SETTLE_TIME: Duration = Duration::from_millis(1);
/// Time for which a leaving node still serves, so that callers learn to go elsewhere.
const ANNOUNCE_TIME: Duration = Duration::from_secs(12);
/// Objects that the command `sample-objects` writes.
const SAMPLE_OBJECTS: &str = include_str!("../../../examples/both-users.jsonc");

/// Platform, nodes, upstreams and requests of one scenario.
pub(super) struct ScenarioWorld {
    platform: StandinPlatform,
    upstreams: ScriptedUpstreams,
    nodes: BTreeMap<String, Arc<EntryNode>>,
    network: Arc<InMemoryNetwork>,
    ledgers: Arc<LedgerNetwork>,
    responses: ResponseLog,
    transcript: Transcript,
    requests: JoinSet<()>,
}

impl ScenarioWorld {
    pub(super) fn new() -> Self {
        let transcript = Transcript::new();
        log_capture::attach(&transcript);
        Self {
            platform: StandinPlatform::default(),
            upstreams: ScriptedUpstreams::default(),
            nodes: BTreeMap::new(),
            network: Arc::default(),
            ledgers: Arc::default(),
            responses: ResponseLog::default(),
            transcript,
            requests: JoinSet::new(),
        }
    }

    /// Runs one command and returns what it added to the transcript.
    pub(super) async fn run(&mut self, case: &mut TestCase) -> Result<String, String> {
        match case.directive.as_str() {
            "sample-objects" => self.apply("setup", SAMPLE_OBJECTS).await?,
            "upstreams" => self.create_upstreams(case).await?,
            "apply" => self.apply(&text_arg(case, "by")?, &case.input.clone()).await?,
            "put-raw" => self.put_raw(case).await?,
            "race" => self.race(&case.input).await?,
            "delete" => self.delete(case).await?,
            "start-node" => self.start_node(case)?,
            "kill" => self.set_process_state(&text_arg(case, "node")?, ProcessState::Killed)?,
            "pause" => self.set_process_state(&text_arg(case, "node")?, ProcessState::Paused)?,
            "resume" => self.set_process_state(&text_arg(case, "node")?, ProcessState::Running)?,
            "stop-node" => self.stop_node(&text_arg(case, "node")?).await?,
            "upstream" => self.set_behaviour(case)?,
            "platform" => self.set_faults(case)?,
            "send" => {
                self.start_requests(&case.input)?;
                self.join_requests().await?;
            }
            "start" => self.start_requests(&case.input)?,
            "join" => self.join_requests().await?,
            "advance" => tokio::time::sleep(duration_arg(case, "by")?).await,
            "expect-runs" => self.expect_runs(case)?,
            "expect-answer" => self.expect_answer(case)?,
            "expect-generation" => self.expect_generation(case)?,
            "show" => self.show(case).await?,
            "status" => self.status(),
            other => return Err(format!("unknown command {other:?}")),
        }
        case.expect_empty().map_err(|error| error.to_string())?;
        tokio::time::sleep(SETTLE_TIME).await;
        let output = self.transcript.take();
        self.check_invariants().map_err(|violation| format!("{violation}\n{output}"))?;
        Ok(output)
    }

    /// Cancels the remaining requests, stops all nodes and checks the invariants a last time.
    pub(super) async fn finish(mut self) {
        self.requests.shutdown().await;
        for node in self.nodes.values() {
            node.gate.set(ProcessState::Running);
            node.kernel.stop().await;
        }
        assert_eq!(self.check_invariants(), Ok(()));
    }

    fn check_invariants(&self) -> Result<(), String> {
        let violations = self.responses.violations(&self.upstreams);
        if violations.is_empty() {
            Ok(())
        } else {
            Err(format!("invariants violated: {violations:?}"))
        }
    }

    async fn apply(&self, operator: &str, input: &str) -> Result<(), String> {
        let manifests = objects::parse_manifests(input).map_err(|error| error.to_string())?;
        let count = manifests.len();
        for manifest in manifests {
            let name = format!("{} {}", manifest.kind.as_str(), manifest.name);
            let result = match objects::apply(&self.platform, manifest).await {
                Ok(effect) => effect.as_str().to_owned(),
                Err(error) => error.to_string(),
            };
            if operator != "setup" {
                self.transcript.record(&format!("operator {operator} {name} {result}"));
            }
        }
        if operator == "setup" {
            self.transcript.record(&format!("operator setup {count} objects"));
        }
        Ok(())
    }

    /// Writes a spec without the validation that the operator's client does.
    async fn put_raw(&self, case: &mut TestCase) -> Result<(), String> {
        let (kind, name) = (text_arg(case, "kind")?, text_arg(case, "name")?);
        let spec = serde_json::from_str(&case.input).map_err(|error| error.to_string())?;
        let current = self.platform.get(&kind, &name).await.map_err(|error| error.to_string())?;
        let precondition = Precondition::SpecVersion(current.spec_version);
        let draft = ObjectDraft { kind, name, labels: current.labels, spec, ..Default::default() };
        self.platform.put(draft, precondition).await.map_err(|error| error.to_string())?;
        Ok(())
    }

    /// Applies the manifests of several operators, one `NAME MANIFEST` a line, so that all read the
    /// same version before any of them writes.
    async fn race(&self, input: &str) -> Result<(), String> {
        let mut changes = Vec::new();
        for line in input.lines() {
            let (operator, manifest) =
                line.split_once(' ').ok_or("invalid line, expected NAME MANIFEST")?;
            changes.push(self.apply(operator, manifest));
        }
        let previous_faults = self.platform.faults();
        let delay = Duration::from_millis(5);
        self.platform.set_faults(FaultSettings { delay, ..previous_faults.clone() });
        for result in futures_util::future::join_all(changes).await {
            result?;
        }
        self.platform.set_faults(previous_faults);
        Ok(())
    }

    async fn delete(&self, case: &mut TestCase) -> Result<(), String> {
        let operator = text_arg(case, "by")?;
        let name = text_arg(case, "name")?;
        let kind =
            objects::parse_kind(&text_arg(case, "kind")?).map_err(|error| error.to_string())?;
        let result = match objects::delete(&self.platform, kind, &name).await {
            Ok(()) => "deleted".to_owned(),
            Err(error) => error.to_string(),
        };
        self.transcript.record(&format!("operator {operator} {} {name} {result}", kind.as_str()));
        Ok(())
    }

    async fn create_upstreams(&self, case: &mut TestCase) -> Result<(), String> {
        let app = text_arg(case, "app")?;
        let count: u16 = case.take_arg("count").map_err(|error| error.to_string())?;
        for index in 0..count {
            let name = format!("{app}-{index}");
            // Never connected: the scripted client stands in for the upstream.
            let spec = json!({ "address": format!("192.0.2.1:{}", 1000 + index), "failure_domain": "fd-a" });
            let labels = [("app".to_owned(), app.clone())].into();
            let manifest = ObjectManifest { kind: ObjectKind::Upstream, name, labels, spec };
            objects::apply(&self.platform, manifest).await.map_err(|error| error.to_string())?;
        }
        self.transcript.record(&format!("operator setup {count} upstreams of {app}"));
        Ok(())
    }

    fn start_node(&mut self, case: &mut TestCase) -> Result<(), String> {
        let name = text_arg(case, "node")?;
        let failure_domain = text_arg(case, "domain").unwrap_or_else(|_| "fd-a".to_owned());
        let seed_names: Vec<String> =
            case.try_take_args("seeds").map_err(|error| error.to_string())?.unwrap_or_default();
        let mut seeds = Vec::new();
        for seed in seed_names {
            seeds.push(self.node(&seed)?.peer_addr);
        }
        let gate = NodeGate::new();
        let store = NodeStore {
            node: name.clone(),
            platform: self.platform.clone(),
            gate: gate.clone(),
            transcript: self.transcript.clone(),
        };
        let client = ScriptedClient {
            node: name.clone(),
            upstreams: self.upstreams.clone(),
            gate,
            transcript: self.transcript.clone(),
        };
        let index = self.nodes.len() as u8 + 1;
        let peer_addr = SocketAddr::from(([192, 0, 2, index], 81));
        let identity = NodeIdentity {
            vm: VmId::new(&name),
            failure_domain: FailureDomain::new(&failure_domain),
            caller_address: format!("192.0.2.{index}:80"),
            peer_address: peer_addr.to_string(),
            incarnation: 1,
        };
        self.platform.put_vm(VmRecord {
            id: name.clone(),
            address: identity.caller_address.clone(),
            peer_address: identity.peer_address.clone(),
            failure_domain,
            state: VmState::Live,
        });
        let node = EntryNode::start(
            identity,
            seeds,
            Arc::new(store),
            client,
            &self.network,
            &self.ledgers,
        );
        self.nodes.insert(name, Arc::new(node));
        Ok(())
    }

    fn set_process_state(&self, name: &str, state: ProcessState) -> Result<(), String> {
        let node = self.node(name)?;
        node.gate.set(state);
        match state {
            ProcessState::Running => self.network.reconnect(node.peer_addr),
            ProcessState::Paused => self.network.isolate(node.peer_addr),
            ProcessState::Killed => {
                self.network.detach(node.peer_addr);
                self.platform.remove_vm(name);
            }
        }
        self.transcript.record(&format!("node {name} {state:?}").to_lowercase());
        Ok(())
    }

    async fn stop_node(&self, name: &str) -> Result<(), String> {
        self.platform.set_vm_state(name, VmState::Leaving);
        let node = self.node(name)?;
        node.control.set_state(EntryState::Leaving);
        tokio::time::sleep(ANNOUNCE_TIME).await;
        node.kernel.stop().await;
        self.network.detach(node.peer_addr);
        self.platform.remove_vm(name);
        self.transcript.record(&format!("node {name} stopped its services"));
        Ok(())
    }

    fn set_behaviour(&self, case: &mut TestCase) -> Result<(), String> {
        let names: Vec<String> = case.take_args("name").map_err(|error| error.to_string())?;
        let behaviour: ScriptedBehaviour =
            case.take_arg("is").map_err(|error| error.to_string())?;
        for name in names {
            self.upstreams.set(&name, behaviour);
        }
        Ok(())
    }

    fn set_faults(&self, case: &mut TestCase) -> Result<(), String> {
        let flag =
            |case: &mut TestCase, name| case.take_flag(name).map_err(|error| error.to_string());
        let is_up = flag(case, "up")?;
        let mut faults = if is_up { FaultSettings::default() } else { self.platform.faults() };
        faults.down |= flag(case, "down")?;
        faults.silent_watches |= flag(case, "silent-watches")?;
        faults.silence_open_watches = flag(case, "silence-open-watches")?;
        faults.freeze_vm_list |= flag(case, "freeze-vm-list")?;
        if let Some(lost) = case.try_take_arg("lose-write-answers").map_err(|e| e.to_string())? {
            faults.lose_write_answers = lost;
        }
        if let Some(stale) = case.try_take_arg("stale-revisions").map_err(|e| e.to_string())? {
            faults.stale_revisions = stale;
        }
        if case.args.contains_key("delay") {
            faults.delay = duration_arg(case, "delay")?;
        }
        self.platform.set_faults(faults);
        Ok(())
    }

    fn start_requests(&mut self, input: &str) -> Result<(), String> {
        for line in input.lines() {
            let request = CallerRequest::parse(line)?;
            let node = Arc::clone(self.node(&request.node)?);
            let (responses, upstreams) = (self.responses.clone(), self.upstreams.clone());
            let transcript = self.transcript.clone();
            self.requests.spawn(async move {
                responses.send(request, node, upstreams, transcript).await;
            });
        }
        Ok(())
    }

    async fn join_requests(&mut self) -> Result<(), String> {
        while let Some(ended) = self.requests.join_next().await {
            ended.map_err(|error| error.to_string())?;
        }
        Ok(())
    }

    fn expect_runs(&self, case: &mut TestCase) -> Result<(), String> {
        let id = text_arg(case, "id")?;
        let count: u64 = case.take_arg("count").map_err(|error| error.to_string())?;
        let runs = self.upstreams.runs_of(&id);
        if runs == count { Ok(()) } else { Err(format!("{id} ran {runs} times, expected {count}")) }
    }

    fn expect_answer(&self, case: &mut TestCase) -> Result<(), String> {
        let id = text_arg(case, "id")?;
        let wanted = text_arg(case, "is")?;
        let Some(response) = self.responses.response_to(&id) else {
            return Err(format!("{id} has received no response"));
        };
        let is_expected = match wanted.as_str() {
            "whole" => response.status == 200 && !response.is_truncated,
            "cut" => response.is_truncated,
            "not-dispatched" => response.is_not_dispatched,
            "not-run" => response.is_not_run,
            "unknown" => !response.is_not_run && !response.code.is_empty(),
            code => response.code == code,
        };
        if is_expected {
            Ok(())
        } else {
            Err(format!("response to {id} is not {wanted}: {response:?}"))
        }
    }

    /// Checks that every node in `nodes` has applied at least a generation.
    fn expect_generation(&self, case: &mut TestCase) -> Result<(), String> {
        let names: Vec<String> = case.take_args("nodes").map_err(|error| error.to_string())?;
        let wanted: u64 = case.take_arg("at-least").map_err(|error| error.to_string())?;
        for name in names {
            let generation = self.node(&name)?.control.generation_applier().number().0;
            if generation < wanted {
                return Err(format!(
                    "{name} has applied generation {generation}, expected at least {wanted}"
                ));
            }
        }
        Ok(())
    }

    /// Records an object's status.
    async fn show(&self, case: &mut TestCase) -> Result<(), String> {
        let (kind, name) = (text_arg(case, "kind")?, text_arg(case, "name")?);
        let result = match self.platform.get(&kind, &name).await {
            Ok(object) => object.status.to_string(),
            Err(error) => error.to_string(),
        };
        self.transcript.record(&format!("show {kind} {name} {result}"));
        Ok(())
    }

    fn status(&self) {
        for (name, node) in &self.nodes {
            let snapshot = node.snapshot.load_full();
            let mut draining = Vec::new();
            let mut generation = "none".to_owned();
            if let Some(snapshot) = &snapshot {
                generation = snapshot.generation.to_string();
                for upstream in snapshot.upstreams.values() {
                    if upstream.is_draining() {
                        draining.push(upstream.name.clone());
                    }
                }
            }
            draining.sort();
            let is_confirmed = node.freshness.is_confirmed();
            let response = node.addresses.respond("");
            let addresses = String::from_utf8_lossy(&response).matches("\"address\"").count();
            self.transcript.record(&format!(
                "status {name} generation={generation} confirmed={is_confirmed} addresses={addresses} draining={draining:?}",
            ));
        }
    }

    fn node(&self, name: &str) -> Result<&Arc<EntryNode>, String> {
        self.nodes.get(name).ok_or_else(|| format!("unknown node {name:?}"))
    }
}

fn text_arg(case: &mut TestCase, name: &str) -> Result<String, String> {
    case.take_arg(name).map_err(|error| error.to_string())
}

fn duration_arg(case: &mut TestCase, name: &str) -> Result<Duration, String> {
    humantime::parse_duration(&text_arg(case, name)?).map_err(|error| error.to_string())
}
