//! What a platform's objects and calls say, in the terms of this crate.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;

use crate::core::GenerationNumber;
use crate::platform::ObjectEnvelope;

/// A route as the platform's configuration declares it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeclaredRoute {
    /// Name.
    pub name: String,
    /// Host of its requests.
    pub host: String,
    /// Prefix of their paths; ends with a slash. The longest prefix of a host wins.
    pub path_prefix: String,
    /// Whether its requests may run more than once.
    pub is_idempotent: bool,
    /// Longest time that a caller is kept waiting.
    pub timeout: Duration,
    /// Response-time goal.
    pub goal: Duration,
    /// Order of shedding: higher ranks first.
    pub rank: u32,
    /// Upstreams that one request may be sent to, at most.
    pub max_attempts: u32,
    /// Services that its requests are split among.
    pub backends: Vec<DeclaredBackend>,
}

/// A service that a route sends requests to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeclaredBackend {
    /// Name of the service.
    pub service: String,
    /// Weight among the backends of the route.
    pub weight: u32,
}

/// A service as the platform's configuration declares it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeclaredService {
    /// Name.
    pub name: String,
    /// Path of the load report of its upstreams.
    pub health_path: String,
    /// Connections that each of its upstreams accepts from all entries together.
    pub max_connections: u32,
}

/// A whole configuration.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DeclaredConfig {
    /// Its number; a higher one is newer.
    pub generation: GenerationNumber,
    /// Routes.
    pub routes: Vec<DeclaredRoute>,
    /// Services.
    pub services: Vec<DeclaredService>,
}

/// An upstream as the platform registers it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct RegisteredUpstream {
    /// Identity, new with most starts.
    pub instance: String,
    /// Service.
    pub service: String,
    /// Address.
    pub address: SocketAddr,
    /// Failure domain.
    pub failure_domain: String,
    /// Requests that it works on at the same time.
    pub slots: u32,
    /// Whether it is leaving.
    pub is_draining: bool,
    /// Time for which it is still slow after its start.
    pub warm_up: Duration,
}

/// An object that does not say what its kind should.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("{field}: {reason}")]
pub struct DecodeError {
    /// Field in question.
    pub field: &'static str,
    /// What is wrong with it.
    pub reason: String,
}

/// Where a caller is that asks for addresses.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DirectoryQuery {
    /// Its failure domain; empty if it does not say.
    pub failure_domain: String,
}

/// Names of the platform's objects and paths of its calls.
#[derive(Clone, Copy, Debug)]
pub struct PlatformNames {
    /// Kind of the configuration.
    pub config_kind: &'static str,
    /// Name of the configuration.
    pub config_name: &'static str,
    /// Kind of the registered upstreams.
    pub upstream_kind: &'static str,
    /// Path under which the platform asks whether an entry is ready.
    pub ready_path: &'static str,
    /// Path under which callers ask for addresses.
    pub directory_path: &'static str,
}

/// Translates between a platform and this crate.
pub trait DeploymentCodec: Clone + Send + Sync + 'static {
    /// Names of the platform.
    fn names(&self) -> PlatformNames;

    /// Reads the configuration.
    ///
    /// # Errors
    ///
    /// Returns the first fault; the configuration is then not used.
    fn config(&self, object: &ObjectEnvelope) -> Result<DeclaredConfig, DecodeError>;

    /// Reads the entry of an upstream.
    ///
    /// # Errors
    ///
    /// Returns the first fault; the entry then names no upstream.
    fn upstream(&self, object: &ObjectEnvelope) -> Result<RegisteredUpstream, DecodeError>;

    /// Reads the query of a caller that asks for addresses.
    fn directory_query(&self, query: &str) -> DirectoryQuery;

    /// Writes the answer: addresses, and how long the caller may keep them.
    fn directory_answer(&self, addresses: &[SocketAddr], lifetime: Duration) -> Bytes;
}
