//! A store that is restored from a copy: writes since the copy are lost, and their revisions are
//! assigned again.

use std::time::Duration;

use heatherfall::platform::StoreEra;
use heatherfall_standins::platform::{FaultSettings, StandinPlatform, StoreCopy};
use serde_json::json;

use crate::support::fleet::{
    TestEntry, UPSTREAM_KIND, delete_upstream, put, put_config, put_upstream,
};

/// Time within which a change must be active on a live entry.
const APPLY_LIMIT: Duration = Duration::from_secs(2);
/// Time in which a started entry reads and confirms its view.
const START_TIME: Duration = Duration::from_secs(3);

/// A store with one configuration and two upstreams.
async fn store_with(generation: u64) -> StandinPlatform {
    let store = StandinPlatform::default();
    put_config(&store, generation).await;
    put_upstream(&store, "a").await;
    put_upstream(&store, "b").await;
    store
}

/// Registers an upstream with a start time and the number of its statement.
async fn put_statement(store: &StandinPlatform, name: &str, is_draining: bool, sequence: u64) {
    let spec = json!({
        "service": "reads", "draining": is_draining, "started": 1000, "sequence": sequence,
    });
    put(store, UPSTREAM_KIND, name, spec).await;
}

/// Delivers the changes and the confirmation that `from` would send now to `to`.
fn deliver(from: &TestEntry, to: &TestEntry) {
    for change in from.state.take_changes() {
        to.state.apply_peer_state(Some(change), None);
    }
    to.state.apply_peer_state(None, from.state.confirmation());
}

/// Restores the store and writes to it until its revision is past the one before the restore.
async fn restore_and_pass(store: &StandinPlatform, copy: StoreCopy, generation: u64) {
    store.restore(copy);
    put_config(store, generation).await;
    for _ in 0..12 {
        put_upstream(store, "a").await;
    }
}

/// Guards against entries that keep an old configuration for good after a restore of the store.
#[tokio::test(start_paused = true)]
async fn a_configuration_written_after_a_restore_is_active_though_its_revision_was_assigned_before()
{
    let store = store_with(1).await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(START_TIME).await;
    let copy = store.take_copy();
    for _ in 0..6 {
        put_upstream(&store, "b").await;
    }
    put_config(&store, 2).await;
    entry.run_for(APPLY_LIMIT).await;
    assert_eq!(entry.generation(), Some(2));
    restore_and_pass(&store, copy, 3).await;
    entry.run_for(APPLY_LIMIT).await;
    assert_eq!(entry.generation(), Some(3));
}

/// Guards against a configuration that goes back with the store until it is written again.
#[tokio::test(start_paused = true)]
async fn a_restored_store_does_not_take_the_configuration_back() {
    let store = store_with(1).await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(START_TIME).await;
    let copy = store.take_copy();
    put_config(&store, 2).await;
    entry.run_for(APPLY_LIMIT).await;
    store.restore(copy);
    for _ in 0..10 {
        entry.run_for(Duration::from_millis(500)).await;
        assert_eq!(entry.generation(), Some(2));
    }
    put_config(&store, 2).await;
    entry.run_for(APPLY_LIMIT).await;
    assert_eq!(entry.generation(), Some(2));
    put_config(&store, 3).await;
    entry.run_for(APPLY_LIMIT).await;
    assert_eq!(entry.generation(), Some(3));
}

/// Guards against requests to upstreams whose draining or removal the restored store has lost.
#[tokio::test(start_paused = true)]
async fn an_upstream_that_drains_or_has_left_does_not_come_back_with_a_restored_store() {
    let store = store_with(1).await;
    for name in ["drains", "left", "stays"] {
        put_statement(&store, name, false, 4).await;
    }
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(START_TIME).await;
    assert_eq!(entry.upstreams(), ["a", "b", "drains", "left", "stays"]);
    let copy = store.take_copy();
    put_statement(&store, "drains", true, 5).await;
    put_statement(&store, "left", true, 5).await;
    entry.run_for(APPLY_LIMIT).await;
    delete_upstream(&store, "left").await;
    entry.run_for(APPLY_LIMIT).await;
    restore_and_pass(&store, copy, 1).await;
    for _ in 0..10 {
        entry.run_for(Duration::from_millis(300)).await;
        assert_eq!(entry.upstreams(), ["a", "b", "stays"]);
    }
    // A new process under the same name is another upstream.
    put(
        &store,
        UPSTREAM_KIND,
        "left",
        json!({ "service": "reads", "started": 2000, "sequence": 1 }),
    )
    .await;
    entry.run_for(APPLY_LIMIT).await;
    assert_eq!(entry.upstreams(), ["a", "b", "left", "stays"]);
}

/// Guards against the loss of upstreams whose registration the restored store has lost.
#[tokio::test(start_paused = true)]
async fn an_upstream_registered_after_the_copy_is_held_until_it_registers_again() {
    let store = store_with(1).await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(START_TIME).await;
    let copy = store.take_copy();
    put_upstream(&store, "new").await;
    put_upstream(&store, "gone").await;
    entry.run_for(APPLY_LIMIT).await;
    store.restore(copy);
    for _ in 0..4 {
        entry.run_for(Duration::from_millis(500)).await;
        assert_eq!(entry.upstreams(), ["a", "b", "gone", "new"]);
        put_upstream(&store, "new").await;
    }
    entry.run_for(APPLY_LIMIT).await;
    assert_eq!(entry.upstreams(), ["a", "b", "new"]);
}

/// Guards against entries that learn of a restore from their leader alone and stay on the old view.
#[tokio::test(start_paused = true)]
async fn an_entry_reads_everything_again_when_a_peer_has_seen_a_newer_era() {
    let store = store_with(1).await;
    let mut leader = TestEntry::new("entry-1", &store);
    let mut other = TestEntry::new("entry-2", &store);
    leader.run_for(START_TIME).await;
    other.run_for(START_TIME).await;
    let copy = store.take_copy();
    put_config(&store, 2).await;
    for _ in 0..6 {
        put_upstream(&store, "b").await;
    }
    leader.run_for(APPLY_LIMIT).await;
    other.run_for(APPLY_LIMIT).await;
    restore_and_pass(&store, copy, 3).await;
    leader.run_for(APPLY_LIMIT).await;
    assert_eq!(leader.generation(), Some(3));
    // A watch of its own would show the era too.
    store.set_faults(FaultSettings { silent_watches: true, ..FaultSettings::default() });
    let before = store.counts();
    deliver(&leader, &other);
    other.run_for(Duration::from_secs(1)).await;
    assert_eq!(other.generation(), Some(3));
    let after = store.counts();
    assert_eq!((after.lists - before.lists, after.gets - before.gets), (1, 1));
}

/// Guards against an entry that starts after a restore and serves the older configuration.
#[tokio::test(start_paused = true)]
async fn an_entry_that_starts_after_a_restore_gets_the_newest_configuration_from_its_peers() {
    let store = store_with(1).await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(START_TIME).await;
    let copy = store.take_copy();
    put_config(&store, 2).await;
    entry.run_for(APPLY_LIMIT).await;
    store.restore(copy);
    entry.run_for(APPLY_LIMIT).await;
    entry.state.take_changes();
    let mut fresh = TestEntry::new("entry-2", &store);
    fresh.run_for(APPLY_LIMIT).await;
    assert_eq!(fresh.generation(), Some(1), "the store has nothing newer");
    let before = store.counts();
    for _ in 0..10 {
        deliver(&fresh, &entry);
        deliver(&entry, &fresh);
        fresh.run_for(Duration::from_millis(50)).await;
        entry.run_for(Duration::from_millis(50)).await;
    }
    assert_eq!(fresh.generation(), Some(2));
    let after = store.counts();
    assert_eq!(after.lists, before.lists, "neither reads the store because of the other");
    assert_eq!(after.gets, before.gets, "neither reads the store because of the other");
    put_config(&store, 3).await;
    fresh.run_for(APPLY_LIMIT).await;
    assert_eq!(fresh.generation(), Some(3));
}

/// Guards against entries that follow only the first of several restores, or that ignore a restore
/// after which the era is lower or missing.
#[tokio::test(start_paused = true)]
async fn each_of_several_restores_is_followed_and_so_is_an_era_that_falls_or_is_missing() {
    let store = store_with(1).await;
    let copy = store.take_copy();
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(START_TIME).await;
    for generation in 2..5 {
        restore_and_pass(&store, copy.clone(), generation).await;
        entry.run_for(APPLY_LIMIT).await;
        assert_eq!(entry.generation(), Some(generation));
    }
    for (era, generation) in [(1, 5), (0, 6), (u64::MAX - 1, 7), (3, 8)] {
        restore_and_pass(&store, copy.clone(), generation).await;
        store.set_era(StoreEra(era));
        entry.run_for(APPLY_LIMIT).await;
        assert_eq!(entry.generation(), Some(generation), "era {era}");
    }
}

/// Guards against entries that rely on the era alone: a store that reports none may go back too.
#[tokio::test(start_paused = true)]
async fn a_store_without_an_era_that_goes_back_is_read_again() {
    let store = store_with(1).await;
    let copy = store.take_copy();
    let mut entry = TestEntry::new("entry-1", &store);
    for _ in 0..30 {
        put_upstream(&store, "b").await;
    }
    entry.run_for(START_TIME).await;
    store.restore(copy);
    store.set_era(StoreEra::UNKNOWN);
    put_config(&store, 2).await;
    put_upstream(&store, "c").await;
    entry.run_for(APPLY_LIMIT).await;
    assert_eq!(entry.generation(), Some(2));
    assert_eq!(entry.upstreams(), ["a", "b", "c"]);
}
