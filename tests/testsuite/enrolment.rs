//! Enrolment of entries, and the store calls that it costs.

use std::cell::Cell;
use std::collections::HashMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use heatherfall::fleet::peer_message::PeerMessage;
use heatherfall::fleet::peer_table::{EntryRegistration, MessageScope};
use heatherfall::fleet::read_schedule::{ChangeBounds, ReadSchedule};
use heatherfall::fleet::roster::DomainRoster;
use heatherfall::fleet::store_follower::StoreService;
use heatherfall::kernel::ServiceTask;
use heatherfall::membership::EntryState;
use heatherfall::platform::PlatformStore;
use heatherfall::util::SeededRandom;
use heatherfall_standins::platform::{CallCounts, StandinPlatform};
use serde_json::json;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::support::fleet::{TestEntry, put, put_config, put_upstream};
use crate::support::{GatedStore, PausePoint};

/// Failure domain of all entries.
const DOMAIN: &str = "fd-a";
/// Object kind of the rosters.
const ROSTER_KIND: &str = "heatherfall-rosters";
/// Time in which the entries of a new deployment enrol.
const ENROLMENT_TIME: Duration = Duration::from_secs(8);
/// Time between two messages of an entry.
const MESSAGE_INTERVAL: Duration = Duration::from_millis(200);
/// Messages of an entry from one that goes to all others to the next.
const MESSAGES_PER_BROADCAST: u64 = 5;
/// Most store calls that a new entry costs in its first half minute.
const MAX_CALLS_AN_ENTRY: f64 = 1.0;
/// Cost of a relaxed read as a fraction of another call.
pub(crate) const RELAXED_COST: f64 = 0.1;

/// A running entry.
pub(crate) struct RunningEntry {
    pub(crate) entry: TestEntry,
    pub(crate) vm: String,
    registration: EntryRegistration,
    pub(crate) stop: CancellationToken,
    /// Whether its last message told that it is enrolled.
    has_announced: Cell<bool>,
}

/// Starts the store service of an entry. The digits in its name give its addresses.
pub(crate) fn start(vm: &str, store: &StandinPlatform, seed: u64) -> RunningEntry {
    start_with(vm, store, Arc::new(store.clone()), seed)
}

/// The same, with a client of its own for the store.
fn start_with<S: PlatformStore>(
    vm: &str,
    store: &StandinPlatform,
    client: Arc<S>,
    seed: u64,
) -> RunningEntry {
    let number = vm.rsplit('-').next().and_then(|digits| digits.parse::<u16>().ok());
    let host = [10, 0, (number.unwrap_or(0) >> 8) as u8, number.unwrap_or(0) as u8];
    let registration = EntryRegistration {
        failure_domain: DOMAIN.to_owned(),
        caller_address: (host, 2).into(),
        peer_address: (host, 3).into(),
    };
    let entry = TestEntry::at(vm, host, store);
    let stop = CancellationToken::new();
    let service = StoreService {
        store: client,
        state: Arc::clone(&entry.state),
        registration: registration.clone(),
        random: SeededRandom::new(seed),
    };
    tokio::spawn(service.run(stop.clone()));
    RunningEntry { entry, vm: vm.to_owned(), registration, stop, has_announced: Cell::default() }
}

/// Delivers the messages of entries that know the key, for `time`: those of the leader to all that it
/// knows, those of the others to the leader candidates, and now and then to all.
pub(crate) async fn exchange_messages(entries: &[RunningEntry], time: Duration) {
    static SEQUENCE: AtomicU64 = AtomicU64::new(0);
    let mut by_address = HashMap::new();
    for running in entries {
        by_address.insert(running.registration.peer_address, running);
    }
    let until = Instant::now() + time;
    // Of this call: the sequence also counts the messages of other tests, which run at the same time.
    let mut round = 0_u64;
    while Instant::now() < until {
        tokio::time::sleep(MESSAGE_INTERVAL).await;
        round += 1;
        let sequence = SEQUENCE.fetch_add(1, Ordering::Relaxed);
        for sender in entries {
            if sender.entry.state.message_keys().is_none() {
                continue;
            }
            let changes = sender.entry.state.take_changes();
            let has_announced = sender.has_announced.replace(sender.entry.state.is_enrolled());
            let is_news = !changes.is_empty() || sender.has_announced.get() != has_announced;
            let is_broadcast = round.is_multiple_of(MESSAGES_PER_BROADCAST) || is_news;
            let scope =
                if is_broadcast { MessageScope::All } else { MessageScope::LeaderCandidates };
            let message = sender.message(sequence);
            for address in sender.entry.state.recipients(scope) {
                let Some(receiver) = by_address.get(&address) else { continue };
                let state = &receiver.entry.state;
                if state.message_keys().is_none()
                    || !state.apply_message(&message, sender.registration.peer_address)
                {
                    continue;
                }
                for change in &changes {
                    state.apply_peer_state(Some(change.clone()), None);
                }
                state.apply_peer_state(None, message.confirmation);
            }
        }
    }
}

impl RunningEntry {
    /// A message without loads or a change.
    fn message(&self, sequence: u64) -> PeerMessage {
        PeerMessage {
            vm: self.vm.clone(),
            incarnation: 1,
            sequence,
            failure_domain: DOMAIN.to_owned(),
            caller_address: self.registration.caller_address,
            state: EntryState::Ready,
            is_enrolled: self.entry.state.is_enrolled(),
            confirmation: self.entry.state.confirmation(),
            alive: Vec::new(),
            has_no_path: false,
            no_path: Vec::new(),
            loads: Vec::new(),
            change: None,
            limits: Vec::new(),
            config_part: None,
            cold: Vec::new(),
            uptime_ms: None,
            grants_permits: false,
            is_granting: false,
            permit_requests: Vec::new(),
            permit_answers: Vec::new(),
        }
    }
}

/// Names of the entries on the roster of the store.
async fn listed(store: &StandinPlatform) -> Vec<String> {
    let roster = store.get(ROSTER_KIND, DOMAIN).await.expect("a roster");
    DomainRoster::decode(&roster).entries.into_keys().collect()
}

pub(crate) fn start_all(count: u64, store: &StandinPlatform) -> Vec<RunningEntry> {
    (0..count).map(|index| start(&format!("entry-{index}"), store, index)).collect()
}

/// Guards against a start of the fleet that costs more store calls for each entry the more there
/// are.
#[tokio::test(start_paused = true)]
async fn a_new_deployment_of_any_size_enrols_within_one_store_call_an_entry() {
    for count in [20, 100, 300] {
        let store = StandinPlatform::default();
        put_config(&store, 1).await;
        let before = store.counts();
        let entries = start_all(count, &store);
        exchange_messages(&entries, ENROLMENT_TIME).await;
        assert_eq!(listed(&store).await.len() as u64, count);
        for running in &entries {
            assert_eq!(u64::from(running.entry.known_entries()), count, "{}", running.vm);
        }
        let settled = store.counts();
        exchange_messages(&entries, Duration::from_secs(22)).await;
        let counts = store.counts();
        let cost = |from: CallCounts, to: CallCounts| {
            let relaxed = (to.relaxed - from.relaxed) as f64;
            (to.total() - from.total()) as f64 - (1.0 - RELAXED_COST) * relaxed
        };
        let (all, calm) = (cost(before, counts), cost(settled, counts));
        println!("{count} entries: {all:.1} calls in 30 s, {calm:.1} of them in the last 22 s");
        // The calls of the leader, which do not depend on the number of entries, weigh more in a
        // small deployment.
        if count == 300 {
            assert!(all <= MAX_CALLS_AN_ENTRY * count as f64, "{all} calls of {count} entries");
        }
        // One watch a second, which may be followed by a read of the configuration, and a last
        // relaxed read an entry.
        assert!(calm - RELAXED_COST * count as f64 <= 44.0, "{calm} calls of {count} entries");
    }
}

/// Guards against an entry that stays unknown because the one that would list it has stopped.
#[tokio::test(start_paused = true)]
async fn a_new_entry_is_listed_though_all_listed_entries_have_stopped() {
    let store = StandinPlatform::default();
    put_config(&store, 1).await;
    let first = start("entry-1", &store, 1);
    tokio::time::sleep(ENROLMENT_TIME).await;
    first.stop.cancel();
    let _second = start("entry-2", &store, 2);
    tokio::time::sleep(ENROLMENT_TIME).await;
    assert_eq!(listed(&store).await, ["entry-1", "entry-2"]);
}

/// Guards against a damaged roster that keeps entries from being listed or known.
#[tokio::test(start_paused = true)]
async fn invalid_rosters_and_records_are_ignored_and_mended() {
    for spec in
        [json!(7), json!({ "entries": { "entry-9": 1, "entry-1": { "caller_address": 2 } } })]
    {
        let store = StandinPlatform::default();
        put_config(&store, 1).await;
        put(&store, ROSTER_KIND, DOMAIN, spec.clone()).await;
        let entries = [start("entry-1", &store, 1), start("entry-2", &store, 2)];
        exchange_messages(&entries, ENROLMENT_TIME).await;
        assert_eq!(listed(&store).await, ["entry-1", "entry-2"], "{spec}");
        assert_eq!(entries[0].entry.known_entries(), 2, "{spec}");
    }
}

/// Guards against entries of this and the former version that do not know each other during a
/// rolling update.
#[tokio::test(start_paused = true)]
async fn entries_that_the_former_version_registered_are_known() {
    let store = StandinPlatform::default();
    put_config(&store, 1).await;
    put(&store, "heatherfall-keys", "peers", json!("a key")).await;
    let registration = json!({
        "failure_domain": DOMAIN, "caller_address": "10.0.0.9:2", "peer_address": "10.0.0.9:3",
    });
    put(&store, "heatherfall-entries", "entry-9", registration).await;
    let entries = [start("entry-1", &store, 1), start("entry-2", &store, 2)];
    exchange_messages(&entries, ENROLMENT_TIME).await;
    for running in &entries {
        assert_eq!(running.entry.known_entries(), 3);
        let former = ([10, 0, 0, 9], 3).into();
        assert!(
            running.entry.state.recipients(MessageScope::All).contains(&former),
            "gets messages"
        );
    }
}

/// Guards against an entry that never learns of the entries that another failure domain gets later, and against
/// requests for that which cost a store call each.
#[tokio::test(start_paused = true)]
async fn entries_that_other_failure_domains_get_later_are_learnt_on_request() {
    let store = StandinPlatform::default();
    put_config(&store, 1).await;
    let running = start("entry-1", &store, 1);
    tokio::time::sleep(ENROLMENT_TIME * 2).await;
    let other = json!({ "entries": { "other-1": {
        "failure_domain": "fd-b", "caller_address": "10.0.1.9:2", "peer_address": "10.0.1.9:3",
    } } });
    put(&store, ROSTER_KIND, "fd-b", other).await;
    tokio::time::sleep(ENROLMENT_TIME).await;
    assert_eq!(running.entry.known_entries(), 1, "rosters are not read without a reason");
    running.entry.state.request_rosters();
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(running.entry.known_entries(), 2);
    let before = store.counts().relaxed;
    for _ in 0..100 {
        running.entry.state.request_rosters();
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
    let reads = store.counts().relaxed - before;
    assert!((1..=2).contains(&reads), "{reads} reads in 10 s");
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
    let former = start("entry-1", &store, 1);
    tokio::time::sleep(Duration::from_secs(8)).await;
    former.stop.cancel();
    let writes = store.counts().writes;
    let RunningEntry { entry, stop, .. } = start("entry-1", &store, 2);
    // Two watches are due in this time, each of which may be followed by a read of the
    // configuration.
    let calls = count_non_relaxed_calls(&store, Duration::from_millis(1500)).await;
    stop.cancel();
    assert_eq!(store.counts().writes, writes, "the restart writes nothing");
    assert!(calls <= 4, "{calls} calls");
    assert_eq!(entry.upstreams(), ["a"]);
}

/// Guards against many entries that follow the store because they do not know each other yet.
#[tokio::test(start_paused = true)]
async fn only_one_entry_of_a_new_deployment_follows_the_store() {
    let store = StandinPlatform::default();
    put_config(&store, 1).await;
    let entries = start_all(10, &store);
    exchange_messages(&entries, ENROLMENT_TIME).await;
    // One watch a second, and one for each change of the upstreams.
    let watches = store.counts().watches;
    assert!(watches <= ENROLMENT_TIME.as_secs() + 2, "{watches} watches");
    for running in &entries {
        assert_eq!(running.entry.known_entries(), 10, "{} does not know all", running.vm);
    }
}

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
    let entries = start_all(5, &store);
    exchange_messages(&entries, ENROLMENT_TIME).await;
    for round in 0..3 {
        exchange_messages(&entries, Duration::from_secs(4)).await;
        let key = stored_key(&store).await.expect("a key");
        store.restore(copy.clone());
        let before = store.counts();
        exchange_messages(&entries, REWRITE_LIMIT).await;
        assert_eq!(stored_key(&store).await, Some(key), "round {round}");
        assert_eq!(listed(&store).await.len(), 5, "round {round}");
        let writes = store.counts().writes - before.writes;
        assert!(writes <= 2 * 5, "{writes} writes of 5 entries in round {round}");
    }
}

/// Guards against a key and a registration that stay lost because the first read of the configuration
/// after the restore gets no response.
#[tokio::test(start_paused = true)]
async fn the_key_is_written_again_though_the_read_after_a_restore_fails() {
    let store = StandinPlatform::default();
    put_config(&store, 1).await;
    let copy = store.take_copy();
    let client = Arc::new(GatedStore::new(store.clone()));
    let running = start_with("entry-1", &store, Arc::clone(&client), 1);
    tokio::time::sleep(ENROLMENT_TIME).await;
    let key = stored_key(&store).await;
    client.pause_at(PausePoint::BeforeRead);
    store.restore(copy);
    tokio::time::sleep(Duration::from_secs(3)).await;
    client.resume();
    tokio::time::sleep(2 * REWRITE_LIMIT).await;
    assert_eq!(stored_key(&store).await, key);
    assert_eq!(listed(&store).await, [running.vm]);
}

/// Guards against an entry whose messages the others reject, because it started between a restore
/// and the rewrite of the key.
#[tokio::test(start_paused = true)]
async fn all_entries_use_one_key_though_one_started_while_the_store_had_none() {
    let store = StandinPlatform::default();
    put_config(&store, 1).await;
    let copy = store.take_copy();
    let old = start("entry-1", &store, 1);
    tokio::time::sleep(Duration::from_secs(8)).await;
    let old_datagram = old.entry.state.message_keys().expect("a key").sign(b"before");
    store.restore(copy);
    let entries = [old, start("entry-2", &store, 2)];
    exchange_messages(&entries, Duration::from_secs(4)).await;
    let keys = entries.each_ref().map(|running| running.entry.state.message_keys());
    let keys = keys.map(|keys| keys.expect("a key"));
    assert_eq!(keys[0].verify(&keys[1].sign(b"to the old")), Ok(&b"to the old"[..]));
    assert_eq!(keys[1].verify(&keys[0].sign(b"to the fresh")), Ok(&b"to the fresh"[..]));
    assert_eq!(keys[0].verify(&old_datagram), Ok(&b"before"[..]), "still in flight");
    assert_eq!(listed(&store).await, ["entry-1", "entry-2"]);
}

#[test]
fn a_shorter_bound_gives_a_shorter_schedule() {
    let normal = ReadSchedule::default();
    let short = ChangeBounds { drain: Duration::from_secs(1), ..ChangeBounds::default() };
    let short = ReadSchedule::new(&short);
    assert_eq!(normal.watch_wait, Duration::from_millis(880));
    assert_eq!(short.watch_wait, Duration::from_millis(440));
    for rank in 0..=8 {
        assert!(short.confirmation_limit + short.rank_delay * rank < Duration::from_millis(800));
        assert!(normal.confirmation_limit + normal.rank_delay * rank < normal.min_outage);
    }
    let quick = ChangeBounds { heartbeat: Duration::from_millis(600), ..ChangeBounds::default() };
    let quick = ReadSchedule::new(&quick);
    assert!(quick.confirmation_limit + quick.rank_delay * 8 < quick.min_outage);
    assert!(quick.min_outage < 2 * Duration::from_millis(600), "two heartbeats may be missed");
}
