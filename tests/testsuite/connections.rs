//! Connection pool of an upstream: connection limit over all entries, expiry, and unresponsive
//! connections.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use heatherfall::limits::{EntryCountWindow, connection_share};
use heatherfall::serve::{Poolable, UpstreamPool, UpstreamPoolSettings};
use heatherfall::util::SeededRandom;
use tokio::time::Instant;

const MANY: u32 = 100;

#[derive(Clone, Debug)]
struct FakeConnection(Arc<AtomicBool>);

impl Poolable for FakeConnection {
    fn is_open(&self) -> bool {
        self.0.load(Ordering::Relaxed)
    }
}

type FakePool = UpstreamPool<FakeConnection>;

fn connection() -> FakeConnection {
    FakeConnection(Arc::new(AtomicBool::new(true)))
}

/// Opens `count` connections, completes an exchange of 1 ms on each, and leaves them idle.
async fn fill(pool: &FakePool, count: u32) {
    let mut held = Vec::new();
    for _ in 0..count {
        let permit = pool.reserve(MANY).expect("a permit");
        held.push(pool.register(connection(), permit));
    }
    tokio::time::advance(Duration::from_millis(1)).await;
    for one in held {
        pool.release(one, MANY);
    }
}

#[tokio::test(start_paused = true)]
async fn an_unresponsive_connection_closes_all_that_were_not_verified_since() {
    let pool = FakePool::new(UpstreamPoolSettings::default());
    fill(&pool, 6).await;
    tokio::time::advance(Duration::from_secs(5)).await;
    let unresponsive = pool.checkout().expect("an idle connection");
    let working = pool.checkout().expect("an idle connection");
    tokio::time::advance(Duration::from_millis(1)).await;
    pool.release(working, MANY);
    tokio::time::advance(Duration::from_millis(99)).await;
    assert_eq!(pool.abandon(unresponsive), 4);
    assert_eq!(
        (pool.idle_connections(), pool.open_connections()),
        (1, 1),
        "the verified connection stays open"
    );
}

#[tokio::test(start_paused = true)]
async fn a_slow_response_or_a_new_connection_closes_no_others() {
    let pool = FakePool::new(UpstreamPoolSettings::default());
    fill(&pool, 3).await;
    let cancelled = pool.checkout().expect("an idle connection");
    tokio::time::advance(Duration::from_millis(20)).await;
    assert_eq!(pool.abandon(cancelled), 0);
    let permit = pool.reserve(MANY).expect("a permit");
    let new_connection = pool.register(connection(), permit);
    tokio::time::advance(Duration::from_secs(2)).await;
    assert_eq!(pool.abandon(new_connection), 0);
    assert_eq!((pool.idle_connections(), pool.open_connections()), (2, 2));
}

#[tokio::test(start_paused = true)]
async fn connections_expire_at_their_maximum_age_but_not_all_at_once() {
    let settings = UpstreamPoolSettings { idle_timeout: Duration::MAX / 4, ..Default::default() };
    let pool = FakePool::new(settings.clone());
    fill(&pool, 12).await;
    tokio::time::advance(settings.max_age.mul_f64(0.9)).await;
    pool.trim(MANY);
    assert!((1..12).contains(&pool.idle_connections()), "{} left", pool.idle_connections());
    tokio::time::advance(settings.max_age.mul_f64(0.1)).await;
    assert!(pool.checkout().is_none());
    assert_eq!(pool.open_connections(), 0);
}

#[tokio::test(start_paused = true)]
async fn no_more_than_the_share_is_open_and_an_idle_connection_is_replaced() {
    let pool = FakePool::new(UpstreamPoolSettings::default());
    fill(&pool, 2).await;
    let held = pool.checkout().expect("an idle connection");
    let permit = pool.reserve(2).expect("the idle connection is replaced");
    assert!(pool.reserve(2).is_none());
    assert_eq!(pool.open_connections(), 2);
    drop(permit);
    let permit = pool.reserve(2).expect("a permit");
    let other = pool.register(connection(), permit);
    // Another entry has joined, so the share is now 1.
    pool.release(held, 1);
    assert_eq!((pool.idle_connections(), pool.open_connections()), (0, 1));
    pool.release(other, 1);
    assert_eq!((pool.idle_connections(), pool.open_connections()), (1, 1));
}

#[tokio::test(start_paused = true)]
async fn a_connection_closed_by_the_upstream_is_not_checked_out() {
    let pool = FakePool::new(UpstreamPoolSettings::default());
    let closed = connection();
    let held = pool.register(closed.clone(), pool.reserve(MANY).expect("a permit"));
    pool.release(held, MANY);
    closed.0.store(false, Ordering::Relaxed);
    assert!(pool.checkout().is_none());
    assert_eq!(pool.open_connections(), 0);
}

/// An entry that learns of joining and leaving entries with a delay.
struct EntryModel {
    count: EntryCountWindow,
    delay: Duration,
    is_live: bool,
}

#[tokio::test(start_paused = true)]
async fn the_shares_of_all_entries_stay_within_the_limit_while_entries_join_and_leave() {
    const CONNECTION_LIMIT: u32 = 250;
    let mut random = SeededRandom::new(19);
    let mut history: Vec<(Instant, u32)> = Vec::new();
    let mut entries: Vec<EntryModel> = Vec::new();
    let (mut max_sum, mut max_naive_sum) = (0, 0);
    for step in 0..20_000u32 {
        let now = Instant::now();
        let live_entries = entries.iter().filter(|entry| entry.is_live).count() as u32;
        // At most two entries join within the longest delay until the others learn of it.
        let is_join_time = step % 50 == 0 && live_entries < 40;
        if step == 0 || is_join_time {
            for _ in 0..if step == 0 { 17 } else { random.below(3) } {
                let delay = Duration::from_millis(random.below(4000) as u64);
                entries.push(EntryModel {
                    count: EntryCountWindow::default(),
                    delay,
                    is_live: true,
                });
            }
        }
        if live_entries > 6 && random.below(60) == 0 {
            let index = random.below(entries.len());
            entries[index].is_live = false;
        }
        entries.retain(|entry| entry.is_live);
        history.push((now, entries.len() as u32));
        let (mut sum, mut naive) = (0, 0);
        for entry in &mut entries {
            let known = history.iter().rev().find(|(at, _)| now.duration_since(*at) >= entry.delay);
            let known = known.map_or(17, |(_, count)| *count);
            entry.count.observe(known, now);
            sum += connection_share(CONNECTION_LIMIT, entry.count.sharing_entries());
            naive += CONNECTION_LIMIT / known;
        }
        max_sum = max_sum.max(sum);
        max_naive_sum = max_naive_sum.max(naive);
        tokio::time::advance(Duration::from_millis(100)).await;
    }
    println!(
        "most connections of {CONNECTION_LIMIT}: {max_sum}; by current count: {max_naive_sum}"
    );
    assert!(max_sum <= CONNECTION_LIMIT, "{max_sum}");
    assert!(
        max_naive_sum > CONNECTION_LIMIT,
        "the current count alone also stays within the limit: {max_naive_sum}"
    );
}

#[test]
fn an_entry_without_known_peers_takes_a_small_share() {
    assert_eq!(connection_share(250, EntryCountWindow::default().sharing_entries()), 3);
}
