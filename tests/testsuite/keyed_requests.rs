//! Keyed requests through the data plane of one entry, on the paused clock.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heatherfall::balance::TwoChoicesPicker;
use heatherfall::core::BudgetSpec;
use heatherfall::ledger::{ClaimDecision, ClaimGrant, ClaimIntent, ClaimLedger, ClaimOutcome};
use heatherfall::membership::ConfigFreshness;
use heatherfall::request::{DataPlane, ExecutionSettings};
use heatherfall::util::SeededRandom;
use http::{HeaderMap, Request, StatusCode};
use http_body_util::BodyExt;
use serde_json::json;

use crate::support::{
    FakeBehaviour, FakeUpstreamClient, TEST_EPOCH_MS, TestLedger, single_node_ledger,
    three_upstream_snapshot,
};

/// Ledger that decides each claim at once and returns the decision after a delay.
struct SlowLedger {
    inner: TestLedger,
    delay: Duration,
}

impl ClaimLedger for SlowLedger {
    async fn claim(&self, intent: ClaimIntent) -> ClaimDecision {
        let decision = self.inner.claim(intent).await;
        tokio::time::sleep(self.delay).await;
        decision
    }

    async fn finish(&self, grant: ClaimGrant, outcome: ClaimOutcome) {
        self.inner.finish(grant, outcome).await;
    }
}

type KeyedPlane = DataPlane<FakeUpstreamClient, TwoChoicesPicker, SlowLedger>;

fn plane(client: &FakeUpstreamClient, ledger: &TestLedger, delay: Duration) -> KeyedPlane {
    DataPlane::new(
        three_upstream_snapshot(json!({ "deadline": "1s" }), BudgetSpec::default()),
        client.clone(),
        TwoChoicesPicker::new(SeededRandom::new(7)),
        SlowLedger { inner: ledger.clone(), delay },
        Arc::new(ConfigFreshness::default()),
        ExecutionSettings::default(),
    )
}

struct CallerView {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

async fn send(plane: &KeyedPlane, path: &str, id: &str) -> CallerView {
    let builder = Request::builder()
        .method("POST")
        .uri(path)
        .header("x-request-id", id)
        .header("idempotency-key", format!("{TEST_EPOCH_MS}-k"));
    let (parts, ()) = builder.body(()).unwrap().into_parts();
    let admitted = plane.admit(&parts).expect("a route selects the request");
    let response = plane.run(admitted, parts, Bytes::new()).await;
    let (parts, body) = response.into_parts();
    let body = body.collect().await.expect("a complete response").to_bytes();
    CallerView { status: parts.status, headers: parts.headers, body }
}

#[tokio::test(start_paused = true)]
async fn a_request_continues_after_its_caller_disconnects_and_its_outcome_is_stored() {
    let client = FakeUpstreamClient::new(vec![FakeBehaviour::respond_after_ms(50)]);
    let plane = plane(&client, &single_node_ledger(), Duration::ZERO);
    let disconnected =
        tokio::time::timeout(Duration::from_millis(20), send(&plane, "/write", "a")).await;
    assert!(disconnected.is_err());
    let resend = send(&plane, "/write", "b").await;
    assert_eq!(resend.status, StatusCode::CONFLICT);
    assert_eq!(resend.headers["heatherfall-result"], "HF-1020");
    assert!(resend.headers.contains_key("retry-after"));
    assert!(!resend.headers.contains_key("heatherfall-not-run"));
    plane.keyed_tasks().close();
    plane.keyed_tasks().wait().await;
    let repeat = send(&plane, "/write", "c").await;
    assert_eq!((repeat.status, repeat.body.as_ref()), (StatusCode::OK, b"a".as_slice()));
    assert_eq!(repeat.headers["heatherfall-replayed"], "true");
    let runs = ["a", "b", "c"].map(|id| client.recorder.runs_of(id));
    assert_eq!(runs, [1, 0, 0]);
}

#[tokio::test(start_paused = true)]
async fn a_claim_granted_after_the_deadline_is_released_without_dispatch() {
    let client = FakeUpstreamClient::new(vec![FakeBehaviour::respond_after_ms(1)]);
    let ledger = single_node_ledger();
    let late = send(&plane(&client, &ledger, Duration::from_secs(2)), "/write", "late").await;
    assert_eq!(late.headers["heatherfall-result"], "HF-1003");
    assert_eq!(late.headers["heatherfall-not-run"], "true");
    assert_eq!(client.recorder.attempts(), 0);
    tokio::time::sleep(Duration::from_secs(1)).await;
    let next = send(&plane(&client, &ledger, Duration::ZERO), "/write", "next").await;
    assert_eq!((next.status, next.body.as_ref()), (StatusCode::OK, b"next".as_slice()));
}

#[tokio::test(start_paused = true)]
async fn under_an_unconfirmed_configuration_every_request_with_a_key_is_claimed() {
    let client = FakeUpstreamClient::new(vec![FakeBehaviour::respond_after_ms(1)]);
    let plane = plane(&client, &single_node_ledger(), Duration::ZERO);
    let first = send(&plane, "/read", "a").await;
    assert_eq!(first.body.as_ref(), b"a");
    plane.keyed_tasks().close();
    plane.keyed_tasks().wait().await;
    let repeat = send(&plane, "/read", "b").await;
    assert_eq!(repeat.body.as_ref(), b"a");
    assert_eq!(client.recorder.runs_of("b"), 0);
}

#[tokio::test(start_paused = true)]
async fn a_response_too_long_to_store_is_forwarded_whole_and_resends_get_already_ran() {
    let client = FakeUpstreamClient::new(vec![FakeBehaviour::respond_after_ms(1)]);
    let plane = plane(&client, &single_node_ledger(), Duration::ZERO);
    // The fake upstream's response body is the id of the request.
    let long = "x".repeat(5000);
    let first = send(&plane, "/write", &long).await;
    assert_eq!(first.body.len(), 5000);
    plane.keyed_tasks().close();
    plane.keyed_tasks().wait().await;
    let repeat = send(&plane, "/write", "b").await;
    assert_eq!(repeat.status, StatusCode::CONFLICT);
    assert_eq!(repeat.headers["heatherfall-result"], "HF-1026");
    assert!(!repeat.headers.contains_key("heatherfall-not-run"));
}
