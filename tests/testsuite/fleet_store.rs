//! Entries that follow a store which holds the whole configuration.

use std::time::Duration;

use heatherfall::fleet::view::{DeploymentView, ViewChange};
use heatherfall::platform::{PlatformStore, WatchBatch, WatchEvent};
use heatherfall_standins::platform::{FaultSettings, StandinPlatform};
use serde_json::json;
use tokio::time::Instant;

use crate::support::fleet::{
    TestCodec, TestEntry, UPSTREAM_KIND, delete_upstream, put, put_config, put_upstream,
};

/// Time within which a change must be in force on a live entry.
const APPLY_LIMIT: Duration = Duration::from_secs(2);

async fn store_with(generation: u64, upstreams: &[&str]) -> StandinPlatform {
    let store = StandinPlatform::default();
    put_config(&store, generation).await;
    for name in upstreams {
        put_upstream(&store, name).await;
    }
    store
}

/// The store refuses all calls from now on.
fn take_down(store: &StandinPlatform) {
    store.set_faults(FaultSettings { down: true, ..FaultSettings::default() });
}

/// The store answers again.
fn bring_back(store: &StandinPlatform) {
    store.set_faults(FaultSettings::default());
}

/// Two entries that have followed the store for `time` each, one after the other.
async fn pair(store: &StandinPlatform, time: Duration) -> [TestEntry; 2] {
    let mut entries = [TestEntry::new("entry-1", store), TestEntry::new("entry-2", store)];
    for entry in &mut entries {
        entry.run_for(time).await;
    }
    entries
}

/// The store is away for five seconds while `entry` goes on.
async fn outage(store: &StandinPlatform, entry: &mut TestEntry) {
    take_down(store);
    entry.run_for(Duration::from_secs(5)).await;
    bring_back(store);
}

/// The words that `from` would send now reach `to`.
fn pass_on(from: &TestEntry, to: &TestEntry) {
    to.state.apply_peer_state(None, from.state.confirmation());
}

#[tokio::test(start_paused = true)]
async fn changes_are_in_force_within_the_limit() {
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
async fn an_absent_configuration_is_not_asked_for_again_and_again() {
    let store = StandinPlatform::default();
    put_upstream(&store, "a").await;
    let before = store.counts().gets;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(Duration::from_secs(2)).await;
    // One that may be old and one that confirms it.
    assert!(store.counts().gets - before <= 2, "{:?}", store.counts());
    put_config(&store, 1).await;
    entry.run_for(APPLY_LIMIT).await;
    assert_eq!(entry.generation(), Some(1));
}

#[tokio::test(start_paused = true)]
async fn changes_that_come_together_cost_few_calls() {
    let store = store_with(1, &["a"]).await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(Duration::from_secs(1)).await;
    let before = store.counts().total();
    for index in 0..40 {
        put_upstream(&store, &format!("new-{index}")).await;
        entry.run_for(Duration::from_millis(10)).await;
    }
    entry.run_for(Duration::from_millis(200)).await;
    let own_writes = 2 * 40;
    let calls = store.counts().total() - before - own_writes;
    assert!(calls <= 12, "{calls} calls for 40 changes within 400 ms");
    assert_eq!(entry.upstreams().len(), 41);
}

#[tokio::test(start_paused = true)]
async fn a_configuration_that_changed_before_a_list_is_read() {
    let store = store_with(1, &["a"]).await;
    let [mut entry, mut other] = pair(&store, Duration::from_secs(1)).await;
    // Another entry has missed a change, and the list that it reads for it already covers the
    // revision of a new configuration.
    put_upstream(&store, "b").await;
    entry.run_for(Duration::from_millis(50)).await;
    put_config(&store, 2).await;
    pass_on(&entry, &other);
    other.run_for(APPLY_LIMIT).await;
    assert_eq!(other.generation(), Some(2));
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_takes_over_reads_a_configuration_that_the_reader_had_not() {
    let store = store_with(1, &["a"]).await;
    let [_reader, mut heir] = pair(&store, Duration::from_secs(1)).await;
    put_config(&store, 2).await;
    put_upstream(&store, "b").await;
    // The reader dies between the answer of its watch and its read of the configuration: its last
    // words hold the revision, but not the configuration.
    let revision = store.list(UPSTREAM_KIND, "").await.expect("listed").revision;
    let words = ViewChange { base: 2, revision, ..ViewChange::default() };
    heir.state.apply_peer_state(Some(words), None);
    heir.run_for(APPLY_LIMIT).await;
    assert_eq!(heir.generation(), Some(2));
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_lapsed_in_an_outage_is_kept_until_it_is_back_or_gone() {
    let store = store_with(1, &["a", "b"]).await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(Duration::from_secs(1)).await;
    outage(&store, &mut entry).await;
    delete_upstream(&store, "a").await;
    delete_upstream(&store, "b").await;
    entry.run_for(Duration::from_secs(1)).await;
    assert_eq!(entry.upstreams(), ["a", "b"], "kept for now");
    put_upstream(&store, "a").await;
    entry.run_for(Duration::from_secs(4)).await;
    assert_eq!(entry.upstreams(), ["a"], "one is back, the other is gone");
}

#[tokio::test(start_paused = true)]
async fn entries_that_keep_lapsed_upstreams_and_those_that_do_not_agree() {
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
        pass_on(&entry, &fresh);
        pass_on(&fresh, &entry);
        fresh.run_for(Duration::from_millis(20)).await;
        entry.run_for(Duration::from_millis(20)).await;
    }
    assert_eq!(store.counts().lists, before, "neither reads the store because of the other");
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_hears_of_lapsed_upstreams_agrees_with_the_reader() {
    let store = store_with(1, &["a", "b"]).await;
    let [mut reader, mut other] = pair(&store, Duration::from_secs(1)).await;
    outage(&store, &mut reader).await;
    reader.state.take_changes();
    delete_upstream(&store, "a").await;
    reader.run_for(Duration::from_secs(1)).await;
    let before = store.counts().lists;
    for change in reader.state.take_changes() {
        other.state.apply_peer_state(Some(change), reader.state.confirmation());
    }
    pass_on(&other, &reader);
    other.run_for(Duration::from_millis(100)).await;
    reader.run_for(Duration::from_millis(100)).await;
    assert_eq!(store.counts().lists, before, "neither reads the store because of the other");
    assert_eq!(other.upstreams(), ["a", "b"], "kept for now");
}

#[tokio::test(start_paused = true)]
async fn a_change_that_overtakes_a_watch_hides_no_configuration() {
    let store = store_with(1, &["a"]).await;
    let mut view = DeploymentView::new(TestCodec);
    let list = store.list(UPSTREAM_KIND, "").await.expect("listed");
    let since = list.revision;
    view.replace_upstreams(list, Instant::now());
    view.confirm_config(since);
    put_upstream(&store, "b").await;
    let object = store.get(UPSTREAM_KIND, "b").await.expect("present");
    put_config(&store, 2).await;
    // While a watch waits, another entry tells of the upstream. The watch then brings its event
    // again, with a revision that also covers the new configuration.
    let told = ViewChange {
        base: since,
        revision: since + 1,
        puts: vec![object.clone()],
        ..ViewChange::default()
    };
    view.apply_change(told, Instant::now());
    let batch = WatchBatch { revision: since + 2, events: vec![WatchEvent::Put { object }] };
    view.apply_batch(batch, since, Instant::now());
    assert!(!view.watermark().is_config_current(), "the configuration has to be read");
}

#[tokio::test(start_paused = true)]
async fn the_end_of_a_kept_upstream_is_in_force_where_it_is_heard() {
    let store = store_with(1, &["a", "b"]).await;
    let [mut reader, other] = pair(&store, Duration::from_secs(1)).await;
    outage(&store, &mut reader).await;
    reader.state.take_changes();
    delete_upstream(&store, "a").await;
    reader.run_for(Duration::from_secs(4)).await;
    for change in reader.state.take_changes() {
        other.state.apply_peer_state(Some(change), reader.state.confirmation());
    }
    assert_eq!(reader.upstreams(), ["b"]);
    assert_eq!(other.upstreams(), ["b"]);
}

#[tokio::test(start_paused = true)]
async fn a_cut_of_one_entry_keeps_no_upstream_that_left() {
    let store = store_with(1, &["a", "b"]).await;
    let [mut reader, mut other] = pair(&store, Duration::from_secs(1)).await;
    // The first entry loses the store for a while; the other one goes on confirming its view.
    take_down(&store);
    for _ in 0..10 {
        reader.run_for(Duration::from_millis(500)).await;
        bring_back(&store);
        other.run_for(Duration::from_millis(1100)).await;
        pass_on(&other, &reader);
        take_down(&store);
    }
    bring_back(&store);
    delete_upstream(&store, "a").await;
    reader.run_for(Duration::from_millis(1500)).await;
    assert_eq!(reader.upstreams(), ["b"], "nobody's lease lapsed");
}

/// An entry loses the store and its peers for ten seconds, in which the store is there and an
/// upstream leaves. `hears_first` says whether it hears its peers before it reads the store again.
async fn cut_off_alone(hears_first: bool) {
    let store = store_with(1, &["a", "b"]).await;
    let [mut peer, mut entry] = pair(&store, Duration::from_millis(1100)).await;
    for _ in 0..10 {
        // One watch of the peer returns.
        peer.run_for(Duration::from_millis(1100)).await;
        take_down(&store);
        entry.run_for(Duration::from_millis(100)).await;
        bring_back(&store);
    }
    delete_upstream(&store, "a").await;
    peer.run_for(Duration::from_millis(100)).await;
    if hears_first {
        pass_on(&peer, &entry);
    }
    entry.run_for(Duration::from_millis(900)).await;
    peer.run_for(Duration::from_millis(10)).await;
    pass_on(&peer, &entry);
    entry.run_for(Duration::from_millis(100)).await;
    assert_eq!(entry.upstreams(), ["b"], "hears first: {hears_first}");
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_was_cut_off_alone_keeps_nothing_that_left_meanwhile() {
    cut_off_alone(true).await;
    cut_off_alone(false).await;
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_was_cut_off_in_an_outage_keeps_what_lapsed() {
    let store = store_with(1, &["a", "b"]).await;
    let [mut peer, mut entry] = pair(&store, Duration::from_millis(1100)).await;
    outage(&store, &mut peer).await;
    take_down(&store);
    entry.run_for(Duration::from_millis(100)).await;
    bring_back(&store);
    delete_upstream(&store, "a").await;
    peer.run_for(Duration::from_millis(800)).await;
    pass_on(&peer, &entry);
    entry.run_for(Duration::from_millis(900)).await;
    pass_on(&peer, &entry);
    entry.run_for(Duration::from_millis(100)).await;
    assert_eq!(entry.upstreams(), ["a", "b"], "the peer's view was not steady either");
}

#[tokio::test(start_paused = true)]
async fn an_entry_that_missed_a_change_reads_only_that_and_tells_nobody() {
    let names: Vec<String> = (0..60).map(|index| format!("u{index}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let store = store_with(1, &names).await;
    let [mut reader, mut other] = pair(&store, Duration::from_millis(1100)).await;
    other.state.take_changes();
    delete_upstream(&store, "u7").await;
    reader.run_for(Duration::from_millis(500)).await;
    let before = store.counts();
    pass_on(&reader, &other);
    other.run_for(Duration::from_millis(500)).await;
    let after = store.counts();
    assert_eq!(other.upstreams().len(), 59);
    assert_eq!(after.lists, before.lists, "a list has several pages");
    assert!(after.total() - before.total() <= 3, "{before:?} {after:?}");
    assert!(other.state.take_changes().is_empty(), "the reader has told all");
}

#[tokio::test(start_paused = true)]
async fn a_request_admitted_before_an_upstream_left_is_not_sent_there_any_more() {
    let store = store_with(1, &["a", "b", "c"]).await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(Duration::from_millis(500)).await;
    let admitted = entry.state.snapshot.load_full().expect("configured");
    let taken_out = |name: &str| {
        let key = admitted.upstream_names[name];
        admitted.upstreams[key].is_draining()
    };
    assert!(!taken_out("a") && !taken_out("b"));
    delete_upstream(&store, "a").await;
    put(&store, UPSTREAM_KIND, "b", json!({ "service": "reads", "draining": true })).await;
    entry.run_for(APPLY_LIMIT).await;
    assert!(taken_out("a"), "it is gone");
    assert!(taken_out("b"), "it drains");
    assert!(!taken_out("c"));
    put(&store, UPSTREAM_KIND, "b", json!({ "service": "reads", "draining": false })).await;
    entry.run_for(APPLY_LIMIT).await;
    assert!(!taken_out("b"), "it has changed its mind");
}

#[tokio::test(start_paused = true)]
async fn entries_that_disagree_do_not_storm_the_store() {
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
async fn a_watch_that_goes_silent_delays_no_change_beyond_the_limit() {
    let store = store_with(1, &["a", "b"]).await;
    let mut entry = TestEntry::new("entry-1", &store);
    entry.run_for(Duration::from_millis(1500)).await;
    store.set_faults(FaultSettings { silence_open_watches: true, ..FaultSettings::default() });
    delete_upstream(&store, "a").await;
    put_config(&store, 2).await;
    // The platform counts three seconds after a silence before the limit holds again.
    entry.run_for(Duration::from_secs(3)).await;
    assert_eq!((entry.upstreams(), entry.generation()), (vec!["b".to_owned()], Some(2)));
}
