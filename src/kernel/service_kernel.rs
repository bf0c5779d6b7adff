//! Starts, monitors and stops services.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::future::BoxFuture;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::registry::ActorRegistry;

use crate::kernel::task_service::{IsRunning, ServiceTask, TaskService};

/// Name under which a service is registered.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ServiceName {
    /// Compiles and publishes configuration generations.
    Config,
    /// Exchanges heartbeats, generations and drain hints with the other entries.
    Membership,
    /// Passes drain signals of upstreams to and from the exchange.
    Drain,
    /// Probes upstreams without recent responses, within the budget.
    Probe,
    /// Reads the configuration and the upstreams from the platform's store.
    Store,
    /// Exchanges messages with the other entries of the failure domain.
    Peer,
    /// Measures the load of the failure domain's upstreams.
    Load,
    /// Checks whether this entry has a path to the upstreams.
    Path,
    /// Checks upstreams that fell silent while they ran a request.
    Run,
}

impl ServiceName {
    /// The name in the registry and in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Membership => "membership",
            Self::Drain => "drain",
            Self::Probe => "probe",
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Load => "load",
            Self::Path => "path",
            Self::Run => "run",
        }
    }
}

/// Stops a service and waits until it has ended.
type StopService = Box<dyn FnOnce() -> BoxFuture<'static, ()> + Send>;

/// Returns whether a service's task is still running.
type CheckService = Arc<dyn Fn() -> BoxFuture<'static, bool> + Send + Sync>;

#[derive(Clone)]
struct ServiceCheck {
    name: ServiceName,
    check: CheckService,
}

/// The services of one node; clones share them.
#[derive(Clone, Default)]
pub struct ServiceKernel {
    registry: Arc<Mutex<ActorRegistry>>,
    stops: Arc<Mutex<Vec<(ServiceName, StopService)>>>,
    checks: Arc<Mutex<Vec<ServiceCheck>>>,
}

impl fmt::Debug for ServiceKernel {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let names: Vec<ServiceName> = lock(&self.stops).iter().map(|(name, _)| *name).collect();
        f.debug_struct("ServiceKernel").field("services", &names).finish()
    }
}

impl ServiceKernel {
    /// Starts a service and registers it under `name`.
    pub fn start<A: Actor + Spawn>(&self, name: ServiceName, args: A::Args) -> ActorRef<A> {
        let service = A::spawn(args);
        lock(&self.registry).insert(name.as_str(), service.clone());
        let stopped = service.clone();
        let stop: StopService = Box::new(move || {
            Box::pin(async move {
                let _ = stopped.stop_gracefully().await;
                stopped.wait_for_shutdown().await;
            })
        });
        lock(&self.stops).push((name, stop));
        log::info!(target: "kernel", "service started name={}", name.as_str());
        service
    }

    /// Starts the service that runs `task` and registers it under the task's name. Its task is
    /// monitored by [`failed_services`](Self::failed_services).
    pub fn start_task<W: ServiceTask>(&self, task: W) -> ActorRef<TaskService<W>> {
        let service = self.start::<TaskService<W>>(W::NAME, task);
        let service_ref = service.clone();
        let check: CheckService = Arc::new(move || {
            let service_ref = service_ref.clone();
            // A service that does not reply has failed, too.
            Box::pin(async move { service_ref.ask(IsRunning).await.unwrap_or(false) })
        });
        lock(&self.checks).push(ServiceCheck { name: W::NAME, check });
        service
    }

    /// Services whose task has ended without being stopped.
    pub async fn failed_services(&self) -> Vec<ServiceName> {
        let checks = lock(&self.checks).clone();
        let mut failed = Vec::new();
        for entry in checks {
            if !(entry.check)().await {
                failed.push(entry.name);
            }
        }
        failed
    }

    /// Returns the service that is registered under `name` if it is of type `A`.
    pub fn find<A: Actor>(&self, name: ServiceName) -> Option<ActorRef<A>> {
        lock(&self.registry).get(name.as_str()).ok().flatten()
    }

    /// Stops all services in reverse order of their start.
    pub async fn stop(&self) {
        lock(&self.checks).clear();
        loop {
            let Some((name, stop)) = lock(&self.stops).pop() else { return };
            stop().await;
            lock(&self.registry).remove(name.as_str());
            log::info!(target: "kernel", "service stopped name={}", name.as_str());
        }
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
