//! Load checks with noisy neighbours: a machine becomes seven times slower for half a second at a
//! time, and a request keeps the speed at which it started. Load reports shared between entries are
//! up to 200 ms old.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use bytes::Bytes;
use heatherfall::balance::{
    LoadReport, UtilityPicker, UtilityPickerSettings, record_shared_report,
};
use heatherfall::core::{
    BudgetSpec, FailureDomain, HeaderNames, LoadReportFormat, SharedSnapshot, UpstreamState,
};
use heatherfall::limits::LoadCheckLimiter;
use heatherfall::membership::ConfigFreshness;
use heatherfall::request::{
    AttemptOutcome, AttemptRequest, DataPlane, ExecutionSettings, HedgeTrigger, LoadCheckSettings,
    UnknownCause, UpstreamClient, UpstreamResponse,
};
use heatherfall::util::SeededRandom;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use serde_json::json;
use tokio::time::Instant;

use crate::support::{TestLedger, single_node_ledger, snapshot_for};

const LOAD_HEADER: HeaderName = HeaderName::from_static("x-load");
const INSTANCE_HEADER: HeaderName = HeaderName::from_static("x-instance");
const HEALTH_PATH: &str = "/health";
const PURCHASE_PATH: &str = "/purchase";
const UPSTREAMS: usize = 8;
const SERVICE_TIME: Duration = Duration::from_millis(100);
const GOAL: Duration = Duration::from_millis(250);
/// Service time on a slow machine, in percent of the usual one.
const SLOW_PERCENT: u32 = 700;
/// A machine keeps its speed for this long.
const SPEED_INTERVAL: Duration = Duration::from_millis(500);
/// Interval of shared load reports.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Upstreams whose machines change their speed at random after each interval.
#[derive(Clone, Debug)]
struct NoisyClient {
    began: Instant,
    /// Service time in percent of the usual one, by upstream and interval.
    service_percents: Arc<Vec<Vec<u32>>>,
}

impl NoisyClient {
    fn new(seed: u64) -> Self {
        let mut random = SeededRandom::new(seed);
        let mut service_percents = Vec::new();
        for _ in 0..UPSTREAMS {
            let percents = (0..100).map(|_| if random.below(4) == 0 { SLOW_PERCENT } else { 100 });
            service_percents.push(percents.collect());
        }
        Self { began: Instant::now(), service_percents: Arc::new(service_percents) }
    }

    fn percent(&self, upstream: &UpstreamState) -> u32 {
        let index = usize::from(upstream.spec.address.port()) - 1;
        // Machines change their speed at different times.
        let offset = SPEED_INTERVAL / UPSTREAMS as u32 * index as u32;
        let interval = (self.began.elapsed() + offset).as_millis() / SPEED_INTERVAL.as_millis();
        self.service_percents[index][interval as usize % 100]
    }
}

impl UpstreamClient for NoisyClient {
    type Body = Full<Bytes>;

    async fn send(
        &self,
        upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<Full<Bytes>> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        if request.uri.path() != HEALTH_PATH {
            tokio::time::sleep(SERVICE_TIME * self.percent(upstream) / 100).await;
        }
        let percent = self.percent(upstream);
        response_with_load(&format!("0,0,4,{percent}"))
    }
}

type CheckedPlane<C> = DataPlane<C, UtilityPicker, TestLedger>;

/// A response with a load report.
fn response_with_load(load: &str) -> AttemptOutcome<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    response.headers_mut().insert(LOAD_HEADER, HeaderValue::from_str(load).unwrap());
    AttemptOutcome::Answered(UpstreamResponse { response })
}

fn snapshot() -> SharedSnapshot {
    let mut addrs = Vec::new();
    for port in 1..=UPSTREAMS as u16 {
        addrs.push(([127, 0, 0, 1], port).into());
    }
    let route = json!({ "deadline": "2s", "goal": "250ms" });
    let shared = snapshot_for(&addrs, route, BudgetSpec::default());
    let mut snapshot = (*shared.load_full().unwrap()).clone();
    for upstream in snapshot.upstreams.values_mut() {
        let mut spec = upstream.spec.clone();
        spec.health_path = Some(HEALTH_PATH.into());
        spec.slots = 4;
        *upstream = Arc::new(UpstreamState::new(&upstream.name, spec, Default::default()));
    }
    shared.store(Some(Arc::new(snapshot)));
    shared
}

/// A data plane whose picker is seeded with `seed`.
fn plane<C: UpstreamClient>(
    client: C,
    snapshot: &SharedSnapshot,
    seed: u64,
    settings: ExecutionSettings,
) -> CheckedPlane<C> {
    let freshness = Arc::new(ConfigFreshness::default());
    freshness.confirm(Duration::ZERO);
    let (domain, weights) = (FailureDomain::new("fd-a"), UtilityPickerSettings::default());
    let picker = UtilityPicker::new(domain, weights, SeededRandom::new(seed));
    let headers = HeaderNames {
        load: LoadReportFormat::Counts(LOAD_HEADER),
        expected_instance: Some(HeaderName::from_static("x-expected")),
        instance: Some(INSTANCE_HEADER),
        ..Default::default()
    };
    let settings = ExecutionSettings { headers, ..settings };
    DataPlane::new(Arc::clone(snapshot), client, picker, single_node_ledger(), freshness, settings)
}

fn settings_with_checks(checks: Option<LoadCheckSettings>) -> ExecutionSettings {
    ExecutionSettings { load_checks: checks, ..ExecutionSettings::default() }
}

/// Sends a request and returns the time to the end of its response.
async fn send<C: UpstreamClient>(plane: &CheckedPlane<C>, path: &str, request_id: u32) -> Duration {
    let builder = Request::builder().uri(path).header("x-request-id", request_id);
    let (parts, ()) = builder.body(()).unwrap().into_parts();
    let started = Instant::now();
    let admitted = plane.admit(&parts).expect("a route selects the request");
    let response = plane.run(admitted, parts, Bytes::new()).await;
    let _ = response.into_body().collect().await;
    started.elapsed()
}

/// Sends 200 at-most-once requests in sequence; returns how many exceeded the latency goal.
async fn count_late_purchases(seed: u64, checks: Option<LoadCheckSettings>) -> u32 {
    let client = NoisyClient::new(seed);
    let shared = snapshot();
    let plane = plane(client.clone(), &shared, 3, settings_with_checks(checks));
    let snapshot = shared.load_full().unwrap();
    let mut late = 0;
    let mut reported = None;
    for index in 0..200 {
        if reported.is_none_or(|at: Instant| at.elapsed() >= REPORT_INTERVAL) {
            reported = Some(Instant::now());
            for upstream in snapshot.upstreams.values() {
                let work_percent = Some(client.percent(upstream));
                let report = LoadReport { inflight: 0, work_percent };
                record_shared_report(upstream, report, Duration::ZERO, &Default::default());
            }
        }
        late += u32::from(send(&plane, PURCHASE_PATH, index).await > GOAL);
        tokio::time::sleep(Duration::from_millis(7)).await;
    }
    late
}

#[tokio::test(start_paused = true)]
async fn at_most_once_requests_avoid_machines_that_have_just_become_slow() {
    let (mut unchecked, mut checked) = (0, 0);
    for seed in 0..10 {
        unchecked += count_late_purchases(seed, None).await;
        checked += count_late_purchases(seed, Some(LoadCheckSettings::default())).await;
    }
    assert!(unchecked >= 20, "without checks only {unchecked} of 2000 were late");
    assert!(checked <= 5, "{checked} of 2000 late");
}

#[tokio::test(start_paused = true)]
async fn an_entry_without_load_reports_checks_before_its_first_requests() {
    let mut late = 0;
    for seed in 0..20 {
        let client = NoisyClient::new(seed);
        let plane =
            plane(client, &snapshot(), 3, settings_with_checks(Some(LoadCheckSettings::default())));
        for index in 0..5 {
            late += u32::from(send(&plane, PURCHASE_PATH, index).await > GOAL);
        }
    }
    assert!(late <= 2, "{late} of 100 late");
}

/// Upstreams that all have long queues; counts the load checks.
#[derive(Clone, Debug, Default)]
struct BusyClient {
    checks: Arc<AtomicU32>,
}

impl UpstreamClient for BusyClient {
    type Body = Full<Bytes>;

    async fn send(
        &self,
        _upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<Full<Bytes>> {
        if request.uri.path() != HEALTH_PATH {
            return std::future::pending().await;
        }
        self.checks.fetch_add(1, Ordering::Relaxed);
        response_with_load("4,1,4,100")
    }
}

#[tokio::test(start_paused = true)]
async fn load_checks_of_one_request_are_limited_under_overload() {
    let client = BusyClient::default();
    let checks = LoadCheckSettings::default();
    let settings = ExecutionSettings {
        hedge_trigger: HedgeTrigger::ExpectedGain,
        first_attempt_ratio: 1.0,
        ..settings_with_checks(Some(checks.clone()))
    };
    let plane = plane(client.clone(), &snapshot(), 3, settings);
    // The attempt hangs, so a hedge is considered repeatedly until the deadline.
    send(&plane, "/read", 0).await;
    let sent = client.checks.load(Ordering::Relaxed);
    assert!(sent <= checks.max_request_checks, "{sent} load checks for one request");
}

/// Upstreams that are slower than the shared reports of them say; counts the requests sent to the
/// slowest.
#[derive(Clone, Debug, Default)]
struct SlowerClient {
    sent_to_slowest: Arc<AtomicU32>,
}

impl SlowerClient {
    /// Number of the slowest upstreams, of all [`UPSTREAMS`].
    const SLOWEST: u16 = 5;
    /// Service time on the other machines, in percent of the usual one.
    const OTHER_PERCENT: u32 = 230;
}

impl UpstreamClient for SlowerClient {
    type Body = Full<Bytes>;

    async fn send(
        &self,
        upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<Full<Bytes>> {
        let is_slowest = upstream.spec.address.port() <= Self::SLOWEST;
        let percent = if is_slowest { SLOW_PERCENT } else { Self::OTHER_PERCENT };
        tokio::time::sleep(Duration::from_millis(1)).await;
        if request.uri.path() != HEALTH_PATH {
            self.sent_to_slowest.fetch_add(u32::from(is_slowest), Ordering::Relaxed);
            tokio::time::sleep(SERVICE_TIME * percent / 100).await;
        }
        response_with_load(&format!("0,0,4,{percent}"))
    }
}

/// Guards against requests that go to an upstream without a check because old reports of it look
/// better than what the checks of others have found.
#[tokio::test(start_paused = true)]
async fn a_request_whose_checks_all_disappoint_goes_to_the_best_of_the_checked_upstreams() {
    const REQUESTS: u32 = 400;
    let client = SlowerClient::default();
    let sent_to_slowest = Arc::clone(&client.sent_to_slowest);
    let shared = snapshot();
    let settings = settings_with_checks(Some(LoadCheckSettings::default()));
    let plane = plane(client, &shared, 3, settings);
    let snapshot = shared.load_full().unwrap();
    for index in 0..REQUESTS {
        tokio::time::sleep(REPORT_INTERVAL).await;
        for upstream in snapshot.upstreams.values() {
            let report = LoadReport { inflight: 0, work_percent: Some(100) };
            record_shared_report(upstream, report, REPORT_INTERVAL / 2, &Default::default());
        }
        send(&plane, PURCHASE_PATH, index).await;
    }
    let sent = sent_to_slowest.load(Ordering::Relaxed);
    println!("{sent} of {REQUESTS} requests went to the slowest");
    // Four checks find only slowest ones in 5 of 70 cases.
    assert!(sent <= REQUESTS / 10, "{sent} of {REQUESTS} requests went to the slowest");
}

/// Upstreams, some of which have ended and left their addresses to idle ones of another service;
/// counts the requests sent there.
#[derive(Clone, Debug, Default)]
struct ReplacedClient {
    sent: Arc<AtomicU32>,
}

impl ReplacedClient {
    /// Number of upstreams that have been replaced, of all [`UPSTREAMS`].
    const REPLACED: u16 = 3;
}

impl UpstreamClient for ReplacedClient {
    type Body = Full<Bytes>;

    async fn send(
        &self,
        upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<Full<Bytes>> {
        tokio::time::sleep(Duration::from_millis(1)).await;
        let is_replaced = upstream.spec.address.port() <= Self::REPLACED;
        if !is_replaced {
            return response_with_load("2,0,4,100");
        }
        let mut outcome = response_with_load("0,0,4,100");
        if let AttemptOutcome::Answered(answered) = &mut outcome {
            let headers = answered.response.headers_mut();
            headers.insert(INSTANCE_HEADER, HeaderValue::from_static("another"));
            if request.uri.path() != HEALTH_PATH {
                self.sent.fetch_add(1, Ordering::Relaxed);
                *answered.response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
            }
        }
        outcome
    }
}

/// Guards against upstreams that have ended but attract requests, because whoever has their
/// addresses now is idle.
#[tokio::test(start_paused = true)]
async fn a_replaced_upstream_gets_no_further_requests_even_without_checks() {
    for checks in [Some(LoadCheckSettings::default()), None] {
        let client = ReplacedClient::default();
        let sent = Arc::clone(&client.sent);
        let most = if checks.is_some() { 0 } else { u32::from(ReplacedClient::REPLACED) };
        let plane = plane(client, &snapshot(), 3, settings_with_checks(checks));
        for index in 0..200 {
            send(&plane, PURCHASE_PATH, index).await;
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        let sent = sent.load(Ordering::Relaxed);
        assert!(sent <= most, "{sent} requests went to replaced upstreams");
    }
}

/// Upstreams, some of which reset every connection; counts the requests sent to those.
#[derive(Clone, Debug, Default)]
struct ResettingClient {
    sent: Arc<AtomicU32>,
}

impl ResettingClient {
    /// Number of upstreams that reset connections, of all [`UPSTREAMS`].
    const RESETTING: u16 = 6;
}

impl UpstreamClient for ResettingClient {
    type Body = Full<Bytes>;

    async fn send(
        &self,
        upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<Full<Bytes>> {
        if upstream.spec.address.port() <= Self::RESETTING {
            self.sent.fetch_add(u32::from(request.uri.path() != HEALTH_PATH), Ordering::Relaxed);
            return AttemptOutcome::Unknown(UnknownCause::ConnectionBroken);
        }
        response_with_load("0,0,4,100")
    }
}

#[tokio::test(start_paused = true)]
async fn at_most_once_requests_are_sent_only_to_upstreams_that_accept_connections() {
    for seed in 0..50 {
        let client = ResettingClient::default();
        let sent = Arc::clone(&client.sent);
        let settings = settings_with_checks(Some(LoadCheckSettings::default()));
        let plane = plane(client, &snapshot(), seed, settings);
        send(&plane, PURCHASE_PATH, 0).await;
        assert_eq!(sent.load(Ordering::Relaxed), 0, "seed {seed}");
    }
}

#[tokio::test(start_paused = true)]
async fn load_checks_of_all_entries_respect_the_rate_limit_of_an_upstream() {
    let (entries, upstreams, max_per_second) = (100_u32, 200, 40.0);
    let limiter = LoadCheckLimiter::new(max_per_second);
    let mut allowed = 0;
    for _ in 0..10_000 {
        allowed += u32::from(limiter.try_spend(upstreams, entries));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    // 10 s of the rate and a burst of 1 s.
    let share = 11.0 * max_per_second * upstreams as f64 / f64::from(entries);
    assert!(f64::from(allowed) <= 0.5 * share + 1.0, "{allowed} checks of {share}");
    assert!(f64::from(allowed) >= 0.4 * share, "{allowed} checks of {share}");
}
