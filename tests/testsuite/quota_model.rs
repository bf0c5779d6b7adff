//! The sum of the permits of all entries, in any window, while the fleet fails.

use std::sync::Arc;
use std::time::Duration;

use heatherfall::util::SeededRandom;
use tokio::time::{Instant, sleep};

use crate::support::quota_fleet::{LinkRule, LinkState, QuotaFleet, tenant};

/// Number of faults of each run, one after the other.
const FAULTS: usize = 12;

/// Quotas, in requests per second and burst, each of which is sent ten times over.
const QUOTAS: [(f64, f64); 4] = [(60.0, 30.0), (10.0, 40.0), (2.0, 0.0), (0.2, 1.0)];

/// One fault at random; returns what it is.
fn begin_fault(fleet: &QuotaFleet, entries: usize, random: &mut SeededRandom) -> String {
    let entry = random.below(entries.min(9));
    let cut = 1 + random.below(entries - 1);
    match random.below(8) {
        0 => {
            fleet.set_link(Arc::new(move |from, to, _| cut_link(from == entry || to == entry)));
            format!("entry {entry} cut off")
        }
        1 => {
            fleet.set_link(Arc::new(move |from, _, _| cut_link(from == entry)));
            format!("entry {entry} only receives")
        }
        2 => {
            fleet.set_link(Arc::new(move |from, to, _| cut_link((from < cut) != (to < cut))));
            format!("entries below {cut} apart from the others")
        }
        3 => {
            fleet.set_link(Arc::new(move |from, to, _| cut_link(from % 2 != to % 2)));
            "odd entries apart from even ones".to_owned()
        }
        4 => {
            fleet.set_link(Arc::new(lossy_link));
            "messages lost and late".to_owned()
        }
        5 => {
            let time = Duration::from_millis(300 + random.below(6000) as u64);
            fleet.pause(entry, time);
            format!("entry {entry} paused for {time:?}")
        }
        6 => {
            fleet.kill(entry);
            fleet.restart(entry);
            format!("entry {entry} restarted at once")
        }
        _ => {
            for index in 0..entries.min(6) {
                fleet.kill(index);
            }
            "the first entries stopped".to_owned()
        }
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
        let fault = begin_fault(&fleet, entries, &mut random);
        faults.push(format!("{:?} {fault}", began.elapsed()));
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
