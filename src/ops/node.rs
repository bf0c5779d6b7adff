//! Wires one node: platform, services, request plane, listeners.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use miette::{IntoDiagnostic, WrapErr};
use prometheus::Registry;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tonic::service::Routes;

use crate::balance::{LoadPicker, PickerSettings};
use crate::config::GenerationHolder;
use crate::core::{FailureDomain, ResultCode, SharedSnapshot, VmId};
use crate::kernel::{
    ConfigService, ConfigServiceArgs, DrainService, DrainServiceArgs, MembershipService,
    ProbeMetrics, ProbeService, ProbeServiceArgs, ServiceKernel, ServiceName,
};
use crate::ledger::{EntryIdentity, LedgerMetrics, LedgerParts, NodeLedger, WallClock};
use crate::membership::{
    AddressBook, AssignmentSettings, ConfigFreshness, ControlNode, EntryState,
    MembershipDriverArgs, NodeIdentity, SharedMembership,
};
use crate::ops::control_metrics::ControlMetrics;
use crate::ops::node_settings::NodeSettings;
use crate::ops::node_status::StatusSource;
use crate::peer::generated::peer::peer_exchange_server::PeerExchangeServer;
use crate::peer::{
    ExchangeService, LedgerService, MAX_MESSAGE_BYTES, PeerAuth, PeerChannels, PeerKeys,
    PeerServer, TonicLedgerTransport, TonicTransport,
};
use crate::platform::PlatformStore;
use crate::request::{ExchangeSettings, RequestPlane};
use crate::serve::{
    AdminServer, CallerServer, CallerServerSettings, ConnectionPool, FrontService, FrontSettings,
    HttpUpstreamClient, LatencyMetrics, LeaveSwitch, LimitMetrics, PoolSettings,
};
use crate::util::SeededRandom;

/// Time between two reads of the key file.
const KEY_POLL_INTERVAL: Duration = Duration::from_secs(2);

/// Longest time that a leaving node waits for the record of outcomes.
const RECORD_TIME: Duration = Duration::from_secs(10);

/// The request plane's service in the daemon.
type NodeFront<S> =
    FrontService<HttpUpstreamClient, LoadPicker, NodeLedger<S, TonicLedgerTransport>>;

/// A running node.
pub struct RunningNode {
    caller_addr: SocketAddr,
    admin_addr: SocketAddr,
    peer_addr: SocketAddr,
    auth: PeerAuth,
    control: Arc<ControlNode>,
    settings: NodeSettings,
    kernel: ServiceKernel,
    leave_switch: LeaveSwitch,
    keyed_tasks: TaskTracker,
    status: Arc<StatusSource>,
    stop_callers: CancellationToken,
    stop_admin: CancellationToken,
    stop_peers: CancellationToken,
    callers: JoinHandle<()>,
}

impl RunningNode {
    /// Address for callers.
    pub fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// Address for operators.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_addr
    }

    /// Address for other entry nodes.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Whether the node has a configuration to serve.
    pub fn is_ready(&self) -> bool {
        self.status.unready_reason().is_none()
    }

    /// Entry VMs that the node sends callers to.
    pub fn known_entries(&self) -> usize {
        self.status.membership.load().entries.len()
    }

    /// Leaves gracefully: callers are told to go while the node still serves, then the listener
    /// closes, requests in flight finish, and the services stop.
    pub async fn leave(self) {
        log::info!(target: "node", "leaving vm={}", self.settings.vm);
        self.control.set_state(EntryState::Leaving);
        self.leave_switch.set_leaving();
        tokio::time::sleep(self.settings.shutdown.announce).await;
        self.stop_callers.cancel();
        if tokio::time::timeout(self.settings.shutdown.drain, self.callers).await.is_err() {
            log::error!(target: "node", "requests still in flight at the end of the drain time");
        }
        self.keyed_tasks.close();
        if tokio::time::timeout(RECORD_TIME, self.keyed_tasks.wait()).await.is_err() {
            log::error!(target: "node", "outcomes of keyed requests not recorded");
        }
        self.kernel.stop().await;
        self.stop_peers.cancel();
        self.stop_admin.cancel();
        log::info!(target: "node", "left vm={}", self.settings.vm);
    }
}

/// Starts a node on `store`.
///
/// # Errors
///
/// Returns HF-5001 if the key file cannot be used, and HF-5004 if a listen address cannot be
/// opened.
pub async fn start<S: PlatformStore>(
    settings: NodeSettings,
    store: Arc<S>,
) -> miette::Result<RunningNode> {
    let key_file = settings.peers.key_file.clone();
    let keys = PeerKeys::load(&key_file)
        .into_diagnostic()
        .wrap_err_with(|| format!("{}: peers.key_file", ResultCode::SettingsUnreadable))?;
    let node = start_with_keys(settings, store, keys).await?;
    tokio::spawn(follow_keys(key_file, node.auth.clone(), node.stop_peers.clone()));
    Ok(node)
}

/// Starts a node on `store` with keys that do not come from a file.
///
/// # Errors
///
/// Returns HF-5004 if a listen address cannot be opened.
pub async fn start_with_keys<S: PlatformStore>(
    settings: NodeSettings,
    store: Arc<S>,
    keys: PeerKeys,
) -> miette::Result<RunningNode> {
    let snapshot = SharedSnapshot::default();
    let membership = SharedMembership::default();
    let addresses = Arc::new(AddressBook::new(
        Arc::clone(&membership),
        Arc::clone(&snapshot),
        AssignmentSettings::default(),
    ));
    let registry = Registry::new();
    let metrics = LatencyMetrics::new(&registry).into_diagnostic()?;
    let probe_metrics = ProbeMetrics::new(&registry).into_diagnostic()?;
    let limits = &settings.limits;
    let server_settings = CallerServerSettings {
        header_timeout: limits.header_timeout,
        max_head_bytes: limits.max_head_bytes,
        write_timeout: limits.write_timeout,
        ..CallerServerSettings::default()
    };
    let server = CallerServer::bind(settings.listen.callers, server_settings)
        .await
        .into_diagnostic()
        .wrap_err_with(|| listen_failed(settings.listen.callers))?;
    let auth = PeerAuth::new(VmId::new(&settings.vm), keys);
    let peers = PeerServer::bind(settings.listen.peers, auth.clone())
        .await
        .into_diagnostic()
        .wrap_err_with(|| listen_failed(settings.listen.peers))?;
    let peer_addr = peers.local_addr().into_diagnostic()?;
    let caller_addr = server.local_addr().into_diagnostic()?;

    let incarnation = seconds_since_epoch();
    let identity = NodeIdentity {
        vm: VmId::new(&settings.vm),
        failure_domain: FailureDomain::new(&settings.failure_domain),
        caller_address: caller_addr.to_string(),
        peer_address: peer_addr.to_string(),
        incarnation,
    };
    let freshness = Arc::new(ConfigFreshness::default());
    let holder = Arc::new(GenerationHolder::new(Arc::clone(&snapshot)));
    let control =
        ControlNode::new(identity, holder, Arc::clone(&freshness), Arc::clone(&membership));
    let control = Arc::new(control);
    ControlMetrics::register(&registry, Arc::clone(&control), auth.clone()).into_diagnostic()?;
    let status = Arc::new(StatusSource {
        vm: VmId::new(&settings.vm),
        failure_domain: FailureDomain::new(&settings.failure_domain),
        snapshot: Arc::clone(&snapshot),
        membership: Arc::clone(&membership),
        control: Arc::clone(&control),
    });
    let admin = AdminServer::bind(settings.listen.admin, registry.clone(), Arc::clone(&status))
        .await
        .into_diagnostic()
        .wrap_err_with(|| listen_failed(settings.listen.admin))?;
    let admin_addr = admin.local_addr().into_diagnostic()?;

    let kernel = ServiceKernel::default();
    let config = ConfigServiceArgs { store: Arc::clone(&store), node: Arc::clone(&control) };
    kernel.start::<ConfigService<S>>(ServiceName::Config, config);
    let channels = PeerChannels::default();
    let transport = TonicTransport::new(channels.clone(), auth.clone());
    let members = MembershipDriverArgs {
        node: Arc::clone(&control),
        store: Arc::clone(&store),
        transport: Arc::new(transport),
        seeds: settings.peers.seeds.clone(),
        random: SeededRandom::from_entropy(),
    };
    kernel.start::<MembershipService<S, TonicTransport>>(ServiceName::Membership, members);

    let pool = ConnectionPool::new(PoolSettings::default(), Arc::clone(&membership));
    let client = HttpUpstreamClient::new(pool.clone());
    let probes = ProbeServiceArgs {
        vm: VmId::new(&settings.vm),
        store: Arc::clone(&store),
        client: client.clone(),
        snapshot: Arc::clone(&snapshot),
        membership: Arc::clone(&membership),
        metrics: probe_metrics,
        random: SeededRandom::from_entropy(),
    };
    let drains = DrainServiceArgs { snapshot: Arc::clone(&snapshot), node: Arc::clone(&control) };
    kernel.start::<DrainService>(ServiceName::Drain, drains);
    kernel.start::<ProbeService<S, HttpUpstreamClient>>(ServiceName::Probe, probes);

    let ledger = NodeLedger::new(LedgerParts {
        store,
        transport: TonicLedgerTransport::new(channels, auth.clone()),
        membership,
        identity: EntryIdentity { vm: VmId::new(&settings.vm), incarnation },
        clock: WallClock::system(),
        random: SeededRandom::from_entropy(),
        settings: settings.ledger.limits(),
    });
    LedgerMetrics::register(&registry, Arc::clone(ledger.counters())).into_diagnostic()?;
    let prepared = ledger.clone();
    tokio::spawn(async move { prepared.prepare().await });
    let plane = RequestPlane::new(
        snapshot,
        client,
        LoadPicker::new(
            FailureDomain::new(&settings.failure_domain),
            PickerSettings::default(),
            SeededRandom::from_entropy(),
        ),
        ledger.clone(),
        freshness,
        ExchangeSettings::default(),
    );
    let front_settings = FrontSettings {
        max_body_bytes: limits.max_body_bytes,
        body_timeout: limits.body_timeout,
        max_held_bytes: limits.max_held_bytes,
        ..FrontSettings::default()
    };
    LimitMetrics::register(&registry, plane.limits()).into_diagnostic()?;
    let keyed_tasks = plane.keyed_tasks();
    let front: Arc<NodeFront<S>> =
        Arc::new(FrontService::new(plane, addresses, metrics, front_settings));
    let stop_callers = CancellationToken::new();
    let stop_admin = CancellationToken::new();
    let stop_peers = CancellationToken::new();
    let exchange = PeerExchangeServer::new(ExchangeService::new(Arc::clone(&control)))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let routes = Routes::new(exchange).add_service(LedgerService::server(ledger));
    tokio::spawn(peers.run(routes, stop_peers.clone()));
    let callers = tokio::spawn(server.run(Arc::clone(&front), stop_callers.clone()));
    tokio::spawn(admin.run(stop_admin.clone()));
    tokio::spawn(pool.maintain(stop_admin.clone()));
    log::info!(
        target: "node",
        "started vm={} callers={caller_addr} admin={admin_addr} peers={peer_addr}",
        settings.vm,
    );
    Ok(RunningNode {
        caller_addr,
        admin_addr,
        peer_addr,
        auth,
        control,
        settings,
        kernel,
        leave_switch: front.leave_switch(),
        keyed_tasks,
        status,
        stop_callers,
        stop_admin,
        stop_peers,
        callers,
    })
}

/// Reads the key file again and again; a file that cannot be used leaves the last keys in force.
async fn follow_keys(key_file: PathBuf, auth: PeerAuth, stop: CancellationToken) {
    let mut last_fault = String::new();
    while stop.run_until_cancelled(tokio::time::sleep(KEY_POLL_INTERVAL)).await.is_some() {
        let fault = match PeerKeys::load(&key_file) {
            Ok(keys) => {
                auth.set_keys(keys);
                String::new()
            }
            Err(error) => error.to_string(),
        };
        if !fault.is_empty() && fault != last_fault {
            log::warn!(target: "peer", "key file unusable, last keys kept reason={fault}");
        }
        last_fault = fault;
    }
}

/// Start of this node on its own clock; only compared with earlier starts of the same VM.
fn seconds_since_epoch() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

fn listen_failed(addr: SocketAddr) -> String {
    let code = ResultCode::ListenFailed;
    format!("{code}: cannot listen on {addr}")
}
