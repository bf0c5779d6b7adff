//! Drain signals of upstreams: flap damping, expiry, and their propagation to other entries.

use std::time::Duration;

use heatherfall::core::{
    DRAIN_SIGNAL_TTL, DrainObservation, DrainSignal, FLAP_HOLD_DOWN, UpstreamState,
};
use heatherfall::kernel::sync_drain_hints;
use serde_json::json;
use tokio::time::{Instant, advance};

use crate::support::ControlFleet;

const LATENCY: Duration = Duration::from_millis(5);

#[tokio::test(start_paused = true)]
async fn a_drain_signal_takes_effect_at_once() {
    let signal = DrainSignal::default();
    assert_eq!(signal.last_observation(), DrainObservation::NeverSeen);
    signal.record(true, LATENCY);
    assert!(signal.is_active());
    assert_eq!(signal.last_observation(), DrainObservation::Set);
}

#[tokio::test(start_paused = true)]
async fn a_response_to_an_earlier_request_does_not_clear_the_signal() {
    let signal = DrainSignal::default();
    signal.record(true, LATENCY);
    advance(Duration::from_millis(2)).await;
    signal.record(false, LATENCY);
    assert!(signal.is_active());
    advance(LATENCY).await;
    signal.record(false, LATENCY);
    assert!(!signal.is_active());
    assert_eq!(signal.last_observation(), DrainObservation::Cleared);
}

#[tokio::test(start_paused = true)]
async fn a_flapping_signal_does_not_take_an_upstream_out_of_service() {
    let signal = DrainSignal::default();
    let mut active_steps = 0;
    for _ in 0..20 {
        signal.record(true, LATENCY);
        active_steps += u32::from(signal.is_active());
        advance(Duration::from_millis(500)).await;
        signal.record(false, LATENCY);
        advance(Duration::from_millis(500)).await;
    }
    assert_eq!(active_steps, 2);
}

#[tokio::test(start_paused = true)]
async fn a_steady_signal_after_flapping_takes_effect_after_the_hold_down() {
    let signal = DrainSignal::default();
    for _ in 0..5 {
        signal.record(true, LATENCY);
        advance(Duration::from_millis(500)).await;
        signal.record(false, LATENCY);
        advance(Duration::from_millis(500)).await;
    }
    signal.record(true, LATENCY);
    assert!(!signal.is_active());
    advance(FLAP_HOLD_DOWN).await;
    assert!(signal.is_active());
}

#[tokio::test(start_paused = true)]
async fn a_signal_that_is_not_renewed_expires() {
    let signal = DrainSignal::default();
    signal.record(true, LATENCY);
    advance(DRAIN_SIGNAL_TTL + Duration::from_secs(1)).await;
    assert!(!signal.is_active());
}

/// Guards against requests that reach a leaving upstream again after a minute, because it gets none that
/// could renew its signal and the store does not tell its state.
#[tokio::test(start_paused = true)]
async fn the_signal_of_a_known_process_holds_until_another_one_has_started() {
    for (started_ms, is_held) in [(Some(1), true), (None, false)] {
        let spec = json!({ "address": "127.0.0.1:1", "failure_domain": "fd-a",
                           "started_ms": started_ms });
        let spec = serde_json::from_value(spec).unwrap();
        let upstream = UpstreamState::new("u", spec, Default::default());
        upstream.record_drain_signal(true, LATENCY);
        advance(DRAIN_SIGNAL_TTL * 10).await;
        assert_eq!(upstream.is_draining(), is_held, "started_ms: {started_ms:?}");
    }
}

/// Runs the drain service of every node until all nodes report `is_draining`; returns the time that
/// it took.
async fn time_to_agree(fleet: &ControlFleet, is_draining: bool) -> Duration {
    let started = Instant::now();
    loop {
        let mut agreeing_nodes = 0;
        for node in fleet.nodes.values() {
            let snapshot = node.snapshot.load_full().unwrap();
            sync_drain_hints(&snapshot, &node.node);
            let upstream = snapshot.upstreams.values().next().unwrap();
            agreeing_nodes += usize::from(upstream.is_draining() == is_draining);
        }
        if agreeing_nodes == fleet.nodes.len() {
            return started.elapsed();
        }
        assert!(started.elapsed() < DRAIN_SIGNAL_TTL * 2, "{agreeing_nodes} agree");
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn every_entry_stops_sending_requests_within_seconds_of_the_first_signal() {
    let fleet = ControlFleet::started(9, 3).await;
    let first = fleet.nodes[&4].snapshot.load_full().unwrap();
    let upstream = first.upstreams.values().next().unwrap();
    upstream.record_drain_signal(true, LATENCY);
    let time = time_to_agree(&fleet, true).await;
    assert!(time <= Duration::from_secs(3), "{time:?}");
    upstream.record_drain_signal(false, LATENCY);
    let time = time_to_agree(&fleet, false).await;
    assert!(time <= Duration::from_secs(3), "{time:?}");
}

#[tokio::test(start_paused = true)]
async fn a_signal_that_is_not_renewed_expires_on_every_entry() {
    // No entry sends requests to a draining upstream, so no response can clear the signal.
    let fleet = ControlFleet::started(19, 3).await;
    let first = fleet.nodes[&7].snapshot.load_full().unwrap();
    first.upstreams.values().next().unwrap().record_drain_signal(true, LATENCY);
    let spread_time = time_to_agree(&fleet, true).await;
    assert!(spread_time < Duration::from_secs(2), "{spread_time:?}");
    let expiry_time = time_to_agree(&fleet, false).await;
    assert!(expiry_time > Duration::from_secs(30), "{expiry_time:?}");
}
