//! Attempts, retries and hedges against a fake upstream that counts them, on the paused clock.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heatherfall::balance::TwoChoicesPicker;
use heatherfall::core::BudgetSpec;
use heatherfall::membership::ConfigFreshness;
use heatherfall::request::{
    DataPlane, ExecutionSettings, ResponseBody, ResponseBodyError, ResponseStream,
};
use heatherfall::serve::LimitMetrics;
use heatherfall::util::SeededRandom;
use http::{HeaderMap, Request, StatusCode};
use http_body::Frame;
use http_body_util::{BodyExt, StreamBody};
use prometheus::{Registry, TextEncoder};
use serde_json::json;
use tokio::time::Instant;

use crate::support::{
    FakeBehaviour, FakeUpstreamClient, TestLedger, single_node_ledger, three_upstream_snapshot,
};

type TestPlane = DataPlane<FakeUpstreamClient, TwoChoicesPicker, TestLedger>;

struct CallerView {
    status: StatusCode,
    headers: HeaderMap,
}

impl CallerView {
    fn code(&self) -> &str {
        self.headers.get("heatherfall-result").map_or("ok", |value| value.to_str().unwrap())
    }

    fn is_not_run(&self) -> bool {
        self.headers.contains_key("heatherfall-not-run")
    }
}

fn plane(
    client: &FakeUpstreamClient,
    route: serde_json::Value,
) -> (TestPlane, Arc<ConfigFreshness>) {
    let budget = BudgetSpec { retry_ratio: 0.1, hedge_ratio: 0.5, ..BudgetSpec::default() };
    let freshness = Arc::new(ConfigFreshness::default());
    freshness.confirm(Duration::ZERO);
    let plane = DataPlane::new(
        three_upstream_snapshot(route, budget),
        client.clone(),
        TwoChoicesPicker::new(SeededRandom::new(7)),
        single_node_ledger(),
        Arc::clone(&freshness),
        ExecutionSettings::default(),
    );
    (plane, freshness)
}

async fn send(plane: &TestPlane, path: &str, id: &str, allowance: Option<u32>) -> CallerView {
    let mut builder = Request::builder().uri(path).header("x-request-id", id);
    if let Some(allowance) = allowance {
        builder = builder.header("heatherfall-retry-allowance", allowance);
    }
    let (parts, ()) = builder.body(()).unwrap().into_parts();
    let admitted = plane.admit(&parts).expect("a route selects the request");
    let response = plane.run(admitted, parts, Bytes::new()).await;
    let (parts, _body) = response.into_parts();
    CallerView { status: parts.status, headers: parts.headers }
}

/// Fills the latency window with responses of 1 ms, from which the hedge delay is computed.
async fn warm_up(plane: &TestPlane) {
    for index in 0..60 {
        send(plane, "/read", &format!("warm-{index}"), None).await;
    }
}

fn warm_steps(then: FakeBehaviour) -> Vec<FakeBehaviour> {
    let mut steps = vec![FakeBehaviour::respond_after_ms(1); 60];
    steps.push(then);
    steps.push(FakeBehaviour::respond_after_ms(1));
    steps
}

#[tokio::test(start_paused = true)]
async fn an_at_most_once_request_runs_once_whatever_its_upstreams_do() {
    let mut random = SeededRandom::new(11);
    for round in 0..500 {
        let steps = (0..4).map(|_| FakeBehaviour::random(&mut random)).collect();
        let client = FakeUpstreamClient::new(steps);
        let (plane, _) = plane(&client, json!({}));
        let response = send(&plane, "/write", "w", None).await;
        let runs = client.recorder.runs_of("w");
        assert!(runs <= 1, "round {round}: ran {runs} times");
        if response.is_not_run() {
            assert_eq!(runs, 0, "round {round}: ran, but was reported as not run");
        }
        assert_eq!(client.recorder.peak_in_flight(), 1, "round {round}: hedged");
        assert_eq!(client.recorder.in_flight(), 0, "round {round}: an attempt is still in flight");
    }
}

#[tokio::test(start_paused = true)]
async fn a_cancelled_request_leaves_no_attempt_in_flight() {
    let client = FakeUpstreamClient::new(vec![FakeBehaviour::NeverRespond]);
    let (plane, _) = plane(&client, json!({}));
    let call = send(&plane, "/read", "r", None);
    let cancelled = tokio::time::timeout(Duration::from_millis(5), call).await;
    assert!(cancelled.is_err());
    assert_eq!((client.recorder.attempts(), client.recorder.in_flight()), (1, 0));
}

#[tokio::test(start_paused = true)]
async fn a_slow_idempotent_request_is_hedged_and_the_slower_attempt_cancelled() {
    let client = FakeUpstreamClient::new(warm_steps(FakeBehaviour::NeverRespond));
    let (plane, _) = plane(&client, json!({}));
    warm_up(&plane).await;
    let started = Instant::now();
    let response = send(&plane, "/read", "slow", None).await;
    assert_eq!(response.status, StatusCode::OK);
    assert!(started.elapsed() < Duration::from_millis(10), "took {:?}", started.elapsed());
    assert_eq!(client.recorder.runs_of("slow"), 2);
    assert_eq!(client.recorder.in_flight(), 0, "the slower attempt is still in flight");
}

#[tokio::test(start_paused = true)]
async fn an_unconfirmed_configuration_allows_no_hedge_and_no_retry_after_an_unknown_outcome() {
    let client = FakeUpstreamClient::new(warm_steps(FakeBehaviour::NeverRespond));
    let (plane, _) = plane(&client, json!({}));
    warm_up(&plane).await;
    tokio::time::advance(Duration::from_secs(5)).await;
    let response = send(&plane, "/read", "slow", None).await;
    assert_eq!(response.code(), "HF-1005");
    assert_eq!(client.recorder.runs_of("slow"), 1);
    let not_run = FakeUpstreamClient::new(vec![
        FakeBehaviour::Shed,
        FakeBehaviour::RefuseConnection,
        FakeBehaviour::respond_after_ms(1),
    ]);
    let (plane, _) = self::plane(&not_run, json!({}));
    tokio::time::advance(Duration::from_secs(5)).await;
    assert_eq!(send(&plane, "/read", "r", None).await.status, StatusCode::OK);
}

#[tokio::test(start_paused = true)]
async fn an_unknown_outcome_is_reported_even_if_the_retry_provably_did_not_run() {
    let broken = FakeBehaviour::BreakConnection { after: Duration::from_millis(1), ran: true };
    let client = FakeUpstreamClient::new(vec![broken, FakeBehaviour::RefuseConnection]);
    let (plane, _) = plane(&client, json!({}));
    let response = send(&plane, "/read", "r", None).await;
    assert_eq!((response.code(), response.is_not_run()), ("HF-1004", false));
}

#[tokio::test(start_paused = true)]
async fn a_final_rejection_is_returned_immediately_with_retry_after() {
    let client = FakeUpstreamClient::new(vec![FakeBehaviour::Shed]);
    let (plane, _) = plane(&client, json!({ "deadline": "10s" }));
    let started = Instant::now();
    let response = send(&plane, "/write", "w", None).await;
    assert_eq!((response.code(), response.is_not_run()), ("HF-1003", true));
    assert!(response.headers.contains_key("retry-after"));
    assert_eq!(started.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn retries_of_a_failing_service_stay_within_the_budget() {
    let client = FakeUpstreamClient::new(vec![FakeBehaviour::Respond {
        after: Duration::ZERO,
        status: 500,
    }]);
    let (plane, _) = plane(&client, json!({ "hedge": { "enabled": false } }));
    for index in 0..1000 {
        send(&plane, "/read", &format!("r-{index}"), None).await;
    }
    let retries = client.recorder.attempts() - 1000;
    assert!((90..=110).contains(&retries), "{retries} retries of 1000 requests");
}

#[tokio::test(start_paused = true)]
async fn under_overload_the_retry_budget_shrinks_to_its_minimum() {
    let client = FakeUpstreamClient::new(vec![FakeBehaviour::Shed]);
    let (plane, _) = plane(&client, json!({}));
    for index in 0..1000 {
        send(&plane, "/read", &format!("r-{index}"), None).await;
    }
    let retries = client.recorder.attempts() - 1000;
    assert!(retries <= 4, "{retries} retries of 1000 shed requests");
}

/// Attempts of the innermost call for one outermost call, with `depth` nested calls.
async fn innermost_attempts(depth: u32, allowance: Option<u32>) -> u64 {
    let client = FakeUpstreamClient::new(vec![FakeBehaviour::Respond {
        after: Duration::ZERO,
        status: 500,
    }]);
    let (plane, _) = plane(&client, json!({ "hedge": { "enabled": false } }));
    send(&plane, "/read", "r", allowance).await;
    let headers = std::mem::take(&mut *client.recorder.headers.lock().unwrap());
    if depth == 1 {
        return headers.len() as u64;
    }
    let mut total = 0;
    for attempt in headers {
        let allowance = attempt["heatherfall-retry-allowance"].to_str().unwrap().parse().unwrap();
        total += Box::pin(innermost_attempts(depth - 1, Some(allowance))).await;
    }
    total
}

#[tokio::test(start_paused = true)]
async fn retries_through_22_nested_calls_grow_linearly() {
    // Each layer has a full retry budget, so only the forwarded allowance limits the product.
    assert_eq!(innermost_attempts(1, None).await, 3);
    assert_eq!(innermost_attempts(2, None).await, 5);
    assert_eq!(innermost_attempts(22, None).await, 45);
    // Without the allowance, each layer would make three attempts: 3^22.
    assert_eq!(3u64.pow(22), 31_381_059_609);
}

#[tokio::test(start_paused = true)]
async fn a_shed_request_gets_a_not_run_response_immediately_and_reaches_no_upstream() {
    let client = FakeUpstreamClient::new(vec![FakeBehaviour::NeverRespond]);
    let (plane, _) = plane(&client, json!({ "criticality": "deferrable" }));
    let started = Instant::now();
    let (mut shed_at_once, mut unknown) = (0, 0);
    let calls = (0..100).map(|index| {
        let plane = &plane;
        async move { (send(plane, "/write", &format!("w-{index}"), None).await, Instant::now()) }
    });
    for (response, ended) in futures_util::future::join_all(calls).await {
        if response.code() == "HF-1005" {
            unknown += 1;
            continue;
        }
        assert!(response.is_not_run());
        if ended == started {
            shed_at_once += 1;
            assert_eq!(
                (response.code(), &response.headers["retry-after"]),
                ("HF-1010", &"30".parse().unwrap())
            );
        }
    }
    // Deferrable requests may use 8 of the 12 slots, and four requests per slot may wait.
    assert_eq!((shed_at_once, unknown, client.recorder.attempts()), (44, 8, 8));
}

#[tokio::test(start_paused = true)]
async fn a_response_incomplete_at_the_deadline_is_truncated_with_an_error() {
    let never = futures_util::stream::pending::<Result<Frame<Bytes>, std::convert::Infallible>>();
    let started = Instant::now();
    let deadline = started + Duration::from_millis(300);
    let mut body = ResponseBody::Stream(ResponseStream::new(StreamBody::new(never), deadline, ()));
    let frame = body.frame().await.expect("an error instead of a clean end");
    assert!(matches!(frame, Err(ResponseBodyError::DeadlineExceeded)));
    assert!(started.elapsed() < Duration::from_millis(305));
}

#[tokio::test(start_paused = true)]
async fn retries_that_the_budget_allowed_are_counted_in_the_metrics() {
    let client = FakeUpstreamClient::new(vec![FakeBehaviour::Respond {
        after: Duration::ZERO,
        status: 500,
    }]);
    let (plane, _) = plane(&client, json!({ "hedge": { "enabled": false } }));
    let registry = Registry::new();
    LimitMetrics::register(&registry, plane.limits()).unwrap();
    for index in 0..100 {
        send(&plane, "/read", &format!("r-{index}"), None).await;
    }
    let text = TextEncoder::new().encode_to_string(&registry.gather()).unwrap();
    let retries = client.recorder.attempts() - 100;
    let spent = format!("heatherfall_retries{{budget=\"spent\",route=\"only\"}} {retries}\n");
    assert!(text.contains(&spent), "{retries} in {text}");
    assert!(text.contains("heatherfall_limit{route=\"only\"} "), "{text}");
}
