//! Requests to cold upstreams, and a failure domain that returns cold under load.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use heatherfall::balance::{
    LoadReport, UtilityPicker, UtilityPickerSettings, record_shared_report,
};
use heatherfall::core::{
    FailureDomain, HeaderNames, LimitShare, LoadReportFormat, UpstreamState, VmId, WarmUpShare,
};
use heatherfall::fleet::warm_up_shares::WarmUpMembers;
use heatherfall::membership::ConfigFreshness;
use heatherfall::request::{
    AttemptOutcome, AttemptRequest, DataPlane, ExecutionSettings, HedgeTrigger, LoadCheckSettings,
    UpstreamClient, UpstreamResponse,
};
use heatherfall::util::SeededRandom;
use http::header::RETRY_AFTER;
use http::{HeaderName, HeaderValue, Request, Response, StatusCode};
use http_body_util::Full;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::time::{Instant, sleep};

use super::{ALLOWED, HEADER, RATE, SECOND, TOLERANCE, WARM_UP, address, most_in_a_second, vm};
use crate::support::{TestLedger, single_node_ledger, snapshot_for};

const LOAD_HEADER: HeaderName = HeaderName::from_static("x-load");
const DOMAINS: [&str; 3] = ["fd-a", "fd-b", "fd-c"];
const DOMAIN_UPSTREAMS: usize = 60;
const DOMAIN_ENTRIES: usize = 15;
/// First upstream of the last domain.
const FIRST_COLD: usize = 2 * DOMAIN_UPSTREAMS;
const SLOTS: usize = 2;
/// Requests that may wait at an upstream.
const QUEUE: usize = 8;
const SERVICE_TIME: Duration = Duration::from_millis(400);

/// Upstreams of three failure domains; those of the last are cold after their return.
#[derive(Clone, Debug)]
struct ColdWorld {
    /// Slots, and a reference for each running or waiting request, by upstream.
    slots: Arc<Vec<(Semaphore, Arc<()>)>>,
    /// End of the warm-up of the last domain.
    warm_at: Instant,
    /// Requests by arrival and upstream.
    arrivals: Arc<Mutex<Vec<(Instant, usize)>>>,
}

impl ColdWorld {
    fn new(warm_at: Instant) -> Self {
        let slots = (0..3 * DOMAIN_UPSTREAMS).map(|_| (Semaphore::new(SLOTS), Arc::default()));
        Self { slots: Arc::new(slots.collect()), warm_at, arrivals: Arc::default() }
    }

    fn inflight(&self, index: usize) -> usize {
        Arc::strong_count(&self.slots[index].1) - 1
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
        let left = self.warm_at.saturating_duration_since(Instant::now()).as_millis() as u64;
        let is_cold = index >= FIRST_COLD && left > 0;
        if request.uri.path() != "/health" && self.inflight(index) >= SLOTS + QUEUE {
            *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
            response.headers_mut().insert("x-upstream-not-run", HeaderValue::from_static("1"));
        } else if request.uri.path() != "/health" {
            self.arrivals.lock().unwrap().push((Instant::now(), index));
            let (slots, requests) = &self.slots[index];
            let _counted = Arc::clone(requests);
            let _slot = slots.acquire().await.unwrap();
            sleep(SERVICE_TIME * if is_cold { 2 } else { 1 }).await;
        } else if is_cold {
            response.headers_mut().insert(HEADER, HeaderValue::from(left));
        }
        let load = format!("{},0,{SLOTS},100", self.inflight(index));
        response.headers_mut().insert(LOAD_HEADER, HeaderValue::from_str(&load).unwrap());
        AttemptOutcome::Answered(UpstreamResponse { response })
    }
}

/// An entry with its snapshot.
struct ColdEntry {
    plane: DataPlane<ColdWorld, UtilityPicker, TestLedger>,
    upstreams: Vec<Arc<UpstreamState>>,
}

impl ColdEntry {
    fn new(world: &ColdWorld, number: usize) -> Arc<Self> {
        let addresses: Vec<SocketAddr> = (1..=3 * DOMAIN_UPSTREAMS).map(address).collect();
        let route = json!({ "deadline": "4s", "goal": "1500ms" });
        let shared = snapshot_for(&addresses, route, Default::default());
        let mut snapshot = (*shared.load_full().unwrap()).clone();
        for (index, upstream) in snapshot.upstreams.values_mut().enumerate() {
            let mut spec = upstream.spec.clone();
            spec.failure_domain = DOMAINS[index / DOMAIN_UPSTREAMS].to_owned();
            spec.health_path = Some("/health".into());
            spec.slots = SLOTS as u32;
            *upstream = Arc::new(UpstreamState::new(&upstream.name, spec, Default::default()));
            upstream.set_retired(index >= FIRST_COLD);
        }
        let upstreams = snapshot.upstreams.values().cloned().collect();
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
        let settings = ExecutionSettings {
            headers,
            load_checks: Some(LoadCheckSettings::default()),
            hedge_trigger: HedgeTrigger::ExpectedGain,
            first_attempt_ratio: 1.0,
            ..ExecutionSettings::default()
        };
        let (client, ledger) = (world.clone(), single_node_ledger());
        let plane = DataPlane::new(shared, client, picker, ledger, freshness, settings);
        Arc::new(Self { plane, upstreams })
    }

    /// Puts the upstreams of the last domain back into service at entry `number`, as its
    /// registrations say.
    fn return_cold(&self, number: usize) {
        let (own, domains) = (VmId::new(&vm(number)), BTreeMap::new());
        let mut members = WarmUpMembers { own, domains, may_stand_in: false };
        for entry in 0..DOMAINS.len() * DOMAIN_ENTRIES {
            let domain = FailureDomain::new(DOMAINS[entry / DOMAIN_ENTRIES]);
            members.domains.entry(domain).or_default().push(VmId::new(&vm(entry)));
        }
        for upstream in &self.upstreams[FIRST_COLD..] {
            let domain = &upstream.failure_domain;
            upstream.warm_up().set_share(members.share(&upstream.name, domain, RATE, TOLERANCE), 0);
            upstream.warm_up().record_registration(WARM_UP);
            upstream.set_retired(false);
        }
    }

    /// Sends a request. A refusal must come at once, after the load checks at most, and name a time.
    async fn send(self: Arc<Self>) -> StatusCode {
        let builder = Request::builder().uri("/read").header("x-request-id", "a");
        let (parts, ()) = builder.body(()).unwrap().into_parts();
        let started = Instant::now();
        let admitted = self.plane.admit(&parts).expect("a route selects the request");
        let response = self.plane.run(admitted, parts, Bytes::new()).await;
        if response.status() != StatusCode::OK {
            let checks = LoadCheckSettings::default();
            let longest = checks.check_timeout * checks.max_attempt_checks;
            assert!(started.elapsed() <= longest, "it waited for {:?}", started.elapsed());
            assert!(response.headers().contains_key(RETRY_AFTER));
        }
        response.status()
    }
}

/// Guards against concurrent requests that all use one token, against requests that wait for the
/// next one, and against a refusal while another upstream has capacity.
#[tokio::test(start_paused = true)]
async fn requests_beyond_the_share_go_elsewhere_or_are_refused_at_once() {
    let world = ColdWorld::new(Instant::now() + WARM_UP);
    let entry = ColdEntry::new(&world, 0);
    for upstream in &entry.upstreams {
        upstream.set_retired(true);
    }
    let (warm, cold) = (&entry.upstreams[0], &entry.upstreams[FIRST_COLD]);
    cold.set_retired(false);
    let limit = LimitShare::new(RATE / 6.0, 1.0);
    cold.warm_up().set_share(WarmUpShare { total_per_second: RATE, limit, initial_tokens: 1.0 }, 0);
    cold.warm_up().record_registration(WARM_UP);
    let requests: Vec<_> = (0..20).map(|_| tokio::spawn(Arc::clone(&entry).send())).collect();
    let mut refused = 0;
    for request in requests {
        refused += u32::from(request.await.unwrap() == StatusCode::SERVICE_UNAVAILABLE);
    }
    assert_eq!(refused, 19, "one token");
    // The load of the warm upstream seems higher.
    warm.set_retired(false);
    let slow = LoadReport { inflight: 2, work_percent: Some(400) };
    record_shared_report(warm, slow, Duration::ZERO, &Default::default());
    assert_eq!(Arc::clone(&entry).send().await, StatusCode::OK, "another upstream has capacity");
}

/// Guards against requests beyond the rate while a whole domain is cold, against requests that wait
/// for it, and against a domain that stays unused afterwards. At a load of 0.8, the other domains are
/// not enough, so that the cold one is used too.
#[tokio::test(start_paused = true)]
async fn a_domain_that_returns_cold_under_load_keeps_its_rate_and_then_takes_its_part() {
    for load in [0.7, 0.8] {
        let world = ColdWorld::new(Instant::now() + SECOND + WARM_UP);
        let entries = 0..DOMAINS.len() * DOMAIN_ENTRIES;
        let entries: Vec<_> = entries.map(|number| ColdEntry::new(&world, number)).collect();
        let mut random = SeededRandom::new(11);
        let capacity = (3 * DOMAIN_UPSTREAMS * SLOTS) as f64 / SERVICE_TIME.as_secs_f64();
        let step = Duration::from_millis(5);
        let (mut due, mut requests) = (0.0, Vec::new());
        for number in 0..1800_usize {
            due += 2.0 * load * capacity * step.as_secs_f64() * random.unit();
            while due >= 1.0 {
                due -= 1.0;
                let entry = Arc::clone(&entries[random.below(entries.len())]);
                requests.push(tokio::spawn(entry.send()));
            }
            // The entries learn of the return one after the other, the last after 225 ms.
            if let Some(index) = number.checked_sub(200).filter(|index| *index < entries.len()) {
                entries[index].return_cold(index);
            }
            for entry in entries.iter().filter(|_| number % 20 == 0) {
                for (index, upstream) in entry.upstreams.iter().enumerate() {
                    let inflight = world.inflight(index) as u32;
                    let report = LoadReport { inflight, work_percent: Some(100) };
                    record_shared_report(upstream, report, Duration::ZERO, &Default::default());
                }
            }
            sleep(step).await;
        }
        let mut cold = 0;
        for request in requests {
            request.await.expect("no refusal waits");
        }
        let arrivals = world.arrivals.lock().unwrap().clone();
        for upstream in FIRST_COLD..3 * DOMAIN_UPSTREAMS {
            let sent = arrivals.iter().filter(|(at, to)| *to == upstream && *at < world.warm_at);
            let sent: Vec<Instant> = sent.map(|(at, _)| *at).collect();
            let most = most_in_a_second(&sent);
            assert!(most as f64 <= ALLOWED, "{most} requests in a second to a cold upstream");
            cold += sent.len();
        }
        let later = arrivals.iter().filter(|(at, _)| *at >= world.warm_at + SECOND * 2);
        let all = later.clone().count();
        let share = later.filter(|(_, to)| *to >= FIRST_COLD).count() as f64 / all as f64;
        assert!(share >= 0.8 / 3.0, "{share:.3} of the requests from 2 to 5 s after the warm-up");
        assert!(load < 0.75 || cold > 0, "the rate of the cold domain is unused");
    }
}
