//! Server and client of the ledger's calls between entries, over `tonic`.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;
use tonic::service::interceptor::InterceptedService;
use tonic::transport::Channel;
use tonic::{Request, Response, Status, async_trait};

use crate::ledger::{LedgerTransport, NodeLedger, TransportError};
use crate::membership::EntryRecord;
use crate::peer::auth::PeerAuth;
use crate::peer::generated::ledger::claim_ledger_client::ClaimLedgerClient;
use crate::peer::generated::ledger::claim_ledger_server::{ClaimLedger, ClaimLedgerServer};
use crate::peer::generated::ledger::{ClaimReply, ClaimRequest, FinishReply, FinishRequest};
use crate::peer::transport::PeerChannels;
use crate::platform::PlatformStore;
use crate::util::FastMap;

/// Time limit of a call to an owner, which may have to wait for the platform. It is shorter than
/// the time limit of a claim, so that another entry can still be called.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an entry that failed a call is not called again.
const SUSPECT_BACKOFF: Duration = Duration::from_secs(2);

/// Serves the ledger calls of other entries.
#[derive(Debug)]
pub struct LedgerService<S, T> {
    ledger: NodeLedger<S, T>,
}

impl<S: PlatformStore, T: LedgerTransport> LedgerService<S, T> {
    /// Creates the service for the peer server.
    pub fn server(ledger: NodeLedger<S, T>) -> ClaimLedgerServer<Self> {
        ClaimLedgerServer::new(Self { ledger })
    }
}

#[async_trait]
impl<S: PlatformStore, T: LedgerTransport> ClaimLedger for LedgerService<S, T> {
    async fn claim(&self, request: Request<ClaimRequest>) -> Result<Response<ClaimReply>, Status> {
        Ok(Response::new(self.ledger.serve_claim(request.into_inner()).await))
    }

    async fn finish(
        &self,
        request: Request<FinishRequest>,
    ) -> Result<Response<FinishReply>, Status> {
        Ok(Response::new(self.ledger.serve_finish(request.into_inner()).await))
    }
}

/// [`LedgerTransport`] over `tonic`.
#[derive(Clone, Debug)]
pub struct TonicLedgerTransport {
    channels: PeerChannels,
    auth: PeerAuth,
    /// Peers that failed a call, and until when they are not called again.
    suspects: Arc<Mutex<FastMap<SocketAddr, Instant>>>,
}

impl TonicLedgerTransport {
    /// Creates a transport that signs its calls with `auth`.
    pub fn new(channels: PeerChannels, auth: PeerAuth) -> Self {
        Self { channels, auth, suspects: Arc::default() }
    }

    fn client(
        &self,
        to: SocketAddr,
    ) -> Result<ClaimLedgerClient<InterceptedService<Channel, PeerAuth>>, TransportError> {
        if self.is_suspect(to) {
            return Err(TransportError("peer is suspect after a failed call".to_owned()));
        }
        let channel = self.channels.channel(to);
        let channel = channel.map_err(|error| TransportError(error.to_string()))?;
        Ok(ClaimLedgerClient::with_interceptor(channel, self.auth.clone()))
    }

    /// Awaits a call. A connection on which it fails may have stopped responding, so it is closed.
    async fn await_response<R>(
        &self,
        to: SocketAddr,
        call: impl Future<Output = Result<Response<R>, Status>>,
    ) -> Result<R, TransportError> {
        let reason = match tokio::time::timeout(RESPONSE_TIMEOUT, call).await {
            Ok(Ok(response)) => return Ok(response.into_inner()),
            Ok(Err(status)) => status.to_string(),
            Err(_) => format!("no response within {RESPONSE_TIMEOUT:?}"),
        };
        self.channels.close(to);
        self.suspects().insert(to, Instant::now() + SUSPECT_BACKOFF);
        Err(TransportError(reason))
    }

    fn is_suspect(&self, to: SocketAddr) -> bool {
        let mut suspects = self.suspects();
        let Some(until) = suspects.get(&to) else { return false };
        if Instant::now() < *until {
            return true;
        }
        suspects.remove(&to);
        false
    }

    fn suspects(&self) -> MutexGuard<'_, FastMap<SocketAddr, Instant>> {
        self.suspects.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LedgerTransport for TonicLedgerTransport {
    async fn claim(
        &self,
        owner: &EntryRecord,
        request: ClaimRequest,
    ) -> Result<ClaimReply, TransportError> {
        let mut client = self.client(owner.peer_address)?;
        self.await_response(owner.peer_address, client.claim(request)).await
    }

    async fn finish(
        &self,
        owner: &EntryRecord,
        request: FinishRequest,
    ) -> Result<FinishReply, TransportError> {
        let mut client = self.client(owner.peer_address)?;
        self.await_response(owner.peer_address, client.finish(request)).await
    }
}
