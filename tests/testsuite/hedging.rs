//! Hedges under an operators' limit: simulations with and without them, outcomes by route, and
//! cancellation of the loser over sockets.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heatherfall::balance::TwoChoicesPicker;
use heatherfall::core::{BudgetSpec, SharedSnapshot};
use heatherfall::limits::{HedgeAllowance, HedgeEvent, RouteLimitSettings};
use heatherfall::membership::{ConfigFreshness, SharedMembership};
use heatherfall::ops::experiment::hedging::{HedgeTrialSettings, HedgeTrialStats, run_trial};
use heatherfall::request::{DataPlane, ExecutionSettings, HedgeTrigger, UpstreamClient};
use heatherfall::serve::{ConnectionPool, HttpUpstreamClient, LimitMetrics, PoolSettings};
use heatherfall::util::SeededRandom;
use http::{Request, StatusCode};
use prometheus::{Registry, TextEncoder};
use serde_json::json;

use crate::support::{
    FakeBehaviour, FakeUpstreamClient, RawResponse, RawUpstream, TestLedger, single_node_ledger,
    snapshot_for, three_upstream_snapshot,
};

const SEEDS: [u64; 4] = [1, 2, 3, 4];

fn allowance(share: f64) -> Option<HedgeAllowance> {
    Some(HedgeAllowance { max_share: share, max_service_share: share })
}

/// Runs a trial for every seed in parallel, with hedges up to `share` of the requests.
fn run_seeds(load: f64, share: f64) -> Vec<HedgeTrialStats> {
    std::thread::scope(|scope| {
        let handles = SEEDS.map(|seed| {
            let hedging = allowance(share);
            let settings = HedgeTrialSettings { seed, load, hedging, ..Default::default() };
            scope.spawn(move || run_trial(&settings).unwrap())
        });
        handles.into_iter().map(|handle| handle.join().unwrap()).collect()
    })
}

fn total(trials: &[HedgeTrialStats]) -> HedgeTrialStats {
    let mut total = trials[0].clone();
    for trial in &trials[1..] {
        total.add(trial);
    }
    total
}

/// Half of the distance between the lowest and the highest value of the seeds.
fn noise(trials: &[HedgeTrialStats], value: impl Fn(&HedgeTrialStats) -> f64) -> f64 {
    let mut values: Vec<_> = trials.iter().map(value).collect();
    values.sort_by(f64::total_cmp);
    (values[values.len() - 1] - values[0]) / 2.0
}

/// Guards against hedges that make an overload worse.
#[test]
fn at_95_percent_of_capacity_hedges_raise_neither_refusals_nor_the_99th_percentile() {
    let refused = |stats: &HedgeTrialStats| stats.refused as f64 / stats.requests as f64;
    let p99 = |stats: &HedgeTrialStats| stats.latency_ms(0.99);
    let (without, with) = (run_seeds(0.95, 0.0), run_seeds(0.95, 0.05));
    let (base, hedged) = (total(&without), total(&with));
    assert_eq!(base.hedge_count(HedgeEvent::Started), 0);
    assert!(hedged.hedge_count(HedgeEvent::Full) > 0, "hedging does not withdraw");
    assert!(hedged.hedge_share() <= 0.05, "{}", hedged.hedge_share());
    assert!(refused(&hedged) <= refused(&base) + noise(&without, refused));
    assert!(p99(&hedged) <= p99(&base) + noise(&without, p99), "{} ms", p99(&hedged));
    let extra = hedged.busy.as_secs_f64() / base.busy.as_secs_f64() - 1.0;
    assert!(extra <= 0.05, "{extra} extra work");
}

/// Guards against hedges that cost work and don't help, on machines of which 30% are 7 times slower,
/// changing every 500 ms.
#[test]
fn within_a_limit_of_5_percent_hedges_cut_the_slowest_answers() {
    let (without, with) = (run_seeds(0.6, 0.0), run_seeds(0.6, 0.05));
    for trial in &with {
        assert!(trial.hedge_share() <= 0.05, "{}", trial.hedge_share());
    }
    let (base, hedged) = (total(&without), total(&with));
    for quantile in [0.99, 0.999] {
        let (base_ms, hedged_ms) = (base.latency_ms(quantile), hedged.latency_ms(quantile));
        assert!(hedged_ms < base_ms, "p{quantile}: {hedged_ms} ms instead of {base_ms} ms");
    }
    let within_goal = |stats: &HedgeTrialStats| stats.within_goal as f64 / stats.requests as f64;
    assert!(within_goal(&hedged) > within_goal(&base));
}

fn plane<C: UpstreamClient>(
    client: C,
    snapshot: SharedSnapshot,
    hedging: Option<HedgeAllowance>,
) -> (DataPlane<C, TwoChoicesPicker, TestLedger>, Arc<ConfigFreshness>) {
    let freshness = Arc::new(ConfigFreshness::default());
    freshness.confirm(Duration::ZERO);
    let settings =
        ExecutionSettings { hedge_trigger: HedgeTrigger::ExpectedGain, ..Default::default() };
    let picker = TwoChoicesPicker::new(SeededRandom::new(7));
    let ledger = single_node_ledger();
    let plane = DataPlane::new(snapshot, client, picker, ledger, Arc::clone(&freshness), settings);
    let limits = RouteLimitSettings { hedging, ..RouteLimitSettings::default() };
    (plane.with_limits(limits), freshness)
}

async fn send<C: UpstreamClient>(
    plane: &DataPlane<C, TwoChoicesPicker, TestLedger>,
    path: &str,
) -> StatusCode {
    let request = Request::builder().uri(path).header("x-request-id", "r").body(()).unwrap();
    let (parts, ()) = request.into_parts();
    let admitted = plane.admit(&parts).unwrap();
    plane.run(admitted, parts, Bytes::new()).await.status()
}

#[tokio::test(start_paused = true)]
async fn hedges_are_counted_by_route_and_outcome() {
    let slow = FakeBehaviour::respond_after_ms(40);
    let fast = FakeBehaviour::respond_after_ms(1);
    let hung = FakeBehaviour::NeverRespond;
    let unlimited = allowance(1.0);
    // The behaviours of the attempts in order, the path, the limit, and the outcome.
    let cases = [
        (vec![slow, fast], "/read", unlimited, "won"),
        (vec![slow, hung], "/read", unlimited, "lost"),
        (vec![slow], "/read", allowance(0.0), "not_started_limit"),
        (vec![slow], "/read", None, "not_started_shared_budget"),
        (vec![slow], "/read", unlimited, "not_started_unconfirmed"),
        (vec![slow], "/write", unlimited, ""),
    ];
    for (behaviours, path, hedging, outcome) in cases {
        let client = FakeUpstreamClient::new([vec![fast, fast], behaviours].concat());
        let budget = BudgetSpec { hedge_ratio: 1.0, ..BudgetSpec::default() };
        let budget = if hedging.is_none() { BudgetSpec::default() } else { budget };
        let snapshot = three_upstream_snapshot(json!({}), budget);
        let (plane, _freshness) = plane(client.clone(), snapshot, hedging);
        let registry = Registry::new();
        LimitMetrics::register(&registry, plane.limits()).unwrap();
        send(&plane, path).await;
        send(&plane, path).await;
        if outcome == "not_started_unconfirmed" {
            tokio::time::advance(Duration::from_secs(5)).await;
        }
        assert_eq!(send(&plane, path).await, StatusCode::OK);
        let is_sent = matches!(outcome, "won" | "lost");
        assert_eq!(client.recorder.attempts(), 3 + u32::from(is_sent), "{outcome}");
        assert_eq!(client.recorder.in_flight(), 0, "{outcome}: the loser is not cancelled");
        let text = TextEncoder::new().encode_to_string(&registry.gather()).unwrap();
        for event in heatherfall::limits::HEDGE_EVENTS {
            let is_expected = event.as_str() == outcome || (is_sent && event.as_str() == "started");
            let name = format!("heatherfall_hedge_outcomes{{outcome=\"{}\"", event.as_str());
            let line = format!("{name},route=\"only\"}} {}\n", u32::from(is_expected));
            assert!(text.contains(&line), "{outcome}: no {line} in {text}");
        }
    }
}

/// Guards against losers that go on working at the upstream, which would double the work.
#[tokio::test]
async fn the_loser_of_a_hedge_loses_its_connection_to_the_upstream() {
    let answer = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
    let hung = RawUpstream::start(vec![RawResponse::Held(answer.as_bytes().to_vec())]).await;
    let quick = RawUpstream::start(vec![RawResponse::keep_alive(answer)]).await;
    let budget = BudgetSpec { hedge_ratio: 1.0, ..BudgetSpec::default() };
    let snapshot = snapshot_for(&[hung.addr, quick.addr], json!({ "deadline": "10s" }), budget);
    let pool = ConnectionPool::new(PoolSettings::default(), SharedMembership::default());
    let (plane, freshness) = plane(HttpUpstreamClient::new(pool), snapshot, allowance(1.0));
    // Which upstream gets the first attempt is random.
    while hung.requests().is_empty() {
        freshness.confirm(Duration::ZERO);
        assert_eq!(send(&plane, "/read").await, StatusCode::OK);
    }
    let aborted = tokio::time::timeout(Duration::from_secs(5), hung.connection_aborted()).await;
    assert!(aborted.is_ok(), "the connection of the losing attempt stays open");
}
