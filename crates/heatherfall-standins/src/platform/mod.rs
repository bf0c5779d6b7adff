//! Platform stand-in: an in-memory object store with versions, watches, a VM list and injectable
//! faults, used in process or served over HTTP.

mod faults;
mod http_api;
mod state;
mod store;

pub use self::faults::{CallCounts, FaultSettings};
pub use self::http_api::serve;
pub use self::store::{StandinPlatform, StoreCopy};
