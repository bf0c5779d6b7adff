//! The window that bounds the repeats of a whole deployment, and what a route's requests cost.

use std::time::Duration;

use heatherfall::core::{PartIndex, RouteRecord};
use heatherfall::limits::{RouteCostEstimator, WindowAllowance, WindowBudget};
use heatherfall::util::SeededRandom;
use serde_json::json;
use tokio::time::advance;

const WINDOW: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(50);
const ALLOWANCE: WindowAllowance = WindowAllowance { ratio: 0.2, extra: 62.0, window: WINDOW };

/// Requests and repeats of all entries in one step.
#[derive(Clone, Copy, Default)]
struct StepCount {
    requests: u32,
    repeats: u32,
}

/// Lets `entries` ask for as many repeats as they can; each believes in `believed` entries.
async fn play(seed: u64, entries: usize, believed: u32) -> Vec<StepCount> {
    let mut random = SeededRandom::new(seed);
    let budgets: Vec<_> = (0..entries).map(|_| WindowBudget::new(ALLOWANCE)).collect();
    let mut steps = Vec::new();
    for _ in 0..400 {
        let mut count = StepCount::default();
        // Load comes and goes within seconds.
        let rate = if random.below(40) < 20 { 1 } else { 8 };
        for budget in &budgets {
            for _ in 0..random.below(rate) {
                budget.record_request();
                count.requests += 1;
            }
            while budget.try_spend(believed) {
                count.repeats += 1;
            }
        }
        steps.push(count);
        advance(STEP).await;
    }
    steps
}

/// The most that any window of the users' rule is over its allowance; negative if none is.
fn worst_excess(steps: &[StepCount]) -> f64 {
    let length = (WINDOW.as_millis() / STEP.as_millis()) as usize;
    let mut worst = f64::NEG_INFINITY;
    for window in steps.windows(length) {
        let requests: u32 = window.iter().map(|step| step.requests).sum();
        let repeats: u32 = window.iter().map(|step| step.repeats).sum();
        let allowed = ALLOWANCE.ratio * f64::from(requests) + ALLOWANCE.extra;
        worst = worst.max(f64::from(repeats) - allowed);
    }
    worst
}

#[tokio::test(start_paused = true)]
async fn the_repeats_of_all_entries_stay_within_every_window() {
    for seed in 0..3 {
        let steps = play(seed, 17, 17).await;
        let excess = worst_excess(&steps);
        assert!(excess <= 0.0, "seed {seed}: {excess} over");
        let repeats: u32 = steps.iter().map(|step| step.repeats).sum();
        assert!(repeats > 0, "seed {seed}: nothing is ever repeated");
    }
}

#[tokio::test(start_paused = true)]
async fn entries_that_believe_in_too_many_take_less() {
    for seed in 0..2 {
        let excess = worst_excess(&play(seed, 17, 40).await);
        assert!(excess <= 0.0, "seed {seed}: {excess} over");
    }
}

#[tokio::test(start_paused = true)]
async fn a_few_entries_that_joined_unnoticed_do_not_break_the_window() {
    for seed in 0..2 {
        let excess = worst_excess(&play(seed, 19, 17).await);
        assert!(excess <= 0.0, "seed {seed}: {excess} over");
    }
}

fn split_route(weights: &[u32]) -> RouteRecord {
    let parts: Vec<_> = weights
        .iter()
        .map(|weight| json!({ "upstreams": format!("part={weight}"), "weight": weight }))
        .collect();
    let spec = json!({ "requests": "", "upstreams": "", "goal": "300ms", "parts": parts });
    RouteRecord {
        name: "split".to_owned(),
        spec: serde_json::from_value(spec).unwrap(),
        upstreams: Vec::new(),
        parts: weights
            .iter()
            .map(|weight| heatherfall::core::WeightedPart {
                weight: *weight,
                upstreams: Vec::new(),
            })
            .collect(),
    }
}

#[test]
fn parts_keep_to_their_weights_over_a_few_hundred_requests() {
    for weights in [vec![90, 10], vec![50, 50], vec![1, 2, 5]] {
        let route = split_route(&weights);
        let demand = RouteCostEstimator::default();
        let mut counts = vec![0_u32; weights.len()];
        for _ in 0..300 {
            let PartIndex(index) = demand.next_part(&route).expect("split");
            counts[index as usize] += 1;
        }
        let total: u32 = weights.iter().sum();
        for (count, weight) in counts.iter().zip(&weights) {
            let wanted = f64::from(*weight) / f64::from(total);
            let got = f64::from(*count) / 300.0;
            assert!((got - wanted).abs() < 0.02, "{weights:?}: {counts:?}");
        }
    }
}

#[test]
fn the_work_estimate_is_that_of_machines_at_their_usual_speed() {
    let route = split_route(&[1]);
    let demand = RouteCostEstimator::default();
    let mut random = SeededRandom::new(3);
    for _ in 0..400 {
        // A quarter of the machines is seven times slower.
        let factor = if random.below(4) == 0 { 7 } else { 1 };
        let millis = 60 + random.below(20) as u64;
        demand.record_service_time(&route, Duration::from_millis(millis * factor), false);
    }
    let work = demand.service_time(&route).as_millis();
    assert!((60..=85).contains(&work), "{work} ms for 70 ms of work");
}

#[test]
fn fullness_is_learnt_apart_from_work() {
    let route = split_route(&[1]);
    let demand = RouteCostEstimator::default();
    for _ in 0..200 {
        demand.record_service_time(&route, Duration::from_millis(70), false);
        demand.record_service_time(&route, Duration::from_millis(119), true);
    }
    let factor = demand.saturation_factor();
    assert!((1.5..=1.9).contains(&factor), "{factor} for 1.7");
}
