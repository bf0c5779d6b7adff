//! Load tests against a deployment that runs in the test's process.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use heatherfall::ops::dev::{DevDeployment, DevSettings, ServiceSize};
use heatherfall::ops::load::{
    self, LoadTestComparison, LoadTestReport, LoadTestSettings, WorkloadMix, write_plot,
};
use heatherfall_standins::upstream::UpstreamBehaviour;
use tokio::net::TcpSocket;

async fn deployment() -> DevDeployment {
    let service = |app| ServiceSize { app, targets: 8, slots: 4 };
    let settings = DevSettings {
        first_port: 0,
        services: vec![
            service("lookups"),
            service("audio"),
            service("packs"),
            service("donations"),
        ],
        announce: Duration::ZERO,
    };
    DevDeployment::start(&settings).await.expect("deployment starts")
}

fn settings(deployment: &DevDeployment) -> LoadTestSettings {
    LoadTestSettings {
        entries: deployment.nodes.iter().map(|node| node.caller_addr()).collect(),
        classes: WorkloadMix::CauNoi.classes(),
        rate: 60.0,
        duration: Duration::from_secs(1),
        shift_depth: 0.5,
        ..LoadTestSettings::default()
    }
}

fn sent_by_class(report: &LoadTestReport) -> Vec<u64> {
    report.classes.iter().map(|class| class.answered + class.failed()).collect()
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn every_class_of_the_mix_is_answered_and_a_seed_reproduces_the_requests() {
    let deployment = deployment().await;
    let settings = settings(&deployment);
    let first = load::run(&settings, &()).await.expect("load test runs");
    assert_eq!(first.failed(), 0, "{first}");
    assert!(first.classes.iter().all(|class| class.answered > 0), "{first}");
    let runs: u64 = deployment.upstreams.iter().map(|standin| standin.upstream.total_runs()).sum();
    assert_eq!(runs, first.answered(), "{first}");
    // The service time of the stand-ins is 2 ms.
    assert!(first.classes.iter().all(|class| class.p50_us >= 2000), "{first}");

    let second = load::run(&settings, &()).await.expect("load test runs");
    assert_eq!(sent_by_class(&first), sent_by_class(&second));

    let json = serde_json::to_string(&first).expect("report serializes");
    let read: LoadTestReport = serde_json::from_str(&json).expect("report parses");
    assert_eq!(read.classes, first.classes);
    let file = tempfile::NamedTempFile::new().expect("temporary file");
    write_plot(&read, file.path()).expect("plot is written");
    let plot = std::fs::read_to_string(file.path()).expect("plot file can be read");
    assert!(plot.contains("<svg") && plot.contains("donation"), "{plot}");
    let table = LoadTestComparison { before: first.clone(), after: first }.to_string();
    assert!(table.contains("lookup") && table.contains("1.00"), "{table}");
    deployment.stop().await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_caller_whose_address_refuses_connections_uses_the_next_one() {
    let deployment = deployment().await;
    // Bound until the end of the test, so that no other test listens on the port; not listening itself.
    let closed = TcpSocket::new_v4().expect("a socket");
    closed.bind(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).expect("binds");
    let closed_addr = closed.local_addr().expect("address");
    let settings = LoadTestSettings {
        targets: vec![closed_addr, deployment.nodes[0].caller_addr()],
        ..settings(&deployment)
    };
    let report = load::run(&settings, &()).await.expect("load test runs");
    assert_eq!(report.failed(), 0, "{report}");
    assert!(report.answered() > 0);
    deployment.stop().await;
    drop(closed);
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn shed_requests_are_counted_as_not_run() {
    let deployment = deployment().await;
    for standin in &deployment.upstreams {
        standin.upstream.set_behaviour(UpstreamBehaviour { shed_all: true, ..Default::default() });
    }
    let report = load::run(&settings(&deployment), &()).await.expect("load test runs");
    let not_run: u64 = report.classes.iter().map(|class| class.not_run).sum();
    assert_eq!((report.answered(), report.failed()), (0, not_run), "{report}");
    let runs: u64 = deployment.upstreams.iter().map(|standin| standin.upstream.total_runs()).sum();
    assert_eq!(runs, 0);
    deployment.stop().await;
}

#[tokio::test]
async fn settings_without_entries_and_targets_are_rejected() {
    let error = load::run(&LoadTestSettings::default(), &()).await.expect_err("no address");
    assert!(error.to_string().contains("HF-5003"), "{error}");
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn reported_latency_includes_the_service_time() {
    let deployment = deployment().await;
    for standin in &deployment.upstreams {
        let service_time = Duration::from_millis(20);
        standin.upstream.set_behaviour(UpstreamBehaviour { service_time, ..Default::default() });
    }
    let settings = LoadTestSettings { rate: 50.0, ..settings(&deployment) };
    let report = load::run(&settings, &()).await.expect("load test runs");
    for class in &report.classes {
        assert!(class.answered == 0 || class.p50_us >= 20_000, "{class:?}");
    }
    assert!(report.answered() > 0);
    deployment.stop().await;
}
