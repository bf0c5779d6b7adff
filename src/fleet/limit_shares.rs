//! Divides the rate limit of an upstream among the entries.
//!
//! An upstream names one limit for all entries together, and each entry sends without asking the
//! others. Their shares add up to the limit. What they may send at once after a pause adds up too,
//! so a low limit is left to a few entries: the first of a few failure domains by rendezvous hashing.
//! Over a time `t`, all entries together send at most `limit * (t + 1 s) + BURST_EXTRA` requests.

use crate::core::{FailureDomain, LimitShare, RateLimit, VmId};
use crate::membership::rendezvous_score;

/// Requests that all entries together may send at once beyond one second of the limit.
const BURST_EXTRA: f64 = 4.0;

/// The entries that share the rate limits of upstreams, as one of them knows them.
#[derive(Clone, Debug)]
pub struct LimitMembers {
    /// This entry.
    pub own: VmId,
    /// Failure domain of this entry.
    pub own_domain: FailureDomain,
    /// The other live entries of that failure domain.
    pub live: Vec<VmId>,
    /// All failure domains with entries, this one included.
    pub domains: Vec<FailureDomain>,
}

impl LimitMembers {
    /// Share that this entry has of the limit of `upstream`.
    pub fn share(&self, upstream: &str, limit: RateLimit) -> LimitShare {
        let total_burst = limit.per_second() + BURST_EXTRA;
        let holding_domains = (total_burst as usize).clamp(1, self.domains.len().max(1));
        let domain_burst = total_burst / holding_domains as f64;
        let holders = (domain_burst as usize).clamp(1, self.live.len() + 1);
        let others = self.domains.iter().filter(|domain| **domain != self.own_domain);
        let others = others.map(FailureDomain::as_str);
        let domain_rank = rank(upstream, self.own_domain.as_str(), others);
        let entry_rank = rank(upstream, self.own.as_str(), self.live.iter().map(VmId::as_str));
        if domain_rank >= holding_domains || entry_rank >= holders {
            let position = domain_rank.saturating_sub(holding_domains - 1) + entry_rank;
            return LimitShare::none(position as u32);
        }
        LimitShare::new(
            limit.per_second() / (holding_domains * holders) as f64,
            domain_burst / holders as f64,
        )
    }
}

/// Number of `others` that precede `own` for `upstream` by rendezvous hashing.
fn rank<'a>(upstream: &str, own: &str, others: impl Iterator<Item = &'a str>) -> usize {
    let score = rendezvous_score(upstream, own, 1.0);
    others.filter(|other| rendezvous_score(upstream, other, 1.0) > score).count()
}
