//! Stand-ins (test doubles) for the systems around heatherfall: the platform's object API and the
//! upstreams.
//!
//! They are used by `heatherfall dev` and the tests. They speak the published protocols over real
//! sockets, count calls, and inject the faults that the real systems show. They contain no load
//! balancing logic.

#![allow(clippy::disallowed_methods, reason = "stand-ins read what tests have sent")]

pub mod platform;
pub mod upstream;

mod server;

pub use crate::server::ServerHandle;
