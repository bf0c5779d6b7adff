//! heatherfall: a load balancer for upstreams whose load shifts within milliseconds.
//!
//! Every entry VM runs the same daemon. Its data plane serves requests from immutable snapshots;
//! its control plane is a microkernel of named services that publish the snapshots. The modules,
//! in the order in which configuration and then requests pass through them:
//!
//! - [`platform`]: client of the object API, which stores configuration and other durable state.
//! - [`config`]: compiles objects into a [`core::ConfigSnapshot`].
//! - [`membership`]: heartbeats between entry VMs, and the addresses that callers use.
//! - [`fleet`]: entry nodes that follow a store with the complete configuration.
//! - [`peer`]: authenticated calls between entry nodes.
//! - [`serve`]: connections of callers, to upstreams and of operators.
//! - [`request`]: classifies a request, runs its attempts and builds the response.
//! - [`limits`]: limits on retries, hedges and requests in flight.
//! - [`ledger`]: claims, which decide who may dispatch a keyed at-most-once request.
//! - [`balance`]: chooses the upstream of an attempt.
//! - [`kernel`]: starts, registers by name and stops the control-plane services.
//! - [`core`] and [`util`]: types and helpers shared by all modules.
//! - [`ops`]: implementation of the programs' commands.

pub mod balance;
pub mod config;
pub mod core;
pub mod fleet;
pub mod kernel;
pub mod ledger;
pub mod limits;
pub mod membership;
pub mod ops;
pub mod peer;
pub mod platform;
pub mod request;
pub mod serve;
pub mod util;
