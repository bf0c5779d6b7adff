//! What the commands do, without their arguments.

pub mod dev;
pub mod experiment;
pub mod ledger_bench;
pub mod load;
pub mod log_output;
pub mod node;
pub mod node_settings;
pub mod node_status;
pub mod objects;
pub mod slopes;
pub mod smoke;

mod global_context;

pub use self::global_context::GlobalContext;
