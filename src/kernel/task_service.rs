//! A service that runs a task beside its mailbox until the kernel stops it.

use std::convert::Infallible;
use std::marker::PhantomData;

use kameo::Actor;
use kameo::actor::{ActorRef, WeakActorRef};
use kameo::error::ActorStopReason;
use kameo::message::{Context, Message};
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use crate::kernel::service_kernel::ServiceName;

/// A task that a service runs from its start until it is stopped.
pub trait ServiceTask: Send + 'static {
    /// Name of the service.
    const NAME: ServiceName;

    /// Runs the task; returns soon after `stop` is cancelled.
    fn run(self, stop: CancellationToken) -> impl Future<Output = ()> + Send;
}

/// The service that runs the task `W`.
#[derive(Debug)]
pub struct TaskService<W> {
    stop: CancellationToken,
    task: Option<JoinHandle<()>>,
    _task_type: PhantomData<fn() -> W>,
}

/// Message that asks a service whether its task is still running. A task that ended by itself has
/// failed.
#[derive(Clone, Copy, Debug)]
pub struct IsRunning;

impl<W: ServiceTask> Actor for TaskService<W> {
    type Args = W;
    type Error = Infallible;

    async fn on_start(task: W, _actor: ActorRef<Self>) -> Result<Self, Infallible> {
        let stop = CancellationToken::new();
        let task = tokio::spawn(task.run(stop.clone()));
        Ok(Self { stop, task: Some(task), _task_type: PhantomData })
    }

    async fn on_stop(
        &mut self,
        _actor: WeakActorRef<Self>,
        _reason: ActorStopReason,
    ) -> Result<(), Infallible> {
        self.stop.cancel();
        if let Some(task) = self.task.take() {
            let _ = task.await;
        }
        Ok(())
    }
}

impl<W: ServiceTask> Message<IsRunning> for TaskService<W> {
    type Reply = bool;

    async fn handle(&mut self, _message: IsRunning, _ctx: &mut Context<Self, bool>) -> bool {
        self.task.as_ref().is_some_and(|task| !task.is_finished())
    }
}
