//! A store that is restored from a copy: writes since the copy are lost, and their revisions are
//! assigned again.

use std::time::Duration;

use heatherfall_standins::platform::{StandinPlatform, StoreCopy};

use crate::support::fleet::{TestEntry, put_config, put_upstream};

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
