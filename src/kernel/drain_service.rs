//! Carries drain marks between the upstreams' counters, which the request plane reads, and the
//! exchange between entries.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::error::ActorStopReason;
use tokio_util::sync::CancellationToken;

use crate::core::{ConfigSnapshot, DrainSight, SharedSnapshot};
use crate::membership::ControlNode;

/// Time between two rounds.
const DRAIN_INTERVAL: Duration = Duration::from_millis(250);

/// What the service needs.
#[derive(Debug)]
pub struct DrainServiceArgs {
    /// The configuration, with the upstreams' counters.
    pub snapshot: SharedSnapshot,
    /// This node's part in the exchange between entries.
    pub node: Arc<ControlNode>,
}

/// The service.
#[derive(Debug)]
pub struct DrainService {
    stop: CancellationToken,
}

impl Actor for DrainService {
    type Args = DrainServiceArgs;
    type Error = Infallible;

    async fn on_start(args: Self::Args, _actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let stop = CancellationToken::new();
        tokio::spawn(follow(args, stop.clone()));
        Ok(Self { stop })
    }

    async fn on_stop(
        &mut self,
        _actor: WeakActorRef<Self>,
        _reason: ActorStopReason,
    ) -> Result<(), Infallible> {
        self.stop.cancel();
        Ok(())
    }
}

async fn follow(args: DrainServiceArgs, stop: CancellationToken) {
    while stop.run_until_cancelled(tokio::time::sleep(DRAIN_INTERVAL)).await.is_some() {
        let Some(snapshot) = args.snapshot.load_full() else { continue };
        exchange_marks(&snapshot, &args.node);
    }
}

/// Tells the exchange what this node saw of the upstreams' marks, and the upstreams' counters what
/// the other entries say.
pub fn exchange_marks(snapshot: &ConfigSnapshot, node: &ControlNode) {
    for upstream in snapshot.upstreams.values() {
        match upstream.drain_mark() {
            DrainSight::Unseen => {}
            DrainSight::Cleared => node.report_drain(&upstream.name, false),
            DrainSight::Marked => node.report_drain(&upstream.name, true),
        }
        upstream.hint_drain(node.drains().is_draining(&upstream.name));
    }
}
