//! Quotas of tenants under the loads of the target deployments.

use std::time::Duration;

use heatherfall::core::TenantRecord;
use heatherfall::limits::tenant_quota::PERMIT_LIFETIME;
use tokio::time::{Instant, sleep};

use crate::support::quota_fleet::{ALLOWANCE, QuotaFleet, tenant};

/// Time from the start of the entries from which refusals count.
const SETTLING_TIME: Duration = Duration::from_secs(10);
/// Time for which refusals are counted.
const MEASURED_TIME: Duration = Duration::from_secs(20);
/// Requests per second of all tenants together, in the build farm.
const TOTAL_RATE: f64 = 409.0;
/// Largest share of a tenant's requests that may be refused while its demand is below its quota.
const MAX_REFUSED_SHARE: f64 = 0.01;

/// Most permit requests for one request: to three grantors of its domain, and four of others.
const MAX_ASKED: f64 = 7.0;
/// Most state of an entry: 1% of the memory of the smallest VM, 112 MB.
const MAX_STATE_BYTES: usize = 1_120_000;

/// Usual rates of tenants, proportional to rank^-1.2.
fn rates(count: usize) -> Vec<f64> {
    let weight = |rank: usize| (rank as f64).powf(-1.2);
    let total: f64 = (1..=count).map(weight).sum();
    (1..=count).map(|rank| TOTAL_RATE * weight(rank) / total).collect()
}

/// Load of `count` tenants with quotas of `quota_ratio` times their usual rates and `burst_seconds`
/// of these at once. Tenant `noisy` sends 7.5 times its usual rate.
fn add_load(
    fleet: &QuotaFleet,
    entries: usize,
    count: usize,
    quota_ratio: f64,
    burst_seconds: f64,
    noisy: Option<usize>,
) {
    for (index, rate) in rates(count).into_iter().enumerate() {
        let quota = rate * quota_ratio;
        let factor = if noisy == Some(index) { 7.5 } else { 1.0 };
        let record = tenant(index, quota, quota * burst_seconds);
        fleet.add_tenant(record, rate * factor, (0..entries).collect());
    }
}

/// Waits until refusals count and for as long as they do; returns the time in between.
async fn measure() -> Instant {
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
            println!(
                "noisy tenant {index}: most {most} bound {bound} {:?}",
                fleet.counts(index, from)
            );
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
        add_load(&fleet, 135, 85, 1.5, 1.0, Some(noisy));
        let from = measure().await;
        check_load(&fleet, 85, Some(noisy), from);
        assert_eq!(fleet.grantors(), [0, 1, 2, 3, 4, 5, 6, 7, 8]);
        let (run, refused) = fleet.counts(noisy, from);
        assert!(refused > 0, "the noisy tenant sends more than its quota");
        let quota = rates(85)[noisy] * 1.5 * MEASURED_TIME.as_secs_f64();
        assert!(run as f64 >= 0.9 * quota, "{run} of a quota of {quota}");
    }
}

/// Guards against shares that add up to less than the quota: all tenants send 0.95 of it, without a
/// burst. With random arrivals a fifth of the windows are above such a quota, so a refusal counts if
/// the window before it is not.
#[tokio::test(start_paused = true)]
async fn tenants_just_below_their_quota_are_not_refused() {
    let fleet = QuotaFleet::start(135, 3, 43);
    add_load(&fleet, 135, 85, 1.0 / 0.95, 0.0, None);
    let from = measure().await;
    for index in 0..85 {
        let most = fleet.most_in_a_window(index, from - SETTLING_TIME);
        assert!(most as f64 <= fleet.bound(index), "tenant {index}: {most} in a window");
        let (run, all_refused) = fleet.counts(index, from);
        let refused = fleet.refused_below_quota(index, from);
        if all_refused > 0 {
            println!("tenant {index}: run {run}, refused {all_refused}, {refused} below its quota");
        }
        let share = refused as f64 / (run + all_refused).max(1) as f64;
        assert!(share <= MAX_REFUSED_SHARE, "tenant {index}: {refused} refused, {run} run");
    }
}

/// Guards against shares that entries of a small deployment cannot use: a single entry, one in each
/// failure domain, a few, a full mesh and one beyond it.
#[tokio::test(start_paused = true)]
async fn small_deployments_use_the_whole_quota() {
    for (entries, domains) in [(1, 1), (2, 1), (3, 3), (4, 2), (12, 1), (13, 1)] {
        let fleet = QuotaFleet::start(entries, domains, 44);
        for (index, rate) in [40.0, 8.0, 1.0].into_iter().enumerate() {
            fleet.add_tenant(tenant(index, rate * 1.25, rate), rate, (0..entries).collect());
        }
        fleet.add_tenant(tenant(3, 20.0, 10.0), 200.0, (0..entries).collect());
        sleep(SETTLING_TIME).await;
        let from = Instant::now();
        sleep(MEASURED_TIME).await;
        println!("{entries} entries, {domains} domains");
        check_load(&fleet, 4, Some(3), from);
        let (run, _) = fleet.counts(3, from);
        let quota = 20.0 * MEASURED_TIME.as_secs_f64();
        assert!(run as f64 >= 0.9 * quota, "{run} of a quota of {quota}");
    }
}

/// Guards against grantors that serve the former rate after a change, or that cut the tenant off.
#[tokio::test(start_paused = true)]
async fn a_changed_rate_is_in_force_after_a_window() {
    let fleet = QuotaFleet::start(45, 3, 45);
    fleet.add_tenant(tenant(0, 200.0, 50.0), 150.0, (0..45).collect());
    sleep(SETTLING_TIME).await;
    fleet.set_quota(0, 10.0, 5.0);
    sleep(ALLOWANCE.window).await;
    let lowered_at = Instant::now();
    sleep(MEASURED_TIME).await;
    let (run, refused) = fleet.counts(0, lowered_at);
    let most = fleet.most_in_a_window(0, lowered_at);
    println!("lowered: run {run} refused {refused} most {most} bound {}", fleet.bound(0));
    assert!(most as f64 <= fleet.bound(0), "{most} in a window");
    assert!(run as f64 >= 0.9 * 10.0 * MEASURED_TIME.as_secs_f64(), "{run} run");
    fleet.set_quota(0, 200.0, 50.0);
    sleep(ALLOWANCE.window).await;
    let raised_at = Instant::now();
    sleep(MEASURED_TIME).await;
    let (run, refused) = fleet.counts(0, raised_at);
    println!("raised: run {run} refused {refused}");
    let share = refused as f64 / (run + refused) as f64;
    assert!(share <= MAX_REFUSED_SHARE, "{refused} refused, {run} run");
}

/// Guards against shares that stay unused when the callers of a tenant are all in one failure domain.
#[tokio::test(start_paused = true)]
async fn shares_follow_demand_in_one_failure_domain() {
    let fleet = QuotaFleet::start(45, 3, 46);
    let local: Vec<usize> = (0..45).step_by(3).collect();
    for (index, rate) in [60.0, 5.0, 0.7].into_iter().enumerate() {
        fleet.add_tenant(tenant(index, rate * 1.25, rate), rate, local.clone());
    }
    sleep(SETTLING_TIME).await;
    let from = Instant::now();
    sleep(MEASURED_TIME).await;
    check_load(&fleet, 3, None, from);
}

/// Measures messages and memory of the target sizes. Guards against state or messages that grow with
/// the number of tenants instead of the number of requests.
#[tokio::test(start_paused = true)]
async fn messages_and_state_follow_the_requests() {
    for (entries, tenants) in [(135, 85), (135, 1000), (300, 85), (300, 1000)] {
        let fleet = QuotaFleet::start(entries, 3, 47);
        add_load(&fleet, entries, tenants, 1.5, 1.0, Some(0));
        sleep(SETTLING_TIME / 2).await;
        let (from, asked_before) = (Instant::now(), fleet.asked());
        sleep(ALLOWANCE.window).await;
        let (mut run, mut refused) = (0, 0);
        for index in 0..tenants {
            let counts = fleet.counts(index, from);
            (run, refused) = (run + counts.0, refused + counts.1);
        }
        let asked = fleet.asked() - asked_before;
        let per_request = asked as f64 / (run + refused) as f64;
        let bytes = fleet.state_bytes();
        println!(
            "{entries} entries, {tenants} tenants: {:.0} permit requests a second for {run} run and \
             {refused} refused in 5 s ({per_request:.2} each), most state {bytes} bytes",
            asked as f64 / ALLOWANCE.window.as_secs_f64(),
        );
        assert!(per_request <= MAX_ASKED, "{per_request} permit requests for each request");
        assert!(bytes <= MAX_STATE_BYTES, "{bytes} bytes");
    }
}

/// Guards against permits of requests that were not run getting lost, and against ones that run later
/// than the window allows for.
#[tokio::test(start_paused = true)]
async fn an_unused_permit_is_kept_until_it_expires() {
    let fleet = QuotaFleet::start(1, 1, 48);
    sleep(SETTLING_TIME).await;
    let (quota, record) = (fleet.quota(0), tenant(0, 1.0, 0.0));
    let permit = quota.acquire(&record).await.expect("granted").expect("limited");
    drop(permit);
    let mut permit = quota.acquire(&record).await.expect("granted").expect("limited");
    assert_eq!((quota.usage().own, quota.usage().kept), (1, 1));
    sleep(PERMIT_LIFETIME / 2).await;
    assert!(!permit.is_expired());
    permit.set_used(false);
    drop(permit);
    sleep(PERMIT_LIFETIME).await;
    let permit = quota.acquire(&record).await.expect("granted").expect("limited");
    assert_eq!((quota.usage().own, quota.usage().kept), (2, 1), "the first one has expired");
    sleep(PERMIT_LIFETIME + Duration::from_millis(1)).await;
    assert!(permit.is_expired());
    let unlimited = TenantRecord { quota: None, ..record };
    assert!(quota.acquire(&unlimited).await.expect("granted").is_none());
}

/// Guards against refusals while entries of a version without quotas run requests without limit.
#[tokio::test(start_paused = true)]
async fn nothing_is_limited_beside_older_versions() {
    let fleet = QuotaFleet::start(3, 1, 49);
    fleet.set_older(0);
    fleet.add_tenant(tenant(0, 1.0, 0.0), 100.0, vec![1, 2]);
    sleep(SETTLING_TIME).await;
    let from = Instant::now();
    sleep(ALLOWANCE.window).await;
    assert_eq!(fleet.counts(0, from).1, 0, "refused");
}
