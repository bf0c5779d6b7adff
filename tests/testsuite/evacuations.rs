//! Evacuated failure domains, from the store and from peers, with outages, restores and former versions.

use std::time::Duration;

use heatherfall::fleet::evacuation::EvacuatedDomains;
use heatherfall::fleet::peer_message::ViewConfirmation;
use heatherfall::fleet::view::ViewChange;
use heatherfall::platform::PlatformStore;
use heatherfall_standins::platform::{FaultSettings, StandinPlatform};
use serde_json::json;
use tokio::time::{Instant, advance};

use crate::support::fleet::{EVACUATION_KIND, TestEntry, put, put_config, put_upstream};

/// Failure domain of the upstreams that the test codec decodes.
const DOMAIN: &str = "fd-a";
/// The platform's bound is 5 s; half of it is the target.
const TARGET: Duration = Duration::from_millis(2500);

async fn store() -> StandinPlatform {
    let store = StandinPlatform::default();
    put_config(&store, 1).await;
    put_upstream(&store, "a").await;
    store
}

async fn evacuate(store: &StandinPlatform) {
    put(store, EVACUATION_KIND, DOMAIN, json!({})).await;
}

async fn take_back(store: &StandinPlatform) {
    let object = store.get(EVACUATION_KIND, DOMAIN).await.expect("evacuated");
    store.delete(EVACUATION_KIND, DOMAIN, object.spec_version).await.expect("deleted");
}

/// An entry that tracks evacuations and has followed the store for two seconds.
async fn entry(vm: &str, store: &StandinPlatform) -> TestEntry {
    let mut entry = TestEntry::with_evacuations(vm, store);
    entry.run_for(Duration::from_secs(2)).await;
    entry
}

fn accepts_attempts(entry: &TestEntry) -> bool {
    let snapshot = entry.state.snapshot.load_full().expect("active");
    let upstream = snapshot.upstreams.values().next().expect("registered");
    upstream.accepts_attempts(Instant::now())
}

/// Guards against upstreams of an evacuated domain that still get attempts, or never get them again.
#[tokio::test(start_paused = true)]
async fn an_evacuation_holds_from_half_of_the_bound_until_it_is_taken_back() {
    let store = store().await;
    let mut entry = entry("entry-1", &store).await;
    assert!(accepts_attempts(&entry));
    for _ in 0..2 {
        evacuate(&store).await;
        entry.run_for(TARGET).await;
        assert!(!accepts_attempts(&entry), "still served");
        take_back(&store).await;
        entry.run_for(TARGET).await;
        assert!(accepts_attempts(&entry), "not served again");
    }
}

/// Guards against a request that was admitted before the evacuation and is sent after it.
#[tokio::test(start_paused = true)]
async fn an_evacuation_applies_to_configurations_that_requests_still_hold() {
    let store = store().await;
    let mut entry = entry("entry-1", &store).await;
    let held = entry.state.snapshot.load_full().expect("active");
    evacuate(&store).await;
    entry.run_for(TARGET).await;
    assert!(held.upstreams.values().all(|upstream| !upstream.accepts_attempts(Instant::now())));
}

/// Guards against an entry that becomes ready without knowing an evacuation that is in force.
#[tokio::test(start_paused = true)]
async fn an_entry_knows_the_evacuations_when_it_becomes_ready() {
    let store = store().await;
    evacuate(&store).await;
    let mut entry = TestEntry::with_evacuations("entry-1", &store);
    entry.follower.step().await.expect("read");
    assert!(!accepts_attempts(&entry));
}

/// Guards against an outage of the store that ends an evacuation.
#[tokio::test(start_paused = true)]
async fn an_evacuation_stays_while_the_store_is_down() {
    let store = store().await;
    let mut entry = entry("entry-1", &store).await;
    evacuate(&store).await;
    entry.run_for(TARGET).await;
    store.set_faults(FaultSettings { down: true, ..FaultSettings::default() });
    entry.run_for(Duration::from_secs(20)).await;
    assert!(!accepts_attempts(&entry));
}

/// Guards against an evacuation that ends by itself because the store was restored from a copy without
/// it, before the operator has written it again; and against one that never ends.
#[tokio::test(start_paused = true)]
async fn an_evacuation_that_a_restored_store_has_lost_stays_until_it_is_written_again() {
    for is_written_again in [true, false] {
        let store = store().await;
        let mut entry = entry("entry-1", &store).await;
        let copy = store.take_copy();
        evacuate(&store).await;
        entry.run_for(TARGET).await;
        store.restore(copy);
        entry.run_for(Duration::from_secs(10)).await;
        assert!(!accepts_attempts(&entry), "ended by itself");
        if is_written_again {
            evacuate(&store).await;
        }
        entry.run_for(Duration::from_secs(20)).await;
        assert_eq!(accepts_attempts(&entry), !is_written_again);
    }
}

/// Guards against a leader of a former version that confirms a view whose evacuations it does not know:
/// the entry must read them itself once its last confirmation is too old.
#[tokio::test(start_paused = true)]
async fn only_peers_that_track_evacuations_confirm_a_view() {
    let store = store().await;
    let mut peers = [TestEntry::new("former", &store), TestEntry::with_evacuations("new", &store)];
    for peer in &mut peers {
        peer.run_for(Duration::from_secs(2)).await;
    }
    let entry = entry("entry-1", &store).await;
    let age = Duration::from_secs(3);
    advance(age).await;
    let [former, new] = peers.map(|peer| peer.state.confirmation().expect("confirmed"));
    for (peer, is_confirmed) in [(former, false), (new, true)] {
        let recent = ViewConfirmation { age_ms: 0, ..peer };
        entry.state.apply_peer_state(None, Some(recent));
        let is_fresh = entry.state.freshness.age().is_some_and(|known| known < age);
        assert_eq!(is_fresh, is_confirmed);
    }
}

/// Guards against messages that former versions cannot read, and messages of theirs that this version
/// cannot read.
#[test]
fn changes_without_evacuations_are_those_of_former_versions() {
    let text = serde_json::to_string(&ViewChange::default()).expect("serializes");
    assert!(!text.contains("evacuations"), "{text}");
    let former: ViewChange = serde_json::from_str(&text).expect("a change of a former version");
    assert_eq!(former.evacuations, None);
}

/// Guards against an evacuation that a peer reports and that is not applied or not compared.
#[tokio::test(start_paused = true)]
async fn a_change_of_a_peer_replaces_the_set_and_the_digest_shows_it() {
    let store = store().await;
    let entry = entry("entry-1", &store).await;
    let position = entry.state.confirmation().expect("confirmed").mark;
    let domains = EvacuatedDomains([DOMAIN.to_owned()].into());
    let change = ViewChange {
        base: position.revision,
        revision: position.revision,
        era: position.era,
        evacuations: Some(domains.clone()),
        ..ViewChange::default()
    };
    entry.state.apply_peer_state(Some(change), None);
    assert!(!accepts_attempts(&entry));
    let mark = entry.state.confirmation().expect("confirmed").mark;
    assert_eq!(mark.evacuations, Some(domains.digest()));
    assert!(!mark.matches(&position));
}
