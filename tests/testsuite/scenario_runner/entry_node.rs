//! One entry node made of library parts.

use std::sync::Arc;

use bytes::Bytes;
use heatherfall::balance::RandomPicker;
use heatherfall::core::SharedSnapshot;
use heatherfall::kernel::{
    ConfigService, ConfigServiceArgs, MembershipService, MembershipServiceArgs, ServiceKernel,
    ServiceName,
};
use heatherfall::membership::{AddressBook, SharedMembership};
use heatherfall::request::{ExchangeSettings, PlaneAnswer, RequestPlane, refusal};
use heatherfall::util::SeededRandom;
use http::request::Parts;

use super::node_store::{NodeGate, NodeStore, SharedNodeStore};
use super::scripted_upstream::ScriptedClient;

/// Seed of every node's picks.
const PICK_SEED: u64 = 7;

/// A running node.
pub(super) struct EntryNode {
    pub(super) gate: NodeGate,
    pub(super) snapshot: SharedSnapshot,
    pub(super) addresses: AddressBook,
    pub(super) kernel: ServiceKernel,
    plane: RequestPlane<ScriptedClient, RandomPicker>,
}

impl EntryNode {
    pub(super) fn start(store: SharedNodeStore, client: ScriptedClient) -> Self {
        let gate = store.gate.clone();
        let snapshot = SharedSnapshot::default();
        let membership = SharedMembership::default();
        let kernel = ServiceKernel::default();
        let config =
            ConfigServiceArgs { store: Arc::clone(&store), snapshot: Arc::clone(&snapshot) };
        kernel.start::<ConfigService<NodeStore>>(ServiceName::Config, config);
        let members = MembershipServiceArgs { store, membership: Arc::clone(&membership) };
        kernel.start::<MembershipService<NodeStore>>(ServiceName::Membership, members);
        let picker = RandomPicker::new(SeededRandom::new(PICK_SEED));
        let plane =
            RequestPlane::new(Arc::clone(&snapshot), client, picker, ExchangeSettings::default());
        Self { gate, snapshot, addresses: AddressBook::new(membership), kernel, plane }
    }

    /// Serves one request as the front does, without its sockets.
    pub(super) async fn serve(&self, parts: Parts, body: Bytes) -> PlaneAnswer<ScriptedClient> {
        self.gate.pass().await;
        match self.plane.admit(&parts) {
            Ok(admission) => self.plane.run(admission, parts, body).await,
            Err(code) => refusal(code),
        }
    }
}
