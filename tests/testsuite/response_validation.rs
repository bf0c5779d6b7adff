//! Which responses may reach a caller if upstreams authenticate theirs and echo the request id.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use heatherfall::balance::TwoChoicesPicker;
use heatherfall::core::{BudgetSpec, HeaderNames, UpstreamState};
use heatherfall::membership::ConfigFreshness;
use heatherfall::request::{
    AttemptOutcome, AttemptRequest, DataPlane, ExecutionSettings, RetryAfterFormat, UpstreamClient,
    UpstreamResponse,
};
use heatherfall::util::SeededRandom;
use http::{HeaderName, Request, Response, StatusCode};
use http_body_util::Full;
use serde_json::json;

use crate::support::{single_node_ledger, three_upstream_snapshot};

const ID: &str = "x-request-id";
const PROOF: &str = "x-proof";
const NOT_RUN: &str = "x-upstream-not-run";
const INSTANCE: &str = "x-instance";

/// Response to the first attempt; every further attempt gets a valid one.
#[derive(Clone, Copy)]
struct FirstResponse {
    status: u16,
    headers: &'static [(&'static str, &'static str)],
}

#[derive(Clone)]
struct StaticResponseClient {
    first: FirstResponse,
    attempts: Arc<AtomicU32>,
}

impl UpstreamClient for StaticResponseClient {
    type Body = Full<Bytes>;

    async fn send(
        &self,
        upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<Full<Bytes>> {
        assert_eq!(
            request.headers[INSTANCE], upstream.name,
            "the instance header names another upstream than the picked one"
        );
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        let valid = FirstResponse { status: 200, headers: &[(ID, "r"), (PROOF, "p")] };
        let selected = if attempt == 0 { self.first } else { valid };
        let mut builder = Response::builder().status(selected.status);
        for (name, value) in selected.headers {
            builder = builder.header(*name, *value);
        }
        let response = builder.body(Full::new(Bytes::from_static(b"body"))).unwrap();
        AttemptOutcome::Answered(UpstreamResponse { response })
    }
}

struct CallerView {
    status: StatusCode,
    attempts: u32,
    retry_after: Option<String>,
    has_proof: bool,
}

async fn send(path: &str, first: FirstResponse) -> CallerView {
    let client = StaticResponseClient { first, attempts: Arc::default() };
    let attempts = Arc::clone(&client.attempts);
    let freshness = Arc::new(ConfigFreshness::default());
    freshness.confirm(Duration::ZERO);
    let headers = HeaderNames {
        response_signature: Some(HeaderName::from_static(PROOF)),
        expected_instance: Some(HeaderName::from_static(INSTANCE)),
        echoes_request_id: true,
        not_run_statuses: &[StatusCode::SERVICE_UNAVAILABLE, StatusCode::BAD_REQUEST],
        caller_not_run_statuses: &[
            StatusCode::SERVICE_UNAVAILABLE,
            StatusCode::MISDIRECTED_REQUEST,
        ],
        ..HeaderNames::default()
    };
    let settings = ExecutionSettings {
        headers,
        retry_after_format: RetryAfterFormat::FractionalSeconds,
        ..ExecutionSettings::default()
    };
    let plane = DataPlane::new(
        three_upstream_snapshot(json!({}), BudgetSpec::default()),
        client,
        TwoChoicesPicker::new(SeededRandom::new(7)),
        single_node_ledger(),
        freshness,
        settings,
    );
    let (parts, ()) = Request::builder().uri(path).header(ID, "r").body(()).unwrap().into_parts();
    let admitted = plane.admit(&parts).expect("a route selects the request");
    let response = plane.run(admitted, parts, Bytes::new()).await;
    let headers = response.headers();
    CallerView {
        status: response.status(),
        attempts: attempts.load(Ordering::Relaxed),
        retry_after: headers.get("retry-after").map(|value| value.to_str().unwrap().to_owned()),
        has_proof: headers.contains_key(PROOF),
    }
}

const FOREIGN_ID: FirstResponse =
    FirstResponse { status: 200, headers: &[(ID, "other"), (PROOF, "p")] };
const UNPROVEN: FirstResponse = FirstResponse { status: 200, headers: &[(ID, "r")] };
const ENCODED: FirstResponse = FirstResponse {
    status: 200,
    headers: &[(ID, "r"), (PROOF, "p"), ("content-encoding", "gzip")],
};
const UNMARKED: FirstResponse = FirstResponse { status: 503, headers: &[(ID, "r"), (PROOF, "p")] };
const FOREIGN_NOT_RUN: FirstResponse =
    FirstResponse { status: 503, headers: &[(ID, "other"), (NOT_RUN, "1")] };
const NOT_RUN_HEADER_SET: FirstResponse =
    FirstResponse { status: 503, headers: &[(ID, "r"), (NOT_RUN, "1")] };
const MISDIRECTED: FirstResponse = FirstResponse { status: 421, headers: &[(ID, "r")] };
const NOT_FOUND: FirstResponse = FirstResponse { status: 404, headers: &[(ID, "r"), (PROOF, "p")] };

#[tokio::test(start_paused = true)]
async fn unverifiable_responses_are_not_forwarded_and_at_most_once_requests_not_repeated() {
    for (name, first) in [
        ("foreign", FOREIGN_ID),
        ("unproven", UNPROVEN),
        ("encoded", ENCODED),
        ("unmarked refusal", UNMARKED),
        ("not-run header of another request", FOREIGN_NOT_RUN),
    ] {
        let view = send("/write", first).await;
        assert_eq!(view.status, StatusCode::BAD_GATEWAY, "{name}");
        assert_eq!(view.attempts, 1, "{name}: repeated although it may have run");
        assert!(!view.has_proof, "{name}: an error response carries the upstream's proof");
    }
}

#[tokio::test(start_paused = true)]
async fn idempotent_requests_are_retried_after_an_unverifiable_response() {
    for (name, first) in [("foreign", FOREIGN_ID), ("unproven", UNPROVEN), ("unmarked", UNMARKED)] {
        let view = send("/read", first).await;
        assert_eq!((view.status, view.attempts), (StatusCode::OK, 2), "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_not_run_header_and_a_misdirected_request_prove_that_it_did_not_run() {
    for (name, first) in [("not-run header", NOT_RUN_HEADER_SET), ("misdirected", MISDIRECTED)] {
        let view = send("/write", first).await;
        assert_eq!((view.status, view.attempts), (StatusCode::OK, 2), "{name}");
        assert_eq!(view.retry_after, None, "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_error_response_of_an_upstream_is_forwarded_unchanged() {
    let view = send("/write", NOT_FOUND).await;
    assert_eq!((view.status, view.has_proof), (StatusCode::NOT_FOUND, true));
}
