//! Interface of the quotas: permits for the request path, messages for the exchange with other
//! entries.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, oneshot};
use tokio::time::{Instant, sleep, timeout};

use crate::core::{TenantId, TenantQuota, TenantRecord, VmId};
use crate::limits::tenant_quota::permit_peers::{PermitAnswer, PermitPeers, PermitRequest};
use crate::limits::tenant_quota::quota_state::{
    PermitSearch, PermitSource, PermitStep, QuotaState,
};
use crate::limits::tenant_quota::quota_terms::QuotaAllowance;
use crate::limits::tenant_quota::tenant_permits::is_expired;
use crate::util::{FastMap, SeededRandom, SharedRandom};

/// Longest time for the answer of a grantor. A round trip between failure domains takes 3 ms; VMs
/// with 0.07 cores answer late when they are busy.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(50);
/// Time between two attempts to obtain a permit while grantors are expected to begin.
const START_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Minimum range of the random time that is added to `Retry-After`, so that the callers of a tenant
/// don't return together.
const MIN_RETRY_JITTER: Duration = Duration::from_millis(500);

/// Number of decisions by outcome since the start.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct QuotaUsage {
    /// Permits of this entry's own share as a grantor, used by its own requests.
    pub own: u64,
    /// Permits granted by other entries.
    pub granted: u64,
    /// Permits that an earlier request did not use.
    pub kept: u64,
    /// Permits of the reserve.
    pub reserve: u64,
    /// Requests that needed no permit because older versions run in the failure domain.
    pub unenforced: u64,
    /// Refused requests.
    pub refused: u64,
    /// Times that a grantor stopped answering.
    pub grantor_lost: u64,
    /// Permits granted to other entries.
    pub answered_granted: u64,
    /// Permits denied to other entries, also because this one is no grantor.
    pub answered_denied: u64,
}

#[derive(Debug, Default)]
struct UsageCounters {
    own: AtomicU64,
    granted: AtomicU64,
    kept: AtomicU64,
    reserve: AtomicU64,
    unenforced: AtomicU64,
    refused: AtomicU64,
    grantor_lost: AtomicU64,
    answered_granted: AtomicU64,
    answered_denied: AtomicU64,
}

/// A request for a permit whose answer is expected, or may still arrive.
#[derive(Debug)]
struct PendingPermit {
    tenant: TenantId,
    grantor: VmId,
    asked_at: Instant,
    /// Told whether the permit is granted, while the request waits for it.
    waiting: oneshot::Sender<bool>,
}

#[derive(Debug, Default)]
struct PermitExchangeState {
    next_id: u64,
    pending: FastMap<u64, PendingPermit>,
    outbox: Vec<(SocketAddr, PermitRequest)>,
}

/// Quotas of all tenants at one entry.
#[derive(Debug)]
pub struct QuotaTable {
    state: Mutex<QuotaState>,
    exchange: Mutex<PermitExchangeState>,
    request_notice: Notify,
    random: SharedRandom,
    usage: UsageCounters,
}

/// Permit to run one request. Unless it is marked as used, it is kept for the next request of the
/// tenant when it is dropped.
#[derive(Debug)]
pub struct TenantPermit {
    table: Arc<QuotaTable>,
    tenant: TenantId,
    asked_at: Instant,
    is_used: bool,
}

impl TenantPermit {
    /// Whether it is too old for its request to start.
    pub fn is_expired(&self) -> bool {
        is_expired(self.asked_at, Instant::now())
    }

    /// Sets whether the request has run or may have run.
    pub fn set_used(&mut self, is_used: bool) {
        self.is_used = is_used;
    }
}

impl Drop for TenantPermit {
    fn drop(&mut self) {
        if !self.is_used {
            lock(&self.table.state).keep(&self.tenant, self.asked_at, Instant::now());
        }
    }
}

impl QuotaTable {
    /// Creates the quotas of entry `own`, which knows no other entries yet.
    pub fn new(allowance: QuotaAllowance, own: VmId, mut random: SeededRandom) -> Self {
        // Answers to an earlier process of this entry must not match a request of this one.
        let exchange = PermitExchangeState { next_id: random.bits() >> 1, ..Default::default() };
        Self {
            state: Mutex::new(QuotaState::new(allowance, own, Instant::now())),
            exchange: Mutex::new(exchange),
            request_notice: Notify::new(),
            random: SharedRandom::new(random),
            usage: UsageCounters::default(),
        }
    }

    /// Replaces what is known about the other entries; to be called several times a second.
    pub fn update_peers(&self, peers: PermitPeers) {
        let now = Instant::now();
        let released = {
            let mut state = lock(&self.state);
            state.update_peers(peers, now);
            state.sweep(now)
        };
        for tenant in released {
            log::info!(target: "quota", "tenant is no longer limited tenant={tenant}");
        }
        lock(&self.exchange).pending.retain(|_, pending| !is_expired(pending.asked_at, now));
    }

    /// Whether this entry is a grantor.
    pub fn is_granting(&self) -> bool {
        lock(&self.state).is_granting()
    }

    /// Obtains a permit for a request of `tenant`; `None` if it needs none.
    ///
    /// # Errors
    ///
    /// Returns the time after which the caller may try again. The quota is used up.
    pub async fn acquire(
        self: &Arc<Self>,
        tenant: &TenantRecord,
    ) -> Result<Option<TenantPermit>, Duration> {
        let Some(quota) = tenant.quota else { return Ok(None) };
        let name = &tenant.name;
        let mut search = PermitSearch::default();
        loop {
            let now = Instant::now();
            let step = lock(&self.state).next_step(name, quota, &mut search, now);
            match step {
                PermitStep::Granted(source, asked_at) => {
                    self.count_source(source);
                    return Ok(Some(self.permit(name, asked_at)));
                }
                PermitStep::Ask(grantor) => {
                    let (id, answer) = self.ask(name, grantor.vm.clone(), grantor.address, now);
                    match timeout(ANSWER_TIMEOUT, answer).await {
                        Ok(Ok(true)) => {
                            count(&self.usage.granted);
                            return Ok(Some(self.permit(name, now)));
                        }
                        Ok(_) => {}
                        Err(_) => self.record_silence(id, &grantor.vm),
                    }
                }
                PermitStep::Refused(..) if lock(&self.state).is_starting(now) => {
                    sleep(START_POLL_INTERVAL).await;
                    search = PermitSearch::default();
                }
                PermitStep::Refused(after, is_first) => {
                    count(&self.usage.refused);
                    if is_first {
                        log::info!(
                            target: "quota",
                            "tenant is limited tenant={name} per_second={} burst={}",
                            quota.per_second,
                            quota.burst,
                        );
                    }
                    let jitter = after.max(MIN_RETRY_JITTER).mul_f32(self.random.unit());
                    return Err(after + jitter);
                }
            }
        }
    }

    fn permit(self: &Arc<Self>, tenant: &TenantId, asked_at: Instant) -> TenantPermit {
        TenantPermit { table: Arc::clone(self), tenant: tenant.clone(), asked_at, is_used: false }
    }

    fn ask(
        &self,
        tenant: &TenantId,
        grantor: VmId,
        address: SocketAddr,
        now: Instant,
    ) -> (u64, oneshot::Receiver<bool>) {
        let (waiting, answer) = oneshot::channel();
        let mut exchange = lock(&self.exchange);
        let id = exchange.next_id;
        exchange.next_id = id.wrapping_add(1);
        let pending = PendingPermit { tenant: tenant.clone(), grantor, asked_at: now, waiting };
        exchange.pending.insert(id, pending);
        exchange.outbox.push((address, PermitRequest { id, tenant: tenant.to_string() }));
        drop(exchange);
        self.request_notice.notify_one();
        (id, answer)
    }

    /// Records that a request was not answered in time, unless its answer has just arrived.
    fn record_silence(&self, id: u64, grantor: &VmId) {
        if !lock(&self.exchange).pending.contains_key(&id) {
            return;
        }
        if lock(&self.state).record_silence(grantor, Instant::now()) {
            count(&self.usage.grantor_lost);
            log::info!(target: "quota", "grantor does not answer vm={grantor}");
        }
    }

    /// Waits until there are requests to send.
    pub async fn wait_for_requests(&self) {
        self.request_notice.notified().await;
    }

    /// Takes the requests to be sent, by the address of the entry that is asked.
    pub fn take_requests(&self) -> Vec<(SocketAddr, Vec<PermitRequest>)> {
        let mut grouped: Vec<(SocketAddr, Vec<PermitRequest>)> = Vec::new();
        for (address, request) in std::mem::take(&mut lock(&self.exchange).outbox) {
            match grouped.iter_mut().find(|(known, _)| *known == address) {
                Some((_, requests)) => requests.push(request),
                None => grouped.push((address, vec![request])),
            }
        }
        grouped
    }

    /// Decides on the request of another entry. `quota` is that of the tenant in this entry's
    /// configuration; `None` if the tenant is unknown here.
    pub fn answer(&self, request: &PermitRequest, quota: Option<TenantQuota>) -> PermitAnswer {
        let tenant = TenantId::new(&request.tenant);
        let now = Instant::now();
        let decision = quota.and_then(|quota| lock(&self.state).grant(&tenant, quota, now));
        let is_granted = matches!(decision, Some(Ok(_)));
        let is_scarce = decision == Some(Ok(true));
        count(if is_granted { &self.usage.answered_granted } else { &self.usage.answered_denied });
        // Rounded up: an entry that asks again too early is denied again.
        let wait_ms = decision.and_then(Result::err).map(|wait| wait.as_millis() as u64 + 1);
        PermitAnswer { id: request.id, is_granted, is_scarce, wait_ms }
    }

    /// Records the answers of another entry. A permit that no request waits for any more is kept.
    pub fn receive_answers(&self, answers: &[PermitAnswer]) {
        let now = Instant::now();
        for answer in answers {
            let Some(pending) = lock(&self.exchange).pending.remove(&answer.id) else { continue };
            let mut state = lock(&self.state);
            if !answer.is_granted {
                let wait = answer.wait_ms.map(Duration::from_millis);
                state.record_denial(&pending.tenant, &pending.grantor, wait, now);
            } else {
                state.record_grant(&pending.tenant, &pending.grantor, answer.is_scarce, now);
            }
            let is_taken = pending.waiting.send(answer.is_granted).is_ok();
            if answer.is_granted && !is_taken {
                state.keep(&pending.tenant, pending.asked_at, now);
            }
        }
    }

    /// Decisions by outcome.
    pub fn usage(&self) -> QuotaUsage {
        let usage = &self.usage;
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        QuotaUsage {
            own: load(&usage.own),
            granted: load(&usage.granted),
            kept: load(&usage.kept),
            reserve: load(&usage.reserve),
            unenforced: load(&usage.unenforced),
            refused: load(&usage.refused),
            grantor_lost: load(&usage.grantor_lost),
            answered_granted: load(&usage.answered_granted),
            answered_denied: load(&usage.answered_denied),
        }
    }

    /// Memory of the state of tenants in bytes, without the spare room of the hash maps.
    pub fn state_bytes(&self) -> usize {
        lock(&self.state).state_bytes()
    }

    fn count_source(&self, source: PermitSource) {
        count(match source {
            PermitSource::Kept => &self.usage.kept,
            PermitSource::Own => &self.usage.own,
            PermitSource::Reserve => &self.usage.reserve,
            PermitSource::Unenforced => &self.usage.unenforced,
        });
    }
}

fn count(counter: &AtomicU64) {
    counter.fetch_add(1, Ordering::Relaxed);
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
