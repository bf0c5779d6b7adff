//! Measures the at-most-once ledger: platform writes and bytes against the rate of claims, added
//! latency, memory for a key, and the time to read a log.
//!
//! Rates and latencies are taken on the paused clock over the platform stand-in and repeat
//! exactly; memory and reading times are the machine's.

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

/// Wall clock at the beginning, in Unix milliseconds.
const START_UNIX_MS: u64 = 1_800_000_000_000;
/// Time for which claims are offered.
const CLAIM_PERIOD: Duration = Duration::from_secs(20);
/// Time between the grant and the outcome.
const REQUEST_RUN_TIME: Duration = Duration::from_millis(5);
/// Bytes of the answers that are kept.
const RESPONSE_BODY_BYTES: usize = 200;
/// Successors that read a log before memory and times are counted.
const WARM_UP_SUCCESSORS: usize = 2;
/// Successors over which memory and times are averaged.
const MEASURED_SUCCESSORS: usize = 4;
/// Claims of a fill that are made at the same time.
const FILL_CONCURRENCY: usize = 2000;

/// One rate of claims.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct RatePoint {
    /// Claims a second.
    pub claims_per_second: u64,
    /// Share of the claims that were granted.
    pub granted: f64,
    /// Platform writes and deletes a second.
    pub writes_per_second: f64,
    /// Bytes written to the platform for each claim, its outcome included.
    pub bytes_per_claim: f64,
    /// Median time to a grant, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time to a grant, in milliseconds.
    pub p99_ms: f64,
}

/// One size of a log.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct ReplayPoint {
    /// Keys with an outcome.
    pub keys: usize,
    /// Segment objects.
    pub segments: usize,
    /// Archive objects.
    pub archives: usize,
    /// Mean time until a successor has read all partitions, in milliseconds.
    pub replay_ms: f64,
    /// Growth of the process's memory by that, in bytes for each key.
    pub bytes_per_key: f64,
}

/// All points.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct LedgerBenchReport {
    /// Time that the stand-in takes for a call, in milliseconds.
    pub platform_ms: u64,
    /// Against the rate.
    pub rates: Vec<RatePoint>,
    /// Against the size.
    pub replays: Vec<ReplayPoint>,
}

type BenchLedger = NodeLedger<StandinPlatform, NoTransport>;

/// Measures all points with a platform that takes `platform_delay` for a call.
pub async fn run(platform_delay: Duration) -> LedgerBenchReport {
    tokio::time::pause();
    let mut report = LedgerBenchReport {
        platform_ms: platform_delay.as_millis() as u64,
        rates: Vec::new(),
        replays: Vec::new(),
    };
    for rate in [5, 20, 100, 500, 1100] {
        report.rates.push(rate_point(rate, platform_delay).await);
    }
    for keys in [10_000, 40_000, 160_000] {
        report.replays.push(replay_point(keys).await);
    }
    report
}

async fn rate_point(rate: u64, platform_delay: Duration) -> RatePoint {
    let platform = StandinPlatform::default();
    let ledger = start(&platform, LedgerSettings::default());
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
    let mut times: Vec<Duration> = tasks.join_all().await.into_iter().flatten().collect();
    let after = platform.counts();
    times.sort_unstable();
    RatePoint {
        claims_per_second: rate,
        granted: times.len() as f64 / claims as f64,
        writes_per_second: (after.writes - before.writes) as f64 / CLAIM_PERIOD.as_secs_f64(),
        bytes_per_claim: (after.bytes_written - before.bytes_written) as f64 / claims as f64,
        p50_ms: quantile_ms(&times, 0.5),
        p99_ms: quantile_ms(&times, 0.99),
    }
}

async fn replay_point(keys: usize) -> ReplayPoint {
    let platform = StandinPlatform::default();
    let settings = LedgerSettings { writes_per_second: 1e6, ..LedgerSettings::default() };
    let ledger = start(&platform, settings.clone());
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
    let kept = ledger.counters().keys.load(Ordering::Relaxed);
    // The first successors use memory that the fill has freed.
    let mut successors = Vec::new();
    let (mut memory, mut replay_ms) = (0, 0.0);
    for round in 0..WARM_UP_SUCCESSORS + MEASURED_SUCCESSORS {
        if round == WARM_UP_SUCCESSORS {
            (memory, replay_ms) = (resident_bytes(), 0.0);
        }
        let started = std::time::Instant::now();
        successors.push(read_all(&platform, &settings, kept).await);
        replay_ms += started.elapsed().as_secs_f64() * 1e3;
    }
    let grown = resident_bytes().saturating_sub(memory);
    ReplayPoint {
        keys: kept,
        replay_ms: replay_ms / MEASURED_SUCCESSORS as f64,
        bytes_per_key: grown as f64 / (kept.max(1) * MEASURED_SUCCESSORS) as f64,
        segments: count_of(&platform, SEGMENT_KIND).await,
        archives: count_of(&platform, ARCHIVE_KIND).await,
    }
}

/// A ledger that has read the logs of all partitions.
async fn read_all(
    platform: &StandinPlatform,
    settings: &LedgerSettings,
    keys: usize,
) -> BenchLedger {
    let successor = start(platform, settings.clone());
    successor.prepare().await;
    while successor.counters().keys.load(Ordering::Relaxed) < keys {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    successor
}

/// Returns the time to the grant, if there was one.
async fn claim_and_finish(ledger: &BenchLedger, key: &str) -> Option<Duration> {
    let started = Instant::now();
    let intent = ClaimIntent {
        tenant: TenantId::new("cau-noi"),
        key: key.to_owned(),
        digest: [7; 32],
        generation: GenerationNumber(1),
        deadline: started + Duration::from_secs(10),
    };
    let ClaimDecision::Granted(ticket) = ledger.claim(intent).await else { return None };
    let taken = started.elapsed();
    tokio::time::sleep(REQUEST_RUN_TIME).await;
    let outcome = StoredResponse {
        status: 201,
        content_type: "application/json".to_owned(),
        body: Bytes::from_static(&[b'x'; RESPONSE_BODY_BYTES]),
        is_body_dropped: false,
    };
    ledger.finish(ticket, ClaimOutcome::Ran(outcome)).await;
    Some(taken)
}

/// The ledger of a node that owns every partition.
fn start(platform: &StandinPlatform, settings: LedgerSettings) -> BenchLedger {
    let vm = VmId::new("entry-1");
    let address = std::net::SocketAddr::from(([127, 0, 0, 1], 1));
    let entry = EntryRecord {
        vm: vm.clone(),
        failure_domain: FailureDomain::new("fd-a"),
        caller_address: address,
        peer_address: address,
        state: EntryState::Ready,
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

async fn count_of(platform: &StandinPlatform, kind: &str) -> usize {
    platform.list(kind, "").await.map_or(0, |list| list.items.len())
}

fn quantile_ms(sorted: &[Duration], quantile: f64) -> f64 {
    let index = ((sorted.len() as f64 * quantile) as usize).min(sorted.len().saturating_sub(1));
    sorted.get(index).map_or(0.0, |time| time.as_secs_f64() * 1e3)
}

/// Memory of the process that is in RAM; 0 where the system does not tell.
fn resident_bytes() -> usize {
    let text = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.split_whitespace().next()?.parse::<usize>().ok());
    kilobytes.unwrap_or(0) * 1024
}
