//! Responses whose status is none of the protocol.

use std::sync::Arc;

use bytes::Bytes;
use heatherfall::balance::TwoChoicesPicker;
use heatherfall::core::BudgetSpec;
use heatherfall::ledger::{
    ClaimDecision, ClaimGrant, ClaimIntent, ClaimLedger, ClaimOutcome, StoredResponse,
};
use heatherfall::membership::ConfigFreshness;
use heatherfall::request::{DataPlane, ExecutionSettings};
use heatherfall::util::SeededRandom;
use http::Request;
use serde_json::json;

use crate::support::{
    EntryFixture, FakeBehaviour, FakeUpstreamClient, RawResponse, RawUpstream, send_raw,
    three_upstream_snapshot,
};

const READ: &str = "GET /read HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";
const WRITE: &str =
    "POST /write HTTP/1.1\r\nHost: t\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi";
/// Statuses that no final response has. The HTTP library refuses some of them by itself.
const INVALID_STATUSES: [&str; 9] =
    ["000", "001", "099", "101", "199", "600", "700", "999", "1000"];

fn response_with(status: &str) -> RawResponse {
    RawResponse::keep_alive(&format!("HTTP/1.1 {status} X\r\nContent-Length: 3\r\n\r\nabc"))
}

/// What a caller receives for `request`, and how many requests reached the upstream, which gives these
/// responses one after the other.
async fn forward(responses: Vec<RawResponse>, request: &str) -> (String, usize) {
    let upstream = RawUpstream::start(responses).await;
    let entry = EntryFixture::start(&upstream).await;
    let response = send_raw(entry.addr, request).await;
    (response, upstream.requests().len())
}

/// Guards against an answer of an upstream in trouble, such as 000 or 999, that a caller gets as one.
#[tokio::test]
async fn a_status_that_is_none_of_the_protocol_reaches_no_caller() {
    for status in INVALID_STATUSES {
        let (response, sent) = forward(vec![response_with(status)], WRITE).await;
        assert!(response.starts_with("HTTP/1.1 502 "), "{status}: {response}");
        assert!(response.contains("heatherfall-result: HF-1004"), "{status}: {response}");
        assert!(!response.contains("heatherfall-not-run"), "{status}: {response}");
        assert_eq!(sent, 1, "{status}: an at-most-once request is not sent again");
    }
}

/// Guards against an idempotent request that fails though another attempt gets an answer.
#[tokio::test]
async fn an_idempotent_request_is_sent_again_after_such_a_status() {
    for status in INVALID_STATUSES {
        let (response, sent) =
            forward(vec![response_with(status), response_with("200")], READ).await;
        assert!(response.starts_with("HTTP/1.1 200 "), "{status}: {response}");
        assert_eq!(sent, 2, "{status}");
    }
}

/// Guards against a check that refuses statuses of the protocol that nobody has registered.
#[tokio::test]
async fn every_status_of_the_protocol_is_passed_on() {
    for status in ["200", "299", "306", "418", "499", "599"] {
        let (response, _) = forward(vec![response_with(status)], WRITE).await;
        assert!(response.starts_with(&format!("HTTP/1.1 {status} ")), "{status}: {response}");
    }
}

/// A ledger in which every key has this response.
struct StoredLedger(StoredResponse);

impl ClaimLedger for StoredLedger {
    async fn claim(&self, _intent: ClaimIntent) -> ClaimDecision {
        ClaimDecision::Finished(self.0.clone())
    }

    async fn finish(&self, _grant: ClaimGrant, _outcome: ClaimOutcome) {}
}

/// Guards against a stored response whose status cannot be read and that is replayed as a success.
#[tokio::test]
async fn a_stored_response_with_such_a_status_is_not_replayed() {
    for (status, replayed) in [(0, 409), (99, 409), (199, 409), (600, 409), (999, 409), (201, 201)]
    {
        let stored = StoredResponse { status, body: Bytes::from("paid"), ..Default::default() };
        let plane = DataPlane::new(
            three_upstream_snapshot(json!({}), BudgetSpec::default()),
            FakeUpstreamClient::new(vec![FakeBehaviour::respond_after_ms(1)]),
            TwoChoicesPicker::new(SeededRandom::new(7)),
            StoredLedger(stored),
            Arc::new(ConfigFreshness::default()),
            ExecutionSettings::default(),
        );
        let request = Request::post("/write").header("idempotency-key", "k").body(()).unwrap();
        let (parts, ()) = request.into_parts();
        let admitted = plane.admit(&parts).unwrap();
        let response = plane.run(admitted, parts, Bytes::new()).await;
        assert_eq!(response.status(), replayed, "stored {status}");
        let code = response.headers().get("heatherfall-result").map(|it| it.to_str().unwrap());
        assert_eq!(code, (replayed == 409).then_some("HF-1026"), "stored {status}");
    }
}
