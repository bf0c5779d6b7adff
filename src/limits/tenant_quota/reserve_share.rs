//! The reserve of a tenant's quota, divided among the entries of a failure domain without messages.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::VmId;
use crate::membership::rendezvous_score;

/// Whole tokens that entry `own` holds of `total` for `tenant`, by rendezvous hashing over the
/// registered entries of its failure domain, `own` included. The shares of entries that know the
/// same registrations add up to `total`.
pub fn reserve_share(total: u32, tenant: &str, own: &VmId, members: &[VmId]) -> u32 {
    let count = members.len().max(1) as u32;
    let own_score = rendezvous_score(tenant, own.as_str(), 1.0);
    let mut rank = 0;
    for member in members {
        let score = rendezvous_score(tenant, member.as_str(), 1.0);
        rank += u32::from(score > own_score || (score == own_score && member < own));
    }
    total / count + u32::from(rank < total % count)
}

/// Reserve tokens of one entry for one tenant. A token that was used is available again a span
/// later.
#[derive(Debug, Default)]
pub(super) struct ReserveBucket {
    used: VecDeque<Instant>,
}

impl ReserveBucket {
    /// Takes one of `tokens`. An entry that holds a share since `since` may have used it before its
    /// restart, and another entry before that time, so nothing is available for the first span.
    pub(super) fn try_take(
        &mut self,
        tokens: u32,
        span: Duration,
        since: Instant,
        now: Instant,
    ) -> bool {
        while self.used.front().is_some_and(|at| now.saturating_duration_since(*at) > span) {
            self.used.pop_front();
        }
        let has_token = self.used.len() < tokens as usize;
        if !has_token || now.saturating_duration_since(since) <= span {
            return false;
        }
        self.used.push_back(now);
        true
    }

    /// Allocated memory besides the bucket itself, in bytes.
    pub(super) fn heap_bytes(&self) -> usize {
        self.used.capacity() * size_of::<Instant>()
    }

    /// Time until a token that was used is available again; `None` if none was.
    pub(super) fn next_token_in(&self, span: Duration, now: Instant) -> Option<Duration> {
        let used_at = self.used.front()?;
        Some(span.saturating_sub(now.saturating_duration_since(*used_at)))
    }
}
