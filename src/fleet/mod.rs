//! Entries on a platform whose store holds the whole configuration and every upstream.
//!
//! Such a platform keeps the configuration as one ordered object and registers the upstreams
//! itself, so nothing has to be compiled, published or elected. What is left is to see every change
//! in time, at few calls, whichever entry or connection fails:
//!
//! ```text
//! store --watch--> reader of a failure domain --datagrams--> the other entries of the domain
//!   ^                                                             |
//!   +------------- own read, when the last confirmation is old ---+
//!
//! DeploymentView -> declared objects -> config::compile -> ConfigSnapshot -> request plane
//! ```
//!
//! - [`codec`]: what the platform's objects say, in the terms of this crate.
//! - [`objects`]: a declared configuration as the labelled objects that are compiled.
//! - [`view`]: the last known configuration and upstreams, and how old they are.
//! - [`entry_settings`], [`live_settings`]: settings, and those that change while an entry runs.
//! - [`fleet_metrics`]: beliefs, their age and calls of the store as metrics.
//! - [`read_schedule`]: when the store is read.
//! - [`store_follower`]: reads the store; `enrolment` makes an entry known in it.
//! - [`peer_message`], [`peer_table`], [`peer_service`]: what entries tell each other.
//! - [`state`]: what the services of an entry share.
//! - [`load_probe`]: fresh load of the domain's upstreams; [`load_update`]: news of it for the others.
//! - [`directory`], [`control_api`]: what callers and the platform ask.
//! - [`entry_node`]: wires one entry.

pub mod codec;
pub mod control_api;
pub mod directory;
mod enrolment;
pub mod entry_node;
pub mod entry_settings;
pub mod fleet_metrics;
pub mod live_settings;
pub mod load_probe;
pub mod load_update;
pub mod objects;
pub mod peer_message;
pub mod peer_service;
pub mod peer_table;
pub mod read_schedule;
pub mod state;
pub mod store_follower;
pub mod view;
mod view_change;
