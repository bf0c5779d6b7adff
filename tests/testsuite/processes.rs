//! `heatherfalld` as separate processes that share one platform stand-in.

use std::net::{Ipv4Addr, SocketAddr};

use heatherfall::core::ObjectKind;
use heatherfall::ops::load::{self, LoadTestClass, LoadTestSettings, WorkloadMix};
use heatherfall::ops::objects::{self, ObjectManifest};
use heatherfall_standins::platform::{self, FaultSettings, StandinPlatform};
use heatherfall_standins::upstream::{self, StandinUpstream, UpstreamBehaviour};
use http::Method;

use crate::support::{DaemonProcess, TestCaller};

const SAMPLE_OBJECTS: &str = include_str!("../../examples/both-users.jsonc");

fn any_port() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

fn lookup_class() -> LoadTestClass {
    let classes = WorkloadMix::CauNoi.classes();
    classes.into_iter().find(|class| class.name == "lookup").expect("lookups are in the mix")
}

async fn wait_ready(daemon: &DaemonProcess) {
    let caller = TestCaller::new();
    loop {
        let response = caller.send(daemon.admin_addr, Method::GET, "/readyz", &[]).await;
        if response.is_ok_and(|response| response.status.is_success()) {
            return;
        }
        tokio::time::sleep(std::time::Duration::from_millis(10)).await;
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_terminated_process_cuts_off_nothing() {
    let platform = StandinPlatform::default();
    let server = platform::serve(platform.clone(), any_port()).await.expect("platform is served");
    for manifest in objects::parse_manifests(SAMPLE_OBJECTS).expect("sample parses") {
        objects::apply(&platform, manifest).await.expect("sample applies");
    }
    let mut upstreams = Vec::new();
    for index in 0..4 {
        let name = format!("lookups-{index}");
        let upstream = StandinUpstream::new(&name, UpstreamBehaviour::default());
        let served = upstream::serve(upstream, any_port()).await.expect("upstream is served");
        let spec =
            serde_json::json!({ "address": served.addr().to_string(), "failure_domain": "fd-a" });
        let labels = [("app".to_owned(), "lookups".to_owned())].into();
        let manifest = ObjectManifest { kind: ObjectKind::Upstream, name, labels, spec };
        objects::apply(&platform, manifest).await.expect("upstream applies");
        upstreams.push(served);
    }
    let mut daemons = Vec::new();
    for (vm, failure_domain) in [("entry-1", "fd-a"), ("entry-2", "fd-b"), ("entry-3", "fd-c")] {
        let daemon = DaemonProcess::start(vm, failure_domain, server.addr());
        wait_ready(&daemon).await;
        daemons.push(daemon);
    }
    let load_settings = LoadTestSettings {
        targets: vec![daemons[0].caller_addr, daemons[1].caller_addr],
        classes: vec![lookup_class()],
        rate: 200.0,
        duration: std::time::Duration::from_secs(2),
        ..LoadTestSettings::default()
    };
    let load_run = tokio::spawn(async move { load::run(&load_settings, &()).await });

    // These requests take long enough to be in flight at the leaving node when the signal arrives.
    let caller = TestCaller::new();
    let leaving = daemons[2].caller_addr;
    let mut in_flight = tokio::task::JoinSet::new();
    for _ in 0..8 {
        let caller = caller.clone();
        in_flight.spawn(async move {
            caller.send(leaving, Method::GET, "/cau-noi/lookup/hello", &[]).await
        });
    }
    daemons[2].terminate();
    while let Some(response) = in_flight.join_next().await {
        let response = response.expect("task ends").expect("a complete response");
        assert!(response.status.is_success());
    }
    assert!(daemons[2].wait(), "the daemon ended with an error");
    let report = load_run.await.expect("load ends").expect("load runs");
    assert_eq!(report.failed(), 0, "{report}");
    assert!(report.answered() > 0);
}

/// A stand-in process started as the README describes; killed on drop.
struct StandinProcess {
    child: std::process::Child,
    addr: SocketAddr,
}

impl StandinProcess {
    fn start(arguments: &[&str]) -> Self {
        use std::io::BufRead;
        let mut child = std::process::Command::new(env!("CARGO_BIN_EXE_heatherfall"))
            .arg("standin")
            .args(arguments)
            .args(["--listen", "127.0.0.1:0"])
            .stdout(std::process::Stdio::piped())
            .spawn()
            .expect("stand-in starts");
        let mut line = String::new();
        let stdout = child.stdout.take().expect("stdout is piped");
        std::io::BufReader::new(stdout).read_line(&mut line).expect("stand-in prints its address");
        let addr = line.trim().rsplit(' ').next().and_then(|addr| addr.parse().ok());
        Self { child, addr: addr.expect("an address") }
    }
}

impl Drop for StandinProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn three_daemons_on_stand_in_processes_serve_a_load_without_failures() {
    let platform = StandinProcess::start(&["platform"]);
    let upstreams = [
        StandinProcess::start(&["upstream", "--name", "lookups-0"]),
        StandinProcess::start(&["upstream", "--name", "lookups-1"]),
    ];
    let mut objects: Vec<serde_json::Value> = Vec::new();
    for (index, upstream) in upstreams.iter().enumerate() {
        objects.push(serde_json::json!({
            "kind": "Upstream", "name": format!("lookups-{index}"), "labels": { "app": "lookups" },
            "spec": { "address": upstream.addr.to_string(), "failure_domain": "fd-a" },
        }));
    }
    let file = tempfile::NamedTempFile::new().expect("temporary file");
    std::fs::write(file.path(), serde_json::to_vec(&objects).expect("json")).expect("written");
    let status = std::process::Command::new(env!("CARGO_BIN_EXE_heatherfall"))
        .args(["--platform", &platform.addr.to_string(), "apply"])
        .arg(concat!(env!("CARGO_MANIFEST_DIR"), "/examples/both-users.jsonc"))
        .arg(file.path())
        .stdout(std::process::Stdio::null())
        .status()
        .expect("client runs");
    assert!(status.success());
    let mut entries = Vec::new();
    let mut daemons = Vec::new();
    for (vm, failure_domain) in [("entry-1", "fd-a"), ("entry-2", "fd-b"), ("entry-3", "fd-c")] {
        let daemon = DaemonProcess::start(vm, failure_domain, platform.addr);
        wait_ready(&daemon).await;
        entries.push(daemon.caller_addr);
        daemons.push(daemon);
    }
    let settings = LoadTestSettings {
        entries,
        classes: vec![lookup_class()],
        rate: 200.0,
        duration: std::time::Duration::from_secs(1),
        ..LoadTestSettings::default()
    };
    let report = load::run(&settings, &()).await.expect("load runs");
    assert_eq!(report.failed(), 0, "{report}");
    assert!(report.answered() > 0);
    for daemon in &mut daemons {
        daemon.terminate();
        assert!(daemon.wait(), "a daemon ended with an error");
    }
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_second_signal_and_a_platform_that_is_down_do_not_keep_a_process_from_leaving_cleanly() {
    let platform = StandinPlatform::default();
    let server = platform::serve(platform.clone(), any_port()).await.expect("platform is served");
    for manifest in objects::parse_manifests(SAMPLE_OBJECTS).expect("sample parses") {
        objects::apply(&platform, manifest).await.expect("sample applies");
    }
    let mut daemon = DaemonProcess::start("entry-1", "fd-a", server.addr());
    wait_ready(&daemon).await;
    platform.set_faults(FaultSettings { down: true, ..FaultSettings::default() });
    daemon.terminate();
    daemon.terminate();
    assert!(daemon.wait(), "the daemon ended with an error");
}
