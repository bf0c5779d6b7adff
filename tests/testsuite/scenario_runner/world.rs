//! The state of a scenario and its commands.

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
use super::node_store::{NodeGate, NodePower, NodeStore};
use super::request::{AnswerLog, CallerRequest};
use super::scripted_upstream::{ScriptedBehaviour, ScriptedClient, ScriptedFleet};
use super::transcript::Transcript;
use crate::support::MemoryNetwork;

/// Time for news to pass through the services after a command.
const SETTLE_TIME: Duration = Duration::from_millis(1);
/// Time for which a leaving node still serves.
const ANNOUNCE_TIME: Duration = Duration::from_secs(12);
/// Objects that `sample-objects` writes.
const SAMPLE_OBJECTS: &str = include_str!("../../../examples/both-users.jsonc");

/// One scenario.
pub(super) struct ScenarioWorld {
    platform: StandinPlatform,
    fleet: ScriptedFleet,
    nodes: BTreeMap<String, Arc<EntryNode>>,
    network: Arc<MemoryNetwork>,
    ledgers: Arc<LedgerNetwork>,
    answers: AnswerLog,
    transcript: Transcript,
    requests: JoinSet<()>,
}

impl ScenarioWorld {
    pub(super) fn new() -> Self {
        let transcript = Transcript::new();
        log_capture::attach(&transcript);
        Self {
            platform: StandinPlatform::default(),
            fleet: ScriptedFleet::default(),
            nodes: BTreeMap::new(),
            network: Arc::default(),
            ledgers: Arc::default(),
            answers: AnswerLog::default(),
            transcript,
            requests: JoinSet::new(),
        }
    }

    /// Runs one command and returns what it added to the transcript.
    pub(super) async fn run(&mut self, case: &mut TestCase) -> Result<String, String> {
        match case.directive.as_str() {
            "sample-objects" => self.apply("setup", SAMPLE_OBJECTS).await?,
            "upstreams" => self.create_upstreams(case).await?,
            "apply" => self.apply(&text(case, "by")?, &case.input.clone()).await?,
            "put-raw" => self.put_raw(case).await?,
            "race" => self.race(&case.input).await?,
            "delete" => self.delete(case).await?,
            "start-node" => self.start_node(case)?,
            "kill" => self.set_power(&text(case, "node")?, NodePower::Killed)?,
            "pause" => self.set_power(&text(case, "node")?, NodePower::Paused)?,
            "resume" => self.set_power(&text(case, "node")?, NodePower::Running)?,
            "stop-node" => self.stop_node(&text(case, "node")?).await?,
            "upstream" => self.set_behaviour(case)?,
            "platform" => self.set_faults(case)?,
            "send" => {
                self.start_requests(&case.input)?;
                self.join_requests().await?;
            }
            "start" => self.start_requests(&case.input)?,
            "join" => self.join_requests().await?,
            "advance" => tokio::time::sleep(duration(case, "by")?).await,
            "expect-runs" => self.expect_runs(case)?,
            "expect-answer" => self.expect_answer(case)?,
            "expect-generation" => self.expect_generation(case)?,
            "show" => self.show(case).await?,
            "status" => self.status(),
            other => return Err(format!("no command {other}")),
        }
        case.expect_empty().map_err(|error| error.to_string())?;
        tokio::time::sleep(SETTLE_TIME).await;
        let output = self.transcript.take();
        self.check().map_err(|fault| format!("{fault}\n{output}"))?;
        Ok(output)
    }

    /// Stops what still runs and checks a last time.
    pub(super) async fn finish(mut self) {
        self.requests.shutdown().await;
        for node in self.nodes.values() {
            node.gate.set(NodePower::Running);
            node.kernel.stop().await;
        }
        assert_eq!(self.check(), Ok(()));
    }

    fn check(&self) -> Result<(), String> {
        let faults = self.answers.faults(&self.fleet);
        if faults.is_empty() { Ok(()) } else { Err(format!("broken promise: {faults:?}")) }
    }

    async fn apply(&self, operator: &str, input: &str) -> Result<(), String> {
        let manifests = objects::parse_manifests(input).map_err(|error| error.to_string())?;
        let count = manifests.len();
        for manifest in manifests {
            let name = format!("{} {}", manifest.kind.as_str(), manifest.name);
            let said = match objects::apply(&self.platform, manifest).await {
                Ok(effect) => effect.as_str().to_owned(),
                Err(error) => error.to_string(),
            };
            if operator != "setup" {
                self.transcript.say(&format!("operator {operator} {name} {said}"));
            }
        }
        if operator == "setup" {
            self.transcript.say(&format!("operator setup {count} objects"));
        }
        Ok(())
    }

    /// Writes a spec without the client's check.
    async fn put_raw(&self, case: &mut TestCase) -> Result<(), String> {
        let (kind, name) = (text(case, "kind")?, text(case, "name")?);
        let spec = serde_json::from_str(&case.input).map_err(|error| error.to_string())?;
        let current = self.platform.get(&kind, &name).await.map_err(|error| error.to_string())?;
        let precondition = Precondition::SpecVersion(current.spec_version);
        let draft = ObjectDraft { kind, name, labels: current.labels, spec, ..Default::default() };
        self.platform.put(draft, precondition).await.map_err(|error| error.to_string())?;
        Ok(())
    }

    /// Operators that read the same version and then write, `NAME MANIFEST` a line.
    async fn race(&self, input: &str) -> Result<(), String> {
        let mut changes = Vec::new();
        for line in input.lines() {
            let (operator, manifest) = line.split_once(' ').ok_or("a line is NAME MANIFEST")?;
            changes.push(self.apply(operator, manifest));
        }
        let calm = self.platform.faults();
        let delay = Duration::from_millis(5);
        self.platform.set_faults(FaultSettings { delay, ..calm.clone() });
        for result in futures_util::future::join_all(changes).await {
            result?;
        }
        self.platform.set_faults(calm);
        Ok(())
    }

    async fn delete(&self, case: &mut TestCase) -> Result<(), String> {
        let operator = text(case, "by")?;
        let name = text(case, "name")?;
        let kind = objects::parse_kind(&text(case, "kind")?).map_err(|error| error.to_string())?;
        let said = match objects::delete(&self.platform, kind, &name).await {
            Ok(()) => "deleted".to_owned(),
            Err(error) => error.to_string(),
        };
        self.transcript.say(&format!("operator {operator} {} {name} {said}", kind.as_str()));
        Ok(())
    }

    async fn create_upstreams(&self, case: &mut TestCase) -> Result<(), String> {
        let app = text(case, "app")?;
        let count: u16 = case.take_arg("count").map_err(|error| error.to_string())?;
        for index in 0..count {
            let name = format!("{app}-{index}");
            // Nobody connects here: the scripted client plays the upstream.
            let spec = json!({ "address": format!("192.0.2.1:{}", 1000 + index), "failure_domain": "fd-a" });
            let labels = [("app".to_owned(), app.clone())].into();
            let manifest = ObjectManifest { kind: ObjectKind::Upstream, name, labels, spec };
            objects::apply(&self.platform, manifest).await.map_err(|error| error.to_string())?;
        }
        self.transcript.say(&format!("operator setup {count} upstreams of {app}"));
        Ok(())
    }

    fn start_node(&mut self, case: &mut TestCase) -> Result<(), String> {
        let name = text(case, "node")?;
        let failure_domain = text(case, "domain").unwrap_or_else(|_| "fd-a".to_owned());
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
            fleet: self.fleet.clone(),
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

    fn set_power(&self, name: &str, power: NodePower) -> Result<(), String> {
        let node = self.node(name)?;
        node.gate.set(power);
        match power {
            NodePower::Running => self.network.hear(node.peer_addr),
            NodePower::Paused => self.network.silence(node.peer_addr),
            NodePower::Killed => {
                self.network.leave(node.peer_addr);
                self.platform.remove_vm(name);
            }
        }
        self.transcript.say(&format!("node {name} {power:?}").to_lowercase());
        Ok(())
    }

    async fn stop_node(&self, name: &str) -> Result<(), String> {
        self.platform.set_vm_state(name, VmState::Leaving);
        let node = self.node(name)?;
        node.control.set_state(EntryState::Leaving);
        tokio::time::sleep(ANNOUNCE_TIME).await;
        node.kernel.stop().await;
        self.network.leave(node.peer_addr);
        self.platform.remove_vm(name);
        self.transcript.say(&format!("node {name} stopped its services"));
        Ok(())
    }

    fn set_behaviour(&self, case: &mut TestCase) -> Result<(), String> {
        let names: Vec<String> = case.take_args("name").map_err(|error| error.to_string())?;
        let behaviour: ScriptedBehaviour =
            case.take_arg("is").map_err(|error| error.to_string())?;
        for name in names {
            self.fleet.set(&name, behaviour);
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
            faults.delay = duration(case, "delay")?;
        }
        self.platform.set_faults(faults);
        Ok(())
    }

    fn start_requests(&mut self, input: &str) -> Result<(), String> {
        for line in input.lines() {
            let request = CallerRequest::parse(line)?;
            let node = Arc::clone(self.node(&request.node)?);
            let (answers, fleet) = (self.answers.clone(), self.fleet.clone());
            let transcript = self.transcript.clone();
            self.requests.spawn(async move {
                answers.send(request, node, fleet, transcript).await;
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
        let id = text(case, "id")?;
        let count: u64 = case.take_arg("count").map_err(|error| error.to_string())?;
        let runs = self.fleet.runs_of(&id);
        if runs == count { Ok(()) } else { Err(format!("{id} ran {runs} times, not {count}")) }
    }

    fn expect_answer(&self, case: &mut TestCase) -> Result<(), String> {
        let id = text(case, "id")?;
        let wanted = text(case, "is")?;
        let Some(answer) = self.answers.answer_of(&id) else {
            return Err(format!("{id} has no answer"));
        };
        let holds = match wanted.as_str() {
            "whole" => answer.status == 200 && !answer.is_cut,
            "cut" => answer.is_cut,
            "not-dispatched" => answer.is_not_dispatched,
            "not-run" => answer.is_not_run,
            "unknown" => !answer.is_not_run && !answer.code.is_empty(),
            code => answer.code == code,
        };
        if holds { Ok(()) } else { Err(format!("{id} is not {wanted}: {answer:?}")) }
    }

    /// Every node that `nodes` names applies at least this generation.
    fn expect_generation(&self, case: &mut TestCase) -> Result<(), String> {
        let names: Vec<String> = case.take_args("nodes").map_err(|error| error.to_string())?;
        let wanted: u64 = case.take_arg("at-least").map_err(|error| error.to_string())?;
        for name in names {
            let generation = self.node(&name)?.control.generation_applier().number().0;
            if generation < wanted {
                return Err(format!("{name} applies {generation}, not {wanted}"));
            }
        }
        Ok(())
    }

    /// Adds an object's status to the transcript.
    async fn show(&self, case: &mut TestCase) -> Result<(), String> {
        let (kind, name) = (text(case, "kind")?, text(case, "name")?);
        let said = match self.platform.get(&kind, &name).await {
            Ok(object) => object.status.to_string(),
            Err(error) => error.to_string(),
        };
        self.transcript.say(&format!("show {kind} {name} {said}"));
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
            let is_fresh = node.freshness.is_confirmed();
            let answer = node.addresses.respond("");
            let addresses = String::from_utf8_lossy(&answer).matches("\"address\"").count();
            self.transcript.say(&format!(
                "status {name} generation={generation} confirmed={is_fresh} addresses={addresses} draining={draining:?}",
            ));
        }
    }

    fn node(&self, name: &str) -> Result<&Arc<EntryNode>, String> {
        self.nodes.get(name).ok_or_else(|| format!("no node {name}"))
    }
}

fn text(case: &mut TestCase, name: &str) -> Result<String, String> {
    case.take_arg(name).map_err(|error| error.to_string())
}

fn duration(case: &mut TestCase, name: &str) -> Result<Duration, String> {
    humantime::parse_duration(&text(case, name)?).map_err(|error| error.to_string())
}
