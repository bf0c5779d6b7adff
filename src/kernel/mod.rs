//! The micro-kernel of the control plane.
//!
//! A service is an actor registered under a name. Services find each other by name and talk by
//! messages; the kernel starts them, and stops them in reverse order. The request plane has no
//! mailbox on its way: services publish snapshots that it reads.

mod config_task;
mod drain_task;
mod membership_task;
mod probe_task;
mod service_kernel;
mod task_service;

pub use self::config_task::ConfigTask;
pub use self::drain_task::{DrainTask, sync_drain_hints};
pub use self::probe_task::{ProbeMetrics, ProbeTask};
pub use self::service_kernel::{ServiceKernel, ServiceName};
pub use self::task_service::{IsRunning, ServiceTask, TaskService};
