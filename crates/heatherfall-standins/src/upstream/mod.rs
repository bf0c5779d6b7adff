//! Stand-in for an upstream: an HTTP server with slots, a queue and the faults of real servers.

mod behaviour;
mod body;
mod serve;

pub use self::behaviour::UpstreamBehaviour;
pub use self::serve::{StandinUpstream, serve};
