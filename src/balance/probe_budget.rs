//! The probe budget of the whole deployment, divided into leased shares.
//!
//! The budget is divided into a fixed number of equal shares, whatever the number of entries. A
//! share is an object of the platform, and a conditional write to it takes out or renews a lease.
//! An entry probes only from shares that it holds, so all entries together stay within the budget
//! whatever each of them believes about membership.
//!
//! A holder counts its lease from before it sent the write. Another entry counts from when it first
//! read the version that the write made, and takes the share over only after a longer time. No two
//! clocks are compared, and the margin covers clocks that run at different speeds. A new holder
//! begins with an empty token bucket. While the platform is unavailable, leases expire and probing
//! stops.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use heatherfall_platform_api::{
    ObjectDraft, ObjectEnvelope, ObjectList, PlatformStore, Precondition, Revision, StoreError,
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::util::{FastMap, SeededRandom};

/// Kind of the platform objects that represent shares.
pub const PROBE_SHARE_KIND: &str = "ProbeShare";
/// Shares into which the budget is divided.
pub const PROBE_SHARE_COUNT: u32 = 20;
/// Lease on a share, from before the write that takes it out.
pub const SHARE_LEASE_DURATION: Duration = Duration::from_secs(30);
/// Time for which a share must have been seen unchanged before another entry takes it over. Longer
/// than the lease, so that clocks at different speeds do not make two entries hold one share.
pub const SHARE_TAKEOVER_DELAY: Duration = Duration::from_secs(36);
/// Interval of renewals: a third of the lease, so that a failed renewal can be repeated in time.
pub const SHARE_RENEWAL_INTERVAL: Duration = Duration::from_secs(10);
/// Capacity of a share's token bucket, in probes.
const BUCKET_CAPACITY: f64 = 1.0;

/// Spec of a share's object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct ShareSpec {
    /// Identity of the holding process; empty if the share was released.
    holder: String,
    /// Incremented by each write, so that every renewal changes the spec and makes a new version.
    writes: u64,
}

/// Token bucket of a share for as long as it is leased.
#[derive(Debug)]
struct ShareBucket {
    name: String,
    leased_until: Instant,
    tokens: f64,
    refilled_at: Instant,
}

/// Token buckets of the shares that this process has leased.
#[derive(Debug, Default)]
pub struct LeasedProbeBudget {
    shares: Mutex<Vec<ShareBucket>>,
}

impl LeasedProbeBudget {
    /// Takes a token for one probe, given a deployment-wide budget of `probes_per_second`; false if
    /// no leased share has one.
    pub fn try_take(&self, probes_per_second: f64) -> bool {
        let now = Instant::now();
        let rate = probes_per_second.max(0.0) / f64::from(PROBE_SHARE_COUNT);
        for share in self.lock().iter_mut() {
            let until = now.min(share.leased_until);
            let elapsed = until.saturating_duration_since(share.refilled_at).as_secs_f64();
            share.tokens = (share.tokens + elapsed * rate).min(BUCKET_CAPACITY);
            share.refilled_at = now;
            if now < share.leased_until && share.tokens >= 1.0 {
                share.tokens -= 1.0;
                return true;
            }
        }
        false
    }

    /// Number of shares whose lease has not expired.
    pub fn held_shares(&self) -> usize {
        let now = Instant::now();
        self.lock().iter().filter(|share| now < share.leased_until).count()
    }

    fn extend(&self, name: &str, leased_until: Instant) {
        let mut shares = self.lock();
        if let Some(share) = shares.iter_mut().find(|share| share.name == name) {
            share.leased_until = leased_until;
            return;
        }
        let refilled_at = Instant::now();
        shares.push(ShareBucket { name: name.to_owned(), leased_until, tokens: 0.0, refilled_at });
    }

    fn remove(&self, name: &str) {
        self.lock().retain(|share| share.name != name);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<ShareBucket>> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The newest version seen of a share that another process holds.
#[derive(Clone, Copy, Debug)]
struct ObservedShare {
    version: Revision,
    /// When this process first read that version.
    first_seen: Instant,
}

/// A share whose last known write is this process's own.
#[derive(Clone, Debug)]
struct OwnedShare {
    name: String,
    version: Revision,
    writes: u64,
}

/// Takes out, renews and releases the leases on shares.
#[derive(Debug)]
pub struct ShareLeaseManager {
    holder: String,
    /// Share at which the search for free ones begins; random, so that processes rarely compete.
    first_share: u32,
    owned: Vec<OwnedShare>,
    observed: FastMap<String, ObservedShare>,
}

impl ShareLeaseManager {
    /// Creates the manager of a process on `vm`. Its identity includes a number from `random`, so
    /// that a restarted process never mistakes its predecessor's shares for its own.
    pub fn new(vm: &str, random: &mut SeededRandom) -> Self {
        Self {
            holder: format!("{vm}-{:016x}", random.bits()),
            first_share: random.below(PROBE_SHARE_COUNT as usize) as u32,
            owned: Vec::new(),
            observed: FastMap::default(),
        }
    }

    /// Number of shares whose last known write is this process's own.
    pub fn held(&self) -> usize {
        self.owned.len()
    }

    /// Renews the leases held and claims free shares up to `wanted`; releases those beyond it.
    ///
    /// # Errors
    ///
    /// Returns the platform's error; leases renewed before it stay renewed.
    pub async fn renew_and_claim<S: PlatformStore>(
        &mut self,
        store: &S,
        budget: &LeasedProbeBudget,
        wanted: usize,
    ) -> Result<(), StoreError> {
        while self.owned.len() > wanted {
            self.release_one(store, budget).await;
        }
        let mut last_error = None;
        for share in std::mem::take(&mut self.owned) {
            let precondition = Precondition::SpecVersion(share.version);
            let claimed = self.claim(store, budget, &share.name, share.writes, precondition);
            if let Err(error) = claimed.await {
                last_error = Some(error);
                self.owned.push(share);
            }
        }
        if let Some(error) = last_error {
            return Err(error);
        }
        if self.owned.len() < wanted {
            let list = store.list(PROBE_SHARE_KIND, "").await?;
            self.claim_free(store, budget, wanted, &list).await?;
        }
        Ok(())
    }

    /// Releases all shares, so that other processes need not wait for the leases to expire.
    pub async fn release_all<S: PlatformStore>(&mut self, store: &S, budget: &LeasedProbeBudget) {
        while !self.owned.is_empty() {
            self.release_one(store, budget).await;
        }
    }

    async fn claim_free<S: PlatformStore>(
        &mut self,
        store: &S,
        budget: &LeasedProbeBudget,
        wanted: usize,
        list: &ObjectList,
    ) -> Result<(), StoreError> {
        for offset in 0..PROBE_SHARE_COUNT {
            if self.owned.len() >= wanted {
                return Ok(());
            }
            let name = format!("share-{:02}", (self.first_share + offset) % PROBE_SHARE_COUNT);
            if self.owned.iter().any(|share| share.name == name) {
                continue;
            }
            let Some(object) = list.items.iter().find(|object| object.name == name) else {
                self.claim(store, budget, &name, 0, Precondition::Absent).await?;
                continue;
            };
            let spec = read_spec(object);
            if self.is_free(object, &spec) {
                let precondition = Precondition::SpecVersion(object.spec_version);
                self.claim(store, budget, &name, spec.writes, precondition).await?;
            }
        }
        Ok(())
    }

    /// Whether no other process can hold the share: it was released, it is this process's own by a
    /// write whose response was lost, or it has not changed for longer than a lease lasts.
    fn is_free(&mut self, object: &ObjectEnvelope, spec: &ShareSpec) -> bool {
        if spec.holder.is_empty() || spec.holder == self.holder {
            return true;
        }
        let now = Instant::now();
        let version = object.spec_version;
        let observed = self
            .observed
            .entry(object.name.clone())
            .or_insert(ObservedShare { version, first_seen: now });
        if observed.version != version {
            *observed = ObservedShare { version, first_seen: now };
        }
        now.duration_since(observed.first_seen) >= SHARE_TAKEOVER_DELAY
    }

    async fn claim<S: PlatformStore>(
        &mut self,
        store: &S,
        budget: &LeasedProbeBudget,
        name: &str,
        writes: u64,
        precondition: Precondition,
    ) -> Result<(), StoreError> {
        let sent_at = Instant::now();
        let spec = ShareSpec { holder: self.holder.clone(), writes: writes + 1 };
        match write(store, name, &spec, precondition).await {
            Ok(object) => {
                budget.extend(name, sent_at + SHARE_LEASE_DURATION);
                let version = object.spec_version;
                self.owned.push(OwnedShare { name: name.to_owned(), version, writes: writes + 1 });
                Ok(())
            }
            Err(StoreError::Conflict(_)) => {
                budget.remove(name);
                Ok(())
            }
            // The lease expires by itself. If the write took effect all the same, the next list
            // shows this process as the holder.
            Err(error) => Err(error),
        }
    }

    async fn release_one<S: PlatformStore>(&mut self, store: &S, budget: &LeasedProbeBudget) {
        let Some(share) = self.owned.pop() else { return };
        budget.remove(&share.name);
        let spec = ShareSpec { holder: String::new(), writes: share.writes + 1 };
        let precondition = Precondition::SpecVersion(share.version);
        if let Err(error) = write(store, &share.name, &spec, precondition).await {
            log::info!(
                target: "probe",
                "probe share not released, its lease will expire name={} reason={error}",
                share.name
            );
        }
    }
}

async fn write<S: PlatformStore>(
    store: &S,
    name: &str,
    spec: &ShareSpec,
    precondition: Precondition,
) -> Result<ObjectEnvelope, StoreError> {
    let spec =
        serde_json::to_value(spec).map_err(|error| StoreError::Protocol(error.to_string()))?;
    let draft = ObjectDraft {
        kind: PROBE_SHARE_KIND.to_owned(),
        name: name.to_owned(),
        spec,
        ..ObjectDraft::default()
    };
    store.put(draft, precondition).await
}

fn read_spec(object: &ObjectEnvelope) -> ShareSpec {
    serde_json::from_value(object.spec.clone()).unwrap_or_default()
}
