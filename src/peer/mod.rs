//! Calls between entry nodes, over `tonic`.
//!
//! [`PeerServer`] serves the services of a node to its peers and [`PeerTransport`] calls those of
//! others; [`PeerAuth`] signs and verifies every call.

mod auth;
mod exchange_service;
mod ledger_service;
mod server;
mod transport;

pub use self::auth::{AuthError, KeyError, PeerAuth, PeerKeys};
pub use self::exchange_service::ExchangeService;
pub use self::ledger_service::{LedgerService, TonicLedgerTransport};
pub use self::server::PeerServer;
pub use self::transport::{
    MAX_MESSAGE_BYTES, PeerChannels, PeerError, PeerTransport, TonicTransport,
};

/// Generated from `proto/` by `heatherfall-codegen`.
#[allow(
    clippy::all,
    clippy::unwrap_used,
    missing_docs,
    reason = "generated code follows its generator's style"
)]
pub mod generated {
    /// Heartbeats, configuration generations and drain hints.
    pub mod peer {
        include!("generated/heatherfall.peer.rs");
    }
    /// Claims of the at-most-once ledger.
    pub mod ledger {
        include!("generated/heatherfall.ledger.rs");
    }
}
