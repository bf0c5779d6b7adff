//! Pool of HTTP/1.1 connections to upstreams, by address.
//!
//! A connection is checked out for one request and released only after the verified end of the
//! response; otherwise it is closed, so that the bytes of an abandoned response cannot be read as
//! the response to another request.

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

/// Interval at which the number of entries is refreshed and idle connections are trimmed.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(250);

/// Settings of the pool.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Settings of the connections to each upstream.
    pub per_upstream: UpstreamPoolSettings,
    /// Longest time to open a TCP connection.
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

/// Connections by upstream address; clones share them.
#[derive(Clone, Debug)]
pub struct ConnectionPool {
    shared: Arc<PoolShared>,
}

#[derive(Debug)]
struct PoolShared {
    settings: PoolSettings,
    membership: SharedMembership,
    entries: Mutex<EntryCountWindow>,
    sharing_entries: AtomicU32,
    upstream_pools: RwLock<FastMap<SocketAddr, Arc<HttpUpstreamPool>>>,
}

/// Largest buffer of a connection, and so the largest head and body part of a response that is read
/// at once. A response to a caller that reads slowly stays in such a buffer.
const MAX_BUFFER_BYTES: usize = 16 << 10;

/// HTTP connections to one upstream.
pub(super) type HttpUpstreamPool = UpstreamPool<HttpConnection>;
/// A checked-out HTTP connection.
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

/// Why no connection could be opened.
#[derive(Debug, thiserror::Error)]
pub(super) enum ConnectError {
    /// This node already has its share of the upstream's connections open.
    #[error("all connections that this node may open to the upstream are in use")]
    ShareInUse,
    /// Connecting failed or timed out.
    #[error(transparent)]
    Failed(#[from] std::io::Error),
}

impl ConnectionPool {
    /// Creates an empty pool for an entry that shares upstream connections with the entries in
    /// `membership`.
    pub fn new(settings: PoolSettings, membership: SharedMembership) -> Self {
        let entries = EntryCountWindow::default();
        let sharing_entries = AtomicU32::new(entries.sharing_entries());
        let entries = Mutex::new(entries);
        let upstream_pools = RwLock::default();
        let shared = PoolShared { settings, membership, entries, sharing_entries, upstream_pools };
        Self { shared: Arc::new(shared) }
    }

    /// Refreshes the number of entries and trims idle connections until `stop` is cancelled.
    pub async fn maintain(self, stop: CancellationToken) {
        let mut interval = tokio::time::interval(MAINTENANCE_INTERVAL);
        while stop.run_until_cancelled(interval.tick()).await.is_some() {
            self.refresh_sharing_entries();
            self.trim();
        }
    }

    /// Connections that this node may open to an upstream that accepts `max_connections` from all
    /// entries together.
    pub(super) fn share(&self, max_connections: u32) -> u32 {
        connection_share(max_connections, self.shared.sharing_entries.load(Ordering::Relaxed))
    }

    /// Pool of the connections to the upstream at `addr`.
    pub(super) fn upstream_pool(&self, addr: SocketAddr) -> Arc<HttpUpstreamPool> {
        let upstream_pools =
            self.shared.upstream_pools.read().unwrap_or_else(PoisonError::into_inner);
        if let Some(upstream_pool) = upstream_pools.get(&addr) {
            return Arc::clone(upstream_pool);
        }
        drop(upstream_pools);
        let mut upstream_pools =
            self.shared.upstream_pools.write().unwrap_or_else(PoisonError::into_inner);
        let settings = &self.shared.settings.per_upstream;
        Arc::clone(
            upstream_pools
                .entry(addr)
                .or_insert_with(|| Arc::new(UpstreamPool::new(settings.clone()))),
        )
    }

    /// Opens a connection, within this node's share of `max_connections`.
    pub(super) async fn connect(
        &self,
        upstream_pool: &HttpUpstreamPool,
        addr: SocketAddr,
        max_connections: u32,
    ) -> Result<PooledHttpConnection, ConnectError> {
        self.refresh_sharing_entries();
        upstream_pool.set_max_connections(max_connections);
        let permit =
            upstream_pool.reserve(self.share(max_connections)).ok_or(ConnectError::ShareInUse)?;
        let connect = TcpStream::connect(addr);
        let stream = tokio::time::timeout(self.shared.settings.connect_timeout, connect)
            .await
            .map_err(std::io::Error::from)??;
        stream.set_nodelay(true)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_BUFFER_BYTES);
        let handshake = builder.handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            let _ = driver.await;
        });
        let connection = HttpConnection { sender, driver: driver.abort_handle() };
        Ok(upstream_pool.register(connection, permit))
    }

    fn refresh_sharing_entries(&self) {
        let present = self.shared.membership.load().entries.len() as u32;
        let mut entries = self.shared.entries.lock().unwrap_or_else(PoisonError::into_inner);
        entries.observe(present, Instant::now());
        self.shared.sharing_entries.store(entries.sharing_entries(), Ordering::Relaxed);
    }

    /// Trims the pool of each upstream to its share of the last known `max_connections`, and
    /// removes pools that are empty and not in use.
    fn trim(&self) {
        let mut upstream_pools =
            self.shared.upstream_pools.write().unwrap_or_else(PoisonError::into_inner);
        upstream_pools.retain(|_, upstream_pool| {
            upstream_pool.trim(self.share(upstream_pool.max_connections()));
            upstream_pool.open_connections() > 0 || Arc::strong_count(upstream_pool) > 1
        });
    }
}
