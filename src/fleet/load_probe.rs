//! Fresh load of the upstreams in an entry's failure domain.
//!
//! Machines slow down and recover within a few hundred milliseconds, so what an entry learns from
//! its own answers is out of date by the next request. Each upstream of the domain is asked by one
//! of its entries, chosen by rendezvous hashing, which tells the others at once.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use prometheus::IntCounter;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::balance::{LoadReport, ObserveSettings, record_shared_report};
use crate::core::{ConfigSnapshot, FailureDomain, LoadReportFormat, UpstreamKey, UpstreamState};
use crate::fleet::codec::DeploymentCodec;
use crate::fleet::live_settings::LiveSettings;
use crate::fleet::peer_message::MeasuredLoad;
use crate::fleet::peer_table::ProberSet;
use crate::fleet::state::FleetState;
use crate::kernel::{ServiceName, ServiceTask};
use crate::request::{LoadProbeOutcome, UpstreamClient, probe_load};
use crate::util::FastSet;

/// Time for one probe; a load report is answered at once.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);
/// Time after which an upstream that has told no load is asked again.
const UNTOLD_PAUSE: Duration = Duration::from_secs(2);
/// Intervals between two rounds in a large failure domain.
const LARGE_ROUNDS: u32 = 2;
/// Time that a round waits for its answers before they are told to the other entries.
const ROUND_TIME: Duration = Duration::from_millis(6);

/// How load is measured.
#[derive(Clone, Debug)]
pub struct LoadProbeSettings {
    /// Settings of the entry, for the time between two probes.
    pub live: LiveSettings,
    /// How upstreams write their load.
    pub format: LoadReportFormat,
}

/// Learns load that was measured by this entry or another one.
#[derive(Clone, Debug, Default)]
pub struct LoadRecorder {
    settings: ObserveSettings,
}

impl LoadRecorder {
    /// Learns loads that another entry measured.
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

/// The service.
#[derive(Debug)]
pub struct LoadProbeService<C, D> {
    /// Sends probes.
    pub client: C,
    /// Shared state of the entry.
    pub state: Arc<FleetState<D>>,
    /// How load is measured.
    pub settings: LoadProbeSettings,
    /// Learns what this entry measures.
    pub learner: LoadRecorder,
    /// Probes sent.
    pub sent: IntCounter,
}

impl<C: UpstreamClient + Clone, D: DeploymentCodec> ServiceTask for LoadProbeService<C, D> {
    const NAME: ServiceName = ServiceName::Load;

    async fn run(self, stop: CancellationToken) {
        let work = Arc::new(self);
        let pending: PendingProbes = Arc::default();
        let mut plan = ProbePlan::default();
        while stop.run_until_cancelled(sleep(work.pause())).await.is_some() {
            work.start_round(&pending, &mut plan);
            sleep(ROUND_TIME).await;
            work.state.outgoing.notify_one();
        }
    }
}

/// Whether an upstream has told no load when it was asked a short time ago. A question to one that
/// never tells waits for a slot like a request.
fn is_resting(upstream: &UpstreamState, now: Instant) -> bool {
    let view = upstream.stats();
    let asked = view.last_probe_at.get().map(|asked| view.age_at(now, asked));
    view.last_report_at.get().is_none() && asked.is_some_and(|age| age < UNTOLD_PAUSE)
}

/// The upstreams that this entry measures; worked out anew only when the upstreams or the entries
/// that share them change.
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
        home: &FailureDomain,
    ) {
        let is_same = self.snapshot.as_ref().is_some_and(|known| Arc::ptr_eq(known, snapshot));
        if is_same && self.probers.as_ref() == Some(&probers) {
            return;
        }
        self.upstreams.clear();
        for (key, upstream) in &snapshot.upstreams {
            if upstream.failure_domain == *home && probers.owns(&upstream.name) {
                self.upstreams.push(key);
            }
        }
        self.snapshot = Some(Arc::clone(snapshot));
        self.probers = Some(probers);
    }
}

/// Upstreams whose probe is under way.
type PendingProbes = Arc<Mutex<FastSet<UpstreamKey>>>;

impl<C: UpstreamClient + Clone, D: DeploymentCodec> LoadProbeService<C, D> {
    /// Time to the next round.
    fn pause(&self) -> Duration {
        let interval = self.settings.live.load().probes.bounded_interval();
        // A large domain has more upstreams to choose from, so older load does less harm.
        let rounds = if self.state.table().is_full_mesh() { 1 } else { LARGE_ROUNDS };
        (interval * rounds).saturating_sub(ROUND_TIME)
    }

    /// Probes the upstreams that are this entry's to measure.
    fn start_round(self: &Arc<Self>, pending: &PendingProbes, plan: &mut ProbePlan) {
        let snapshot = self.state.snapshot.load_full();
        let Some(snapshot) = snapshot else { return };
        let now = Instant::now();
        if self.state.enrolment_end(now).is_some() {
            return;
        }
        let (probers, home) = {
            let table = self.state.table();
            (table.probers(now), table.own().failure_domain.clone())
        };
        plan.refresh(&snapshot, probers, &home);
        for key in plan.upstreams.iter().copied() {
            let Some(upstream) = snapshot.upstreams.get(key) else { continue };
            if upstream.is_draining() || is_resting(upstream, now) {
                continue;
            }
            if !pending.lock().unwrap_or_else(PoisonError::into_inner).insert(key) {
                continue;
            }
            let (work, pending) = (Arc::clone(self), Arc::clone(pending));
            let upstream = Arc::clone(upstream);
            tokio::spawn(async move {
                work.probe(&upstream).await;
                pending.lock().unwrap_or_else(PoisonError::into_inner).remove(&key);
            });
        }
    }

    async fn probe(&self, upstream: &Arc<UpstreamState>) {
        if upstream.spec.health_path.is_none() {
            return;
        }
        self.sent.inc();
        let asked = probe_load(&self.client, upstream, &self.settings.format, PROBE_TIMEOUT);
        let LoadProbeOutcome::Reported(report) = asked.await else { return };
        let measured = Instant::now();
        record_shared_report(upstream, report, Duration::ZERO, &self.learner.settings);
        let load = MeasuredLoad {
            instance: upstream.name.clone(),
            inflight: report.inflight,
            work_percent: report.work_percent,
            age_ms: 0,
        };
        self.state.tell_load(measured, load);
    }
}
