//! Wires one node: platform, services, request plane, listeners.

use std::net::SocketAddr;
use std::sync::Arc;

use miette::{IntoDiagnostic, WrapErr};
use prometheus::Registry;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::balance::{LoadPicker, PickerSettings};
use crate::core::{FailureDomain, ResultCode, SharedSnapshot, VmId};
use crate::kernel::{
    ConfigService, ConfigServiceArgs, MembershipService, MembershipServiceArgs, ServiceKernel,
    ServiceName,
};
use crate::membership::{AddressBook, SharedMembership};
use crate::ops::node_settings::NodeSettings;
use crate::ops::node_status::StatusSource;
use crate::platform::PlatformStore;
use crate::request::{ExchangeSettings, RequestPlane};
use crate::serve::{
    AdminServer, CallerServer, CallerServerSettings, ConnectionPool, FrontService, FrontSettings,
    HttpUpstreamClient, LatencyMetrics, PoolSettings,
};
use crate::util::SeededRandom;

/// The request plane's service in the daemon.
type NodeFront = FrontService<HttpUpstreamClient, LoadPicker>;

/// A running node.
pub struct RunningNode {
    caller_addr: SocketAddr,
    admin_addr: SocketAddr,
    settings: NodeSettings,
    kernel: ServiceKernel,
    front: Arc<NodeFront>,
    status: Arc<StatusSource>,
    stop_callers: CancellationToken,
    stop_admin: CancellationToken,
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
        self.front.set_leaving();
        tokio::time::sleep(self.settings.shutdown.announce).await;
        self.stop_callers.cancel();
        if tokio::time::timeout(self.settings.shutdown.drain, self.callers).await.is_err() {
            log::error!(target: "node", "requests still in flight at the end of the drain time");
        }
        self.kernel.stop().await;
        self.stop_admin.cancel();
        log::info!(target: "node", "left vm={}", self.settings.vm);
    }
}

/// Starts a node on `store`.
///
/// # Errors
///
/// Returns HF-5004 if a listen address cannot be opened.
pub async fn start<S: PlatformStore>(
    settings: NodeSettings,
    store: Arc<S>,
) -> miette::Result<RunningNode> {
    let snapshot = SharedSnapshot::default();
    let membership = SharedMembership::default();
    let addresses = Arc::new(AddressBook::new(Arc::clone(&membership)));
    let registry = Registry::new();
    let metrics = LatencyMetrics::new(&registry).into_diagnostic()?;
    let limits = &settings.limits;
    let server_settings = CallerServerSettings {
        header_timeout: limits.header_timeout,
        max_head_bytes: limits.max_head_bytes,
    };
    let server = CallerServer::bind(settings.listen.callers, server_settings)
        .await
        .into_diagnostic()
        .wrap_err_with(|| listen_failed(settings.listen.callers))?;
    let status = Arc::new(StatusSource {
        vm: VmId::new(&settings.vm),
        failure_domain: FailureDomain::new(&settings.failure_domain),
        snapshot: Arc::clone(&snapshot),
        membership: Arc::clone(&membership),
    });
    let admin = AdminServer::bind(settings.listen.admin, registry, Arc::clone(&status))
        .await
        .into_diagnostic()
        .wrap_err_with(|| listen_failed(settings.listen.admin))?;
    let caller_addr = server.local_addr().into_diagnostic()?;
    let admin_addr = admin.local_addr().into_diagnostic()?;

    let kernel = ServiceKernel::default();
    let config = ConfigServiceArgs { store: Arc::clone(&store), snapshot: Arc::clone(&snapshot) };
    kernel.start::<ConfigService<S>>(ServiceName::Config, config);
    let members = MembershipServiceArgs { store, membership };
    kernel.start::<MembershipService<S>>(ServiceName::Membership, members);

    let plane = RequestPlane::new(
        snapshot,
        HttpUpstreamClient::new(ConnectionPool::new(PoolSettings::default())),
        LoadPicker::new(
            FailureDomain::new(&settings.failure_domain),
            PickerSettings::default(),
            SeededRandom::from_entropy(),
        ),
        ExchangeSettings::default(),
    );
    let front_settings =
        FrontSettings { max_body_bytes: limits.max_body_bytes, body_timeout: limits.body_timeout };
    let front = Arc::new(FrontService::new(plane, addresses, metrics, front_settings));
    let stop_callers = CancellationToken::new();
    let stop_admin = CancellationToken::new();
    let callers = tokio::spawn(server.run(Arc::clone(&front), stop_callers.clone()));
    tokio::spawn(admin.run(stop_admin.clone()));
    log::info!(target: "node", "started vm={} callers={caller_addr} admin={admin_addr}", settings.vm);
    Ok(RunningNode {
        caller_addr,
        admin_addr,
        settings,
        kernel,
        front,
        status,
        stop_callers,
        stop_admin,
        callers,
    })
}

fn listen_failed(addr: SocketAddr) -> String {
    let code = ResultCode::ListenFailed;
    format!("{code}: cannot listen on {addr}")
}
