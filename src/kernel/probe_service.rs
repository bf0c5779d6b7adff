//! The service that probes upstreams without recent responses, within the deployment's budget.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use prometheus::{Gauge, IntCounter, Registry};
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::balance::{
    AttemptReport, AttemptResult, LeasedProbeBudget, LoadReport, ObserveSettings,
    PROBE_SHARE_COUNT, ProbeSettings, SHARE_RENEWAL_INTERVAL, ShareLeaseManager, next_probe,
    record_probe_result, record_probe_sent,
};
use crate::core::{
    LoadReportFormat, SharedSnapshot, UPSTREAM_DRAIN_HEADER, UPSTREAM_NOT_RUN_HEADER,
    UpstreamState, VmId,
};
use crate::kernel::service_kernel::ServiceName;
use crate::kernel::task_service::ServiceTask;
use crate::membership::SharedMembership;
use crate::platform::PlatformStore;
use crate::request::{
    AttemptOutcome, AttemptRequest, ConnectionPolicy, UnknownCause, UpstreamClient,
};
use crate::util::SeededRandom;

/// Interval at which upstreams that are due for a probe are looked up.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Interval at which the number of shares that this node should hold is computed.
const SHARE_COUNT_INTERVAL: Duration = Duration::from_secs(1);
/// Path of a probe, which is a HEAD request; every HTTP server responds to it in some way.
const PROBE_PATH: &str = "/";

/// Probes upstreams and leases the node's shares of the probe budget.
pub struct ProbeService<S, C> {
    /// VM of this node.
    pub vm: VmId,
    /// The platform's object store, which holds the leases.
    pub store: Arc<S>,
    /// Client that sends the probes.
    pub client: C,
    /// The configuration, with the budget and the upstreams.
    pub snapshot: SharedSnapshot,
    /// The number of its ready entries divides the budget. A wrong view can leave budget unused,
    /// but cannot exceed it.
    pub membership: SharedMembership,
    /// Metrics of this service.
    pub metrics: ProbeMetrics,
    /// Random numbers for the choice of shares.
    pub random: SeededRandom,
}

/// Metrics about probes.
#[derive(Clone, Debug)]
pub struct ProbeMetrics {
    sent: IntCounter,
    allowed: Gauge,
    budget: Gauge,
}

impl ProbeMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Returns an error if the registry already holds metrics of the same names.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let metrics = Self {
            sent: IntCounter::new("heatherfall_probes_total", "Probes sent by this entry.")?,
            allowed: Gauge::new(
                "heatherfall_probes_allowed_per_second",
                "Probes a second that this entry's shares allow.",
            )?,
            budget: Gauge::new(
                "heatherfall_probe_budget_per_second",
                "Probes a second that the whole deployment may send.",
            )?,
        };
        registry.register(Box::new(metrics.sent.clone()))?;
        registry.register(Box::new(metrics.allowed.clone()))?;
        registry.register(Box::new(metrics.budget.clone()))?;
        Ok(metrics)
    }
}

impl<S: PlatformStore, C: UpstreamClient + Clone> ServiceTask for ProbeService<S, C> {
    const NAME: ServiceName = ServiceName::Probe;

    async fn run(mut self, stop: CancellationToken) {
        let probe_budget = Arc::new(LeasedProbeBudget::default());
        let share_leases = ShareLeaseManager::new(self.vm.as_str(), &mut self.random);
        let (store, membership) = (Arc::clone(&self.store), Arc::clone(&self.membership));
        let share_upkeep = maintain_shares(
            share_leases,
            store,
            Arc::clone(&probe_budget),
            membership,
            stop.clone(),
        );
        tokio::join!(share_upkeep, probe(self, probe_budget, stop));
    }
}

async fn maintain_shares<S: PlatformStore>(
    mut share_leases: ShareLeaseManager,
    store: Arc<S>,
    probe_budget: Arc<LeasedProbeBudget>,
    membership: SharedMembership,
    stop: CancellationToken,
) {
    let mut has_failed = false;
    let mut next_renewal_at = Instant::now();
    loop {
        let entries = membership.load().ready().count().max(1);
        let target_count = (PROBE_SHARE_COUNT as usize).div_ceil(entries);
        // Surplus shares are released at once: a starting node sees no other entries at first and
        // leases too many.
        if Instant::now() >= next_renewal_at || share_leases.held() > target_count {
            let step = stop
                .run_until_cancelled(share_leases.renew_and_claim(
                    &*store,
                    &probe_budget,
                    target_count,
                ))
                .await;
            let Some(result) = step else { break };
            if let Err(error) = &result
                && !has_failed
            {
                log::warn!(target: "probe", "probe share renewal failed reason={error}");
            }
            has_failed = result.is_err();
            next_renewal_at = Instant::now() + SHARE_RENEWAL_INTERVAL;
        }
        if stop.run_until_cancelled(sleep(SHARE_COUNT_INTERVAL)).await.is_none() {
            break;
        }
    }
    share_leases.release_all(&*store, &probe_budget).await;
}

async fn probe<S, C: UpstreamClient + Clone>(
    service: ProbeService<S, C>,
    probe_budget: Arc<LeasedProbeBudget>,
    stop: CancellationToken,
) {
    let settings = ProbeSettings::default();
    while stop.run_until_cancelled(sleep(PROBE_INTERVAL)).await.is_some() {
        let Some(snapshot) = service.snapshot.load_full() else { continue };
        let budget = snapshot.budget.probes_per_second;
        let share = probe_budget.held_shares() as f64 / f64::from(PROBE_SHARE_COUNT);
        service.metrics.budget.set(budget);
        service.metrics.allowed.set(budget * share);
        while let Some(key) = next_probe(&snapshot, &settings) {
            if !probe_budget.try_take(budget) {
                break;
            }
            let Some(upstream) = snapshot.upstreams.get(key) else { break };
            record_probe_sent(upstream);
            service.metrics.sent.inc();
            tokio::spawn(send_probe(
                service.client.clone(),
                Arc::clone(upstream),
                settings.timeout,
            ));
        }
    }
}

async fn send_probe<C: UpstreamClient>(client: C, upstream: Arc<UpstreamState>, timeout: Duration) {
    let started = Instant::now();
    let request = AttemptRequest {
        method: Method::HEAD,
        uri: Uri::from_static(PROBE_PATH),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        deadline: started + timeout,
        connection: ConnectionPolicy::AnyPooled,
    };
    let outcome = match tokio::time::timeout(timeout, client.send(&upstream, request)).await {
        Ok(outcome) => outcome,
        Err(_) => AttemptOutcome::Unknown(UnknownCause::TimedOut),
    };
    let report = probe_report(&outcome, started.elapsed());
    record_probe_result(&upstream, report, &ObserveSettings::default());
}

/// Converts the outcome of a probe. Any response shows that the upstream is reachable, whatever
/// its status.
fn probe_report<B>(outcome: &AttemptOutcome<B>, latency: Duration) -> AttemptReport {
    let mut report =
        AttemptReport { latency, result: AttemptResult::Answered, load: None, is_draining: false };
    match outcome {
        AttemptOutcome::Answered(answer) => {
            let headers = answer.response.headers();
            report.load = LoadReport::from_headers(headers, &LoadReportFormat::Orca);
            report.is_draining = headers.contains_key(UPSTREAM_DRAIN_HEADER);
            if headers.contains_key(UPSTREAM_NOT_RUN_HEADER) {
                report.result = AttemptResult::Shed;
            }
        }
        AttemptOutcome::NotRun(_) => report.result = AttemptResult::ConnectFailed,
        AttemptOutcome::Unknown(UnknownCause::TimedOut) => report.result = AttemptResult::TimedOut,
        AttemptOutcome::Unknown(_) => report.result = AttemptResult::Broken,
    }
    report
}
