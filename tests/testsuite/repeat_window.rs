//! The sliding-window budget for repeats of a whole deployment, and cost estimates of a route.

use std::time::Duration;

use heatherfall::core::{PartIndex, RouteRecord};
use heatherfall::limits::{PartSequence, RouteCostEstimator, WindowAllowance, WindowBudget};
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

/// Lets `entries` entries make as many repeats as they are allowed; each of them assumes that there
/// are `assumed_entries`.
async fn spend_all(seed: u64, entries: usize, assumed_entries: u32) -> Vec<StepCount> {
    let mut random = SeededRandom::new(seed);
    let budgets: Vec<_> = (0..entries).map(|_| WindowBudget::new(ALLOWANCE)).collect();
    let mut steps = Vec::new();
    for _ in 0..400 {
        let mut count = StepCount::default();
        // The request rate switches at random between low and high.
        let rate = if random.below(40) < 20 { 1 } else { 8 };
        for budget in &budgets {
            for _ in 0..random.below(rate) {
                budget.record_request();
                count.requests += 1;
            }
            while budget.try_spend(assumed_entries) {
                count.repeats += 1;
            }
        }
        steps.push(count);
        advance(STEP).await;
    }
    steps
}

/// Largest excess over the allowance in any window; negative if every window is within it.
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
        let steps = spend_all(seed, 17, 17).await;
        let excess = worst_excess(&steps);
        assert!(excess <= 0.0, "seed {seed}: {excess} repeats over the window");
        let repeats: u32 = steps.iter().map(|step| step.repeats).sum();
        assert!(repeats > 0, "seed {seed}: no repeat was allowed");
    }
}

#[tokio::test(start_paused = true)]
async fn entries_that_overestimate_their_number_stay_within_the_window() {
    for seed in 0..2 {
        let excess = worst_excess(&spend_all(seed, 17, 40).await);
        assert!(excess <= 0.0, "seed {seed}: {excess} repeats over the window");
    }
}

#[tokio::test(start_paused = true)]
async fn a_few_unnoticed_entries_stay_within_the_window() {
    for seed in 0..2 {
        let excess = worst_excess(&spend_all(seed, 19, 17).await);
        assert!(excess <= 0.0, "seed {seed}: {excess} repeats over the window");
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
        upstreams: Default::default(),
        parts: weights
            .iter()
            .map(|weight| heatherfall::core::WeightedPart {
                weight: *weight,
                upstreams: Default::default(),
            })
            .collect(),
    }
}

#[test]
fn parts_keep_to_their_weights_over_a_few_hundred_requests() {
    for weights in [vec![90, 10], vec![50, 50], vec![1, 2, 5]] {
        let route = split_route(&weights);
        let sequence = PartSequence::default();
        let mut counts = vec![0_u32; weights.len()];
        for _ in 0..300 {
            let PartIndex(index) = sequence.next_part(&route).expect("split");
            counts[index as usize] += 1;
        }
        let total: u32 = weights.iter().sum();
        for (count, weight) in counts.iter().zip(&weights) {
            let expected_share = f64::from(*weight) / f64::from(total);
            let share = f64::from(*count) / 300.0;
            assert!((share - expected_share).abs() < 0.02, "{weights:?}: {counts:?}");
        }
    }
}

/// Guards against sequences that all entries begin alike, so that a route is off its weights by as
/// much as one entry's first requests are.
#[test]
fn a_fleet_keeps_to_the_weights_from_the_first_requests_on() {
    let mut random = SeededRandom::new(11);
    for weights in [vec![10, 90], vec![30, 70], vec![50, 50], vec![1, 2, 5]] {
        let route = split_route(&weights);
        for requests in 1..=3 {
            let mut first = 0_u32;
            for _ in 0..143 {
                let sequence = PartSequence::starting_at(random.unit());
                for _ in 0..requests {
                    first += u32::from(sequence.next_part(&route) == Some(PartIndex(0)));
                }
            }
            let expected = f64::from(weights[0]) / f64::from(weights.iter().sum::<u32>());
            let share = f64::from(first) / f64::from(143 * requests);
            assert!((share - expected).abs() < 0.2, "{weights:?}: {share} of {requests} each");
        }
    }
}

#[test]
fn slowed_down_upstreams_do_not_raise_the_service_time() {
    let route = split_route(&[1]);
    let cost = RouteCostEstimator::default();
    let mut random = SeededRandom::new(3);
    for _ in 0..400 {
        // A quarter of the upstreams is slowed down sevenfold.
        let factor = if random.below(4) == 0 { 7 } else { 1 };
        let millis = 60 + random.below(20) as u64;
        cost.record_service_time(&route, Duration::from_millis(millis * factor), false);
    }
    let service_ms = cost.service_time(&route).as_millis();
    assert!((60..=85).contains(&service_ms), "{service_ms} ms instead of 70 ms");
}

#[test]
fn the_saturation_factor_is_estimated_apart_from_the_service_time() {
    let route = split_route(&[1]);
    let cost = RouteCostEstimator::default();
    for _ in 0..200 {
        cost.record_service_time(&route, Duration::from_millis(70), false);
        cost.record_service_time(&route, Duration::from_millis(119), true);
    }
    let factor = cost.saturation_factor();
    assert!((1.5..=1.9).contains(&factor), "{factor} instead of 1.7");
}
