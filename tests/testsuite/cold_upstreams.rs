//! Cold upstreams: the shares of all entries together, what ends a warm-up, and a failure domain that
//! returns cold under load, on the paused clock.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use heatherfall::balance::{
    LoadReport, UtilityPicker, UtilityPickerSettings, record_shared_report,
};
use heatherfall::core::{
    FailureDomain, HeaderNames, LimitShare, LoadReportFormat, SharedSnapshot, UpstreamState, VmId,
    WarmUpLimit, WarmUpShare, WarmUpStatement,
};
use heatherfall::fleet::entry_settings::WarmUpTolerance;
use heatherfall::fleet::peer_message::{ColdUpstream, PeerMessage};
use heatherfall::fleet::peer_table::{EntryRegistration, PeerTable};
use heatherfall::fleet::warm_up_shares::WarmUpMembers;
use heatherfall::membership::{ConfigFreshness, EntryRecord, EntryState};
use heatherfall::request::{
    AttemptOutcome, AttemptRequest, DataPlane, ExecutionSettings, HedgeTrigger, LoadCheckSettings,
    UpstreamClient, UpstreamResponse,
};
use heatherfall::util::SeededRandom;
use heatherfall_standins::platform::StandinPlatform;
use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use proptest::prelude::*;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time::{Instant, advance, sleep};

use crate::support::fleet::{CONFIG_KIND, CONFIG_NAME, TestEntry, UPSTREAM_KIND, put};
use crate::support::{TestLedger, single_node_ledger, snapshot_for};

const HEADER: HeaderName = HeaderName::from_static("x-warmup-ms");
const LOAD_HEADER: HeaderName = HeaderName::from_static("x-load");
/// The page's figures: rate, tolerance, and the requests that they allow in any one second.
const RATE: f64 = 2.7;
const TOLERANCE: WarmUpTolerance = WarmUpTolerance { overage: 1.5, slack: 8.0 };
const ALLOWED: f64 = 12.05;
const WARM_UP: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port as u16))
}

/// Most requests in any one second.
fn most_in_a_second(sent: &[Instant]) -> usize {
    let in_second = |from: Instant| move |at: &&Instant| **at >= from && **at < from + SECOND;
    sent.iter().map(|from| sent.iter().filter(in_second(*from)).count()).max().unwrap_or_default()
}

fn limit(share: LimitShare) -> WarmUpLimit {
    let warm_up = WarmUpLimit::default();
    warm_up.set_share(WarmUpShare { total_per_second: RATE, limit: share, initial_tokens: 1.0 }, 0);
    warm_up
}

#[test]
fn the_time_left_is_read_in_milliseconds_and_anything_else_is_invalid() {
    let statement = |values: &[&str]| {
        let mut headers = HeaderMap::new();
        for value in values {
            headers.append(HEADER, HeaderValue::from_str(value).unwrap());
        }
        WarmUpStatement::from_headers(&headers, &HEADER)
    };
    assert_eq!(statement(&[]), WarmUpStatement::Absent);
    assert_eq!(statement(&["0"]), WarmUpStatement::Left(Duration::ZERO));
    assert_eq!(statement(&["900", " 1500 "]), WarmUpStatement::Left(SECOND * 3 / 2), "the longest");
    assert_eq!(statement(&["1e300"]), WarmUpStatement::Left(SECOND * 600));
    for value in ["", "-1", "NaN", "3s"] {
        assert_eq!(statement(&["100", value]), WarmUpStatement::Invalid, "{value}");
    }
}

/// Guards against a change for deployments that do not enforce the rate.
#[tokio::test(start_paused = true)]
async fn without_a_share_an_upstream_is_never_cold() {
    let warm_up = WarmUpLimit::default();
    warm_up.record_registration(WARM_UP);
    warm_up.record_probe(WarmUpStatement::Left(WARM_UP), Duration::ZERO);
    warm_up.record_peer(WARM_UP);
    assert!(!warm_up.is_cold(Instant::now()) && warm_up.try_take(Instant::now()));
    assert_eq!(warm_up.take_news(Instant::now()), Default::default());
}

/// Guards against a warm-up that ends early by an old response, or never by a new one.
#[tokio::test(start_paused = true)]
async fn the_longest_time_counts_until_a_later_health_check_ends_it() {
    let warm_up = limit(LimitShare::closed());
    warm_up.record_registration(WARM_UP);
    warm_up.record_probe(WarmUpStatement::Absent, Duration::ZERO);
    warm_up.record_peer(SECOND);
    assert_eq!(warm_up.cold_left(Instant::now()), WARM_UP, "no check has ever had the header");
    warm_up.record_probe(WarmUpStatement::Left(SECOND), Duration::ZERO);
    advance(SECOND / 10).await;
    warm_up.record_probe(WarmUpStatement::Left(Duration::ZERO), SECOND / 5);
    assert!(warm_up.is_cold(Instant::now()), "the check was sent before");
    assert!(!warm_up.may_send(Instant::now()), "this entry has no share");
    assert!(warm_up.opens_in(Instant::now()) <= Duration::from_secs_f64(1.0 / RATE));
    warm_up.record_probe(WarmUpStatement::Absent, SECOND / 20);
    assert!(!warm_up.is_cold(Instant::now()) && warm_up.try_take(Instant::now()));
    warm_up.record_registration(WARM_UP);
    assert!(!warm_up.is_cold(Instant::now()), "the same registration says nothing new");
}

/// Guards against tokens that are given anew each time that an upstream becomes cold again.
#[tokio::test(start_paused = true)]
async fn a_warm_up_that_begins_again_and_again_gives_no_more_tokens() {
    let warm_up = limit(LimitShare::new(0.5, 1.0));
    let mut sent = 0;
    for _ in 0..100 {
        warm_up.record_probe(WarmUpStatement::Left(WARM_UP), Duration::ZERO);
        while warm_up.try_take(Instant::now()) {
            sent += 1;
        }
        warm_up.record_probe(WarmUpStatement::Left(Duration::ZERO), Duration::ZERO);
        advance(SECOND / 10).await;
    }
    assert_eq!(sent, 1 + 4, "one at once, and 0.5 per second in 9.9 s");
}

/// One entry of the model.
struct ModelEntry {
    table: PeerTable,
    unknown: Vec<usize>,
    warm_up: WarmUpLimit,
    registered_from: Instant,
}

fn vm(index: usize) -> String {
    format!("entry-{index}")
}

fn register(table: &mut PeerTable, index: usize) {
    let registration = EntryRegistration {
        failure_domain: "fd-a".to_owned(),
        caller_address: address(1),
        peer_address: address(1000 + index),
    };
    table.register(&vm(index), &registration);
}

impl ModelEntry {
    /// Entry `own` in `domain`, which knows all of the `entries` of `fd-a` but those in `unknown`.
    fn new(own: usize, domain: &str, entries: usize, unknown: BTreeSet<usize>) -> Self {
        let mut table = PeerTable::new(EntryRecord {
            vm: VmId::new(&vm(own)),
            failure_domain: FailureDomain::new(domain),
            caller_address: address(1),
            peer_address: address(1000 + own),
            state: EntryState::Ready,
            has_path: true,
        });
        for index in (0..entries).filter(|index| !unknown.contains(index)) {
            register(&mut table, index);
        }
        let unknown = unknown.into_iter().collect();
        Self { table, unknown, warm_up: WarmUpLimit::default(), registered_from: Instant::now() }
    }

    /// Sends all that is allowed; each attempt is preceded by a load check that shows the warm-up.
    fn send(&self, tolerance: WarmUpTolerance, rate: f64, sent: &mut Vec<Instant>) {
        let now = Instant::now();
        let members = self.table.registered_members(now >= self.registered_from);
        let share = members.share("u", &FailureDomain::new("fd-a"), rate, tolerance);
        self.warm_up.set_share(share, 0);
        self.warm_up.record_probe(WarmUpStatement::Left(WARM_UP), Duration::ZERO);
        while self.warm_up.try_take(now) {
            sent.push(now);
        }
    }
}

/// Most requests in any one second while an upstream of a domain with `entries` entries is cold, of
/// which each misses up to `missing` registrations.
async fn run_model(
    seed: u64,
    (entries, missing): (usize, usize),
    rate: f64,
    tolerance: WarmUpTolerance,
) -> usize {
    let mut random = SeededRandom::new(seed);
    let mut fleet = Vec::new();
    for own in 0..entries + 5 {
        // The last five are in another domain; the last of all knows no entry of this one.
        let domain = if own < entries { "fd-a" } else { "fd-b" };
        let known = if own == entries + 4 { 0 } else { entries };
        let unknown = (0..missing).map(|_| random.below(entries)).collect();
        let mut entry = ModelEntry::new(own, domain, known, unknown);
        if own == entries + 4 {
            entry.registered_from += SECOND * 60;
        }
        fleet.push(entry);
    }
    let mut sent = Vec::new();
    for step in 0..200 {
        let number = random.below(entries);
        match random.below(12) {
            // A restart: all is forgotten, and the others hear from it before it is enrolled again.
            0 => {
                fleet[number].warm_up = WarmUpLimit::default();
                fleet[number].registered_from = Instant::now() + SECOND / 3;
                let message = json!({
                    "vm": vm(number), "incarnation": step, "sequence": 1, "failure_domain": "fd-a",
                    "caller_address": address(1), "state": EntryState::Starting,
                    "is_enrolled": false, "confirmation": null, "loads": [], "change": null,
                });
                let message: PeerMessage = serde_json::from_value(message).unwrap();
                for entry in &mut fleet {
                    if !entry.unknown.contains(&number) && random.below(2) == 0 {
                        entry.table.apply_message(&message, address(1000), Instant::now());
                    }
                }
            }
            // A partition ends, and a registration becomes known.
            1 => {
                if let Some(index) = fleet[number].unknown.pop() {
                    register(&mut fleet[number].table, index);
                }
            }
            _ => {}
        }
        for entry in &fleet {
            // Entries without a path, or without requests, send nothing for a while.
            if random.below(4) > 0 {
                entry.send(tolerance, rate, &mut sent);
            }
        }
        advance(Duration::from_millis(25)).await;
    }
    most_in_a_second(&sent)
}

fn on_paused_clock<T>(run: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().unwrap().block_on(run)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Guards against entries that cannot communicate and together exceed the rate.
    #[test]
    fn entries_that_miss_two_registrations_each_keep_within_the_bound(
        seed in any::<u64>(),
        entries in 1..50_usize,
        missing in 0..3_usize,
    ) {
        let missing = missing.min(entries - 1);
        let most = on_paused_clock(run_model(seed, (entries, missing), RATE, TOLERANCE));
        prop_assert!(most as f64 <= ALLOWED, "{most} requests in a second");
        prop_assert!(most > 0, "nothing is sent");
    }

    #[test]
    fn any_rate_and_tolerance_bounds_the_requests_of_all_entries(
        seed in any::<u64>(),
        entries in 1..50_usize,
        rate in 0.1..40.0_f64,
        overage in 1.0..2.0_f64,
        slack in 0.0..20.0_f64,
    ) {
        let tolerance = WarmUpTolerance { overage, slack };
        let most = on_paused_clock(run_model(seed, (entries, 0), rate, tolerance));
        let allowed = rate * overage + slack;
        prop_assert!(most as f64 <= allowed, "{most} requests in a second, allowed {allowed}");
    }
}

/// Guards against a cold upstream that gets requests before its share is known, and against shares in
/// deployments that don't enforce the rate.
#[tokio::test(start_paused = true)]
async fn an_upstream_that_registers_cold_is_cold_at_once_for_entries_with_the_setting_only() {
    for (rate, tolerance) in
        [(json!(RATE), Some(TOLERANCE)), (json!(RATE), None), (json!(null), Some(TOLERANCE))]
    {
        let store = StandinPlatform::default();
        let config = json!({ "generation": 1, "warm_up_rate": rate });
        put(&store, CONFIG_KIND, CONFIG_NAME, config).await;
        let spec = json!({ "service": "reads", "warm_up_ms": 3000 });
        put(&store, UPSTREAM_KIND, "u", spec).await;
        let mut entry = TestEntry::new("entry-1", &store);
        entry.state.set_warm_up(tolerance);
        entry.run_for(SECOND / 10).await;
        let snapshot = entry.state.snapshot.load_full().expect("a configuration");
        let warm_up = snapshot.upstreams.values().next().expect("an upstream").warm_up();
        let is_enforced = tolerance.is_some() && !rate.is_null();
        assert_eq!(warm_up.is_cold(Instant::now()), is_enforced);
        entry.state.apply_peer_warm_ups(&[ColdUpstream { instance: "u".into(), left_ms: 9000 }]);
        advance(SECOND * 4).await;
        assert_eq!(warm_up.is_cold(Instant::now()), is_enforced, "by a peer");
        warm_up.record_probe(WarmUpStatement::Left(SECOND * 7), Duration::ZERO);
        let told = entry.state.take_warm_ups(Instant::now());
        let expected = [ColdUpstream { instance: "u".into(), left_ms: 7000 }];
        assert_eq!(told, if is_enforced { &expected[..] } else { &[] });
        assert!(entry.state.take_warm_ups(Instant::now()).is_empty(), "told once");
        entry.state.set_warm_up(None);
        assert!(!warm_up.is_cold(Instant::now()), "the setting was taken out");
    }
}

const DOMAINS: [&str; 3] = ["fd-a", "fd-b", "fd-c"];
const DOMAIN_UPSTREAMS: usize = 60;
const DOMAIN_ENTRIES: usize = 15;
const SLOTS: usize = 2;
/// Requests that an upstream runs or queues.
const MAX_INFLIGHT: u32 = 10;
const SERVICE_TIME: Duration = Duration::from_millis(400);

/// Upstreams of three failure domains; those of the last are cold after their return.
#[derive(Clone, Debug)]
struct ColdWorld {
    /// Slots and requests, waiting ones included, by upstream.
    slots: Arc<Vec<(Semaphore, AtomicU32)>>,
    /// End of the warm-up of the last domain.
    warm_at: Instant,
    /// Requests by arrival and upstream.
    arrivals: Arc<Mutex<Vec<(Instant, usize)>>>,
}

impl ColdWorld {
    fn is_cold(&self, index: usize) -> bool {
        index >= 2 * DOMAIN_UPSTREAMS && Instant::now() < self.warm_at
    }

    fn inflight(&self, index: usize) -> u32 {
        self.slots[index].1.load(Ordering::Relaxed)
    }
}

impl UpstreamClient for ColdWorld {
    type Body = Full<Bytes>;

    async fn send(
        &self,
        upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<Full<Bytes>> {
        sleep(Duration::from_micros(1400)).await;
        let index = usize::from(upstream.spec.address.port()) - 1;
        let mut response = Response::new(Full::default());
        if request.uri.path() == "/health" {
            let left = self.warm_at.saturating_duration_since(Instant::now()).as_millis() as u64;
            if self.is_cold(index) {
                response.headers_mut().insert(HEADER, HeaderValue::from(left));
            }
        } else {
            if self.inflight(index) >= MAX_INFLIGHT {
                *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
                response.headers_mut().insert("x-upstream-not-run", HeaderValue::from_static("1"));
                return AttemptOutcome::Answered(UpstreamResponse { response });
            }
            self.arrivals.lock().unwrap().push((Instant::now(), index));
            let slowdown = if self.is_cold(index) { 2 } else { 1 };
            let (slots, requests) = &self.slots[index];
            requests.fetch_add(1, Ordering::Relaxed);
            let _counted = Counted(requests);
            let _slot = slots.acquire().await.unwrap();
            sleep(SERVICE_TIME * slowdown).await;
        }
        let load = format!("{},0,{SLOTS},100", self.inflight(index));
        response.headers_mut().insert(LOAD_HEADER, HeaderValue::from_str(&load).unwrap());
        AttemptOutcome::Answered(UpstreamResponse { response })
    }
}

/// Counts a request until it ends or is cancelled.
struct Counted<'a>(&'a AtomicU32);

impl Drop for Counted<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}

type ColdPlane = DataPlane<ColdWorld, UtilityPicker, TestLedger>;

/// Entry `number` of all, with its snapshot.
fn cold_entry(world: &ColdWorld, number: usize) -> (Arc<ColdPlane>, SharedSnapshot) {
    let addresses: Vec<SocketAddr> = (1..=3 * DOMAIN_UPSTREAMS).map(address).collect();
    let route = json!({ "deadline": "4s", "goal": "1500ms" });
    let shared = snapshot_for(&addresses, route, Default::default());
    let mut snapshot = (*shared.load_full().unwrap()).clone();
    for (index, upstream) in snapshot.upstreams.values_mut().enumerate() {
        let mut spec = upstream.spec.clone();
        spec.failure_domain = DOMAINS[index / DOMAIN_UPSTREAMS].to_owned();
        spec.health_path = Some("/health".into());
        spec.slots = SLOTS as u32;
        spec.warm_up_per_second = Some(RATE);
        *upstream = Arc::new(UpstreamState::new(&upstream.name, spec, Default::default()));
        upstream.set_retired(index >= 2 * DOMAIN_UPSTREAMS);
    }
    shared.store(Some(Arc::new(snapshot)));
    let freshness = Arc::new(ConfigFreshness::default());
    freshness.confirm(Duration::ZERO);
    let domain = FailureDomain::new(DOMAINS[number / DOMAIN_ENTRIES]);
    let seed = SeededRandom::new(number as u64);
    let picker = UtilityPicker::new(domain, UtilityPickerSettings::default(), seed);
    let headers = HeaderNames {
        load: LoadReportFormat::Counts(LOAD_HEADER),
        warm_up: Some(HEADER),
        ..Default::default()
    };
    let load_checks = Some(LoadCheckSettings::default());
    let settings = ExecutionSettings {
        headers,
        load_checks,
        hedge_trigger: HedgeTrigger::ExpectedGain,
        first_attempt_ratio: 1.0,
        ..ExecutionSettings::default()
    };
    let ledger = single_node_ledger();
    let plane =
        DataPlane::new(Arc::clone(&shared), world.clone(), picker, ledger, freshness, settings);
    (Arc::new(plane), shared)
}

/// Puts the upstreams of the last domain back into service at entry `number`, as its registrations say.
fn return_cold(snapshot: &SharedSnapshot, number: usize) {
    let mut domains = std::collections::BTreeMap::new();
    for (index, domain) in DOMAINS.iter().enumerate() {
        let first = index * DOMAIN_ENTRIES;
        let entries = (first..first + DOMAIN_ENTRIES).map(|entry| VmId::new(&vm(entry)));
        domains.insert(FailureDomain::new(domain), entries.collect());
    }
    let members = WarmUpMembers { own: VmId::new(&vm(number)), domains };
    for upstream in snapshot.load_full().unwrap().upstreams.values().skip(2 * DOMAIN_UPSTREAMS) {
        let domain = &upstream.failure_domain;
        upstream.warm_up().set_share(members.share(&upstream.name, domain, RATE, TOLERANCE), 0);
        upstream.warm_up().record_registration(WARM_UP);
        upstream.set_retired(false);
    }
}

/// What became of the requests at a load.
#[derive(Debug, Default)]
struct LoadOutcome {
    /// Requests to cold upstreams, and most to one of them in any one second.
    cold: usize,
    most: usize,
    /// Share of the last domain from 2 s to 5 s after the warm-up.
    later_share: f64,
    refused: usize,
    slowest_refusal: Duration,
}

async fn run_load(load: f64) -> LoadOutcome {
    let slots =
        (0..3 * DOMAIN_UPSTREAMS).map(|_| (Semaphore::new(SLOTS), AtomicU32::new(0))).collect();
    let began = Instant::now();
    let returns_at = began + SECOND;
    let warm_at = returns_at + WARM_UP;
    let world = ColdWorld { slots: Arc::new(slots), warm_at, arrivals: Arc::default() };
    let entries: Vec<_> =
        (0..DOMAINS.len() * DOMAIN_ENTRIES).map(|number| cold_entry(&world, number)).collect();
    let mut random = SeededRandom::new(11);
    let capacity = (3 * DOMAIN_UPSTREAMS * SLOTS) as f64 / SERVICE_TIME.as_secs_f64();
    let step = Duration::from_millis(5);
    let (mut due, mut requests) = (0.0, Vec::new());
    for number in 0..1800_usize {
        due += 2.0 * load * capacity * step.as_secs_f64() * random.unit();
        while due >= 1.0 {
            due -= 1.0;
            let plane = Arc::clone(&entries[random.below(entries.len())].0);
            requests.push(tokio::spawn(async move {
                let builder = Request::builder().uri("/read").header("x-request-id", "a");
                let (parts, ()) = builder.body(()).unwrap().into_parts();
                let started = Instant::now();
                let admitted = plane.admit(&parts).expect("a route selects the request");
                let response = plane.run(admitted, parts, Bytes::new()).await;
                (response.status(), response.headers().contains_key(RETRY_AFTER), started.elapsed())
            }));
        }
        // Entries learn of the return up to 45 steps (225 ms) after it.
        let steps_since = number.checked_sub((returns_at - began).as_millis() as usize / 5);
        if let Some((_, snapshot)) = steps_since.and_then(|since| entries.get(since)) {
            return_cold(snapshot, steps_since.unwrap());
        }
        if number % 20 == 0 {
            for (_, snapshot) in &entries {
                for (index, upstream) in
                    snapshot.load_full().unwrap().upstreams.values().enumerate()
                {
                    let report =
                        LoadReport { inflight: world.inflight(index), work_percent: Some(100) };
                    record_shared_report(upstream, report, Duration::ZERO, &Default::default());
                }
            }
        }
        sleep(step).await;
    }
    let arrivals = world.arrivals.lock().unwrap().clone();
    let mut outcome = LoadOutcome::default();
    for index in 2 * DOMAIN_UPSTREAMS..3 * DOMAIN_UPSTREAMS {
        let of_upstream =
            arrivals.iter().filter(|(at, upstream)| *upstream == index && *at < warm_at);
        let sent: Vec<Instant> = of_upstream.map(|(at, _)| *at).collect();
        outcome.cold += sent.len();
        outcome.most = outcome.most.max(most_in_a_second(&sent));
    }
    let later = |at: Instant| at >= warm_at + SECOND * 2;
    let all = arrivals.iter().filter(|(at, _)| later(*at)).count();
    let of_domain = |(at, index): &&(Instant, usize)| later(*at) && *index >= 2 * DOMAIN_UPSTREAMS;
    outcome.later_share = arrivals.iter().filter(of_domain).count() as f64 / all as f64;
    for request in requests {
        let (status, has_retry_after, elapsed) = request.await.unwrap();
        if status == StatusCode::OK {
            continue;
        }
        assert_eq!((status, has_retry_after), (StatusCode::SERVICE_UNAVAILABLE, true));
        outcome.refused += 1;
        outcome.slowest_refusal = outcome.slowest_refusal.max(elapsed);
    }
    outcome
}

/// Guards against requests beyond the rate while a whole domain is cold, against requests that wait
/// for it, and against a domain that stays unused afterwards. At a load of 0.8, the other
/// domains are not enough, so that the cold one is used too.
#[tokio::test(start_paused = true)]
async fn a_domain_that_returns_cold_under_load_keeps_its_rate_and_then_takes_its_part() {
    for load in [0.7, 0.8] {
        let outcome = run_load(load).await;
        assert!(outcome.most as f64 <= ALLOWED, "{outcome:?}");
        assert!(outcome.later_share >= 0.8 / 3.0, "{outcome:?}");
        assert!(load < 0.75 || (outcome.cold > 0 && outcome.refused > 0), "{outcome:?}");
        let checks = LoadCheckSettings::default();
        let longest = checks.check_timeout * checks.max_attempt_checks;
        assert!(outcome.slowest_refusal <= longest, "{outcome:?}");
    }
}
