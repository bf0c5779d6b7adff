//! Entries that read their whole configuration from the store, without sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use heatherfall::core::IdempotenceMode::{AtMostOnce, Idempotent};
use heatherfall::core::{FailureDomain, GenerationNumber, SharedSnapshot, VmId};
use heatherfall::fleet::codec::{
    DeclaredBackend, DeclaredConfig, DeclaredRoute, DeclaredService, DecodeError, DeploymentCodec,
    DirectoryQuery, PlatformNames, RegisteredUpstream, StatementOrder,
};
use heatherfall::fleet::peer_table::PeerTable;
use heatherfall::fleet::read_schedule::ChangeBounds;
use heatherfall::fleet::state::FleetState;
use heatherfall::fleet::store_follower::StoreFollower;
use heatherfall::fleet::view::DeploymentView;
use heatherfall::limits::{LimitTable, RouteLimitSettings};
use heatherfall::membership::{ConfigFreshness, EntryRecord, EntryState, SharedMembership};
use heatherfall::platform::{ObjectDraft, ObjectEnvelope, PlatformStore, Precondition};
use heatherfall_standins::platform::StandinPlatform;
use serde_json::json;

pub(crate) const CONFIG_KIND: &str = "settings";
pub(crate) const CONFIG_NAME: &str = "present";
pub(crate) const UPSTREAM_KIND: &str = "backends";
pub(crate) const EVACUATION_KIND: &str = "evacuations";

/// Codec of a deployment whose configuration object is `{ "generation": N, "warm_up_rate": R,
/// "at_most_once": B }` and
/// whose upstream objects are `{ "service": S, "draining": B, "started": T, "sequence": N,
/// "warm_up_ms": N }`; all other fields have
/// fixed values.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct TestCodec;

impl DeploymentCodec for TestCodec {
    fn names(&self) -> PlatformNames {
        PlatformNames {
            config_kind: CONFIG_KIND,
            config_name: CONFIG_NAME,
            upstream_kind: UPSTREAM_KIND,
            evacuation_kind: EVACUATION_KIND,
            ready_path: "/ready",
            directory_path: "/addresses",
        }
    }

    fn config(&self, object: &ObjectEnvelope) -> Result<DeclaredConfig, DecodeError> {
        let generation = object.spec["generation"].as_u64();
        let generation = generation.ok_or_else(|| missing("generation"))?;
        let is_at_most_once = object.spec["at_most_once"].as_bool() == Some(true);
        let route = DeclaredRoute {
            name: "reads".to_owned(),
            host: "reads.example".to_owned(),
            path_prefix: "/".to_owned(),
            mode: if is_at_most_once { AtMostOnce } else { Idempotent },
            timeout: Duration::from_secs(1),
            goal: Duration::from_millis(200),
            rank: 0,
            max_attempts: 2,
            backends: vec![DeclaredBackend { service: "reads".to_owned(), weight: 1 }],
            is_public: false,
            allowed_regions: Vec::new(),
        };
        let service = DeclaredService {
            name: "reads".to_owned(),
            health_path: "/health".to_owned(),
            max_connections: 100,
            warm_up_per_second: object.spec["warm_up_rate"].as_f64(),
        };
        Ok(DeclaredConfig {
            generation: GenerationNumber(generation),
            routes: vec![route],
            services: vec![service],
            tenants: None,
        })
    }

    fn upstream(&self, object: &ObjectEnvelope) -> Result<RegisteredUpstream, DecodeError> {
        let service = object.spec["service"].as_str().ok_or_else(|| missing("service"))?;
        Ok(RegisteredUpstream {
            instance: object.name.clone(),
            service: service.to_owned(),
            address: SocketAddr::from(([127, 0, 0, 1], 1)),
            failure_domain: "fd-a".to_owned(),
            slots: 4,
            is_draining: object.spec["draining"].as_bool().unwrap_or_default(),
            warm_up: Duration::from_millis(object.spec["warm_up_ms"].as_u64().unwrap_or_default()),
            order: StatementOrder {
                started_ms: object.spec["started"].as_u64(),
                sequence: object.spec["sequence"].as_u64(),
            },
        })
    }

    fn directory_query(&self, _query: &str) -> DirectoryQuery {
        DirectoryQuery::default()
    }

    fn directory_response(&self, addresses: &[SocketAddr], _lifetime: Duration) -> Bytes {
        Bytes::from(json!(addresses).to_string())
    }
}

fn missing(field: &'static str) -> DecodeError {
    DecodeError { field, reason: "missing".to_owned() }
}

/// State of one entry and the follower that updates it from the store.
pub(crate) struct TestEntry {
    pub(crate) state: Arc<FleetState<TestCodec>>,
    pub(crate) follower: StoreFollower<StandinPlatform, TestCodec>,
}

impl TestEntry {
    pub(crate) fn new(vm: &str, store: &StandinPlatform) -> Self {
        Self::at(vm, [127, 0, 0, 1], store)
    }

    /// An entry that tracks evacuations.
    pub(crate) fn with_evacuations(vm: &str, store: &StandinPlatform) -> Self {
        let view = DeploymentView::new(TestCodec).with_evacuations();
        Self::with_view(view, vm, [127, 0, 0, 1], store)
    }

    /// An entry on the host with this IP address.
    pub(crate) fn at(vm: &str, host: [u8; 4], store: &StandinPlatform) -> Self {
        Self::with_view(DeploymentView::new(TestCodec), vm, host, store)
    }

    fn with_view(
        view: DeploymentView<TestCodec>,
        vm: &str,
        host: [u8; 4],
        store: &StandinPlatform,
    ) -> Self {
        let own = EntryRecord {
            vm: VmId::new(vm),
            failure_domain: FailureDomain::new("fd-a"),
            caller_address: SocketAddr::from((host, 2)),
            peer_address: SocketAddr::from((host, 3)),
            state: EntryState::Starting,
            has_path: true,
        };
        let state = Arc::new(FleetState::new(
            view,
            PeerTable::new(own),
            SharedSnapshot::default(),
            SharedMembership::default(),
            Arc::new(ConfigFreshness::new(ChangeBounds::default().max_confirmed_age())),
            Arc::new(LimitTable::new(RouteLimitSettings::default())),
        ));
        let follower = StoreFollower::new(Arc::new(store.clone()), Arc::clone(&state));
        Self { state, follower }
    }

    /// Runs the store follower for `time` of the paused clock.
    pub(crate) async fn run_for(&mut self, time: Duration) {
        let steps = async {
            loop {
                if self.follower.step().await.is_err() {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                }
            }
        };
        let _ = tokio::time::timeout(time, steps).await;
    }

    pub(crate) fn generation(&self) -> Option<u64> {
        self.state.snapshot.load().as_ref().map(|snapshot| snapshot.generation.0)
    }

    /// Number of registered entries, this one included.
    pub(crate) fn known_entries(&self) -> u32 {
        self.state.known_entries()
    }

    /// Sorted names of the upstreams that are not draining.
    pub(crate) fn upstreams(&self) -> Vec<String> {
        let snapshot = self.state.snapshot.load_full();
        let mut names = Vec::new();
        for upstream in snapshot.iter().flat_map(|snapshot| snapshot.upstreams.values()) {
            if !upstream.is_draining() {
                names.push(upstream.name.clone());
            }
        }
        names.sort();
        names
    }
}

pub(crate) async fn put(
    store: &StandinPlatform,
    kind: &str,
    name: &str,
    spec: serde_json::Value,
) -> ObjectEnvelope {
    let draft = ObjectDraft {
        kind: kind.to_owned(),
        name: name.to_owned(),
        spec,
        ..ObjectDraft::default()
    };
    let condition = match store.get(kind, name).await {
        Ok(present) => Precondition::SpecVersion(present.spec_version),
        Err(_) => Precondition::Absent,
    };
    store.put(draft, condition).await.expect("written")
}

pub(crate) async fn put_config(store: &StandinPlatform, generation: u64) {
    put(store, CONFIG_KIND, CONFIG_NAME, json!({ "generation": generation })).await;
}

pub(crate) async fn put_upstream(store: &StandinPlatform, name: &str) {
    put(store, UPSTREAM_KIND, name, json!({ "service": "reads" })).await;
}

pub(crate) async fn delete_upstream(store: &StandinPlatform, name: &str) {
    let present = store.get(UPSTREAM_KIND, name).await.expect("present");
    store.delete(UPSTREAM_KIND, name, present.spec_version).await.expect("deleted");
}
