//! Requests that crash upstreams: when they are refused, and how the entries share that, on the
//! paused clock.

use std::time::Duration;

use heatherfall::fleet::crash_update::{
    CrashRelay, DueRecords, RecordScope, decode_crash_update, encode_crash_updates,
};
use heatherfall::fleet::peer_message::{MessageError, MessageKey};
use heatherfall::limits::{
    CrashRecord, QuarantineSettings, QuarantineTable, RecordEffect, RequestFingerprint,
    RequestTraits, TraitSets,
};
use heatherfall::util::SeededRandom;
use proptest::prelude::*;
use tokio::time::{Instant, advance};

const TRAITS: RequestTraits = RequestTraits { query: 1, caller: 1, headers: 1 };
const REQUEST: RequestFingerprint = RequestFingerprint { target: 7, content: 1, traits: TRAITS };
/// All sets of traits.
const ALL_SETS: TraitSets = TraitSets(u8::MAX);
/// Differs from [`REQUEST`] in the content alone.
const OTHER: RequestFingerprint = RequestFingerprint { content: 2, ..REQUEST };

fn crash(request: RequestFingerprint, upstream: u32, age_ms: u64) -> CrashRecord {
    let age = Duration::from_millis(age_ms);
    CrashRecord { request, upstream, cleared: TraitSets::default(), age }
}

fn crash_three(table: &QuarantineTable) {
    for upstream in 1..=3 {
        table.record_crash(REQUEST, upstream, Instant::now());
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_is_refused_once_three_upstreams_have_ended_under_it_and_no_other_is() {
    let table = QuarantineTable::default();
    for (upstream, effect) in [
        (1, RecordEffect::New),
        (2, RecordEffect::New),
        // Sent twice to the same process.
        (2, RecordEffect::None),
        (3, RecordEffect::Refused),
        (4, RecordEffect::New),
    ] {
        assert_eq!(table.record_crash(REQUEST, upstream, Instant::now()), effect);
    }
    table.record_crash(OTHER, 1, Instant::now());
    let left = table.refusal_left(REQUEST, Instant::now());
    assert_eq!(left, Some(QuarantineSettings::default().refusal_time));
    assert_eq!(table.refusal_left(OTHER, Instant::now()), None);
    assert_eq!(table.refused_requests(Instant::now()), 1);
}

/// A request that differs from [`REQUEST`] in these traits.
fn varied(query: u32, caller: u32, headers: u32) -> RequestFingerprint {
    RequestFingerprint { traits: RequestTraits { query, caller, headers }, ..REQUEST }
}

/// Guards against a request that is taken for a new one each time because a trait changes that does
/// not matter.
#[tokio::test(start_paused = true)]
async fn traits_that_differ_among_the_crashes_do_not_matter_and_the_others_do() {
    let crashing = [
        [varied(1, 1, 1), varied(2, 1, 1), varied(3, 1, 1)],
        [varied(1, 1, 1), varied(1, 2, 1), varied(1, 3, 1)],
        [varied(1, 1, 1), varied(1, 1, 2), varied(2, 1, 1)],
    ];
    let (refused, others) = (
        [varied(9, 1, 1), varied(1, 9, 1), varied(9, 1, 9)],
        [varied(9, 9, 1), varied(1, 9, 9), varied(1, 9, 1)],
    );
    for (index, requests) in crashing.into_iter().enumerate() {
        let table = QuarantineTable::default();
        for (request, upstream) in requests.into_iter().zip(1..) {
            table.record_crash(request, upstream, Instant::now());
            advance(Duration::from_millis(100)).await;
        }
        let now = Instant::now();
        assert!(table.refusal_left(refused[index], now).is_some(), "refused {index}");
        assert_eq!(table.refusal_left(others[index], now), None, "other {index}");
        advance(QuarantineSettings::default().partial_refusal_time).await;
        let now = Instant::now();
        assert_eq!(table.refusal_left(refused[index], now), None, "refused too long {index}");
    }
}

/// Guards against the refusal of a popular target whose upstreams fail together.
#[tokio::test(start_paused = true)]
async fn upstreams_that_fail_together_do_not_have_a_popular_target_refused() {
    let table = QuarantineTable::default();
    for upstream in 1..=10 {
        table.record_crash(varied(1, upstream, 1), upstream, Instant::now());
        advance(Duration::from_millis(4)).await;
    }
    assert_eq!(table.refusal_left(varied(1, 99, 1), Instant::now()), None);
}

/// Guards against the refusal of everybody else's requests for a target.
#[tokio::test(start_paused = true)]
async fn a_response_to_another_caller_shows_that_the_caller_matters() {
    let table = QuarantineTable::default();
    for upstream in 1..=6 {
        table.record_crash(varied(1, upstream, 1), upstream, Instant::now());
        advance(Duration::from_millis(100)).await;
        if upstream % 2 == 0 {
            table.record_response(varied(1, 99, 1), Instant::now());
        }
    }
    assert_eq!(table.refusal_left(varied(1, 98, 1), Instant::now()), None);
}

/// Guards against a message to all entries for each response of a popular target.
#[tokio::test(start_paused = true)]
async fn responses_that_clear_nothing_further_are_not_shared() {
    let table = QuarantineTable::default();
    table.record_crash(varied(1, 1, 1), 1, Instant::now());
    advance(Duration::from_secs(1)).await;
    assert_eq!(table.take_unshared(Instant::now()).len(), 1);
    let mut shared = 0;
    for caller in 2..1000 {
        table.record_response(varied(1, caller, 1), Instant::now());
        table.record_response(varied(caller, caller, 1), Instant::now());
        shared += table.take_unshared(Instant::now()).len();
    }
    assert_eq!(shared, 1);
    table.record_response(varied(1, 1, 1), Instant::now());
    assert_eq!(table.take_unshared(Instant::now()).len(), 1);
    assert_eq!(table.refused_requests(Instant::now()), 0);
}

/// Guards against the refusal of a request that upstreams took along with them when they ended for
/// other reasons, over a long time.
#[tokio::test(start_paused = true)]
async fn a_response_clears_a_request_also_of_crashes_that_are_reported_later() {
    let table = QuarantineTable::default();
    for upstream in 1..=20 {
        table.record_crash(REQUEST, upstream, Instant::now());
        advance(Duration::from_secs(1)).await;
        table.record_response(REQUEST, Instant::now());
        table.record(crash(REQUEST, 100 + upstream, 500), Instant::now());
    }
    advance(Duration::from_secs(1)).await;
    table.record_crash(REQUEST, 21, Instant::now());
    table.record_crash(REQUEST, 22, Instant::now());
    assert_eq!(table.refusal_left(REQUEST, Instant::now()), None);
}

#[tokio::test(start_paused = true)]
async fn old_crashes_do_not_count() {
    let table = QuarantineTable::default();
    for upstream in 1..=10 {
        table.record_crash(REQUEST, upstream, Instant::now());
        advance(Duration::from_secs(330)).await;
    }
    assert_eq!(table.refusal_left(REQUEST, Instant::now()), None);
    advance(Duration::from_secs(640)).await;
    table.remove_expired(Instant::now());
    assert!(table.is_empty());
}

/// Guards against entries that keep different crashes of a long series, and tell each other of those
/// that they lack for ever.
#[tokio::test(start_paused = true)]
async fn the_latest_crashes_of_a_long_series_are_kept_in_whatever_order_they_arrive() {
    let (forward, backward) = (QuarantineTable::default(), QuarantineTable::default());
    advance(Duration::from_secs(60)).await;
    let now = Instant::now();
    let crash = |upstream: u32| crash(REQUEST, upstream, u64::from(30 - upstream) * 1000);
    for upstream in 0..30 {
        forward.record(crash(upstream), now);
        backward.record(crash(29 - upstream), now);
    }
    let mut kept = forward.refused_records(now);
    let mut kept_backward = backward.refused_records(now);
    kept.sort_by_key(|record| record.age);
    kept_backward.sort_by_key(|record| record.age);
    assert_eq!(kept, kept_backward);
    for upstream in 0..30 {
        assert_eq!(forward.record(crash(upstream), now), RecordEffect::None);
    }
}

#[tokio::test(start_paused = true)]
async fn after_its_refusal_a_request_is_sent_and_refused_again_after_one_crash() {
    let table = QuarantineTable::default();
    crash_three(&table);
    advance(QuarantineSettings::default().refusal_time).await;
    table.remove_expired(Instant::now());
    assert_eq!(table.refusal_left(REQUEST, Instant::now()), None);
    assert_eq!(table.record_crash(REQUEST, 4, Instant::now()), RecordEffect::Refused);
    assert!(table.refusal_left(REQUEST, Instant::now()).is_some());
}

#[tokio::test(start_paused = true)]
async fn a_full_table_drops_the_request_whose_last_crash_is_the_oldest() {
    let settings = QuarantineSettings { max_requests: 100, ..QuarantineSettings::default() };
    let table = QuarantineTable::new(settings);
    for content in 0..1000 {
        let request = RequestFingerprint { target: content % 7, content, traits: TRAITS };
        table.record_crash(request, 1, Instant::now());
        advance(Duration::from_millis(1)).await;
    }
    assert!(!table.has_target(8));
    crash_three(&table);
    assert!(table.refusal_left(REQUEST, Instant::now()).is_some());
}

#[tokio::test(start_paused = true)]
async fn a_crash_is_shared_unless_a_response_follows_at_once() {
    let table = QuarantineTable::default();
    table.record_crash(REQUEST, 1, Instant::now());
    table.record_crash(OTHER, 1, Instant::now());
    advance(Duration::from_millis(200)).await;
    assert_eq!(table.take_unshared(Instant::now()), []);
    table.record_response(OTHER, Instant::now());
    advance(Duration::from_millis(300)).await;
    let shared = table.take_unshared(Instant::now());
    assert_eq!(shared, [crash(REQUEST, 1, 500)]);
    // The others know of the crash, so they must learn of the response.
    table.record_response(REQUEST, Instant::now());
    let shared = table.take_unshared(Instant::now());
    assert_eq!(shared, [CrashRecord { cleared: ALL_SETS, ..crash(REQUEST, 1, 500) }]);
    table.record_response(REQUEST, Instant::now());
    assert_eq!(table.take_unshared(Instant::now()), []);
}

#[tokio::test(start_paused = true)]
async fn a_second_crash_is_shared_at_once_with_the_first() {
    let table = QuarantineTable::default();
    table.record_crash(REQUEST, 1, Instant::now());
    table.record_crash(REQUEST, 2, Instant::now());
    assert_eq!(table.take_unshared(Instant::now()).len(), 2);
}

/// Entries of three failure domains, of which the first leads each; one datagram in three is lost.
struct RelayFleet {
    tables: Vec<QuarantineTable>,
    relays: Vec<CrashRelay>,
    random: SeededRandom,
}

impl RelayFleet {
    const DOMAINS: usize = 3;
    const ENTRIES: usize = 4 * Self::DOMAINS;

    fn new(seed: u64) -> Self {
        let tables = (0..Self::ENTRIES).map(|_| QuarantineTable::default()).collect();
        let relays = (0..Self::ENTRIES).map(|_| CrashRelay::default()).collect();
        Self { tables, relays, random: SeededRandom::new(seed) }
    }

    fn deliver(&mut self, from: usize, to: usize, records: &[CrashRecord]) {
        if self.random.below(3) == 0 {
            return;
        }
        let now = Instant::now();
        for record in records {
            let effect = self.tables[to].record(*record, now);
            let is_local = from % Self::DOMAINS == to % Self::DOMAINS;
            if effect != RecordEffect::None && !is_local {
                self.relays[to].queue(*record, RecordScope::Domain, now);
            }
        }
    }

    /// Lets the entries exchange what is due for `time`.
    async fn run(&mut self, time: Duration) {
        let until = Instant::now() + time;
        while Instant::now() < until {
            for from in 0..Self::ENTRIES {
                let is_leader = from < Self::DOMAINS;
                let now = Instant::now();
                let due = self.relays[from].take_due(&self.tables[from], is_leader, now);
                let DueRecords { domain, gateways } = due;
                for to in 0..Self::ENTRIES {
                    if to != from && to % Self::DOMAINS == from % Self::DOMAINS {
                        self.deliver(from, to, &domain);
                    }
                }
                for gateway in 0..Self::DOMAINS {
                    if gateway != from % Self::DOMAINS {
                        self.deliver(from, gateway, &gateways);
                    }
                }
            }
            advance(Duration::from_millis(100)).await;
        }
    }

    fn refusing(&self) -> usize {
        let now = Instant::now();
        let refusing =
            self.tables.iter().filter(|table| table.refusal_left(REQUEST, now).is_some());
        refusing.count()
    }
}

/// Guards against entries that each know only what they saw themselves, and against an entry that
/// knows nothing after its start.
#[tokio::test(start_paused = true)]
async fn all_entries_refuse_a_request_within_three_seconds_of_its_third_crash() {
    for seed in 0..200 {
        let mut fleet = RelayFleet::new(seed);
        for (entry, upstream) in [(5, 1), (7, 2), (9, 3)] {
            fleet.tables[entry].record_crash(REQUEST, upstream, Instant::now());
            fleet.run(Duration::from_millis(700)).await;
        }
        fleet.run(Duration::from_millis(2300)).await;
        assert_eq!(fleet.refusing(), RelayFleet::ENTRIES, "seed {seed}");
        // All entries of a failure domain start again, while the request is still refused.
        advance(Duration::from_secs(300)).await;
        for entry in (0..RelayFleet::ENTRIES).step_by(RelayFleet::DOMAINS) {
            fleet.tables[entry] = QuarantineTable::default();
            fleet.relays[entry] = CrashRelay::default();
        }
        fleet.run(Duration::from_secs(3)).await;
        assert_eq!(fleet.refusing(), RelayFleet::ENTRIES, "seed {seed}, after a start");
    }
}

#[test]
fn damaged_crash_updates_are_rejected() {
    let key = MessageKey::new("key").expect("a key");
    let records = [crash(REQUEST, 9, 0), CrashRecord { cleared: ALL_SETS, ..crash(OTHER, 1, 300) }];
    let datagrams = encode_crash_updates(&key, &records);
    let payload = key.verify(&datagrams[0]).expect("signed");
    assert_eq!(decode_crash_update(payload), Some(Ok(records.to_vec())));
    let cut = &payload[..payload.len() - 1];
    assert_eq!(decode_crash_update(cut), Some(Err(MessageError::Malformed)));
    assert_eq!(decode_crash_update(b"{}"), None);
    assert_eq!(decode_crash_update(b""), None);
}

proptest! {
    #[test]
    fn no_payload_of_a_crash_update_panics(payload in proptest::collection::vec(any::<u8>(), 0..200)) {
        let runtime = tokio::runtime::Builder::new_current_thread().build().expect("a runtime");
        let _entered = runtime.enter();
        let table = QuarantineTable::default();
        let tagged: Vec<u8> = [2].into_iter().chain(payload).collect();
        if let Some(Ok(records)) = decode_crash_update(&tagged) {
            for record in records {
                table.record(record, Instant::now());
            }
        }
    }
}
