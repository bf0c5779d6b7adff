//! What an entry knows about the other entries that concerns quotas, and the messages about permits.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::time::Instant;

use crate::core::VmId;

/// Request of an entry for a permit to run one request of a tenant.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitRequest {
    /// Number that the answer repeats, unique within the process that asks.
    pub id: u64,
    /// Name of the tenant.
    pub tenant: String,
}

/// Answer of an entry that was asked for a permit.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PermitAnswer {
    /// Number of the request.
    pub id: u64,
    /// Whether the permit is granted.
    pub is_granted: bool,
    /// With a permit, whether few are left, so that entries use their parts of the reserve too.
    #[serde(default, skip_serializing_if = "std::ops::Not::not")]
    pub is_scarce: bool,
    /// After a denial, the time in milliseconds after which the entry may ask again; missing if the
    /// entry that was asked is no grantor.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wait_ms: Option<u64>,
}

/// An entry that may grant permits.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PermitGrantor {
    /// Name.
    pub vm: VmId,
    /// Address for messages of other entries.
    pub address: SocketAddr,
}

/// The entries as far as they concern quotas.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PermitPeers {
    /// This entry.
    pub own: VmId,
    /// Grantors of the local failure domain in the order of their names, this entry included if it
    /// is one.
    pub local: Vec<PermitGrantor>,
    /// Registered entries of each other failure domain in the order of their names. The first of
    /// them that answer are grantors.
    pub remote: Vec<Vec<PermitGrantor>>,
    /// Registered entries of the local failure domain, this one included, in the order of their
    /// names.
    pub members: Vec<VmId>,
    /// Failure domains of the deployment, at least 1.
    pub domains: usize,
    /// Whether this entry may grant: it is registered, and hears from enough of its failure domain to
    /// know that no other entries grant in its place.
    pub may_grant: bool,
    /// Whether this entry is registered, so that the others count it among those that share the
    /// reserve.
    pub is_registered: bool,
    /// Whether entries in whose place the grantors would be do not know quotas. They run requests
    /// without limit, so a limit here would only refuse requests.
    pub has_older_peers: bool,
    /// When this process started.
    pub started_at: Instant,
    /// Whether all entries of the local failure domain that are heard from started with this one.
    pub is_domain_start: bool,
    /// Time without an update after which this entry is no longer a grantor: the others may have
    /// replaced it.
    pub role_lifetime: Duration,
}
