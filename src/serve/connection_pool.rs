//! Open HTTP/1.1 connections to upstreams, by address.
//!
//! A connection is handed out for one exchange and comes back only after the answer's verified
//! end; otherwise it is closed, so bytes of an abandoned exchange can reach nobody.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::limits::{EntryCountWindow, connection_share};
use crate::membership::SharedMembership;
use crate::serve::upstream_pool::{Poolable, PooledConnection, UpstreamPool, UpstreamPoolSettings};
use crate::util::FastMap;

/// Time between two looks at the count of entries and at idle connections.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Limits of the pool.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Limits for each upstream.
    pub per_upstream: UpstreamPoolSettings,
    /// Time to open a connection.
    pub connect_timeout: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            per_upstream: UpstreamPoolSettings::default(),
            connect_timeout: Duration::from_secs(1),
        }
    }
}

/// Connections by address; clones share them.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    shared: Arc<PoolShared>,
}

#[derive(Debug)]
struct PoolShared {
    settings: PoolSettings,
    membership: SharedMembership,
    entries: Mutex<EntryCountWindow>,
    sharers: AtomicU32,
    hosts: RwLock<FastMap<SocketAddr, Arc<HttpUpstreamPool>>>,
}

/// Connections to one upstream.
pub(super) type HttpUpstreamPool = UpstreamPool<HttpConnection>;
/// A connection in use.
pub(super) type PooledHttpConnection = PooledConnection<HttpConnection>;

/// An HTTP/1.1 connection; dropping it closes it.
#[derive(Debug)]
pub(super) struct HttpConnection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    driver: AbortHandle,
}

impl Poolable for HttpConnection {
    fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }
}

impl Drop for HttpConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

/// Why there is no connection.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    /// This node holds its whole share of the upstream's connections.
    #[error("the share of connections is in use")]
    ShareInUse,
    /// It could not be opened.
    #[error(transparent)]
    Failed(#[from] std::io::Error),
}

impl ConnectionPool {
    /// Creates an empty pool of an entry among those of `membership`.
    pub fn new(settings: PoolSettings, membership: SharedMembership) -> Self {
        let entries = EntryCountWindow::default();
        let sharers = AtomicU32::new(entries.sharing_entries());
        let entries = Mutex::new(entries);
        let hosts = RwLock::default();
        let shared = PoolShared { settings, membership, entries, sharers, hosts };
        Self { shared: Arc::new(shared) }
    }

    /// Follows the count of entries and closes connections that are no longer wanted.
    pub async fn maintain(self, stop: CancellationToken) {
        let mut interval = tokio::time::interval(MAINTENANCE_INTERVAL);
        while stop.run_until_cancelled(interval.tick()).await.is_some() {
            self.count_entries();
            self.trim();
        }
    }

    /// Connections that this node may hold to an upstream that accepts `max_connections`.
    pub(super) fn share(&self, max_connections: u32) -> u32 {
        connection_share(max_connections, self.shared.sharers.load(Ordering::Relaxed))
    }

    /// Connections to the upstream at `addr`.
    pub(super) fn upstream_pool(&self, addr: SocketAddr) -> Arc<HttpUpstreamPool> {
        let hosts = self.shared.hosts.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(host) = hosts.get(&addr) {
            return Arc::clone(host);
        }
        drop(hosts);
        let mut hosts = self.shared.hosts.write().unwrap_or_else(PoisonError::into_inner);
        let settings = &self.shared.settings.per_upstream;
        Arc::clone(
            hosts.entry(addr).or_insert_with(|| Arc::new(UpstreamPool::new(settings.clone()))),
        )
    }

    /// Opens a connection.
    pub(super) async fn connect(
        &self,
        host: &HttpUpstreamPool,
        addr: SocketAddr,
        max_connections: u32,
    ) -> Result<PooledHttpConnection, ConnectError> {
        self.count_entries();
        host.set_max_connections(max_connections);
        let place = host.reserve(self.share(max_connections)).ok_or(ConnectError::ShareInUse)?;
        let connect = TcpStream::connect(addr);
        let stream = tokio::time::timeout(self.shared.settings.connect_timeout, connect)
            .await
            .map_err(std::io::Error::from)??;
        stream.set_nodelay(true)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            let _ = driver.await;
        });
        let connection = HttpConnection { sender, driver: driver.abort_handle() };
        Ok(host.register(connection, place))
    }

    fn count_entries(&self) {
        let present = self.shared.membership.load().entries.len() as u32;
        let mut entries = self.shared.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.observe(present, Instant::now());
        self.shared.sharers.store(entries.sharing_entries(), Ordering::Relaxed);
    }

    /// Trims every host to the share that it was last used with, and forgets those without any.
    fn trim(&self) {
        let mut hosts = self.shared.hosts.write().unwrap_or_else(PoisonError::into_inner);
        hosts.retain(|_, host| {
            host.trim(self.share(host.max_connections()));
            host.open_connections() > 0 || Arc::strong_count(host) > 1
        });
    }
}
