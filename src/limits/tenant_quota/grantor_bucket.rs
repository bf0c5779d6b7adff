//! The share of a tenant's quota that one grantor grants permits from.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::limits::tenant_quota::quota_terms::GrantorLimits;

/// Slots into which the span is divided to count permits. A permit counts up to one slot, 0.5% of
/// the span, longer than necessary.
const SLOTS: u64 = 200;
/// Time for which the entry that was a grantor before may continue to grant after this one has
/// become one: both notice a lost connection within one message interval of a large domain.
const HANDOVER_TIME: Duration = Duration::from_millis(600);
/// Share of the budget above which entries are told that permits are scarce.
const SCARCITY_SHARE: f64 = 0.9;
/// Longest pause that a denial asks for.
const MAX_DENIAL_PAUSE: Duration = Duration::from_secs(1);
/// Shortest pause that a denial asks for.
const MIN_DENIAL_PAUSE: Duration = Duration::from_millis(5);

/// What a former grantor with the same share may have granted.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum GrantPredecessor {
    /// It may continue to grant for [`HANDOVER_TIME`].
    Active,
    /// All entries of the failure domain have restarted, and none has granted for this time.
    SilentFor(Duration),
}

/// A token bucket, with a limit on the permits within any span.
///
/// It starts with a debt: the permits that a former grantor with the same share may have granted at
/// once, and those of the handover. So the permits of both within a span are within the budget. After
/// a restart of the failure domain, the permits that nobody granted meanwhile and the share of the
/// reserve, which is not used for the first span, are taken off the debt.
#[derive(Debug)]
pub(super) struct GrantorBucket {
    limits: GrantorLimits,
    span: Duration,
    since: Instant,
    tokens: f64,
    refilled_at: Instant,
    /// Permits by slot, oldest first; fractions after the budget was lowered.
    granted: VecDeque<(u64, f64)>,
    granted_total: f64,
    /// Tokens that denials have announced to entries; further denials name a later time, so that the
    /// entries don't all ask again for the same token.
    announced: f64,
}

impl GrantorBucket {
    /// A bucket of an entry that became a grantor at `since`.
    pub(super) fn new(
        limits: GrantorLimits,
        span: Duration,
        since: Instant,
        predecessor: GrantPredecessor,
    ) -> Self {
        let debt = match predecessor {
            GrantPredecessor::Active => {
                limits.burst + limits.per_second * HANDOVER_TIME.as_secs_f64()
            }
            GrantPredecessor::SilentFor(time) => {
                limits.burst - limits.reserve - limits.per_second * time.as_secs_f64()
            }
        };
        Self {
            limits,
            span,
            since,
            tokens: (-debt).min(limits.burst),
            refilled_at: since,
            granted: VecDeque::new(),
            granted_total: 0.0,
            announced: 0.0,
        }
    }

    /// Replaces the limits. After a lowered budget the same share of it counts as granted as before,
    /// so that the tenant is neither cut off for a window nor served at the former rate.
    pub(super) fn set_limits(&mut self, limits: GrantorLimits, now: Instant) {
        if self.limits == limits {
            return;
        }
        self.refill(now);
        if limits.budget < self.limits.budget {
            let ratio = limits.budget / self.limits.budget;
            for (_, permits) in &mut self.granted {
                *permits *= ratio;
            }
            self.granted_total *= ratio;
            self.tokens *= ratio;
            self.announced *= ratio;
        }
        self.tokens = self.tokens.min(limits.burst);
        self.limits = limits;
    }

    /// Grants a permit. Returns whether permits are scarce.
    ///
    /// # Errors
    ///
    /// Returns the time after which the entry may ask again.
    pub(super) fn try_grant(&mut self, now: Instant) -> Result<bool, Duration> {
        self.refill(now);
        let slot = self.forget_old(now);
        if self.tokens < 1.0 || self.granted_total + 1.0 > self.limits.budget + f64::EPSILON {
            return Err(self.deny(slot, now));
        }
        self.tokens -= 1.0;
        self.granted_total += 1.0;
        match self.granted.back_mut() {
            Some((last, permits)) if *last == slot => *permits += 1.0,
            _ => self.granted.push_back((slot, 1.0)),
        }
        Ok(self.granted_total + 1.0 > self.limits.budget * SCARCITY_SHARE)
    }

    /// When the bucket was last used; after a span without use it equals a new one that has refilled.
    pub(super) fn refilled_at(&self) -> Instant {
        self.refilled_at
    }

    /// Allocated memory besides the bucket itself, in bytes.
    pub(super) fn heap_bytes(&self) -> usize {
        self.granted.capacity() * size_of::<(u64, f64)>()
    }

    fn deny(&mut self, slot: u64, now: Instant) -> Duration {
        let missing = (1.0 - self.tokens).max(0.0) + self.announced;
        // Within half the time in which the bucket fills, so that no permit is lost meanwhile.
        let missing = missing.min(self.limits.burst / 2.0);
        let longest = MAX_DENIAL_PAUSE.as_secs_f64();
        let mut pause = Duration::from_secs_f64((missing / self.limits.per_second).min(longest));
        if let Some((first, _)) = self.granted.front()
            && self.granted_total + 1.0 > self.limits.budget
        {
            let slots_left = (first + SLOTS + 1).saturating_sub(slot);
            let end_of_slot = self.slot_length().mul_f64(slots_left as f64);
            let into_slot =
                (now - self.since).saturating_sub(self.slot_length().mul_f64(slot as f64));
            pause = pause.max(end_of_slot.saturating_sub(into_slot));
        }
        self.announced += 1.0;
        pause.clamp(MIN_DENIAL_PAUSE, MAX_DENIAL_PAUSE)
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at).as_secs_f64();
        let refilled = self.limits.per_second * elapsed;
        self.tokens = (self.tokens + refilled).min(self.limits.burst);
        self.announced = (self.announced - refilled).max(0.0);
        self.refilled_at = self.refilled_at.max(now);
    }

    fn slot_length(&self) -> Duration {
        self.span / SLOTS as u32
    }

    /// Forgets the permits that were granted more than a span ago, and returns the current slot.
    fn forget_old(&mut self, now: Instant) -> u64 {
        let age = now.saturating_duration_since(self.since).as_secs_f64();
        let slot = (age / self.slot_length().as_secs_f64()) as u64;
        while let Some((first, permits)) = self.granted.front().copied()
            && first + SLOTS < slot
        {
            self.granted_total -= permits;
            self.granted.pop_front();
        }
        if self.granted.is_empty() {
            self.granted_total = 0.0;
        }
        slot
    }
}
