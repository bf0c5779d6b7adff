//! Upstream stand-in: an HTTP server with a concurrency limit, a queue and injectable faults.

mod behaviour;
mod body;
mod serve;

pub use self::behaviour::UpstreamBehaviour;
pub use self::serve::{StandinUpstream, serve};
