//! Leases whose holders are paused, lose responses or release them.

use std::sync::Arc;
use std::time::Duration;

use heatherfall::membership::{LEASE_DURATION, LEASE_KIND, LeaseManager, LeaseSpec, LeaseState};
use heatherfall::platform::PlatformStore;
use heatherfall_standins::platform::{FaultSettings, StandinPlatform};

use crate::support::{GatedStore, PausePoint};

async fn stored(platform: &StandinPlatform) -> LeaseSpec {
    let object = platform.get(LEASE_KIND, "one").await.expect("a lease");
    serde_json::from_value(object.spec).expect("a lease's spec")
}

/// Retries until `manager` holds the lease; returns the term.
async fn acquire(manager: &mut LeaseManager, platform: &StandinPlatform) -> u64 {
    loop {
        if let Ok(LeaseState::Held { term }) = manager.acquire_or_renew(platform).await {
            return term;
        }
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

#[tokio::test(start_paused = true)]
async fn a_holder_paused_at_any_step_of_its_renewal_never_takes_the_lease_back() {
    for point in [PausePoint::BeforeRead, PausePoint::BeforeWrite, PausePoint::AfterWrite] {
        for is_held_before in [false, true] {
            let platform = StandinPlatform::default();
            let store = Arc::new(GatedStore::new(platform.clone()));
            let mut paused = LeaseManager::new("one", "a", "10.0.0.1:1");
            if is_held_before {
                paused.acquire_or_renew(&*store).await.expect("acquired");
            }
            store.pause_at(point);
            let gated = Arc::clone(&store);
            let step = tokio::spawn(async move {
                let state = paused.acquire_or_renew(&*gated).await;
                (paused, state)
            });
            tokio::time::sleep(Duration::from_millis(10)).await;
            let mut other = LeaseManager::new("one", "b", "10.0.0.2:1");
            let term = acquire(&mut other, &platform).await;
            store.resume();
            let (mut paused, state) = step.await.expect("the renewal task does not panic");
            // A holder that was paused after its write may still report that it holds the lease.
            // Its next write shows that it does not; meanwhile the other node's lease stays valid.
            let reports_held = matches!(state, Ok(LeaseState::Held { .. }));
            assert!(!reports_held || point != PausePoint::BeforeWrite, "{point:?} {state:?}");
            assert_eq!(stored(&platform).await.holder, "b", "{point:?}");
            let next = paused.acquire_or_renew(&*store).await.expect("the platform responds");
            assert!(matches!(next, LeaseState::NotHeld(_)), "{point:?} {next:?}");
            assert_eq!(paused.term(), None);
            let lease = stored(&platform).await;
            assert_eq!((lease.holder.as_str(), lease.term), ("b", term), "{point:?}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_lease_is_taken_over_only_after_its_duration_and_a_released_one_at_once() {
    let platform = StandinPlatform::default();
    let mut first = LeaseManager::new("one", "a", "10.0.0.1:1");
    let mut second = LeaseManager::new("one", "b", "10.0.0.2:1");
    first.acquire_or_renew(&platform).await.expect("acquired");
    let started = tokio::time::Instant::now();
    acquire(&mut second, &platform).await;
    assert!(started.elapsed() >= LEASE_DURATION, "{:?}", started.elapsed());
    second.release(&platform).await;
    // The first holder's lease has expired, so it acquires the free lease under a new term.
    let state = first.acquire_or_renew(&platform).await.expect("the platform responds");
    assert_eq!(state, LeaseState::Held { term: 3 });
}

#[tokio::test(start_paused = true)]
async fn a_renewal_whose_response_is_lost_is_recognised_and_a_released_lease_is_not_renewed() {
    let platform = StandinPlatform::default();
    let mut manager = LeaseManager::new("one", "a", "10.0.0.1:1");
    manager.acquire_or_renew(&platform).await.expect("acquired");
    platform.set_faults(FaultSettings { lose_write_answers: 1, ..FaultSettings::default() });
    let state = manager.acquire_or_renew(&platform).await.expect("recognised as its own");
    assert!(matches!(state, LeaseState::Held { .. }), "{state:?}");
    assert_eq!(stored(&platform).await.holder, "a");
    let term = manager.term().expect("held");
    manager.release(&platform).await;
    let lease = stored(&platform).await;
    assert_eq!((lease.holder.as_str(), lease.term), ("", term), "terms never decrease");
}
