//! Interface to a platform's data formats: the types that its objects and calls are decoded into.

use std::cmp::Ordering;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::core::{GenerationNumber, IdempotenceMode, KeyDigest, TenantQuota};
use crate::platform::ObjectEnvelope;

/// A route as the platform's configuration declares it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeclaredRoute {
    /// Unique name.
    pub name: String,
    /// Host that a request must have.
    pub host: String,
    /// Path prefix that a request must have; ends with a slash. The longest matching prefix of a
    /// host wins.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub mode: IdempotenceMode,
    /// Longest time that a caller waits for the response.
    pub timeout: Duration,
    /// Response time goal.
    pub goal: Duration,
    /// Order of load shedding: requests of higher ranks are shed first.
    pub rank: u32,
    /// Maximum number of upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Services among which its requests are split by weight.
    pub backends: Vec<DeclaredBackend>,
    /// Whether its requests need no API key.
    pub is_public: bool,
    /// Regions whose upstreams may run its requests; empty for all.
    pub allowed_regions: Vec<String>,
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeclaredBackend {
    /// Name of the service.
    pub service: String,
    /// Relative weight among the backends of the route.
    pub weight: u32,
}

/// A service as the platform's configuration declares it.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredService {
    /// Unique name.
    pub name: String,
    /// Path at which its upstreams report their load.
    pub health_path: String,
    /// Maximum number of connections that each of its upstreams accepts from all entries together.
    pub max_connections: u32,
    /// Requests per second that an upstream which is warming up bears from all entries together;
    /// `None` for no limit.
    pub warm_up_per_second: Option<f64>,
}

/// A tenant as the platform's configuration declares it.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredTenant {
    /// Unique name.
    pub name: String,
    /// Digests of its API keys; none if all keys have been withdrawn.
    pub keys: Vec<KeyDigest>,
    /// Shedding rank of its requests, which replaces that of the route.
    pub rank: Option<u32>,
    /// `None` if the tenant is not limited.
    pub quota: Option<TenantQuota>,
    /// Regions whose upstreams may run its requests; empty for all.
    pub allowed_regions: Vec<String>,
}

/// The configuration object of the platform.
#[derive(Clone, Debug, PartialEq)]
pub struct DeclaredConfig {
    /// Generation; a higher one is newer.
    pub generation: GenerationNumber,
    /// All routes.
    pub routes: Vec<DeclaredRoute>,
    /// All services.
    pub services: Vec<DeclaredService>,
    /// Tenants; `None` if requests carry no API key.
    pub tenants: Option<Vec<DeclaredTenant>>,
}

/// Order of the statements that an upstream makes about itself. It does not depend on the store, so it
/// also holds when the store has lost some of them.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StatementOrder {
    /// Start of the upstream's process in milliseconds since the Unix epoch, if stated.
    pub started_ms: Option<u64>,
    /// Number of the statement within that lifetime, if stated.
    pub sequence: Option<u64>,
}

impl StatementOrder {
    /// Compares two statements of one upstream; `None` if they don't tell which is newer.
    pub fn compare(&self, other: &Self) -> Option<Ordering> {
        match (self.started_ms, other.started_ms) {
            (Some(own), Some(other)) if own != other => return Some(own.cmp(&other)),
            _ => {}
        }
        Some(self.sequence?.cmp(&other.sequence?))
    }
}

/// An upstream as the platform registers it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RegisteredUpstream {
    /// Instance name; usually new with each start.
    pub instance: String,
    /// Name of its service.
    pub service: String,
    /// Address that serves requests.
    pub address: SocketAddr,
    /// Failure domain of its VM.
    pub failure_domain: String,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is about to stop and must get no new requests.
    pub is_draining: bool,
    /// Remaining time for which it is slow after its start.
    pub warm_up: Duration,
    /// Order of this statement among those of the same upstream.
    pub order: StatementOrder,
}

/// An object that cannot be decoded as its kind.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct DecodeError {
    /// Field that is missing or invalid.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

/// Query of a caller for entry addresses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DirectoryQuery {
    /// Failure domain of the caller; empty if the query has none.
    pub failure_domain: String,
}

/// Object kinds and names in the platform's store, and paths of calls to entries.
#[derive(Clone, Copy, Debug)]
pub struct PlatformNames {
    /// Kind of the configuration object.
    pub config_kind: &'static str,
    /// Name of the configuration object.
    pub config_name: &'static str,
    /// Kind of the upstreams' registrations.
    pub upstream_kind: &'static str,
    /// Kind of the objects by which operators evacuate failure domains, one named after each.
    pub evacuation_kind: &'static str,
    /// Path of the platform's readiness check.
    pub ready_path: &'static str,
    /// Path at which callers query entry addresses.
    pub directory_path: &'static str,
}

/// Converts between a platform's formats and the types of this crate.
pub trait DeploymentCodec: Clone + Send + Sync + 'static {
    /// Object kinds and paths of the platform.
    fn names(&self) -> PlatformNames;

    /// Decodes the configuration object.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field; the object is then ignored.
    fn config(&self, object: &ObjectEnvelope) -> Result<DeclaredConfig, DecodeError>;

    /// Decodes the registration of an upstream.
    ///
    /// # Errors
    ///
    /// Returns the first invalid field; the registration is then ignored.
    fn upstream(&self, object: &ObjectEnvelope) -> Result<RegisteredUpstream, DecodeError>;

    /// Decodes the query string of a caller that asks for addresses.
    fn directory_query(&self, query: &str) -> DirectoryQuery;

    /// Encodes the response body: entry addresses, and how long the caller may cache them.
    fn directory_response(&self, addresses: &[SocketAddr], lifetime: Duration) -> Bytes;
}
