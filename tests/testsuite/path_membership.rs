//! What the other entries of a failure domain do about one that has no path to the upstreams.

use std::net::SocketAddr;
use std::sync::Arc;

use heatherfall::core::{FailureDomain, VmId};
use heatherfall::fleet::directory::EntryDirectory;
use heatherfall::fleet::entry_settings::EntrySettings;
use heatherfall::fleet::live_settings::LiveSettings;
use heatherfall::fleet::load_update::name_digest;
use heatherfall::fleet::peer_message::PeerMessage;
use heatherfall::fleet::peer_table::PeerTable;
use heatherfall::limits::LimitTable;
use heatherfall::membership::{EntryRecord, EntryState, SharedMembership};
use heatherfall::util::settings_file;
use tokio::time::Instant;

/// Number of entries in the failure domain.
const ENTRIES: u16 = 4;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn name(index: u16) -> String {
    format!("entry-{index:02}")
}

fn message(index: u16, sequence: u64, has_no_path: bool) -> PeerMessage {
    PeerMessage {
        vm: name(index),
        incarnation: 1,
        sequence,
        failure_domain: "fd-a".to_owned(),
        caller_address: address(100 + index),
        state: EntryState::Ready,
        is_enrolled: true,
        confirmation: None,
        alive: Vec::new(),
        has_no_path,
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

/// The table of an entry that has heard from `entries` others, those in `cut` without a path.
fn table(own: u16, entries: u16, cut: &[u16]) -> PeerTable {
    let mut table = PeerTable::new(EntryRecord {
        vm: VmId::new(&name(own)),
        failure_domain: FailureDomain::new("fd-a"),
        caller_address: address(100 + own),
        peer_address: address(200 + own),
        state: EntryState::Ready,
        has_path: !cut.contains(&own),
    });
    for index in (0..entries).filter(|index| *index != own) {
        let message = message(index, 1, cut.contains(&index));
        table.apply_message(&message, address(200 + index), Instant::now());
    }
    table
}

fn directory(table: &PeerTable) -> Vec<SocketAddr> {
    let text = r#"{
        "vm": "vm-1", "failure_domain": "fd-a", "store": "10.0.0.1:9",
        "listen": { "callers": "10.0.0.2:1", "ready": "10.0.0.2:2", "directory": "10.0.0.2:3",
                    "control": "10.0.0.2:4", "peers": "10.0.0.2:5" },
        "repeats": { "ratio": 0.0, "extra": 10.0, "window": "10s" }
    }"#;
    let settings: EntrySettings = settings_file::parse("node.jsonc", text).expect("valid");
    let settings = LiveSettings::new(settings, Arc::new(LimitTable::default()));
    let membership = SharedMembership::default();
    membership.store(Arc::new(table.membership(Instant::now())));
    EntryDirectory::new(membership, FailureDomain::new("fd-a"), settings).addresses()
}

/// Guards against upstreams that nobody probes, and limits that nobody uses, since the entry that
/// they are assigned to cannot reach them.
#[tokio::test(start_paused = true)]
async fn probes_and_limits_of_an_entry_without_a_path_pass_to_the_others() {
    let cut = [1];
    let mut tables: Vec<PeerTable> =
        [0, 2, 3].map(|own| table(own, ENTRIES, &cut)).into_iter().collect();
    for upstream in 0..50 {
        let upstream = format!("upstream-{upstream}");
        let now = Instant::now();
        let probers = tables.iter().filter(|table| table.probers(now).owns(&upstream)).count();
        assert_eq!(probers, 1, "{upstream}");
    }
    for table in &mut tables {
        let now = Instant::now();
        assert!(!table.limit_members(now).live.contains(&VmId::new(&name(1))));
        assert_eq!(table.forward_candidates(now).local.len(), 2);
        table.apply_message(&message(1, 2, false), address(201), now);
        assert!(table.limit_members(now).live.contains(&VmId::new(&name(1))));
        assert_eq!(table.forward_candidates(now).local.len(), 3);
    }
}

#[tokio::test(start_paused = true)]
async fn callers_are_sent_to_entries_with_a_path_unless_those_are_fewer_than_half() {
    let with_path = directory(&table(0, ENTRIES, &[1, 3]));
    assert_eq!(with_path, [address(100), address(102)]);
    assert_eq!(directory(&table(0, ENTRIES, &[0, 1, 3])).len(), usize::from(ENTRIES));
    assert_eq!(directory(&table(0, ENTRIES, &[0, 1, 2, 3])).len(), usize::from(ENTRIES));
}

/// In a large domain the leader alone hears from all, and tells the others.
#[tokio::test(start_paused = true)]
async fn the_leader_of_a_large_domain_tells_which_entries_have_no_path() {
    let entries = 16;
    let now = Instant::now();
    let leader = table(0, entries, &[5]);
    assert_eq!(leader.no_path_digests(now), [name_digest(&name(5))]);
    let mut other = table(9, entries, &[]);
    let mut digests = message(0, 2, false);
    digests.alive = leader.alive_digests(now);
    digests.no_path = leader.no_path_digests(now);
    other.apply_message(&digests, address(200), now);
    let view = other.membership(now);
    let no_path: Vec<_> = view.entries.iter().filter(|entry| !entry.has_path).collect();
    assert_eq!(no_path.len(), 1);
    assert_eq!(no_path[0].vm, VmId::new(&name(5)));
    assert!(view.is_ready(&no_path[0].vm), "it still serves");
    digests.sequence = 3;
    digests.no_path.clear();
    other.apply_message(&digests, address(200), now);
    assert!(other.membership(now).entries.iter().all(|entry| entry.has_path));
}

/// Guards against fields that are sent although they say nothing, and against a message of the former
/// version, which has no such fields, that is rejected.
#[test]
fn messages_say_nothing_of_paths_while_all_are_open() {
    let text = serde_json::to_string(&message(1, 1, false)).unwrap();
    assert!(!text.contains("path"), "{text}");
    assert_eq!(PeerMessage::parse(text.as_bytes()), Ok(message(1, 1, false)));
}
