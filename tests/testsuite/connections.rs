//! Connections to upstreams: the cap over all entries, age, and silence.

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

/// Opens `count` connections, lets each carry an exchange of 1 ms, and leaves them idle.
async fn fill(pool: &FakePool, count: u32) {
    let mut held = Vec::new();
    for _ in 0..count {
        let place = pool.reserve(MANY).expect("a place");
        held.push(pool.register(connection(), place));
    }
    tokio::time::advance(Duration::from_millis(1)).await;
    for one in held {
        pool.release(one, MANY);
    }
}

#[tokio::test(start_paused = true)]
async fn when_one_connection_is_silent_all_that_are_no_better_proven_are_closed() {
    let pool = FakePool::new(UpstreamPoolSettings::default());
    fill(&pool, 6).await;
    tokio::time::advance(Duration::from_secs(5)).await;
    let silent = pool.checkout().expect("idle");
    let working = pool.checkout().expect("idle");
    tokio::time::advance(Duration::from_millis(1)).await;
    pool.release(working, MANY);
    tokio::time::advance(Duration::from_millis(99)).await;
    assert_eq!(pool.abandon(silent), 4);
    assert_eq!((pool.idle_connections(), pool.open_connections()), (1, 1), "the proven one stays");
}

#[tokio::test(start_paused = true)]
async fn a_slow_answer_or_a_fresh_connection_closes_no_others() {
    let pool = FakePool::new(UpstreamPoolSettings::default());
    fill(&pool, 3).await;
    let cancelled = pool.checkout().expect("idle");
    tokio::time::advance(Duration::from_millis(20)).await;
    assert_eq!(pool.abandon(cancelled), 0);
    let place = pool.reserve(MANY).expect("a place");
    let fresh = pool.register(connection(), place);
    tokio::time::advance(Duration::from_secs(2)).await;
    assert_eq!(pool.abandon(fresh), 0);
    assert_eq!((pool.idle_connections(), pool.open_connections()), (2, 2));
}

#[tokio::test(start_paused = true)]
async fn connections_end_at_their_age_but_not_all_at_once() {
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
async fn no_more_than_the_share_is_open_and_an_idle_one_makes_room() {
    let pool = FakePool::new(UpstreamPoolSettings::default());
    fill(&pool, 2).await;
    let held = pool.checkout().expect("idle");
    let place = pool.reserve(2).expect("the idle one makes room");
    assert!(pool.reserve(2).is_none());
    assert_eq!(pool.open_connections(), 2);
    drop(place);
    let place = pool.reserve(2).expect("a place");
    let other = pool.register(connection(), place);
    // An entry has joined: one is enough now.
    pool.release(held, 1);
    assert_eq!((pool.idle_connections(), pool.open_connections()), (0, 1));
    pool.release(other, 1);
    assert_eq!((pool.idle_connections(), pool.open_connections()), (1, 1));
}

#[tokio::test(start_paused = true)]
async fn a_connection_closed_by_the_other_end_is_not_handed_out() {
    let pool = FakePool::new(UpstreamPoolSettings::default());
    let closed = connection();
    let held = pool.register(closed.clone(), pool.reserve(MANY).expect("a place"));
    pool.release(held, MANY);
    closed.0.store(false, Ordering::Relaxed);
    assert!(pool.checkout().is_none());
    assert_eq!(pool.open_connections(), 0);
}

/// An entry that learns of joins and leaves after a time.
struct EntryModel {
    count: EntryCountWindow,
    lag: Duration,
    is_live: bool,
}

#[tokio::test(start_paused = true)]
async fn the_shares_of_all_entries_stay_within_the_cap_while_entries_come_and_go() {
    const CAP: u32 = 250;
    let mut random = SeededRandom::new(19);
    let mut history: Vec<(Instant, u32)> = Vec::new();
    let mut entries: Vec<EntryModel> = Vec::new();
    let (mut worst, mut worst_naive) = (0, 0);
    for step in 0..20_000u32 {
        let now = Instant::now();
        let live = entries.iter().filter(|entry| entry.is_live).count() as u32;
        // At most two join within the time that it takes to learn of it.
        let is_join_time = step % 50 == 0 && live < 40;
        if step == 0 || is_join_time {
            for _ in 0..if step == 0 { 17 } else { random.below(3) } {
                let lag = Duration::from_millis(random.below(4000) as u64);
                entries.push(EntryModel { count: EntryCountWindow::default(), lag, is_live: true });
            }
        }
        if live > 6 && random.below(60) == 0 {
            let index = random.below(entries.len());
            entries[index].is_live = false;
        }
        entries.retain(|entry| entry.is_live);
        history.push((now, entries.len() as u32));
        let (mut sum, mut naive) = (0, 0);
        for entry in &mut entries {
            let known = history.iter().rev().find(|(at, _)| now.duration_since(*at) >= entry.lag);
            let known = known.map_or(17, |(_, count)| *count);
            entry.count.observe(known, now);
            sum += connection_share(CAP, entry.count.sharing_entries());
            naive += CAP / known;
        }
        worst = worst.max(sum);
        worst_naive = worst_naive.max(naive);
        tokio::time::advance(Duration::from_millis(100)).await;
    }
    println!("most connections of {CAP}: {worst}, by the present count alone: {worst_naive}");
    assert!(worst <= CAP, "{worst}");
    assert!(worst_naive > CAP, "the trial is too easy: {worst_naive}");
}

#[test]
fn an_entry_that_knows_of_no_other_takes_a_small_share() {
    assert_eq!(connection_share(250, EntryCountWindow::default().sharing_entries()), 3);
}
