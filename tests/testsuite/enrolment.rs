//! Enrolment of entries, and the store calls that it costs.

use std::sync::Arc;
use std::time::Duration;

use heatherfall::fleet::peer_table::EntryRegistration;
use heatherfall::fleet::read_schedule::{ChangeBounds, ReadSchedule};
use heatherfall::fleet::store_follower::StoreService;
use heatherfall::kernel::ServiceTask;
use heatherfall::platform::PlatformStore;
use heatherfall::util::SeededRandom;
use heatherfall_standins::platform::{CallCounts, StandinPlatform};
use tokio_util::sync::CancellationToken;

use crate::support::fleet::{TestEntry, put_config, put_upstream};

/// Starts the store service of an entry.
fn start(vm: &str, store: &StandinPlatform, seed: u64) -> (TestEntry, CancellationToken) {
    let entry = TestEntry::new(vm, store);
    let stop = CancellationToken::new();
    let service = StoreService {
        store: Arc::new(store.clone()),
        state: Arc::clone(&entry.state),
        registration: EntryRegistration {
            failure_domain: "fd-a".to_owned(),
            caller_address: ([127, 0, 0, 1], 2).into(),
            peer_address: ([127, 0, 0, 1], 3).into(),
        },
        random: SeededRandom::new(seed),
    };
    tokio::spawn(service.run(stop.clone()));
    (entry, stop)
}

/// Number of store calls other than relaxed reads within `time` of the paused clock.
async fn count_non_relaxed_calls(store: &StandinPlatform, time: Duration) -> u64 {
    let non_relaxed = |counts: CallCounts| counts.total() - counts.relaxed;
    let before = non_relaxed(store.counts());
    tokio::time::sleep(time).await;
    non_relaxed(store.counts()) - before
}

#[tokio::test(start_paused = true)]
async fn a_restarted_entry_enrols_by_relaxed_reads_only() {
    let store = StandinPlatform::default();
    put_config(&store, 1).await;
    put_upstream(&store, "a").await;
    let (_entry, stop) = start("entry-1", &store, 1);
    tokio::time::sleep(Duration::from_secs(8)).await;
    stop.cancel();
    let writes = store.counts().writes;
    let (entry, stop) = start("entry-1", &store, 2);
    // Two watches are due in this time, each of which may be followed by a read of the
    // configuration.
    let calls = count_non_relaxed_calls(&store, Duration::from_millis(1500)).await;
    stop.cancel();
    assert_eq!(store.counts().writes, writes, "the restart writes nothing");
    assert!(calls <= 4, "{calls} calls");
    assert_eq!(entry.upstreams(), ["a"]);
}

#[tokio::test(start_paused = true)]
async fn entries_of_a_new_deployment_list_each_other_before_one_leads() {
    let store = StandinPlatform::default();
    put_config(&store, 1).await;
    let mut entries = Vec::new();
    for index in 0..10 {
        let (entry, _stop) = start(&format!("entry-{index}"), &store, index);
        entries.push(entry);
    }
    tokio::time::sleep(Duration::from_millis(1100)).await;
    assert_eq!(store.counts().watches, 0, "no entry acts as leader yet");
    tokio::time::sleep(Duration::from_millis(1000)).await;
    for entry in &entries {
        assert_eq!(entry.state.membership.load().entries.len(), 1, "no message has been received");
        assert_eq!(entry.known_entries(), 10, "all registrations are listed");
    }
}

/// Kind of the entries' registrations.
const ENTRY_KIND: &str = "heatherfall-entries";
/// Time within which a restored store has the registrations and the key again.
const REWRITE_LIMIT: Duration = Duration::from_secs(2);

/// The key that the store has.
async fn stored_key(store: &StandinPlatform) -> Option<String> {
    let key = store.get("heatherfall-keys", "peers").await.ok()?;
    key.spec.as_str().map(str::to_owned)
}

/// Guards against entries that are unknown for good, and a second key, after a restore from a copy
/// that is older than both.
#[tokio::test(start_paused = true)]
async fn registrations_and_the_key_that_a_restored_store_has_lost_are_written_again() {
    let store = StandinPlatform::default();
    put_config(&store, 1).await;
    let copy = store.take_copy();
    let mut entries = Vec::new();
    for index in 0..5 {
        entries.push(start(&format!("entry-{index}"), &store, index));
    }
    for round in 0..3 {
        tokio::time::sleep(Duration::from_secs(4)).await;
        let key = stored_key(&store).await.expect("a key");
        store.restore(copy.clone());
        let before = store.counts();
        tokio::time::sleep(REWRITE_LIMIT).await;
        assert_eq!(stored_key(&store).await, Some(key), "round {round}");
        let registered = store.list(ENTRY_KIND, "").await.expect("listed").items.len();
        assert_eq!(registered, 5, "round {round}");
        let writes = store.counts().writes - before.writes;
        assert!(writes <= 2 * 5, "{writes} writes of 5 entries in round {round}");
    }
}

/// Guards against an entry whose messages the others reject, because it started between a restore
/// and the rewrite of the key.
#[tokio::test(start_paused = true)]
async fn all_entries_use_one_key_though_one_started_while_the_store_had_none() {
    let store = StandinPlatform::default();
    put_config(&store, 1).await;
    let copy = store.take_copy();
    let (old, _old_stop) = start("entry-1", &store, 1);
    tokio::time::sleep(Duration::from_secs(8)).await;
    let old_datagram = old.state.message_keys().expect("a key").sign(b"before");
    store.restore(copy);
    let (fresh, _fresh_stop) = start("entry-2", &store, 2);
    tokio::time::sleep(Duration::from_secs(4)).await;
    let keys = [&old, &fresh].map(|entry| entry.state.message_keys().expect("a key"));
    assert_eq!(keys[0].verify(&keys[1].sign(b"to the old")), Ok(&b"to the old"[..]));
    assert_eq!(keys[1].verify(&keys[0].sign(b"to the fresh")), Ok(&b"to the fresh"[..]));
    assert_eq!(keys[0].verify(&old_datagram), Ok(&b"before"[..]), "still in flight");
    assert_eq!(store.list(ENTRY_KIND, "").await.expect("listed").items.len(), 2);
}

#[test]
fn a_shorter_bound_gives_a_shorter_schedule() {
    let normal = ReadSchedule::default();
    let short = ChangeBounds { drain: Duration::from_secs(1), ..ChangeBounds::default() };
    let short = ReadSchedule::new(&short);
    assert_eq!(normal.watch_wait, Duration::from_secs(1));
    assert_eq!(short.watch_wait, Duration::from_millis(500));
    for rank in 0..=8 {
        assert!(short.confirmation_limit + short.rank_delay * rank < Duration::from_millis(800));
        assert!(normal.confirmation_limit + normal.rank_delay * rank < normal.min_outage);
    }
    let quick = ChangeBounds { heartbeat: Duration::from_millis(600), ..ChangeBounds::default() };
    let quick = ReadSchedule::new(&quick);
    assert!(quick.confirmation_limit + quick.rank_delay * 8 < quick.min_outage);
    assert!(quick.min_outage < 2 * Duration::from_millis(600), "two heartbeats may be missed");
}
