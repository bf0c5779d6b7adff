//! Carries drain marks between the upstreams' counters, which the request plane reads, and the
//! exchange between entries.

use std::sync::Arc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use crate::core::{ConfigSnapshot, DrainObservation, SharedSnapshot};
use crate::kernel::service_kernel::ServiceName;
use crate::kernel::worker_service::ServiceWork;
use crate::membership::ControlNode;

/// Time between two rounds.
const DRAIN_INTERVAL: Duration = Duration::from_millis(250);

/// What the service needs.
#[derive(Debug)]
pub struct DrainWork {
    /// The configuration, with the upstreams' counters.
    pub snapshot: SharedSnapshot,
    /// This node's part in the exchange between entries.
    pub node: Arc<ControlNode>,
}

impl ServiceWork for DrainWork {
    const NAME: ServiceName = ServiceName::Drain;

    async fn run(self, stop: CancellationToken) {
        while stop.run_until_cancelled(tokio::time::sleep(DRAIN_INTERVAL)).await.is_some() {
            let Some(snapshot) = self.snapshot.load_full() else { continue };
            exchange_marks(&snapshot, &self.node);
        }
    }
}

/// Tells the exchange what this node saw of the upstreams' marks, and the upstreams' counters what
/// the other entries say.
pub fn exchange_marks(snapshot: &ConfigSnapshot, node: &ControlNode) {
    for upstream in snapshot.upstreams.values() {
        match upstream.drain_observation() {
            DrainObservation::NeverSeen => {}
            DrainObservation::Cleared => node.report_drain(&upstream.name, false),
            DrainObservation::Set => node.report_drain(&upstream.name, true),
        }
        upstream.apply_drain_hint(node.drains().is_draining(&upstream.name));
    }
}
