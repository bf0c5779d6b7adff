//! heatherfall: a load balancer for servers whose load shifts in milliseconds.
//!
//! The daemon is the same on every entry VM. Its request plane reads immutable snapshots; its
//! control plane is a micro-kernel of named services that publish them. Modules in the order in
//! which data meets them:
//!
//! - [`platform`]: the object API that holds configuration and whatever must last.
//! - [`config`]: objects into a [`core::ConfigSnapshot`].
//! - [`membership`]: which entry VMs there are, and which of them callers use.
//! - [`fleet`]: entries on a platform whose store holds the whole configuration.
//! - [`peer`]: calls between entry nodes.
//! - [`serve`]: sockets of callers, upstreams and operators.
//! - [`request`]: classify a request, attempt it, answer it.
//! - [`limits`]: bound retries, hedges and what is in flight.
//! - [`ledger`]: who may dispatch a keyed at-most-once request.
//! - [`balance`]: choose the upstream of an attempt.
//! - [`kernel`]: start, name and stop the services of the control plane.
//! - [`core`] and [`util`]: the types and helpers that all of these share.
//! - [`ops`]: what the programs' commands do.

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
