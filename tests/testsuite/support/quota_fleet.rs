//! Entries that exchange permits of tenants' quotas, on the paused clock and without sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use heatherfall::core::{FailureDomain, TenantId, TenantQuota, TenantRecord, VmId};
use heatherfall::fleet::peer_message::PeerMessage;
use heatherfall::fleet::peer_table::{EntryRegistration, MessageScope, OwnPermitRole, PeerTable};
use heatherfall::limits::tenant_quota::{
    PermitAnswer, PermitRequest, QuotaAllowance, QuotaTable, QuotaTerms, TenantPermit,
};
use heatherfall::membership::{EntryRecord, EntryState};
use heatherfall::util::SeededRandom;
use tokio::time::{Instant, sleep, sleep_until};

/// Window, overage and slack of the deployments that the design page names.
pub(crate) const ALLOWANCE: QuotaAllowance =
    QuotaAllowance { window: Duration::from_secs(5), overage: 0.1, slack: 20.0 };
/// Latency, one way, within a failure domain and between two.
const LATENCY: [Duration; 2] = [Duration::from_micros(200), Duration::from_micros(1400)];
/// Time from the start of an entry until its enrolment has ended.
const ENROLMENT_TIME: Duration = Duration::from_secs(1);
/// Time between two looks at the other entries.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// What happens to messages of a pair of entries.
pub(crate) type LinkRule = Arc<dyn Fn(usize, usize, &mut SeededRandom) -> LinkState + Send + Sync>;

/// What happens to one message.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum LinkState {
    Up,
    Late(Duration),
    Down,
}

struct SimEntry {
    table: PeerTable,
    quota: Arc<QuotaTable>,
    incarnation: u64,
    sequence: u64,
    started_at: Instant,
    registered_at: Instant,
    is_down: bool,
    /// Whether it runs a version without quotas.
    is_older: bool,
    paused_until: Instant,
}

struct SimState {
    entries: Vec<SimEntry>,
    link: LinkRule,
    random: SeededRandom,
    /// Start of each request that ran, by tenant.
    runs: Vec<Vec<Instant>>,
    /// Arrivals of requests, by tenant.
    arrivals: Vec<Vec<Instant>>,
    /// Times of refusals, by tenant.
    refusals: Vec<Vec<Instant>>,
    /// Messages with permit requests.
    asked: u64,
    tenants: Vec<TenantRecord>,
    rates: Vec<f64>,
}

/// The entries and their callers.
#[derive(Clone)]
pub(crate) struct QuotaFleet {
    state: Arc<Mutex<SimState>>,
    domain_count: usize,
}

fn address(entry: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (entry >> 8) as u8, entry as u8], 7))
}

fn entry_of(address: SocketAddr) -> usize {
    let SocketAddr::V4(address) = address else { panic!("an IPv4 address") };
    let [_, _, high, low] = address.ip().octets();
    usize::from(high) << 8 | usize::from(low)
}

fn vm(entry: usize) -> String {
    format!("entry-{entry:03}")
}

pub(crate) fn tenant(index: usize, per_second: f64, burst: f64) -> TenantRecord {
    TenantRecord {
        name: TenantId::new(&format!("tenant-{index}")),
        rank: None,
        quota: Some(TenantQuota { per_second, burst }),
        allowed_domains: None,
    }
}

impl QuotaFleet {
    /// Starts `count` entries, spread over `domain_count` failure domains.
    pub(crate) fn start(count: usize, domain_count: usize, seed: u64) -> Self {
        let state = SimState {
            entries: Vec::new(),
            link: Arc::new(|_, _, _| LinkState::Up),
            random: SeededRandom::new(seed),
            runs: Vec::new(),
            arrivals: Vec::new(),
            refusals: Vec::new(),
            asked: 0,
            tenants: Vec::new(),
            rates: Vec::new(),
        };
        let fleet = Self { state: Arc::new(Mutex::new(state)), domain_count };
        for index in 0..count {
            let entry = fleet.new_entry(index, count);
            fleet.lock().entries.push(entry);
        }
        for index in 0..count {
            tokio::spawn(fleet.clone().run_heartbeats(index));
            tokio::spawn(fleet.clone().run_refresh(index));
            tokio::spawn(fleet.clone().run_requests(index));
        }
        fleet
    }

    fn lock(&self) -> MutexGuard<'_, SimState> {
        self.state.lock().unwrap()
    }

    fn domain(&self, entry: usize) -> String {
        format!("fd-{}", entry % self.domain_count)
    }

    fn new_entry(&self, index: usize, count: usize) -> SimEntry {
        let mut table = PeerTable::new(EntryRecord {
            vm: VmId::new(&vm(index)),
            failure_domain: FailureDomain::new(&self.domain(index)),
            caller_address: address(index),
            peer_address: address(index),
            state: EntryState::Ready,
            has_path: true,
        });
        for other in 0..count {
            let registration = EntryRegistration {
                failure_domain: self.domain(other),
                caller_address: address(other),
                peer_address: address(other),
            };
            table.register(&vm(other), &registration);
        }
        let mut random = SeededRandom::new(self.lock().random.bits());
        SimEntry {
            table,
            incarnation: random.bits(),
            quota: Arc::new(QuotaTable::new(ALLOWANCE, VmId::new(&vm(index)), random)),
            sequence: 0,
            started_at: Instant::now(),
            registered_at: Instant::now() + ENROLMENT_TIME,
            is_down: false,
            is_older: false,
            paused_until: Instant::now(),
        }
    }

    /// Stops an entry; its memory is lost.
    pub(crate) fn kill(&self, entry: usize) {
        self.lock().entries[entry].is_down = true;
    }

    /// Makes an entry one of a version without quotas, as its messages show it.
    pub(crate) fn set_older(&self, entry: usize) {
        self.lock().entries[entry].is_older = true;
    }

    /// Quotas at an entry.
    pub(crate) fn quota(&self, entry: usize) -> Arc<QuotaTable> {
        Arc::clone(&self.lock().entries[entry].quota)
    }

    /// Starts an entry again that was killed.
    pub(crate) fn restart(&self, entry: usize) {
        let count = self.lock().entries.len();
        let started = self.new_entry(entry, count);
        self.lock().entries[entry] = started;
    }

    /// Starts all entries again that were killed.
    pub(crate) fn restart_stopped(&self) {
        let count = self.lock().entries.len();
        for entry in 0..count {
            let is_down = self.lock().entries[entry].is_down;
            if is_down {
                self.restart(entry);
            }
        }
    }

    /// Stops the process of an entry for `time`; datagrams to it wait.
    pub(crate) fn pause(&self, entry: usize, time: Duration) {
        self.lock().entries[entry].paused_until = Instant::now() + time;
    }

    pub(crate) fn set_link(&self, link: LinkRule) {
        self.lock().link = link;
    }

    /// Changes the quota of a tenant in the configuration of all entries.
    pub(crate) fn set_quota(&self, tenant: usize, per_second: f64, burst: f64) {
        self.lock().tenants[tenant].quota = Some(TenantQuota { per_second, burst });
    }

    /// Begins to send requests of a tenant to random entries out of `entries`, with exponential
    /// intervals. Refused ones are not repeated.
    pub(crate) fn add_tenant(&self, record: TenantRecord, per_second: f64, entries: Vec<usize>) {
        let index = {
            let mut state = self.lock();
            state.tenants.push(record);
            state.rates.push(per_second);
            state.runs.push(Vec::new());
            state.arrivals.push(Vec::new());
            state.refusals.push(Vec::new());
            state.tenants.len() - 1
        };
        tokio::spawn(self.clone().run_caller(index, entries));
    }

    async fn run_caller(self, tenant: usize, entries: Vec<usize>) {
        loop {
            let (wait, entry) = {
                let mut state = self.lock();
                let wait = -(1.0 - state.random.unit()).ln() / state.rates[tenant];
                (wait, entries[state.random.below(entries.len())])
            };
            sleep(Duration::from_secs_f64(wait)).await;
            tokio::spawn(self.clone().run_request(tenant, entry));
        }
    }

    async fn run_request(self, tenant: usize, entry: usize) {
        self.wait_while_paused(entry).await;
        let (quota, record, body_time, is_run) = {
            let mut state = self.lock();
            let known = &state.entries[entry];
            if known.is_down || known.registered_at > Instant::now() {
                return;
            }
            let quota = Arc::clone(&known.quota);
            // One request in ten has a body that takes up to 600 ms, and one in fifty is not run.
            let body_time =
                if state.random.below(10) == 0 { 600.0 * state.random.unit() } else { 0.0 };
            let is_run = state.random.below(50) > 0;
            state.arrivals[tenant].push(Instant::now());
            (quota, state.tenants[tenant].clone(), body_time, is_run)
        };
        let mut acquired = quota.acquire(&record).await;
        if body_time > 0.0 {
            sleep(Duration::from_secs_f64(body_time / 1000.0)).await;
            self.wait_while_paused(entry).await;
        }
        if matches!(&acquired, Ok(Some(permit)) if permit.is_expired()) {
            acquired = quota.acquire(&record).await;
        }
        let mut state = self.lock();
        match acquired {
            Ok(permit) => {
                let mut permit: TenantPermit = permit.expect("the tenant has a quota");
                permit.set_used(is_run);
                if is_run && !state.entries[entry].is_down {
                    state.runs[tenant].push(Instant::now());
                }
            }
            Err(_) => state.refusals[tenant].push(Instant::now()),
        }
    }

    async fn wait_while_paused(&self, entry: usize) {
        loop {
            let until = self.lock().entries[entry].paused_until;
            if until <= Instant::now() {
                return;
            }
            sleep_until(until).await;
        }
    }

    /// Waits as long as a message takes; false if it is lost.
    async fn carry(&self, from: usize, to: usize) -> bool {
        let delay = {
            let mut state = self.lock();
            let link = Arc::clone(&state.link);
            let is_remote = usize::from(from % self.domain_count != to % self.domain_count);
            match link(from, to, &mut state.random) {
                LinkState::Up => LATENCY[is_remote],
                LinkState::Late(time) => LATENCY[is_remote] + time,
                LinkState::Down => return false,
            }
        };
        sleep(delay).await;
        self.wait_while_paused(to).await;
        !self.lock().entries[to].is_down
    }

    async fn run_heartbeats(self, entry: usize) {
        loop {
            self.wait_while_paused(entry).await;
            let (interval, message, recipients) = {
                let now = Instant::now();
                let mut state = self.lock();
                let known = &mut state.entries[entry];
                known.sequence += 1;
                let own = known.table.own().clone();
                let message = PeerMessage {
                    vm: own.vm.to_string(),
                    incarnation: known.incarnation,
                    sequence: known.sequence,
                    failure_domain: own.failure_domain.to_string(),
                    caller_address: own.caller_address,
                    state: own.state,
                    is_enrolled: known.registered_at <= now,
                    confirmation: None,
                    alive: known.table.alive_digests(now),
                    has_no_path: false,
                    no_path: Vec::new(),
                    loads: Vec::new(),
                    change: None,
                    limits: Vec::new(),
                    config_part: None,
                    cold: Vec::new(),
                    uptime_ms: Some((now - known.started_at).as_millis() as u64),
                    grants_permits: known.registered_at <= now && !known.is_older,
                    is_granting: known.quota.is_granting(),
                    permit_requests: Vec::new(),
                    permit_answers: Vec::new(),
                };
                let mut recipients = known.table.recipients(MessageScope::LeaderCandidates, now);
                if known.is_down {
                    recipients.clear();
                }
                (known.table.message_interval(), Arc::new(message), recipients)
            };
            for recipient in recipients {
                let (fleet, message) = (self.clone(), Arc::clone(&message));
                tokio::spawn(async move {
                    let to = entry_of(recipient);
                    if fleet.carry(entry, to).await {
                        let now = Instant::now();
                        let table = &mut fleet.lock().entries[to].table;
                        table.apply_message(&message, address(entry), now);
                    }
                });
            }
            sleep(interval).await;
        }
    }

    async fn run_refresh(self, entry: usize) {
        loop {
            self.wait_while_paused(entry).await;
            let (quota, peers) = {
                let state = self.lock();
                let known = &state.entries[entry];
                let now = Instant::now();
                let domains =
                    (0..self.domain_count).map(|index| FailureDomain::new(&self.domain(index)));
                let is_registered = known.registered_at <= now;
                let role = OwnPermitRole {
                    is_advertised: is_registered,
                    is_registered,
                    domains: domains.collect::<BTreeSet<_>>(),
                    started_at: known.started_at,
                };
                (Arc::clone(&known.quota), known.table.permit_peers(&role, now))
            };
            quota.update_peers(peers);
            sleep(REFRESH_INTERVAL).await;
        }
    }

    async fn run_requests(self, entry: usize) {
        loop {
            let quota = Arc::clone(&self.lock().entries[entry].quota);
            // Looks for a restarted entry's quotas from time to time.
            let _ = tokio::time::timeout(REFRESH_INTERVAL, quota.wait_for_requests()).await;
            self.wait_while_paused(entry).await;
            for (to, requests) in quota.take_requests() {
                self.lock().asked += 1;
                let (fleet, quota) = (self.clone(), Arc::clone(&quota));
                tokio::spawn(async move {
                    if let Some(answers) = fleet.ask(entry, entry_of(to), requests).await {
                        quota.receive_answers(&answers);
                    }
                });
            }
        }
    }

    async fn ask(
        &self,
        from: usize,
        to: usize,
        requests: Vec<PermitRequest>,
    ) -> Option<Vec<PermitAnswer>> {
        if !self.carry(from, to).await {
            return None;
        }
        let (quota, quotas) = {
            let state = self.lock();
            let mut quotas = BTreeMap::new();
            for tenant in &state.tenants {
                quotas.insert(tenant.name.to_string(), tenant.quota);
            }
            (Arc::clone(&state.entries[to].quota), quotas)
        };
        let mut answers = Vec::new();
        for request in &requests {
            answers.push(quota.answer(request, quotas[&request.tenant]));
        }
        self.carry(to, from).await.then_some(answers)
    }

    /// Entries that are grantors.
    pub(crate) fn grantors(&self) -> Vec<usize> {
        let state = self.lock();
        let entries = state.entries.iter().enumerate();
        entries.filter(|(_, entry)| entry.quota.is_granting()).map(|(index, _)| index).collect()
    }

    /// Most requests of a tenant that ran in any window that began at `from` or later.
    pub(crate) fn most_in_a_window(&self, tenant: usize, from: Instant) -> usize {
        let mut runs = self.lock().runs[tenant].clone();
        runs.retain(|run| *run >= from);
        runs.sort();
        let mut most = 0;
        let mut first = 0;
        for (last, run) in runs.iter().enumerate() {
            while *run - runs[first] > ALLOWANCE.window {
                first += 1;
            }
            most = most.max(last + 1 - first);
        }
        most
    }

    /// Requests of a tenant that ran and that were refused since `from`.
    pub(crate) fn counts(&self, tenant: usize, from: Instant) -> (usize, usize) {
        let state = self.lock();
        let since = |times: &[Instant]| times.iter().filter(|time| **time >= from).count();
        (since(&state.runs[tenant]), since(&state.refusals[tenant]))
    }

    /// Refusals since `from` while no more requests than the rate and the burst allow had arrived in
    /// the window before.
    pub(crate) fn refused_below_quota(&self, tenant: usize, from: Instant) -> usize {
        let state = self.lock();
        let quota = state.tenants[tenant].quota.expect("a quota");
        let allowed = quota.per_second * ALLOWANCE.window.as_secs_f64() + quota.burst;
        let mut refused = 0;
        for at in state.refusals[tenant].iter().filter(|at| **at >= from) {
            let recent =
                |arrival: &&Instant| **arrival <= *at && *at - **arrival <= ALLOWANCE.window;
            let arrived = state.arrivals[tenant].iter().filter(recent).count();
            refused += usize::from(arrived as f64 <= allowed);
        }
        refused
    }

    /// Requests that a tenant may run in any window.
    pub(crate) fn bound(&self, tenant: usize) -> f64 {
        let quota = self.lock().tenants[tenant].quota.expect("a quota");
        QuotaTerms { allowance: ALLOWANCE, domains: self.domain_count, grantors: 3 }.bound(quota)
    }

    /// Messages with permit requests so far.
    pub(crate) fn asked(&self) -> u64 {
        self.lock().asked
    }

    /// Most bytes of state at an entry.
    pub(crate) fn state_bytes(&self) -> usize {
        let state = self.lock();
        state.entries.iter().map(|entry| entry.quota.state_bytes()).max().unwrap_or_default()
    }
}
