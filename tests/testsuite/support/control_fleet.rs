//! Control planes of many nodes in one process, on tokio's paused clock and without sockets.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use heatherfall::config::{ConfigCompiler, GenerationApplier};
use heatherfall::core::{FailureDomain, ObjectKind, SharedSnapshot, VmId};
use heatherfall::membership::{
    ConfigFreshness, ControlNode, MembershipDriver, MembershipDriverArgs, NodeIdentity,
    SharedMembership,
};
use heatherfall::ops::objects::{self, ObjectManifest};
use heatherfall::peer::generated::peer::{ExchangeReply, ExchangeRequest};
use heatherfall::peer::{PeerError, PeerTransport};
use heatherfall::platform::{
    ObjectDraft, ObjectEnvelope, ObjectList, PlatformStore, Precondition, Revision, StoreError,
    VmList, VmRecord, VmState, WatchBatch, WatchRequest,
};
use heatherfall::util::SeededRandom;
use heatherfall_standins::platform::StandinPlatform;
use prost::Message;
use serde_json::{Value, json};
use tokio_util::sync::CancellationToken;

const ONE_WAY_LATENCY: Duration = Duration::from_micros(1500);

/// Delivers calls between nodes in memory and counts the bytes that each node sends and receives.
#[derive(Debug, Default)]
pub(crate) struct InMemoryNetwork {
    nodes: Mutex<BTreeMap<SocketAddr, Arc<ControlNode>>>,
    isolated: Mutex<BTreeSet<SocketAddr>>,
    bytes_by_node: Mutex<BTreeMap<SocketAddr, usize>>,
}

#[derive(Debug)]
pub(crate) struct InMemoryTransport {
    network: Arc<InMemoryNetwork>,
    from: SocketAddr,
}

impl PeerTransport for InMemoryTransport {
    async fn exchange(
        &self,
        to: SocketAddr,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, PeerError> {
        let network = &self.network;
        network.record_bytes(self.from, to, request.encoded_len());
        tokio::time::sleep(ONE_WAY_LATENCY).await;
        if network.is_isolated(to) || network.is_isolated(self.from) {
            tokio::time::sleep(Duration::from_millis(request.wait_ms + 1000)).await;
            return Err(PeerError::Unavailable("no response: node isolated".to_owned()));
        }
        let callee = network.nodes.lock().unwrap().get(&to).cloned();
        let callee =
            callee.ok_or_else(|| PeerError::Unavailable("connection refused".to_owned()))?;
        let reply = callee.handle_exchange(request).await;
        tokio::time::sleep(ONE_WAY_LATENCY).await;
        network.record_bytes(to, self.from, reply.encoded_len());
        Ok(reply)
    }
}

impl InMemoryTransport {
    pub(crate) fn new(network: Arc<InMemoryNetwork>, from: SocketAddr) -> Self {
        Self { network, from }
    }
}

impl InMemoryNetwork {
    /// Delivers calls to `addr` to `node`, and ends an isolation of `addr`.
    pub(crate) fn attach(&self, addr: SocketAddr, node: Arc<ControlNode>) {
        self.nodes.lock().unwrap().insert(addr, node);
        self.isolated.lock().unwrap().remove(&addr);
    }

    /// Refuses calls to `addr` from now on.
    pub(crate) fn detach(&self, addr: SocketAddr) {
        self.nodes.lock().unwrap().remove(&addr);
    }

    /// Drops calls from and to `addr`: they get no response and fail after their timeout.
    pub(crate) fn isolate(&self, addr: SocketAddr) {
        self.isolated.lock().unwrap().insert(addr);
    }

    /// Delivers calls from and to `addr` again.
    pub(crate) fn reconnect(&self, addr: SocketAddr) {
        self.isolated.lock().unwrap().remove(&addr);
    }

    fn is_isolated(&self, addr: SocketAddr) -> bool {
        self.isolated.lock().unwrap().contains(&addr)
    }

    fn record_bytes(&self, from: SocketAddr, to: SocketAddr, bytes: usize) {
        let mut counts = self.bytes_by_node.lock().unwrap();
        *counts.entry(from).or_default() += bytes;
        *counts.entry(to).or_default() += bytes;
    }

    /// Encoded message bytes of each node, sent and received, since the previous call.
    pub(crate) fn take_bytes(&self) -> Vec<usize> {
        std::mem::take(&mut *self.bytes_by_node.lock().unwrap()).into_values().collect()
    }
}

/// Platform client of one node, with an outage that only this node sees.
#[derive(Debug)]
struct OutageStore {
    platform: StandinPlatform,
    is_down: Arc<AtomicBool>,
}

impl OutageStore {
    fn available_platform(&self) -> Result<&StandinPlatform, StoreError> {
        if self.is_down.load(Ordering::Relaxed) {
            return Err(StoreError::Unavailable("platform outage for this node".to_owned()));
        }
        Ok(&self.platform)
    }
}

impl PlatformStore for OutageStore {
    async fn get(&self, kind: &str, name: &str) -> Result<ObjectEnvelope, StoreError> {
        self.available_platform()?.get(kind, name).await
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<ObjectList, StoreError> {
        self.available_platform()?.list(kind, prefix).await
    }

    async fn put(
        &self,
        draft: ObjectDraft,
        precondition: Precondition,
    ) -> Result<ObjectEnvelope, StoreError> {
        self.available_platform()?.put(draft, precondition).await
    }

    async fn put_status(
        &self,
        kind: &str,
        name: &str,
        spec_version: Revision,
        status: Value,
    ) -> Result<ObjectEnvelope, StoreError> {
        self.available_platform()?.put_status(kind, name, spec_version, status).await
    }

    async fn delete(
        &self,
        kind: &str,
        name: &str,
        spec_version: Revision,
    ) -> Result<(), StoreError> {
        self.available_platform()?.delete(kind, name, spec_version).await
    }

    async fn watch(&self, request: WatchRequest) -> Result<WatchBatch, StoreError> {
        self.available_platform()?.watch(request).await
    }

    async fn vms(&self) -> Result<VmList, StoreError> {
        self.available_platform()?.vms().await
    }
}

/// Running control plane of one node; dropping it aborts its tasks.
pub(crate) struct FleetNode {
    pub(crate) node: Arc<ControlNode>,
    pub(crate) snapshot: SharedSnapshot,
    pub(crate) freshness: Arc<ConfigFreshness>,
    pub(crate) membership: SharedMembership,
    pub(crate) address: SocketAddr,
    /// While set, every platform call of this node fails as unavailable.
    pub(crate) is_platform_down: Arc<AtomicBool>,
    stop: CancellationToken,
    tasks: Vec<tokio::task::JoinHandle<()>>,
}

impl Drop for FleetNode {
    fn drop(&mut self) {
        for task in &self.tasks {
            task.abort();
        }
    }
}

impl FleetNode {
    pub(crate) fn generation(&self) -> u64 {
        self.node.generation_applier().number().0
    }

    /// Number of ready entries in this node's membership view.
    pub(crate) fn ready_entries(&self) -> usize {
        self.membership.load().ready().count()
    }
}

/// Nodes that share one platform stand-in and one in-memory network.
pub(crate) struct ControlFleet {
    pub(crate) platform: StandinPlatform,
    pub(crate) network: Arc<InMemoryNetwork>,
    pub(crate) nodes: BTreeMap<usize, FleetNode>,
    domain_count: usize,
    /// Incarnation of the node started last; every start gets a new one.
    last_incarnation: u64,
}

impl ControlFleet {
    pub(crate) fn new(domain_count: usize) -> Self {
        Self {
            platform: StandinPlatform::default(),
            network: Arc::default(),
            nodes: BTreeMap::new(),
            domain_count,
            last_incarnation: 0,
        }
    }

    /// A fleet of one failure domain, without nodes, on an existing platform.
    pub(crate) fn with_platform(platform: StandinPlatform) -> Self {
        Self { platform, ..Self::new(1) }
    }

    /// A fleet of `size` nodes that have all applied a first configuration and know each other.
    pub(crate) async fn started(size: usize, domain_count: usize) -> Self {
        let mut fleet = Self::new(domain_count);
        fleet.apply_upstream("lookups-0", 1).await;
        for index in 0..size {
            fleet.start(index, Vec::new());
        }
        fleet
            .wait_until("start", |node| node.generation() > 0 && node.ready_entries() == size)
            .await;
        fleet
    }

    pub(crate) fn address_of(index: usize) -> SocketAddr {
        SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7400))
    }

    pub(crate) fn vm_of(index: usize) -> String {
        format!("entry-{index:03}")
    }

    pub(crate) fn start(&mut self, index: usize, seeds: Vec<SocketAddr>) {
        let address = Self::address_of(index);
        let failure_domain = format!("fd-{}", index % self.domain_count);
        self.last_incarnation += 1;
        let identity = NodeIdentity {
            vm: VmId::new(&Self::vm_of(index)),
            failure_domain: FailureDomain::new(&failure_domain),
            caller_address: SocketAddr::new(address.ip(), 80).to_string(),
            peer_address: address.to_string(),
            incarnation: self.last_incarnation,
        };
        self.platform.put_vm(VmRecord {
            id: Self::vm_of(index),
            address: identity.caller_address.clone(),
            peer_address: identity.peer_address.clone(),
            failure_domain,
            state: VmState::Live,
        });
        let snapshot = SharedSnapshot::default();
        let freshness = Arc::new(ConfigFreshness::default());
        let membership = SharedMembership::default();
        let applier = Arc::new(GenerationApplier::new(Arc::clone(&snapshot)));
        let node =
            ControlNode::new(identity, applier, Arc::clone(&freshness), Arc::clone(&membership));
        let node = Arc::new(node);
        self.network.attach(address, Arc::clone(&node));
        let stop = CancellationToken::new();
        let is_platform_down = Arc::new(AtomicBool::new(false));
        let store = Arc::new(OutageStore {
            platform: self.platform.clone(),
            is_down: Arc::clone(&is_platform_down),
        });
        let driver = MembershipDriver::new(MembershipDriverArgs {
            node: Arc::clone(&node),
            store: Arc::clone(&store),
            transport: Arc::new(InMemoryTransport::new(Arc::clone(&self.network), address)),
            seeds,
            random: SeededRandom::new(index as u64),
        });
        let compiler = ConfigCompiler::new(Arc::clone(&node), store);
        let (driver_stop, compiler_stop) = (stop.clone(), stop.clone());
        let tasks = vec![
            tokio::spawn(async move { driver.run(driver_stop).await }),
            tokio::spawn(async move { compiler.run(compiler_stop).await }),
        ];
        let node = FleetNode {
            node,
            snapshot,
            freshness,
            membership,
            address,
            is_platform_down,
            stop,
            tasks,
        };
        self.nodes.insert(index, node);
    }

    /// Attaches a peer that has applied the generation in `content` and serves calls but runs no
    /// tasks of its own.
    pub(crate) fn add_passive_peer(&self, index: usize, content: &bytes::Bytes) -> SocketAddr {
        let address = Self::address_of(index);
        let identity = NodeIdentity {
            vm: VmId::new(&Self::vm_of(index)),
            failure_domain: FailureDomain::new("fd-9"),
            caller_address: SocketAddr::new(address.ip(), 80).to_string(),
            peer_address: address.to_string(),
            incarnation: 1,
        };
        let applier = Arc::new(GenerationApplier::new(SharedSnapshot::default()));
        let peer = ControlNode::new(identity, applier, Arc::default(), SharedMembership::default());
        peer.offer(content);
        self.network.attach(address, Arc::new(peer));
        address
    }

    /// Crashes a node. Calls to it are refused, as after the crash of its process, or with
    /// `is_unreachable` get no response, as after the loss of its host.
    pub(crate) fn kill(&mut self, index: usize, is_unreachable: bool) {
        let node = self.nodes.remove(&index).expect("node runs");
        self.network.detach(node.address);
        if is_unreachable {
            self.network.isolate(node.address);
        }
        self.platform.remove_vm(&Self::vm_of(index));
    }

    /// Stops a node whose state was set to leaving before; its tasks end by themselves.
    pub(crate) async fn stop(&mut self, index: usize) {
        let mut node = self.nodes.remove(&index).expect("node runs");
        node.stop.cancel();
        for task in std::mem::take(&mut node.tasks) {
            task.await.expect("task ends");
        }
        self.network.detach(node.address);
        self.platform.remove_vm(&Self::vm_of(index));
    }

    /// Partitions a node from its peers; it still reaches the platform.
    pub(crate) fn isolate(&self, index: usize) {
        self.network.isolated.lock().unwrap().insert(Self::address_of(index));
    }

    /// Ends a partition made by [`ControlFleet::isolate`].
    pub(crate) fn heal(&self, index: usize) {
        self.network.isolated.lock().unwrap().remove(&Self::address_of(index));
    }

    /// Index of the node that is the relay of a failure domain, if one is.
    pub(crate) fn relay_of(&self, domain: usize) -> Option<usize> {
        let mut indexes =
            self.nodes.iter().filter(|(index, _)| *index % self.domain_count == domain);
        indexes.find(|(_, node)| node.node.is_relay()).map(|(index, _)| *index)
    }

    /// Waits until `condition` is true of every node and returns the elapsed time. Panics after
    /// 120 s with `what` and the state of the nodes.
    pub(crate) async fn wait_until(
        &self,
        what: &str,
        condition: impl Fn(&FleetNode) -> bool,
    ) -> Duration {
        let started = tokio::time::Instant::now();
        while !self.nodes.values().all(&condition) {
            assert!(started.elapsed() < Duration::from_secs(120), "{what}: {}", self.describe());
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        started.elapsed()
    }

    pub(crate) fn describe(&self) -> String {
        let mut text = String::new();
        for (index, node) in &self.nodes {
            text.push_str(&format!(
                "\n{index}: generation={} ready={} relay={} term={} age={:?}",
                node.generation(),
                node.ready_entries(),
                node.node.is_relay(),
                node.node.known_relay_term(),
                node.freshness.age(),
            ));
        }
        text
    }

    /// Creates or updates an upstream through the operator's path.
    pub(crate) async fn apply_upstream(&self, name: &str, slots: u32) {
        let spec = json!({ "address": "10.9.0.1:80", "failure_domain": "fd-0", "slots": slots });
        self.apply(ObjectKind::Upstream, name, spec).await;
    }

    pub(crate) async fn apply(&self, kind: ObjectKind, name: &str, spec: Value) {
        let labels = [("app".to_owned(), "lookups".to_owned())].into();
        let manifest = ObjectManifest { kind, name: name.to_owned(), labels, spec };
        objects::apply(&self.platform, manifest).await.expect("object applies");
    }
}
