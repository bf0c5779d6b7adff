//! Which answers of an upstream may reach a caller, where upstreams prove theirs.

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

use crate::support::{plane_fixture, single_ledger};

const ID: &str = "x-request-id";
const PROOF: &str = "x-proof";
const NOT_RUN: &str = "x-upstream-not-run";
const INSTANCE: &str = "x-instance";

/// What the first upstream answers; every further one answers well.
#[derive(Clone, Copy)]
struct FirstAnswer {
    status: u16,
    headers: &'static [(&'static str, &'static str)],
}

#[derive(Clone)]
struct AnsweringClient {
    first: FirstAnswer,
    attempts: Arc<AtomicU32>,
}

impl UpstreamClient for AnsweringClient {
    type Body = Full<Bytes>;

    async fn send(
        &self,
        upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<Full<Bytes>> {
        assert_eq!(request.headers[INSTANCE], upstream.name, "meant for the one that was picked");
        let attempt = self.attempts.fetch_add(1, Ordering::Relaxed);
        let good = FirstAnswer { status: 200, headers: &[(ID, "r"), (PROOF, "p")] };
        let answer = if attempt == 0 { self.first } else { good };
        let mut builder = Response::builder().status(answer.status);
        for (name, value) in answer.headers {
            builder = builder.header(*name, *value);
        }
        let response = builder.body(Full::new(Bytes::from_static(b"body"))).unwrap();
        AttemptOutcome::Answered(UpstreamResponse { response })
    }
}

struct Seen {
    status: StatusCode,
    attempts: u32,
    retry_after: Option<String>,
    has_proof: bool,
}

async fn ask(path: &str, first: FirstAnswer) -> Seen {
    let client = AnsweringClient { first, attempts: Arc::default() };
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
        plane_fixture(json!({}), BudgetSpec::default()),
        client,
        TwoChoicesPicker::new(SeededRandom::new(7)),
        single_ledger(),
        freshness,
        settings,
    );
    let (parts, ()) = Request::builder().uri(path).header(ID, "r").body(()).unwrap().into_parts();
    let admission = plane.admit(&parts).expect("route selects it");
    let response = plane.run(admission, parts, Bytes::new()).await;
    let headers = response.headers();
    Seen {
        status: response.status(),
        attempts: attempts.load(Ordering::Relaxed),
        retry_after: headers.get("retry-after").map(|value| value.to_str().unwrap().to_owned()),
        has_proof: headers.contains_key(PROOF),
    }
}

const FOREIGN: FirstAnswer = FirstAnswer { status: 200, headers: &[(ID, "other"), (PROOF, "p")] };
const UNPROVEN: FirstAnswer = FirstAnswer { status: 200, headers: &[(ID, "r")] };
const ENCODED: FirstAnswer =
    FirstAnswer { status: 200, headers: &[(ID, "r"), (PROOF, "p"), ("content-encoding", "gzip")] };
const UNMARKED: FirstAnswer = FirstAnswer { status: 503, headers: &[(ID, "r"), (PROOF, "p")] };
const FOREIGN_MARK: FirstAnswer =
    FirstAnswer { status: 503, headers: &[(ID, "other"), (NOT_RUN, "1")] };
const MARKED: FirstAnswer = FirstAnswer { status: 503, headers: &[(ID, "r"), (NOT_RUN, "1")] };
const MOVED: FirstAnswer = FirstAnswer { status: 421, headers: &[(ID, "r")] };
const FAILED: FirstAnswer = FirstAnswer { status: 404, headers: &[(ID, "r"), (PROOF, "p")] };

#[tokio::test(start_paused = true)]
async fn what_proves_nothing_is_not_passed_on_and_at_most_once_work_is_not_repeated() {
    for (name, first) in [
        ("foreign", FOREIGN),
        ("unproven", UNPROVEN),
        ("encoded", ENCODED),
        ("unmarked refusal", UNMARKED),
        ("mark of another request", FOREIGN_MARK),
    ] {
        let seen = ask("/write", first).await;
        assert_eq!(seen.status, StatusCode::BAD_GATEWAY, "{name}");
        assert_eq!(seen.attempts, 1, "{name}: it may have run");
        assert!(!seen.has_proof, "{name}: no answer of ours bears the upstream's proof");
    }
}

#[tokio::test(start_paused = true)]
async fn idempotent_work_is_repeated_after_an_answer_that_proves_nothing() {
    for (name, first) in [("foreign", FOREIGN), ("unproven", UNPROVEN), ("unmarked", UNMARKED)] {
        let seen = ask("/read", first).await;
        assert_eq!((seen.status, seen.attempts), (StatusCode::OK, 2), "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_marked_refusal_and_a_reused_address_are_proof_of_not_run() {
    for (name, first) in [("marked", MARKED), ("moved", MOVED)] {
        let seen = ask("/write", first).await;
        assert_eq!((seen.status, seen.attempts), (StatusCode::OK, 2), "{name}");
        assert_eq!(seen.retry_after, None, "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_upstreams_own_failure_is_passed_on_unchanged() {
    let seen = ask("/write", FAILED).await;
    assert_eq!((seen.status, seen.has_proof), (StatusCode::NOT_FOUND, true));
}
