//! Wires one entry: services, data plane, listeners, and graceful shutdown.
//!
//! ```text
//! settings -> FleetState <- StoreService, PeerService, LoadProbeService (services of the kernel)
//!                  |
//!                  +-> ConfigSnapshot -> DataPlane -> ProxyService -> callers
//!                  +-> MembershipView -> ControlApi -> readiness, addresses
//! ```

use std::sync::Arc;
use std::time::Duration;

use miette::{IntoDiagnostic, WrapErr};
use prometheus::{IntCounter, Registry};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::balance::{PathMonitor, UtilityPicker, UtilityPickerSettings};
use crate::core::{FailureDomain, HeaderNames, ResultCode, SharedSnapshot, VmId};
use crate::fleet::codec::DeploymentCodec;
use crate::fleet::control_api::ControlApi;
use crate::fleet::directory::EntryDirectory;
use crate::fleet::entry_settings::{EntrySettings, HedgeLimits, QuotaTolerance};
use crate::fleet::fleet_metrics::FleetMetrics;
use crate::fleet::live_settings::LiveSettings;
use crate::fleet::load_probe::{LoadProbeService, LoadProbeSettings, LoadRecorder};
use crate::fleet::path_check::{CHECK_CONNECT_TIMEOUT, PathCheckService};
use crate::fleet::peer_service::PeerService;
use crate::fleet::peer_table::{EntryRegistration, PeerTable};
use crate::fleet::read_schedule::ReadSchedule;
use crate::fleet::run_check::RunCheckService;
use crate::fleet::state::FleetState;
use crate::fleet::store_follower::StoreService;
use crate::fleet::view::DeploymentView;
use crate::kernel::ServiceKernel;
use crate::ledger::{ClaimDecision, ClaimGrant, ClaimIntent, ClaimLedger, ClaimOutcome};
use crate::limits::RouteLimitSettings;
use crate::limits::tenant_quota::{QuotaAllowance, QuotaTable};
use crate::membership::{
    AddressResolver, AssignmentSettings, ConfigFreshness, EntryRecord, EntryState, SharedMembership,
};
use crate::platform::PlatformStore;
use crate::request::{
    DataPlane, ExecutionSettings, ForwardTable, HedgeTrigger, LoadCheckSettings, PeerForwarder,
    RetryAfterFormat,
};
use crate::serve::{
    CallerServer, CallerServerSettings, ConnectionPool, HttpUpstreamClient, LatencyMetrics,
    LeavingFlag, LimitMetrics, PoolSettings, ProxyService, ProxySettings, QuotaMetrics,
    RequestOrigin, ResponseFraming, UpstreamPoolSettings,
};
use crate::util::SeededRandom;

/// Share of the shutdown grace that remains for requests in flight when the listener closes.
const DRAIN_RATIO: f64 = 0.33;
/// Time before the end of the shutdown grace at which requests in flight are dropped, so that the
/// process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(300);
/// Time that the response to a request may need on its way to the caller after its deadline.
const RESPONSE_MARGIN: Duration = Duration::from_millis(100);
/// Idle timeout of connections to upstreams; shorter than the 10 s after which upstreams close
/// theirs.
const UPSTREAM_IDLE_TIMEOUT: Duration = Duration::from_secs(8);
/// Timeout for connecting to an upstream; several round trips between failure domains.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Idle timeout of callers' connections; longer than the 15 s for which callers may rely on theirs.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Largest head of a caller's request, and the most bytes of a response that wait for a caller that
/// reads slowly.
const MAX_CALLER_HEAD_BYTES: usize = 20 << 10;
/// Largest request body, 64 MiB; the platform limits what callers send.
const MAX_BODY_BYTES: usize = 64 << 20;
/// Limit on buffered request bodies in total, 96 MiB.
const MAX_TOTAL_BODY_BYTES: usize = 96 << 20;
/// Share of a VM's memory that buffered request bodies may use. The rest holds the process, socket
/// buffers and responses in transfer.
const BODY_MEMORY_SHARE: f64 = 0.4;
/// Network time of a request between caller and entry: a round trip and a new connection. The
/// deployments' delays to callers make it 6 ms to 64 ms (`docs/MEASUREMENTS.md`).
const CALLER_NETWORK_TIME: Duration = Duration::from_millis(25);
/// Minimum remaining time for which another attempt is started.
const MIN_ATTEMPT_TIME: Duration = Duration::from_millis(5);

/// Ledger for deployments whose requests carry no idempotency keys; refuses every claim.
#[derive(Clone, Copy, Debug, Default)]
pub struct KeylessLedger;

impl ClaimLedger for KeylessLedger {
    async fn claim(&self, _intent: ClaimIntent) -> ClaimDecision {
        ClaimDecision::Refused(ResultCode::LedgerUnavailable)
    }

    async fn finish(&self, _ticket: ClaimGrant, _end: ClaimOutcome) {}
}

/// A running entry; returned by [`start`].
#[derive(Debug)]
pub struct RunningEntry<D> {
    state: Arc<FleetState<D>>,
    settings: LiveSettings,
    kernel: ServiceKernel,
    leaving_flag: LeavingFlag,
    stops: EntryStops,
    callers: JoinHandle<()>,
}

/// Tokens that stop the listeners.
#[derive(Clone, Debug, Default)]
struct EntryStops {
    callers: CancellationToken,
    control: CancellationToken,
}

impl<D: DeploymentCodec> RunningEntry<D> {
    /// Applies reloaded settings. Identity, addresses and change bounds stay those of the start;
    /// the platform restarts a VM when they change.
    pub fn reload(&self, settings: &EntrySettings) {
        let outcome = self.settings.replace(settings);
        self.state.set_warm_up(settings.warm_up);
        log::info!(target: "node", "settings reloaded vm={} outcome={outcome:?}", settings.vm);
    }

    /// Shuts down gracefully. At first the entry is no longer returned to callers, but still serves
    /// requests that end in time; it refuses the others as not run. Then it closes its listener, so
    /// that callers with a cached address fail over at once, and finishes the requests in flight.
    pub async fn shut_down(self) {
        let began = Instant::now();
        let settings = self.settings.load();
        let grace = settings.shutdown.grace;
        let announce_time = grace - grace.mul_f64(DRAIN_RATIO);
        log::info!(
            target: "node",
            "leaving vm={} announce_ms={}",
            settings.vm,
            announce_time.as_millis(),
        );
        self.state.set_state(EntryState::Leaving);
        let work_end = began + grace - EXIT_MARGIN;
        self.leaving_flag.leave_by(work_end - RESPONSE_MARGIN);
        tokio::time::sleep_until(began + announce_time).await;
        self.stops.callers.cancel();
        if tokio::time::timeout_at(work_end, self.callers).await.is_err() {
            log::error!(
                target: "node",
                "requests still in flight at the end of the shutdown grace, dropping them",
            );
        }
        self.kernel.stop().await;
        self.stops.control.cancel();
        log::info!(target: "node", "left vm={}", settings.vm);
    }
}

/// Starts an entry that follows `store`. `headers` are the names of the headers that the platform's
/// callers and upstreams use.
///
/// # Errors
///
/// Returns HF-5004 if a listen address cannot be opened.
pub async fn start<S: PlatformStore, D: DeploymentCodec>(
    settings: EntrySettings,
    store: Arc<S>,
    codec: D,
    headers: HeaderNames,
) -> miette::Result<RunningEntry<D>> {
    let sockets = EntrySockets::bind(&settings).await?;
    let registry = Registry::new();
    let membership = SharedMembership::default();
    let pool = ConnectionPool::new(pool_settings(), Arc::clone(&membership));
    let path = Arc::new(PathMonitor::default());
    let client = HttpUpstreamClient::new(pool.clone())
        .with_framing(ResponseFraming::AllowCloseDelimited)
        .with_path_monitor(Arc::clone(&path))
        .with_late_notices(headers.clone());
    let forward_table =
        Arc::new(ForwardTable::new(Arc::clone(&path), SeededRandom::from_entropy()));
    let forwarder =
        PeerForwarder { client: unmonitored_client(CONNECT_TIMEOUT), table: forward_table };
    let snapshot = SharedSnapshot::default();
    let freshness = Arc::new(ConfigFreshness::new(settings.changes.max_confirmed_age()));
    let (probe_headers, check_headers) = (headers.clone(), headers.clone());
    let failure_domain = FailureDomain::new(&settings.failure_domain);
    let picker = UtilityPicker::new(
        failure_domain.clone(),
        UtilityPickerSettings::default(),
        SeededRandom::from_entropy(),
    );
    let plane = DataPlane::new(
        Arc::clone(&snapshot),
        client.clone(),
        picker,
        KeylessLedger,
        Arc::clone(&freshness),
        execution_settings(headers, settings.probes.max_per_second),
    )
    .with_limits(RouteLimitSettings {
        repeats: Some(settings.repeats.allowance()),
        hedging: settings.hedging.map(HedgeLimits::allowance),
        is_gate_disabled: true,
        part_seed: SeededRandom::from_entropy().bits(),
    });
    let forward_table = Arc::clone(&forwarder.table);
    let plane = plane.with_forwarder(forwarder);
    LimitMetrics::register(&registry, plane.limits()).into_diagnostic()?;

    let mut view = DeploymentView::new(codec.clone()).with_regions(settings.regions.clone());
    if settings.evacuation.is_some() {
        view = view.with_evacuations();
    }
    let state = FleetState::new(
        view,
        PeerTable::new(own_record(&settings)),
        snapshot,
        Arc::clone(&membership),
        freshness,
        plane.limits(),
    );
    let state = state
        .with_quarantine(plane.quarantine())
        .with_forwarding(forward_table)
        .with_warm_up(settings.warm_up)
        .with_read_schedule(ReadSchedule::new(&settings.changes))
        .with_metrics(FleetMetrics::new(&registry).into_diagnostic()?);
    let quota = quota_table(&settings);
    let state = match &quota {
        Some(quota) => {
            QuotaMetrics::register(&registry, Arc::clone(quota)).into_diagnostic()?;
            let domains = settings.regions.keys().map(|domain| FailureDomain::new(domain));
            state.with_quota(Arc::clone(quota), domains.collect())
        }
        None => state,
    };
    let state = Arc::new(state);
    state.refresh_membership();
    let live_settings = LiveSettings::new(settings.clone(), plane.limits());
    let kernel = ServiceKernel::default();
    kernel.start_task(StoreService {
        store,
        state: Arc::clone(&state),
        registration: EntryRegistration {
            failure_domain: settings.failure_domain.clone(),
            caller_address: settings.listen.callers,
            peer_address: settings.listen.peers,
        },
        random: SeededRandom::from_entropy(),
    });
    kernel.start_task(PeerService {
        socket: sockets.peers,
        state: Arc::clone(&state),
        recorder: LoadRecorder::default(),
        random: SeededRandom::from_entropy(),
    });
    kernel.start_task(LoadProbeService {
        client,
        state: Arc::clone(&state),
        settings: LoadProbeSettings { live: live_settings.clone(), headers: probe_headers },
        recorder: LoadRecorder::default(),
        path: Arc::clone(&path),
        probes_sent: probe_counter(&registry)?,
    });
    kernel.start_task(PathCheckService {
        client: unmonitored_client(CHECK_CONNECT_TIMEOUT),
        state: Arc::clone(&state),
        monitor: Arc::clone(&path),
        random: SeededRandom::from_entropy(),
    });
    kernel.start_task(RunCheckService {
        client: unmonitored_client(CONNECT_TIMEOUT),
        state: Arc::clone(&state),
        watch: plane.runs(),
        quarantine: plane.quarantine(),
        path,
        headers: check_headers,
    });

    let stops = EntryStops::default();
    let directory =
        EntryDirectory::new(Arc::clone(&membership), failure_domain, live_settings.clone());
    let vm = VmId::new(&settings.vm);
    let api = ControlApi::new(codec, vm, Arc::clone(&state), directory, registry.clone());
    let api = Arc::new(api);
    for listener in sockets.control {
        tokio::spawn(Arc::clone(&api).serve(listener, stops.control.clone()));
    }
    let addresses = Arc::new(AddressResolver::new(
        membership,
        Arc::clone(&state.snapshot),
        AssignmentSettings::default(),
    ));
    let metrics = LatencyMetrics::new(&registry).into_diagnostic()?;
    let proxy = ProxyService::new(plane, addresses, metrics, proxy_settings(&settings));
    let proxy = Arc::new(match quota {
        Some(quota) => proxy.with_quota(quota),
        None => proxy,
    });
    let leaving_flag = proxy.leaving_flag();
    let forwarded = sockets.forwarded.run(Arc::clone(&proxy), stops.callers.clone());
    let callers = sockets.callers.run(proxy, stops.callers.clone());
    let callers = tokio::spawn(async move {
        tokio::join!(callers, forwarded);
    });
    tokio::spawn(pool.maintain(stops.control.clone()));
    log::info!(
        target: "node",
        "started vm={} domain={} callers={} store={}",
        settings.vm,
        settings.failure_domain,
        settings.listen.callers,
        settings.store,
    );
    Ok(RunningEntry { state, settings: live_settings, kernel, leaving_flag, stops, callers })
}

/// The bound sockets of an entry.
struct EntrySockets {
    callers: CallerServer,
    control: Vec<TcpListener>,
    peers: UdpSocket,
    /// Requests that peers forward, on the same port as their datagrams.
    forwarded: CallerServer,
}

impl EntrySockets {
    async fn bind(settings: &EntrySettings) -> miette::Result<Self> {
        let listen = &settings.listen;
        let server_settings = CallerServerSettings {
            header_timeout: CALLER_IDLE_TIMEOUT,
            max_head_bytes: MAX_CALLER_HEAD_BYTES,
            ..Default::default()
        };
        let forwarded = CallerServer::bind(listen.peers, server_settings.clone()).await;
        let forwarded = forwarded.into_diagnostic().wrap_err_with(|| failed("peers"))?;
        let forwarded = forwarded.with_origin(RequestOrigin::Peers);
        let server_settings =
            CallerServerSettings { max_ahead: settings.pipelining.max_ahead, ..server_settings };
        let callers = CallerServer::bind(listen.callers, server_settings);
        let callers = callers.await.into_diagnostic().wrap_err_with(|| failed("callers"))?;
        let mut control = Vec::new();
        let addresses =
            [("ready", listen.ready), ("directory", listen.directory), ("control", listen.control)];
        for (name, address) in addresses {
            let listener = TcpListener::bind(address).await;
            control.push(listener.into_diagnostic().wrap_err_with(|| failed(name))?);
        }
        let peers = UdpSocket::bind(listen.peers).await;
        let peers = peers.into_diagnostic().wrap_err_with(|| failed("peers"))?;
        Ok(Self { callers, control, peers, forwarded })
    }
}

fn failed(name: &str) -> String {
    format!("{}: listen.{name}", ResultCode::ListenFailed)
}

fn own_record(settings: &EntrySettings) -> EntryRecord {
    EntryRecord {
        vm: VmId::new(&settings.vm),
        failure_domain: FailureDomain::new(&settings.failure_domain),
        caller_address: settings.listen.callers,
        peer_address: settings.listen.peers,
        state: EntryState::Starting,
        has_path: true,
    }
}

fn pool_settings() -> PoolSettings {
    let per_upstream =
        UpstreamPoolSettings { idle_timeout: UPSTREAM_IDLE_TIMEOUT, ..Default::default() };
    PoolSettings { per_upstream, connect_timeout: CONNECT_TIMEOUT }
}

/// A client whose connections are apart from those to upstreams, and tell nothing about the path to
/// them.
fn unmonitored_client(connect_timeout: Duration) -> HttpUpstreamClient {
    // Nothing trims the idle connections of this pool, so it keeps none.
    let per_upstream = UpstreamPoolSettings { max_idle_connections: 0, ..Default::default() };
    let settings = PoolSettings { per_upstream, connect_timeout };
    HttpUpstreamClient::new(ConnectionPool::new(settings, SharedMembership::default()))
        .with_framing(ResponseFraming::AllowCloseDelimited)
}

fn execution_settings(headers: HeaderNames, max_per_second: f64) -> ExecutionSettings {
    ExecutionSettings {
        headers,
        hedge_trigger: HedgeTrigger::ExpectedGain,
        external_latency: CALLER_NETWORK_TIME,
        // Hedges start well before the deadline, so no time has to be reserved for another attempt.
        first_attempt_ratio: 1.0,
        min_attempt_time: MIN_ATTEMPT_TIME,
        retry_after_format: RetryAfterFormat::FractionalSeconds,
        load_checks: Some(LoadCheckSettings {
            max_checks_per_second: max_per_second,
            ..LoadCheckSettings::default()
        }),
        ..ExecutionSettings::default()
    }
}

fn proxy_settings(settings: &EntrySettings) -> ProxySettings {
    let memory_bytes = settings.memory_mb.map_or(u64::MAX, |megabytes| megabytes << 20);
    let total_bytes = (memory_bytes as f64 * BODY_MEMORY_SHARE) as usize;
    ProxySettings {
        max_body_bytes: MAX_BODY_BYTES,
        max_total_body_bytes: MAX_TOTAL_BODY_BYTES.min(total_bytes),
        ..ProxySettings::default()
    }
}

/// The quotas of tenants; `None` if the settings don't enforce them.
fn quota_table(settings: &EntrySettings) -> Option<Arc<QuotaTable>> {
    let QuotaTolerance { window, overage, slack } = settings.quota?;
    let allowance = QuotaAllowance { window, overage, slack };
    let random = SeededRandom::from_entropy();
    Some(Arc::new(QuotaTable::new(allowance, VmId::new(&settings.vm), random)))
}

fn probe_counter(registry: &Registry) -> miette::Result<IntCounter> {
    let counter = IntCounter::new("heatherfall_probes_total", "Load probes sent by this entry.");
    let counter = counter.into_diagnostic()?;
    registry.register(Box::new(counter.clone())).into_diagnostic()?;
    Ok(counter)
}
