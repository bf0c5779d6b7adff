//! Control planes of whole fleets: rollout, recovery, membership, and their load on the platform
//! and the network.

use std::sync::atomic::Ordering;
use std::time::Duration;

use heatherfall::config::{MAX_FORMAT, ObjectStatus, RolloutPhase};
use heatherfall::core::ObjectKind;
use heatherfall::membership::{EntryState, MAX_CONFIRMED_AGE};
use heatherfall::peer::generated::peer::{ExchangeRequest, HeartbeatRecord};
use heatherfall::platform::PlatformStore;
use heatherfall_standins::platform::FaultSettings;
use serde_json::json;
use tokio::time::Instant;

use crate::support::{ControlFleet, FleetNode};

/// Time within which an accepted change must be in force on every node.
const ROLLOUT_TARGET: Duration = Duration::from_secs(5);

async fn status(fleet: &ControlFleet, kind: &str, name: &str) -> Option<ObjectStatus> {
    let object = fleet.platform.get(kind, name).await.expect("object");
    serde_json::from_value(object.status).ok()
}

async fn wait_for_phase(
    fleet: &ControlFleet,
    kind: &str,
    name: &str,
    phase: RolloutPhase,
) -> Duration {
    let started = Instant::now();
    loop {
        let found = status(fleet, kind, name).await;
        if found.as_ref().is_some_and(|found| found.phase == phase) {
            return started.elapsed();
        }
        assert!(started.elapsed() < Duration::from_secs(60), "{found:?}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_change_is_in_force_on_every_node_and_said_so_within_the_target() {
    let fleet = ControlFleet::started(19, 3).await;
    let before = fleet.nodes[&0].generation();
    fleet.apply_upstream("lookups-1", 4).await;
    let applied = fleet.wait_until("change", |node| node.generation() > before).await;
    let reported = wait_for_phase(&fleet, "Upstream", "lookups-1", RolloutPhase::InForce).await;
    println!(
        "19 nodes: applied everywhere after {applied:?}, reported after {:?}",
        applied + reported
    );
    assert!(applied + reported < ROLLOUT_TARGET, "{applied:?} {reported:?}");
}

#[tokio::test(start_paused = true)]
async fn an_invalid_object_is_rejected_in_its_status_and_its_last_valid_version_stays_active() {
    let fleet = ControlFleet::started(3, 3).await;
    let before = fleet.platform.get("Upstream", "lookups-0").await.expect("object");
    let draft = heatherfall::platform::ObjectDraft {
        kind: "Upstream".to_owned(),
        name: "lookups-0".to_owned(),
        labels: before.labels.clone(),
        spec: json!({ "address": "nowhere" }),
        change_id: "invalid".to_owned(),
    };
    let condition = heatherfall::platform::Precondition::SpecVersion(before.spec_version);
    fleet.platform.put(draft, condition).await.expect("written without the client's check");
    wait_for_phase(&fleet, "Upstream", "lookups-0", RolloutPhase::Rejected).await;
    let status = status(&fleet, "Upstream", "lookups-0").await.expect("a status");
    assert_eq!(status.code.as_deref(), Some("HF-2001"));
    let snapshot = fleet.nodes[&1].snapshot.load_full().expect("a configuration");
    assert_eq!(snapshot.upstreams.len(), 1, "the last valid version is not active");
}

#[tokio::test(start_paused = true)]
async fn a_dead_relay_is_replaced_and_no_node_counts_as_unconfirmed_meanwhile() {
    for is_unreachable in [false, true] {
        let mut fleet = ControlFleet::started(19, 3).await;
        tokio::time::sleep(Duration::from_secs(5)).await;
        let relay = fleet.relay_of(1).expect("a relay");
        fleet.kill(relay, is_unreachable);
        let started = Instant::now();
        let mut max_age = Duration::ZERO;
        let mut replaced = None;
        while started.elapsed() < Duration::from_secs(15) {
            for node in fleet.nodes.values() {
                max_age = max_age.max(node.freshness.age().expect("was confirmed"));
            }
            if replaced.is_none() && fleet.relay_of(1).is_some() {
                replaced = Some(started.elapsed());
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        println!(
            "unreachable={is_unreachable}: replaced after {replaced:?}, oldest confirmation {max_age:?}"
        );
        assert!(replaced.is_some_and(|time| time < Duration::from_secs(8)), "{replaced:?}");
        assert!(max_age < MAX_CONFIRMED_AGE, "a node restricted itself: {max_age:?}");
        fleet.wait_until("view", |node| node.ready_entries() == 18).await;
        let before = fleet.nodes[&0].generation();
        fleet.apply_upstream("lookups-1", 4).await;
        let applied = fleet.wait_until("change", |node| node.generation() > before).await;
        assert!(applied < ROLLOUT_TARGET, "{applied:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn a_leaving_node_is_removed_from_every_view_and_releases_its_lease() {
    let mut fleet = ControlFleet::started(19, 3).await;
    let relay = fleet.relay_of(0).expect("a relay");
    let leaving = ControlFleet::vm_of(relay);
    fleet.nodes[&relay].node.set_state(EntryState::Leaving);
    fleet.nodes[&relay].node.set_state(EntryState::Leaving);
    let removed = fleet.wait_until("removed", |node| node.ready_entries() == 18).await;
    println!("leaving {leaving} removed everywhere after {removed:?}");
    assert!(removed < Duration::from_secs(2), "{removed:?}");
    fleet.stop(relay).await;
    let started = Instant::now();
    while fleet.relay_of(0).is_none() {
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    println!("lease handed over after {:?}", started.elapsed());
    // Without a release, the next relay would have to wait 3 s for the lease to expire.
    assert!(started.elapsed() < Duration::from_secs(3), "{:?}", started.elapsed());
}

#[tokio::test(start_paused = true)]
async fn shutdown_is_bounded_while_the_platform_is_down() {
    let mut fleet = ControlFleet::started(3, 3).await;
    fleet.platform.set_faults(FaultSettings { down: true, ..FaultSettings::default() });
    let started = Instant::now();
    fleet.nodes[&0].node.set_state(EntryState::Leaving);
    fleet.stop(0).await;
    assert!(started.elapsed() < Duration::from_secs(5), "{:?}", started.elapsed());
}

#[tokio::test(start_paused = true)]
async fn a_platform_outage_keeps_configuration_and_membership_and_ends_without_a_stampede() {
    let mut fleet = ControlFleet::started(19, 3).await;
    let generation = fleet.nodes[&0].generation();
    fleet.platform.set_faults(FaultSettings { down: true, ..FaultSettings::default() });
    tokio::time::sleep(Duration::from_secs(60)).await;
    // A node and a relay crash while the platform is down.
    let relay = fleet.relay_of(2).expect("a relay");
    fleet.kill(relay, false);
    let other = (0..19).find(|index| index % 3 == 2 && *index != relay).expect("a node");
    fleet.kill(other, true);
    tokio::time::sleep(Duration::from_secs(540)).await;
    for node in fleet.nodes.values() {
        assert_eq!(node.generation(), generation);
        assert!(!node.freshness.is_confirmed(), "nothing can be confirmed");
        assert!(node.ready_entries() >= 17, "ready={}", node.ready_entries());
    }
    let calls_before = fleet.platform.counts().total();
    tokio::time::sleep(Duration::from_secs(10)).await;
    let calls_per_second = (fleet.platform.counts().total() - calls_before) as f64 / 10.0;
    fleet.platform.set_faults(FaultSettings::default());
    let mut max_calls = 0;
    let recovered = Instant::now();
    let mut confirmed = None;
    for _ in 0..150 {
        let before = fleet.platform.counts().total();
        tokio::time::sleep(Duration::from_millis(100)).await;
        max_calls = max_calls.max(fleet.platform.counts().total() - before);
        if confirmed.is_none() && fleet.nodes.values().all(|node| node.freshness.is_confirmed()) {
            confirmed = Some(recovered.elapsed());
        }
    }
    println!(
        "outage: {calls_per_second:.1} calls/s while down, at most {max_calls} calls in 100 ms after, all \
         nodes confirmed after {confirmed:?}"
    );
    assert!(confirmed.is_some_and(|time| time < ROLLOUT_TARGET), "{confirmed:?}");
    assert!(max_calls < 50, "{max_calls} calls in 100 ms");
    fleet.wait_until("view", |node| node.ready_entries() == 17).await;
}

#[tokio::test(start_paused = true)]
async fn a_node_that_starts_while_the_platform_is_down_takes_the_highest_generation_of_its_seeds() {
    let mut fleet = ControlFleet::started(3, 3).await;
    let old = fleet.nodes[&1].node.generation_applier().current().expect("a generation");
    fleet.apply_upstream("lookups-1", 4).await;
    let newest = old.content.number.0 + 1;
    fleet.wait_until("change", |node| node.generation() == newest).await;
    fleet.platform.set_faults(FaultSettings { down: true, ..FaultSettings::default() });
    // The first seed replies with the previous generation, and faster than the second.
    let stale = fleet.add_passive_peer(9, &old.bytes);
    fleet.start(4, vec![stale, ControlFleet::address_of(2)]);
    let mut applied = fleet.nodes[&4].node.generation_applier().subscribe();
    applied.changed().await.expect("a generation");
    assert_eq!(applied.borrow_and_update().0, newest, "an older generation was applied first");
    assert!(!fleet.nodes[&4].freshness.is_confirmed(), "confirmed without the platform");
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert_eq!(fleet.nodes[&4].generation(), newest);
}

#[tokio::test(start_paused = true)]
async fn a_node_without_a_configuration_source_becomes_ready_once_one_is_reachable() {
    let mut fleet = ControlFleet::new(1);
    fleet.platform.set_faults(FaultSettings { down: true, ..FaultSettings::default() });
    fleet.start(0, vec![ControlFleet::address_of(9)]);
    tokio::time::sleep(Duration::from_secs(30)).await;
    assert!(fleet.nodes[&0].snapshot.load().is_none());
    assert_eq!(fleet.nodes[&0].node.state(), EntryState::Starting);
    fleet.platform.set_faults(FaultSettings::default());
    fleet.apply_upstream("lookups-0", 1).await;
    fleet.wait_until("ready", |node| node.ready_entries() == 1).await;
}

#[tokio::test(start_paused = true)]
async fn platform_calls_do_not_grow_with_the_fleet_and_bytes_stay_within_the_target() {
    let mut rates = Vec::new();
    for size in [19, 60, 200] {
        let fleet = ControlFleet::started(size, 3).await;
        tokio::time::sleep(Duration::from_secs(20)).await;
        fleet.network.take_bytes();
        let before = fleet.platform.counts().total();
        tokio::time::sleep(Duration::from_secs(60)).await;
        let calls = (fleet.platform.counts().total() - before) as f64 / 60.0;
        let mut bytes = fleet.network.take_bytes();
        bytes.sort_unstable();
        let mean = bytes.iter().sum::<usize>() / bytes.len() / 60;
        let most = bytes.last().expect("bytes") / 60;
        println!("{size} nodes: {calls:.1} platform calls/s, {mean} B/s a node, relay {most} B/s");
        rates.push(calls);
        assert!(mean < 11_000, "{mean} bytes/s");
    }
    assert!(rates[2] < rates[0] * 1.2, "platform calls grow with the fleet: {rates:?}");
}

#[tokio::test(start_paused = true)]
async fn a_rollout_names_whom_it_waits_for_and_ends_when_that_node_has_restricted_itself() {
    let mut fleet = ControlFleet::started(6, 3).await;
    let relay = fleet.relay_of(1).expect("a relay");
    let lagging = [1, 4].into_iter().find(|index| *index != relay).expect("a node");
    fleet.kill(lagging, true);
    let changed = Instant::now();
    fleet.apply(ObjectKind::Budget, "default", json!({ "probes_per_second": 10.0 })).await;
    let accepted = wait_for_phase(&fleet, "Budget", "default", RolloutPhase::Accepted).await;
    let status = status(&fleet, "Budget", "default").await.expect("a status");
    let waiting: Vec<&str> = status.waiting_for.iter().map(|vm| vm.as_str()).collect();
    assert!(waiting.contains(&ControlFleet::vm_of(lagging).as_str()), "{waiting:?}");
    wait_for_phase(&fleet, "Budget", "default", RolloutPhase::InForce).await;
    println!("accepted after {accepted:?}, in force after {:?}", changed.elapsed());
    assert!(changed.elapsed() < ROLLOUT_TARGET + Duration::from_secs(1));
}

#[tokio::test(start_paused = true)]
async fn a_drain_signal_seen_by_one_node_reaches_all_and_expires_if_it_is_not_repeated() {
    let fleet = ControlFleet::started(19, 3).await;
    let is_draining = |node: &FleetNode| node.node.drain_hints().is_draining("lookups-0");
    fleet.nodes[&7].node.report_drain("lookups-0", true);
    let reported = fleet.wait_until("drained", is_draining).await;
    println!("drain hint known to 19 nodes after {reported:?}");
    assert!(reported < Duration::from_secs(2), "{reported:?}");
    // No node sends it requests, so none can see that it no longer drains; the hint expires.
    let expired_after = fleet.wait_until("back", |node| !is_draining(node)).await;
    println!("drain hint expired after {expired_after:?}");
    assert!(expired_after > Duration::from_secs(30), "{expired_after:?}");
}

#[tokio::test(start_paused = true)]
async fn a_change_waits_for_a_live_node_that_does_not_read_the_format_and_not_for_a_dead_one() {
    let fleet = ControlFleet::started(3, 1).await;
    let generation = fleet.nodes[&0].generation();
    let relay = fleet.relay_of(0).expect("a relay");
    let old_node = ExchangeRequest {
        sender: Some(HeartbeatRecord {
            vm: "entry-old".to_owned(),
            failure_domain: "fd-0".to_owned(),
            incarnation: 1,
            max_format: MAX_FORMAT - 1,
            ..HeartbeatRecord::default()
        }),
        view_digest: Some(0),
        ..ExchangeRequest::default()
    };
    fleet.nodes[&relay].node.handle_exchange(old_node).await;
    fleet.apply_upstream("lookups-1", 4).await;
    wait_for_phase(&fleet, "Upstream", "lookups-1", RolloutPhase::Rejected).await;
    let status = status(&fleet, "Upstream", "lookups-1").await.expect("a status");
    assert_eq!(status.code.as_deref(), Some("HF-2006"));
    assert_eq!(fleet.nodes[&0].generation(), generation);
    // The old node sends no more heartbeats and no longer counts.
    wait_for_phase(&fleet, "Upstream", "lookups-1", RolloutPhase::InForce).await;
    fleet.wait_until("change", |node| node.generation() == generation + 1).await;
}

#[tokio::test(start_paused = true)]
async fn a_partitioned_compiler_does_not_report_in_force_before_the_other_nodes_are_restricted() {
    let fleet = ControlFleet::started(6, 3).await;
    let lease = fleet.platform.get("Lease", "compiler").await.expect("a lease");
    let holder = lease.spec["holder"].as_str().expect("a holder").to_owned();
    let holder = (0..6).find(|index| ControlFleet::vm_of(*index) == holder).expect("a node");
    fleet.isolate(holder);
    tokio::time::sleep(Duration::from_secs(20)).await;
    assert_eq!(fleet.nodes[&holder].ready_entries(), 1, "the node still receives heartbeats");
    fleet.apply_upstream("lookups-1", 4).await;
    wait_for_phase(&fleet, "Upstream", "lookups-1", RolloutPhase::Accepted).await;
    let accepted = status(&fleet, "Upstream", "lookups-1").await.expect("a status");
    assert_eq!(accepted.waiting_for.len(), 5, "{accepted:?}");
    let reported = wait_for_phase(&fleet, "Upstream", "lookups-1", RolloutPhase::InForce).await;
    assert!(reported > MAX_CONFIRMED_AGE - Duration::from_millis(500), "{reported:?}");
}

#[tokio::test(start_paused = true)]
async fn a_relay_that_loses_the_platform_alone_is_replaced() {
    let mut fleet = ControlFleet::new(1);
    fleet.apply_upstream("lookups-0", 1).await;
    for index in 0..4 {
        fleet.start(index, Vec::new());
    }
    fleet.wait_until("start", |node| node.generation() > 0 && node.ready_entries() == 4).await;
    let relay = fleet.relay_of(0).expect("a relay");
    fleet.nodes[&relay].is_platform_down.store(true, Ordering::Relaxed);
    tokio::time::sleep(Duration::from_secs(2)).await;
    let started = Instant::now();
    while fleet.relay_of(0) == Some(relay) || fleet.relay_of(0).is_none() {
        assert!(started.elapsed() < Duration::from_secs(30), "{}", fleet.describe());
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    println!("relay without the platform replaced after {:?}", started.elapsed());
    fleet.wait_until("confirmed", |node| node.freshness.is_confirmed()).await;
}

#[tokio::test(start_paused = true)]
async fn many_objects_written_at_once_are_reported_in_force_within_the_target() {
    let fleet = ControlFleet::started(19, 3).await;
    let delay = Duration::from_millis(3);
    fleet.platform.set_faults(FaultSettings { delay, ..FaultSettings::default() });
    for index in 0..200 {
        fleet.apply_upstream(&format!("lookups-{index}"), 4).await;
    }
    let written = Instant::now();
    let before = fleet.platform.counts().writes;
    fleet
        .wait_until("applied", |node| {
            node.snapshot.load().as_ref().is_some_and(|one| one.upstreams.len() == 200)
        })
        .await;
    let applied = written.elapsed();
    for index in 0..200 {
        let name = format!("lookups-{index}");
        wait_for_phase(&fleet, "Upstream", &name, RolloutPhase::InForce).await;
    }
    let writes = fleet.platform.counts().writes - before;
    println!("200 objects: applied {applied:?}, reported {:?}, {writes} writes", written.elapsed());
    assert!(written.elapsed() < ROLLOUT_TARGET, "{:?}", written.elapsed());
}
