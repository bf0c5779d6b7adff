//! Leases over conditional writes.
//!
//! A lease is an object whose spec names its holder. It is advisory, not a lock: a holder that was
//! paused may act after its lease has expired. Therefore every effect of a holder is a conditional
//! write of its own, which fails if another node has acted since. No clocks are compared: for an
//! observer, a lease has expired once it has seen the same version for the lease's duration by its
//! own clock.

use std::time::Duration;

use heatherfall_platform_api::{
    ObjectDraft, ObjectEnvelope, PlatformStore, Precondition, Revision, StoreError,
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

/// Kind of lease objects.
pub const LEASE_KIND: &str = "Lease";
/// Time without a renewal after which a lease expires.
pub const LEASE_DURATION: Duration = Duration::from_secs(3);
/// Time between two renewals by the holder.
pub const LEASE_RENEW_INTERVAL: Duration = Duration::from_secs(1);

/// Spec of a lease object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LeaseSpec {
    /// VM that holds the lease; empty if the lease is free.
    pub holder: String,
    /// Address on which the holder accepts peers' calls.
    pub peer_address: String,
    /// Incremented whenever the lease is acquired.
    pub term: u64,
    /// Number of renewals in this term.
    pub renewals: u64,
}

/// State of a lease as seen by one node.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum LeaseState {
    /// This node holds the lease.
    Held {
        /// Term under which the lease is held.
        term: u64,
    },
    /// Another node holds the lease, or none does.
    NotHeld(LeaseSpec),
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    spec_version: Revision,
    term: u64,
    renewals: u64,
}

/// Acquires, renews and releases one lease for one node.
#[derive(Debug)]
pub struct LeaseManager {
    name: String,
    holder: String,
    peer_address: String,
    held: Option<HeldLease>,
    observed: Option<ObservedLease>,
}

#[derive(Clone, Copy, Debug)]
struct ObservedLease {
    version: Revision,
    first_seen: Instant,
}

impl LeaseManager {
    /// Creates a manager that does not hold the lease.
    pub fn new(name: &str, holder: &str, peer_address: &str) -> Self {
        Self {
            name: name.to_owned(),
            holder: holder.to_owned(),
            peer_address: peer_address.to_owned(),
            held: None,
            observed: None,
        }
    }

    /// Term of the lease as long as this node considers itself the holder.
    pub fn term(&self) -> Option<u64> {
        self.held.map(|held| held.term)
    }

    /// Stops considering this node the holder, without a write.
    pub fn abandon(&mut self) {
        self.held = None;
        self.observed = None;
    }

    /// Renews the lease, or acquires it if it is free or has expired.
    ///
    /// # Errors
    ///
    /// Returns the platform's error. A holder keeps the lease then unless the effect of its write
    /// is unknown: nobody else can acquire it while the platform fails for everybody.
    pub async fn acquire_or_renew<S: PlatformStore>(
        &mut self,
        store: &S,
    ) -> Result<LeaseState, StoreError> {
        if let Some(held) = self.held {
            let spec = self.spec(held.term, held.renewals + 1);
            let written = self.write(store, &spec, Precondition::SpecVersion(held.spec_version));
            match written.await {
                Ok(object) => return Ok(self.record_held(&object, &spec)),
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
            && !self.may_acquire(current, &spec)
        {
            return Ok(LeaseState::NotHeld(spec));
        }
        let next = self.spec(spec.term + 1, 0);
        match self.write(store, &next, precondition).await {
            Ok(object) => Ok(self.record_held(&object, &next)),
            Err(StoreError::Conflict(Some(object))) => Ok(LeaseState::NotHeld(read_spec(&object))),
            Err(StoreError::Conflict(None)) => Ok(LeaseState::NotHeld(LeaseSpec::default())),
            Err(error) => Err(error),
        }
    }

    /// Releases the lease if this node still holds it, so that it need not expire.
    pub async fn release<S: PlatformStore>(&mut self, store: &S) {
        let Some(held) = self.held.take() else { return };
        let spec = LeaseSpec { term: held.term, ..LeaseSpec::default() };
        let written = self.write(store, &spec, Precondition::SpecVersion(held.spec_version)).await;
        if let Err(error) = written {
            log::info!(
                target: "lease",
                "release failed, lease will expire name={} reason={error}",
                self.name,
            );
        }
    }

    /// Whether the lease is free, has expired, or is this node's own from a write whose response
    /// was lost.
    fn may_acquire(&mut self, current: &ObjectEnvelope, spec: &LeaseSpec) -> bool {
        if spec.holder.is_empty() || spec.holder == self.holder {
            return true;
        }
        let now = Instant::now();
        let observed = self.observed.filter(|observed| observed.version == current.spec_version);
        let observed =
            observed.unwrap_or(ObservedLease { version: current.spec_version, first_seen: now });
        self.observed = Some(observed);
        now.duration_since(observed.first_seen) >= LEASE_DURATION
    }

    fn spec(&self, term: u64, renewals: u64) -> LeaseSpec {
        LeaseSpec {
            holder: self.holder.clone(),
            peer_address: self.peer_address.clone(),
            term,
            renewals,
        }
    }

    fn record_held(&mut self, object: &ObjectEnvelope, spec: &LeaseSpec) -> LeaseState {
        if self.held.is_none() {
            log::info!(target: "lease", "lease acquired name={} term={}", self.name, spec.term);
        }
        let spec_version = object.spec_version;
        self.held = Some(HeldLease { spec_version, term: spec.term, renewals: spec.renewals });
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

/// Reads the spec of a lease object; an unreadable lease counts as free.
pub(super) fn read_spec(object: &ObjectEnvelope) -> LeaseSpec {
    serde_json::from_value(object.spec.clone()).unwrap_or_default()
}
