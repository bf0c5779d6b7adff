//! Calls from a node to its peers: the trait, and its implementation over `tonic`.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use tonic::transport::{Channel, Endpoint};

use crate::peer::auth::PeerAuth;
use crate::peer::generated::peer::peer_exchange_client::PeerExchangeClient;
use crate::peer::generated::peer::{ExchangeReply, ExchangeRequest};
use crate::util::FastMap;

/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Interval of keep-alive pings on a connection, and time limit of their responses.
const KEEP_ALIVE: Duration = Duration::from_secs(2);
/// Time limit of a call beyond the wait that the request asks for.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a message in bytes; holds a generation's content and the rest of an exchange.
pub const MAX_MESSAGE_BYTES: usize = 2 << 20;

/// Reason for which a call to a peer failed.
#[derive(Clone, Debug, thiserror::Error)]
pub enum PeerError {
    /// The peer could not be reached or did not respond in time.
    #[error("peer unavailable: {0}")]
    Unavailable(String),
    /// The peer refused the call because it does not accept this node's key or clock.
    #[error("peer refused the authentication of this node")]
    Unauthenticated,
}

/// Sends calls to peers.
pub trait PeerTransport: Send + Sync + 'static {
    /// Sends an exchange request to the peer at `to`.
    fn exchange(
        &self,
        to: SocketAddr,
        request: ExchangeRequest,
    ) -> impl Future<Output = Result<ExchangeReply, PeerError>> + Send;
}

/// Connections to peers, one per address, opened on first use; clones share them.
#[derive(Clone, Debug, Default)]
pub struct PeerChannels {
    channels: Arc<Mutex<FastMap<SocketAddr, Channel>>>,
}

impl PeerChannels {
    /// Returns the connection to `to`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address does not form a valid endpoint.
    pub fn channel(&self, to: SocketAddr) -> Result<Channel, PeerError> {
        let mut channels = self.channels.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(channel) = channels.get(&to) {
            return Ok(channel.clone());
        }
        let endpoint = Endpoint::from_shared(format!("http://{to}"))
            .map_err(|error| PeerError::Unavailable(error.to_string()))?
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true)
            .http2_keep_alive_interval(KEEP_ALIVE)
            .keep_alive_timeout(KEEP_ALIVE);
        let channel = endpoint.connect_lazy();
        channels.insert(to, channel.clone());
        Ok(channel)
    }

    /// Closes the connection to `to`, which may have stopped responding; the next call opens a new
    /// one.
    pub fn close(&self, to: SocketAddr) {
        self.channels.lock().unwrap_or_else(PoisonError::into_inner).remove(&to);
    }
}

/// [`PeerTransport`] over `tonic`.
#[derive(Clone, Debug)]
pub struct TonicTransport {
    channels: PeerChannels,
    auth: PeerAuth,
}

impl TonicTransport {
    /// Creates a transport that signs its calls with `auth`.
    pub fn new(channels: PeerChannels, auth: PeerAuth) -> Self {
        Self { channels, auth }
    }
}

impl PeerTransport for TonicTransport {
    async fn exchange(
        &self,
        to: SocketAddr,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, PeerError> {
        let timeout = Duration::from_millis(request.wait_ms) + RESPONSE_TIMEOUT;
        let channel = self.channels.channel(to)?;
        let mut client = PeerExchangeClient::with_interceptor(channel, self.auth.clone())
            .max_decoding_message_size(MAX_MESSAGE_BYTES)
            .max_encoding_message_size(MAX_MESSAGE_BYTES);
        match tokio::time::timeout(timeout, client.exchange(request)).await {
            Ok(Ok(reply)) => Ok(reply.into_inner()),
            Ok(Err(status)) if status.code() == tonic::Code::Unauthenticated => {
                Err(PeerError::Unauthenticated)
            }
            Ok(Err(status)) => {
                self.channels.close(to);
                Err(PeerError::Unavailable(status.to_string()))
            }
            Err(_) => {
                self.channels.close(to);
                Err(PeerError::Unavailable(format!("no response within {timeout:?}")))
            }
        }
    }
}
