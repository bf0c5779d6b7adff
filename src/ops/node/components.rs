//! State that the components of a node share, and the construction of each component from it.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use miette::IntoDiagnostic;
use prometheus::Registry;

use crate::balance::{LoadPicker, LoadPickerSettings};
use crate::config::GenerationApplier;
use crate::core::{FailureDomain, SharedSnapshot, VmId};
use crate::kernel::{ConfigService, DrainService, ProbeMetrics, ProbeService, ServiceKernel};
use crate::ledger::{EntryIdentity, LedgerMetrics, LedgerParts, NodeLedger, WallClock};
use crate::limits::RouteLimitSettings;
use crate::membership::{
    AddressResolver, AssignmentSettings, ConfigFreshness, ControlNode, MembershipDriverArgs,
    NodeIdentity, SharedMembership,
};
use crate::ops::control_metrics::ControlMetrics;
use crate::ops::node::listeners::NodeListeners;
use crate::ops::node_settings::NodeSettings;
use crate::ops::node_status::StatusSource;
use crate::peer::{PeerAuth, PeerChannels, TonicLedgerTransport, TonicTransport};
use crate::platform::PlatformStore;
use crate::request::{DataPlane, ExecutionSettings};
use crate::serve::{
    ConnectionPool, HttpUpstreamClient, LatencyMetrics, LimitMetrics, PoolSettings, ProxyService,
    ProxySettings,
};
use crate::util::SeededRandom;

/// At-most-once ledger as the daemon uses it, over gRPC.
pub(super) type DaemonLedger<S> = NodeLedger<S, TonicLedgerTransport>;
/// Data plane as the daemon uses it.
pub(super) type DaemonDataPlane<S> = DataPlane<HttpUpstreamClient, LoadPicker, DaemonLedger<S>>;
/// HTTP service for callers as the daemon uses it.
pub(super) type DaemonProxy<S> = ProxyService<HttpUpstreamClient, LoadPicker, DaemonLedger<S>>;

/// State shared by the components of one node.
pub(super) struct NodeComponents {
    pub(super) registry: Registry,
    pub(super) control: Arc<ControlNode>,
    pub(super) kernel: ServiceKernel,
    snapshot: SharedSnapshot,
    membership: SharedMembership,
    freshness: Arc<ConfigFreshness>,
    auth: PeerAuth,
    channels: PeerChannels,
    incarnation: u64,
}

impl NodeComponents {
    /// Creates the shared state of a node that has opened `listeners`.
    pub(super) fn new(settings: &NodeSettings, listeners: &NodeListeners) -> miette::Result<Self> {
        let snapshot = SharedSnapshot::default();
        let membership = SharedMembership::default();
        let freshness = Arc::new(ConfigFreshness::default());
        let incarnation = seconds_since_epoch();
        let identity = NodeIdentity {
            vm: VmId::new(&settings.vm),
            failure_domain: FailureDomain::new(&settings.failure_domain),
            caller_address: listeners.caller_addr.to_string(),
            peer_address: listeners.peer_addr.to_string(),
            incarnation,
        };
        let applier = Arc::new(GenerationApplier::new(Arc::clone(&snapshot)));
        let control = Arc::new(ControlNode::new(
            identity,
            applier,
            Arc::clone(&freshness),
            Arc::clone(&membership),
        ));
        let registry = Registry::new();
        let auth = listeners.auth.clone();
        ControlMetrics::register(&registry, Arc::clone(&control), auth.clone())
            .into_diagnostic()?;
        let channels = PeerChannels::default();
        Ok(Self {
            registry,
            control,
            kernel: ServiceKernel::default(),
            snapshot,
            membership,
            freshness,
            auth,
            channels,
            incarnation,
        })
    }

    /// Source of the status report on the admin port.
    pub(super) fn status_source(&self, settings: &NodeSettings) -> StatusSource {
        StatusSource {
            vm: VmId::new(&settings.vm),
            failure_domain: FailureDomain::new(&settings.failure_domain),
            snapshot: Arc::clone(&self.snapshot),
            membership: Arc::clone(&self.membership),
            control: Arc::clone(&self.control),
        }
    }

    /// Creates the pool of upstream connections. It keeps to this node's share of each upstream's
    /// connection limit.
    pub(super) fn connection_pool(&self) -> ConnectionPool {
        ConnectionPool::new(PoolSettings::default(), Arc::clone(&self.membership))
    }

    /// Starts the control-plane services: configuration, membership, drain hints, probes.
    pub(super) fn start_services<S: PlatformStore>(
        &self,
        settings: &NodeSettings,
        store: &Arc<S>,
        pool: ConnectionPool,
    ) -> miette::Result<()> {
        let kernel = &self.kernel;
        let config = ConfigService { store: Arc::clone(store), node: Arc::clone(&self.control) };
        kernel.start_task(config);
        let membership = MembershipDriverArgs {
            node: Arc::clone(&self.control),
            store: Arc::clone(store),
            transport: Arc::new(TonicTransport::new(self.channels.clone(), self.auth.clone())),
            seeds: settings.peers.seeds.clone(),
            random: SeededRandom::from_entropy(),
        };
        kernel.start_task(membership);
        let drain_hints =
            DrainService { snapshot: Arc::clone(&self.snapshot), node: Arc::clone(&self.control) };
        kernel.start_task(drain_hints);
        let probes = ProbeService {
            vm: VmId::new(&settings.vm),
            store: Arc::clone(store),
            client: HttpUpstreamClient::new(pool),
            snapshot: Arc::clone(&self.snapshot),
            membership: Arc::clone(&self.membership),
            metrics: ProbeMetrics::new(&self.registry).into_diagnostic()?,
            random: SeededRandom::from_entropy(),
        };
        kernel.start_task(probes);
        Ok(())
    }

    /// Creates the ledger and starts reading its partition logs in the background, so that the
    /// first claims do not have to wait for that.
    pub(super) fn start_ledger<S: PlatformStore>(
        &self,
        settings: &NodeSettings,
        store: Arc<S>,
    ) -> miette::Result<DaemonLedger<S>> {
        let ledger = NodeLedger::new(LedgerParts {
            store,
            transport: TonicLedgerTransport::new(self.channels.clone(), self.auth.clone()),
            membership: Arc::clone(&self.membership),
            identity: EntryIdentity { vm: VmId::new(&settings.vm), incarnation: self.incarnation },
            clock: WallClock::system(),
            random: SeededRandom::from_entropy(),
            settings: settings.ledger.ledger_settings(),
        });
        LedgerMetrics::register(&self.registry, Arc::clone(ledger.counters())).into_diagnostic()?;
        let preparing = ledger.clone();
        tokio::spawn(async move { preparing.prepare().await });
        Ok(ledger)
    }

    /// Creates the data plane and registers its limit metrics.
    pub(super) fn data_plane<S: PlatformStore>(
        &self,
        settings: &NodeSettings,
        pool: ConnectionPool,
        ledger: DaemonLedger<S>,
    ) -> miette::Result<DaemonDataPlane<S>> {
        let picker = LoadPicker::new(
            FailureDomain::new(&settings.failure_domain),
            LoadPickerSettings::default(),
            SeededRandom::from_entropy(),
        );
        let data_plane = DataPlane::new(
            Arc::clone(&self.snapshot),
            HttpUpstreamClient::new(pool),
            picker,
            ledger,
            Arc::clone(&self.freshness),
            ExecutionSettings::default(),
        )
        .with_limits(RouteLimitSettings {
            part_seed: SeededRandom::from_entropy().bits(),
            ..RouteLimitSettings::default()
        });
        LimitMetrics::register(&self.registry, data_plane.limits()).into_diagnostic()?;
        Ok(data_plane)
    }

    /// Creates the HTTP service for callers on top of `data_plane`.
    pub(super) fn proxy_service<S: PlatformStore>(
        &self,
        settings: &NodeSettings,
        data_plane: DaemonDataPlane<S>,
    ) -> miette::Result<DaemonProxy<S>> {
        let limits = &settings.limits;
        let proxy_settings = ProxySettings {
            max_body_bytes: limits.max_body_bytes,
            body_timeout: limits.body_timeout,
            max_total_body_bytes: limits.max_held_bytes,
            ..ProxySettings::default()
        };
        let addresses = Arc::new(AddressResolver::new(
            Arc::clone(&self.membership),
            Arc::clone(&self.snapshot),
            AssignmentSettings::default(),
        ));
        let metrics = LatencyMetrics::new(&self.registry).into_diagnostic()?;
        Ok(ProxyService::new(data_plane, addresses, metrics, proxy_settings))
    }
}

/// Seconds since the Unix epoch, the incarnation of this start. It is compared only with earlier
/// starts of the same VM, so clock skew between VMs does not matter.
fn seconds_since_epoch() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
