//! Divides a tenant's quota among failure domains, grantors and the reserve.

use std::time::Duration;

use crate::core::TenantQuota;

/// Time from the request for a permit until it expires.
pub const PERMIT_LIFETIME: Duration = Duration::from_millis(500);
/// Most entries of a failure domain that grant permits.
pub const MAX_GRANTORS: usize = 3;
/// Reserve of a domain as a share of its part, up to [`SMALL_RESERVE`].
const SMALL_RESERVE_SHARE: f64 = 0.15;
/// Requests up to which the reserve has that share.
const SMALL_RESERVE: f64 = 4.0;
/// Reserve as a share of large parts. With 0.15, a tenant at 0.95 of a quota of 50 requests a second
/// was refused 2.8% of its requests, because many entries hold no part of the reserve.
const LARGE_RESERVE_SHARE: f64 = 0.05;
/// Least burst of a grantor as a share of its budget. With 0.1, a tenant at 0.95 of a quota of 32
/// requests a second and no burst was refused 2.8% of its requests.
const MIN_BURST_SHARE: f64 = 0.3;
/// Largest burst of a grantor as a share of its budget. A new grantor waits for as long as its
/// burst takes to refill: at this share, for half the window.
const MAX_BURST_SHARE: f64 = 0.5;
/// Least burst of a grantor whose budget allows it. With 1, a tenant with 2 requests a second and a
/// quota of 3 was refused up to 2% of its requests, since a grantor could not grant two in a row.
const MIN_BURST: f64 = 2.0;

/// Tolerance of all quotas: in any window, all entries together may run
/// `(rate * window + burst) * (1 + overage) + slack` requests of a tenant.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaAllowance {
    /// Length of the sliding window.
    pub window: Duration,
    /// Share beyond the quota, 0 or more.
    pub overage: f64,
    /// Further requests, 0 or more.
    pub slack: f64,
}

/// By what a quota is divided.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct QuotaTerms {
    /// Tolerance of the quotas.
    pub allowance: QuotaAllowance,
    /// Failure domains of the deployment, at least 1.
    pub domains: usize,
    /// Entries of this failure domain that may be grantors at the same time, 1 to
    /// [`MAX_GRANTORS`].
    pub grantors: usize,
}

/// Share of one grantor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct GrantorLimits {
    /// Permits within any [`QuotaTerms::span`].
    pub budget: f64,
    /// Permits at once after a pause, at most `budget`.
    pub burst: f64,
    /// Permits per second.
    pub per_second: f64,
    /// Its part of the domain's reserve, if that were divided among the grantors.
    pub reserve: f64,
}

impl QuotaTerms {
    /// Time within which permits count together. A request may run up to a lifetime after its
    /// permit was granted, so permits that run in one window are granted within this time.
    pub fn span(&self) -> Duration {
        self.allowance.window + PERMIT_LIFETIME
    }

    /// Requests that all entries together may run in any window.
    pub fn bound(&self, quota: TenantQuota) -> f64 {
        let QuotaAllowance { window, overage, slack } = self.allowance;
        (quota.per_second * window.as_secs_f64() + quota.burst) * (1.0 + overage) + slack
    }

    /// Permits that the grantors of one domain together may grant within the span; 0 if that would
    /// be less than one, which the reserve then holds.
    fn granted_by_domain(&self, quota: TenantQuota) -> f64 {
        let share = self.domain_share(quota);
        let large = SMALL_RESERVE.max(share * LARGE_RESERVE_SHARE);
        let granted = share - large.min(share * SMALL_RESERVE_SHARE);
        if granted < 1.0 { 0.0 } else { granted }
    }

    fn domain_share(&self, quota: TenantQuota) -> f64 {
        self.bound(quota) / self.domains.max(1) as f64
    }

    /// Number of grantors of a domain that hold a share of this quota: each holds at least one
    /// permit. 0 if the domain's part is too small.
    pub fn grantor_count(&self, quota: TenantQuota) -> usize {
        (self.granted_by_domain(quota) as usize).min(self.grantors.clamp(1, MAX_GRANTORS))
    }

    /// Share of one grantor.
    pub fn grantor_limits(&self, quota: TenantQuota) -> GrantorLimits {
        let budget = self.granted_by_domain(quota) / self.grantor_count(quota).max(1) as f64;
        let QuotaAllowance { overage, slack, .. } = self.allowance;
        let burst_share = (quota.burst * (1.0 + overage) + slack) / self.bound(quota);
        let burst = (budget * burst_share.clamp(MIN_BURST_SHARE, MAX_BURST_SHARE)).max(MIN_BURST);
        let per_second = budget / self.span().as_secs_f64();
        let reserve =
            f64::from(self.reserve_tokens(quota)) / self.grantor_count(quota).max(1) as f64;
        GrantorLimits { budget, burst: burst.min(budget), per_second, reserve }
    }

    /// Requests that the entries of one domain together may run by their reserve within the span.
    pub fn reserve_tokens(&self, quota: TenantQuota) -> u32 {
        (self.domain_share(quota) - self.granted_by_domain(quota)).max(0.0) as u32
    }
}
