//! Carries drain marks between the upstreams' counters, which the request plane reads, and the
//! exchange between entries.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::core::{ConfigSnapshot, DrainObservation, SharedSnapshot};
use crate::kernel::service_kernel::ServiceName;
use crate::kernel::task_service::ServiceTask;
use crate::membership::ControlNode;

/// Time between two rounds.
const DRAIN_INTERVAL: Duration = Duration::from_millis(250);

/// What the service needs.
#[derive(Debug)]
pub struct DrainTask {
    /// The configuration, with the upstreams' counters.
    pub snapshot: SharedSnapshot,
    /// This node's part in the exchange between entries.
    pub node: Arc<ControlNode>,
}

impl ServiceTask for DrainTask {
    const NAME: ServiceName = ServiceName::Drain;

    async fn run(self, stop: CancellationToken) {
        while stop.run_until_cancelled(tokio::time::sleep(DRAIN_INTERVAL)).await.is_some() {
            let Some(snapshot) = self.snapshot.load_full() else { continue };
            sync_drain_hints(&snapshot, &self.node);
        }
    }
}

/// Tells the exchange what this node saw of the upstreams' marks, and the upstreams' counters what
/// the other entries say.
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
