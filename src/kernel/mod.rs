//! The micro-kernel of the control plane.
//!
//! A service is an actor registered under a name. Services find each other by name and talk by
//! messages; the kernel starts them, and stops them in reverse order. The request plane has no
//! mailbox on its way: services publish snapshots that it reads.

mod config_service;
mod drain_service;
mod membership_service;
mod probe_service;
mod service_kernel;
mod worker_service;

pub use self::config_service::ConfigWork;
pub use self::drain_service::{DrainWork, exchange_marks};
pub use self::probe_service::{ProbeMetrics, ProbeWork};
pub use self::service_kernel::{ServiceKernel, ServiceName};
pub use self::worker_service::{IsWorking, ServiceWork, WorkerService};
