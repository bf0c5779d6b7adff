//! The service that passes drain signals between the upstreams' statistics, which the request path
//! reads, and the exchange between entries.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::core::{ConfigSnapshot, DrainObservation, SharedSnapshot};
use crate::kernel::service_kernel::ServiceName;
use crate::kernel::task_service::ServiceTask;
use crate::membership::ControlNode;

/// Interval at which drain signals are synchronised.
const DRAIN_INTERVAL: Duration = Duration::from_millis(250);

/// Runs [`sync_drain_hints`] periodically.
#[derive(Debug)]
pub struct DrainService {
    /// The configuration, with the statistics of the upstreams.
    pub snapshot: SharedSnapshot,
    /// This node in the exchange between entries.
    pub node: Arc<ControlNode>,
}

impl ServiceTask for DrainService {
    const NAME: ServiceName = ServiceName::Drain;

    async fn run(self, stop: CancellationToken) {
        while stop.run_until_cancelled(tokio::time::sleep(DRAIN_INTERVAL)).await.is_some() {
            let Some(snapshot) = self.snapshot.load_full() else { continue };
            sync_drain_hints(&snapshot, &self.node);
        }
    }
}

/// Reports the drain signals that this node received to the other entries, and sets the hints of
/// the other entries on the upstreams.
pub fn sync_drain_hints(snapshot: &ConfigSnapshot, node: &ControlNode) {
    for upstream in snapshot.upstreams.values() {
        match upstream.drain_observation() {
            DrainObservation::NeverSeen => {}
            DrainObservation::Cleared => node.report_drain(&upstream.name, false),
            DrainObservation::Set => node.report_drain(&upstream.name, true),
        }
        upstream.apply_drain_hint(node.drain_hints().is_draining(&upstream.name));
    }
}
