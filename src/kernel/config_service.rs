//! Runs the compiler of configuration generations.

use std::convert::Infallible;
use std::sync::Arc;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::error::ActorStopReason;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::config::ConfigCompiler;
use crate::membership::ControlNode;
use crate::platform::PlatformStore;

/// What the service needs.
#[derive(Debug)]
pub struct ConfigServiceArgs<S> {
    /// The platform.
    pub store: Arc<S>,
    /// The node.
    pub node: Arc<ControlNode>,
}

/// The service.
#[derive(Debug)]
pub struct ConfigService<S: PlatformStore> {
    stop: CancellationToken,
    work: Option<JoinHandle<()>>,
    _store: std::marker::PhantomData<S>,
}

impl<S: PlatformStore> Actor for ConfigService<S> {
    type Args = ConfigServiceArgs<S>;
    type Error = Infallible;

    async fn on_start(args: Self::Args, _actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let stop = CancellationToken::new();
        let compiler = ConfigCompiler::new(args.node, args.store);
        let stopped = stop.clone();
        let work = tokio::spawn(async move { compiler.run(stopped).await });
        Ok(Self { stop, work: Some(work), _store: std::marker::PhantomData })
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
