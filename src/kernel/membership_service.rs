//! The service that runs the node's membership driver.

use tokio_util::sync::CancellationToken;

use crate::kernel::service_kernel::ServiceName;
use crate::kernel::task_service::ServiceTask;
use crate::membership::{MembershipDriver, MembershipDriverArgs};
use crate::peer::PeerTransport;
use crate::platform::PlatformStore;

impl<S: PlatformStore, T: PeerTransport> ServiceTask for MembershipDriverArgs<S, T> {
    const NAME: ServiceName = ServiceName::Membership;

    async fn run(self, stop: CancellationToken) {
        MembershipDriver::new(self).run(stop).await;
    }
}
