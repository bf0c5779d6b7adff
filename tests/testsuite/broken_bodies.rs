//! Responses whose bodies break off, and the upstreams that may have ended with them.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll};

use bytes::Bytes;
use heatherfall::balance::TwoChoicesPicker;
use heatherfall::core::{BudgetSpec, UpstreamState};
use heatherfall::limits::RequestFingerprint;
use heatherfall::membership::ConfigFreshness;
use heatherfall::request::{
    AttemptOutcome, AttemptRequest, DataPlane, ExecutionSettings, RunCheck, UpstreamClient,
    UpstreamResponse,
};
use heatherfall::util::SeededRandom;
use http::{Request, Response};
use http_body::{Body, Frame};
use http_body_util::BodyExt;
use serde_json::json;
use tokio::time::Instant;

use crate::support::{TestLedger, single_node_ledger, three_upstream_snapshot};

type BrokenPlane = DataPlane<BrokenClient, TwoChoicesPicker, TestLedger>;

/// A body of one frame that ends, or breaks off.
#[derive(Debug)]
struct BrokenBody {
    frame: Option<Bytes>,
    breaks: bool,
}

impl Body for BrokenBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if let Some(bytes) = self.frame.take() {
            return Poll::Ready(Some(Ok(Frame::data(bytes))));
        }
        let breaks = std::mem::take(&mut self.breaks);
        Poll::Ready(breaks.then(|| Err(std::io::Error::other("broken"))))
    }
}

/// Upstreams that answer with the heads of responses, whose bodies may break off.
#[derive(Clone, Debug, Default)]
struct BrokenClient {
    breaks: Arc<AtomicBool>,
}

impl UpstreamClient for BrokenClient {
    type Body = BrokenBody;

    async fn send(
        &self,
        _upstream: &Arc<UpstreamState>,
        _request: AttemptRequest,
    ) -> AttemptOutcome<BrokenBody> {
        let breaks = self.breaks.load(Ordering::Relaxed);
        let body = BrokenBody { frame: Some(Bytes::from_static(b"half")), breaks };
        AttemptOutcome::Answered(UpstreamResponse { response: Response::new(body) })
    }
}

struct BrokenFixture {
    client: BrokenClient,
    plane: BrokenPlane,
}

impl BrokenFixture {
    fn new() -> Self {
        let shared = three_upstream_snapshot(json!({}), BudgetSpec::default());
        for upstream in shared.load_full().unwrap().upstreams.values() {
            let stats = upstream.stats();
            stats.last_exchange_at.set(stats.nanos_at(Instant::now()));
        }
        let client = BrokenClient::default();
        let plane = DataPlane::new(
            shared,
            client.clone(),
            TwoChoicesPicker::new(SeededRandom::new(1)),
            single_node_ledger(),
            Arc::new(ConfigFreshness::default()),
            ExecutionSettings::default(),
        );
        Self { client, plane }
    }

    /// Sends a request and reads its response; whether that is whole.
    async fn send(&self, breaks: bool) -> bool {
        self.client.breaks.store(breaks, Ordering::Relaxed);
        let (parts, ()) = Request::get("/read").body(()).unwrap().into_parts();
        let admitted = self.plane.admit(&parts).unwrap();
        let response = self.plane.run(admitted, parts, Bytes::new()).await;
        assert_eq!(response.status(), 200);
        response.into_body().collect().await.is_ok()
    }

    /// Reports all upstreams that are due for a check as ended; returns the requests of their runs.
    fn find_ended(&self) -> Vec<RequestFingerprint> {
        let (runs, now) = (self.plane.runs(), Instant::now());
        for upstream in runs.upstreams_to_check(now) {
            runs.record_check(&upstream.name, RunCheck::Ended, now);
        }
        let crashed = runs.take_crashes(&Default::default(), now);
        crashed.into_iter().map(|run| run.request).collect()
    }
}

/// Guards against a request that crashes one upstream after the other while they send their answers, and
/// is never refused.
#[tokio::test(start_paused = true)]
async fn an_upstream_that_ends_while_it_sends_a_body_has_ended_with_the_request() {
    let fixture = BrokenFixture::new();
    assert!(!fixture.send(true).await);
    assert_eq!(fixture.find_ended().len(), 1);
    assert!(fixture.send(false).await);
    assert_eq!(fixture.find_ended().len(), 0, "a whole body");
}

/// Guards against an upstream that sends broken answers and lives on, and for which the request is blamed.
#[tokio::test(start_paused = true)]
async fn an_upstream_that_breaks_off_a_body_and_responds_has_not_ended() {
    let fixture = BrokenFixture::new();
    assert!(!fixture.send(true).await);
    let (runs, now) = (fixture.plane.runs(), Instant::now());
    tokio::time::advance(std::time::Duration::from_millis(50)).await;
    for upstream in runs.upstreams_to_check(now) {
        runs.record_check(&upstream.name, RunCheck::Running, Instant::now());
    }
    assert_eq!(fixture.find_ended().len(), 0);
    assert!(runs.is_idle());
}

/// Guards against memory that an upload takes until its response has been read, beyond the budget for
/// bodies, which has been given back by then.
#[tokio::test(start_paused = true)]
async fn the_content_of_a_request_is_dropped_when_its_response_begins() {
    let fixture = BrokenFixture::new();
    let (parts, ()) = Request::post("/read").body(()).unwrap().into_parts();
    let admitted = fixture.plane.admit(&parts).unwrap();
    let content = Bytes::from(vec![b'a'; 1 << 20]);
    let response = fixture.plane.run(admitted, parts, content.clone()).await;
    assert!(content.is_unique(), "the content is kept");
    assert!(response.into_body().collect().await.is_ok());
}

/// Guards against the head of a response that clears a request before its body has come.
#[tokio::test(start_paused = true)]
async fn only_a_whole_body_clears_a_request() {
    let fixture = BrokenFixture::new();
    fixture.send(true).await;
    let request = fixture.find_ended()[0];
    let quarantine = fixture.plane.quarantine();
    quarantine.record_crash(request, 1, Instant::now());
    assert!(quarantine.is_suspect(request));
    fixture.send(true).await;
    assert!(quarantine.is_suspect(request), "a broken body shows nothing");
    fixture.send(false).await;
    assert!(!quarantine.is_suspect(request), "a whole body shows that it is harmless");
}
