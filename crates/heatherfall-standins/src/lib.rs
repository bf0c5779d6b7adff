//! Small stand-ins for what surrounds heatherfall: the platform's object API and the upstreams.
//!
//! `heatherfall dev` and the tests use them. They speak the published protocols over real
//! sockets, count what they are asked, and can be told to fail in the ways that the real systems
//! fail. They balance nothing and decide nothing.

pub mod platform;
pub mod upstream;

mod server;

pub use crate::server::ServerHandle;
