//! What the parts of a node share, and how each is made from it.

use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use miette::IntoDiagnostic;
use prometheus::Registry;

use crate::balance::{LoadPicker, LoadPickerSettings};
use crate::config::GenerationApplier;
use crate::core::{FailureDomain, SharedSnapshot, VmId};
use crate::kernel::{ConfigService, DrainService, ProbeMetrics, ProbeService, ServiceKernel};
use crate::ledger::{EntryIdentity, LedgerMetrics, LedgerParts, NodeLedger, WallClock};
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

/// The ledger in the daemon.
pub(super) type DaemonLedger<S> = NodeLedger<S, TonicLedgerTransport>;
/// The request plane in the daemon.
pub(super) type DaemonPlane<S> = DataPlane<HttpUpstreamClient, LoadPicker, DaemonLedger<S>>;
/// The service for callers in the daemon.
pub(super) type DaemonFront<S> = ProxyService<HttpUpstreamClient, LoadPicker, DaemonLedger<S>>;

/// What the parts of a node share.
pub(super) struct NodeParts {
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

impl NodeParts {
    /// Makes what a node with these listeners shares.
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
        let holder = Arc::new(GenerationApplier::new(Arc::clone(&snapshot)));
        let control = Arc::new(ControlNode::new(
            identity,
            holder,
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

    /// Where the node's status comes from.
    pub(super) fn status_source(&self, settings: &NodeSettings) -> StatusSource {
        StatusSource {
            vm: VmId::new(&settings.vm),
            failure_domain: FailureDomain::new(&settings.failure_domain),
            snapshot: Arc::clone(&self.snapshot),
            membership: Arc::clone(&self.membership),
            control: Arc::clone(&self.control),
        }
    }

    /// The connections to upstreams, within the node's share of their caps.
    pub(super) fn connection_pool(&self) -> ConnectionPool {
        ConnectionPool::new(PoolSettings::default(), Arc::clone(&self.membership))
    }

    /// Starts the services of the control plane.
    pub(super) fn start_services<S: PlatformStore>(
        &self,
        settings: &NodeSettings,
        store: &Arc<S>,
        pool: ConnectionPool,
    ) -> miette::Result<()> {
        let kernel = &self.kernel;
        let config = ConfigService { store: Arc::clone(store), node: Arc::clone(&self.control) };
        kernel.start_task(config);
        let members = MembershipDriverArgs {
            node: Arc::clone(&self.control),
            store: Arc::clone(store),
            transport: Arc::new(TonicTransport::new(self.channels.clone(), self.auth.clone())),
            seeds: settings.peers.seeds.clone(),
            random: SeededRandom::from_entropy(),
        };
        kernel.start_task(members);
        let drains =
            DrainService { snapshot: Arc::clone(&self.snapshot), node: Arc::clone(&self.control) };
        kernel.start_task(drains);
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

    /// Makes the ledger and lets it read its logs before the first claim comes.
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
            settings: settings.ledger.limits(),
        });
        LedgerMetrics::register(&self.registry, Arc::clone(ledger.counters())).into_diagnostic()?;
        let prepared = ledger.clone();
        tokio::spawn(async move { prepared.prepare().await });
        Ok(ledger)
    }

    /// Makes the request plane.
    pub(super) fn request_plane<S: PlatformStore>(
        &self,
        settings: &NodeSettings,
        pool: ConnectionPool,
        ledger: DaemonLedger<S>,
    ) -> miette::Result<DaemonPlane<S>> {
        let picker = LoadPicker::new(
            FailureDomain::new(&settings.failure_domain),
            LoadPickerSettings::default(),
            SeededRandom::from_entropy(),
        );
        let plane = DataPlane::new(
            Arc::clone(&self.snapshot),
            HttpUpstreamClient::new(pool),
            picker,
            ledger,
            Arc::clone(&self.freshness),
            ExecutionSettings::default(),
        );
        LimitMetrics::register(&self.registry, plane.limits()).into_diagnostic()?;
        Ok(plane)
    }

    /// Makes the service for callers.
    pub(super) fn front<S: PlatformStore>(
        &self,
        settings: &NodeSettings,
        plane: DaemonPlane<S>,
    ) -> miette::Result<DaemonFront<S>> {
        let limits = &settings.limits;
        let front_settings = ProxySettings {
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
        Ok(ProxyService::new(plane, addresses, metrics, front_settings))
    }
}

/// Start of this node on its own clock; only compared with earlier starts of the same VM.
fn seconds_since_epoch() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}
