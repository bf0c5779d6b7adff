//! Failure domains that operators have evacuated.
//!
//! The operator writes one object for each, named after the failure domain, which stays until it is
//! taken back. Upstreams there get no new attempts; load probes go on, and requests in progress end
//! as they would. The set is read from the store whenever an unexplained write may have changed it,
//! and sent to the other entries with the view.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::util::fnv1a;

/// The evacuated failure domains, as entries send them to each other.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct EvacuatedDomains(pub BTreeSet<String>);

impl EvacuatedDomains {
    /// Digest by which entries compare their sets; differs for different sets.
    pub fn digest(&self) -> u64 {
        let separator = std::iter::once(0);
        fnv1a(self.0.iter().flat_map(|name| name.bytes().chain(separator.clone())))
    }
}

/// The evacuations that an entry knows; empty and unused unless the deployment has evacuations.
#[derive(Debug, Default)]
pub(super) struct EvacuationRecord {
    is_tracked: bool,
    domains: EvacuatedDomains,
    /// Until when a domain stays evacuated that a restored store no longer lists. The operator writes
    /// it again if it still holds.
    held: BTreeMap<String, Instant>,
    /// Until when domains that are missing in a list are held; set by a restore of the store.
    hold_until: Option<Instant>,
}

impl EvacuationRecord {
    pub(super) fn track(&mut self) {
        self.is_tracked = true;
    }

    pub(super) fn is_tracked(&self) -> bool {
        self.is_tracked
    }

    pub(super) fn contains(&self, domain: &str) -> bool {
        self.domains.0.contains(domain)
    }

    pub(super) fn domains(&self) -> &EvacuatedDomains {
        &self.domains
    }

    /// Digest for comparisons with other entries; `None` if evacuations are not tracked.
    pub(super) fn digest(&self) -> Option<u64> {
        self.is_tracked.then(|| self.domains.digest())
    }

    /// Holds domains that the next lists lack, because the store was restored from a copy.
    pub(super) fn hold_missing(&mut self, until: Instant) {
        self.hold_until = Some(until);
    }

    /// Applies a complete list from the store. Returns whether the set changed.
    pub(super) fn apply_list(&mut self, listed: BTreeSet<String>, now: Instant) -> bool {
        let mut next = listed;
        self.held.retain(|name, _| !next.contains(name));
        match self.hold_until.filter(|until| *until > now) {
            Some(until) => {
                for name in self.domains.0.difference(&next) {
                    self.held.entry(name.clone()).or_insert(until);
                }
                next.extend(self.held.keys().cloned());
            }
            None => self.held.clear(),
        }
        self.replace(EvacuatedDomains(next))
    }

    /// Applies the set of another entry. Returns whether the set changed.
    pub(super) fn apply_peer(&mut self, domains: EvacuatedDomains) -> bool {
        self.is_tracked && self.replace(domains)
    }

    /// Removes held domains whose time is over. Returns whether the set changed.
    pub(super) fn expire(&mut self, now: Instant) -> bool {
        let mut next = self.domains.clone();
        self.held.retain(|name, until| {
            let is_held = *until > now;
            if !is_held {
                next.0.remove(name);
            }
            is_held
        });
        self.replace(next)
    }

    /// Earliest time at which [`Self::expire`] changes the set.
    pub(super) fn next_expiry(&self) -> Option<Instant> {
        self.held.values().min().copied()
    }

    fn replace(&mut self, next: EvacuatedDomains) -> bool {
        if next == self.domains {
            return false;
        }
        for name in next.0.difference(&self.domains.0) {
            log::info!(target: "config", "evacuated domain={name:?}");
        }
        for name in self.domains.0.difference(&next.0) {
            log::info!(target: "config", "evacuation ended domain={name:?}");
        }
        self.domains = next;
        true
    }
}
