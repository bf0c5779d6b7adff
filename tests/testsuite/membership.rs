//! Membership units: reconciliation, heartbeat and drain hint tables, fan-out tree, view deltas and
//! the state of the exchange with a peer.

use std::sync::Arc;
use std::time::Duration;

use heatherfall::config::GenerationApplier;
use heatherfall::core::{FailureDomain, SharedSnapshot, VmId};
use heatherfall::membership::EntryState::{Leaving, Ready, Starting};
use heatherfall::membership::{
    ControlNode, DrainHintTable, HeartbeatSource, HeartbeatStatus, HeartbeatTable, ListingStatus,
    MembershipDecision, MergeEffect, NodeIdentity, ParentCandidate, ReplicatedView,
    SharedMembership, parent_candidates, reconcile,
};
use heatherfall::peer::generated::peer::{ExchangeRequest, HeartbeatRecord, NodeState};
use heatherfall::platform::{VmList, VmRecord, VmState};

fn record(index: usize) -> HeartbeatRecord {
    HeartbeatRecord {
        vm: format!("entry-{index:03}"),
        failure_domain: "fd-a".to_owned(),
        caller_address: format!("10.0.0.{index}:80"),
        peer_address: format!("10.0.0.{index}:7400"),
        state: NodeState::Ready.into(),
        incarnation: 1,
        sequence: 1,
        ..HeartbeatRecord::default()
    }
}

#[test]
fn reconciliation_follows_the_documented_truth_table() {
    use HeartbeatStatus::{Fresh, Never, Stale};
    use ListingStatus::{Listed, Unknown, Unlisted};
    use MembershipDecision::{Gone, Member, Missing};
    let rows = [
        (Fresh(Ready), Listed(VmState::Live), Member(Ready)),
        (Fresh(Ready), Listed(VmState::Leaving), Member(Leaving)),
        (Fresh(Ready), Unlisted, Member(Ready)),
        (Fresh(Ready), Unknown, Member(Ready)),
        (Fresh(Starting), Listed(VmState::Live), Member(Starting)),
        (Fresh(Starting), Listed(VmState::Leaving), Member(Leaving)),
        (Fresh(Starting), Unlisted, Member(Starting)),
        (Fresh(Starting), Unknown, Member(Starting)),
        (Fresh(Leaving), Listed(VmState::Live), Member(Leaving)),
        (Fresh(Leaving), Listed(VmState::Leaving), Member(Leaving)),
        (Fresh(Leaving), Unlisted, Member(Leaving)),
        (Fresh(Leaving), Unknown, Member(Leaving)),
        (Stale, Listed(VmState::Live), Missing),
        (Stale, Listed(VmState::Leaving), Missing),
        (Stale, Unlisted, Gone),
        (Stale, Unknown, Gone),
        (Never, Listed(VmState::Live), Missing),
        (Never, Listed(VmState::Leaving), Missing),
        (Never, Unlisted, Gone),
        (Never, Unknown, Gone),
    ];
    for (heartbeat, list, decision) in rows {
        assert_eq!(reconcile(heartbeat, list), decision, "{heartbeat:?} {list:?}");
    }
}

#[tokio::test(start_paused = true)]
async fn an_older_copy_of_a_heartbeat_does_not_keep_an_entry_alive() {
    let mut table = HeartbeatTable::new(HeartbeatRecord { relay_term: 1, ..record(0) });
    let newer = HeartbeatRecord { sequence: 5, ..record(1) };
    let merged = table.merge(vec![newer], HeartbeatSource::Tree);
    assert_eq!(merged.effect, MergeEffect::Changed);
    table.rebuild_view();
    assert!(table.view().find("entry-001").is_some());
    tokio::time::sleep(Duration::from_secs(4)).await;
    // An older copy that arrives late over another relay does not show that the entry is alive.
    table.merge(vec![HeartbeatRecord { sequence: 4, ..record(1) }], HeartbeatSource::Relay);
    table.rebuild_view();
    assert!(table.view().find("entry-001").is_none());
    let vm = VmRecord {
        id: "entry-001".to_owned(),
        address: "10.0.0.1:80".to_owned(),
        peer_address: "10.0.0.1:7400".to_owned(),
        failure_domain: "fd-a".to_owned(),
        state: VmState::Live,
    };
    table.set_vm_list(VmList { vms: vec![vm] });
    assert_eq!(table.missing_vms(), ["entry-001"]);
    let restarted_process = HeartbeatRecord { incarnation: 2, sequence: 1, ..record(1) };
    table.merge(vec![restarted_process], HeartbeatSource::Tree);
    table.rebuild_view();
    assert!(table.view().find("entry-001").is_some());
}

#[test]
fn a_child_that_applies_the_differences_has_the_parents_view() {
    let mut parent = HeartbeatTable::new(HeartbeatRecord { relay_term: 1, ..record(0) });
    let mut child = HeartbeatTable::new(record(9));
    for round in 1..20_u64 {
        let index = 1 + (round as usize * 7) % 5;
        let state = if round % 3 == 0 { NodeState::Leaving } else { NodeState::Ready };
        let changed = HeartbeatRecord { sequence: round + 1, state: state.into(), ..record(index) };
        parent.merge(vec![changed], HeartbeatSource::Tree);
        parent.rebuild_view();
        let sent = parent.update_for_child("entry-009", child.view().digest());
        // Every fourth reply is lost; the next one then has the whole view.
        if round % 4 != 0 {
            child.apply_parent_view(sent.is_full, sent.delta);
            assert_eq!(child.view().digest(), parent.view().digest(), "round {round}");
        }
    }
    let unchanged = parent.update_for_child("entry-009", child.view().digest());
    assert!(
        !unchanged.is_full
            && unchanged.delta.changed.is_empty()
            && unchanged.delta.removed.is_empty()
    );
}

#[test]
fn every_node_reaches_the_relay_in_a_tree_of_width_eight() {
    let mut records = Vec::new();
    for index in 0..200 {
        records.push(HeartbeatRecord { relay_term: u64::from(index == 17), ..record(index) });
    }
    let view = ReplicatedView::new(records);
    let mut children = std::collections::BTreeMap::<String, usize>::new();
    for index in (0..200).filter(|index| *index != 17) {
        let path = parent_candidates(&view, "fd-a", &format!("entry-{index:03}"));
        assert!(path.len() <= 3, "{} hops", path.len());
        assert_eq!(path.last().expect("a candidate").vm, "entry-017");
        *children.entry(path[0].vm.clone()).or_default() += 1;
    }
    assert!(children.values().all(|count| *count <= 8), "{children:?}");
}

#[tokio::test(start_paused = true)]
async fn the_youngest_drain_hint_wins_and_hints_are_sent_once() {
    let (first, second) = (DrainHintTable::new(1), DrainHintTable::new(1));
    assert!(first.report("a", "lookups-0", true));
    assert!(!first.report("a", "lookups-0", true));
    let delta = first.changes_since(0);
    assert!(second.merge(&delta.hints) && !second.merge(&delta.hints));
    assert!(second.is_draining("lookups-0"));
    assert!(first.changes_since(delta.cursor).hints.is_empty());
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert!(second.report("b", "lookups-0", false));
    assert!(!second.is_draining("lookups-0"));
    assert!(first.merge(&second.changes_since(0).hints));
    assert!(!first.is_draining("lookups-0"));
}

fn node(index: usize) -> ControlNode {
    let record = record(index);
    let identity = NodeIdentity {
        vm: VmId::new(&record.vm),
        failure_domain: FailureDomain::new(&record.failure_domain),
        caller_address: record.caller_address,
        peer_address: record.peer_address,
        incarnation: 1,
    };
    let applier = Arc::new(GenerationApplier::new(SharedSnapshot::default()));
    ControlNode::new(identity, applier, Arc::default(), SharedMembership::default())
}

#[tokio::test(start_paused = true)]
async fn a_heartbeat_is_sent_compact_only_while_the_peer_has_the_same_content() {
    let caller = node(1);
    let address = "10.0.0.0:7400".parse().expect("an address");
    let to = ParentCandidate { vm: String::new(), address, is_own_domain: true };
    let exchange = async |callee: &ControlNode| {
        let mut request = caller.build_request(&to, HeartbeatSource::Relay);
        request.view_digest = Some(0);
        let is_compact = request.sender.as_ref().expect("a sender").content_digest != 0;
        let reply = callee.handle_exchange(request).await;
        caller.handle_reply(&to, reply, tokio::time::Instant::now());
        is_compact
    };
    let (callee, restarted_process) = (node(0), node(0));
    callee.set_relay_term(1);
    restarted_process.set_relay_term(2);
    assert!(!exchange(&callee).await && exchange(&callee).await);
    caller.set_state(Leaving);
    assert!(!exchange(&callee).await, "the content is new");
    // Different content arrived by another path: a compact record must not refresh that content.
    let other = HeartbeatRecord { sequence: 4, ..record(1) };
    callee
        .handle_exchange(ExchangeRequest { sender: Some(other), ..ExchangeRequest::default() })
        .await;
    assert!(exchange(&callee).await && exchange(&callee).await);
    assert!(!exchange(&callee).await, "the callee has different content");
    // A restarted process at the same address does not have the content and asks for it.
    assert!(exchange(&restarted_process).await);
    assert!(
        restarted_process.node_generations().iter().all(|node| node.vm.as_str() != "entry-001")
    );
    assert!(!exchange(&restarted_process).await);
    assert!(
        restarted_process.node_generations().iter().any(|node| node.vm.as_str() == "entry-001")
    );
}

#[tokio::test(start_paused = true)]
async fn a_confirmation_ages_at_every_hop_and_an_unconfirmed_parent_gives_none() {
    let address = "10.0.0.0:7400".parse().expect("an address");
    let to = ParentCandidate { vm: String::new(), address, is_own_domain: true };
    let (relay, middle, leaf) = (node(0), node(1), node(2));
    let exchange = async |child: &ControlNode, parent: &ControlNode| {
        let request = child.build_request(&to, HeartbeatSource::Tree);
        let sent = tokio::time::Instant::now();
        let reply = parent.handle_exchange(request).await;
        tokio::time::sleep(Duration::from_millis(30)).await;
        child.handle_reply(&to, reply, sent);
    };
    exchange(&middle, &relay).await;
    assert_eq!(middle.confirmed_age(), None);
    relay.confirm(Duration::from_secs(1));
    tokio::time::sleep(Duration::from_secs(10)).await;
    exchange(&middle, &relay).await;
    exchange(&leaf, &middle).await;
    let (relay_age, leaf_age) = (relay.confirmed_age(), leaf.confirmed_age());
    assert!(
        leaf_age >= relay_age && leaf_age >= Some(Duration::from_secs(11)),
        "{relay_age:?} {leaf_age:?}"
    );
    // The held time is not counted twice: only the transit time of two hops of 30 ms may be added.
    let added = leaf_age.expect("confirmed") - relay_age.expect("confirmed");
    assert!(added < Duration::from_millis(100), "{added:?}");
}
