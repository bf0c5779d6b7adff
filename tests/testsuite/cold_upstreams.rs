//! Cold upstreams: the shares of all entries together, what ends a warm-up, and requests under load,
//! on the paused clock.

mod requests;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use heatherfall::core::{
    FailureDomain, LimitShare, VmId, WarmUpLimit, WarmUpShare, WarmUpStatement,
};
use heatherfall::fleet::entry_settings::WarmUpTolerance;
use heatherfall::fleet::peer_message::{ColdUpstream, PeerMessage};
use heatherfall::fleet::peer_table::{EntryRegistration, PeerTable};
use heatherfall::membership::{EntryRecord, EntryState};
use heatherfall::util::SeededRandom;
use heatherfall_standins::platform::StandinPlatform;
use http::{HeaderMap, HeaderName, HeaderValue};
use proptest::prelude::*;
use serde_json::json;
use tokio::time::{Instant, advance};

use crate::support::fleet::{CONFIG_KIND, CONFIG_NAME, TestEntry, UPSTREAM_KIND, put};

const HEADER: HeaderName = HeaderName::from_static("x-warmup-ms");
/// Figures of the target deployments: rate, tolerance, and the requests that they allow in any one second.
const RATE: f64 = 2.7;
const TOLERANCE: WarmUpTolerance = WarmUpTolerance { overage: 1.5, slack: 8.0 };
const ALLOWED: f64 = 12.05;
const WARM_UP: Duration = Duration::from_secs(3);
const SECOND: Duration = Duration::from_secs(1);

fn address(port: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port as u16))
}

/// Most requests in any one second.
fn most_in_a_second(sent: &[Instant]) -> usize {
    let in_second = |from: Instant| move |at: &&Instant| **at >= from && **at < from + SECOND;
    sent.iter().map(|from| sent.iter().filter(in_second(*from)).count()).max().unwrap_or_default()
}

fn limit(share: LimitShare) -> WarmUpLimit {
    let warm_up = WarmUpLimit::default();
    warm_up.set_share(WarmUpShare { total_per_second: RATE, limit: share, initial_tokens: 1.0 }, 0);
    warm_up
}

#[test]
fn the_time_left_is_read_in_milliseconds_and_anything_else_is_invalid() {
    let statement = |values: &[&str]| {
        let mut headers = HeaderMap::new();
        for value in values {
            headers.append(HEADER, HeaderValue::from_str(value).unwrap());
        }
        WarmUpStatement::from_headers(&headers, &HEADER)
    };
    assert_eq!(statement(&[]), WarmUpStatement::Absent);
    assert_eq!(statement(&["0"]), WarmUpStatement::Left(Duration::ZERO));
    assert_eq!(statement(&["900", " 1500 "]), WarmUpStatement::Left(SECOND * 3 / 2), "the longest");
    assert_eq!(statement(&["1e300"]), WarmUpStatement::Left(SECOND * 600));
    for value in ["", "-1", "NaN", "3s"] {
        assert_eq!(statement(&["100", value]), WarmUpStatement::Invalid, "{value}");
    }
}

/// Guards against a change for deployments that do not enforce the rate.
#[tokio::test(start_paused = true)]
async fn without_a_share_an_upstream_is_never_cold() {
    let warm_up = WarmUpLimit::default();
    warm_up.record_registration(WARM_UP);
    warm_up.record_probe(WarmUpStatement::Left(WARM_UP), Duration::ZERO);
    warm_up.record_peer(WARM_UP);
    assert!(!warm_up.is_cold(Instant::now()) && warm_up.try_take(Instant::now()));
    assert_eq!(warm_up.take_news(Instant::now()), Default::default());
}

/// Guards against a warm-up that ends early by an old response, or never by a new one.
#[tokio::test(start_paused = true)]
async fn the_longest_time_counts_until_a_later_health_check_ends_it() {
    let warm_up = limit(LimitShare::closed());
    warm_up.record_registration(WARM_UP);
    warm_up.record_probe(WarmUpStatement::Absent, Duration::ZERO);
    warm_up.record_peer(SECOND);
    assert_eq!(warm_up.cold_left(Instant::now()), WARM_UP, "no check has ever had the header");
    warm_up.record_probe(WarmUpStatement::Left(SECOND), Duration::ZERO);
    advance(SECOND / 10).await;
    warm_up.record_probe(WarmUpStatement::Left(Duration::ZERO), SECOND / 5);
    assert!(warm_up.is_cold(Instant::now()), "the check was sent before");
    assert!(!warm_up.may_send(Instant::now()), "this entry has no share");
    assert!(warm_up.opens_in(Instant::now()) <= Duration::from_secs_f64(1.0 / RATE));
    warm_up.record_probe(WarmUpStatement::Absent, SECOND / 20);
    assert!(!warm_up.is_cold(Instant::now()) && warm_up.try_take(Instant::now()));
    warm_up.record_registration(WARM_UP);
    assert!(!warm_up.is_cold(Instant::now()), "the same registration says nothing new");
}

/// Guards against tokens that are given anew each time that an upstream becomes cold again.
#[tokio::test(start_paused = true)]
async fn a_warm_up_that_begins_again_and_again_gives_no_more_tokens() {
    let warm_up = limit(LimitShare::new(0.5, 1.0));
    let mut sent = 0;
    for _ in 0..100 {
        warm_up.record_probe(WarmUpStatement::Left(WARM_UP), Duration::ZERO);
        while warm_up.try_take(Instant::now()) {
            sent += 1;
        }
        warm_up.record_probe(WarmUpStatement::Left(Duration::ZERO), Duration::ZERO);
        advance(SECOND / 10).await;
    }
    assert_eq!(sent, 1 + 4, "one at once, and 0.5 per second in 9.9 s");
}

/// One entry of the model.
struct ModelEntry {
    table: PeerTable,
    unknown: Vec<usize>,
    warm_up: WarmUpLimit,
    registered_from: Instant,
    has_rosters: bool,
}

fn vm(index: usize) -> String {
    format!("entry-{index}")
}

fn register(table: &mut PeerTable, index: usize) {
    let (caller_address, peer_address) = (address(1), address(1000 + index));
    let failure_domain = "fd-a".to_owned();
    table.register(&vm(index), &EntryRegistration { failure_domain, caller_address, peer_address });
}

impl ModelEntry {
    /// Entry `own` in `domain`, which knows all of the `entries` of `fd-a` but those in `unknown`.
    fn new(own: usize, domain: &str, entries: usize, unknown: BTreeSet<usize>) -> Self {
        let mut table = PeerTable::new(EntryRecord {
            vm: VmId::new(&vm(own)),
            failure_domain: FailureDomain::new(domain),
            caller_address: address(1),
            peer_address: address(1000 + own),
            state: EntryState::Ready,
            has_path: true,
        });
        for index in (0..entries).filter(|index| !unknown.contains(index)) {
            register(&mut table, index);
        }
        let unknown = unknown.into_iter().collect();
        let (warm_up, registered_from) = (WarmUpLimit::default(), Instant::now());
        Self { table, unknown, warm_up, registered_from, has_rosters: true }
    }

    /// Sends all that is allowed; each attempt is preceded by a load check that shows the warm-up.
    fn send(&self, tolerance: WarmUpTolerance, rate: f64, sent: &mut Vec<Instant>) {
        let now = Instant::now();
        // The last entry knows no entry of the domain, because it has not read all rosters yet.
        let members = self.table.registered_members(now >= self.registered_from, self.has_rosters);
        let share = members.share("u", &FailureDomain::new("fd-a"), rate, tolerance);
        self.warm_up.set_share(share, 0);
        self.warm_up.record_probe(WarmUpStatement::Left(WARM_UP), Duration::ZERO);
        while self.warm_up.try_take(now) {
            sent.push(now);
        }
    }
}

/// Most requests in any one second while an upstream of a domain with `entries` entries is cold, of
/// which each misses up to `missing` registrations.
async fn run_model(
    seed: u64,
    (entries, missing): (usize, usize),
    rate: f64,
    tolerance: WarmUpTolerance,
) -> usize {
    let mut random = SeededRandom::new(seed);
    let mut fleet = Vec::new();
    for own in 0..entries + 5 {
        // The last five are in another domain; the last of all knows no entry of this one.
        let domain = if own < entries { "fd-a" } else { "fd-b" };
        let known = if own == entries + 4 { 0 } else { entries };
        let unknown = (0..missing).map(|_| random.below(entries)).collect();
        let mut entry = ModelEntry::new(own, domain, known, unknown);
        if own == entries + 4 {
            entry.has_rosters = false;
        }
        fleet.push(entry);
    }
    let mut sent = Vec::new();
    for step in 0..200 {
        let number = random.below(entries);
        match random.below(12) {
            // A restart: all is forgotten, and the others hear from it before it is enrolled again.
            0 => {
                fleet[number].warm_up = WarmUpLimit::default();
                fleet[number].registered_from = Instant::now() + SECOND / 3;
                let message = json!({
                    "vm": vm(number), "incarnation": step, "sequence": 1, "failure_domain": "fd-a",
                    "caller_address": address(1), "state": EntryState::Starting,
                    "is_enrolled": false, "confirmation": null, "loads": [], "change": null,
                });
                let message: PeerMessage = serde_json::from_value(message).unwrap();
                for entry in &mut fleet {
                    if !entry.unknown.contains(&number) && random.below(2) == 0 {
                        entry.table.apply_message(&message, address(1000), Instant::now());
                    }
                }
            }
            // A partition ends, and a registration becomes known.
            1 => {
                if let Some(index) = fleet[number].unknown.pop() {
                    register(&mut fleet[number].table, index);
                }
            }
            _ => {}
        }
        for entry in &fleet {
            // Entries without a path, or without requests, send nothing for a while.
            if random.below(4) > 0 {
                entry.send(tolerance, rate, &mut sent);
            }
        }
        advance(Duration::from_millis(25)).await;
    }
    most_in_a_second(&sent)
}

fn on_paused_clock<T>(run: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().unwrap().block_on(run)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(40))]

    /// Guards against entries that cannot communicate and together exceed the rate: with those
    /// figures if each misses two registrations, with any if they miss none.
    #[test]
    fn the_entries_of_all_domains_together_keep_within_the_bound(
        seed in any::<u64>(),
        (entries, missing) in (1..50_usize, 0..3_usize),
        (rate, overage, slack) in (0.1..40.0_f64, 1.0..2.0_f64, 0.0..20.0_f64),
    ) {
        let missing = missing.min(entries - 1);
        let most = on_paused_clock(run_model(seed, (entries, missing), RATE, TOLERANCE));
        prop_assert!((1.0..=ALLOWED).contains(&(most as f64)), "{most} requests in a second");
        let tolerance = WarmUpTolerance { overage, slack };
        let most = on_paused_clock(run_model(seed, (entries, 0), rate, tolerance));
        let allowed = rate * overage + slack;
        prop_assert!(most as f64 <= allowed, "{most} requests in a second, allowed {allowed}");
    }
}

/// Guards against a cold upstream that gets requests before its share is known, and against shares in
/// deployments that don't enforce the rate.
#[tokio::test(start_paused = true)]
async fn an_upstream_that_registers_cold_is_cold_at_once_for_entries_with_the_setting_only() {
    for (rate, tolerance) in
        [(json!(RATE), Some(TOLERANCE)), (json!(RATE), None), (json!(null), Some(TOLERANCE))]
    {
        let store = StandinPlatform::default();
        let config = json!({ "generation": 1, "warm_up_rate": rate });
        put(&store, CONFIG_KIND, CONFIG_NAME, config).await;
        let spec = json!({ "service": "reads", "warm_up_ms": 3000 });
        put(&store, UPSTREAM_KIND, "u", spec).await;
        let mut entry = TestEntry::new("entry-1", &store);
        entry.state.set_warm_up(tolerance);
        entry.run_for(SECOND / 10).await;
        let snapshot = entry.state.snapshot.load_full().expect("a configuration");
        let warm_up = snapshot.upstreams.values().next().expect("an upstream").warm_up();
        let is_enforced = tolerance.is_some() && !rate.is_null();
        assert_eq!(warm_up.is_cold(Instant::now()), is_enforced);
        entry.state.apply_peer_warm_ups(&[ColdUpstream { instance: "u".into(), left_ms: 9000 }]);
        advance(SECOND * 4).await;
        assert_eq!(warm_up.is_cold(Instant::now()), is_enforced, "by a peer");
        warm_up.record_probe(WarmUpStatement::Left(SECOND * 7), Duration::ZERO);
        let told = entry.state.take_warm_ups(Instant::now());
        let expected = [ColdUpstream { instance: "u".into(), left_ms: 7000 }];
        assert_eq!(told, if is_enforced { &expected[..] } else { &[] });
        assert!(entry.state.take_warm_ups(Instant::now()).is_empty(), "told once");
        entry.state.set_warm_up(None);
        assert!(!warm_up.is_cold(Instant::now()), "the setting was taken out");
    }
}
