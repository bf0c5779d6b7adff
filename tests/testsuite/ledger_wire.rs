//! Keyed requests through the entries of an embedded deployment, over sockets.

use std::net::SocketAddr;
use std::time::Duration;

use heatherfall::ops::dev::{DevDeployment, DevSettings, ServiceSize};
use http::{Method, StatusCode};

use crate::support::{CallerResponse, TestCaller};

async fn start() -> DevDeployment {
    let settings = DevSettings {
        first_port: 0,
        services: vec![ServiceSize { app: "donations", targets: 3, slots: 4 }],
        announce: Duration::ZERO,
    };
    DevDeployment::start(&settings).await.expect("deployment starts")
}

fn total_runs(deployment: &DevDeployment) -> u64 {
    deployment.upstreams.iter().map(|standin| standin.upstream.total_runs()).sum()
}

/// Repeats a request until its key is no longer in progress: an outcome is recorded only after the
/// response has been forwarded to the caller.
async fn repeat_until_recorded(
    caller: &TestCaller,
    entry: SocketAddr,
    key: &str,
) -> CallerResponse {
    loop {
        let headers = [("idempotency-key", key)];
        let response = caller.send(entry, Method::POST, "/cau-noi/donations", &headers).await;
        let response = response.expect("a complete response");
        if response.headers.get("heatherfall-result").is_none_or(|code| code != "HF-1020") {
            return response;
        }
    }
}

#[tokio::test]
async fn repeats_through_other_entries_and_after_a_leave_get_the_first_response() {
    let mut deployment = start().await;
    let caller = TestCaller::new();
    let mut first_responses = Vec::new();
    for index in 0..12 {
        let key = uuid::Uuid::now_v7().to_string();
        let entry = deployment.nodes[index % 3].caller_addr();
        let headers = [("idempotency-key", key.as_str())];
        let response = caller.send(entry, Method::POST, "/cau-noi/donations", &headers).await;
        let response = response.expect("a complete response");
        assert_eq!(response.status, StatusCode::OK, "{}", response.body);
        first_responses.push((key, response.body));
    }
    assert_eq!(total_runs(&deployment), 12);
    deployment.nodes.remove(0).leave().await;
    for (key, first) in &first_responses {
        for node in &deployment.nodes {
            let response = repeat_until_recorded(&caller, node.caller_addr(), key).await;
            assert_eq!(response.status, StatusCode::OK, "{}", response.body);
            assert_eq!(response.headers["heatherfall-replayed"], "true");
            assert_eq!(&response.body, first);
        }
    }
    assert_eq!(total_runs(&deployment), 12);
    deployment.stop().await;
}

#[tokio::test]
async fn a_key_without_a_time_is_refused_and_not_dispatched() {
    let deployment = start().await;
    let entry = deployment.nodes[0].caller_addr();
    let headers = [("idempotency-key", "donation-17")];
    let caller = TestCaller::new();
    let response = caller.send(entry, Method::POST, "/cau-noi/donations", &headers).await;
    let response = response.expect("a complete response");
    assert_eq!(response.status, StatusCode::BAD_REQUEST);
    assert_eq!(response.headers["heatherfall-result"], "HF-1023");
    assert_eq!(response.headers["heatherfall-not-dispatched"], "true");
    assert!(
        !response.headers.contains_key("heatherfall-not-run"),
        "the key was not looked up, so whether it ran is not known"
    );
    assert_eq!(total_runs(&deployment), 0);
    deployment.stop().await;
}
