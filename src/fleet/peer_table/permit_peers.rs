//! Which entries grant permits of tenants' quotas.
//!
//! In a large failure domain most entries receive messages of the leader only, so what they do not
//! know of the others they assume to be as the leader says of itself. An entry of which that is not
//! true does not answer, or answers that it is no grantor, and is not asked for some time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::core::FailureDomain;
use crate::fleet::peer_table::{PeerEntry, PeerTable};
use crate::limits::tenant_quota::{MAX_GRANTORS, PermitGrantor, PermitPeers};
use crate::membership::{EntryRecord, EntryState};

/// Time for which another entry grants until this one ends its role; longer than the time between
/// the moments when two entries of a full mesh notice that a third has stopped.
const REPLACEMENT_TIME: Duration = Duration::from_millis(300);

/// What an entry knows about itself and its settings that concerns permits.
#[derive(Clone, Debug)]
pub struct OwnPermitRole {
    /// Whether it tells the others that it grants permits.
    pub is_advertised: bool,
    /// Whether its roster lists it and it has heard from the others since.
    pub is_registered: bool,
    /// Failure domains of the deployment; empty if the settings name none.
    pub domains: BTreeSet<FailureDomain>,
    /// When its process started.
    pub started_at: Instant,
}

/// Difference between the starts of entries that start together.
const START_TOLERANCE: Duration = Duration::from_secs(2);

impl PeerTable {
    /// The entries as far as they concern quotas.
    pub fn permit_peers(&self, role: &OwnPermitRole, now: Instant) -> PermitPeers {
        let mut members = Vec::with_capacity(self.local_peer_count + 1);
        let mut remote: BTreeMap<&FailureDomain, Vec<PermitGrantor>> = BTreeMap::new();
        for (vm, peer) in &self.peers {
            if peer.record.failure_domain == self.own.failure_domain {
                members.push(vm.clone());
            } else {
                let domain = remote.entry(&peer.record.failure_domain).or_default();
                domain.push(grantor(&peer.record));
            }
        }
        members.push(self.own.vm.clone());
        members.sort_unstable();
        let mut domains: BTreeSet<&FailureDomain> = role.domains.iter().collect();
        if domains.is_empty() {
            domains.extend(remote.keys().copied());
        }
        domains.insert(&self.own.failure_domain);
        let domain_count = domains.len();
        let interval = self.message_interval();
        let local = self.local_grantors(role, now);
        let is_replaced = self.has_other_grantor(&local, now);
        PermitPeers {
            own: self.own.vm.clone(),
            local,
            remote: remote.into_values().collect(),
            may_grant: role.is_advertised
                && role.is_registered
                && self.has_quorum(now)
                && !is_replaced,
            is_registered: role.is_registered,
            has_older_peers: self.has_older_peers(now),
            started_at: role.started_at,
            is_domain_start: self.is_domain_start(role, now),
            domains: domain_count,
            members,
            role_lifetime: self.failure_timeout().saturating_sub(interval),
        }
    }

    /// Whether all entries of the local failure domain that are heard from started with this one, so
    /// that none of them has granted permits before.
    fn is_domain_start(&self, role: &OwnPermitRole, now: Instant) -> bool {
        let earliest = role.started_at.checked_sub(START_TOLERANCE).unwrap_or(role.started_at);
        let mut heard = self.local_peers().filter(|peer| self.is_heard(peer, now));
        heard.all(|peer| peer.started_at.is_some_and(|started_at| started_at >= earliest))
    }

    fn is_heard(&self, peer: &PeerEntry, now: Instant) -> bool {
        peer.last_heard_at.is_some_and(|at| now - at <= self.failure_timeout())
    }

    /// The first live, enrolled entries of the local failure domain that grant permits, by name.
    fn local_grantors(&self, role: &OwnPermitRole, now: Instant) -> Vec<PermitGrantor> {
        let leader = self.peers.values().find(|peer| self.is_candidate(peer, now));
        let leader = leader.filter(|peer| peer.record.vm < self.own.vm);
        let is_assumed = leader
            .map_or(role.is_advertised, |peer| peer.grants_permits.unwrap_or(role.is_advertised));
        let mut grantors = Vec::with_capacity(MAX_GRANTORS + 1);
        for peer in self.peers.values() {
            if grantors.len() == MAX_GRANTORS {
                break;
            }
            if self.is_candidate(peer, now) && peer.grants_permits.unwrap_or(is_assumed) {
                grantors.push(grantor(&peer.record));
            }
        }
        if role.is_advertised {
            let rank = grantors.partition_point(|grantor| grantor.vm < self.own.vm);
            grantors.insert(rank, grantor(&self.own));
            grantors.truncate(MAX_GRANTORS);
        }
        grantors
    }

    /// Whether this entry receives messages of so many entries of its failure domain that those it
    /// does not hear from can't do so too. A domain of up to [`MAX_GRANTORS`] entries needs no
    /// quorum: each of them has a share of its own.
    fn has_quorum(&self, now: Instant) -> bool {
        let known = self.local_peer_count + 1;
        if known <= MAX_GRANTORS {
            return true;
        }
        let is_heard = |peer: &PeerEntry| self.is_heard(peer, now);
        let heard = self.local_peers().filter(|peer| is_heard(peer)).count() + 1;
        let first = self.local_peers().next();
        // Of two halves, the one with the first entry grants.
        let has_first = first.is_none_or(|first| first.record.vm > self.own.vm || is_heard(first));
        2 * heard > known || (2 * heard == known && has_first)
    }

    /// Whether an entry that is not one of `grantors` grants nevertheless. The others then do not hear
    /// from this entry, or from another one that it hears from.
    fn has_other_grantor(&self, grantors: &[PermitGrantor], now: Instant) -> bool {
        self.local_peers().any(|peer| {
            let is_listed = grantors.iter().any(|grantor| grantor.vm == peer.record.vm);
            let is_granting = peer.granting_since.is_some_and(|at| now - at >= REPLACEMENT_TIME);
            !is_listed && is_granting && self.is_live(peer, now)
        })
    }

    /// Whether one of the entries that would grant permits runs a version without quotas.
    fn has_older_peers(&self, now: Instant) -> bool {
        let candidates = self.local_peers().filter(|peer| self.is_candidate(peer, now));
        candidates.take(MAX_GRANTORS).any(|peer| {
            peer.grants_permits == Some(false) && peer.record.state == EntryState::Ready
        })
    }
}

fn grantor(record: &EntryRecord) -> PermitGrantor {
    PermitGrantor { vm: record.vm.clone(), address: record.peer_address }
}
