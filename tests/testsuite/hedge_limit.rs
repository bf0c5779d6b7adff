//! The operators' limit on hedges: the share holds with few requests per entry and over many
//! entries, on the paused clock.

use std::sync::Arc;
use std::time::Duration;

use heatherfall::core::{BudgetSpec, RouteKey};
use heatherfall::limits::{
    HEDGE_WINDOW, HedgeAllowance, HedgeLimit, LimitTable, PERMIT_LIFETIME, RouteLimitSettings,
};
use heatherfall::util::SeededRandom;
use serde_json::json;
use tokio::time::advance;

use crate::support::three_upstream_snapshot;

const STEP: Duration = Duration::from_millis(500);
const SHARE: f64 = 0.05;
const WINDOW_STEPS: usize = (HEDGE_WINDOW.as_millis() / STEP.as_millis()) as usize;

/// Requests and hedges of all entries in one step.
#[derive(Clone, Copy, Debug, Default)]
struct StepCount {
    requests: u32,
    hedges: u32,
}

/// Lets `entries` entries, with 3 to 8 requests per second each, hedge whenever they are allowed to
/// while `has_demand` of the step is true.
async fn spend(seed: u64, entries: usize, has_demand: impl Fn(usize) -> bool) -> Vec<StepCount> {
    let mut random = SeededRandom::new(seed);
    let limits: Vec<_> = (0..entries).map(|_| HedgeLimit::new(SHARE)).collect();
    let rates: Vec<_> = (0..entries).map(|_| 3 + random.below(6)).collect();
    let mut steps = Vec::new();
    for step in 0..4 * WINDOW_STEPS {
        let mut count = StepCount::default();
        for (limit, rate) in limits.iter().zip(&rates) {
            for _ in 0..random.below(rate + 1) {
                limit.record_request();
                count.requests += 1;
            }
            while has_demand(step) && limit.try_spend() {
                count.hedges += 1;
            }
        }
        steps.push(count);
        advance(STEP).await;
    }
    steps
}

fn sum(steps: &[StepCount]) -> StepCount {
    let mut sum = StepCount::default();
    for step in steps {
        sum.requests += step.requests;
        sum.hedges += step.hedges;
    }
    sum
}

/// Guards against an entry that rounds its share up, so that a fleet exceeds it many times over, and
/// against one that rounds it down and never hedges.
#[tokio::test(start_paused = true)]
async fn an_entry_with_few_requests_hedges_its_share_of_them() {
    for seed in 0..10 {
        let steps = spend(seed, 1, |_| true).await;
        for end in 1..=steps.len() {
            let total = sum(&steps[..end]);
            let allowed = SHARE * f64::from(total.requests);
            assert!(f64::from(total.hedges) <= allowed, "seed {seed}, step {end}: {total:?}");
        }
        let total = sum(&steps);
        let used = f64::from(total.hedges) / (SHARE * f64::from(total.requests));
        assert!(used > 0.5, "seed {seed}: only {used} of the share is usable");
    }
}

/// Guards against entries that save up permits and spend them all when the upstreams become slow.
#[tokio::test(start_paused = true)]
async fn the_hedges_of_many_entries_stay_within_the_share_in_every_window() {
    for (seed, quiet_steps) in [(1, 0), (2, 2 * WINDOW_STEPS), (3, 3 * WINDOW_STEPS)] {
        let steps = spend(seed, 135, |step| step >= quiet_steps).await;
        assert!(sum(&steps).hedges > 0);
        for window in steps.windows(WINDOW_STEPS) {
            let total = sum(window);
            let allowed = SHARE * f64::from(total.requests);
            assert!(f64::from(total.hedges) <= allowed, "seed {seed}: {total:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_lower_share_withdraws_permits_and_unused_permits_expire() {
    let limit = HedgeLimit::new(1.0);
    for _ in 0..10 {
        limit.record_request();
    }
    assert!(limit.can_spend());
    advance(PERMIT_LIFETIME).await;
    assert!(!limit.can_spend(), "the permits have expired");
    for _ in 0..10 {
        limit.record_request();
    }
    limit.set_share(0.5);
    assert!(!limit.can_spend(), "the permits were earned under the higher share");
}

/// Guards against routes that each use the whole share of their common service.
#[tokio::test(start_paused = true)]
async fn routes_to_the_same_service_share_its_limit_and_a_refused_hedge_uses_up_nothing() {
    let shared = three_upstream_snapshot(json!({}), BudgetSpec::default());
    let mut snapshot = (*shared.load_full().unwrap()).clone();
    let mut second = snapshot.routes[0].clone();
    second.name = "second".to_owned();
    snapshot.routes.push(second);
    let snapshot = Arc::new(snapshot);
    let allowance = HedgeAllowance { max_share: 1.0, max_service_share: 0.25 };
    let settings = RouteLimitSettings { hedging: Some(allowance), ..Default::default() };
    let table = LimitTable::new(settings);
    let routes = [0, 1].map(|key| table.get(&snapshot, RouteKey(key)).unwrap());
    let limits = routes.map(|route| route.hedge_limits(None).unwrap());
    let mut spent = 0;
    for round in 0..100 {
        let limits = &limits[round % 2];
        limits.record_request();
        while limits.try_spend() {
            spent += 1;
        }
    }
    assert!(spent > 0 && spent <= 25, "{spent} hedges of 100 requests");
    assert!(limits[0].route.can_spend(), "the service's refusals were taken from the route");
    table.set_hedge_allowance(None);
    assert!(table.get(&snapshot, RouteKey(0)).unwrap().hedge_limits(None).is_none());
}
