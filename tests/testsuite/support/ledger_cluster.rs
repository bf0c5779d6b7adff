//! Entry nodes that share an idempotency ledger over one platform stand-in, without sockets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use heatherfall::core::{FailureDomain, GenerationNumber, TenantId, VmId};
use heatherfall::ledger::{
    ClaimIntent, EntryIdentity, LedgerParts, LedgerSettings, LedgerTransport, NodeLedger,
    TransportError, WallClock,
};
use heatherfall::membership::{EntryRecord, EntryState, MembershipView, SharedMembership};
use heatherfall::peer::generated::ledger::{ClaimReply, ClaimRequest, FinishReply, FinishRequest};
use heatherfall::platform::{
    ObjectDraft, ObjectEnvelope, ObjectList, PlatformStore, Precondition, Revision, StoreError,
    VmList, WatchBatch, WatchRequest,
};
use heatherfall::util::SeededRandom;
use heatherfall_standins::platform::StandinPlatform;
use tokio::sync::watch;
use tokio::time::Instant;

/// Wall clock of the test nodes at the start of a test, in Unix milliseconds.
pub(crate) const TEST_EPOCH_MS: u64 = 1_800_000_000_000;

pub(crate) type TestLedger = NodeLedger<PausableStore, InProcessTransport>;

/// Whether a node is paused, and at which point of a write.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum NodePause {
    #[default]
    None,
    /// Paused before a write reaches the platform, and in every object read and peer
    /// call.
    BeforeWrite,
    /// Paused after a write took effect and before the node sees the response, and in every object
    /// read and peer call.
    AfterWrite,
}

/// Platform client of one node, which can be paused around its writes.
#[derive(Clone, Debug)]
pub(crate) struct PausableStore {
    platform: StandinPlatform,
    pause: watch::Sender<NodePause>,
}

impl PausableStore {
    async fn wait_while_paused_at(&self, point: NodePause) {
        let mut pause = self.pause.subscribe();
        let _ = pause.wait_for(|pause| *pause != point).await;
    }

    async fn wait_until_running(&self) {
        let mut pause = self.pause.subscribe();
        let _ = pause.wait_for(|pause| *pause == NodePause::None).await;
    }
}

impl PlatformStore for PausableStore {
    async fn get(&self, kind: &str, name: &str) -> Result<ObjectEnvelope, StoreError> {
        self.wait_until_running().await;
        self.platform.get(kind, name).await
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<ObjectList, StoreError> {
        self.wait_until_running().await;
        self.platform.list(kind, prefix).await
    }

    async fn put(
        &self,
        draft: ObjectDraft,
        precondition: Precondition,
    ) -> Result<ObjectEnvelope, StoreError> {
        self.wait_while_paused_at(NodePause::BeforeWrite).await;
        let result = self.platform.put(draft, precondition).await;
        self.wait_while_paused_at(NodePause::AfterWrite).await;
        result
    }

    async fn put_status(
        &self,
        kind: &str,
        name: &str,
        version: Revision,
        status: serde_json::Value,
    ) -> Result<ObjectEnvelope, StoreError> {
        self.platform.put_status(kind, name, version, status).await
    }

    async fn delete(&self, kind: &str, name: &str, version: Revision) -> Result<(), StoreError> {
        self.wait_while_paused_at(NodePause::BeforeWrite).await;
        self.platform.delete(kind, name, version).await
    }

    async fn watch(&self, request: WatchRequest) -> Result<WatchBatch, StoreError> {
        self.platform.watch(request).await
    }

    async fn vms(&self) -> Result<VmList, StoreError> {
        self.platform.vms().await
    }
}

/// Delivers ledger calls to nodes in the same process; a paused node does not respond.
#[derive(Clone, Debug, Default)]
pub(crate) struct InProcessTransport {
    nodes: Arc<Mutex<HashMap<VmId, (TestLedger, PausableStore)>>>,
}

/// Time after which a call without a response fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

impl InProcessTransport {
    fn node(&self, vm: &VmId) -> Result<(TestLedger, PausableStore), TransportError> {
        let nodes = self.nodes.lock().unwrap();
        nodes.get(vm).cloned().ok_or_else(|| TransportError("connection refused".to_owned()))
    }

    async fn call<R>(&self, call: impl Future<Output = R>) -> Result<R, TransportError> {
        let response = tokio::time::timeout(CALL_TIMEOUT, call).await;
        response.map_err(|_| TransportError("no response".to_owned()))
    }
}

impl LedgerTransport for InProcessTransport {
    async fn claim(
        &self,
        owner: &EntryRecord,
        request: ClaimRequest,
    ) -> Result<ClaimReply, TransportError> {
        let (ledger, store) = self.node(&owner.vm)?;
        let call = async {
            store.wait_until_running().await;
            let reply = ledger.serve_claim(request).await;
            store.wait_until_running().await;
            reply
        };
        self.call(call).await
    }

    async fn finish(
        &self,
        owner: &EntryRecord,
        request: FinishRequest,
    ) -> Result<FinishReply, TransportError> {
        let (ledger, store) = self.node(&owner.vm)?;
        let call = async {
            store.wait_until_running().await;
            let reply = ledger.serve_finish(request).await;
            store.wait_until_running().await;
            reply
        };
        self.call(call).await
    }
}

/// One node with its ledger.
pub(crate) struct LedgerNode {
    pub(crate) vm: VmId,
    pub(crate) ledger: TestLedger,
    pub(crate) membership: SharedMembership,
    pause: watch::Sender<NodePause>,
}

impl LedgerNode {
    pub(crate) fn set_pause(&self, pause: NodePause) {
        self.pause.send_replace(pause);
    }

    /// Replaces the node's membership view by one in which `vms` are ready.
    pub(crate) fn set_view(&self, vms: &[VmId]) {
        self.membership.store(Arc::new(membership_view(vms)));
    }
}

/// Nodes that share one platform stand-in and call each other in process.
pub(crate) struct LedgerCluster {
    pub(crate) platform: StandinPlatform,
    pub(crate) transport: InProcessTransport,
    pub(crate) settings: LedgerSettings,
    started: Instant,
    /// Incarnation of the node started last; every start gets a new one.
    last_incarnation: u64,
}

impl LedgerCluster {
    pub(crate) fn new(settings: LedgerSettings) -> Self {
        Self {
            platform: StandinPlatform::default(),
            transport: InProcessTransport::default(),
            settings,
            started: Instant::now(),
            last_incarnation: 0,
        }
    }

    /// Milliseconds since the epoch on the nodes' clock.
    pub(crate) fn now_ms(&self) -> u64 {
        TEST_EPOCH_MS + self.started.elapsed().as_millis() as u64
    }

    /// Starts a node in whose membership view `vms` are ready.
    pub(crate) fn start(&mut self, vm: &VmId, vms: &[VmId], seed: u64) -> LedgerNode {
        self.last_incarnation += 1;
        let pause = watch::Sender::new(NodePause::None);
        let store = PausableStore { platform: self.platform.clone(), pause: pause.clone() };
        let membership = SharedMembership::default();
        membership.store(Arc::new(membership_view(vms)));
        let ledger = NodeLedger::new(LedgerParts {
            store: Arc::new(store.clone()),
            transport: self.transport.clone(),
            membership: Arc::clone(&membership),
            identity: EntryIdentity { vm: vm.clone(), incarnation: self.last_incarnation },
            clock: WallClock::starting_at(self.now_ms()),
            random: SeededRandom::new(seed.wrapping_mul(1000) + self.last_incarnation),
            settings: self.settings.clone(),
        });
        let node = LedgerNode { vm: vm.clone(), ledger: ledger.clone(), membership, pause };
        self.transport.nodes.lock().unwrap().insert(vm.clone(), (ledger, store));
        node
    }

    /// Crashes a node: it never writes or responds again.
    pub(crate) fn kill(&self, node: &LedgerNode) {
        node.set_pause(NodePause::BeforeWrite);
        self.transport.nodes.lock().unwrap().remove(&node.vm);
    }
}

/// The names `entry-0`, `entry-1` and so on of `count` nodes.
pub(crate) fn vm_names(count: usize) -> Vec<VmId> {
    (0..count).map(|index| VmId::new(&format!("entry-{index}"))).collect()
}

fn membership_view(vms: &[VmId]) -> MembershipView {
    let mut entries = Vec::new();
    for vm in vms {
        entries.push(EntryRecord {
            vm: vm.clone(),
            failure_domain: FailureDomain::new("fd"),
            caller_address: SocketAddr::from(([127, 0, 0, 1], 1)),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 2)),
            state: EntryState::Ready,
            has_path: true,
        });
    }
    MembershipView { entries }
}

/// Ledger settings with two partitions, for tests with few keys.
pub(crate) fn ledger_settings() -> LedgerSettings {
    LedgerSettings { partitions: 2, ..LedgerSettings::default() }
}

/// Claim of `key` for a request whose digest is 32 times `content`.
pub(crate) fn claim_intent(key: &str, content: u8) -> ClaimIntent {
    ClaimIntent {
        tenant: TenantId::new("cau-noi"),
        key: key.to_owned(),
        digest: [content; 32],
        generation: GenerationNumber(1),
        deadline: Instant::now() + Duration::from_secs(10),
    }
}

/// Ledger of a single node on its own platform stand-in.
pub(crate) fn single_node_ledger() -> TestLedger {
    let vms = vm_names(1);
    let mut nodes = LedgerCluster::new(ledger_settings());
    nodes.start(&vms[0], &vms, 1).ledger
}
