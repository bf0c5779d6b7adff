//! A peer entry, as the request path addresses it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::core::label::LabelSet;
use crate::core::object::UpstreamSpec;
use crate::core::upstream::UpstreamState;

/// Address of a peer entry that takes forwarded requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EntryPeer {
    /// Name of its VM.
    pub name: String,
    /// Address on which it takes forwarded requests.
    pub address: SocketAddr,
    /// Failure domain of its VM.
    pub failure_domain: String,
}

impl EntryPeer {
    /// State of the peer as a destination of requests. Its connections and slots have no limit.
    pub fn into_state(self) -> UpstreamState {
        let spec = UpstreamSpec {
            address: self.address,
            failure_domain: self.failure_domain,
            slots: u32::MAX,
            max_connections: u32::MAX,
            draining: false,
            health_path: None,
            warm_up_per_second: None,
            warm_up: Duration::ZERO,
            started_ms: None,
        };
        UpstreamState::new(&self.name, spec, LabelSet::default())
    }
}
