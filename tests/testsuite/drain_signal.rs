//! Drain marks of upstreams.

use std::time::Duration;

use heatherfall::core::{DRAIN_SIGNAL_TTL, DrainObservation, DrainSignal, FLAP_HOLD_DOWN};
use heatherfall::kernel::sync_drain_hints;
use tokio::time::{Instant, advance};

use crate::support::ControlFleet;

const LATENCY: Duration = Duration::from_millis(5);

#[tokio::test(start_paused = true)]
async fn a_mark_counts_at_once() {
    let mark = DrainSignal::default();
    assert_eq!(mark.last_observation(), DrainObservation::NeverSeen);
    mark.record(true, LATENCY);
    assert!(mark.is_active());
    assert_eq!(mark.last_observation(), DrainObservation::Set);
}

#[tokio::test(start_paused = true)]
async fn an_answer_from_before_the_mark_does_not_clear_it() {
    let mark = DrainSignal::default();
    mark.record(true, LATENCY);
    advance(Duration::from_millis(2)).await;
    mark.record(false, LATENCY);
    assert!(mark.is_active());
    advance(LATENCY).await;
    mark.record(false, LATENCY);
    assert!(!mark.is_active());
    assert_eq!(mark.last_observation(), DrainObservation::Cleared);
}

#[tokio::test(start_paused = true)]
async fn a_flapping_mark_does_not_take_an_upstream_out() {
    let mark = DrainSignal::default();
    let mut absent = 0;
    for _ in 0..20 {
        mark.record(true, LATENCY);
        absent += u32::from(mark.is_active());
        advance(Duration::from_millis(500)).await;
        mark.record(false, LATENCY);
        advance(Duration::from_millis(500)).await;
    }
    assert_eq!(absent, 2);
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_flapped_and_then_leaves_gets_no_work_after_a_few_seconds() {
    let mark = DrainSignal::default();
    for _ in 0..5 {
        mark.record(true, LATENCY);
        advance(Duration::from_millis(500)).await;
        mark.record(false, LATENCY);
        advance(Duration::from_millis(500)).await;
    }
    mark.record(true, LATENCY);
    assert!(!mark.is_active());
    advance(FLAP_HOLD_DOWN).await;
    assert!(mark.is_active());
}

#[tokio::test(start_paused = true)]
async fn a_mark_that_nothing_renews_ends() {
    let mark = DrainSignal::default();
    mark.record(true, LATENCY);
    advance(DRAIN_SIGNAL_TTL + Duration::from_secs(1)).await;
    assert!(!mark.is_active());
}

/// Rounds of the drain service on every node until all say `is_draining`; the time it took.
async fn spread(fleet: &ControlFleet, is_draining: bool) -> Duration {
    let started = Instant::now();
    loop {
        let mut agreeing = 0;
        for node in fleet.nodes.values() {
            let snapshot = node.snapshot.load_full().unwrap();
            sync_drain_hints(&snapshot, &node.node);
            let upstream = snapshot.upstreams.values().next().unwrap();
            agreeing += usize::from(upstream.is_draining() == is_draining);
        }
        if agreeing == fleet.nodes.len() {
            return started.elapsed();
        }
        assert!(started.elapsed() < DRAIN_SIGNAL_TTL * 2, "{agreeing} agree");
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn every_entry_stops_sending_work_within_seconds_of_the_first_to_see_the_mark() {
    let fleet = ControlFleet::started(9, 3).await;
    let first = fleet.nodes[&4].snapshot.load_full().unwrap();
    let upstream = first.upstreams.values().next().unwrap();
    upstream.record_drain_signal(true, LATENCY);
    let time = spread(&fleet, true).await;
    assert!(time <= Duration::from_secs(3), "{time:?}");
    upstream.record_drain_signal(false, LATENCY);
    let time = spread(&fleet, false).await;
    assert!(time <= Duration::from_secs(3), "{time:?}");
}

#[tokio::test(start_paused = true)]
async fn a_mark_that_nobody_renews_ends_on_every_entry_since_nobody_can_see_it_gone() {
    let fleet = ControlFleet::started(19, 3).await;
    let first = fleet.nodes[&7].snapshot.load_full().unwrap();
    first.upstreams.values().next().unwrap().record_drain_signal(true, LATENCY);
    let told = spread(&fleet, true).await;
    assert!(told < Duration::from_secs(2), "{told:?}");
    let ended = spread(&fleet, false).await;
    assert!(ended > Duration::from_secs(30), "{ended:?}");
}
