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

pub use self::config_service::{ConfigService, ConfigServiceArgs};
pub use self::drain_service::{DrainService, DrainServiceArgs, exchange_marks};
pub use self::membership_service::MembershipService;
pub use self::probe_service::{ProbeMetrics, ProbeService, ProbeServiceArgs};
pub use self::service_kernel::{ServiceKernel, ServiceName};
