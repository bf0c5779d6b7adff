//! Implementation of the programs: the node behind the daemon and the operators' commands, without
//! their argument parsing.

pub mod control_metrics;
pub mod dev;
pub mod experiment;
pub mod explain;
pub mod ledger_bench;
pub mod load;
pub mod log_output;
pub mod node;
pub mod node_settings;
pub mod node_status;
pub mod objects;
pub mod path_bench;
pub mod request_timeline;
pub mod rollout;
pub mod route_bench;
pub mod scaling_bench;
pub mod smoke;

mod global_context;
mod object_error;

pub use self::global_context::GlobalContext;
pub use self::object_error::ObjectError;
