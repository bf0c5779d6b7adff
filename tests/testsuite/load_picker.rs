//! Picks of the daemon's picker under given load patterns, with a paused clock.

use std::sync::Arc;
use std::time::Duration;

use heatherfall::balance::{
    AttemptReport, AttemptResult, LoadPicker, LoadPickerSettings, LoadReport, PickRequest,
    UpstreamPicker,
};
use heatherfall::core::{
    ConfigSnapshot, FailureDomain, InflightGuard, LabelSet, RouteRecord, UpstreamKey, UpstreamSpec,
    UpstreamState,
};
use heatherfall::util::{FastMap, SeededRandom};
use serde_json::json;
use tokio::time::advance;

const LOCAL_DOMAIN: &str = "domain-0";
const REMOTE_DOMAIN: &str = "domain-1";
const BASE_LATENCY: Duration = Duration::from_millis(5);
const PICKS: usize = 600;

struct PickerFixture {
    picker: LoadPicker,
    snapshot: ConfigSnapshot,
}

impl PickerFixture {
    fn new(domains: &[&str]) -> Self {
        let mut fixture = Self {
            picker: LoadPicker::new(
                FailureDomain::new(LOCAL_DOMAIN),
                LoadPickerSettings::default(),
                SeededRandom::new(7),
            ),
            snapshot: ConfigSnapshot::default(),
        };
        let spec = json!({ "requests": "app=any", "upstreams": "app=any" });
        fixture.snapshot.routes.push(RouteRecord {
            name: "any".to_owned(),
            spec: serde_json::from_value(spec).unwrap(),
            upstreams: Default::default(),
            parts: Vec::new(),
        });
        for domain in domains {
            fixture.add(domain);
        }
        fixture
    }

    fn add(&mut self, domain: &str) -> UpstreamKey {
        let spec = json!({ "address": "127.0.0.1:1", "failure_domain": domain });
        let spec: UpstreamSpec = serde_json::from_value(spec).unwrap();
        let name = format!("upstream-{}", self.snapshot.upstreams.len());
        let state = UpstreamState::new(&name, spec, LabelSet::default());
        let key = self.snapshot.upstreams.insert(Arc::new(state));
        let mut upstreams = self.snapshot.routes[0].upstreams.to_vec();
        upstreams.push(key);
        self.snapshot.routes.set_upstreams(0, upstreams);
        key
    }

    fn key(&self, index: usize) -> UpstreamKey {
        self.snapshot.routes[0].upstreams[index]
    }

    fn pick(&self, tried: &[UpstreamKey]) -> Option<UpstreamKey> {
        let route = &self.snapshot.routes[0];
        self.picker.pick(PickRequest::new(&self.snapshot, route, tried)).ok()
    }

    fn start_request(&self, key: UpstreamKey) -> InflightGuard {
        self.snapshot.upstreams[key].start_request()
    }

    fn record_attempt(&self, key: UpstreamKey, report: AttemptReport) {
        self.picker.record_attempt(&self.snapshot.upstreams[key], report);
    }

    /// Records responses of all upstreams with equal load for long enough to end their slow start.
    async fn warm_up(&self) {
        for _ in 0..100 {
            for key in self.snapshot.routes[0].upstreams.iter() {
                self.record_attempt(*key, answered(self.latency_of(*key), 2));
            }
            advance(Duration::from_millis(50)).await;
        }
    }

    fn latency_of(&self, key: UpstreamKey) -> Duration {
        let is_local = self.snapshot.upstreams[key].failure_domain.as_str() == LOCAL_DOMAIN;
        if is_local { BASE_LATENCY } else { BASE_LATENCY + Duration::from_millis(3) }
    }

    /// How often each upstream is picked while the number of requests in flight does not change.
    fn pick_counts(&self) -> FastMap<UpstreamKey, usize> {
        let mut pick_counts = FastMap::default();
        for _ in 0..PICKS {
            *pick_counts.entry(self.pick(&[]).unwrap()).or_default() += 1;
        }
        pick_counts
    }

    fn pick_count(&self, index: usize) -> usize {
        self.pick_counts().get(&self.key(index)).copied().unwrap_or_default()
    }
}

fn answered(latency: Duration, inflight: u32) -> AttemptReport {
    AttemptReport {
        latency,
        result: AttemptResult::Answered,
        load: Some(LoadReport::from_inflight(inflight)),
        is_draining: false,
    }
}

fn failed(result: AttemptResult) -> AttemptReport {
    AttemptReport { latency: Duration::from_micros(100), result, load: None, is_draining: false }
}

#[tokio::test(start_paused = true)]
async fn equal_upstreams_get_similar_shares() {
    let fixture = PickerFixture::new(&[LOCAL_DOMAIN; 4]);
    fixture.warm_up().await;
    for pick_count in fixture.pick_counts().values() {
        assert!((PICKS / 8..PICKS / 2).contains(pick_count), "{pick_count}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_fresh_report_of_an_idle_upstream_attracts_the_next_request_only() {
    let fixture = PickerFixture::new(&[LOCAL_DOMAIN; 4]);
    fixture.warm_up().await;
    let idle = fixture.key(2);
    fixture.record_attempt(idle, answered(BASE_LATENCY, 0));
    assert_eq!(fixture.pick(&[]), Some(idle));
    let _requests =
        [fixture.start_request(idle), fixture.start_request(idle), fixture.start_request(idle)];
    assert_ne!(fixture.pick(&[]), Some(idle));
}

#[tokio::test(start_paused = true)]
async fn a_stale_report_gives_way_to_the_average_load() {
    let fixture = PickerFixture::new(&[LOCAL_DOMAIN; 4]);
    fixture.warm_up().await;
    fixture.record_attempt(fixture.key(2), answered(BASE_LATENCY, 0));
    let _request = fixture.start_request(fixture.key(2));
    assert_eq!(fixture.pick_count(2), PICKS);
    advance(Duration::from_secs(2)).await;
    assert_eq!(fixture.pick_count(2), 0);
}

#[tokio::test(start_paused = true)]
async fn requests_stay_in_the_failure_domain_until_its_upstreams_are_overloaded() {
    let fixture = PickerFixture::new(&[LOCAL_DOMAIN, LOCAL_DOMAIN, REMOTE_DOMAIN, REMOTE_DOMAIN]);
    fixture.warm_up().await;
    assert_eq!(fixture.pick_count(2) + fixture.pick_count(3), 0);
    let mut requests = Vec::new();
    for _ in 0..8 {
        requests.push(fixture.start_request(fixture.key(0)));
        requests.push(fixture.start_request(fixture.key(1)));
    }
    assert_eq!(fixture.pick_count(0) + fixture.pick_count(1), 0);
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_fails_fast_attracts_no_requests() {
    let fixture = PickerFixture::new(&[LOCAL_DOMAIN; 4]);
    fixture.warm_up().await;
    fixture.record_attempt(fixture.key(1), failed(AttemptResult::ServerError));
    assert_eq!(fixture.pick_count(1), 0);
}

#[tokio::test(start_paused = true)]
async fn an_upstream_returns_from_ejection_by_slow_start() {
    let fixture = PickerFixture::new(&[LOCAL_DOMAIN; 4]);
    fixture.warm_up().await;
    for _ in 0..4 {
        fixture.record_attempt(fixture.key(1), failed(AttemptResult::ConnectFailed));
    }
    assert_eq!(fixture.pick_count(1), 0);
    advance(Duration::from_millis(1100)).await;
    for _ in 0..40 {
        fixture.record_attempt(fixture.key(1), answered(BASE_LATENCY, 0));
    }
    let early = fixture.pick_count(1);
    assert!((1..PICKS / 4).contains(&early), "{early}");
    advance(Duration::from_secs(2)).await;
    fixture.record_attempt(fixture.key(1), answered(BASE_LATENCY, 0));
    assert!(fixture.pick_count(1) > early);
}

#[tokio::test(start_paused = true)]
async fn a_shed_counts_as_load_and_not_as_a_failure() {
    let fixture = PickerFixture::new(&[LOCAL_DOMAIN; 4]);
    fixture.warm_up().await;
    for _ in 0..10 {
        fixture.record_attempt(fixture.key(1), failed(AttemptResult::Shed));
    }
    assert_eq!(fixture.pick_count(1), 0);
    advance(Duration::from_millis(100)).await;
    for _ in 0..3 {
        fixture.record_attempt(fixture.key(1), answered(BASE_LATENCY, 1));
    }
    assert!(fixture.pick_count(1) > 0);
}

#[tokio::test(start_paused = true)]
async fn ejection_is_ignored_when_most_upstreams_fail() {
    let fixture = PickerFixture::new(&[LOCAL_DOMAIN; 4]);
    fixture.warm_up().await;
    for index in 0..4 {
        for _ in 0..4 {
            fixture.record_attempt(fixture.key(index), failed(AttemptResult::ConnectFailed));
        }
    }
    assert_eq!(fixture.pick_counts().len(), 4);
}

#[tokio::test(start_paused = true)]
async fn a_new_upstream_gets_few_requests_at_first() {
    let mut fixture = PickerFixture::new(&[LOCAL_DOMAIN; 4]);
    fixture.warm_up().await;
    fixture.add(LOCAL_DOMAIN);
    let first = fixture.pick_count(4);
    assert!((1..PICKS / 8).contains(&first), "{first}");
}

#[tokio::test(start_paused = true)]
async fn a_slow_upstream_that_reports_no_load_is_not_trusted() {
    let fixture = PickerFixture::new(&[LOCAL_DOMAIN; 4]);
    fixture.warm_up().await;
    for _ in 0..100 {
        fixture.record_attempt(fixture.key(3), answered(BASE_LATENCY * 3 / 2, 0));
    }
    assert!(fixture.pick_count(3) < PICKS / 2);
}

#[tokio::test(start_paused = true)]
async fn a_retry_prefers_an_upstream_that_was_not_tried() {
    let fixture = PickerFixture::new(&[LOCAL_DOMAIN, LOCAL_DOMAIN]);
    fixture.warm_up().await;
    for _ in 0..20 {
        assert_eq!(fixture.pick(&[fixture.key(0)]), Some(fixture.key(1)));
    }
    assert!(fixture.pick(&[fixture.key(0), fixture.key(1)]).is_some());
}

#[tokio::test(start_paused = true)]
async fn a_route_without_upstreams_gives_none() {
    let fixture = PickerFixture::new(&[]);
    assert_eq!(fixture.pick(&[]), None);
}

#[tokio::test(start_paused = true)]
async fn a_retry_ignores_the_distance_of_failure_domains() {
    let fixture = PickerFixture::new(&[LOCAL_DOMAIN, LOCAL_DOMAIN, REMOTE_DOMAIN]);
    fixture.warm_up().await;
    let _request = fixture.start_request(fixture.key(1));
    assert_eq!(fixture.pick_count(2), 0);
    assert_eq!(fixture.pick(&[fixture.key(0)]), Some(fixture.key(2)));
}
