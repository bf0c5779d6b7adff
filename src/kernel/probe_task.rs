//! Probes silent upstreams within the deployment's budget.

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

/// Time between two looks for silent upstreams.
const PROBE_INTERVAL: Duration = Duration::from_millis(100);
/// Time between two looks at how many shares this node should hold.
const WANTED_INTERVAL: Duration = Duration::from_secs(1);
/// Path of a probe; a HEAD request that every HTTP server answers in some way.
const PROBE_PATH: &str = "/";

/// What the service needs.
pub struct ProbeTask<S, C> {
    /// Identity of this node.
    pub vm: VmId,
    /// The platform.
    pub store: Arc<S>,
    /// Sends probes.
    pub client: C,
    /// The configuration.
    pub snapshot: SharedSnapshot,
    /// Says how many entries share the budget; a wrong view leaves budget unused, no more.
    pub membership: SharedMembership,
    /// Metrics.
    pub metrics: ProbeMetrics,
    /// Source of random numbers.
    pub random: SeededRandom,
}

/// Metrics of probing.
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

impl<S: PlatformStore, C: UpstreamClient + Clone> ServiceTask for ProbeTask<S, C> {
    const NAME: ServiceName = ServiceName::Probe;

    async fn run(mut self, stop: CancellationToken) {
        let wallet = Arc::new(LeasedProbeBudget::default());
        let keeper = ShareLeaseManager::new(self.vm.as_str(), &mut self.random);
        let (store, membership) = (Arc::clone(&self.store), Arc::clone(&self.membership));
        let kept = keep_shares(keeper, store, Arc::clone(&wallet), membership, stop.clone());
        tokio::join!(kept, probe(self, wallet, stop));
    }
}

async fn keep_shares<S: PlatformStore>(
    mut keeper: ShareLeaseManager,
    store: Arc<S>,
    wallet: Arc<LeasedProbeBudget>,
    membership: SharedMembership,
    stop: CancellationToken,
) {
    let mut was_faulty = false;
    let mut due = Instant::now();
    loop {
        let entries = membership.load().ready().count().max(1);
        let wanted = (PROBE_SHARE_COUNT as usize).div_ceil(entries);
        // Surplus shares go back at once: a node that starts sees itself alone at first.
        if Instant::now() >= due || keeper.held() > wanted {
            let step =
                stop.run_until_cancelled(keeper.renew_and_claim(&*store, &wallet, wanted)).await;
            let Some(result) = step else { break };
            if let Err(error) = &result
                && !was_faulty
            {
                log::warn!(target: "probe", "shares not renewed reason={error}");
            }
            was_faulty = result.is_err();
            due = Instant::now() + SHARE_RENEWAL_INTERVAL;
        }
        if stop.run_until_cancelled(sleep(WANTED_INTERVAL)).await.is_none() {
            break;
        }
    }
    keeper.release_all(&*store, &wallet).await;
}

async fn probe<S, C: UpstreamClient + Clone>(
    args: ProbeTask<S, C>,
    wallet: Arc<LeasedProbeBudget>,
    stop: CancellationToken,
) {
    let settings = ProbeSettings::default();
    while stop.run_until_cancelled(sleep(PROBE_INTERVAL)).await.is_some() {
        let Some(snapshot) = args.snapshot.load_full() else { continue };
        let budget = snapshot.budget.probes_per_second;
        let share = wallet.held_shares() as f64 / f64::from(PROBE_SHARE_COUNT);
        args.metrics.budget.set(budget);
        args.metrics.allowed.set(budget * share);
        while let Some(key) = next_probe(&snapshot, &settings) {
            if !wallet.try_take(budget) {
                break;
            }
            let Some(upstream) = snapshot.upstreams.get(key) else { break };
            record_probe_sent(upstream);
            args.metrics.sent.inc();
            tokio::spawn(send_probe(args.client.clone(), Arc::clone(upstream), settings.timeout));
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

/// What a probe says: any answer shows that the upstream is there, whatever its status.
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
