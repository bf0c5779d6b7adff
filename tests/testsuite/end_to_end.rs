//! Requests through a complete deployment in one process: caller, entry, upstream and back.

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
async fn every_request_class_gets_its_response() {
    let settings = DevSettings { first_port: 0, ..DevSettings::default() };
    let deployment = DevDeployment::start(&settings).await.expect("deployment starts");
    let report = smoke::run(&deployment).await.expect("smoke runs");
    assert_eq!((report.passed, report.failed), (9, 0));
    deployment.stop().await;
}

#[tokio::test]
async fn a_response_truncated_by_the_upstream_is_truncated_for_the_caller() {
    let deployment = DevDeployment::start(&small()).await.expect("deployment starts");
    for one in &deployment.upstreams {
        one.upstream.set_behaviour(UpstreamBehaviour {
            padding_bytes: 4096,
            truncate_after_bytes: Some(100),
            ..UpstreamBehaviour::default()
        });
    }
    let entry = deployment.nodes[0].caller_addr();
    let response = TestCaller::new().send(entry, Method::GET, "/cau-noi/lookup/x", &[]).await;
    assert!(response.is_err(), "a truncated response was forwarded as complete: {response:?}");
}

#[tokio::test]
async fn a_donation_that_every_upstream_sheds_is_reported_as_not_run() {
    let deployment = DevDeployment::start(&small()).await.expect("deployment starts");
    for one in &deployment.upstreams {
        one.upstream.set_behaviour(UpstreamBehaviour { shed_all: true, ..Default::default() });
    }
    let entry = deployment.nodes[0].caller_addr();
    let caller = TestCaller::new();
    let response = caller.send(entry, Method::POST, "/cau-noi/donations", &[]).await;
    let response = response.expect("a complete error response");
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.headers["heatherfall-result"], "HF-1003");
    assert_eq!(response.headers["heatherfall-not-run"], "true");
    assert!(response.body.starts_with("HF-1003:"), "{}", response.body);
    let runs: u64 = deployment.upstreams.iter().map(|one| one.upstream.total_runs()).sum();
    assert_eq!(runs, 0);
}

#[tokio::test]
async fn a_donation_that_timed_out_after_running_is_not_retried() {
    let deployment = DevDeployment::start(&small()).await.expect("deployment starts");
    for one in &deployment.upstreams {
        one.upstream.set_behaviour(UpstreamBehaviour { never_respond: true, ..Default::default() });
    }
    let entry = deployment.nodes[0].caller_addr();
    let headers = [("x-request-id", "d-1"), ("heatherfall-deadline-ms", "200")];
    let caller = TestCaller::new();
    let response = caller.send(entry, Method::POST, "/cau-noi/donations", &headers).await;
    let response = response.expect("a complete error response");
    assert_eq!(response.headers["heatherfall-result"], "HF-1005");
    assert!(!response.headers.contains_key("heatherfall-not-run"));
    let runs: u64 = deployment.upstreams.iter().map(|one| one.upstream.runs_of("d-1")).sum();
    assert_eq!(runs, 1);
}
