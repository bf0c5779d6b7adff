//! Control planes of many nodes in one process, on the paused clock and without sockets.

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

/// Time one way between two nodes.
const LATENCY: Duration = Duration::from_micros(1500);

/// Calls between nodes, with the bytes that each node sends and receives.
#[derive(Debug, Default)]
pub(crate) struct MemoryNetwork {
    nodes: Mutex<BTreeMap<SocketAddr, Arc<ControlNode>>>,
    silent: Mutex<BTreeSet<SocketAddr>>,
    bytes: Mutex<BTreeMap<SocketAddr, usize>>,
}

#[derive(Debug)]
pub(crate) struct MemoryTransport {
    network: Arc<MemoryNetwork>,
    from: SocketAddr,
}

impl PeerTransport for MemoryTransport {
    async fn exchange(
        &self,
        to: SocketAddr,
        request: ExchangeRequest,
    ) -> Result<ExchangeReply, PeerError> {
        let network = &self.network;
        network.count(self.from, to, request.encoded_len());
        tokio::time::sleep(LATENCY).await;
        if network.is_silent(to) || network.is_silent(self.from) {
            tokio::time::sleep(Duration::from_millis(request.wait_ms + 1000)).await;
            return Err(PeerError::Unavailable("silent".to_owned()));
        }
        let callee = network.nodes.lock().unwrap().get(&to).cloned();
        let callee = callee.ok_or_else(|| PeerError::Unavailable("refused".to_owned()))?;
        let reply = callee.handle_exchange(request).await;
        tokio::time::sleep(LATENCY).await;
        network.count(to, self.from, reply.encoded_len());
        Ok(reply)
    }
}

impl MemoryTransport {
    pub(crate) fn new(network: Arc<MemoryNetwork>, from: SocketAddr) -> Self {
        Self { network, from }
    }
}

impl MemoryNetwork {
    /// From now on `node` answers calls to `addr`.
    pub(crate) fn join(&self, addr: SocketAddr, node: Arc<ControlNode>) {
        self.nodes.lock().unwrap().insert(addr, node);
        self.silent.lock().unwrap().remove(&addr);
    }

    /// From now on calls to `addr` are refused.
    pub(crate) fn leave(&self, addr: SocketAddr) {
        self.nodes.lock().unwrap().remove(&addr);
    }

    /// From now on calls from and to `addr` are not answered.
    pub(crate) fn silence(&self, addr: SocketAddr) {
        self.silent.lock().unwrap().insert(addr);
    }

    /// Ends the silence of `addr`.
    pub(crate) fn hear(&self, addr: SocketAddr) {
        self.silent.lock().unwrap().remove(&addr);
    }

    fn is_silent(&self, addr: SocketAddr) -> bool {
        self.silent.lock().unwrap().contains(&addr)
    }

    fn count(&self, from: SocketAddr, to: SocketAddr, bytes: usize) {
        let mut counts = self.bytes.lock().unwrap();
        *counts.entry(from).or_default() += bytes;
        *counts.entry(to).or_default() += bytes;
    }

    /// Bytes of messages that each node has sent and received since the last call.
    pub(crate) fn take_bytes(&self) -> Vec<usize> {
        std::mem::take(&mut *self.bytes.lock().unwrap()).into_values().collect()
    }
}

/// The platform as one node reaches it.
#[derive(Debug)]
struct NodeStore {
    platform: StandinPlatform,
    is_down: Arc<AtomicBool>,
}

impl NodeStore {
    fn reach(&self) -> Result<&StandinPlatform, StoreError> {
        if self.is_down.load(Ordering::Relaxed) {
            return Err(StoreError::Unavailable("not reached by this node".to_owned()));
        }
        Ok(&self.platform)
    }
}

impl PlatformStore for NodeStore {
    async fn get(&self, kind: &str, name: &str) -> Result<ObjectEnvelope, StoreError> {
        self.reach()?.get(kind, name).await
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<ObjectList, StoreError> {
        self.reach()?.list(kind, prefix).await
    }

    async fn put(
        &self,
        draft: ObjectDraft,
        precondition: Precondition,
    ) -> Result<ObjectEnvelope, StoreError> {
        self.reach()?.put(draft, precondition).await
    }

    async fn put_status(
        &self,
        kind: &str,
        name: &str,
        spec_version: Revision,
        status: Value,
    ) -> Result<ObjectEnvelope, StoreError> {
        self.reach()?.put_status(kind, name, spec_version, status).await
    }

    async fn delete(
        &self,
        kind: &str,
        name: &str,
        spec_version: Revision,
    ) -> Result<(), StoreError> {
        self.reach()?.delete(kind, name, spec_version).await
    }

    async fn watch(&self, request: WatchRequest) -> Result<WatchBatch, StoreError> {
        self.reach()?.watch(request).await
    }

    async fn vms(&self) -> Result<VmList, StoreError> {
        self.reach()?.vms().await
    }
}

/// One running node.
pub(crate) struct FleetNode {
    pub(crate) node: Arc<ControlNode>,
    pub(crate) snapshot: SharedSnapshot,
    pub(crate) freshness: Arc<ConfigFreshness>,
    pub(crate) membership: SharedMembership,
    pub(crate) address: SocketAddr,
    /// The platform refuses every call of this node.
    pub(crate) platform_down: Arc<AtomicBool>,
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

    /// Ready entries in this node's view.
    pub(crate) fn ready(&self) -> usize {
        self.membership.load().ready().count()
    }
}

/// Nodes on one platform.
pub(crate) struct ControlFleet {
    pub(crate) platform: StandinPlatform,
    pub(crate) network: Arc<MemoryNetwork>,
    pub(crate) nodes: BTreeMap<usize, FleetNode>,
    domains: usize,
    starts: u64,
}

impl ControlFleet {
    pub(crate) fn new(domains: usize) -> Self {
        Self {
            platform: StandinPlatform::default(),
            network: Arc::default(),
            nodes: BTreeMap::new(),
            domains,
            starts: 0,
        }
    }

    /// A fleet without nodes on a platform that exists.
    pub(crate) fn on(platform: StandinPlatform) -> Self {
        Self { platform, ..Self::new(1) }
    }

    /// A fleet of `size` nodes that all apply a first configuration.
    pub(crate) async fn started(size: usize, domains: usize) -> Self {
        let mut fleet = Self::new(domains);
        fleet.apply_upstream("lookups-0", 1).await;
        for index in 0..size {
            fleet.start(index, Vec::new());
        }
        fleet.wait("start", |node| node.generation() > 0 && node.ready() == size).await;
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
        let failure_domain = format!("fd-{}", index % self.domains);
        self.starts += 1;
        let identity = NodeIdentity {
            vm: VmId::new(&Self::vm_of(index)),
            failure_domain: FailureDomain::new(&failure_domain),
            caller_address: SocketAddr::new(address.ip(), 80).to_string(),
            peer_address: address.to_string(),
            incarnation: self.starts,
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
        let holder = Arc::new(GenerationApplier::new(Arc::clone(&snapshot)));
        let node =
            ControlNode::new(identity, holder, Arc::clone(&freshness), Arc::clone(&membership));
        let node = Arc::new(node);
        self.network.join(address, Arc::clone(&node));
        let stop = CancellationToken::new();
        let platform_down = Arc::new(AtomicBool::new(false));
        let store = Arc::new(NodeStore {
            platform: self.platform.clone(),
            is_down: Arc::clone(&platform_down),
        });
        let driver = MembershipDriver::new(MembershipDriverArgs {
            node: Arc::clone(&node),
            store: Arc::clone(&store),
            transport: Arc::new(MemoryTransport::new(Arc::clone(&self.network), address)),
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
            platform_down,
            stop,
            tasks,
        };
        self.nodes.insert(index, node);
    }

    /// Adds a peer that answers calls, holds `content` and does nothing else.
    pub(crate) fn add_peer(&self, index: usize, content: &bytes::Bytes) -> SocketAddr {
        let address = Self::address_of(index);
        let identity = NodeIdentity {
            vm: VmId::new(&Self::vm_of(index)),
            failure_domain: FailureDomain::new("fd-9"),
            caller_address: SocketAddr::new(address.ip(), 80).to_string(),
            peer_address: address.to_string(),
            incarnation: 1,
        };
        let holder = Arc::new(GenerationApplier::new(SharedSnapshot::default()));
        let peer = ControlNode::new(identity, holder, Arc::default(), SharedMembership::default());
        peer.offer(content);
        self.network.join(address, Arc::new(peer));
        address
    }

    /// Ends a node without a word; calls to it are refused, or with `is_silent` never answered.
    pub(crate) fn kill(&mut self, index: usize, is_silent: bool) {
        let node = self.nodes.remove(&index).expect("node runs");
        self.network.leave(node.address);
        if is_silent {
            self.network.silence(node.address);
        }
        self.platform.remove_vm(&Self::vm_of(index));
    }

    /// Stops a node that has been told that it leaves.
    pub(crate) async fn stop(&mut self, index: usize) {
        let mut node = self.nodes.remove(&index).expect("node runs");
        node.stop.cancel();
        for task in std::mem::take(&mut node.tasks) {
            task.await.expect("task ends");
        }
        self.network.leave(node.address);
        self.platform.remove_vm(&Self::vm_of(index));
    }

    /// Cuts a node off from its peers and not from the platform.
    pub(crate) fn cut_off(&self, index: usize) {
        self.network.silent.lock().unwrap().insert(Self::address_of(index));
    }

    /// Ends what [`ControlFleet::cut_off`] began.
    pub(crate) fn heal(&self, index: usize) {
        self.network.silent.lock().unwrap().remove(&Self::address_of(index));
    }

    /// The relay of a failure domain.
    pub(crate) fn relay_of(&self, domain: usize) -> Option<usize> {
        let mut indexes = self.nodes.iter().filter(|(index, _)| *index % self.domains == domain);
        indexes.find(|(_, node)| node.node.is_relay()).map(|(index, _)| *index)
    }

    /// Waits until `holds` for every node and returns the time that it took.
    pub(crate) async fn wait(&self, what: &str, holds: impl Fn(&FleetNode) -> bool) -> Duration {
        let started = tokio::time::Instant::now();
        while !self.nodes.values().all(&holds) {
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
                node.ready(),
                node.node.is_relay(),
                node.node.known_relay_term(),
                node.freshness.age(),
            ));
        }
        text
    }

    /// Writes an upstream as an operator does.
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
