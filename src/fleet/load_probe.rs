//! Load probes of the upstreams in an entry's failure domain.
//!
//! Machines slow down and recover within a few hundred milliseconds, so the load that an entry
//! learns from its own responses is stale by the next request. Each upstream of the domain is
//! probed by one of its entries, chosen by rendezvous hashing, which sends the result to the others
//! at once.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use prometheus::IntCounter;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::balance::{LoadReport, ObserveSettings, PathMonitor, PathTrial, record_shared_report};
use crate::core::{ConfigSnapshot, FailureDomain, HeaderNames, UpstreamKey, UpstreamState};
use crate::fleet::codec::DeploymentCodec;
use crate::fleet::live_settings::LiveSettings;
use crate::fleet::peer_message::MeasuredLoad;
use crate::fleet::peer_table::ProberSet;
use crate::fleet::state::FleetState;
use crate::kernel::{ServiceName, ServiceTask};
use crate::request::{LoadProbeOutcome, UpstreamClient, probe_load};
use crate::util::FastSet;

/// Timeout of a probe; upstreams respond to load reports without queueing them.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which an upstream that has never reported a load is probed again.
const PROBE_BACKOFF: Duration = Duration::from_secs(2);
/// Probe intervals from one round to the next in a large failure domain.
const LARGE_DOMAIN_INTERVALS: u32 = 2;
/// Time from the start of a round until its results are sent to the other entries.
const ROUND_COLLECT_TIME: Duration = Duration::from_millis(6);

/// Settings of the probes.
#[derive(Clone, Debug)]
pub struct LoadProbeSettings {
    /// Settings of the entry, for the probe interval.
    pub live: LiveSettings,
    /// Headers in which upstreams report their load and name their rate limit.
    pub headers: HeaderNames,
}

/// Records loads from probes in the statistics of their upstreams.
#[derive(Clone, Debug, Default)]
pub struct LoadRecorder {
    settings: ObserveSettings,
}

impl LoadRecorder {
    /// Records loads that another entry measured; those of unknown upstreams are ignored.
    pub fn record(&self, snapshot: &ConfigSnapshot, loads: &[MeasuredLoad]) {
        for load in loads {
            let key = snapshot.upstream_names.get(&load.instance);
            let Some(upstream) = key.and_then(|key| snapshot.upstreams.get(*key)) else { continue };
            let report = LoadReport { inflight: load.inflight, work_percent: load.work_percent };
            record_shared_report(
                upstream,
                report,
                Duration::from_millis(load.age_ms),
                &self.settings,
            );
        }
    }
}

/// Probes the upstreams that are assigned to this entry.
#[derive(Debug)]
pub struct LoadProbeService<C, D> {
    /// Client that sends the probes.
    pub client: C,
    /// Shared state of the entry.
    pub state: Arc<FleetState<D>>,
    /// Settings of the probes.
    pub settings: LoadProbeSettings,
    /// Records the measured loads.
    pub recorder: LoadRecorder,
    /// Whether this entry has a path to the upstreams; without one it probes none.
    pub path: Arc<PathMonitor>,
    /// Number of probes sent.
    pub probes_sent: IntCounter,
}

impl<C: UpstreamClient + Clone, D: DeploymentCodec> ServiceTask for LoadProbeService<C, D> {
    const NAME: ServiceName = ServiceName::Load;

    async fn run(self, stop: CancellationToken) {
        let service = Arc::new(self);
        let pending: PendingProbes = Arc::default();
        let mut plan = ProbePlan::default();
        while stop.run_until_cancelled(sleep(service.round_delay())).await.is_some() {
            service.start_round(&pending, &mut plan);
            sleep(ROUND_COLLECT_TIME).await;
            service.state.peer_wakeup.notify_one();
        }
    }
}

/// Whether an upstream that has never reported a load was probed within [`PROBE_BACKOFF`]. One that
/// doesn't know load reports queues a probe like a request.
fn is_in_probe_backoff(upstream: &UpstreamState, now: Instant) -> bool {
    let stats = upstream.stats();
    let probe_age = stats.last_probe_at.get().map(|probed_at| stats.age_at(now, probed_at));
    stats.last_report_at.get().is_none() && probe_age.is_some_and(|age| age < PROBE_BACKOFF)
}

/// The upstreams that this entry probes. Recomputed only when the snapshot or the set of probing
/// entries changes.
#[derive(Debug, Default)]
struct ProbePlan {
    snapshot: Option<Arc<ConfigSnapshot>>,
    probers: Option<ProberSet>,
    upstreams: Vec<UpstreamKey>,
}

impl ProbePlan {
    fn refresh(
        &mut self,
        snapshot: &Arc<ConfigSnapshot>,
        probers: ProberSet,
        local_domain: &FailureDomain,
    ) {
        let is_same = self.snapshot.as_ref().is_some_and(|known| Arc::ptr_eq(known, snapshot));
        if is_same && self.probers.as_ref() == Some(&probers) {
            return;
        }
        self.upstreams.clear();
        for (key, upstream) in &snapshot.upstreams {
            if upstream.failure_domain == *local_domain && probers.owns(&upstream.name) {
                self.upstreams.push(key);
            }
        }
        self.snapshot = Some(Arc::clone(snapshot));
        self.probers = Some(probers);
    }
}

/// Upstreams with a probe in flight.
type PendingProbes = Arc<Mutex<FastSet<UpstreamKey>>>;

impl<C: UpstreamClient + Clone, D: DeploymentCodec> LoadProbeService<C, D> {
    /// Time from the end of a round to the start of the next.
    fn round_delay(&self) -> Duration {
        let interval = self.settings.live.load().probes.bounded_interval();
        // A large domain has more upstreams to choose from, so stale load does less harm.
        let intervals = if self.state.table().is_full_mesh() { 1 } else { LARGE_DOMAIN_INTERVALS };
        (interval * intervals).saturating_sub(ROUND_COLLECT_TIME)
    }

    /// Starts a probe of each upstream that is assigned to this entry and has none in flight.
    fn start_round(self: &Arc<Self>, pending: &PendingProbes, plan: &mut ProbePlan) {
        let snapshot = self.state.snapshot.load_full();
        let Some(snapshot) = snapshot else { return };
        let now = Instant::now();
        if self.state.enrolment_deadline(now).is_some() || self.path.is_cut() {
            return;
        }
        let (probers, local_domain) = {
            let table = self.state.table();
            (table.probers(now), table.own().failure_domain.clone())
        };
        plan.refresh(&snapshot, probers, &local_domain);
        for key in plan.upstreams.iter().copied() {
            let Some(upstream) = snapshot.upstreams.get(key) else { continue };
            let is_unwanted = upstream.is_draining() || !upstream.stats().pause_left(now).is_zero();
            if is_unwanted || is_in_probe_backoff(upstream, now) {
                continue;
            }
            if !pending.lock().unwrap_or_else(PoisonError::into_inner).insert(key) {
                continue;
            }
            let (service, pending) = (Arc::clone(self), Arc::clone(pending));
            let upstream = Arc::clone(upstream);
            tokio::spawn(async move {
                service.probe(&upstream).await;
                pending.lock().unwrap_or_else(PoisonError::into_inner).remove(&key);
            });
        }
    }

    async fn probe(&self, upstream: &Arc<UpstreamState>) {
        if upstream.spec.health_path.is_none() {
            return;
        }
        self.probes_sent.inc();
        let was_cold = upstream.warm_up().is_cold(Instant::now());
        let outcome = probe_load(&self.client, upstream, &self.settings.headers, PROBE_TIMEOUT);
        let outcome = outcome.await;
        self.path.record(upstream.spec.address, PathTrial::Exchange, outcome.path_result());
        if !was_cold && upstream.warm_up().is_cold(Instant::now()) {
            // The others still send at the usual rate until they know it.
            self.state.peer_wakeup.notify_one();
        }
        let LoadProbeOutcome::Reported(report) = outcome else { return };
        let measured = Instant::now();
        record_shared_report(upstream, report, Duration::ZERO, &self.recorder.settings);
        let load = MeasuredLoad {
            instance: upstream.name.clone(),
            inflight: report.inflight,
            work_percent: report.work_percent,
            age_ms: 0,
        };
        self.state.queue_load(measured, load);
    }
}
