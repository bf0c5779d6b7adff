//! Leases over conditional writes.
//!
//! A lease is an object whose spec names its holder. It says who tries and proves nothing: a
//! holder may be paused and still believe. Every effect of a holder is a conditional write of its
//! own, which fails if somebody else has acted since. Nobody compares clocks: a lease has lapsed
//! for an observer that has seen the same version for the lease's lifetime on its own clock.

use std::time::Duration;

use heatherfall_platform_api::{
    ObjectDraft, ObjectEnvelope, PlatformStore, Precondition, Revision, StoreError,
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Kind of lease objects.
pub const LEASE_KIND: &str = "Lease";
/// Time after which a lease that is not renewed has lapsed.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Time between two renewals.
pub const LEASE_RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Spec of a lease object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseSpec {
    /// VM that holds the lease; empty if nobody does.
    pub holder: String,
    /// Address of the holder for peers.
    pub peer_address: String,
    /// Grows by one whenever the holder changes.
    pub term: u64,
    /// Grows by one with every renewal.
    pub renewals: u64,
}

/// What a node knows about a lease after a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseState {
    /// This node holds it.
    Held {
        /// Its term.
        term: u64,
    },
    /// Another node holds it, or nobody does.
    NotHeld(LeaseSpec),
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    spec_version: Revision,
    term: u64,
    renewals: u64,
}

/// Takes, renews and releases one lease for one node.
#[derive(Debug)]
pub struct LeaseManager {
    name: String,
    holder: String,
    peer_address: String,
    hold: Option<HeldLease>,
    seen: Option<ObservedLease>,
}

#[derive(Clone, Copy, Debug)]
struct ObservedLease {
    version: Revision,
    since: Instant,
}

impl LeaseManager {
    /// Creates a keeper that does not hold the lease.
    pub fn new(name: &str, holder: &str, peer_address: &str) -> Self {
        Self {
            name: name.to_owned(),
            holder: holder.to_owned(),
            peer_address: peer_address.to_owned(),
            hold: None,
            seen: None,
        }
    }

    /// Term of the lease if this node believes that it holds it.
    pub fn term(&self) -> Option<u64> {
        self.hold.map(|hold| hold.term)
    }

    /// Stops believing without writing.
    pub fn abandon(&mut self) {
        self.hold = None;
        self.seen = None;
    }

    /// Renews the lease, or takes it if it is free or has lapsed.
    ///
    /// # Errors
    ///
    /// Returns the platform's error; a holder goes on believing, since nobody else can take the
    /// lease while the platform fails for everybody.
    pub async fn acquire_or_renew<S: PlatformStore>(
        &mut self,
        store: &S,
    ) -> Result<LeaseState, StoreError> {
        if let Some(hold) = self.hold {
            let spec = self.spec(hold.term, hold.renewals + 1);
            let written = self.write(store, &spec, Precondition::SpecVersion(hold.spec_version));
            match written.await {
                Ok(object) => return Ok(self.keep(&object, &spec)),
                Err(StoreError::Conflict(_)) => self.abandon(),
                Err(error) if error.is_effect_unknown() => self.abandon(),
                Err(error) => return Err(error),
            }
        }
        let (current, precondition) = match store.get(LEASE_KIND, &self.name).await {
            Ok(object) => (Some(object.clone()), Precondition::SpecVersion(object.spec_version)),
            Err(StoreError::NotFound) => (None, Precondition::Absent),
            Err(error) => return Err(error),
        };
        let spec = current.as_ref().map(read_spec).unwrap_or_default();
        if let Some(current) = &current
            && !self.may_take(current, &spec)
        {
            return Ok(LeaseState::NotHeld(spec));
        }
        let next = self.spec(spec.term + 1, 0);
        match self.write(store, &next, precondition).await {
            Ok(object) => Ok(self.keep(&object, &next)),
            Err(StoreError::Conflict(Some(object))) => Ok(LeaseState::NotHeld(read_spec(&object))),
            Err(StoreError::Conflict(None)) => Ok(LeaseState::NotHeld(LeaseSpec::default())),
            Err(error) => Err(error),
        }
    }

    /// Gives the lease up if this node still holds it.
    pub async fn release<S: PlatformStore>(&mut self, store: &S) {
        let Some(hold) = self.hold.take() else { return };
        let spec = LeaseSpec { term: hold.term, ..LeaseSpec::default() };
        let written = self.write(store, &spec, Precondition::SpecVersion(hold.spec_version)).await;
        if let Err(error) = written {
            log::info!(target: "lease", "left to lapse name={} reason={error}", self.name);
        }
    }

    /// Whether the lease is free, has lapsed, or is this node's own from a write whose answer was
    /// lost.
    fn may_take(&mut self, current: &ObjectEnvelope, spec: &LeaseSpec) -> bool {
        if spec.holder.is_empty() || spec.holder == self.holder {
            return true;
        }
        let now = Instant::now();
        let seen = self.seen.filter(|seen| seen.version == current.spec_version);
        let seen = seen.unwrap_or(ObservedLease { version: current.spec_version, since: now });
        self.seen = Some(seen);
        now.duration_since(seen.since) >= LEASE_DURATION
    }

    fn spec(&self, term: u64, renewals: u64) -> LeaseSpec {
        LeaseSpec {
            holder: self.holder.clone(),
            peer_address: self.peer_address.clone(),
            term,
            renewals,
        }
    }

    fn keep(&mut self, object: &ObjectEnvelope, spec: &LeaseSpec) -> LeaseState {
        if self.hold.is_none() {
            log::info!(target: "lease", "taken name={} term={}", self.name, spec.term);
        }
        let spec_version = object.spec_version;
        self.hold = Some(HeldLease { spec_version, term: spec.term, renewals: spec.renewals });
        LeaseState::Held { term: spec.term }
    }

    async fn write<S: PlatformStore>(
        &self,
        store: &S,
        spec: &LeaseSpec,
        precondition: Precondition,
    ) -> Result<ObjectEnvelope, StoreError> {
        let spec =
            serde_json::to_value(spec).map_err(|error| StoreError::Protocol(error.to_string()))?;
        let draft = ObjectDraft {
            kind: LEASE_KIND.to_owned(),
            name: self.name.clone(),
            spec,
            change_id: uuid::Uuid::now_v7().to_string(),
            ..ObjectDraft::default()
        };
        store.put(draft, precondition).await
    }
}

/// The spec of a lease object; an unreadable one counts as free.
pub(super) fn read_spec(object: &ObjectEnvelope) -> LeaseSpec {
    serde_json::from_value(object.spec.clone()).unwrap_or_default()
}
