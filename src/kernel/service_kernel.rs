//! Starts, names and stops services.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use futures_util::future::BoxFuture;
use kameo::Actor;
use kameo::actor::{ActorRef, Spawn};
use kameo::registry::ActorRegistry;

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
}

impl ServiceName {
    /// The name as text.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Config => "config",
            Self::Membership => "membership",
            Self::Drain => "drain",
            Self::Probe => "probe",
        }
    }
}

/// Stops one service and waits for its end.
type StopService = Box<dyn FnOnce() -> BoxFuture<'static, ()> + Send>;

/// The services of one node; clones share them.
#[derive(Clone, Default)]
pub struct ServiceKernel {
    registry: Arc<Mutex<ActorRegistry>>,
    stops: Arc<Mutex<Vec<(ServiceName, StopService)>>>,
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

    /// Finds a service by name and type.
    pub fn find<A: Actor>(&self, name: ServiceName) -> Option<ActorRef<A>> {
        lock(&self.registry).get(name.as_str()).ok().flatten()
    }

    /// Stops all services, the last started first.
    pub async fn stop(&self) {
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
