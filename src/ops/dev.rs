//! The embedded deployment: a platform stand-in, upstream stand-ins for the services of both sample
//! users and three entry nodes in three failure domains, all in one process.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use heatherfall_standins::ServerHandle;
use heatherfall_standins::platform::{self, StandinPlatform};
use heatherfall_standins::upstream::{self, StandinUpstream, UpstreamBehaviour};
use miette::{IntoDiagnostic, miette};
use serde_json::json;
use tokio::time::Instant;

use crate::core::ObjectKind;
use crate::ops::node::{self, RunningNode};
use crate::ops::node_settings::{
    ListenSettings, LogSettings, NodeSettings, PeerSettings, PlatformSettings, ShutdownSettings,
};
use crate::ops::objects::{self, ObjectManifest};
use crate::peer::PeerKeys;
use crate::platform::{VmRecord, VmState};

/// Configuration objects of both sample users; upstreams are added with the stand-ins.
const SAMPLE_OBJECTS: &str = include_str!("../../examples/both-users.jsonc");
/// Failure domains over which entry nodes and upstreams are spread.
const FAILURE_DOMAINS: [&str; 3] = ["fd-a", "fd-b", "fd-c"];
/// Peer key of the embedded deployment. It may be public, because all listeners are on loopback
/// addresses.
const DEV_PEER_KEY: &str = "key of the embedded deployment";
/// Longest wait at the start until every node is ready and sees all others.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
/// Interval between readiness checks of a node.
const READY_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Sizes and ports of the embedded deployment.
#[derive(Clone, Debug)]
pub struct DevSettings {
    /// Caller port of the first entry node; the others use the ports after it. 0 picks free ports.
    pub first_port: u16,
    /// Services and the number and size of their upstreams.
    pub services: Vec<ServiceSize>,
    /// Time for which a leaving node keeps serving.
    pub announce: Duration,
}

/// Number and size of the upstreams of one service.
#[derive(Clone, Debug)]
pub struct ServiceSize {
    /// Value of the upstreams' `app` label.
    pub app: &'static str,
    /// Number of upstreams.
    pub targets: usize,
    /// Requests that each upstream processes at the same time.
    pub slots: usize,
}

impl Default for DevSettings {
    fn default() -> Self {
        Self {
            first_port: 8081,
            services: vec![
                ServiceSize { app: "lookups", targets: 17, slots: 4 },
                ServiceSize { app: "packs", targets: 8, slots: 4 },
                ServiceSize { app: "donations", targets: 6, slots: 4 },
                ServiceSize { app: "audio", targets: 6, slots: 4 },
                ServiceSize { app: "repo-reads", targets: 22, slots: 3 },
                ServiceSize { app: "pushes", targets: 8, slots: 3 },
                ServiceSize { app: "gradebook", targets: 6, slots: 3 },
                ServiceSize { app: "exam-release", targets: 6, slots: 3 },
            ],
            announce: Duration::from_millis(500),
        }
    }
}

/// One upstream stand-in and its server.
#[derive(Debug)]
pub struct DevUpstream {
    /// Name of its `Upstream` object.
    pub name: String,
    /// The stand-in, to set its behaviour and read its counts.
    pub upstream: StandinUpstream,
    server: ServerHandle,
}

/// A running embedded deployment.
pub struct DevDeployment {
    /// The platform stand-in.
    pub platform: StandinPlatform,
    /// The upstream stand-ins.
    pub upstreams: Vec<DevUpstream>,
    /// The entry nodes.
    pub nodes: Vec<RunningNode>,
    platform_server: ServerHandle,
}

impl DevDeployment {
    /// Starts the deployment and waits until every node is ready and sees all others.
    ///
    /// # Errors
    ///
    /// Returns an error if a port is in use, a sample object is invalid, or a node does not
    /// become ready in time.
    pub async fn start(settings: &DevSettings) -> miette::Result<Self> {
        let platform = StandinPlatform::default();
        let platform_server =
            platform::serve(platform.clone(), loopback(0)).await.into_diagnostic()?;
        for manifest in objects::parse_manifests(SAMPLE_OBJECTS)? {
            objects::apply(&platform, manifest).await?;
        }
        let mut upstreams = Vec::new();
        for service in &settings.services {
            for index in 0..service.targets {
                upstreams.push(start_upstream(&platform, service, index).await?);
            }
        }
        let mut nodes = Vec::new();
        for (index, failure_domain) in FAILURE_DOMAINS.iter().enumerate() {
            let port =
                if settings.first_port == 0 { 0 } else { settings.first_port + index as u16 };
            let node_settings = NodeSettings {
                vm: format!("entry-{}", index + 1),
                failure_domain: (*failure_domain).to_owned(),
                listen: ListenSettings {
                    callers: loopback(port),
                    admin: loopback(0),
                    peers: loopback(0),
                },
                platform: PlatformSettings {
                    address: platform_server.addr(),
                    timeout: Duration::from_secs(2),
                },
                peers: PeerSettings::default(),
                limits: Default::default(),
                ledger: Default::default(),
                log: LogSettings::default(),
                shutdown: ShutdownSettings { announce: settings.announce, ..Default::default() },
            };
            nodes.push(start_node(&platform, node_settings).await?);
        }
        let deployment = Self { platform, upstreams, nodes, platform_server };
        deployment.wait_ready().await?;
        Ok(deployment)
    }

    /// Address of the platform stand-in.
    pub fn platform_addr(&self) -> SocketAddr {
        self.platform_server.addr()
    }

    /// Shuts all nodes down gracefully, in parallel.
    pub async fn stop(self) {
        let shutdowns = self.nodes.into_iter().map(RunningNode::leave);
        futures_util::future::join_all(shutdowns).await;
    }

    async fn wait_ready(&self) -> miette::Result<()> {
        let deadline = Instant::now() + READY_TIMEOUT;
        for node in &self.nodes {
            while !node.is_ready() || node.known_entries() < self.nodes.len() {
                if Instant::now() > deadline {
                    return Err(miette!(
                        "entry node {} did not become ready in time",
                        node.caller_addr()
                    ));
                }
                tokio::time::sleep(READY_POLL_INTERVAL).await;
            }
        }
        Ok(())
    }
}

async fn start_upstream(
    platform: &StandinPlatform,
    service: &ServiceSize,
    index: usize,
) -> miette::Result<DevUpstream> {
    let name = format!("{}-{index}", service.app);
    let behaviour = UpstreamBehaviour { slots: service.slots, ..UpstreamBehaviour::default() };
    let upstream = StandinUpstream::new(&name, behaviour);
    let server = upstream::serve(upstream.clone(), loopback(0)).await.into_diagnostic()?;
    let manifest = ObjectManifest {
        kind: ObjectKind::Upstream,
        name: name.clone(),
        labels: [("app".to_owned(), service.app.to_owned())].into(),
        spec: json!({
            "address": server.addr().to_string(),
            "failure_domain": FAILURE_DOMAINS[index % FAILURE_DOMAINS.len()],
            "slots": service.slots,
        }),
    };
    objects::apply(platform, manifest).await?;
    Ok(DevUpstream { name, upstream, server })
}

async fn start_node(
    platform: &StandinPlatform,
    settings: NodeSettings,
) -> miette::Result<RunningNode> {
    let id = settings.vm.clone();
    let failure_domain = settings.failure_domain.clone();
    let keys = PeerKeys::parse(DEV_PEER_KEY).into_diagnostic()?;
    let node = node::start_with_keys(settings, Arc::new(platform.clone()), keys).await?;
    platform.put_vm(VmRecord {
        id,
        address: node.caller_addr().to_string(),
        peer_address: node.peer_addr().to_string(),
        failure_domain,
        state: VmState::Live,
    });
    Ok(node)
}

impl DevUpstream {
    /// Address on which the stand-in listens.
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }
}

fn loopback(port: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, port))
}
