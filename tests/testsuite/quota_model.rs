//! The sum of the permits of all entries, in any window, while the fleet fails.

use std::sync::Arc;
use std::time::Duration;

use heatherfall::limits::tenant_quota::PermitRequest;
use heatherfall::util::SeededRandom;
use tokio::time::{Instant, sleep};

use crate::support::quota_fleet::{LinkRule, LinkState, QuotaFleet, tenant};

/// Number of faults of each run, one after the other.
const FAULTS: usize = 12;

/// Quotas, in requests per second and burst, each of which is sent ten times over.
const QUOTAS: [(f64, f64); 4] = [(60.0, 30.0), (10.0, 40.0), (2.0, 0.0), (0.2, 1.0)];

/// Begins a fault of one of eight kinds at `entry`, or between the entries below `cut` and the others.
fn begin_fault(fleet: &QuotaFleet, kind: usize, entry: usize, cut: usize, time: Duration) {
    match kind {
        0 => fleet.set_link(Arc::new(move |from, to, _| cut_link(from == entry || to == entry))),
        1 => fleet.set_link(Arc::new(move |from, _, _| cut_link(from == entry))),
        2 => fleet.set_link(Arc::new(move |from, to, _| cut_link((from < cut) != (to < cut)))),
        3 => fleet.set_link(Arc::new(|from, to, _| cut_link(from % 2 != to % 2))),
        4 => fleet.set_link(Arc::new(lossy_link)),
        5 => fleet.pause(entry, time),
        6 => fleet.restart(entry),
        _ => (0..=entry).for_each(|entry| fleet.kill(entry)),
    }
}

fn cut_link(is_cut: bool) -> LinkState {
    if is_cut { LinkState::Down } else { LinkState::Up }
}

fn lossy_link(_from: usize, _to: usize, random: &mut SeededRandom) -> LinkState {
    match random.below(10) {
        0 | 1 => LinkState::Down,
        2..=4 => LinkState::Late(Duration::from_millis(random.below(700) as u64)),
        _ => LinkState::Up,
    }
}

async fn run_faults(entries: usize, domains: usize, seed: u64) {
    let fleet = QuotaFleet::start(entries, domains, seed);
    let began = Instant::now();
    let mut random = SeededRandom::new(seed);
    for (index, (per_second, burst)) in QUOTAS.into_iter().enumerate() {
        fleet.add_tenant(
            tenant(index, per_second, burst),
            per_second * 10.0,
            (0..entries).collect(),
        );
    }
    sleep(Duration::from_millis(random.below(8000) as u64)).await;
    let mut faults = Vec::new();
    for _ in 0..FAULTS {
        let (kind, entry) = (random.below(8), random.below(entries.min(9)));
        let cut = 1 + random.below(entries - 1);
        let time = Duration::from_millis(300 + random.below(6000) as u64);
        begin_fault(&fleet, kind, entry, cut, time);
        faults.push((began.elapsed(), kind, entry, cut, time));
        sleep(Duration::from_millis(500 + random.below(6000) as u64)).await;
        let up: LinkRule = Arc::new(|_, _, _| LinkState::Up);
        fleet.set_link(up);
        fleet.restart_stopped();
        sleep(Duration::from_millis(random.below(4000) as u64)).await;
    }
    for index in 0..QUOTAS.len() {
        let most = fleet.most_in_a_window(index, began);
        let bound = fleet.bound(index);
        let (run, _) = fleet.counts(index, began);
        println!(
            "{entries} entries seed {seed} tenant {index}: most {most} bound {bound:.1} run {run}"
        );
        assert!(
            most as f64 <= bound,
            "tenant {index}, seed {seed}: {most} of {bound}: {faults:#?}"
        );
    }
}

/// Guards against permits beyond the quota while entries are apart, stopped, restarted or late, in
/// full meshes and in large failure domains.
#[tokio::test(start_paused = true)]
async fn no_window_contains_more_requests_than_the_quota_allows() {
    for (entries, domains, seed) in
        [(3, 1, 1), (4, 1, 2), (8, 2, 3), (9, 3, 4), (24, 2, 5), (40, 1, 6), (60, 3, 7), (60, 3, 8)]
    {
        run_faults(entries, domains, seed).await;
    }
}

/// Guards against a grantor that grants after a pause of its process, though another has replaced it.
#[tokio::test(start_paused = true)]
async fn a_grantor_that_was_paused_does_not_grant_at_once() {
    let fleet = QuotaFleet::start(6, 1, 9);
    let request = PermitRequest { id: 1, tenant: "tenant-0".to_owned() };
    let quota = tenant(0, 10.0, 10.0).quota;
    sleep(Duration::from_secs(10)).await;
    assert!(fleet.quota(0).answer(&request, quota).is_granted);
    fleet.pause(0, Duration::from_secs(3));
    sleep(Duration::from_millis(2950)).await;
    assert_eq!(fleet.grantors(), [0, 1, 2, 3], "the fourth has replaced the first");
    let answer = fleet.quota(0).answer(&request, quota);
    assert_eq!((answer.is_granted, answer.wait_ms), (false, None));
}
