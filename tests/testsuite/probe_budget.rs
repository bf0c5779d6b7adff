//! The probe budget: leases on its shares, the probes they allow, and the choice of upstreams.

use std::sync::Arc;
use std::time::Duration;

use heatherfall::balance::{
    AttemptReport, AttemptResult, LeasedProbeBudget, ObserveSettings, PROBE_SHARE_COUNT,
    ProbeSettings, SHARE_LEASE_DURATION, SHARE_RENEWAL_INTERVAL, SHARE_TAKEOVER_DELAY,
    ShareLeaseManager, next_probe, record_probe_result, record_probe_sent,
};
use heatherfall::core::{ConfigSnapshot, LabelSet, UpstreamSpec, UpstreamState};
use heatherfall::util::SeededRandom;
use heatherfall_standins::platform::{FaultSettings, StandinPlatform};
use serde_json::json;
use tokio::time::{Instant, advance};

const BUDGET_PER_SECOND: f64 = 50.0;
const ALL_SHARES: usize = PROBE_SHARE_COUNT as usize;

struct ProbingEntry {
    leases: ShareLeaseManager,
    budget: LeasedProbeBudget,
    target_shares: usize,
    next_renewal: Instant,
}

impl ProbingEntry {
    fn new(index: usize, random: &mut SeededRandom) -> Self {
        Self {
            leases: ShareLeaseManager::new(&format!("vm-{index}"), random),
            budget: LeasedProbeBudget::default(),
            target_shares: 1 + random.below(ALL_SHARES),
            next_renewal: Instant::now(),
        }
    }

    fn spend(&self) -> u64 {
        let mut spent = 0;
        while self.budget.try_take(BUDGET_PER_SECOND) {
            spent += 1;
        }
        spent
    }
}

/// Runs entries that restart, pause and disagree about their number of shares, on a store that
/// loses responses to writes and serves stale reads. Returns the probes sent per 100 ms.
async fn run_churn(seed: u64) -> Vec<u64> {
    let mut random = SeededRandom::new(seed);
    let store = StandinPlatform::default();
    let mut entries = Vec::new();
    for index in 0..19 {
        entries.push(ProbingEntry::new(index, &mut random));
    }
    let mut sent = Vec::new();
    for tick in 0..3000_u64 {
        if tick % 300 == 0 {
            let lose_write_answers = random.below(12) as u32;
            let stale_revisions = random.below(20) as u64;
            store.set_faults(FaultSettings {
                lose_write_answers,
                stale_revisions,
                ..FaultSettings::default()
            });
        }
        let index = random.below(entries.len());
        match random.below(200) {
            // The process is killed and restarted on the same VM.
            0 => entries[index] = ProbingEntry::new(index, &mut random),
            // Renewal pauses while probing goes on.
            1 => entries[index].next_renewal += Duration::from_secs(random.below(90) as u64),
            2 => entries[index].target_shares = random.below(ALL_SHARES + 1),
            _ => {}
        }
        let mut spent = 0;
        for entry in &mut entries {
            if Instant::now() >= entry.next_renewal {
                let _ =
                    entry.leases.renew_and_claim(&store, &entry.budget, entry.target_shares).await;
                entry.next_renewal = Instant::now() + SHARE_RENEWAL_INTERVAL;
            }
            spent += entry.spend();
        }
        sent.push(spent);
        advance(Duration::from_millis(100)).await;
    }
    sent
}

#[tokio::test(start_paused = true)]
async fn all_entries_together_stay_within_the_budget_under_churn() {
    for seed in 0..20 {
        let sent = run_churn(seed).await;
        for seconds in [1, 10, 60, 300] {
            let allowed = BUDGET_PER_SECOND * seconds as f64 + f64::from(PROBE_SHARE_COUNT);
            for window in sent.windows(seconds * 10) {
                let total: u64 = window.iter().sum();
                assert!(total as f64 <= allowed, "seed {seed}: {total} in {seconds} s");
            }
        }
        let total: u64 = sent.iter().sum();
        assert!(
            total as f64 > 0.2 * BUDGET_PER_SECOND * 300.0,
            "seed {seed}: only {total} probes in total"
        );
    }
}

#[tokio::test(start_paused = true)]
async fn a_share_is_taken_over_only_after_its_lease_has_expired() {
    let store = StandinPlatform::default();
    let mut random = SeededRandom::new(1);
    let (mut first, mut second) =
        (ProbingEntry::new(0, &mut random), ProbingEntry::new(1, &mut random));
    first.leases.renew_and_claim(&store, &first.budget, ALL_SHARES).await.unwrap();
    assert_eq!(first.budget.held_shares(), ALL_SHARES);
    second.leases.renew_and_claim(&store, &second.budget, ALL_SHARES).await.unwrap();
    advance(SHARE_LEASE_DURATION - Duration::from_millis(1)).await;
    assert_eq!(first.budget.held_shares(), ALL_SHARES);
    second.leases.renew_and_claim(&store, &second.budget, ALL_SHARES).await.unwrap();
    assert_eq!(second.budget.held_shares(), 0);
    advance(SHARE_TAKEOVER_DELAY - SHARE_LEASE_DURATION + Duration::from_millis(1)).await;
    assert_eq!(first.budget.held_shares(), 0);
    second.leases.renew_and_claim(&store, &second.budget, ALL_SHARES).await.unwrap();
    assert_eq!(second.budget.held_shares(), ALL_SHARES);
    first.leases.renew_and_claim(&store, &first.budget, ALL_SHARES).await.unwrap();
    assert_eq!(first.budget.held_shares(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_released_share_is_free_at_once() {
    let store = StandinPlatform::default();
    let mut random = SeededRandom::new(1);
    let (mut first, mut second) =
        (ProbingEntry::new(0, &mut random), ProbingEntry::new(1, &mut random));
    first.leases.renew_and_claim(&store, &first.budget, ALL_SHARES).await.unwrap();
    first.leases.release_all(&store, &first.budget).await;
    assert_eq!(first.budget.held_shares(), 0);
    second.leases.renew_and_claim(&store, &second.budget, ALL_SHARES).await.unwrap();
    assert_eq!(second.budget.held_shares(), ALL_SHARES);
}

#[tokio::test(start_paused = true)]
async fn probing_stops_while_the_platform_is_unavailable() {
    let store = StandinPlatform::default();
    let mut entry = ProbingEntry::new(0, &mut SeededRandom::new(1));
    entry.leases.renew_and_claim(&store, &entry.budget, ALL_SHARES).await.unwrap();
    store.set_faults(FaultSettings { down: true, ..store.faults() });
    for _ in 0..4 {
        advance(SHARE_RENEWAL_INTERVAL).await;
        assert!(entry.leases.renew_and_claim(&store, &entry.budget, ALL_SHARES).await.is_err());
    }
    assert_eq!(entry.budget.held_shares(), 0);
    assert_eq!(entry.spend(), 0);
}

fn snapshot_of(count: usize) -> ConfigSnapshot {
    let mut snapshot = ConfigSnapshot::default();
    for index in 0..count {
        let spec = json!({ "address": "127.0.0.1:1", "failure_domain": "a" });
        let spec: UpstreamSpec = serde_json::from_value(spec).unwrap();
        let state = UpstreamState::new(&format!("u{index}"), spec, LabelSet::default());
        snapshot.upstreams.insert(Arc::new(state));
    }
    snapshot
}

fn probe_response(is_draining: bool) -> AttemptReport {
    AttemptReport {
        latency: Duration::from_millis(1),
        result: AttemptResult::Answered,
        load: None,
        is_draining,
    }
}

#[tokio::test(start_paused = true)]
async fn only_upstreams_without_a_recent_response_are_probed_and_each_once() {
    let snapshot = snapshot_of(3);
    let settings = ProbeSettings::default();
    assert_eq!(next_probe(&snapshot, &settings), None);
    advance(settings.max_response_age).await;
    let responding = snapshot.upstreams.keys().next().unwrap();
    record_probe_result(
        &snapshot.upstreams[responding],
        probe_response(false),
        &ObserveSettings::default(),
    );
    let mut probed = Vec::new();
    while let Some(key) = next_probe(&snapshot, &settings) {
        record_probe_sent(&snapshot.upstreams[key]);
        probed.push(key);
    }
    assert_eq!(probed.len(), 2);
    assert!(!probed.contains(&responding));
}

#[tokio::test(start_paused = true)]
async fn a_probe_records_the_drain_signal_and_its_end() {
    let snapshot = snapshot_of(1);
    let upstream = snapshot.upstreams.values().next().unwrap();
    record_probe_result(upstream, probe_response(true), &ObserveSettings::default());
    assert!(upstream.is_draining());
    advance(Duration::from_secs(3)).await;
    record_probe_result(upstream, probe_response(false), &ObserveSettings::default());
    assert!(!upstream.is_draining());
}
