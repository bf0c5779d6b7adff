//! Enrolment of entries, and the store calls that it costs.

use std::sync::Arc;
use std::time::Duration;

use heatherfall::fleet::peer_table::EntryRegistration;
use heatherfall::fleet::read_schedule::{ChangeBounds, ReadSchedule};
use heatherfall::fleet::store_follower::StoreService;
use heatherfall::kernel::ServiceTask;
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
