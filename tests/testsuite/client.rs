//! Runs the operators' client as a process. Sessions and help texts are compared with golden files.

use std::path::Path;
use std::process::Command;

use heatherfall::config::{ConfigCompiler, GenerationApplier};
use heatherfall::core::{FailureDomain, ObjectKind, SharedSnapshot, VmId};
use heatherfall::membership::{ControlNode, NodeIdentity, SharedMembership};
use heatherfall::ops::objects::{self, ObjectManifest};
use heatherfall::platform::{PlatformStore, StoreError};
use heatherfall_standins::ServerHandle;
use heatherfall_standins::platform::{self, FaultSettings, StandinPlatform};
use snapbox::{assert_data_eq, file};

const SAMPLE_OBJECTS: &str = include_str!("../../examples/both-users.jsonc");

/// A platform stand-in and the transcript of commands run against it.
struct ClientSession {
    platform: StandinPlatform,
    server: ServerHandle,
    /// Command lines with their output and exit codes.
    transcript: String,
}

impl ClientSession {
    async fn start() -> Self {
        let platform = StandinPlatform::default();
        let addr = std::net::SocketAddr::from((std::net::Ipv4Addr::LOCALHOST, 0));
        let server = platform::serve(platform.clone(), addr).await.expect("platform is served");
        Self { platform, server, transcript: String::new() }
    }

    /// Runs the client with space-separated arguments, appends its output to the transcript and
    /// returns the exit code.
    async fn run(&mut self, line: &str) -> i32 {
        let addr = self.server.addr().to_string();
        let arguments: Vec<String> = line.split(' ').map(str::to_owned).collect();
        let output = tokio::task::spawn_blocking(move || {
            Command::new(env!("CARGO_BIN_EXE_heatherfall"))
                .args(["--platform", &addr, "--timeout", "2s"])
                .args(arguments)
                .env("NO_COLOR", "1")
                .current_dir(Path::new(env!("CARGO_MANIFEST_DIR")))
                .output()
                .expect("client runs")
        })
        .await
        .expect("client ends");
        let code = output.status.code().expect("client exits");
        self.transcript.push_str(&format!("$ heatherfall {line}\n"));
        self.transcript.push_str(&String::from_utf8_lossy(&output.stdout));
        self.transcript.push_str(&String::from_utf8_lossy(&output.stderr));
        self.transcript.push_str(&format!("[exit {code}]\n\n"));
        code
    }

    async fn put(&self, name: &str, deadline: &str) {
        let manifest = ObjectManifest {
            kind: ObjectKind::Route,
            name: name.to_owned(),
            labels: Default::default(),
            spec: serde_json::json!({
                "requests": "app=lookups", "upstreams": "app=lookups", "deadline": deadline,
            }),
        };
        objects::apply(&self.platform, manifest).await.expect("route applies");
    }
}

/// Runs the configuration compiler of a one-node deployment until it has published a generation.
async fn publish(platform: &StandinPlatform) {
    let identity = NodeIdentity {
        vm: VmId::new("entry-1"),
        failure_domain: FailureDomain::new("fd-a"),
        caller_address: "127.0.0.1:1".to_owned(),
        peer_address: "127.0.0.1:2".to_owned(),
        incarnation: 1,
    };
    let applier = std::sync::Arc::new(GenerationApplier::new(SharedSnapshot::default()));
    let node = ControlNode::new(identity, applier, Default::default(), SharedMembership::default());
    node.set_relay_term(1);
    let compiler = ConfigCompiler::new(node.into(), platform.clone().into());
    let stop = tokio_util::sync::CancellationToken::new();
    let stopped = stop.clone();
    let compiling = tokio::spawn(async move { compiler.run(stopped).await });
    loop {
        let object = platform.get("Route", "lookups").await.expect("route is there");
        if !object.status.is_null() {
            break;
        }
        tokio::time::sleep(std::time::Duration::from_millis(5)).await;
    }
    stop.cancel();
    compiling.await.expect("compiler ends");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_operator_session_matches_the_golden_transcript() {
    let mut session = ClientSession::start().await;
    session.run("apply --dry-run tests/testsuite/golden/route.jsonc").await;
    assert!(matches!(session.platform.get("Route", "lookups").await, Err(StoreError::NotFound)));
    session.run("apply examples/both-users.jsonc").await;
    session.run("diff examples/both-users.jsonc").await;
    session.run("diff tests/testsuite/golden/route.jsonc").await;
    session.run("get Route lookups").await;
    session.run("get Route nowhere").await;
    session.run("get Nothing").await;
    session.run("apply tests/testsuite/golden/bad-selector.jsonc").await;
    session.run("explain /cau-noi/donations -X POST --proposed").await;
    session.run("explain /nowhere --proposed").await;
    session.run("explain /cau-noi/donations").await;
    session.run("delete Route nowhere").await;
    session.run("delete Route lookups").await;
    assert_data_eq!(session.transcript, file!["golden/client-session.txt"].raw());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn status_shows_the_rollout_phase_of_each_change() {
    let mut session = ClientSession::start().await;
    session.put("lookups", "1s").await;
    assert_eq!(session.run("status").await, 1, "{}", session.transcript);
    publish(&session.platform).await;
    let finished = session.run("status --unfinished").await;
    let status = session.platform.get("Route", "lookups").await.expect("route").status;
    assert_eq!(finished, 0, "{status} {}", session.transcript);
    session.put("lookups", "2s").await;
    assert_eq!(session.run("status").await, 1);
    assert_eq!(session.run("explain /x").await, 1);
    assert_data_eq!(session.transcript, file!["golden/client-status.txt"].raw());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn exit_codes_tell_conflict_outage_and_lost_answers_apart() {
    let mut session = ClientSession::start().await;
    let file = "apply tests/testsuite/golden/route.jsonc";
    session.platform.set_faults(FaultSettings { down: true, ..Default::default() });
    assert_eq!(session.run(file).await, 4, "{}", session.transcript);
    session.platform.set_faults(FaultSettings { lose_write_answers: 1, ..Default::default() });
    assert_eq!(session.run(file).await, 0, "{}", session.transcript);
    session.platform.set_faults(FaultSettings { lose_write_answers: 1, ..Default::default() });
    assert_eq!(session.run("delete Route lookups").await, 0, "{}", session.transcript);
    let found = session.platform.get("Route", "lookups").await;
    assert!(matches!(found, Err(StoreError::NotFound)), "{found:?}");
    assert_eq!(session.run("apply").await, 2, "{}", session.transcript);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn the_loser_of_a_race_sees_the_other_change_and_writes_nothing() {
    let mut session = ClientSession::start().await;
    session.put("lookups", "1s").await;
    session.platform.set_faults(FaultSettings { overtaken_writes: 1, ..Default::default() });
    let code = session.run("apply tests/testsuite/golden/route.jsonc").await;
    assert_eq!(code, 3, "{}", session.transcript);
    assert!(session.transcript.contains("HF-2004"), "{}", session.transcript);
    let winner = session.platform.get("Route", "lookups").await.expect("route is there");
    assert_eq!(winner.labels["changed-by"], "another-operator");
    assert_eq!(winner.spec["upstreams"], "app=lookups");
    assert_eq!(session.run("apply tests/testsuite/golden/route.jsonc").await, 0);
}

#[test]
fn the_help_of_every_command_matches_the_golden_text() {
    let mut text = String::new();
    let commands = [
        "",
        "apply",
        "delete",
        "dev",
        "diff",
        "explain",
        "explain-request",
        "get",
        "standin",
        "status",
        "watch",
    ];
    for command in commands {
        let mut help = Command::new(env!("CARGO_BIN_EXE_heatherfall"));
        if !command.is_empty() {
            help.arg(command);
        }
        let output = help.arg("--help").env_remove("HEATHERFALL_PLATFORM").output().expect("runs");
        text.push_str(&format!("$ heatherfall {command} --help\n"));
        text.push_str(&String::from_utf8_lossy(&output.stdout));
        text.push('\n');
    }
    assert_data_eq!(text, file!["golden/client-help.txt"].raw());
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn json_output_holds_the_complete_object() {
    let mut session = ClientSession::start().await;
    session.put("lookups", "1s").await;
    session.run("--json get Route lookups").await;
    let json = session.transcript.split_once('\n').expect("output").1.split("[exit").next();
    let objects: Vec<heatherfall::platform::ObjectEnvelope> =
        serde_json::from_str(json.expect("json")).expect("objects");
    let stored = session.platform.get("Route", "lookups").await.expect("route is there");
    assert_eq!(objects, [stored]);
}

#[test]
fn the_sample_objects_are_valid() {
    assert!(!objects::parse_manifests(SAMPLE_OBJECTS).expect("sample parses").is_empty());
}
