//! Tenants of a configuration, and the API keys by which their requests are authenticated.
//!
//! Only SHA-256 digests of the keys are kept: a lookup by digest takes the same time for nearly
//! equal keys, and no key can reach a log line.

use std::collections::BTreeSet;
use std::sync::Arc;

use serde::Serialize;
use sha2::{Digest, Sha256};

use crate::core::identity::{FailureDomain, TenantId};
use crate::util::FastMap;

/// SHA-256 digest of an API key.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// Digest of a key.
    pub fn of(key: &[u8]) -> Self {
        Self(Sha256::digest(key).into())
    }
}

/// Requests that a tenant may run, over all entries together.
#[derive(Clone, Copy, Debug, PartialEq, Serialize)]
pub struct TenantQuota {
    /// Requests per second; above 0.
    pub per_second: f64,
    /// Requests beyond that rate that may run after a pause; 0 or more.
    pub burst: f64,
}

/// A tenant of the configuration.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct TenantRecord {
    /// Unique name.
    pub name: TenantId,
    /// Shedding rank of its requests, which replaces that of the route; 0 is shed last.
    pub rank: Option<u32>,
    /// `None` if the tenant is not limited.
    pub quota: Option<TenantQuota>,
    /// Failure domains whose upstreams may run its requests; `None` for all.
    pub allowed_domains: Option<BTreeSet<FailureDomain>>,
}

impl TenantRecord {
    /// Whether upstreams of `domain` may run its requests.
    pub fn allows_domain(&self, domain: &FailureDomain) -> bool {
        self.allowed_domains.as_ref().is_none_or(|allowed| allowed.contains(domain))
    }
}

/// The tenants of a configuration. Requests without a valid key are rejected, except on public
/// routes.
#[derive(Clone, Debug, Default)]
pub struct TenantTable {
    by_key: FastMap<KeyDigest, Arc<TenantRecord>>,
    by_name: FastMap<TenantId, Arc<TenantRecord>>,
}

impl TenantTable {
    /// Adds a tenant with its keys.
    pub fn insert(&mut self, tenant: TenantRecord, keys: &[KeyDigest]) {
        let tenant = Arc::new(tenant);
        for key in keys {
            self.by_key.insert(*key, Arc::clone(&tenant));
        }
        self.by_name.insert(tenant.name.clone(), tenant);
    }

    /// The tenant that holds this key.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<TenantRecord>> {
        self.by_key.get(&KeyDigest::of(key))
    }

    /// The tenant with this name.
    pub fn find_by_name(&self, name: &str) -> Option<&Arc<TenantRecord>> {
        self.by_name.get(&TenantId::new(name))
    }

    /// All tenants, in no particular order.
    pub fn tenants(&self) -> impl Iterator<Item = &Arc<TenantRecord>> {
        self.by_name.values()
    }
}
