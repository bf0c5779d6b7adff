//! Checks of the path to the upstreams, on the paused clock.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use heatherfall::balance::{LoadReport, PathMonitor, PathResult, PathTrial, record_shared_report};
use heatherfall::core::{BudgetSpec, ConfigSnapshot, UpstreamState, VmId};
use heatherfall::fleet::path_check::PathCheckService;
use heatherfall::kernel::ServiceTask;
use heatherfall::request::{
    AttemptOutcome, AttemptRequest, ConnectionPolicy, NotRunProof, UpstreamClient, UpstreamResponse,
};
use heatherfall::util::SeededRandom;
use heatherfall_standins::platform::StandinPlatform;
use http::Response;
use http_body_util::Full;
use serde_json::json;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::support::fleet::TestEntry;
use crate::support::snapshot_for;

/// Number of upstreams.
const UPSTREAMS: u16 = 8;
/// Time by which a lost path is noticed, or one that is back.
const NOTICE_TIME: Duration = Duration::from_secs(1);
/// Length of an ejection, longer than a test.
const EJECTION_TIME: Duration = Duration::from_secs(20);

/// Upstreams of which some are within reach.
#[derive(Clone, Debug, Default)]
struct ReachClient {
    reachable: Arc<Mutex<Vec<u16>>>,
    sent: Arc<AtomicU32>,
}

impl UpstreamClient for ReachClient {
    type Body = Full<Bytes>;

    async fn send(
        &self,
        upstream: &Arc<UpstreamState>,
        request: AttemptRequest,
    ) -> AttemptOutcome<Full<Bytes>> {
        assert_eq!(request.connection, ConnectionPolicy::New);
        self.sent.fetch_add(1, Ordering::Relaxed);
        if !self.reachable.lock().unwrap().contains(&upstream.spec.address.port()) {
            return AttemptOutcome::NotRun(NotRunProof::ConnectFailed);
        }
        let response = Response::new(Full::default());
        AttemptOutcome::Answered(UpstreamResponse { response })
    }
}

fn snapshot() -> Arc<ConfigSnapshot> {
    let addresses: Vec<_> = (1..=UPSTREAMS).map(|port| ([127, 0, 0, 1], port).into()).collect();
    let shared = snapshot_for(&addresses, json!({}), BudgetSpec::default());
    let mut snapshot = (*shared.load_full().unwrap()).clone();
    for upstream in snapshot.upstreams.values_mut() {
        let mut spec = upstream.spec.clone();
        spec.health_path = Some("/health".into());
        *upstream = Arc::new(UpstreamState::new(&upstream.name, spec, Default::default()));
        let report = LoadReport { inflight: 0, work_percent: Some(100) };
        record_shared_report(upstream, report, Duration::ZERO, &Default::default());
    }
    Arc::new(snapshot)
}

/// A running check service.
struct PathFixture {
    client: ReachClient,
    entry: TestEntry,
    monitor: Arc<PathMonitor>,
    stop: CancellationToken,
}

impl PathFixture {
    fn start(seed: u64) -> Self {
        let entry = TestEntry::new("entry-1", &StandinPlatform::default());
        entry.state.snapshot.store(Some(snapshot()));
        let (client, monitor) = (ReachClient::default(), Arc::new(PathMonitor::default()));
        let stop = CancellationToken::new();
        let service = PathCheckService {
            client: client.clone(),
            state: Arc::clone(&entry.state),
            monitor: Arc::clone(&monitor),
            random: SeededRandom::new(seed),
        };
        tokio::spawn(service.run(stop.clone()));
        Self { client, entry, monitor, stop }
    }

    /// Raises a suspicion and lets the service check it.
    async fn suspect(&self) {
        for port in [1, 2] {
            let address = ([127, 0, 0, 1], port).into();
            self.monitor.record(address, PathTrial::Exchange, PathResult::Unreached);
        }
        sleep(NOTICE_TIME).await;
    }

    fn set_reachable(&self, ports: std::ops::RangeInclusive<u16>) {
        *self.client.reachable.lock().unwrap() = ports.collect();
    }

    /// Whether the other entries are told that this one has a path.
    fn tells_path(&self) -> bool {
        let view = self.entry.state.membership.load();
        view.find(&VmId::new("entry-1")).is_some_and(|entry| entry.has_path)
    }
}

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_while_there_is_no_doubt_of_the_path() {
    let fixture = PathFixture::start(1);
    sleep(Duration::from_secs(3600)).await;
    assert_eq!(fixture.client.sent.load(Ordering::Relaxed), 0);
    fixture.stop.cancel();
}

#[tokio::test(start_paused = true)]
async fn a_lost_path_is_told_to_the_others_and_so_is_its_return() {
    let fixture = PathFixture::start(2);
    fixture.suspect().await;
    assert!(fixture.monitor.is_cut() && !fixture.tells_path());
    fixture.set_reachable(1..=UPSTREAMS);
    sleep(NOTICE_TIME).await;
    assert!(!fixture.monitor.is_cut() && fixture.tells_path());
    let sent = fixture.client.sent.load(Ordering::Relaxed);
    sleep(Duration::from_secs(60)).await;
    assert_eq!(fixture.client.sent.load(Ordering::Relaxed), sent, "checks after the return");
    fixture.stop.cancel();
}

#[tokio::test(start_paused = true)]
async fn upstreams_that_have_crashed_do_not_make_a_path_seem_lost() {
    for seed in 0..20 {
        let fixture = PathFixture::start(seed);
        fixture.set_reachable(4..=UPSTREAMS);
        fixture.suspect().await;
        assert!(!fixture.monitor.is_cut(), "seed {seed}");
        fixture.stop.cancel();
    }
}

/// Guards against an entry that reaches an upstream or two and takes its path for restored with each
/// check that meets one of them.
#[tokio::test(start_paused = true)]
async fn a_lost_path_is_restored_by_half_of_the_upstreams_and_not_by_a_single_one() {
    for seed in 0..20 {
        let fixture = PathFixture::start(seed);
        fixture.suspect().await;
        assert!(fixture.monitor.is_cut(), "seed {seed}");
        fixture.set_reachable(1..=1);
        for _ in 0..20 {
            sleep(NOTICE_TIME / 4).await;
            assert!(fixture.monitor.is_cut(), "seed {seed}");
        }
        fixture.set_reachable(1..=UPSTREAMS / 2 + 1);
        sleep(4 * NOTICE_TIME).await;
        assert!(!fixture.monitor.is_cut(), "seed {seed}");
        fixture.stop.cancel();
    }
}

/// Guards against upstreams that stay ejected since the entry could not reach them, and against a path
/// that is back and excuses what upstreams did before.
#[tokio::test(start_paused = true)]
async fn ejections_of_a_lost_path_end_with_it_and_earlier_ones_stay() {
    let fixture = PathFixture::start(3);
    let snapshot = fixture.entry.state.snapshot.load_full().expect("a snapshot");
    let upstreams: Vec<_> = snapshot.upstreams.values().collect();
    let eject = |upstream: &UpstreamState| {
        let stats = upstream.stats();
        let now = stats.nanos_at(Instant::now());
        stats.last_failure_at.set(now);
        stats.ejected_until.set(now + EJECTION_TIME.as_nanos() as u64);
    };
    eject(upstreams[0]);
    sleep(NOTICE_TIME).await;
    fixture.suspect().await;
    eject(upstreams[1]);
    fixture.set_reachable(1..=UPSTREAMS);
    sleep(NOTICE_TIME).await;
    assert!(!fixture.monitor.is_cut());
    let ejected = |index: usize| upstreams[index].stats().is_ejected(Instant::now());
    assert_eq!((ejected(0), ejected(1)), (true, false));
    fixture.stop.cancel();
}

/// Guards against an entry without a path that offers its requests only to entries which have been removed
/// since it started.
#[tokio::test(start_paused = true)]
async fn an_entry_that_loses_its_path_asks_who_the_others_are() {
    let fixture = PathFixture::start(5);
    fixture.suspect().await;
    assert!(fixture.monitor.is_cut());
    let state = &fixture.entry.state;
    assert!(timeout(Duration::from_millis(1), state.rosters_requested()).await.is_ok());
}
