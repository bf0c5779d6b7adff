//! Calls between entry nodes, over `tonic`.

/// Generated from `proto/` by `heatherfall-codegen`.
#[allow(
    clippy::all,
    clippy::unwrap_used,
    missing_docs,
    reason = "generated code follows its generator's style"
)]
pub mod generated {
    /// Heartbeats, configuration and hints.
    pub mod peer {
        include!("generated/heatherfall.peer.rs");
    }
    /// At-most-once claims.
    pub mod ledger {
        include!("generated/heatherfall.ledger.rs");
    }
}
