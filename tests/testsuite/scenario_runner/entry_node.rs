//! An entry node of a scenario, built from the library's parts without sockets.

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
use crate::support::{InMemoryNetwork, InMemoryTransport, TEST_EPOCH_MS};

/// Base of the nodes' random seeds. A node's peer address is added to it, because claims have
/// random identities and must differ between nodes.
const NODE_SEED: u64 = 7;

/// Peer calls of one node, which wait while the node is paused or killed.
#[derive(Debug)]
pub(super) struct GatedTransport {
    gate: NodeGate,
    transport: InMemoryTransport,
}

impl PeerTransport for GatedTransport {
    async fn exchange(
        &self,
        to: SocketAddr,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, PeerError> {
        self.gate.wait_until_running().await;
        let reply = self.transport.exchange(to, request).await;
        self.gate.wait_until_running().await;
        reply
    }
}

/// One node with its control services, ledger and data plane.
pub(super) struct EntryNode {
    pub(super) gate: NodeGate,
    pub(super) peer_addr: SocketAddr,
    pub(super) control: Arc<ControlNode>,
    pub(super) snapshot: SharedSnapshot,
    pub(super) freshness: Arc<ConfigFreshness>,
    pub(super) addresses: AddressResolver,
    pub(super) kernel: ServiceKernel,
    data_plane: DataPlane<ScriptedClient, LoadPicker, ScenarioLedger>,
}

impl EntryNode {
    pub(super) fn start(
        identity: NodeIdentity,
        seeds: Vec<SocketAddr>,
        store: SharedNodeStore,
        client: ScriptedClient,
        network: &Arc<InMemoryNetwork>,
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
        let applier = Arc::new(GenerationApplier::new(Arc::clone(&snapshot)));
        let control = Arc::new(ControlNode::new(
            identity,
            applier,
            Arc::clone(&freshness),
            Arc::clone(&membership),
        ));
        network.attach(peer_addr, Arc::clone(&control));
        let kernel = ServiceKernel::default();
        let config_service =
            ConfigService { store: Arc::clone(&store), node: Arc::clone(&control) };
        kernel.start_task(config_service);
        let transport = InMemoryTransport::new(Arc::clone(network), peer_addr);
        let membership_driver = MembershipDriverArgs {
            node: Arc::clone(&control),
            store: Arc::clone(&store),
            transport: Arc::new(GatedTransport { gate: gate.clone(), transport }),
            seeds,
            random: SeededRandom::new(seed),
        };
        kernel.start_task(membership_driver);
        let drain_service =
            DrainService { snapshot: Arc::clone(&snapshot), node: Arc::clone(&control) };
        kernel.start_task(drain_service);
        let unix_ms = TEST_EPOCH_MS + store.transcript.elapsed().as_millis() as u64;
        let ledger = NodeLedger::new(LedgerParts {
            store,
            transport: GatedLedgerTransport { network: Arc::clone(ledgers), gate: gate.clone() },
            membership: Arc::clone(&membership),
            identity: entry,
            clock: WallClock::starting_at(unix_ms),
            random: SeededRandom::new(seed),
            settings: LedgerSettings::default(),
        });
        ledgers.attach(peer_addr, ledger.clone(), gate.clone());
        let random = SeededRandom::new(seed);
        let picker = LoadPicker::new(failure_domain, LoadPickerSettings::default(), random);
        let data_plane = DataPlane::new(
            Arc::clone(&snapshot),
            client,
            picker,
            ledger,
            Arc::clone(&freshness),
            ExecutionSettings::default(),
        );
        let addresses =
            AddressResolver::new(membership, Arc::clone(&snapshot), AssignmentSettings::default());
        Self { gate, peer_addr, control, snapshot, freshness, addresses, kernel, data_plane }
    }

    /// Admits and runs one request as the proxy service does.
    pub(super) async fn serve(&self, parts: Parts, body: Bytes) -> PlaneResponse<ScriptedClient> {
        self.gate.wait_until_running().await;
        match self.data_plane.admit(&parts) {
            Ok(admitted) => self.data_plane.run(admitted, parts, body).await,
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
