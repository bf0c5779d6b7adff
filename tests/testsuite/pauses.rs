//! Pauses that upstreams ask for: whatever happens meanwhile, nothing ends them early.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use heatherfall::balance::{
    PickPurpose, PickRefusal, PickRequest, UpstreamPicker, UtilityPicker, UtilityPickerSettings,
};
use heatherfall::config::{DeclaredUpstream, with_upstreams};
use heatherfall::core::{
    ConfigSnapshot, FailureDomain, HeaderNames, LoadReportFormat, SharedSnapshot, UpstreamKey,
    UpstreamSpec, UpstreamState,
};
use heatherfall::membership::{ConfigFreshness, SharedMembership};
use heatherfall::request::{
    AttemptOutcome, AttemptRequest, ConnectionPolicy, DataPlane, ExecutionSettings,
    LoadCheckSettings, LoadProbeOutcome, UpstreamClient, UpstreamResponse, probe_load,
};
use heatherfall::serve::{ConnectionPool, HttpUpstreamClient, PoolSettings};
use heatherfall::util::SeededRandom;
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Request, Response, StatusCode, Uri};
use http_body_util::Full;
use serde_json::json;
use tokio::time::{Instant, advance, sleep, timeout};

use crate::support::{RawResponse, RawUpstream, single_node_ledger, three_upstream_snapshot};

const PAUSE: Duration = Duration::from_secs(3);
/// Time within which a late response is read.
const LATE_TIME: Duration = Duration::from_millis(500);
const LOAD_HEADER: HeaderName = HeaderName::from_static("x-load");

fn declared(name: &str, started_ms: Option<u64>) -> DeclaredUpstream {
    let spec = json!({ "address": "127.0.0.1:1", "failure_domain": "fd-a" });
    let mut spec: UpstreamSpec = serde_json::from_value(spec).unwrap();
    spec.started_ms = started_ms;
    DeclaredUpstream { name: name.to_owned(), labels: Default::default(), spec }
}

fn upstream(snapshot: &ConfigSnapshot) -> &Arc<UpstreamState> {
    snapshot.upstreams.values().next().expect("an upstream")
}

fn pause_left(snapshot: &ConfigSnapshot) -> Duration {
    upstream(snapshot).stats().pause_left(Instant::now())
}

/// Guards against a pause, or a drain signal, that is lost with the registration of its upstream: one
/// that cannot reach the store loses that for some seconds.
#[tokio::test(start_paused = true)]
async fn a_registration_that_leaves_and_returns_brings_back_what_the_upstream_asked_for() {
    for started_ms in [Some(1000), None] {
        let rules = ConfigSnapshot::default();
        let first = with_upstreams(&rules, vec![declared("u", started_ms)], None);
        upstream(&first).pause(PAUSE);
        upstream(&first).record_drain_signal(true, Duration::ZERO);
        advance(Duration::from_secs(1)).await;
        let mut snapshot = with_upstreams(&rules, Vec::new(), Some(&first));
        // Other changes come in between.
        snapshot = with_upstreams(&rules, Vec::new(), Some(&snapshot));
        advance(Duration::from_secs(1)).await;
        let back = with_upstreams(&rules, vec![declared("u", started_ms)], Some(&snapshot));
        assert_eq!(pause_left(&back), PAUSE - Duration::from_secs(2), "{started_ms:?}");
        assert!(upstream(&back).is_draining(), "{started_ms:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn another_process_or_address_under_the_name_begins_without_a_pause() {
    let rules = ConfigSnapshot::default();
    let first = with_upstreams(&rules, vec![declared("u", Some(1000))], None);
    upstream(&first).pause(PAUSE);
    let gone = with_upstreams(&rules, Vec::new(), Some(&first));
    let mut moved = declared("u", Some(1000));
    moved.spec.address = ([127, 0, 0, 1], 2).into();
    for other in [declared("u", Some(2000)), moved] {
        let back = with_upstreams(&rules, vec![other], Some(&gone));
        assert_eq!(pause_left(&back), Duration::ZERO);
        assert!(!upstream(&back).is_draining());
    }
}

#[tokio::test(start_paused = true)]
async fn a_pause_stays_through_changes_of_the_configuration_and_of_the_registration() {
    let rules = ConfigSnapshot::default();
    let first = with_upstreams(&rules, vec![declared("u", Some(1000))], None);
    upstream(&first).pause(PAUSE);
    let mut changed = declared("u", Some(1000));
    changed.spec.warm_up = Duration::from_secs(9);
    changed.spec.max_connections = 7;
    let second = with_upstreams(&rules.clone(), vec![changed], Some(&first));
    assert_eq!(pause_left(&second), PAUSE);
}

#[tokio::test(start_paused = true)]
async fn a_shorter_pause_does_not_end_a_longer_one() {
    let rules = ConfigSnapshot::default();
    let snapshot = with_upstreams(&rules, vec![declared("u", None)], None);
    upstream(&snapshot).pause(PAUSE);
    upstream(&snapshot).pause(Duration::ZERO);
    upstream(&snapshot).pause(PAUSE / 3);
    upstream(&snapshot).stats().forget_failures_since(Instant::now());
    assert_eq!(pause_left(&snapshot), PAUSE);
}

/// Guards against a kind of attempt for which a paused upstream is better than none.
#[tokio::test(start_paused = true)]
async fn no_kind_of_attempt_goes_to_a_paused_upstream() {
    let shared = three_upstream_snapshot(json!({}), Default::default());
    let snapshot = shared.load_full().unwrap();
    let (domain, settings) = (FailureDomain::new("fd-a"), UtilityPickerSettings::default());
    let picker = UtilityPicker::new(domain, settings, SeededRandom::new(3));
    let keys: Vec<UpstreamKey> = snapshot.upstreams.keys().collect();
    for upstream in snapshot.upstreams.values() {
        upstream.pause(PAUSE);
    }
    for purpose in [PickPurpose::First, PickPurpose::Retry, PickPurpose::Hedge] {
        for tried in [&[][..], &keys[..1], &keys[..]] {
            let request = PickRequest::new(&snapshot, &snapshot.routes[0], tried);
            let request = PickRequest { purpose, ..request };
            let expected = match purpose {
                PickPurpose::Hedge => PickRefusal::NoUpstream,
                _ => PickRefusal::Crowded,
            };
            assert_eq!(picker.pick(request), Err(expected), "{purpose:?}");
        }
    }
    advance(PAUSE).await;
    let request = PickRequest::new(&snapshot, &snapshot.routes[0], &[]);
    assert!(picker.pick(request).is_ok());
}

/// Answers load checks after some time, during which the upstream asks another request for a pause.
#[derive(Clone, Debug, Default)]
struct PausingClient {
    requests: Arc<AtomicU32>,
}

impl UpstreamClient for PausingClient {
    type Body = Full<Bytes>;

    async fn send(
        &self,
        upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        if request.uri.path() == "/health" {
            sleep(Duration::from_millis(2)).await;
            upstream.pause(PAUSE);
            response.headers_mut().insert(LOAD_HEADER, HeaderValue::from_static("0,0,4,100"));
        } else {
            self.requests.fetch_add(1, Ordering::Relaxed);
        }
        AttemptOutcome::Answered(UpstreamResponse { response })
    }
}

/// Guards against a request that goes out to an upstream which has asked for a pause while the load
/// check of the request was under way.
#[tokio::test(start_paused = true)]
async fn a_pause_that_begins_during_a_load_check_is_kept() {
    let shared: SharedSnapshot = three_upstream_snapshot(json!({}), Default::default());
    let mut snapshot = (*shared.load_full().unwrap()).clone();
    for upstream in snapshot.upstreams.values_mut() {
        let mut spec = upstream.spec.clone();
        spec.health_path = Some("/health".into());
        *upstream = Arc::new(UpstreamState::new(&upstream.name, spec, Default::default()));
    }
    shared.store(Some(Arc::new(snapshot)));
    let freshness = Arc::new(ConfigFreshness::default());
    freshness.confirm(Duration::ZERO);
    let (domain, settings) = (FailureDomain::new("fd-a"), UtilityPickerSettings::default());
    let client = PausingClient::default();
    let headers = HeaderNames { load: LoadReportFormat::Counts(LOAD_HEADER), ..Default::default() };
    let plane = DataPlane::new(
        shared,
        client.clone(),
        UtilityPicker::new(domain, settings, SeededRandom::new(3)),
        single_node_ledger(),
        freshness,
        ExecutionSettings {
            headers,
            load_checks: Some(LoadCheckSettings::default()),
            ..Default::default()
        },
    );
    let (parts, ()) = Request::builder().uri("/read").body(()).unwrap().into_parts();
    let admitted = plane.admit(&parts).expect("a route selects the request");
    let response = plane.run(admitted, parts, Bytes::new()).await;
    assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(client.requests.load(Ordering::Relaxed), 0, "requests within a pause");
}

fn pausing_headers() -> HeaderNames {
    HeaderNames { pause: Some(RETRY_AFTER), echoes_request_id: true, ..Default::default() }
}

fn client_of(raw: &RawUpstream) -> (HttpUpstreamClient, Arc<UpstreamState>) {
    let mut declared = declared("u", None);
    declared.spec.address = raw.addr;
    let upstream = Arc::new(UpstreamState::new("u", declared.spec, Default::default()));
    let pool = ConnectionPool::new(PoolSettings::default(), SharedMembership::default());
    (HttpUpstreamClient::new(pool).with_late_notices(pausing_headers()), upstream)
}

fn request_with_id(id: &str) -> AttemptRequest {
    AttemptRequest {
        method: Method::GET,
        uri: Uri::from_static("/"),
        headers: HeaderMap::from_iter([("x-request-id".parse().unwrap(), id.parse().unwrap())]),
        body: Bytes::new(),
        deadline: Instant::now() + PAUSE,
        connection: ConnectionPolicy::AnyPooled,
    }
}

fn refusal(id: &str) -> String {
    format!(
        "HTTP/1.1 503 Service Unavailable\r\nx-request-id: {id}\r\nretry-after: 3\r\n\
         content-length: 0\r\n\r\n"
    )
}

/// Sends a request, cancels it once it has arrived, lets the upstream respond, and returns whether
/// the upstream is paused soon afterwards.
async fn is_paused_by_late(response: &str) -> bool {
    let raw = RawUpstream::start(vec![RawResponse::Held(response.as_bytes().to_vec())]).await;
    let (client, upstream) = client_of(&raw);
    let request = request_with_id("a");
    let sending = tokio::spawn({
        let upstream = Arc::clone(&upstream);
        async move { client.send(&upstream, request).await }
    });
    raw.request_arrived().await;
    sending.abort();
    let _ = sending.await;
    raw.release_response();
    let paused = timeout(LATE_TIME, async {
        while upstream.stats().pause_left(Instant::now()).is_zero() {
            sleep(Duration::from_millis(1)).await;
        }
    });
    paused.await.is_ok()
}

/// Guards against a pause that nobody reads, because the attempt that got the response had been
/// abandoned: another one had answered, or the caller had left.
#[tokio::test]
async fn a_pause_that_crosses_the_end_of_its_attempt_is_kept() {
    assert!(is_paused_by_late(&refusal("a")).await, "the pause was not recorded");
    assert!(!is_paused_by_late(&refusal("b")).await, "a response to another request counted");
}

/// Guards against a copy of a refusal that is taken for the answer to a health check, which has no id: its
/// pause would count once more, and the next request would get the answer to the check.
#[tokio::test]
async fn a_copy_of_a_refusal_does_not_answer_a_health_check() {
    let healthy = "HTTP/1.1 200 OK\r\ncontent-length: 0\r\n\r\n";
    let repeated = format!("{}{healthy}", refusal("a"));
    let responses = [refusal("a"), repeated].map(|text| RawResponse::keep_alive(&text));
    let raw = RawUpstream::start(responses.to_vec()).await;
    let (client, upstream) = client_of(&raw);
    let AttemptOutcome::Answered(refused) = client.send(&upstream, request_with_id("a")).await
    else {
        panic!("the upstream refuses the request");
    };
    drop(refused);
    let checked = probe_load(&client, &upstream, &pausing_headers(), PAUSE).await;
    assert!(matches!(checked, LoadProbeOutcome::NoReport), "{checked:?}");
    assert!(upstream.stats().pause_left(Instant::now()).is_zero(), "the pause counts once more");
    // On a new connection, whose first answer is the refusal.
    let AttemptOutcome::Answered(answered) = client.send(&upstream, request_with_id("a")).await
    else {
        panic!("the connection was reused");
    };
    assert_eq!(answered.response.status(), StatusCode::SERVICE_UNAVAILABLE);
}
