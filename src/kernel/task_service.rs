//! A service whose work runs beside its mailbox until the kernel stops it.

use std::convert::Infallible;
use std::marker::PhantomData;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::error::ActorStopReason;
use kameo::message::{Context, Message};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::kernel::service_kernel::ServiceName;

/// Work that a service does from its start until it is told to stop.
pub trait ServiceTask: Send + 'static {
    /// Name of the service.
    const NAME: ServiceName;

    /// Does the work; returns soon after `stop` is cancelled.
    fn run(self, stop: CancellationToken) -> impl Future<Output = ()> + Send;
}

/// The service that does the work `W`.
#[derive(Debug)]
pub struct TaskService<W> {
    stop: CancellationToken,
    work: Option<JoinHandle<()>>,
    _work: PhantomData<fn() -> W>,
}

/// Asks a service whether its work still runs; work that ended by itself has failed.
#[derive(Clone, Copy, Debug)]
pub struct IsRunning;

impl<W: ServiceTask> Actor for TaskService<W> {
    type Args = W;
    type Error = Infallible;

    async fn on_start(work: W, _actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let stop = CancellationToken::new();
        let work = tokio::spawn(work.run(stop.clone()));
        Ok(Self { stop, work: Some(work), _work: PhantomData })
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

impl<W: ServiceTask> Message<IsRunning> for TaskService<W> {
    type Reply = bool;

    async fn handle(&mut self, _message: IsRunning, _ctx: &mut Context<Self, bool>) -> bool {
        self.work.as_ref().is_some_and(|work| !work.is_finished())
    }
}
