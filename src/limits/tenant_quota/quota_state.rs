//! Decides whom an entry asks for permits.

use std::time::Duration;

use tokio::time::Instant;

use crate::core::{TenantId, TenantQuota, VmId};
use crate::limits::tenant_quota::grantor_bucket::GrantPredecessor;
use crate::limits::tenant_quota::grantor_role::GrantorRole;
use crate::limits::tenant_quota::permit_peers::{PermitGrantor, PermitPeers};
use crate::limits::tenant_quota::quota_terms::{MAX_GRANTORS, QuotaAllowance, QuotaTerms};
use crate::limits::tenant_quota::reserve_share::reserve_share;
use crate::limits::tenant_quota::tenant_permits::TenantPermits;
use crate::util::FastMap;

/// Most grantors of each other failure domain that are asked for one request.
const MAX_REQUESTS_PER_DOMAIN: usize = 2;
/// Most grantors of other failure domains that are asked for one request.
const MAX_REMOTE_REQUESTS: usize = 4;
/// Pause after a grantor has not answered in time; doubled each further time.
const FIRST_SILENCE_PAUSE: Duration = Duration::from_millis(500);
/// Time from the start of a process in which it waits for grantors to begin.
const START_WAIT: Duration = Duration::from_millis(900);
/// Longest such pause.
const MAX_SILENCE_PAUSE: Duration = Duration::from_secs(5);
/// Pause after an entry has answered that it is no grantor. Grantors begin within some tenths of a
/// second after a start, and until then no request of a limited tenant runs.
const NO_GRANTOR_PAUSE: Duration = Duration::from_millis(200);
/// Least time for which a process does not run before it starts again.
const RESTART_TIME: Duration = Duration::from_millis(500);
/// Time in which a refused caller is told to return if no grantor has named any.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);
/// Time without use after which state of a tenant is dropped, beyond the span.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);

/// Time for which an entry that has not answered is not asked, for any tenant.
#[derive(Clone, Copy, Debug)]
struct GrantorPause {
    until: Instant,
    length: Duration,
}

/// Where a permit comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum PermitSource {
    /// A former request that did not use it.
    Kept,
    /// The share that this entry holds as a grantor.
    Own,
    /// The reserve.
    Reserve,
    /// Nothing is limited while older versions run.
    Unenforced,
}

/// Next step to obtain a permit.
#[derive(Debug)]
pub(super) enum PermitStep {
    /// The permit, with the time from which its lifetime counts.
    Granted(PermitSource, Instant),
    /// Ask this entry.
    Ask(PermitGrantor),
    /// There is none; the time until one is expected, and whether this begins a limited period.
    Refused(Duration, bool),
}

/// The entries that were asked for one request's permit.
#[derive(Debug, Default)]
pub(super) struct PermitSearch {
    asked: Vec<VmId>,
    remote_domains: Vec<usize>,
    has_checked_kept: bool,
}

/// Decisions of one entry.
#[derive(Debug)]
pub(super) struct QuotaState {
    allowance: QuotaAllowance,
    peers: PermitPeers,
    role: GrantorRole,
    registered_since: Option<Instant>,
    tenants: FastMap<TenantId, TenantPermits>,
    pauses: FastMap<VmId, GrantorPause>,
    turn: usize,
}

impl QuotaState {
    pub(super) fn new(allowance: QuotaAllowance, own: VmId, now: Instant) -> Self {
        let peers = PermitPeers {
            own,
            local: Vec::new(),
            remote: Vec::new(),
            members: Vec::new(),
            domains: 1,
            may_grant: false,
            is_registered: false,
            has_older_peers: false,
            started_at: now,
            is_domain_start: false,
            role_lifetime: Duration::ZERO,
        };
        Self {
            allowance,
            peers,
            role: GrantorRole::new(now),
            registered_since: None,
            tenants: FastMap::default(),
            pauses: FastMap::default(),
            turn: 0,
        }
    }

    /// Replaces what is known about the other entries. If that shows that this entry was no grantor
    /// for a time, it starts again with empty buckets.
    pub(super) fn update_peers(&mut self, peers: PermitPeers, now: Instant) {
        self.role.check(self.peers.role_lifetime, now);
        if self.peers.members != peers.members {
            for permits in self.tenants.values_mut() {
                permits.share = None;
            }
        }
        self.peers = peers;
        let position = self.position().filter(|_| self.peers.may_grant);
        self.role.update(position, self.predecessor(now), now);
        let registered_since = self.peers.is_registered.then_some(now);
        self.registered_since = registered_since.and(self.registered_since.or(Some(now)));
    }

    /// What others may have granted in place of this entry, if it becomes a grantor now.
    fn predecessor(&self, now: Instant) -> GrantPredecessor {
        let uptime = now.saturating_duration_since(self.peers.started_at);
        if self.peers.is_domain_start && uptime < self.allowance.window {
            return GrantPredecessor::SilentFor(uptime + RESTART_TIME);
        }
        GrantPredecessor::Active
    }

    /// Whether this process has just started and grantors may begin soon.
    pub(super) fn is_starting(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.peers.started_at) < START_WAIT
    }

    /// Whether this entry is a grantor.
    pub(super) fn is_granting(&self) -> bool {
        self.role.is_granting()
    }

    fn position(&self) -> Option<usize> {
        let grantors = self.peers.local.iter().take(MAX_GRANTORS);
        grantors
            .enumerate()
            .find(|(_, grantor)| grantor.vm == self.peers.own)
            .map(|(index, _)| index)
    }

    pub(super) fn terms(&self) -> QuotaTerms {
        let grantors = self.peers.members.len().clamp(1, MAX_GRANTORS);
        QuotaTerms { allowance: self.allowance, domains: self.peers.domains, grantors }
    }

    /// Decides on a permit as a grantor; `None` if this entry is no grantor for the quota. A grant
    /// tells whether few are left, a denial after which time the entry may ask again.
    pub(super) fn grant(
        &mut self,
        tenant: &TenantId,
        quota: TenantQuota,
        now: Instant,
    ) -> Option<Result<bool, Duration>> {
        self.role.check(self.peers.role_lifetime, now);
        self.role.grant(tenant, quota, self.terms(), now)
    }

    /// Next step to obtain a permit for a request of `tenant`.
    pub(super) fn next_step(
        &mut self,
        tenant: &TenantId,
        quota: TenantQuota,
        search: &mut PermitSearch,
        now: Instant,
    ) -> PermitStep {
        if self.peers.has_older_peers {
            return PermitStep::Granted(PermitSource::Unenforced, now);
        }
        if !std::mem::replace(&mut search.has_checked_kept, true) {
            self.turn = self.turn.wrapping_add(1);
            let permits = self.permits(tenant, now);
            if let Some(asked_at) = permits.take_kept(now) {
                return PermitStep::Granted(PermitSource::Kept, asked_at);
            }
            // While permits are scarce, entries with a part of the reserve leave more to the others.
            let span = self.terms().span();
            if self.permits(tenant, now).is_scarce(span, now)
                && self.take_reserve(tenant, quota, now)
            {
                return PermitStep::Granted(PermitSource::Reserve, now);
            }
            if !self.asked_before(tenant, &self.peers.own.clone(), search, now) {
                match self.grant(tenant, quota, now) {
                    Some(Ok(is_scarce)) => {
                        self.permits(tenant, now).record_grant(is_scarce, now);
                        return PermitStep::Granted(PermitSource::Own, now);
                    }
                    Some(Err(pause)) => {
                        let own = self.peers.own.clone();
                        self.permits(tenant, now).record_denial(&own, now + pause, now);
                    }
                    None => {}
                }
            }
            search.asked.push(self.peers.own.clone());
        }
        let next = self.next_local(tenant, quota, search, now);
        let next = next.or_else(|| self.next_remote(tenant, quota, search, now));
        if let Some(grantor) = next {
            search.asked.push(grantor.vm.clone());
            return PermitStep::Ask(grantor);
        }
        if self.take_reserve(tenant, quota, now) {
            return PermitStep::Granted(PermitSource::Reserve, now);
        }
        let after = self.retry_after(tenant, now);
        PermitStep::Refused(after, self.permits(tenant, now).record_refusal(now))
    }

    fn permits(&mut self, tenant: &TenantId, now: Instant) -> &mut TenantPermits {
        if !self.tenants.contains_key(tenant) {
            self.tenants.insert(tenant.clone(), TenantPermits::new(now));
        }
        let permits = self.tenants.entry(tenant.clone()).or_insert_with(|| TenantPermits::new(now));
        permits.used_at = now;
        permits
    }

    /// Whether `grantor` is not to be asked: it was, or has denied a permit or not answered lately.
    fn asked_before(
        &self,
        tenant: &TenantId,
        grantor: &VmId,
        search: &PermitSearch,
        now: Instant,
    ) -> bool {
        search.asked.contains(grantor)
            || self.pauses.get(grantor).is_some_and(|pause| pause.until > now)
            || self
                .tenants
                .get(tenant)
                .is_some_and(|known| known.denied_for(grantor, now).is_some())
    }

    fn next_local(
        &self,
        tenant: &TenantId,
        quota: TenantQuota,
        search: &PermitSearch,
        now: Instant,
    ) -> Option<PermitGrantor> {
        let count = self.terms().grantor_count(quota).min(self.peers.local.len());
        for offset in 0..count {
            let grantor = &self.peers.local[(self.turn + offset) % count];
            if !self.asked_before(tenant, &grantor.vm, search, now) {
                return Some(grantor.clone());
            }
        }
        None
    }

    fn next_remote(
        &self,
        tenant: &TenantId,
        quota: TenantQuota,
        search: &mut PermitSearch,
        now: Instant,
    ) -> Option<PermitGrantor> {
        if search.remote_domains.len() >= MAX_REMOTE_REQUESTS {
            return None;
        }
        let domains = self.peers.remote.len();
        for offset in 0..domains {
            let domain = (self.turn + offset) % domains;
            let asked = search.remote_domains.iter().filter(|asked| **asked == domain).count();
            if asked >= MAX_REQUESTS_PER_DOMAIN {
                continue;
            }
            let members = &self.peers.remote[domain];
            // The number of grantors there follows from the number of entries, as it does here.
            let grantors = members.len().clamp(1, MAX_GRANTORS);
            let count = QuotaTerms { grantors, ..self.terms() }.grantor_count(quota);
            let mut present = members.iter().filter(|entry| !self.is_paused(&entry.vm, now));
            let mut candidates = Vec::with_capacity(count);
            candidates.extend(present.by_ref().take(count));
            for index in 0..candidates.len() {
                let start = self.turn / domains;
                let grantor = candidates[(start + index) % candidates.len()];
                if !self.asked_before(tenant, &grantor.vm, search, now) {
                    search.remote_domains.push(domain);
                    return Some(grantor.clone());
                }
            }
        }
        None
    }

    fn is_paused(&self, vm: &VmId, now: Instant) -> bool {
        self.pauses.get(vm).is_some_and(|pause| pause.until > now)
    }

    fn take_reserve(&mut self, tenant: &TenantId, quota: TenantQuota, now: Instant) -> bool {
        let Some(since) = self.registered_since else { return false };
        let terms = self.terms();
        let total = terms.reserve_tokens(quota);
        let known = self.tenants.get(tenant).and_then(|permits| permits.share);
        let share = match known {
            Some((of_total, share)) if of_total == total => share,
            _ => reserve_share(total, tenant.as_str(), &self.peers.own, &self.peers.members),
        };
        let permits = self.permits(tenant, now);
        permits.share = Some((total, share));
        permits.reserve.try_take(share, terms.span(), since, now)
    }

    /// Time until the first of the grantors that were asked has a token again.
    fn retry_after(&mut self, tenant: &TenantId, now: Instant) -> Duration {
        let span = self.terms().span();
        let Some(permits) = self.tenants.get(tenant) else { return DEFAULT_RETRY_AFTER };
        let remote = self.peers.remote.iter().flatten();
        let mut after: Option<Duration> = None;
        for grantor in self.peers.local.iter().chain(remote) {
            let Some(pause) = permits.denied_for(&grantor.vm, now) else { continue };
            after = Some(after.map_or(pause, |known| known.min(pause)));
        }
        let reserve = permits.reserve.next_token_in(span, now);
        after.or(reserve).unwrap_or(DEFAULT_RETRY_AFTER)
    }

    /// Records an answer. `wait` is the pause that a denial asks for; `None` if the entry that was
    /// asked is no grantor.
    pub(super) fn record_denial(
        &mut self,
        tenant: &TenantId,
        grantor: &VmId,
        wait: Option<Duration>,
        now: Instant,
    ) {
        match wait {
            Some(wait) => {
                self.pauses.remove(grantor);
                self.permits(tenant, now).record_denial(grantor, now + wait, now);
            }
            None => {
                let pause =
                    GrantorPause { until: now + NO_GRANTOR_PAUSE, length: FIRST_SILENCE_PAUSE };
                self.pauses.insert(grantor.clone(), pause);
            }
        }
    }

    /// Records that `grantor` has granted a permit, and whether it has few left.
    pub(super) fn record_grant(
        &mut self,
        tenant: &TenantId,
        grantor: &VmId,
        is_scarce: bool,
        now: Instant,
    ) {
        self.pauses.remove(grantor);
        self.permits(tenant, now).record_grant(is_scarce, now);
    }

    /// Records that `grantor` has not answered in time; true if it did before.
    pub(super) fn record_silence(&mut self, grantor: &VmId, now: Instant) -> bool {
        let known = self.pauses.get(grantor).copied();
        if known.is_some_and(|pause| pause.until > now) {
            return false;
        }
        let length =
            known.map_or(FIRST_SILENCE_PAUSE, |pause| (pause.length * 2).min(MAX_SILENCE_PAUSE));
        self.pauses.insert(grantor.clone(), GrantorPause { until: now + length, length });
        known.is_none()
    }

    /// Keeps a permit that was asked for at `asked_at` for the next request of the tenant.
    pub(super) fn keep(&mut self, tenant: &TenantId, asked_at: Instant, now: Instant) {
        self.permits(tenant, now).keep(asked_at, now);
    }

    /// Returns the tenants that are no longer limited, and drops state that has not been used for
    /// long.
    pub(super) fn sweep(&mut self, now: Instant) -> Vec<TenantId> {
        let window = self.allowance.window;
        let timeout = self.terms().span() * 2 + IDLE_TIMEOUT;
        let mut released = Vec::new();
        for (tenant, permits) in &mut self.tenants {
            if permits.end_limit(window, now) {
                released.push(tenant.clone());
            }
        }
        let is_recent = |at: Instant| now.saturating_duration_since(at) < timeout;
        self.tenants.retain(|_, permits| is_recent(permits.used_at));
        self.role.remove_idle(timeout, now);
        self.pauses.retain(|_, pause| is_recent(pause.until));
        released
    }

    /// Memory of the state of tenants in bytes, without the spare room of the hash maps.
    pub(super) fn state_bytes(&self) -> usize {
        let mut bytes =
            self.tenants.len() * size_of::<(TenantId, TenantPermits)>() + self.role.state_bytes();
        for (tenant, permits) in &self.tenants {
            bytes += tenant.as_str().len() + permits.heap_bytes();
        }
        bytes
    }
}
