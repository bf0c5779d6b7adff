//! Runs the node's part in the exchange between entries.

use std::convert::Infallible;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::error::ActorStopReason;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::membership::{MembershipDriver, MembershipDriverArgs};
use crate::peer::PeerTransport;
use crate::platform::PlatformStore;

/// The service.
#[derive(Debug)]
pub struct MembershipService<S: PlatformStore, T: PeerTransport> {
    stop: CancellationToken,
    work: Option<JoinHandle<()>>,
    _driver: std::marker::PhantomData<MembershipDriver<S, T>>,
}

impl<S: PlatformStore, T: PeerTransport> Actor for MembershipService<S, T> {
    type Args = MembershipDriverArgs<S, T>;
    type Error = Infallible;

    async fn on_start(args: Self::Args, _actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let stop = CancellationToken::new();
        let driver = MembershipDriver::new(args);
        let stopped = stop.clone();
        let work = tokio::spawn(async move { driver.run(stopped).await });
        Ok(Self { stop, work: Some(work), _driver: std::marker::PhantomData })
    }

    async fn on_stop(
        &mut self,
        _actor: WeakActorRef<Self>,
        _reason: ActorStopReason,
    ) -> Result<(), Infallible> {
        self.stop.cancel();
        if let Some(work) = self.work.take() {
            let _ = work.await;
        }
        Ok(())
    }
}
