//! The measuring budget of the whole deployment, handed out as leased shares.
//!
//! The budget is cut into a fixed number of equal shares, whatever the number of entries. A share
//! is an object of the platform, and holding it for a time is a conditional write. An entry probes
//! only from shares that it holds, so the sum over all entries cannot exceed the shares there are,
//! whatever any of them believes about membership.
//!
//! A holder counts its time from before it sent the write; an observer counts from when it first
//! read the version that the write made, and takes the share only after a longer time. No two
//! clocks are compared, and the margin covers clocks that run at different speeds. A new holder
//! begins with an empty token bucket. While the platform is out, shares lapse and probing ends.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use heatherfall_platform_api::{
    ObjectDraft, ObjectEnvelope, ObjectList, PlatformStore, Precondition, Revision, StoreError,
};
use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::util::{FastMap, SeededRandom};

/// Kind of the objects that stand for shares.
pub const PROBE_SHARE_KIND: &str = "ProbeShare";
/// Shares that the budget is cut into.
pub const PROBE_SHARE_COUNT: u32 = 20;
/// Time for which a write holds a share.
pub const SHARE_LEASE_DURATION: Duration = Duration::from_secs(30);
/// Time after which an unchanged share is taken over.
pub const SHARE_TAKEOVER_DELAY: Duration = Duration::from_secs(36);
/// Time between two renewals.
pub const SHARE_RENEWAL_INTERVAL: Duration = Duration::from_secs(10);
/// Probes that a share can save up.
const BURST_TOKENS: f64 = 1.0;

/// Spec of a share's object.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
struct ShareSpec {
    /// Identity of the holding process; empty if the share was given back.
    holder: String,
    /// Grows with each write, so that each write makes a new version.
    writes: u64,
}

/// A share that may be spent from.
#[derive(Debug)]
struct SpendableShare {
    name: String,
    valid_until: Instant,
    tokens: f64,
    refilled: Instant,
}

/// The shares that this process may spend from.
#[derive(Debug, Default)]
pub struct LeasedProbeBudget {
    shares: Mutex<Vec<SpendableShare>>,
}

impl LeasedProbeBudget {
    /// Takes the right to one probe, of a deployment-wide budget of `probes_per_second`.
    pub fn try_take(&self, probes_per_second: f64) -> bool {
        let now = Instant::now();
        let rate = probes_per_second.max(0.0) / f64::from(PROBE_SHARE_COUNT);
        for share in self.lock().iter_mut() {
            let until = now.min(share.valid_until);
            let elapsed = until.saturating_duration_since(share.refilled).as_secs_f64();
            share.tokens = (share.tokens + elapsed * rate).min(BURST_TOKENS);
            share.refilled = now;
            if now < share.valid_until && share.tokens >= 1.0 {
                share.tokens -= 1.0;
                return true;
            }
        }
        false
    }

    /// Shares that are held at present.
    pub fn held_shares(&self) -> usize {
        let now = Instant::now();
        self.lock().iter().filter(|share| now < share.valid_until).count()
    }

    fn extend(&self, name: &str, valid_until: Instant) {
        let mut shares = self.lock();
        if let Some(share) = shares.iter_mut().find(|share| share.name == name) {
            share.valid_until = valid_until;
            return;
        }
        let refilled = Instant::now();
        shares.push(SpendableShare { name: name.to_owned(), valid_until, tokens: 0.0, refilled });
    }

    fn remove(&self, name: &str) {
        self.lock().retain(|share| share.name != name);
    }

    fn lock(&self) -> MutexGuard<'_, Vec<SpendableShare>> {
        self.shares.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What an observer saw of a share held by somebody else.
#[derive(Clone, Copy, Debug)]
struct SeenShare {
    version: Revision,
    since: Instant,
}

/// A share that this process wrote last.
#[derive(Clone, Debug)]
struct HeldShare {
    name: String,
    version: Revision,
    writes: u64,
}

/// Claims and renews shares.
#[derive(Debug)]
pub struct ShareLeaseManager {
    holder: String,
    start: u32,
    held: Vec<HeldShare>,
    seen: FastMap<String, SeenShare>,
}

impl ShareLeaseManager {
    /// Creates the keeper of a process; `random` makes its identity, so that a restarted process
    /// never takes its predecessor's shares for its own.
    pub fn new(vm: &str, random: &mut SeededRandom) -> Self {
        Self {
            holder: format!("{vm}-{:016x}", random.bits()),
            start: random.below(PROBE_SHARE_COUNT as usize) as u32,
            held: Vec::new(),
            seen: FastMap::default(),
        }
    }

    /// Shares that this process wrote last.
    pub fn held(&self) -> usize {
        self.held.len()
    }

    /// Renews the shares held and claims free ones up to `wanted`.
    ///
    /// # Errors
    ///
    /// Returns the platform's error; shares renewed before it stay renewed.
    pub async fn renew_and_claim<S: PlatformStore>(
        &mut self,
        store: &S,
        wallet: &LeasedProbeBudget,
        wanted: usize,
    ) -> Result<(), StoreError> {
        while self.held.len() > wanted {
            self.give_back(store, wallet).await;
        }
        let mut fault = None;
        for share in std::mem::take(&mut self.held) {
            let precondition = Precondition::SpecVersion(share.version);
            let claimed = self.claim(store, wallet, &share.name, share.writes, precondition);
            if let Err(error) = claimed.await {
                fault = Some(error);
                self.held.push(share);
            }
        }
        if let Some(error) = fault {
            return Err(error);
        }
        if self.held.len() < wanted {
            let list = store.list(PROBE_SHARE_KIND, "").await?;
            self.claim_free(store, wallet, wanted, &list).await?;
        }
        Ok(())
    }

    /// Gives all shares back.
    pub async fn release_all<S: PlatformStore>(&mut self, store: &S, wallet: &LeasedProbeBudget) {
        while !self.held.is_empty() {
            self.give_back(store, wallet).await;
        }
    }

    async fn claim_free<S: PlatformStore>(
        &mut self,
        store: &S,
        wallet: &LeasedProbeBudget,
        wanted: usize,
        list: &ObjectList,
    ) -> Result<(), StoreError> {
        for offset in 0..PROBE_SHARE_COUNT {
            if self.held.len() >= wanted {
                return Ok(());
            }
            let name = format!("share-{:02}", (self.start + offset) % PROBE_SHARE_COUNT);
            if self.held.iter().any(|share| share.name == name) {
                continue;
            }
            let Some(object) = list.items.iter().find(|object| object.name == name) else {
                self.claim(store, wallet, &name, 0, Precondition::Absent).await?;
                continue;
            };
            let spec = read_spec(object);
            if self.is_free(object, &spec) {
                let precondition = Precondition::SpecVersion(object.spec_version);
                self.claim(store, wallet, &name, spec.writes, precondition).await?;
            }
        }
        Ok(())
    }

    /// Whether nobody else can hold the share: it was given back, it is this process's own by a
    /// write whose answer was lost, or it has not changed for longer than a write holds it.
    fn is_free(&mut self, object: &ObjectEnvelope, spec: &ShareSpec) -> bool {
        if spec.holder.is_empty() || spec.holder == self.holder {
            return true;
        }
        let now = Instant::now();
        let version = object.spec_version;
        let seen =
            self.seen.entry(object.name.clone()).or_insert(SeenShare { version, since: now });
        if seen.version != version {
            *seen = SeenShare { version, since: now };
        }
        now.duration_since(seen.since) >= SHARE_TAKEOVER_DELAY
    }

    async fn claim<S: PlatformStore>(
        &mut self,
        store: &S,
        wallet: &LeasedProbeBudget,
        name: &str,
        writes: u64,
        precondition: Precondition,
    ) -> Result<(), StoreError> {
        let sent = Instant::now();
        let spec = ShareSpec { holder: self.holder.clone(), writes: writes + 1 };
        match write(store, name, &spec, precondition).await {
            Ok(object) => {
                wallet.extend(name, sent + SHARE_LEASE_DURATION);
                let version = object.spec_version;
                self.held.push(HeldShare { name: name.to_owned(), version, writes: writes + 1 });
                Ok(())
            }
            Err(StoreError::Conflict(_)) => {
                wallet.remove(name);
                Ok(())
            }
            // The right lapses by itself; a write that took effect is recognised in the list.
            Err(error) => Err(error),
        }
    }

    async fn give_back<S: PlatformStore>(&mut self, store: &S, wallet: &LeasedProbeBudget) {
        let Some(share) = self.held.pop() else { return };
        wallet.remove(&share.name);
        let spec = ShareSpec { holder: String::new(), writes: share.writes + 1 };
        let precondition = Precondition::SpecVersion(share.version);
        if let Err(error) = write(store, &share.name, &spec, precondition).await {
            log::info!(target: "probe", "share left to lapse name={} reason={error}", share.name);
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
