//! The daemon's picker, driven through its trait on the paused clock.

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

const HOME: &str = "domain-0";
const AWAY: &str = "domain-1";
const USUAL: Duration = Duration::from_millis(5);
const PICKS: usize = 600;

struct PickerFixture {
    picker: LoadPicker,
    snapshot: ConfigSnapshot,
}

impl PickerFixture {
    fn new(domains: &[&str]) -> Self {
        let mut fixture = Self {
            picker: LoadPicker::new(
                FailureDomain::new(HOME),
                LoadPickerSettings::default(),
                SeededRandom::new(7),
            ),
            snapshot: ConfigSnapshot::default(),
        };
        let spec = json!({ "requests": "app=any", "upstreams": "app=any" });
        fixture.snapshot.routes.push(RouteRecord {
            name: "any".to_owned(),
            spec: serde_json::from_value(spec).unwrap(),
            upstreams: Vec::new(),
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
        self.snapshot.routes[0].upstreams.push(key);
        key
    }

    fn key(&self, index: usize) -> UpstreamKey {
        self.snapshot.routes[0].upstreams[index]
    }

    fn pick(&self, tried: &[UpstreamKey]) -> Option<UpstreamKey> {
        let route = &self.snapshot.routes[0];
        self.picker.pick(PickRequest::new(&self.snapshot, route, tried)).ok()
    }

    fn enter(&self, key: UpstreamKey) -> InflightGuard {
        self.snapshot.upstreams[key].start_request()
    }

    fn observe(&self, key: UpstreamKey, report: AttemptReport) {
        self.picker.record_attempt(&self.snapshot.upstreams[key], report);
    }

    /// Answers of every upstream with the same latency and load, until all have warmed up.
    async fn settle(&self) {
        for _ in 0..100 {
            for key in &self.snapshot.routes[0].upstreams {
                self.observe(*key, answered(self.latency_of(*key), 2));
            }
            advance(Duration::from_millis(50)).await;
        }
    }

    fn latency_of(&self, key: UpstreamKey) -> Duration {
        let is_home = self.snapshot.upstreams[key].failure_domain.as_str() == HOME;
        if is_home { USUAL } else { USUAL + Duration::from_millis(3) }
    }

    /// How often each upstream is picked while no request stays in flight.
    fn counts(&self) -> FastMap<UpstreamKey, usize> {
        let mut counts = FastMap::default();
        for _ in 0..PICKS {
            *counts.entry(self.pick(&[]).unwrap()).or_default() += 1;
        }
        counts
    }

    fn count(&self, index: usize) -> usize {
        self.counts().get(&self.key(index)).copied().unwrap_or_default()
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
async fn equal_upstreams_share_the_work() {
    let fixture = PickerFixture::new(&[HOME; 4]);
    fixture.settle().await;
    for count in fixture.counts().values() {
        assert!((PICKS / 8..PICKS / 2).contains(count), "{count}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_fresh_report_of_an_idle_upstream_attracts_the_next_request_only() {
    let fixture = PickerFixture::new(&[HOME; 4]);
    fixture.settle().await;
    let idle = fixture.key(2);
    fixture.observe(idle, answered(USUAL, 0));
    assert_eq!(fixture.pick(&[]), Some(idle));
    let _requests = [fixture.enter(idle), fixture.enter(idle), fixture.enter(idle)];
    assert_ne!(fixture.pick(&[]), Some(idle));
}

#[tokio::test(start_paused = true)]
async fn an_old_report_gives_way_to_the_usual_load() {
    let fixture = PickerFixture::new(&[HOME; 4]);
    fixture.settle().await;
    fixture.observe(fixture.key(2), answered(USUAL, 0));
    let _request = fixture.enter(fixture.key(2));
    assert_eq!(fixture.count(2), PICKS);
    advance(Duration::from_secs(2)).await;
    assert_eq!(fixture.count(2), 0);
}

#[tokio::test(start_paused = true)]
async fn work_stays_in_the_failure_domain_until_it_would_wait_longer() {
    let fixture = PickerFixture::new(&[HOME, HOME, AWAY, AWAY]);
    fixture.settle().await;
    assert_eq!(fixture.count(2) + fixture.count(3), 0);
    let mut requests = Vec::new();
    for _ in 0..8 {
        requests.push(fixture.enter(fixture.key(0)));
        requests.push(fixture.enter(fixture.key(1)));
    }
    assert_eq!(fixture.count(0) + fixture.count(1), 0);
}

#[tokio::test(start_paused = true)]
async fn a_fast_failure_attracts_nothing() {
    let fixture = PickerFixture::new(&[HOME; 4]);
    fixture.settle().await;
    fixture.observe(fixture.key(1), failed(AttemptResult::ServerError));
    assert_eq!(fixture.count(1), 0);
}

#[tokio::test(start_paused = true)]
async fn an_ejected_upstream_comes_back_gradually() {
    let fixture = PickerFixture::new(&[HOME; 4]);
    fixture.settle().await;
    for _ in 0..4 {
        fixture.observe(fixture.key(1), failed(AttemptResult::ConnectFailed));
    }
    assert_eq!(fixture.count(1), 0);
    advance(Duration::from_millis(1100)).await;
    for _ in 0..40 {
        fixture.observe(fixture.key(1), answered(USUAL, 0));
    }
    let early = fixture.count(1);
    assert!((1..PICKS / 4).contains(&early), "{early}");
    advance(Duration::from_secs(2)).await;
    fixture.observe(fixture.key(1), answered(USUAL, 0));
    assert!(fixture.count(1) > early);
}

#[tokio::test(start_paused = true)]
async fn a_shed_counts_as_load_and_not_as_a_failure() {
    let fixture = PickerFixture::new(&[HOME; 4]);
    fixture.settle().await;
    for _ in 0..10 {
        fixture.observe(fixture.key(1), failed(AttemptResult::Shed));
    }
    assert_eq!(fixture.count(1), 0);
    advance(Duration::from_millis(100)).await;
    for _ in 0..3 {
        fixture.observe(fixture.key(1), answered(USUAL, 1));
    }
    assert!(fixture.count(1) > 0);
}

#[tokio::test(start_paused = true)]
async fn ejection_is_doubted_when_most_upstreams_fail() {
    let fixture = PickerFixture::new(&[HOME; 4]);
    fixture.settle().await;
    for index in 0..4 {
        for _ in 0..4 {
            fixture.observe(fixture.key(index), failed(AttemptResult::ConnectFailed));
        }
    }
    assert_eq!(fixture.counts().len(), 4);
}

#[tokio::test(start_paused = true)]
async fn a_new_upstream_is_not_flooded() {
    let mut fixture = PickerFixture::new(&[HOME; 4]);
    fixture.settle().await;
    fixture.add(HOME);
    let first = fixture.count(4);
    assert!((1..PICKS / 8).contains(&first), "{first}");
}

#[tokio::test(start_paused = true)]
async fn a_late_upstream_that_reports_idle_is_not_believed() {
    let fixture = PickerFixture::new(&[HOME; 4]);
    fixture.settle().await;
    for _ in 0..100 {
        fixture.observe(fixture.key(3), answered(USUAL * 3 / 2, 0));
    }
    assert!(fixture.count(3) < PICKS / 2);
}

#[tokio::test(start_paused = true)]
async fn a_retry_goes_to_an_upstream_not_tried_while_there_is_one() {
    let fixture = PickerFixture::new(&[HOME, HOME]);
    fixture.settle().await;
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
async fn a_further_attempt_looks_beyond_the_failure_domain() {
    let fixture = PickerFixture::new(&[HOME, HOME, AWAY]);
    fixture.settle().await;
    let _request = fixture.enter(fixture.key(1));
    assert_eq!(fixture.count(2), 0);
    assert_eq!(fixture.pick(&[fixture.key(0)]), Some(fixture.key(2)));
}
