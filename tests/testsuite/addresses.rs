//! Assignment of entries to services, and the addresses that callers get.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use heatherfall::core::{FailureDomain, SharedSnapshot, VmId};
use heatherfall::membership::{
    AddressQuery, AddressResolver, AssignmentSettings, EntryRecord, EntryState, MembershipView,
    SharedMembership, assign_entries,
};

const SERVICES: usize = 200;
const UPSTREAMS: usize = 17;

fn entry(index: u16) -> EntryRecord {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 1000 + index));
    EntryRecord {
        vm: VmId::new(&format!("entry-{index}")),
        failure_domain: FailureDomain::new(&format!("fd-{}", index % 3)),
        caller_address: address,
        peer_address: address,
        state: EntryState::Ready,
        has_path: true,
    }
}

fn view(count: u16) -> MembershipView {
    MembershipView { entries: (0..count).map(entry).collect() }
}

fn resolver(view: MembershipView) -> AddressResolver {
    let membership = SharedMembership::default();
    membership.store(Arc::new(view));
    AddressResolver::new(membership, SharedSnapshot::default(), AssignmentSettings::default())
}

fn service(index: usize) -> String {
    format!("service-{index}")
}

/// Returns the assigned entries of every service.
fn assignments(view: &MembershipView) -> Vec<BTreeSet<VmId>> {
    let mut all = Vec::new();
    for index in 0..SERVICES {
        let domains =
            assign_entries(view, &service(index), UPSTREAMS, &AssignmentSettings::default());
        let mut entries = BTreeSet::new();
        for domain in domains {
            entries.extend(domain.entries.iter().map(|assigned| assigned.entry.vm.clone()));
        }
        all.push(entries);
    }
    all
}

/// Returns the share of assignments in `before` that are missing in `after`.
fn moved_share(before: &[BTreeSet<VmId>], after: &[BTreeSet<VmId>]) -> f64 {
    let mut assignment_count = 0;
    let mut moved = 0;
    for (old, new) in before.iter().zip(after) {
        assignment_count += old.len();
        moved += old.difference(new).count();
    }
    moved as f64 / assignment_count as f64
}

#[test]
fn a_service_is_assigned_two_entries_in_every_failure_domain() {
    for entries in assignments(&view(17)) {
        assert_eq!(entries.len(), 6);
    }
}

#[test]
fn the_callers_domain_comes_first_and_the_others_are_backups() {
    let resolver = resolver(view(17));
    let query = AddressQuery { service: "lookups", failure_domain: "fd-1" };
    let addresses = resolver.addresses(query);
    assert_eq!(addresses.len(), 6);
    for (position, address) in addresses.iter().enumerate() {
        assert_eq!(address.is_backup, position >= 2);
        assert_eq!(address.failure_domain.as_str() == "fd-1", position < 2);
    }
}

#[test]
fn callers_who_take_the_first_address_spread_over_the_group() {
    let resolver = resolver(view(17));
    let query = AddressQuery { service: "lookups", failure_domain: "fd-1" };
    let mut counts: BTreeMap<SocketAddr, usize> = BTreeMap::new();
    for _ in 0..100 {
        *counts.entry(resolver.addresses(query)[0].address).or_default() += 1;
    }
    assert_eq!(counts.into_values().collect::<Vec<_>>(), [50, 50]);
}

#[test]
fn a_caller_in_an_unknown_or_lost_domain_gets_no_backups() {
    let mut view = view(17);
    view.entries.retain(|entry| entry.failure_domain.as_str() != "fd-2");
    let resolver = resolver(view);
    for failure_domain in ["", "fd-2"] {
        let addresses = resolver.addresses(AddressQuery { service: "lookups", failure_domain });
        assert_eq!(addresses.len(), 4);
        assert!(addresses.iter().all(|address| !address.is_backup));
    }
}

#[test]
fn a_leaving_entry_is_not_returned() {
    let mut view = view(3);
    view.entries[1].state = EntryState::Leaving;
    let leaving = view.entries[1].caller_address;
    let addresses = resolver(view).addresses(AddressQuery::default());
    assert_eq!(addresses.len(), 2);
    assert!(addresses.iter().all(|address| address.address != leaving));
}

#[test]
fn a_leave_moves_only_the_assignments_of_the_entry_that_left() {
    let full = view(17);
    let mut smaller = full.clone();
    let left = smaller.entries.remove(4);
    let (before, after) = (assignments(&full), assignments(&smaller));
    for (old, new) in before.iter().zip(&after) {
        let lost: Vec<&VmId> = old.difference(new).collect();
        assert!(lost.is_empty() || lost == [&left.vm], "{lost:?}");
    }
    let share = moved_share(&before, &after);
    println!("leave of 1 in 17: {share:.3} of the assignments moved");
    assert!((0.02..0.10).contains(&share), "{share}");
}

#[test]
fn a_join_moves_only_the_assignments_that_the_new_entry_gets() {
    let (before, after) = (assignments(&view(17)), assignments(&view(18)));
    let joined = entry(17).vm;
    for (old, new) in before.iter().zip(&after) {
        let gained: Vec<&VmId> = new.difference(old).collect();
        assert!(gained.is_empty() || gained == [&joined], "{gained:?}");
    }
    let share = moved_share(&before, &after);
    println!("join of 1 to 17: {share:.3} of the assignments moved");
    assert!((0.02..0.10).contains(&share), "{share}");
}

#[test]
fn services_are_spread_evenly_over_entries() {
    let mut counts: BTreeMap<VmId, usize> = BTreeMap::new();
    for entries in assignments(&view(18)) {
        for vm in entries {
            *counts.entry(vm).or_default() += 1;
        }
    }
    let most = counts.values().max().copied().unwrap();
    let fewest = counts.values().min().copied().unwrap();
    println!("services of an entry: {fewest} to {most}, {} on average", SERVICES * 6 / 18);
    assert_eq!(counts.len(), 18);
    assert!(most < 2 * fewest, "{fewest} to {most}");
}

#[test]
fn a_larger_service_has_more_entries() {
    let settings = AssignmentSettings::default();
    assert_eq!(settings.entries_per_domain(6, 3), 2);
    assert_eq!(settings.entries_per_domain(22, 3), 2);
    assert_eq!(settings.entries_per_domain(40, 3), 4);
}
