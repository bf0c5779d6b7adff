//! The micro-kernel that runs the services of the control plane.
//!
//! A service is an actor registered under a name. Services find each other by name and communicate
//! by messages; the kernel starts them and stops them in reverse order. No message is on the path
//! of a request: services publish snapshots, and the request path reads them.

mod config_service;
mod drain_service;
mod membership_service;
mod probe_service;
mod service_kernel;
mod task_service;

pub use self::config_service::ConfigService;
pub use self::drain_service::{DrainService, sync_drain_hints};
pub use self::probe_service::{ProbeMetrics, ProbeService};
pub use self::service_kernel::{ServiceKernel, ServiceName};
pub use self::task_service::{IsRunning, ServiceTask, TaskService};
