//! Load patterns that the completion picker answers, on the paused clock and without a network.

use std::sync::Arc;
use std::time::Duration;

use heatherfall::balance::{
    AttemptReport, AttemptResult, LoadReport, ObserveSettings, PickPurpose, PickRefusal,
    PickRequest, RequestProfile, UpstreamPicker, UtilityPicker, UtilityPickerSettings,
    record_shared_report,
};
use heatherfall::core::{
    ConfigSnapshot, FailureDomain, InflightGuard, LabelSet, RouteRecord, UpstreamKey, UpstreamSpec,
    UpstreamState,
};
use heatherfall::util::SeededRandom;
use serde_json::json;
use tokio::time::advance;

const HOME: &str = "fd-a";
const SLOTS: u32 = 4;
const WORK: Duration = Duration::from_millis(100);
const GOAL: Duration = Duration::from_millis(300);

struct PickerFixture {
    picker: UtilityPicker,
    snapshot: ConfigSnapshot,
    demand: RequestProfile,
}

impl PickerFixture {
    fn new(domains: &[&str], rank: u32) -> Self {
        let spec = json!({ "requests": "", "upstreams": "", "goal": "300ms", "rank": rank });
        let mut fixture = Self {
            picker: UtilityPicker::new(
                FailureDomain::new(HOME),
                UtilityPickerSettings::default(),
                SeededRandom::new(5),
            ),
            snapshot: ConfigSnapshot::default(),
            demand: RequestProfile {
                service_time: WORK,
                kilobytes: 4.0,
                goal_left: GOAL,
                deadline_left: Duration::from_secs(1),
                ..RequestProfile::default()
            },
        };
        fixture.snapshot.routes.push(RouteRecord {
            name: "any".to_owned(),
            spec: serde_json::from_value(spec).unwrap(),
            upstreams: Vec::new(),
            parts: Vec::new(),
        });
        for domain in domains {
            let spec =
                json!({ "address": "127.0.0.1:1", "failure_domain": domain, "slots": SLOTS });
            let spec: UpstreamSpec = serde_json::from_value(spec).unwrap();
            let name = format!("upstream-{}", fixture.snapshot.upstreams.len());
            let state = Arc::new(UpstreamState::new(&name, spec, LabelSet::default()));
            let key = fixture.snapshot.upstreams.insert(state);
            fixture.snapshot.routes[0].upstreams.push(key);
        }
        fixture
    }

    fn key(&self, index: usize) -> UpstreamKey {
        self.snapshot.routes[0].upstreams[index]
    }

    fn upstream(&self, index: usize) -> &Arc<UpstreamState> {
        &self.snapshot.upstreams[self.key(index)]
    }

    /// A report that came just now.
    fn report(&self, index: usize, inflight: u32, work_percent: u32) {
        let report = LoadReport { inflight, work_percent: Some(work_percent) };
        let settings = ObserveSettings::default();
        record_shared_report(self.upstream(index), report, Duration::ZERO, &settings);
    }

    fn pick_for(
        &self,
        purpose: PickPurpose,
        tried: &[UpstreamKey],
    ) -> Result<UpstreamKey, PickRefusal> {
        let request = PickRequest::new(&self.snapshot, &self.snapshot.routes[0], tried);
        self.picker.pick(PickRequest { purpose, profile: self.demand, ..request })
    }

    fn pick(&self) -> Result<UpstreamKey, PickRefusal> {
        self.pick_for(PickPurpose::First, &[])
    }

    /// Picks that go to each upstream among a hundred.
    fn shares(&self) -> Vec<u32> {
        let mut counts = vec![0; self.snapshot.upstreams.len()];
        for _ in 0..100 {
            let Ok(picked) = self.pick() else { continue };
            let upstreams = &self.snapshot.routes[0].upstreams;
            let index = upstreams.iter().position(|key| *key == picked).unwrap();
            counts[index] += 1;
        }
        counts
    }

    fn enter(&self, index: usize, count: u32) -> Vec<InflightGuard> {
        (0..count).map(|_| self.upstream(index).start_request()).collect()
    }
}

#[tokio::test(start_paused = true)]
async fn a_machine_that_just_turned_slow_gets_no_work() {
    let fixture = PickerFixture::new(&[HOME, HOME], 0);
    fixture.report(0, 0, 700);
    fixture.report(1, 1, 100);
    assert_eq!(fixture.shares(), [0, 100]);
}

#[tokio::test(start_paused = true)]
async fn a_slow_spell_is_forgotten_when_nothing_confirms_it() {
    let fixture = PickerFixture::new(&[HOME, HOME], 0);
    fixture.report(0, 0, 700);
    fixture.report(1, 0, 100);
    advance(Duration::from_secs(2)).await;
    let shares = fixture.shares();
    assert!(shares[0] > 20 && shares[1] > 20, "{shares:?}");
}

#[tokio::test(start_paused = true)]
async fn bytes_cross_to_another_domain_only_for_the_goal() {
    let fixture = PickerFixture::new(&[HOME, "fd-b"], 0);
    fixture.report(0, 3, 100);
    fixture.report(1, 0, 100);
    assert_eq!(fixture.shares(), [100, 0], "the near one is busier but makes the goal");
    fixture.report(0, 1, 900);
    assert_eq!(fixture.shares(), [0, 100], "the near one would miss it");
}

#[tokio::test(start_paused = true)]
async fn a_burst_is_refused_by_rank_and_at_once() {
    let mut admitted = Vec::new();
    for rank in 0..3 {
        let fixture = PickerFixture::new(&[HOME, HOME], rank);
        let mut guards = Vec::new();
        while let Ok(key) = fixture.pick() {
            guards.push(fixture.snapshot.upstreams[key].start_request());
            assert!(guards.len() < 100, "nothing is ever refused");
        }
        assert_eq!(fixture.pick(), Err(PickRefusal::Crowded));
        admitted.push(guards.len() as u32);
    }
    let slots = 2 * SLOTS;
    assert!(admitted[0] > admitted[1] && admitted[1] > admitted[2], "{admitted:?}");
    assert!(admitted[2] >= slots, "all slots are used: {admitted:?}");
    // What waits at two full upstreams of the last rank still makes the goal.
    let waiting = f64::from(admitted[2] - slots) / f64::from(slots);
    assert!(WORK.mul_f64(1.0 + waiting) < GOAL, "{admitted:?}");
}

#[tokio::test(start_paused = true)]
async fn in_a_burst_work_that_will_be_late_leaves_the_slots_to_work_that_makes_its_goal() {
    let mut fixture = PickerFixture::new(&[HOME, HOME], 1);
    fixture.report(0, 2, 100);
    fixture.report(1, 2, 100);
    assert!(fixture.pick().is_ok(), "half of the slots are free");
    // It was refused before and comes back when its goal has passed.
    fixture.demand.goal_left = Duration::ZERO;
    assert_eq!(fixture.pick(), Err(PickRefusal::Crowded));
    fixture.report(1, 0, 100);
    assert_eq!(fixture.pick(), Ok(fixture.key(1)), "an idle upstream can spare a slot");
    let mut urgent = PickerFixture::new(&[HOME, HOME], 0);
    urgent.report(0, 2, 100);
    urgent.report(1, 2, 100);
    urgent.demand.goal_left = Duration::ZERO;
    assert!(urgent.pick().is_ok(), "the highest rank does not yield");
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_is_slower_when_full_keeps_a_slot_free() {
    let mut fixture = PickerFixture::new(&[HOME], 2);
    fixture.demand.saturation_factor = 1.7;
    let _busy = fixture.enter(0, SLOTS - 1);
    assert_eq!(fixture.pick(), Err(PickRefusal::Crowded));
    fixture.demand.saturation_factor = 1.0;
    assert_eq!(fixture.pick(), Ok(fixture.key(0)));
}

#[tokio::test(start_paused = true)]
async fn a_request_that_cannot_make_its_deadline_is_refused() {
    let mut fixture = PickerFixture::new(&[HOME], 0);
    fixture.demand.deadline_left = Duration::from_millis(60);
    assert_eq!(fixture.pick(), Err(PickRefusal::Crowded));
}

#[tokio::test(start_paused = true)]
async fn a_hedge_leaves_a_machine_that_was_slow_when_the_attempt_began() {
    let mut fixture = PickerFixture::new(&[HOME, HOME], 0);
    fixture.report(1, 0, 100);
    let _running = fixture.enter(0, 1);
    // It has recovered since, which does not help the attempt.
    fixture.report(0, 1, 100);
    fixture.demand.attempt_slowdown = Some(7.0);
    fixture.demand.attempt_elapsed = Duration::from_millis(30);
    fixture.demand.goal_left = GOAL - fixture.demand.attempt_elapsed;
    let hedge = fixture.pick_for(PickPurpose::Hedge, &[fixture.key(0)]);
    assert_eq!(hedge, Ok(fixture.key(1)));
}

#[tokio::test(start_paused = true)]
async fn an_attempt_that_began_at_the_usual_pace_is_not_hedged_when_its_machine_turns_slow() {
    let mut fixture = PickerFixture::new(&[HOME, HOME], 0);
    fixture.report(1, 0, 100);
    let _running = fixture.enter(0, 1);
    fixture.report(0, 1, 700);
    fixture.demand.attempt_slowdown = Some(1.0);
    fixture.demand.attempt_elapsed = Duration::from_millis(30);
    fixture.demand.goal_left = GOAL - fixture.demand.attempt_elapsed;
    let hedge = fixture.pick_for(PickPurpose::Hedge, &[fixture.key(0)]);
    assert_eq!(hedge, Err(PickRefusal::NoUpstream));
}

#[tokio::test(start_paused = true)]
async fn a_hedge_leaves_a_machine_that_is_reported_slow_if_its_pace_is_unknown() {
    let mut fixture = PickerFixture::new(&[HOME, HOME], 0);
    fixture.report(1, 0, 100);
    let _running = fixture.enter(0, 1);
    fixture.report(0, 1, 700);
    fixture.demand.attempt_elapsed = Duration::from_millis(30);
    fixture.demand.goal_left = GOAL - fixture.demand.attempt_elapsed;
    let hedge = fixture.pick_for(PickPurpose::Hedge, &[fixture.key(0)]);
    assert_eq!(hedge, Ok(fixture.key(1)));
}

#[tokio::test(start_paused = true)]
async fn an_attempt_that_is_nearly_done_is_not_hedged() {
    let mut fixture = PickerFixture::new(&[HOME, HOME], 0);
    fixture.report(0, 1, 100);
    fixture.report(1, 0, 100);
    let _running = fixture.enter(0, 1);
    fixture.demand.attempt_elapsed = Duration::from_millis(80);
    fixture.demand.goal_left = GOAL - fixture.demand.attempt_elapsed;
    let hedge = fixture.pick_for(PickPurpose::Hedge, &[fixture.key(0)]);
    assert_eq!(hedge, Err(PickRefusal::NoUpstream));
}

#[tokio::test(start_paused = true)]
async fn an_attempt_that_went_silent_is_hedged_in_time_for_the_goal() {
    let mut fixture = PickerFixture::new(&[HOME, HOME], 0);
    fixture.report(0, 1, 100);
    fixture.report(1, 0, 100);
    let _running = fixture.enter(0, 1);
    fixture.demand.attempt_elapsed = Duration::from_millis(170);
    fixture.demand.goal_left = GOAL - fixture.demand.attempt_elapsed;
    let hedge = fixture.pick_for(PickPurpose::Hedge, &[fixture.key(0)]);
    assert_eq!(hedge, Ok(fixture.key(1)));
}

#[tokio::test(start_paused = true)]
async fn an_attempt_lost_at_a_dark_upstream_is_repeated_though_its_goal_has_passed() {
    let mut fixture = PickerFixture::new(&[HOME, HOME], 0);
    fixture.report(0, 1, 100);
    fixture.report(1, 0, 100);
    let _running = fixture.enter(0, 1);
    fixture.demand.attempt_elapsed = Duration::from_millis(450);
    fixture.demand.goal_left = Duration::ZERO;
    fixture.demand.deadline_left = Duration::from_millis(550);
    let hedge = fixture.pick_for(PickPurpose::Hedge, &[fixture.key(0)]);
    assert_eq!(hedge, Ok(fixture.key(1)));
}

#[tokio::test(start_paused = true)]
async fn a_late_attempt_on_a_slow_machine_is_not_repeated_once_its_goal_has_passed() {
    let mut fixture = PickerFixture::new(&[HOME, HOME], 0);
    fixture.report(0, 1, 400);
    fixture.report(1, 3, 100);
    let _running = fixture.enter(0, 1);
    fixture.demand.attempt_elapsed = Duration::from_millis(150);
    fixture.demand.goal_left = Duration::ZERO;
    fixture.demand.deadline_left = Duration::from_millis(1500);
    let hedge = fixture.pick_for(PickPurpose::Hedge, &[fixture.key(0)]);
    assert_eq!(hedge, Err(PickRefusal::NoUpstream), "it will be answered in time anyway");
}

#[tokio::test(start_paused = true)]
async fn work_stays_with_upstreams_to_which_a_connection_is_open_until_one_is_busy() {
    let fixture = PickerFixture::new(&[HOME; 6], 0);
    for index in 0..6 {
        fixture.report(index, 0, 100);
    }
    let answered = AttemptReport {
        latency: WORK,
        result: AttemptResult::Answered,
        load: None,
        is_draining: false,
    };
    fixture.picker.record_attempt(fixture.upstream(2), answered);
    assert_eq!(fixture.shares()[2], 100, "no new connection is opened");
    fixture.report(2, SLOTS, 100);
    assert_eq!(fixture.shares()[2], 0, "its slots are in use");
    fixture.report(2, 0, 100);
    advance(Duration::from_secs(8)).await;
    for index in 0..6 {
        fixture.report(index, 0, 100);
    }
    assert!(fixture.shares()[2] < 60, "the connection has been closed by now");
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_fails_fast_attracts_no_work() {
    let fixture = PickerFixture::new(&[HOME, HOME], 0);
    for _ in 0..3 {
        fixture.picker.record_attempt(
            fixture.upstream(0),
            AttemptReport {
                latency: Duration::from_millis(1),
                result: AttemptResult::ServerError,
                load: None,
                is_draining: false,
            },
        );
    }
    fixture.report(0, 0, 100);
    fixture.report(1, 2, 100);
    let shares = fixture.shares();
    assert!(shares[1] > 90, "{shares:?}");
    advance(Duration::from_secs(20)).await;
    let shares = fixture.shares();
    assert!(shares[0] > 10, "it is tried again later: {shares:?}");
}
