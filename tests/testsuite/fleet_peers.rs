//! Messages and load updates between entries, and the peer table.

use std::net::SocketAddr;
use std::time::Duration;

use heatherfall::core::{FailureDomain, VmId};
use heatherfall::fleet::load_update::{
    CompactLoad, LoadChangeFilter, decode_load_update, encode_load_update, name_digest,
};
use heatherfall::fleet::peer_message::{MeasuredLoad, MessageError, MessageKey, PeerMessage};
use heatherfall::fleet::peer_table::{EntryRegistration, MessageScope, PeerTable};
use heatherfall::membership::{EntryRecord, EntryState};
use proptest::prelude::*;
use tokio::time::{Instant, advance};

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn key() -> MessageKey {
    MessageKey::new("the key of a deployment of tests").expect("usable")
}

pub(crate) fn message(vm: &str, domain: &str, sequence: u64) -> PeerMessage {
    PeerMessage {
        vm: vm.to_owned(),
        incarnation: 1,
        sequence,
        failure_domain: domain.to_owned(),
        caller_address: address(80),
        state: EntryState::Ready,
        is_enrolled: true,
        confirmation: None,
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

fn table(vm: &str) -> PeerTable {
    PeerTable::new(EntryRecord {
        vm: VmId::new(vm),
        failure_domain: FailureDomain::new("fd-a"),
        caller_address: address(1),
        peer_address: address(2),
        has_path: true,
        state: EntryState::Ready,
    })
}

#[test]
fn a_decoded_message_equals_the_encoded_one() {
    let sent = message("entry-1", "fd-a", 7);
    let datagram = key().encode(&sent).expect("fits");
    let text = String::from_utf8_lossy(&datagram).into_owned();
    assert!(!text.contains("cold"), "an empty list is left out");
    assert_eq!(key().decode(&datagram), Ok(sent));
}

/// Guards against messages that differ from those of versions without quotas.
#[test]
fn a_message_without_permits_has_none_of_their_fields() {
    let text = serde_json::to_string(&message("entry-1", "fd-a", 7)).expect("encoded");
    for field in ["grants_permits", "is_granting", "permit_requests", "permit_answers"] {
        assert!(!text.contains(field), "{text}");
    }
    let parsed = PeerMessage::parse(text.as_bytes());
    assert_eq!(parsed, Ok(message("entry-1", "fd-a", 7)), "an older version leaves them out");
}

/// Guards against fields that a former version, 4e495de, does not send and that are required here; that
/// version has read a message with all later fields.
#[test]
fn a_message_of_a_former_version_is_read_and_written_unchanged() {
    let text = r#"{"vm":"e1","incarnation":1,"sequence":7,"failure_domain":"a","caller_address":"127.0.0.1:80","state":"ready","is_enrolled":true,"confirmation":null,"alive":[],"loads":[],"change":{"base":1,"revision":2,"puts":[],"deletes":[],"held":[],"config":null,"era":0}}"#;
    let parsed = PeerMessage::parse(text.as_bytes()).expect("readable");
    assert_eq!(serde_json::to_string(&parsed).expect("encoded"), text);
}

#[test]
fn a_message_signed_with_another_key_is_rejected() {
    let other_key = MessageKey::new("another key").expect("usable");
    let datagram = other_key.encode(&message("entry-1", "fd-a", 1)).expect("fits");
    assert_eq!(key().decode(&datagram), Err(MessageError::Unauthenticated));
}

proptest! {
    #[test]
    fn a_modified_datagram_is_rejected(index in 0..400_usize, flip in 1..=255_u8) {
        let mut datagram = key().encode(&message("entry-1", "fd-a", 1)).expect("fits");
        let index = index % datagram.len();
        datagram[index] ^= flip;
        prop_assert_eq!(key().decode(&datagram), Err(MessageError::Unauthenticated));
    }

    #[test]
    fn arbitrary_bytes_are_rejected(bytes in proptest::collection::vec(any::<u8>(), 0..200)) {
        prop_assert!(key().decode(&bytes).is_err());
        let _ = decode_load_update(&bytes);
    }

    #[test]
    fn a_load_update_is_clamped_and_rounded_down(inflight in 0..300_u32, percent in 0..4000_u32) {
        let load = CompactLoad { digest: name_digest("a"), inflight, work_percent: percent };
        let datagram = encode_load_update(&key(), &[load, load]);
        let payload = key().verify(&datagram).expect("authenticated");
        let loads = decode_load_update(payload).expect("a load update").expect("not truncated");
        prop_assert_eq!(loads.len(), 2);
        prop_assert_eq!(loads[0].inflight, inflight.min(255));
        prop_assert_eq!(loads[0].work_percent, (percent / 10).min(255) * 10);
    }
}

fn load(name: &str, percent: u32) -> MeasuredLoad {
    let work_percent = Some(percent);
    MeasuredLoad { instance: name.to_owned(), inflight: 1, work_percent, age_ms: 0 }
}

#[tokio::test(start_paused = true)]
async fn only_changed_loads_and_refreshes_are_sent_to_other_domains() {
    let mut filter = LoadChangeFilter::default();
    let mut sent = 0;
    for round in 0..100 {
        // Ten rounds a second; the machine is slow for half a second in every five.
        let percent = if round % 50 < 5 { 700 } else { 100 };
        sent += filter.select_changed(&[load("a", percent)], Instant::now()).len();
        advance(Duration::from_millis(100)).await;
    }
    assert!((4..=16).contains(&sent), "{sent} of 100 loads sent, with 4 changes");
}

#[tokio::test(start_paused = true)]
async fn the_live_entry_with_the_lowest_name_leads_its_domain() {
    let mut table = table("entry-2");
    let now = Instant::now();
    assert_eq!(table.rank(now), 0, "the only entry leads");
    table.apply_message(&message("entry-1", "fd-a", 1), address(11), now);
    table.apply_message(&message("entry-0", "fd-b", 1), address(10), now);
    assert_eq!(table.rank(now), 1, "entries of other domains are not counted");
    advance(Duration::from_secs(1)).await;
    assert_eq!(table.rank(Instant::now()), 0, "the first entry is dead");
}

#[tokio::test(start_paused = true)]
async fn a_large_domain_tracks_liveness_with_few_messages() {
    let names: Vec<String> = (0..36).map(|index| format!("entry-{index:02}")).collect();
    let addresses: Vec<SocketAddr> = (0..36).map(|index| address(100 + index)).collect();
    let mut tables: Vec<PeerTable> = names.iter().map(|name| table(name)).collect();
    for (own, table) in tables.iter_mut().enumerate() {
        for (index, name) in names.iter().enumerate() {
            if index != own {
                table.apply_message(&message(name, "fd-a", 1), addresses[index], Instant::now());
            }
        }
    }
    let mut sent = 0;
    // Each entry sends twenty messages, two a second; the leader dies after half of them.
    for round in 2..22_u64 {
        let now = Instant::now();
        let dead = usize::from(round >= 12);
        for own in dead..names.len() {
            let mut heartbeat = message(&names[own], "fd-a", round);
            heartbeat.alive = tables[own].alive_digests(now);
            let recipients = tables[own].recipients(MessageScope::LeaderCandidates, now);
            sent += recipients.len();
            for (index, table) in tables.iter_mut().enumerate().skip(dead) {
                if recipients.contains(&addresses[index]) {
                    table.apply_message(&heartbeat, addresses[own], now);
                }
            }
        }
        advance(Duration::from_millis(500)).await;
    }
    let now = Instant::now();
    for (own, table) in tables.iter().enumerate().skip(1) {
        assert_eq!(table.rank(now), own as u32 - 1, "{}", names[own]);
        assert_eq!(table.membership(now).entries.len(), 35, "{}", names[own]);
    }
    // A full mesh would send 36 * 35 messages a round.
    assert!(sent < 20 * 36 * 35 / 4, "{sent} messages");
}

#[tokio::test(start_paused = true)]
async fn a_reordered_message_is_ignored() {
    let mut table = table("entry-2");
    let now = Instant::now();
    let mut leaving = message("entry-1", "fd-a", 9);
    leaving.state = EntryState::Leaving;
    assert!(table.apply_message(&leaving, address(11), now));
    assert!(!table.apply_message(&message("entry-1", "fd-a", 8), address(11), now));
    let view = table.membership(now);
    assert_eq!(view.find(&VmId::new("entry-1")).unwrap().state, EntryState::Leaving);
}

#[tokio::test(start_paused = true)]
async fn each_upstream_is_probed_by_one_entry_of_its_domain() {
    let names = ["entry-1", "entry-2", "entry-3", "entry-4"];
    let now = Instant::now();
    let mut tables = Vec::new();
    for own in names {
        let mut table = table(own);
        for other in names.into_iter().filter(|other| *other != own) {
            table.apply_message(&message(other, "fd-a", 1), address(11), now);
        }
        tables.push(table);
    }
    for upstream in 0..50 {
        let name = format!("upstream-{upstream}");
        let probers = tables.iter().filter(|table| table.probers(now).owns(&name)).count();
        assert_eq!(probers, 1, "{name}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_entry_without_heartbeats_is_not_ready() {
    let mut table = table("entry-2");
    table.apply_message(&message("entry-1", "fd-a", 1), address(11), Instant::now());
    assert!(table.membership(Instant::now()).is_ready(&VmId::new("entry-1")));
    advance(Duration::from_secs(1)).await;
    assert!(!table.membership(Instant::now()).is_ready(&VmId::new("entry-1")));
}

#[tokio::test(start_paused = true)]
async fn gateways_rotate_while_a_domain_sends_no_updates() {
    let mut table = table("entry-1");
    for (vm, port) in [("entry-7", 17), ("entry-8", 18)] {
        let registration = EntryRegistration {
            failure_domain: "fd-b".to_owned(),
            caller_address: address(80),
            peer_address: address(port),
        };
        table.register(vm, &registration);
    }
    let now = Instant::now();
    assert_ne!(table.gateways(0, now), table.gateways(1, now), "round robin");
    table.record_gateway(address(18), now);
    assert_eq!(table.gateways(0, now), [address(18)]);
    assert_eq!(table.gateways(1, now), [address(18)]);
    advance(Duration::from_secs(2)).await;
    assert_ne!(table.gateways(0, Instant::now()), table.gateways(1, Instant::now()));
}

/// Time after its death after which an entry is no longer named: 3 s and `stableWindow` of 3 s.
const DEAD_LIMIT: Duration = Duration::from_secs(6);

/// Entries of one domain, of which `deaths` stop at these times in milliseconds. Another entry takes
/// over, and `returning` starts again as a leader that has heard of nobody. Returns for how long a
/// live entry names a dead one.
async fn time_until_unnamed(
    count: usize,
    deaths: &[(usize, u64)],
    returning: Option<usize>,
) -> Duration {
    let names: Vec<String> = (0..count).map(|index| format!("entry-{index:02}")).collect();
    let addresses: Vec<SocketAddr> = (0..count).map(|index| address(100 + index as u16)).collect();
    let mut tables: Vec<PeerTable> = names.iter().map(|name| table(name)).collect();
    for (own, table) in tables.iter_mut().enumerate() {
        for index in (0..count).filter(|index| *index != own) {
            table.apply_message(
                &message(&names[index], "fd-a", 1),
                addresses[index],
                Instant::now(),
            );
        }
    }
    let mut last_named = Duration::ZERO;
    let interval = tables[0].message_interval();
    let step = Duration::from_millis(100);
    let mut died_at = None;
    for round in 0..200_u64 {
        let now = Instant::now();
        if round == 20 {
            died_at = Some(now);
        }
        let age = died_at.map_or(Duration::ZERO, |at| now - at);
        let is_back = age >= Duration::from_millis(2600);
        if let Some(own) = returning.filter(|_| is_back && age < Duration::from_millis(2700)) {
            tables[own] = table(&names[own]);
            for index in (0..count).filter(|index| *index != own) {
                let registration = EntryRegistration {
                    failure_domain: "fd-a".to_owned(),
                    caller_address: address(80),
                    peer_address: addresses[index],
                };
                tables[own].register(&names[index], &registration);
            }
        }
        let death_age = |index: usize| {
            let (_, delay_ms) = deaths.iter().find(|(dead, _)| *dead == index)?;
            let has_returned = is_back && returning == Some(index);
            age.checked_sub(Duration::from_millis(*delay_ms))
                .filter(|_| died_at.is_some() && !has_returned)
        };
        let is_dead = |index: usize| death_age(index).is_some();
        for own in (0..count).filter(|own| !is_dead(*own)) {
            // The messages of different entries are spread over the interval.
            let phase =
                (step * round as u32 + step * own as u32).as_millis() % interval.as_millis();
            if phase != 0 {
                continue;
            }
            let mut heartbeat = message(&names[own], "fd-a", round + 2);
            heartbeat.incarnation += u64::from(is_back && returning == Some(own));
            heartbeat.alive = tables[own].alive_digests(now);
            let recipients = tables[own].recipients(MessageScope::LeaderCandidates, now);
            for index in (0..count).filter(|index| !is_dead(*index)) {
                if recipients.contains(&addresses[index]) {
                    tables[index].apply_message(&heartbeat, addresses[own], now);
                }
            }
        }
        for own in (0..count).filter(|own| !is_dead(*own)) {
            let view = tables[own].membership(now);
            for (dead, _) in deaths {
                let Some(age) = death_age(*dead) else { continue };
                if view.find(&VmId::new(&names[*dead])).is_some() {
                    last_named = last_named.max(age);
                }
            }
        }
        advance(step).await;
    }
    last_named
}

/// Entries that die, and the milliseconds after which each does.
type Deaths = &'static [(usize, u64)];

/// Guards against callers that are sent to entries that are gone, because a report of who is alive is
/// repeated by one that knows it only from another report.
#[tokio::test(start_paused = true)]
async fn no_entry_is_named_longer_than_six_seconds_after_its_death() {
    // The last two: a leader that still reports an entry stops too, and its successor after it.
    let all: [(Deaths, Option<usize>); 7] = [
        (&[(7, 0)], None),
        (&[(0, 0), (7, 0)], None),
        (&[(0, 0), (1, 0), (2, 0), (7, 0)], None),
        (&[(0, 0), (7, 0)], Some(0)),
        (&[(0, 0), (1, 0), (2, 0), (7, 0)], Some(0)),
        (&[(7, 0), (0, 1900)], None),
        (&[(7, 0), (0, 1900), (1, 4200)], None),
    ];
    for count in [9, 12, 13, 36, 73] {
        for (dead, returning) in all {
            let last = time_until_unnamed(count, dead, returning).await;
            println!("{count} entries, {dead:?} dead, {returning:?} back: named for {last:?}");
            assert!(
                last <= DEAD_LIMIT,
                "{count} entries, {dead:?} dead, {returning:?} back: {last:?}"
            );
        }
    }
}
