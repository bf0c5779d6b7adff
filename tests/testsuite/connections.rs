//! Connection pool of an upstream: connection limit over all entries, expiry, and unresponsive
//! connections.

use std::collections::VecDeque;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use heatherfall::limits::{EntryCountWindow, connection_share};
use heatherfall::serve::{Poolable, RequestDigest, UpstreamPool, UpstreamPoolSettings};
use heatherfall::util::SeededRandom;
use proptest::prelude::*;
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
    let unresponsive = pool.checkout(None).expect("an idle connection");
    let working = pool.checkout(None).expect("an idle connection");
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
    let cancelled = pool.checkout(None).expect("an idle connection");
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
    assert!(pool.checkout(None).is_none());
    assert_eq!(pool.open_connections(), 0);
}

#[tokio::test(start_paused = true)]
async fn no_more_than_the_share_is_open_and_an_idle_connection_is_replaced() {
    let pool = FakePool::new(UpstreamPoolSettings::default());
    fill(&pool, 2).await;
    let held = pool.checkout(None).expect("an idle connection");
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
    assert!(pool.checkout(None).is_none());
    assert_eq!(pool.open_connections(), 0);
}

/// What an upstream sends on a connection, and which send of which request it answers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct SentRefusal {
    request: u8,
    send: usize,
}

/// A step of a request: it is sent and refused; it is sent and run; or a refusal that was sent earlier on
/// one of the connections is sent once more where the next response is expected.
#[derive(Clone, Copy, Debug)]
enum SendStep {
    Refused(u8),
    Run(u8),
    Copied(usize),
}

fn send_steps() -> impl Strategy<Value = Vec<SendStep>> {
    let step = prop_oneof![
        (0..3u8).prop_map(SendStep::Refused),
        (0..3u8).prop_map(SendStep::Run),
        (0..8usize).prop_map(SendStep::Copied),
    ];
    prop::collection::vec(step, 1..40)
}

/// A connection whose upstream repeats refusals; clones share its state.
#[derive(Clone, Debug, Default)]
struct RepeatingConnection {
    /// Refusals that were sent on it.
    sent: Arc<Mutex<Vec<SentRefusal>>>,
    /// Copies that the upstream sends before its response to the next request.
    copies: Arc<Mutex<VecDeque<SentRefusal>>>,
}

impl Poolable for RepeatingConnection {
    fn is_open(&self) -> bool {
        true
    }
}

proptest! {
    /// Guards against a copy of a refusal that is taken for the response to a later send of the same
    /// request: the request would be called not run, or sent elsewhere, although it has run.
    #[test]
    fn a_refusal_is_credited_only_to_the_send_that_it_answers(
        steps in send_steps(),
        is_verified_only: bool,
    ) {
        let runtime = tokio::runtime::Builder::new_current_thread().enable_time().build().unwrap();
        let _guard = runtime.enter();
        let pool = UpstreamPool::new(UpstreamPoolSettings::default());
        let mut connections: Vec<RepeatingConnection> = Vec::new();
        let mut sends = 0;
        for step in steps {
            let (request, is_refused) = match step {
                SendStep::Refused(request) => (request, true),
                SendStep::Run(request) => (request, false),
                SendStep::Copied(number) => {
                    let sent = connections.iter().flat_map(|one| {
                        one.sent.lock().unwrap().iter().map(|refusal| (one.clone(), *refusal))
                            .collect::<Vec<_>>()
                    });
                    if let Some((one, refusal)) = sent.collect::<Vec<_>>().get(number) {
                        one.copies.lock().unwrap().push_back(*refusal);
                    }
                    continue;
                }
            };
            sends += 1;
            let digest = RequestDigest::of(&[request]);
            let pooled = if is_verified_only {
                pool.checkout_verified(Some(digest))
            } else {
                pool.checkout(Some(digest))
            };
            let mut held = pooled.unwrap_or_else(|| {
                connections.push(RepeatingConnection::default());
                let connection = connections[connections.len() - 1].clone();
                pool.register(connection, pool.reserve(MANY).expect("a permit"))
            });
            let own = SentRefusal { request, send: sends };
            if is_refused {
                held.connection.sent.lock().unwrap().push(own);
            }
            let copy = held.connection.copies.lock().unwrap().pop_front();
            match copy {
                // The response of another request: the connection is closed.
                Some(copy) if copy.request != request => continue,
                Some(copy) => prop_assert_eq!(copy, own, "the refusal of another send"),
                None if !is_refused => {}
                None => held.record_refusal(digest),
            }
            pool.release(held, MANY);
        }
    }
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
