//! Ledger calls between the nodes of a scenario.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use heatherfall::ledger::{LedgerTransport, NodeLedger, TransportError};
use heatherfall::membership::EntryRecord;
use heatherfall::peer::generated::ledger::{ClaimReply, ClaimRequest, FinishReply, FinishRequest};

use super::node_store::{NodeGate, NodeStore};

/// Time after which a call without a response fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

/// The ledger of a scenario's node.
pub(super) type ScenarioLedger = NodeLedger<NodeStore, GatedLedgerTransport>;

/// Ledgers and process gates of the nodes, by peer address.
#[derive(Debug, Default)]
pub(super) struct LedgerNetwork {
    nodes: Mutex<BTreeMap<SocketAddr, (ScenarioLedger, NodeGate)>>,
}

impl LedgerNetwork {
    pub(super) fn attach(&self, peer_addr: SocketAddr, ledger: ScenarioLedger, gate: NodeGate) {
        self.lock().insert(peer_addr, (ledger, gate));
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, (ScenarioLedger, NodeGate)>> {
        self.nodes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Ledger calls of one node, which wait while the caller or the callee is paused or killed.
#[derive(Clone, Debug)]
pub(super) struct GatedLedgerTransport {
    pub(super) network: Arc<LedgerNetwork>,
    pub(super) gate: NodeGate,
}

impl GatedLedgerTransport {
    async fn call<R>(
        &self,
        owner: &EntryRecord,
        serve: impl AsyncFnOnce(ScenarioLedger) -> R,
    ) -> Result<R, TransportError> {
        self.gate.wait_until_running().await;
        let callee = self.network.lock().get(&owner.peer_address).cloned();
        let (ledger, gate) =
            callee.ok_or_else(|| TransportError("connection refused".to_owned()))?;
        let reply = tokio::time::timeout(CALL_TIMEOUT, async {
            gate.wait_until_running().await;
            let reply = serve(ledger).await;
            gate.wait_until_running().await;
            reply
        })
        .await;
        self.gate.wait_until_running().await;
        reply.map_err(|_| TransportError("no response".to_owned()))
    }
}

impl LedgerTransport for GatedLedgerTransport {
    async fn claim(
        &self,
        owner: &EntryRecord,
        request: ClaimRequest,
    ) -> Result<ClaimReply, TransportError> {
        self.call(owner, async |ledger| ledger.serve_claim(request).await).await
    }

    async fn finish(
        &self,
        owner: &EntryRecord,
        request: FinishRequest,
    ) -> Result<FinishReply, TransportError> {
        self.call(owner, async |ledger| ledger.serve_finish(request).await).await
    }
}
