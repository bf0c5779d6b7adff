//! The permits that an entry grants while it is a grantor.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::{TenantId, TenantQuota};
use crate::limits::tenant_quota::grantor_bucket::{GrantPredecessor, GrantorBucket};
use crate::limits::tenant_quota::quota_terms::QuotaTerms;
use crate::util::{FastMap, FastSet};

/// Position of an entry among the grantors, since when it has it, and its shares.
#[derive(Debug)]
pub(super) struct GrantorRole {
    /// When the position was last confirmed.
    updated_at: Instant,
    position: Option<usize>,
    position_since: Instant,
    /// Since when this entry is a grantor without interruption.
    granting_since: Instant,
    /// What others may have granted before.
    predecessor: GrantPredecessor,
    buckets: FastMap<TenantId, GrantorBucket>,
    /// Whether this process has been a grantor.
    has_granted: bool,
    /// Tenants whose quota is so small that only the first grantors hold a share of it.
    small_shares: FastSet<TenantId>,
}

impl GrantorRole {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            updated_at: now,
            position: None,
            position_since: now,
            granting_since: now,
            predecessor: GrantPredecessor::Active,
            buckets: FastMap::default(),
            has_granted: false,
            small_shares: FastSet::default(),
        }
    }

    pub(super) fn is_granting(&self) -> bool {
        self.position.is_some()
    }

    /// Ends the role if it has not been confirmed for `lifetime`, as after a pause of the process: the
    /// others may have replaced this entry.
    pub(super) fn check(&mut self, lifetime: Duration, now: Instant) {
        if now.saturating_duration_since(self.updated_at) > lifetime {
            self.set_position(None, GrantPredecessor::Active, now);
        }
    }

    /// Sets the position among the grantors; `None` if this entry is none. `predecessor` is used if it
    /// becomes one.
    pub(super) fn update(
        &mut self,
        position: Option<usize>,
        predecessor: GrantPredecessor,
        now: Instant,
    ) {
        self.updated_at = now;
        // What this process itself has granted counts as a predecessor too.
        let predecessor = if self.has_granted { GrantPredecessor::Active } else { predecessor };
        self.set_position(position, predecessor, now);
    }

    fn set_position(
        &mut self,
        position: Option<usize>,
        predecessor: GrantPredecessor,
        now: Instant,
    ) {
        if self.position == position {
            return;
        }
        if self.position.is_some() != position.is_some() {
            log::info!(target: "quota", "grants permits: {}", position.is_some());
            self.buckets.clear();
            self.granting_since = now;
            self.predecessor = predecessor;
            self.has_granted |= position.is_some();
        }
        // Another grantor may have held the small shares until now.
        for tenant in self.small_shares.drain() {
            self.buckets.remove(&tenant);
        }
        self.position = position;
        self.position_since = now;
    }

    /// Decides on a permit; `None` if this entry is no grantor for the quota. A grant tells whether
    /// few are left, a denial after which time the entry may ask again.
    pub(super) fn grant(
        &mut self,
        tenant: &TenantId,
        quota: TenantQuota,
        terms: QuotaTerms,
        now: Instant,
    ) -> Option<Result<bool, Duration>> {
        let count = terms.grantor_count(quota);
        if self.position? >= count {
            return None;
        }
        let is_small = count < terms.grantors;
        let since = if is_small { self.position_since } else { self.granting_since };
        if is_small && !self.small_shares.contains(tenant) {
            self.small_shares.insert(tenant.clone());
            self.buckets.remove(tenant);
        }
        let limits = terms.grantor_limits(quota);
        let bucket = self.buckets.entry(tenant.clone());
        let predecessor = if is_small { GrantPredecessor::Active } else { self.predecessor };
        let bucket =
            bucket.or_insert_with(|| GrantorBucket::new(limits, terms.span(), since, predecessor));
        bucket.set_limits(limits, now);
        Some(bucket.try_grant(now))
    }

    /// Drops shares that have not been used for `timeout`.
    pub(super) fn remove_idle(&mut self, timeout: Duration, now: Instant) {
        let is_recent = |at: Instant| now.saturating_duration_since(at) < timeout;
        self.buckets.retain(|_, bucket| is_recent(bucket.refilled_at()));
    }

    /// Memory of the shares in bytes, without the spare room of the hash map.
    pub(super) fn state_bytes(&self) -> usize {
        let mut bytes = self.buckets.len() * size_of::<(TenantId, GrantorBucket)>();
        for (tenant, bucket) in &self.buckets {
            bytes += tenant.as_str().len() + bucket.heap_bytes();
        }
        bytes
    }
}
