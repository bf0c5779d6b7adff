//! Open HTTP/1.1 connections to upstreams, by address.
//!
//! A connection is handed out for one exchange and comes back only after the answer's verified
//! end; otherwise it is closed, so bytes of an abandoned exchange can reach nobody.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::util::FastMap;

/// Limits of the pool.
#[derive(Clone, Debug)]
pub struct PoolSettings {
    /// Idle connections kept for each upstream.
    pub max_idle: usize,
    /// Idle time after which a connection is closed.
    pub max_idle_time: Duration,
    /// Time to open a connection.
    pub connect_timeout: Duration,
}

impl Default for PoolSettings {
    fn default() -> Self {
        Self {
            max_idle: 12,
            max_idle_time: Duration::from_secs(30),
            connect_timeout: Duration::from_secs(1),
        }
    }
}

/// Connections by address; clones share them.
#[derive(Clone, Debug, Default)]
pub struct ConnectionPool {
    settings: PoolSettings,
    idle: Arc<Mutex<FastMap<SocketAddr, Vec<IdleConnection>>>>,
}

#[derive(Debug)]
struct IdleConnection {
    connection: UpstreamConnection,
    since: Instant,
}

/// A connection in use; dropping it closes it.
#[derive(Debug)]
pub(super) struct UpstreamConnection {
    pub(super) sender: SendRequest<Full<Bytes>>,
    addr: SocketAddr,
    driver: AbortHandle,
}

impl Drop for UpstreamConnection {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl ConnectionPool {
    /// Creates an empty pool.
    pub fn new(settings: PoolSettings) -> Self {
        Self { settings, idle: Arc::default() }
    }

    /// Takes the most recently used idle connection.
    pub(super) fn take(&self, addr: SocketAddr) -> Option<UpstreamConnection> {
        let mut idle = self.lock();
        let connections = idle.get_mut(&addr)?;
        while let Some(entry) = connections.pop() {
            let is_fresh = entry.since.elapsed() < self.settings.max_idle_time;
            if is_fresh && entry.connection.sender.is_ready() {
                return Some(entry.connection);
            }
        }
        None
    }

    /// Opens a connection.
    pub(super) async fn connect(&self, addr: SocketAddr) -> std::io::Result<UpstreamConnection> {
        let connect = TcpStream::connect(addr);
        let stream = tokio::time::timeout(self.settings.connect_timeout, connect).await??;
        stream.set_nodelay(true)?;
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, driver) = handshake.map_err(std::io::Error::other)?;
        let driver = tokio::spawn(async move {
            let _ = driver.await;
        });
        Ok(UpstreamConnection { sender, addr, driver: driver.abort_handle() })
    }

    /// Takes a connection back after a whole exchange.
    pub(super) fn put_back(&self, connection: UpstreamConnection) {
        let mut idle = self.lock();
        let connections = idle.entry(connection.addr).or_default();
        if connections.len() < self.settings.max_idle {
            connections.push(IdleConnection { connection, since: Instant::now() });
        }
    }

    fn lock(&self) -> MutexGuard<'_, FastMap<SocketAddr, Vec<IdleConnection>>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
