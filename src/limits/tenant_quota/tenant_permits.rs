//! What an entry remembers about one tenant: permits kept for its next requests, denials, and its
//! part of the reserve.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::VmId;
use crate::limits::tenant_quota::quota_terms::PERMIT_LIFETIME;
use crate::limits::tenant_quota::reserve_share::ReserveBucket;

/// State of one tenant at one entry.
#[derive(Debug)]
pub(super) struct TenantPermits {
    /// When the permits that are kept were asked for.
    kept: Vec<Instant>,
    /// Until when grantors that have denied a permit are not asked.
    denied: Vec<(VmId, Instant)>,
    pub(super) reserve: ReserveBucket,
    /// Part of the reserve, by the total that it is a part of; `None` after the members changed.
    pub(super) share: Option<(u32, u32)>,
    /// Last answer by which a grantor has no or few permits left.
    scarce_at: Option<Instant>,
    /// Last refusal; `None` if the tenant is not being limited.
    refused_at: Option<Instant>,
    pub(super) used_at: Instant,
}

impl TenantPermits {
    pub(super) fn new(now: Instant) -> Self {
        Self {
            kept: Vec::new(),
            denied: Vec::new(),
            reserve: ReserveBucket::default(),
            share: None,
            scarce_at: None,
            refused_at: None,
            used_at: now,
        }
    }

    /// Keeps a permit that was asked for at `asked_at`, unless it has expired.
    pub(super) fn keep(&mut self, asked_at: Instant, now: Instant) {
        self.remove_expired(now);
        if !is_expired(asked_at, now) {
            self.kept.push(asked_at);
        }
    }

    /// Takes the kept permit that expires first.
    pub(super) fn take_kept(&mut self, now: Instant) -> Option<Instant> {
        if self.kept.is_empty() {
            return None;
        }
        self.remove_expired(now);
        let (index, _) = self.kept.iter().enumerate().min_by_key(|(_, asked_at)| **asked_at)?;
        Some(self.kept.swap_remove(index))
    }

    fn remove_expired(&mut self, now: Instant) {
        self.kept.retain(|asked_at| !is_expired(*asked_at, now));
    }

    /// Records that `grantor` is not to be asked until `until`.
    pub(super) fn record_denial(&mut self, grantor: &VmId, until: Instant, now: Instant) {
        self.denied.retain(|(vm, until)| vm != grantor && *until > now);
        self.denied.push((grantor.clone(), until));
        self.scarce_at = Some(now);
    }

    /// Records a permit of a grantor, and whether that has few left.
    pub(super) fn record_grant(&mut self, is_scarce: bool, now: Instant) {
        if is_scarce {
            self.scarce_at = Some(now);
        }
    }

    /// Whether a grantor has had no or few permits left within the last `span`.
    pub(super) fn is_scarce(&self, span: Duration, now: Instant) -> bool {
        self.scarce_at.is_some_and(|at| now.saturating_duration_since(at) < span)
    }

    /// Time for which `grantor` is not asked; `None` if it may be.
    pub(super) fn denied_for(&self, grantor: &VmId, now: Instant) -> Option<Duration> {
        let (_, until) = self.denied.iter().find(|(vm, until)| vm == grantor && *until > now)?;
        Some(*until - now)
    }

    /// Allocated memory besides this state itself, in bytes.
    pub(super) fn heap_bytes(&self) -> usize {
        self.kept.capacity() * size_of::<Instant>()
            + self.denied.capacity() * size_of::<(VmId, Instant)>()
            + self.reserve.heap_bytes()
    }

    /// Records a refusal; returns true for the first since the tenant was last not limited.
    pub(super) fn record_refusal(&mut self, now: Instant) -> bool {
        self.refused_at.replace(now).is_none()
    }

    /// Whether the last refusal was a `window` ago, so that the tenant is no longer limited; true
    /// once.
    pub(super) fn end_limit(&mut self, window: Duration, now: Instant) -> bool {
        let is_over = self.refused_at.is_some_and(|at| now.saturating_duration_since(at) >= window);
        if is_over {
            self.refused_at = None;
        }
        is_over
    }
}

/// Whether a permit that was asked for at `asked_at` is too old for a request to start.
pub(super) fn is_expired(asked_at: Instant, now: Instant) -> bool {
    now.saturating_duration_since(asked_at) > PERMIT_LIFETIME
}
