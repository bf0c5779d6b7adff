//! Starts, names and stops services.

use std::fmt;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::future::BoxFuture;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::registry::ActorRegistry;

use crate::kernel::task_service::{IsRunning, ServiceTask, TaskService};

/// Name of a service.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum ServiceName {
    /// Compiles configuration generations.
    Config,
    /// Exchanges heartbeats, generations and hints with the other entries.
    Membership,
    /// Carries drain marks of upstreams to and from the exchange.
    Drain,
    /// Probes silent upstreams within the budget.
    Probe,
    /// Reads the configuration and the upstreams from the platform's store.
    Store,
    /// Talks to the other entries of the failure domain.
    Peer,
    /// Measures the load of the failure domain's upstreams.
    Load,
}

impl ServiceName {
    /// The name as text.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Membership => "membership",
            Self::Drain => "drain",
            Self::Probe => "probe",
            Self::Store => "store",
            Self::Peer => "peer",
            Self::Load => "load",
        }
    }
}

/// Stops one service and waits for its end.
type StopService = Box<dyn FnOnce() -> BoxFuture<'static, ()> + Send>;

/// Asks one service whether its work still runs.
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

    /// Starts the service that does `work` and registers it under the work's name.
    pub fn start_task<W: ServiceTask>(&self, work: W) -> ActorRef<TaskService<W>> {
        let service = self.start::<TaskService<W>>(W::NAME, work);
        let asked = service.clone();
        let check: CheckService = Arc::new(move || {
            let asked = asked.clone();
            // A service that does not answer has failed, too.
            Box::pin(async move { asked.ask(IsRunning).await.unwrap_or(false) })
        });
        lock(&self.checks).push(ServiceCheck { name: W::NAME, check });
        service
    }

    /// Services whose work has ended although nobody stopped them.
    pub async fn failed_services(&self) -> Vec<ServiceName> {
        let checks = lock(&self.checks).clone();
        let mut failed = Vec::new();
        for one in checks {
            if !(one.check)().await {
                failed.push(one.name);
            }
        }
        failed
    }

    /// Finds a service by name and type.
    pub fn find<A: Actor>(&self, name: ServiceName) -> Option<ActorRef<A>> {
        lock(&self.registry).get(name.as_str()).ok().flatten()
    }

    /// Stops all services, the last started first.
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
