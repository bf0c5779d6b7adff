//! One entry node made of library parts.

use std::net::{IpAddr, SocketAddr};
use std::sync::Arc;

use bytes::Bytes;
use heatherfall::balance::{LoadPicker, LoadPickerSettings};
use heatherfall::config::GenerationApplier;
use heatherfall::core::SharedSnapshot;
use heatherfall::kernel::{ConfigService, DrainService, ServiceKernel};
use heatherfall::ledger::{EntryIdentity, LedgerParts, LedgerSettings, NodeLedger, WallClock};
use heatherfall::membership::{
    AddressResolver, AssignmentSettings, ConfigFreshness, ControlNode, MembershipDriverArgs,
    NodeIdentity, SharedMembership,
};
use heatherfall::peer::generated::peer::{ExchangeReply, ExchangeRequest};
use heatherfall::peer::{PeerError, PeerTransport};
use heatherfall::request::{DataPlane, ExecutionSettings, PlaneResponse, unclaimed_error_response};
use heatherfall::util::SeededRandom;
use http::request::Parts;

use super::ledger_network::{GatedLedgerTransport, LedgerNetwork, ScenarioLedger};
use super::node_store::{NodeGate, SharedNodeStore};
use super::scripted_upstream::ScriptedClient;
use crate::support::{MemoryNetwork, MemoryTransport, TEST_ORIGIN_MS};

/// Added to the seeds of nodes, which differ as their addresses do: claims are told apart by random
/// identities.
const NODE_SEED: u64 = 7;

/// Calls of peers that stop with their node.
#[derive(Debug)]
pub(super) struct GatedTransport {
    gate: NodeGate,
    transport: MemoryTransport,
}

impl PeerTransport for GatedTransport {
    async fn exchange(
        &self,
        to: SocketAddr,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, PeerError> {
        self.gate.pass().await;
        let reply = self.transport.exchange(to, request).await;
        self.gate.pass().await;
        reply
    }
}

/// A running node.
pub(super) struct EntryNode {
    pub(super) gate: NodeGate,
    pub(super) peer_addr: SocketAddr,
    pub(super) control: Arc<ControlNode>,
    pub(super) snapshot: SharedSnapshot,
    pub(super) freshness: Arc<ConfigFreshness>,
    pub(super) addresses: AddressResolver,
    pub(super) kernel: ServiceKernel,
    plane: DataPlane<ScriptedClient, LoadPicker, ScenarioLedger>,
}

impl EntryNode {
    pub(super) fn start(
        identity: NodeIdentity,
        seeds: Vec<SocketAddr>,
        store: SharedNodeStore,
        client: ScriptedClient,
        network: &Arc<MemoryNetwork>,
        ledgers: &Arc<LedgerNetwork>,
    ) -> Self {
        let entry = EntryIdentity { vm: identity.vm.clone(), incarnation: identity.incarnation };
        let failure_domain = identity.failure_domain.clone();
        let peer_addr: SocketAddr = identity.peer_address.parse().expect("peer address");
        let seed = NODE_SEED + u64::from(peer_addr.port()) + last_octet(peer_addr);
        let gate = store.gate.clone();
        let snapshot = SharedSnapshot::default();
        let membership = SharedMembership::default();
        let freshness = Arc::new(ConfigFreshness::default());
        let holder = Arc::new(GenerationApplier::new(Arc::clone(&snapshot)));
        let control = Arc::new(ControlNode::new(
            identity,
            holder,
            Arc::clone(&freshness),
            Arc::clone(&membership),
        ));
        network.join(peer_addr, Arc::clone(&control));
        let kernel = ServiceKernel::default();
        let config = ConfigService { store: Arc::clone(&store), node: Arc::clone(&control) };
        kernel.start_task(config);
        let transport = MemoryTransport::new(Arc::clone(network), peer_addr);
        let members = MembershipDriverArgs {
            node: Arc::clone(&control),
            store: Arc::clone(&store),
            transport: Arc::new(GatedTransport { gate: gate.clone(), transport }),
            seeds,
            random: SeededRandom::new(seed),
        };
        kernel.start_task(members);
        let drains = DrainService { snapshot: Arc::clone(&snapshot), node: Arc::clone(&control) };
        kernel.start_task(drains);
        let unix_ms = TEST_ORIGIN_MS + store.transcript.elapsed().as_millis() as u64;
        let ledger = NodeLedger::new(LedgerParts {
            store,
            transport: GatedLedgerTransport { network: Arc::clone(ledgers), gate: gate.clone() },
            membership: Arc::clone(&membership),
            identity: entry,
            clock: WallClock::starting_at(unix_ms),
            random: SeededRandom::new(seed),
            settings: LedgerSettings::default(),
        });
        ledgers.join(peer_addr, ledger.clone(), gate.clone());
        let random = SeededRandom::new(seed);
        let picker = LoadPicker::new(failure_domain, LoadPickerSettings::default(), random);
        let plane = DataPlane::new(
            Arc::clone(&snapshot),
            client,
            picker,
            ledger,
            Arc::clone(&freshness),
            ExecutionSettings::default(),
        );
        let addresses =
            AddressResolver::new(membership, Arc::clone(&snapshot), AssignmentSettings::default());
        Self { gate, peer_addr, control, snapshot, freshness, addresses, kernel, plane }
    }

    /// Serves one request as the front does, without its sockets.
    pub(super) async fn serve(&self, parts: Parts, body: Bytes) -> PlaneResponse<ScriptedClient> {
        self.gate.pass().await;
        match self.plane.admit(&parts) {
            Ok(admission) => self.plane.run(admission, parts, body).await,
            Err(code) => unclaimed_error_response(&parts.headers, code),
        }
    }
}

fn last_octet(addr: SocketAddr) -> u64 {
    match addr.ip() {
        IpAddr::V4(ip) => u64::from(ip.octets()[3]),
        IpAddr::V6(ip) => u64::from(ip.octets()[15]),
    }
}
