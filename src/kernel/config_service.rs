//! The service that compiles and publishes configuration generations.

use std::sync::Arc;

use tokio_util::sync::CancellationToken;

use crate::config::ConfigCompiler;
use crate::kernel::service_kernel::ServiceName;
use crate::kernel::task_service::ServiceTask;
use crate::membership::ControlNode;
use crate::platform::PlatformStore;

/// Runs a [`ConfigCompiler`].
#[derive(Debug)]
pub struct ConfigService<S> {
    /// The platform's object store.
    pub store: Arc<S>,
    /// This node in the exchange between entries.
    pub node: Arc<ControlNode>,
}

impl<S: PlatformStore> ServiceTask for ConfigService<S> {
    const NAME: ServiceName = ServiceName::Config;

    async fn run(self, stop: CancellationToken) {
        ConfigCompiler::new(self.node, self.store).run(stop).await;
    }
}
