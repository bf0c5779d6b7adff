//! Wires one node: platform, services, request plane, listeners.
//!
//! ```text
//! NodeListeners (callers, peers) -> NodeParts (snapshot, membership, control) -> admin port
//!        -> services -> ledger -> request plane -> RunningNode
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

/// Time between two reads of the key file.
const KEY_POLL_INTERVAL: Duration = Duration::from_secs(2);
/// Longest time that a leaving node waits for the record of outcomes.
const OUTCOME_RECORD_TIMEOUT: Duration = Duration::from_secs(10);

/// A running node.
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

/// What stops the listeners, one after the other.
#[derive(Clone, Debug, Default)]
struct NodeStops {
    callers: CancellationToken,
    peers: CancellationToken,
    admin: CancellationToken,
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
        self.leaving_flag.set_leaving();
        tokio::time::sleep(self.settings.shutdown.announce).await;
        self.stops.callers.cancel();
        if tokio::time::timeout(self.settings.shutdown.drain, self.callers).await.is_err() {
            log::error!(target: "node", "requests still in flight at the end of the drain time");
        }
        self.keyed_tasks.close();
        if tokio::time::timeout(OUTCOME_RECORD_TIMEOUT, self.keyed_tasks.wait()).await.is_err() {
            log::error!(target: "node", "outcomes of keyed requests not recorded");
        }
        self.kernel.stop().await;
        self.stops.peers.cancel();
        self.stops.admin.cancel();
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
    tokio::spawn(reload_keys(key_file, node.auth.clone(), node.stops.peers.clone()));
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
    let listeners = NodeListeners::bind(&settings, keys).await?;
    let parts = NodeComponents::new(&settings, &listeners)?;
    let status = Arc::new(parts.status_source(&settings));
    let admin =
        bind_admin(settings.listen.admin, parts.registry.clone(), &status, parts.kernel.clone())
            .await?;
    let admin_addr = admin.local_addr().into_diagnostic()?;

    let stops = NodeStops::default();
    let pool = parts.connection_pool();
    parts.start_services(&settings, &store, pool.clone())?;
    let ledger = parts.start_ledger(&settings, store)?;
    let plane = parts.data_plane(&settings, pool.clone(), ledger.clone())?;
    let keyed_tasks = plane.keyed_tasks();
    let front = Arc::new(parts.proxy_service(&settings, plane)?);
    let leave_switch = front.leaving_flag();

    let NodeListeners { callers, peers, caller_addr, peer_addr, auth } = listeners;
    let exchange = PeerExchangeServer::new(ExchangeService::new(Arc::clone(&parts.control)))
        .max_decoding_message_size(MAX_MESSAGE_BYTES)
        .max_encoding_message_size(MAX_MESSAGE_BYTES);
    let routes = Routes::new(exchange).add_service(LedgerService::server(ledger));
    tokio::spawn(peers.run(routes, stops.peers.clone()));
    let callers = tokio::spawn(callers.run(front, stops.callers.clone()));
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
        control: parts.control,
        settings,
        kernel: parts.kernel,
        leaving_flag: leave_switch,
        keyed_tasks,
        status,
        stops,
        callers,
    })
}

/// Reads the key file again and again; a file that cannot be used leaves the last keys in force.
async fn reload_keys(key_file: PathBuf, auth: PeerAuth, stop: CancellationToken) {
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
