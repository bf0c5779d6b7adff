//! Starts and shuts down one entry node: listeners, control-plane services, ledger, data plane.
//!
//! Order of the start:
//!
//! ```text
//! NodeListeners (callers, peers) -> NodeComponents (snapshot, membership, control) -> admin port
//!        -> services -> ledger -> data plane -> RunningNode
//! ```

mod components;
mod listeners;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use miette::{IntoDiagnostic, WrapErr};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;
use tonic::service::Routes;

use self::components::NodeComponents;
use self::listeners::{NodeListeners, bind_admin};
use crate::core::ResultCode;
use crate::kernel::ServiceKernel;
use crate::membership::{ControlNode, EntryState};
use crate::ops::node_settings::NodeSettings;
use crate::ops::node_status::StatusSource;
use crate::peer::generated::peer::peer_exchange_server::PeerExchangeServer;
use crate::peer::{ExchangeService, LedgerService, MAX_MESSAGE_BYTES, PeerAuth, PeerKeys};
use crate::platform::PlatformStore;
use crate::serve::LeavingFlag;

/// Interval between reads of the peer key file, so that rotated keys apply without a restart.
const KEY_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Longest wait of a leaving node for the outcomes of its keyed requests to be recorded.
const OUTCOME_RECORD_TIMEOUT: Duration = Duration::from_secs(10);

/// An entry node that was started; [`leave`](Self::leave) shuts it down gracefully.
pub struct RunningNode {
    caller_addr: SocketAddr,
    admin_addr: SocketAddr,
    peer_addr: SocketAddr,
    auth: PeerAuth,
    control: Arc<ControlNode>,
    settings: NodeSettings,
    kernel: ServiceKernel,
    leaving_flag: LeavingFlag,
    keyed_tasks: TaskTracker,
    status: Arc<StatusSource>,
    stops: NodeStops,
    callers: JoinHandle<()>,
}

/// Cancellation of the listeners, which stop one after the other.
#[derive(Clone, Debug, Default)]
struct NodeStops {
    callers: CancellationToken,
    peers: CancellationToken,
    admin: CancellationToken,
}

impl RunningNode {
    /// Bound address of the listener for callers.
    pub fn caller_addr(&self) -> SocketAddr {
        self.caller_addr
    }

    /// Bound address of the listener for operators and metrics.
    pub fn admin_addr(&self) -> SocketAddr {
        self.admin_addr
    }

    /// Bound address of the listener for calls from other entry nodes.
    pub fn peer_addr(&self) -> SocketAddr {
        self.peer_addr
    }

    /// Whether the node has a configuration to serve.
    pub fn is_ready(&self) -> bool {
        self.status.unready_reason().is_none()
    }

    /// Number of entry VMs, this one included, in the node's membership view.
    pub fn known_entries(&self) -> usize {
        self.status.membership.load().entries.len()
    }

    /// Shuts down gracefully. The node announces that it is leaving and keeps serving for the
    /// `announce` time, so that callers move to other entries. Then the caller listener closes,
    /// requests in flight get the `drain` time to finish, outcomes of keyed requests are recorded,
    /// and the services and the other listeners stop.
    pub async fn leave(self) {
        log::info!(target: "node", "leaving vm={}", self.settings.vm);
        self.control.set_state(EntryState::Leaving);
        self.leaving_flag.set_leaving();
        tokio::time::sleep(self.settings.shutdown.announce).await;
        self.stops.callers.cancel();
        if tokio::time::timeout(self.settings.shutdown.drain, self.callers).await.is_err() {
            log::error!(target: "node", "drain time over with requests still in flight");
        }
        self.keyed_tasks.close();
        if tokio::time::timeout(OUTCOME_RECORD_TIMEOUT, self.keyed_tasks.wait()).await.is_err() {
            log::error!(target: "node", "stopping with outcomes of keyed requests unrecorded");
        }
        self.kernel.stop().await;
        self.stops.peers.cancel();
        self.stops.admin.cancel();
        log::info!(target: "node", "left vm={}", self.settings.vm);
    }
}

/// Starts a node that uses `store` as its platform and re-reads its peer keys from their file.
///
/// # Errors
///
/// Returns HF-5001 if the key file cannot be read or parsed, and HF-5004 if a listen address
/// cannot be bound.
pub async fn start<S: PlatformStore>(
    settings: NodeSettings,
    store: Arc<S>,
) -> miette::Result<RunningNode> {
    let key_file = settings.peers.key_file.clone();
    let keys = PeerKeys::load(&key_file)
        .into_diagnostic()
        .wrap_err_with(|| format!("{}: peers.key_file", ResultCode::SettingsUnreadable))?;
    let node = start_with_keys(settings, store, keys).await?;
    tokio::spawn(reload_keys(key_file, node.auth.clone(), node.stops.peers.clone()));
    Ok(node)
}

/// Starts a node that uses `store` as its platform, with fixed peer keys.
///
/// # Errors
///
/// Returns HF-5004 if a listen address cannot be bound.
pub async fn start_with_keys<S: PlatformStore>(
    settings: NodeSettings,
    store: Arc<S>,
    keys: PeerKeys,
) -> miette::Result<RunningNode> {
    let listeners = NodeListeners::bind(&settings, keys).await?;
    let components = NodeComponents::new(&settings, &listeners)?;
    let status = Arc::new(components.status_source(&settings));
    let admin = bind_admin(
        settings.listen.admin,
        components.registry.clone(),
        &status,
        components.kernel.clone(),
    )
    .await?;
    let admin_addr = admin.local_addr().into_diagnostic()?;

    let stops = NodeStops::default();
    let pool = components.connection_pool();
    components.start_services(&settings, &store, pool.clone())?;
    let ledger = components.start_ledger(&settings, store)?;
    let data_plane = components.data_plane(&settings, pool.clone(), ledger.clone())?;
    let keyed_tasks = data_plane.keyed_tasks();
    let proxy = Arc::new(components.proxy_service(&settings, data_plane)?);
    let leaving_flag = proxy.leaving_flag();

    let NodeListeners { callers, peers, caller_addr, peer_addr, auth } = listeners;
    let exchange = PeerExchangeServer::new(ExchangeService::new(Arc::clone(&components.control)))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let routes = Routes::new(exchange).add_service(LedgerService::server(ledger));
    tokio::spawn(peers.run(routes, stops.peers.clone()));
    let callers = tokio::spawn(callers.run(proxy, stops.callers.clone()));
    tokio::spawn(admin.run(stops.admin.clone()));
    tokio::spawn(pool.maintain(stops.admin.clone()));
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
        control: components.control,
        settings,
        kernel: components.kernel,
        leaving_flag,
        keyed_tasks,
        status,
        stops,
        callers,
    })
}

/// Re-reads the key file periodically. While the file cannot be read or parsed, the last valid keys
/// stay active; the same error is logged once, not at every read.
async fn reload_keys(key_file: PathBuf, auth: PeerAuth, stop: CancellationToken) {
    let mut last_error = String::new();
    while stop.run_until_cancelled(tokio::time::sleep(KEY_POLL_INTERVAL)).await.is_some() {
        let error = match PeerKeys::load(&key_file) {
            Ok(keys) => {
                auth.set_keys(keys);
                String::new()
            }
            Err(error) => error.to_string(),
        };
        if !error.is_empty() && error != last_error {
            log::warn!(target: "peer", "cannot load key file, old keys stay active reason={error}");
        }
        last_error = error;
    }
}
