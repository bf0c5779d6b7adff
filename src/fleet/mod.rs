//! Entries of a platform whose store holds the configuration and the registrations of all
//! upstreams.
//!
//! On such a platform the configuration is one versioned object and upstreams register themselves,
//! so entries neither compile and publish a generation nor elect a publisher. What remains is to
//! apply every change in time with few store calls, whichever entry or connection fails:
//!
//! ```text
//! store --watch--> leader of a failure domain --datagrams--> the other entries of the domain
//!   ^                                                             |
//!   +------- own watch, when the last confirmation is too old ----+
//!
//! DeploymentView -> declared objects -> config::compile -> ConfigSnapshot -> data plane
//! ```
//!
//! The leader of a failure domain is its live entry with the lowest name. There is no election: two
//! entries may both act as leader for a short time, which only costs extra calls.
//!
//! - [`codec`]: decodes the platform's objects into the types of this crate.
//! - [`objects`]: turns a declared configuration into the labelled objects that are compiled.
//! - [`view`]: the last known configuration and upstreams, with revisions.
//! - [`entry_settings`], [`live_settings`]: settings, and those that can be reloaded.
//! - [`fleet_metrics`]: metrics of the view, its age and the store calls.
//! - [`evacuation`]: failure domains that operators have evacuated.
//! - [`read_schedule`]: when an entry reads the store.
//! - [`store_follower`]: follows the store; `enrolment` makes an entry known to the others, by the
//!   [`roster`] of its failure domain.
//! - `other_writes`: what a watch tells about objects of other kinds.
//! - [`config_parts`]: sends a configuration that is too large for one datagram.
//! - [`peer_message`], [`peer_table`], [`peer_service`]: messages between entries, and liveness.
//! - `permit_exchange`: asks other entries for permits of tenants' quotas, and answers them.
//! - [`state`]: state that the services of an entry share.
//! - [`limit_shares`]: divides the rate limits of upstreams; `rate_limits` shares news of them.
//! - [`warm_up_shares`]: divides the rate that cold upstreams bear; `warm_ups` shares news of them.
//! - [`crash_update`]: which requests crash upstreams, shared by `crash_exchange`.
//! - [`load_probe`]: probes the load of the local upstreams; [`load_update`]: sends it to other
//!   failure domains.
//! - [`path_check`]: checks whether this entry has a path to the upstreams.
//! - [`directory`], [`control_api`]: HTTP API for callers, the platform and operators.
//! - [`entry_node`]: wires one entry.

pub mod codec;
pub mod config_parts;
pub mod control_api;
mod crash_exchange;
pub mod crash_update;
pub mod directory;
mod enrolment;
pub mod entry_node;
pub mod entry_settings;
pub mod evacuation;
pub mod fleet_metrics;
pub mod limit_shares;
pub mod live_settings;
pub mod load_probe;
pub mod load_update;
pub mod objects;
mod other_writes;
pub mod path_check;
pub mod peer_message;
pub mod peer_service;
pub mod peer_table;
mod permit_exchange;
mod rate_limits;
pub mod read_schedule;
pub mod roster;
pub mod run_check;
pub mod state;
pub mod store_follower;
mod transit_delay;
pub mod view;
mod view_change;
mod view_gap;
pub mod warm_up_shares;
mod warm_ups;

pub use self::enrolment::spec_shape;
