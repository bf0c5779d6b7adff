//! Quotas of tenants under the loads of the target deployments.

use std::time::Duration;

use tokio::time::{Instant, sleep};

use crate::support::quota_fleet::{QuotaFleet, tenant};

/// Time from the start of the entries from which refusals count.
const SETTLING_TIME: Duration = Duration::from_secs(10);
/// Time for which refusals are counted.
const MEASURED_TIME: Duration = Duration::from_secs(20);
/// Requests per second of all tenants together, in the build farm.
const TOTAL_RATE: f64 = 409.0;
/// Largest share of a tenant's requests that may be refused while its demand is below its quota.
const MAX_REFUSED_SHARE: f64 = 0.01;

/// Usual rates of tenants, proportional to rank^-1.2.
fn rates(count: usize) -> Vec<f64> {
    let weight = |rank: usize| (rank as f64).powf(-1.2);
    let total: f64 = (1..=count).map(weight).sum();
    (1..=count).map(|rank| TOTAL_RATE * weight(rank) / total).collect()
}

/// Load of `count` tenants with quotas of `quota_ratio` times their usual rates and `burst_seconds`
/// of these at once. Tenant `noisy` sends 7.5 times its usual rate.
async fn run_load(
    fleet: &QuotaFleet,
    entries: usize,
    count: usize,
    quota_ratio: f64,
    burst_seconds: f64,
    noisy: Option<usize>,
) -> Instant {
    for (index, rate) in rates(count).into_iter().enumerate() {
        let quota = rate * quota_ratio;
        let factor = if noisy == Some(index) { 7.5 } else { 1.0 };
        let record = tenant(index, quota, quota * burst_seconds);
        fleet.add_tenant(record, rate * factor, (0..entries).collect());
    }
    sleep(SETTLING_TIME).await;
    let from = Instant::now();
    sleep(MEASURED_TIME).await;
    from
}

fn check_load(fleet: &QuotaFleet, count: usize, noisy: Option<usize>, from: Instant) {
    let (mut all_run, mut all_refused, mut worst) = (0, 0, 0.0_f64);
    for index in 0..count {
        let most = fleet.most_in_a_window(index, from - SETTLING_TIME);
        let bound = fleet.bound(index);
        assert!(most as f64 <= bound, "tenant {index}: {most} in a window, bound {bound}");
        if noisy == Some(index) {
            println!("noisy tenant {index}: most {most} bound {bound} {:?}", fleet.counts(index, from));
            continue;
        }
        let (run, refused) = fleet.counts(index, from);
        (all_run, all_refused) = (all_run + run, all_refused + refused);
        let share = refused as f64 / (run + refused).max(1) as f64;
        worst = worst.max(share);
        assert!(share <= MAX_REFUSED_SHARE, "tenant {index}: {refused} refused, {run} run");
    }
    println!("run {all_run} refused {all_refused} worst share {worst:.4}");
}

/// Guards against refusals of tenants below their quota beside one far above it, which is held to its
/// own.
#[tokio::test(start_paused = true)]
async fn a_noisy_tenant_is_limited_and_the_others_are_not_refused() {
    for noisy in [0, 20] {
        let fleet = QuotaFleet::start(135, 3, 41 + noisy as u64);
        let from = run_load(&fleet, 135, 85, 1.5, 1.0, Some(noisy)).await;
        check_load(&fleet, 85, Some(noisy), from);
        assert_eq!(fleet.grantors(), [0, 1, 2, 3, 4, 5, 6, 7, 8]);
        println!("traffic {:?}", fleet.traffic());
        let (run, refused) = fleet.counts(noisy, from);
        assert!(refused > 0, "the noisy tenant sends more than its quota");
        let quota = rates(85)[noisy] * 1.5 * MEASURED_TIME.as_secs_f64();
        assert!(run as f64 >= 0.9 * quota, "{run} of a quota of {quota}");
    }
}
