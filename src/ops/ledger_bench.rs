//! Benchmark of the at-most-once ledger: platform writes, bytes and added latency by rate of
//! claims, and replay time and memory per key by size of the log.
//!
//! Rates and latencies are measured over the platform stand-in on Tokio's paused clock and are
//! reproducible; memory and replay times depend on the machine.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use heatherfall_standins::platform::{FaultSettings, StandinPlatform};
use serde::Serialize;
use tokio::task::JoinSet;
use tokio::time::Instant;

use crate::core::{FailureDomain, GenerationNumber, TenantId, VmId};
use crate::ledger::{
    ARCHIVE_KIND, ClaimDecision, ClaimIntent, ClaimLedger, ClaimOutcome, EntryIdentity,
    LedgerParts, LedgerSettings, NoTransport, NodeLedger, SEGMENT_KIND, StoredResponse, WallClock,
};
use crate::membership::{EntryRecord, EntryState, MembershipView, SharedMembership};
use crate::platform::PlatformStore;
use crate::util::SeededRandom;

/// Start of the ledger's wall clock in Unix milliseconds; also the time in the idempotency keys.
const START_UNIX_MS: u64 = 1_800_000_000_000;
/// Time over which the claims of a rate are spread.
const CLAIM_PERIOD: Duration = Duration::from_secs(20);
/// Time between the grant and the outcome of a claim, as if the request ran.
const REQUEST_RUN_TIME: Duration = Duration::from_millis(5);
/// Body size of the stored responses.
const RESPONSE_BODY_BYTES: usize = 200;
/// Successors that replay the log before memory and times are measured. They reuse memory that the
/// fill has freed, so their growth would come out too small.
const WARM_UP_SUCCESSORS: usize = 2;
/// Successors over which memory and replay time are averaged.
const MEASURED_SUCCESSORS: usize = 4;
/// Concurrent claims while the log is filled.
const FILL_CONCURRENCY: usize = 2000;

/// Costs at one rate of claims.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RatePoint {
    /// Claims per second.
    pub claims_per_second: u64,
    /// Share of the claims that were granted.
    pub granted: f64,
    /// Platform writes and deletes per second.
    pub writes_per_second: f64,
    /// Bytes written to the platform per claim, including its outcome.
    pub bytes_per_claim: f64,
    /// Median time to a grant, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time to a grant, in milliseconds.
    pub p99_ms: f64,
}

/// Replay of a log of one size.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ReplayPoint {
    /// Keys in the log, each with an outcome.
    pub keys: usize,
    /// Segment objects of the log.
    pub segments: usize,
    /// Archive objects of the log.
    pub archives: usize,
    /// Mean time until a successor has replayed all partitions, in milliseconds.
    pub replay_ms: f64,
    /// Growth of the process's resident memory per successor and key, in bytes.
    pub bytes_per_key: f64,
}

/// Result of the benchmark.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LedgerBenchReport {
    /// Delay of each call to the platform stand-in while rates are measured, in milliseconds.
    pub platform_ms: u64,
    /// Series by rate of claims.
    pub rates: Vec<RatePoint>,
    /// Series by number of keys.
    pub replays: Vec<ReplayPoint>,
}

type BenchLedger = NodeLedger<StandinPlatform, NoTransport>;

/// Measures both series; while rates are measured, each platform call takes `platform_delay`.
///
/// # Panics
///
/// Panics unless it runs on a current-thread runtime whose clock is not paused yet.
pub async fn run(platform_delay: Duration) -> LedgerBenchReport {
    tokio::time::pause();
    let mut report = LedgerBenchReport {
        platform_ms: platform_delay.as_millis() as u64,
        rates: Vec::new(),
        replays: Vec::new(),
    };
    for rate in [5, 20, 100, 500, 1100] {
        report.rates.push(measure_rate(rate, platform_delay).await);
    }
    for keys in [10_000, 40_000, 160_000] {
        report.replays.push(measure_replay(keys).await);
    }
    report
}

async fn measure_rate(rate: u64, platform_delay: Duration) -> RatePoint {
    let platform = StandinPlatform::default();
    let ledger = start_ledger(&platform, LedgerSettings::default());
    ledger.prepare().await;
    tokio::time::sleep(Duration::from_secs(1)).await;
    platform.set_faults(FaultSettings { delay: platform_delay, ..FaultSettings::default() });
    let before = platform.counts();
    let claims = rate * CLAIM_PERIOD.as_secs();
    let mut tasks = JoinSet::new();
    for index in 0..claims {
        let ledger = ledger.clone();
        let due = Duration::from_nanos(1_000_000_000 / rate * index);
        tasks.spawn(async move {
            tokio::time::sleep(due).await;
            claim_and_finish(&ledger, &format!("{START_UNIX_MS}-{index}")).await
        });
    }
    let mut latencies: Vec<Duration> = tasks.join_all().await.into_iter().flatten().collect();
    let after = platform.counts();
    latencies.sort_unstable();
    RatePoint {
        claims_per_second: rate,
        granted: latencies.len() as f64 / claims as f64,
        writes_per_second: (after.writes - before.writes) as f64 / CLAIM_PERIOD.as_secs_f64(),
        bytes_per_claim: (after.bytes_written - before.bytes_written) as f64 / claims as f64,
        p50_ms: quantile_ms(&latencies, 0.5),
        p99_ms: quantile_ms(&latencies, 0.99),
    }
}

async fn measure_replay(keys: usize) -> ReplayPoint {
    let platform = StandinPlatform::default();
    let settings = LedgerSettings { writes_per_second: 1e6, ..LedgerSettings::default() };
    let ledger = start_ledger(&platform, settings.clone());
    for first in (0..keys).step_by(FILL_CONCURRENCY) {
        let mut tasks = JoinSet::new();
        for index in first..(first + FILL_CONCURRENCY).min(keys) {
            let ledger = ledger.clone();
            tasks.spawn(async move {
                claim_and_finish(&ledger, &format!("{START_UNIX_MS}-{index}")).await
            });
        }
        tasks.join_all().await;
    }
    let key_count = ledger.counters().keys.load(Ordering::Relaxed);
    let mut successors = Vec::new();
    let (mut resident_before, mut replay_ms) = (0, 0.0);
    for round in 0..WARM_UP_SUCCESSORS + MEASURED_SUCCESSORS {
        if round == WARM_UP_SUCCESSORS {
            (resident_before, replay_ms) = (resident_bytes(), 0.0);
        }
        let started = std::time::Instant::now();
        successors.push(replay_log(&platform, &settings, key_count).await);
        replay_ms += started.elapsed().as_secs_f64() * 1e3;
    }
    let growth = resident_bytes().saturating_sub(resident_before);
    ReplayPoint {
        keys: key_count,
        replay_ms: replay_ms / MEASURED_SUCCESSORS as f64,
        bytes_per_key: growth as f64 / (key_count.max(1) * MEASURED_SUCCESSORS) as f64,
        segments: count_objects(&platform, SEGMENT_KIND).await,
        archives: count_objects(&platform, ARCHIVE_KIND).await,
    }
}

/// Starts a ledger and waits until it has replayed the log of every partition, `keys` keys in all.
async fn replay_log(
    platform: &StandinPlatform,
    settings: &LedgerSettings,
    keys: usize,
) -> BenchLedger {
    let successor = start_ledger(platform, settings.clone());
    successor.prepare().await;
    while successor.counters().keys.load(Ordering::Relaxed) < keys {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    successor
}

/// Claims a key and, if the claim is granted, finishes it; returns the time to the grant.
async fn claim_and_finish(ledger: &BenchLedger, key: &str) -> Option<Duration> {
    let started = Instant::now();
    let intent = ClaimIntent {
        tenant: TenantId::new("cau-noi"),
        key: key.to_owned(),
        digest: [7; 32],
        generation: GenerationNumber(1),
        deadline: started + Duration::from_secs(10),
    };
    let ClaimDecision::Granted(grant) = ledger.claim(intent).await else { return None };
    let latency = started.elapsed();
    tokio::time::sleep(REQUEST_RUN_TIME).await;
    let response = StoredResponse {
        status: 201,
        content_type: "application/json".to_owned(),
        body: Bytes::from_static(&[b'x'; RESPONSE_BODY_BYTES]),
        is_body_dropped: false,
    };
    ledger.finish(grant, ClaimOutcome::Ran(response)).await;
    Some(latency)
}

/// Starts the ledger of a node that owns every partition, as the only entry of its deployment.
fn start_ledger(platform: &StandinPlatform, settings: LedgerSettings) -> BenchLedger {
    let vm = VmId::new("entry-1");
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let entry = EntryRecord {
        vm: vm.clone(),
        failure_domain: FailureDomain::new("fd-a"),
        caller_address: address,
        peer_address: address,
        state: EntryState::Ready,
        has_path: true,
    };
    let membership = SharedMembership::default();
    membership.store(Arc::new(MembershipView { entries: vec![entry] }));
    NodeLedger::new(LedgerParts {
        store: Arc::new(platform.clone()),
        transport: NoTransport,
        membership,
        identity: EntryIdentity { vm, incarnation: 1 },
        clock: WallClock::starting_at(START_UNIX_MS),
        random: SeededRandom::new(1),
        settings,
    })
}

async fn count_objects(platform: &StandinPlatform, kind: &str) -> usize {
    platform.list(kind, "").await.map_or(0, |list| list.items.len())
}

fn quantile_ms(sorted: &[Duration], quantile: f64) -> f64 {
    let index = ((sorted.len() as f64 * quantile) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(index).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}

/// Resident memory of the process in bytes; 0 where there is no `/proc`.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.unwrap_or(0) * 1024
}
