//! Divides the request rate that a cold upstream bears among the entries, without messages.
//!
//! The holders of the shares are the first of the registered entries of the upstream's failure domain
//! by rendezvous hashing. Liveness plays no part, so that entries that cannot communicate agree; the
//! shares of dead entries are unused. `docs/design/cold-upstreams.md` proves the sum over all entries.

use std::collections::BTreeMap;

use crate::core::{FailureDomain, LimitShare, VmId, WarmUpShare};
use crate::fleet::entry_settings::WarmUpTolerance;
use crate::membership::rendezvous_score;

/// Requests that one entry may send at once.
const HOLDER_BURST: f64 = 1.0;
/// Part of the allowed requests of a second, beyond the rate itself, that each holder takes. Holders
/// use two thirds with their bursts; the rest is for entries that are missing a registration.
const REQUESTS_PER_HOLDER: f64 = 1.5;

/// The registered entries, as one of them knows them.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WarmUpMembers {
    /// This entry; it holds shares only if it is a member itself.
    pub own: VmId,
    /// Registered entries by failure domain, dead ones included.
    pub domains: BTreeMap<FailureDomain, Vec<VmId>>,
    /// Whether the entries of all domains are the members for a domain without any.
    pub may_stand_in: bool,
}

impl WarmUpMembers {
    /// Share that this entry has of cold `upstream` in `domain`, which bears `per_second` requests.
    pub fn share(
        &self,
        upstream: &str,
        domain: &FailureDomain,
        per_second: f64,
        tolerance: WarmUpTolerance,
    ) -> WarmUpShare {
        let closed = WarmUpShare {
            total_per_second: per_second,
            limit: LimitShare::closed(),
            initial_tokens: 0.0,
        };
        let Some((rank, entries)) = self.rank(upstream, domain) else { return closed };
        let allowed = per_second * tolerance.overage + tolerance.slack;
        let holders = holder_count(per_second, allowed).min(entries);
        // A single holder with a small tolerance gets less than the rate.
        let rate = per_second.min(allowed - holders as f64 * HOLDER_BURST);
        if rank >= holders || rate <= 0.0 {
            return closed;
        }
        WarmUpShare {
            limit: LimitShare::new(rate / holders as f64, HOLDER_BURST),
            initial_tokens: (rank + 1) as f64 / holders as f64,
            ..closed
        }
    }

    /// Number of members that precede this entry, and number of all members; `None` if this entry is
    /// not one. A domain without registered entries has the entries of all domains as members, if they
    /// may stand in for it.
    fn rank(&self, upstream: &str, domain: &FailureDomain) -> Option<(usize, usize)> {
        let local = self.domains.get(domain).filter(|entries| !entries.is_empty());
        if local.is_none() && !self.may_stand_in {
            return None;
        }
        let own = rendezvous_score(upstream, self.own.as_str(), 1.0);
        let (mut rank, mut entries, mut is_member) = (0, 0, false);
        for (member_domain, members) in &self.domains {
            if local.is_some() && member_domain != domain {
                continue;
            }
            for vm in members {
                entries += 1;
                is_member |= *vm == self.own;
                rank += usize::from(rendezvous_score(upstream, vm.as_str(), 1.0) > own);
            }
        }
        is_member.then_some((rank, entries))
    }
}

/// Number of holders of an upstream of which `allowed` requests in any one second are tolerated.
fn holder_count(per_second: f64, allowed: f64) -> usize {
    (((allowed - per_second) / REQUESTS_PER_HOLDER) as usize).max(1)
}
