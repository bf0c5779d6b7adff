//! Opens the listeners of a node.

use std::net::SocketAddr;
use std::sync::Arc;

use miette::{IntoDiagnostic, WrapErr};
use prometheus::Registry;

use crate::core::{ResultCode, VmId};
use crate::kernel::ServiceKernel;
use crate::ops::node_settings::NodeSettings;
use crate::ops::node_status::StatusSource;
use crate::peer::{PeerAuth, PeerKeys, PeerServer};
use crate::serve::{AdminServer, CallerServer, CallerServerSettings};

/// Listeners for callers and peers. They are opened before the rest of the node starts, because
/// the node advertises their bound addresses to other entries.
pub(super) struct NodeListeners {
    pub(super) callers: CallerServer,
    pub(super) peers: PeerServer,
    pub(super) caller_addr: SocketAddr,
    pub(super) peer_addr: SocketAddr,
    pub(super) auth: PeerAuth,
}

impl NodeListeners {
    /// Binds the listeners for callers and peers.
    ///
    /// # Errors
    ///
    /// Returns HF-5004 if an address cannot be bound.
    pub(super) async fn bind(settings: &NodeSettings, keys: PeerKeys) -> miette::Result<Self> {
        let limits = &settings.limits;
        let server_settings = CallerServerSettings {
            header_timeout: limits.header_timeout,
            max_head_bytes: limits.max_head_bytes,
            write_timeout: limits.write_timeout,
            ..CallerServerSettings::default()
        };
        let callers = CallerServer::bind(settings.listen.callers, server_settings)
            .await
            .into_diagnostic()
            .wrap_err_with(|| listen_error(settings.listen.callers))?;
        let auth = PeerAuth::new(VmId::new(&settings.vm), keys);
        let peers = PeerServer::bind(settings.listen.peers, auth.clone())
            .await
            .into_diagnostic()
            .wrap_err_with(|| listen_error(settings.listen.peers))?;
        let caller_addr = callers.local_addr().into_diagnostic()?;
        let peer_addr = peers.local_addr().into_diagnostic()?;
        Ok(Self { callers, peers, caller_addr, peer_addr, auth })
    }
}

/// Binds the listener for operators and metrics.
///
/// # Errors
///
/// Returns HF-5004 if the address cannot be bound.
pub(super) async fn bind_admin(
    addr: SocketAddr,
    registry: Registry,
    status: &Arc<StatusSource>,
    kernel: ServiceKernel,
) -> miette::Result<AdminServer> {
    AdminServer::bind(addr, registry, Arc::clone(status), kernel)
        .await
        .into_diagnostic()
        .wrap_err_with(|| listen_error(addr))
}

fn listen_error(addr: SocketAddr) -> String {
    let code = ResultCode::ListenFailed;
    format!("{code}: cannot listen on {addr}")
}
