//! Runs the compiler of configuration generations.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::config::ConfigCompiler;
use crate::kernel::service_kernel::ServiceName;
use crate::kernel::task_service::ServiceTask;
use crate::membership::ControlNode;
use crate::platform::PlatformStore;

/// What the service needs.
#[derive(Debug)]
pub struct ConfigTask<S> {
    /// The platform.
    pub store: Arc<S>,
    /// The node.
    pub node: Arc<ControlNode>,
}

impl<S: PlatformStore> ServiceTask for ConfigTask<S> {
    const NAME: ServiceName = ServiceName::Config;

    async fn run(self, stop: CancellationToken) {
        ConfigCompiler::new(self.node, self.store).run(stop).await;
    }
}
