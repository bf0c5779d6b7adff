//! Entry nodes that share a ledger over one platform stand-in, without sockets.

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

/// Wall clock of every test node when it starts, in Unix milliseconds.
pub(crate) const TEST_ORIGIN_MS: u64 = 1_800_000_000_000;

pub(crate) type TestLedger = NodeLedger<NodeStore, DirectTransport>;

/// Where a node stands still.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(crate) enum FreezePoint {
    #[default]
    Nowhere,
    /// Before a write reaches the platform, and in every peer call.
    BeforeWrite,
    /// After a write has taken effect and before its answer is seen, and in every peer call.
    AfterWrite,
}

/// The platform as one node reaches it; the node can be frozen around its writes.
#[derive(Clone, Debug)]
pub(crate) struct NodeStore {
    platform: StandinPlatform,
    freeze: watch::Sender<FreezePoint>,
}

impl NodeStore {
    async fn pass(&self, point: FreezePoint) {
        let mut freeze = self.freeze.subscribe();
        let _ = freeze.wait_for(|frozen| *frozen != point).await;
    }

    async fn pass_any(&self) {
        let mut freeze = self.freeze.subscribe();
        let _ = freeze.wait_for(|frozen| *frozen == FreezePoint::Nowhere).await;
    }
}

impl PlatformStore for NodeStore {
    async fn get(&self, kind: &str, name: &str) -> Result<ObjectEnvelope, StoreError> {
        self.pass_any().await;
        self.platform.get(kind, name).await
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<ObjectList, StoreError> {
        self.pass_any().await;
        self.platform.list(kind, prefix).await
    }

    async fn put(
        &self,
        draft: ObjectDraft,
        precondition: Precondition,
    ) -> Result<ObjectEnvelope, StoreError> {
        self.pass(FreezePoint::BeforeWrite).await;
        let result = self.platform.put(draft, precondition).await;
        self.pass(FreezePoint::AfterWrite).await;
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
        self.pass(FreezePoint::BeforeWrite).await;
        self.platform.delete(kind, name, version).await
    }

    async fn watch(&self, request: WatchRequest) -> Result<WatchBatch, StoreError> {
        self.platform.watch(request).await
    }

    async fn vms(&self) -> Result<VmList, StoreError> {
        self.platform.vms().await
    }
}

/// Calls other nodes in the same process; a frozen node answers nobody.
#[derive(Clone, Debug, Default)]
pub(crate) struct DirectTransport {
    nodes: Arc<Mutex<HashMap<VmId, (TestLedger, NodeStore)>>>,
}

/// Time after which a call without an answer fails.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);

impl DirectTransport {
    fn node(&self, vm: &VmId) -> Result<(TestLedger, NodeStore), TransportError> {
        let nodes = self.nodes.lock().unwrap();
        nodes.get(vm).cloned().ok_or_else(|| TransportError("refused".to_owned()))
    }

    async fn call<R>(&self, call: impl Future<Output = R>) -> Result<R, TransportError> {
        let answer = tokio::time::timeout(CALL_TIMEOUT, call).await;
        answer.map_err(|_| TransportError("no answer".to_owned()))
    }
}

impl LedgerTransport for DirectTransport {
    async fn claim(
        &self,
        owner: &EntryRecord,
        request: ClaimRequest,
    ) -> Result<ClaimReply, TransportError> {
        let (ledger, store) = self.node(&owner.vm)?;
        let call = async {
            store.pass_any().await;
            let reply = ledger.serve_claim(request).await;
            store.pass_any().await;
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
            store.pass_any().await;
            let reply = ledger.serve_finish(request).await;
            store.pass_any().await;
            reply
        };
        self.call(call).await
    }
}

/// One node.
pub(crate) struct LedgerNode {
    pub(crate) vm: VmId,
    pub(crate) ledger: TestLedger,
    pub(crate) membership: SharedMembership,
    freeze: watch::Sender<FreezePoint>,
}

impl LedgerNode {
    pub(crate) fn freeze(&self, point: FreezePoint) {
        self.freeze.send_replace(point);
    }

    /// Gives the node a view that names `vms` as ready.
    pub(crate) fn set_view(&self, vms: &[VmId]) {
        self.membership.store(Arc::new(view_of(vms)));
    }
}

/// Nodes over one platform.
pub(crate) struct LedgerNodes {
    pub(crate) platform: StandinPlatform,
    pub(crate) transport: DirectTransport,
    pub(crate) settings: LedgerSettings,
    started: Instant,
    count: u64,
}

impl LedgerNodes {
    pub(crate) fn new(settings: LedgerSettings) -> Self {
        Self {
            platform: StandinPlatform::default(),
            transport: DirectTransport::default(),
            settings,
            started: Instant::now(),
            count: 0,
        }
    }

    /// Milliseconds since the epoch on the nodes' clock.
    pub(crate) fn now_ms(&self) -> u64 {
        TEST_ORIGIN_MS + self.started.elapsed().as_millis() as u64
    }

    /// Starts a node whose view names `vms`.
    pub(crate) fn start(&mut self, vm: &VmId, vms: &[VmId], seed: u64) -> LedgerNode {
        self.count += 1;
        let freeze = watch::Sender::new(FreezePoint::Nowhere);
        let store = NodeStore { platform: self.platform.clone(), freeze: freeze.clone() };
        let membership = SharedMembership::default();
        membership.store(Arc::new(view_of(vms)));
        let ledger = NodeLedger::new(LedgerParts {
            store: Arc::new(store.clone()),
            transport: self.transport.clone(),
            membership: Arc::clone(&membership),
            identity: EntryIdentity { vm: vm.clone(), incarnation: self.count },
            clock: WallClock::starting_at(self.now_ms()),
            random: SeededRandom::new(seed.wrapping_mul(1000) + self.count),
            settings: self.settings.clone(),
        });
        let node = LedgerNode { vm: vm.clone(), ledger: ledger.clone(), membership, freeze };
        self.transport.nodes.lock().unwrap().insert(vm.clone(), (ledger, store));
        node
    }

    /// Ends a node: it never writes or answers again.
    pub(crate) fn kill(&self, node: &LedgerNode) {
        node.freeze(FreezePoint::BeforeWrite);
        self.transport.nodes.lock().unwrap().remove(&node.vm);
    }
}

/// Names of `count` nodes.
pub(crate) fn vm_names(count: usize) -> Vec<VmId> {
    (0..count).map(|index| VmId::new(&format!("entry-{index}"))).collect()
}

fn view_of(vms: &[VmId]) -> MembershipView {
    let mut entries = Vec::new();
    for vm in vms {
        entries.push(EntryRecord {
            vm: vm.clone(),
            failure_domain: FailureDomain::new("fd"),
            caller_address: SocketAddr::from(([127, 0, 0, 1], 1)),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 2)),
            state: EntryState::Ready,
        });
    }
    MembershipView { entries }
}

/// Settings for tests with few keys.
pub(crate) fn ledger_settings() -> LedgerSettings {
    LedgerSettings { partitions: 2, ..LedgerSettings::default() }
}

/// A claim of `key` with a digest made of `content`.
pub(crate) fn claim_intent(key: &str, content: u8) -> ClaimIntent {
    ClaimIntent {
        tenant: TenantId::new("cau-noi"),
        key: key.to_owned(),
        digest: [content; 32],
        generation: GenerationNumber(1),
        deadline: Instant::now() + Duration::from_secs(10),
    }
}

/// A ledger of one node over a platform of its own.
pub(crate) fn single_ledger() -> TestLedger {
    let vms = vm_names(1);
    let mut nodes = LedgerNodes::new(ledger_settings());
    nodes.start(&vms[0], &vms, 1).ledger
}
