//! The whole path in one process: caller, entry, upstream and back.

use heatherfall::ops::dev::{DevDeployment, DevSettings, ServiceSize};
use heatherfall::ops::smoke;
use heatherfall_standins::upstream::UpstreamBehaviour;
use http::{Method, StatusCode};

use crate::support::TestCaller;

fn small() -> DevSettings {
    let service = |app| ServiceSize { app, targets: 3, slots: 4 };
    DevSettings {
        first_port: 0,
        services: vec![service("lookups"), service("donations")],
        announce: std::time::Duration::ZERO,
    }
}

#[tokio::test]
async fn every_class_is_answered_with_its_own_answer() {
    let settings = DevSettings { first_port: 0, ..DevSettings::default() };
    let deployment = DevDeployment::start(&settings).await.expect("deployment starts");
    let report = smoke::run(&deployment).await.expect("smoke runs");
    assert_eq!((report.passed, report.failed), (9, 0));
    deployment.stop().await;
}

#[tokio::test]
async fn an_answer_cut_by_the_upstream_is_cut_for_the_caller() {
    let deployment = DevDeployment::start(&small()).await.expect("deployment starts");
    for one in &deployment.upstreams {
        one.upstream.set_behaviour(UpstreamBehaviour {
            padding_bytes: 4096,
            truncate_after_bytes: Some(100),
            ..UpstreamBehaviour::default()
        });
    }
    let entry = deployment.nodes[0].caller_addr();
    let reply = TestCaller::new().send(entry, Method::GET, "/cau-noi/lookup/x", &[]).await;
    assert!(reply.is_err(), "a cut answer was passed on as whole: {reply:?}");
}

#[tokio::test]
async fn a_donation_that_every_upstream_refuses_is_reported_as_not_run() {
    let deployment = DevDeployment::start(&small()).await.expect("deployment starts");
    for one in &deployment.upstreams {
        one.upstream.set_behaviour(UpstreamBehaviour { shed_all: true, ..Default::default() });
    }
    let entry = deployment.nodes[0].caller_addr();
    let caller = TestCaller::new();
    let reply = caller.send(entry, Method::POST, "/cau-noi/donations", &[]).await;
    let reply = reply.expect("a whole refusal");
    assert_eq!(reply.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(reply.headers["heatherfall-result"], "HF-1003");
    assert_eq!(reply.headers["heatherfall-not-run"], "true");
    assert!(reply.body.starts_with("HF-1003:"), "{}", reply.body);
    let runs: u64 = deployment.upstreams.iter().map(|one| one.upstream.total_runs()).sum();
    assert_eq!(runs, 0);
}

#[tokio::test]
async fn a_donation_that_failed_after_running_is_not_sent_again() {
    let deployment = DevDeployment::start(&small()).await.expect("deployment starts");
    for one in &deployment.upstreams {
        one.upstream.set_behaviour(UpstreamBehaviour { never_respond: true, ..Default::default() });
    }
    let entry = deployment.nodes[0].caller_addr();
    let headers = [("x-request-id", "d-1"), ("heatherfall-deadline-ms", "200")];
    let caller = TestCaller::new();
    let reply = caller.send(entry, Method::POST, "/cau-noi/donations", &headers).await;
    let reply = reply.expect("a whole refusal");
    assert_eq!(reply.headers["heatherfall-result"], "HF-1005");
    assert!(!reply.headers.contains_key("heatherfall-not-run"));
    let runs: u64 = deployment.upstreams.iter().map(|one| one.upstream.runs_of("d-1")).sum();
    assert_eq!(runs, 1);
}
