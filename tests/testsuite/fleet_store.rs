//! Entries that follow the platform's store, with outages, partitions and missed changes.

use std::sync::Arc;
use std::time::Duration;

use heatherfall::fleet::config_parts::ConfigPart;
use heatherfall::fleet::store_follower::StoreFollower;
use heatherfall::fleet::view::{DeploymentView, ViewChange};
use heatherfall::platform::{PlatformStore, WatchBatch, WatchEvent};
use heatherfall_standins::platform::{FaultSettings, StandinPlatform};
use serde_json::json;
use tokio::time::Instant;

use crate::fleet_peers::message;
use crate::support::GatedStore;
use crate::support::fleet::{
    TestCodec, TestEntry, UPSTREAM_KIND, delete_upstream, put, put_config, put_upstream,
};

/// Time within which a change must be active on a live entry.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

async fn store_with(generation: u64, upstreams: &[&str]) -> StandinPlatform {
    let store = StandinPlatform::default();
    put_config(&store, generation).await;
    for name in upstreams {
        put_upstream(&store, name).await;
    }
    store
}

/// Makes the store refuse all calls.
fn fail_all_calls(store: &StandinPlatform) {
    store.set_faults(FaultSettings { down: true, ..FaultSettings::default() });
}

/// Ends the injected failure of store calls.
fn recover(store: &StandinPlatform) {
    store.set_faults(FaultSettings::default());
}

/// Two entries that have followed the store for `time` each, one after the other.
async fn start_pair(store: &StandinPlatform, time: Duration) -> [TestEntry; 2] {
    let mut entries = [TestEntry::new("entry-1", store), TestEntry::new("entry-2", store)];
    for entry in &mut entries {
        entry.run_for(time).await;
    }
    entries
}

/// Runs `entry` through a store outage of five seconds.
async fn outage(store: &StandinPlatform, entry: &mut TestEntry) {
    fail_all_calls(store);
    entry.run_for(Duration::from_secs(5)).await;
    recover(store);
}

/// Delivers the confirmation that `from` would send now to `to`.
fn send_confirmation(from: &TestEntry, to: &TestEntry) {
    to.state.apply_peer_state(None, from.state.confirmation());
}

#[tokio::test(start_paused = true)]
async fn changes_are_active_within_the_limit() {
    let store = store_with(1, &["a", "b"]).await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(Duration::from_secs(3)).await;
    assert_eq!(entry.upstreams(), ["a", "b"]);
    put_config(&store, 2).await;
    delete_upstream(&store, "a").await;
    entry.run_for(APPLY_LIMIT).await;
    assert_eq!(entry.generation(), Some(2));
    assert_eq!(entry.upstreams(), ["b"]);
}

#[tokio::test(start_paused = true)]
async fn a_missing_configuration_is_not_polled() {
    let store = StandinPlatform::default();
    put_upstream(&store, "a").await;
    let before = store.counts().gets;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(Duration::from_secs(2)).await;
    // A relaxed read, and one that confirms the result.
    assert!(store.counts().gets - before <= 2, "{:?}", store.counts());
    put_config(&store, 1).await;
    entry.run_for(APPLY_LIMIT).await;
    assert_eq!(entry.generation(), Some(1));
}

#[tokio::test(start_paused = true)]
async fn a_burst_of_changes_costs_few_calls() {
    let store = store_with(1, &["a"]).await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(Duration::from_secs(1)).await;
    let before = store.counts().total();
    for index in 0..40 {
        put_upstream(&store, &format!("new-{index}")).await;
        entry.run_for(Duration::from_millis(10)).await;
    }
    // The next watch may begin up to 250 ms after the last one of the burst.
    entry.run_for(Duration::from_millis(250)).await;
    let own_writes = 2 * 40;
    let calls = store.counts().total() - before - own_writes;
    assert!(calls <= 12, "{calls} calls for 40 changes within 400 ms");
    assert_eq!(entry.upstreams().len(), 41);
}

#[tokio::test(start_paused = true)]
async fn a_configuration_written_before_a_list_is_read() {
    let store = store_with(1, &["a"]).await;
    let [mut entry, mut other] = start_pair(&store, Duration::from_secs(1)).await;
    // `other` has missed a change, and the list that it reads to catch up already has a revision
    // that covers a new configuration.
    put_upstream(&store, "b").await;
    entry.run_for(Duration::from_millis(50)).await;
    put_config(&store, 2).await;
    send_confirmation(&entry, &other);
    other.run_for(APPLY_LIMIT).await;
    assert_eq!(other.generation(), Some(2));
}

#[tokio::test(start_paused = true)]
async fn a_new_leader_reads_a_configuration_that_the_old_one_missed() {
    let store = store_with(1, &["a"]).await;
    let [_leader, mut successor] = start_pair(&store, Duration::from_secs(1)).await;
    put_config(&store, 2).await;
    put_upstream(&store, "b").await;
    // The leader dies between the response of its watch and its read of the configuration, so its
    // last message has the revision, but not the configuration.
    let revision = store.list(UPSTREAM_KIND, "").await.expect("listed").revision;
    let last_change = ViewChange { base: 2, revision, ..ViewChange::default() };
    successor.state.apply_peer_state(Some(last_change), None);
    successor.run_for(APPLY_LIMIT).await;
    assert_eq!(successor.generation(), Some(2));
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_expired_in_an_outage_is_held_until_it_returns_or_the_grace_ends() {
    let store = store_with(1, &["a", "b"]).await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(Duration::from_secs(1)).await;
    outage(&store, &mut entry).await;
    delete_upstream(&store, "a").await;
    delete_upstream(&store, "b").await;
    entry.run_for(Duration::from_secs(1)).await;
    assert_eq!(entry.upstreams(), ["a", "b"], "held for the grace period");
    put_upstream(&store, "a").await;
    entry.run_for(Duration::from_secs(4)).await;
    assert_eq!(entry.upstreams(), ["a"], "one has registered again, the other is removed");
}

#[tokio::test(start_paused = true)]
async fn entries_with_and_without_held_upstreams_agree() {
    let store = store_with(1, &["a", "b"]).await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(Duration::from_secs(1)).await;
    outage(&store, &mut entry).await;
    delete_upstream(&store, "a").await;
    entry.run_for(Duration::from_secs(1)).await;
    let mut fresh = TestEntry::new("entry-2", &store);
    fresh.run_for(Duration::from_millis(500)).await;
    let before = store.counts().lists;
    for _ in 0..10 {
        send_confirmation(&entry, &fresh);
        send_confirmation(&fresh, &entry);
        fresh.run_for(Duration::from_millis(20)).await;
        entry.run_for(Duration::from_millis(20)).await;
    }
    assert_eq!(store.counts().lists, before, "neither reads the store because of the other");
}

#[tokio::test(start_paused = true)]
async fn a_peer_holds_the_upstreams_that_the_leader_holds() {
    let store = store_with(1, &["a", "b"]).await;
    let [mut leader, mut other] = start_pair(&store, Duration::from_secs(1)).await;
    outage(&store, &mut leader).await;
    leader.state.take_changes();
    delete_upstream(&store, "a").await;
    leader.run_for(Duration::from_secs(1)).await;
    let before = store.counts().lists;
    for change in leader.state.take_changes() {
        other.state.apply_peer_state(Some(change), leader.state.confirmation());
    }
    send_confirmation(&other, &leader);
    other.run_for(Duration::from_millis(100)).await;
    leader.run_for(Duration::from_millis(100)).await;
    assert_eq!(store.counts().lists, before, "neither reads the store because of the other");
    assert_eq!(other.upstreams(), ["a", "b"], "held for the grace period");
}

#[tokio::test(start_paused = true)]
async fn a_peer_change_during_a_watch_hides_no_configuration() {
    let store = store_with(1, &["a"]).await;
    let mut view = DeploymentView::new(TestCodec);
    let list = store.list(UPSTREAM_KIND, "").await.expect("listed");
    let since = list.revision;
    view.replace_upstreams(list, Instant::now());
    view.confirm_config(since);
    put_upstream(&store, "b").await;
    let object = store.get(UPSTREAM_KIND, "b").await.expect("present");
    put_config(&store, 2).await;
    // While a watch waits, a peer sends the change of the upstream. The watch then returns the same
    // event, with a revision that also covers the new configuration.
    let peer_change = ViewChange {
        base: since,
        revision: since + 1,
        puts: vec![object.clone()],
        ..ViewChange::default()
    };
    view.apply_change(peer_change, Instant::now());
    let batch = WatchBatch {
        revision: since + 2,
        events: vec![WatchEvent::Put { object }],
        ..WatchBatch::default()
    };
    view.apply_batch(batch, since, Instant::now());
    assert!(!view.watermark().is_config_current(), "the configuration has to be read");
}

#[tokio::test(start_paused = true)]
async fn the_removal_of_a_held_upstream_reaches_peers() {
    let store = store_with(1, &["a", "b"]).await;
    let [mut leader, other] = start_pair(&store, Duration::from_secs(1)).await;
    outage(&store, &mut leader).await;
    leader.state.take_changes();
    delete_upstream(&store, "a").await;
    leader.run_for(Duration::from_secs(4)).await;
    for change in leader.state.take_changes() {
        other.state.apply_peer_state(Some(change), leader.state.confirmation());
    }
    assert_eq!(leader.upstreams(), ["b"]);
    assert_eq!(other.upstreams(), ["b"]);
}

#[tokio::test(start_paused = true)]
async fn a_partitioned_leader_with_peers_holds_no_upstream_that_left() {
    let store = store_with(1, &["a", "b"]).await;
    let [mut leader, mut other] = start_pair(&store, Duration::from_secs(1)).await;
    // The leader cannot reach the store, while the other entry keeps confirming its view.
    fail_all_calls(&store);
    for _ in 0..10 {
        leader.run_for(Duration::from_millis(500)).await;
        recover(&store);
        other.run_for(Duration::from_millis(1100)).await;
        send_confirmation(&other, &leader);
        fail_all_calls(&store);
    }
    recover(&store);
    delete_upstream(&store, "a").await;
    leader.run_for(Duration::from_millis(1500)).await;
    assert_eq!(
        leader.upstreams(),
        ["b"],
        "no registration expired, so the missing upstream has left"
    );
}

/// Removes an upstream, and lets `entry` reach the store again and hear from `peer`, in this order or the
/// reverse.
async fn leave_and_reconnect(
    store: &StandinPlatform,
    peer: &mut TestEntry,
    entry: &mut TestEntry,
    is_peer_heard_first: bool,
) {
    delete_upstream(store, "a").await;
    peer.run_for(Duration::from_millis(100)).await;
    if is_peer_heard_first {
        send_confirmation(peer, entry);
    }
    entry.run_for(Duration::from_millis(900)).await;
    peer.run_for(Duration::from_millis(10)).await;
    send_confirmation(peer, entry);
    entry.run_for(Duration::from_millis(100)).await;
}

/// One entry cannot reach the store or its peers for ten seconds, in which the store works and an
/// upstream leaves. `is_peer_heard_first`: whether it gets a message of its peer before it reads
/// the store again.
async fn partition_one_entry(is_peer_heard_first: bool) {
    let store = store_with(1, &["a", "b"]).await;
    let [mut peer, mut entry] = start_pair(&store, Duration::from_millis(1100)).await;
    for _ in 0..10 {
        // Time for one watch of the peer to return.
        peer.run_for(Duration::from_millis(1100)).await;
        fail_all_calls(&store);
        entry.run_for(Duration::from_millis(100)).await;
        recover(&store);
    }
    leave_and_reconnect(&store, &mut peer, &mut entry, is_peer_heard_first).await;
    assert_eq!(entry.upstreams(), ["b"], "is_peer_heard_first: {is_peer_heard_first}");
}

#[tokio::test(start_paused = true)]
async fn an_entry_partitioned_alone_holds_no_upstream_that_left() {
    partition_one_entry(true).await;
    partition_one_entry(false).await;
}

#[tokio::test(start_paused = true)]
async fn an_entry_partitioned_in_an_outage_holds_expired_upstreams() {
    let store = store_with(1, &["a", "b"]).await;
    let [mut peer, mut entry] = start_pair(&store, Duration::from_millis(1100)).await;
    outage(&store, &mut peer).await;
    fail_all_calls(&store);
    entry.run_for(Duration::from_millis(100)).await;
    recover(&store);
    delete_upstream(&store, "a").await;
    peer.run_for(Duration::from_millis(800)).await;
    send_confirmation(&peer, &entry);
    entry.run_for(Duration::from_millis(900)).await;
    send_confirmation(&peer, &entry);
    entry.run_for(Duration::from_millis(100)).await;
    assert_eq!(entry.upstreams(), ["a", "b"], "the peer had the outage too");
}

/// Guards against an entry that takes the rest of its own partition for an outage of the store that had
/// ended long before, and sends requests to upstreams that have left meanwhile.
#[tokio::test(start_paused = true)]
async fn an_entry_partitioned_beyond_an_outage_holds_no_upstream_that_left() {
    for (is_peer_heard_first, since_outage) in [(true, 4), (false, 4), (false, 1)] {
        let store = store_with(1, &["a", "b"]).await;
        let [mut peer, mut entry] = start_pair(&store, Duration::from_millis(1100)).await;
        outage(&store, &mut peer).await;
        for _ in 0..since_outage {
            peer.run_for(Duration::from_secs(1)).await;
        }
        fail_all_calls(&store);
        entry.run_for(Duration::from_millis(100)).await;
        recover(&store);
        leave_and_reconnect(&store, &mut peer, &mut entry, is_peer_heard_first).await;
        // Registrations that expired in the outage may still return if it has ended just now.
        let expected: &[&str] = if since_outage > 2 { &["b"] } else { &["a", "b"] };
        assert_eq!(entry.upstreams(), expected, "{is_peer_heard_first} {since_outage}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_missed_a_change_reads_only_that_and_does_not_send_it() {
    let names: Vec<String> = (0..60).map(|index| format!("u{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let store = store_with(1, &names).await;
    let [mut leader, mut other] = start_pair(&store, Duration::from_millis(1100)).await;
    other.state.take_changes();
    delete_upstream(&store, "u7").await;
    leader.run_for(Duration::from_millis(500)).await;
    let before = store.counts();
    send_confirmation(&leader, &other);
    other.run_for(Duration::from_millis(500)).await;
    let after = store.counts();
    assert_eq!(other.upstreams().len(), 59);
    assert_eq!(after.lists, before.lists, "a list has several pages");
    assert!(after.total() - before.total() <= 3, "{before:?} {after:?}");
    assert!(other.state.take_changes().is_empty(), "the leader has already sent the change to all");
}

#[tokio::test(start_paused = true)]
async fn an_admitted_request_avoids_upstreams_that_left_or_drain() {
    let store = store_with(1, &["a", "b", "c"]).await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(Duration::from_millis(500)).await;
    let admitted = entry.state.snapshot.load_full().expect("configured");
    let is_draining = |name: &str| {
        let key = admitted.upstream_names[name];
        admitted.upstreams[key].is_draining()
    };
    assert!(!is_draining("a") && !is_draining("b"));
    delete_upstream(&store, "a").await;
    put(&store, UPSTREAM_KIND, "b", json!({ "service": "reads", "draining": true })).await;
    entry.run_for(APPLY_LIMIT).await;
    assert!(is_draining("a"), "it has left");
    assert!(is_draining("b"), "it drains");
    assert!(!is_draining("c"));
    put(&store, UPSTREAM_KIND, "b", json!({ "service": "reads", "draining": false })).await;
    entry.run_for(APPLY_LIMIT).await;
    assert!(!is_draining("b"), "it is ready again");
}

#[tokio::test(start_paused = true)]
async fn entries_that_disagree_list_at_a_limited_rate() {
    let store = store_with(1, &["a"]).await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(Duration::from_secs(1)).await;
    let mut confirmation = entry.state.confirmation().expect("confirmed");
    confirmation.mark.digest += 1;
    let before = store.counts().lists;
    for _ in 0..100 {
        entry.state.apply_peer_state(None, Some(confirmation));
        entry.run_for(Duration::from_millis(10)).await;
    }
    assert!(store.counts().lists - before <= 4, "{} lists in a second", store.counts().lists);
}

#[tokio::test(start_paused = true)]
async fn an_unanswered_watch_does_not_delay_changes_beyond_the_limit() {
    let store = store_with(1, &["a", "b"]).await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(Duration::from_millis(1500)).await;
    store.set_faults(FaultSettings { silence_open_watches: true, ..FaultSettings::default() });
    delete_upstream(&store, "a").await;
    put_config(&store, 2).await;
    // The platform allows three seconds after a connection stops answering.
    entry.run_for(Duration::from_secs(3)).await;
    assert_eq!((entry.upstreams(), entry.generation()), (vec!["b".to_owned()], Some(2)));
}

/// Guards against an entry that closes one gap after the other and never reads the configuration that
/// was written after what the peer knows.
#[tokio::test(start_paused = true)]
async fn a_configuration_that_the_revealing_peer_does_not_know_is_read_with_the_gap() {
    let store = store_with(1, &["a"]).await;
    let [mut leader, mut entry] = start_pair(&store, Duration::from_secs(2)).await;
    put_upstream(&store, "b").await;
    leader.run_for(Duration::from_millis(1200)).await;
    let heard = message("entry-1", "fd-a", 1);
    entry.state.apply_message(&heard, heard.caller_address);
    entry.state.freshness.confirm(Duration::ZERO);
    send_confirmation(&leader, &entry);
    put_config(&store, 2).await;
    entry.run_for(Duration::from_millis(500)).await;
    assert_eq!(entry.generation(), Some(2));
}

/// Guards against reads of a large configuration that are given up again and again on a slow link,
/// though their responses are on the way.
#[tokio::test(start_paused = true)]
async fn a_configuration_that_takes_longer_than_a_call_is_read() {
    let store = store_with(1, &["a"]).await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(Duration::from_millis(1500)).await;
    put_config(&store, 2).await;
    let slow = GatedStore::new(store).with_read_time(Duration::from_millis(900));
    let mut follower = StoreFollower::new(Arc::new(slow), Arc::clone(&entry.state));
    let steps = async {
        loop {
            let _ = follower.step().await;
        }
    };
    let _ = tokio::time::timeout(Duration::from_secs(4), steps).await;
    assert_eq!(entry.generation(), Some(2));
}

/// Guards against an entry that waits for the missing parts of one version after the other, and never
/// reads the configuration for itself.
#[tokio::test(start_paused = true)]
async fn a_series_of_incomplete_versions_does_not_delay_the_read_of_the_configuration() {
    let store = store_with(1, &["a"]).await;
    let [mut leader, mut entry] = start_pair(&store, Duration::from_secs(2)).await;
    put_config(&store, 2).await;
    leader.run_for(Duration::from_millis(1200)).await;
    let heard = message("entry-1", "fd-a", 1);
    entry.state.apply_message(&heard, heard.caller_address);
    entry.state.freshness.confirm(Duration::ZERO);
    send_confirmation(&leader, &entry);
    let state = Arc::clone(&entry.state);
    let parts = async {
        for version in 0..8 {
            state.apply_config_part(ConfigPart {
                era: Default::default(),
                version: 1000 + version,
                index: 0,
                count: 2,
                data: "a".to_owned(),
                relay_to: Vec::new(),
            });
            tokio::time::sleep(Duration::from_millis(200)).await;
            state.freshness.confirm(Duration::ZERO);
        }
    };
    tokio::join!(entry.run_for(Duration::from_millis(1600)), parts);
    assert_eq!(entry.generation(), Some(2));
}
