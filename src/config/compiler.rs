//! Follows the objects, publishes generations and reports on the objects' status.
//!
//! Every relay tries for the compiler's lease; the holder lists and watches the objects. The
//! lease only keeps the others from doing the same work: what a paused holder writes is decided
//! by [`GenerationPublisher`]'s conditional write.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use heatherfall_platform_api::{ObjectEnvelope, PlatformStore, WatchEvent};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::config::generation::GenerationContent;
use crate::config::object_set::ObjectSet;
use crate::config::object_source::{ObjectSource, with_timeout};
use crate::config::publish::{GenerationPublisher, PublishError};
use crate::config::status::{ConfirmationExpiry, ObjectStatus, RolloutPhase, status_of};
use crate::core::{CONFIG_KINDS, GenerationNumber};
use crate::membership::{
    ControlNode, EntryState, LEASE_RENEW_INTERVAL, LeaseManager, LeaseState, MAX_CONFIRMED_AGE,
};

/// Name of the compiler's lease.
const COMPILER_LEASE: &str = "compiler";
/// Wait of one watch; statuses are looked at after each.
const WATCH_WAIT: Duration = Duration::from_millis(500);
/// Time for a status write.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failure, and of a node that does not hold the lease.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// Shortest time between two generations.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);
/// Time after which the objects are listed anew, which finds deletes that a watch missed.
const RELIST_INTERVAL: Duration = Duration::from_secs(60);
/// Shortest time between two updates of the nodes that a rollout waits for.
const WAITING_INTERVAL: Duration = Duration::from_secs(1);
/// Status writes of one round.
const MAX_STATUS_WRITES: usize = 256;
/// Time for the release of the lease.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Makes generations while it holds the compiler's lease.
#[derive(Debug)]
pub struct ConfigCompiler<S> {
    node: Arc<ControlNode>,
    store: Arc<S>,
    source: ObjectSource<S>,
    publisher: GenerationPublisher<S>,
    is_compiler: AtomicBool,
}

/// What one holder of the lease remembers between rounds.
#[derive(Debug, Default)]
struct RolloutClock {
    /// When each generation was first seen, at or after its publication.
    seen: BTreeMap<GenerationNumber, Instant>,
    waiting_updated: Option<Instant>,
}

impl<S: PlatformStore> ConfigCompiler<S> {
    /// Creates the compiler of `node`; nothing runs yet.
    pub fn new(node: Arc<ControlNode>, store: Arc<S>) -> Self {
        let publisher =
            GenerationPublisher::new(Arc::clone(&store), node.shared_generation_applier());
        let source = ObjectSource::new(Arc::clone(&store));
        Self { node, store, source, publisher, is_compiler: AtomicBool::new(false) }
    }

    /// Runs until `stop` is cancelled, then releases the lease.
    pub async fn run(&self, stop: CancellationToken) {
        let identity = self.node.identity();
        let mut lease =
            LeaseManager::new(COMPILER_LEASE, identity.vm.as_str(), &identity.peer_address);
        let work = async { tokio::join!(self.lease_loop(&mut lease), self.compile_loop()) };
        let _ = stop.run_until_cancelled(work).await;
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, lease.release(&*self.store)).await;
    }

    async fn lease_loop(&self, lease: &mut LeaseManager) {
        loop {
            let is_leaving = self.node.state() == EntryState::Leaving;
            if lease.term().is_some() || (self.node.is_relay() && !is_leaving) {
                match lease.acquire_or_renew(&*self.store).await {
                    Ok(LeaseState::Held { .. }) => self.is_compiler.store(true, Ordering::Relaxed),
                    Ok(LeaseState::NotHeld(_)) => self.is_compiler.store(false, Ordering::Relaxed),
                    Err(error) => log::debug!(target: "config", "lease failed reason={error}"),
                }
            }
            let pause = if self.node.is_relay() { LEASE_RENEW_INTERVAL } else { IDLE_PAUSE };
            tokio::time::sleep(pause).await;
        }
    }

    async fn compile_loop(&self) {
        let mut last_fault = String::new();
        loop {
            if !self.is_compiler() {
                tokio::time::sleep(IDLE_PAUSE).await;
                continue;
            }
            let mut clock = RolloutClock::default();
            let fault = match self.follow_objects(&mut clock).await {
                Ok(()) => String::new(),
                Err(error) => format!("code={} reason={error}", error.code()),
            };
            if !fault.is_empty() && fault != last_fault {
                log::warn!(target: "config", "nothing published {fault}");
            }
            if !fault.is_empty() {
                tokio::time::sleep(IDLE_PAUSE).await;
            }
            last_fault = fault;
        }
    }

    fn is_compiler(&self) -> bool {
        self.is_compiler.load(Ordering::Relaxed)
    }

    /// Lists the objects and follows their changes until the lease is lost, a call fails, or it is
    /// time to list again.
    async fn follow_objects(&self, clock: &mut RolloutClock) -> Result<(), PublishError> {
        let listed = Instant::now();
        let mut objects = self.source.list().await?;
        let mut is_changed = true;
        while self.is_compiler() && listed.elapsed() < RELIST_INTERVAL {
            if is_changed {
                is_changed = !self.publish(&objects).await?;
            }
            self.report(&objects, clock).await;
            let batch = self.source.watch(objects.revision(), WATCH_WAIT).await?;
            is_changed |= batch.events.iter().any(|event| self.is_news(event));
            objects.apply(batch);
        }
        Ok(())
    }

    /// Whether an event is more than a status write of this compiler's own.
    fn is_news(&self, event: &WatchEvent) -> bool {
        let WatchEvent::Put { object } = event else { return true };
        let held = self.node.generation_applier().current();
        let seen = held.map(|held| held.content.seen_version(&object.kind, &object.name));
        seen.is_none_or(|seen| object.spec_version > seen)
    }

    /// Publishes what changed; returns whether nothing is left to publish.
    async fn publish(&self, objects: &ObjectSet) -> Result<bool, PublishError> {
        let error = match self.publisher.publish(objects, self.node.max_common_format()).await {
            Ok(_) => {
                self.node.refresh();
                tokio::time::sleep(PUBLISH_INTERVAL).await;
                return Ok(true);
            }
            Err(PublishError::Conflict) => return Ok(false),
            Err(error) => error,
        };
        if matches!(error, PublishError::TooLarge(_) | PublishError::UnsupportedFormat { .. }) {
            self.report_refused(objects, &error).await;
        }
        Err(error)
    }

    /// Writes the statuses that differ from what they should be.
    async fn report(&self, objects: &ObjectSet, clock: &mut RolloutClock) {
        let Some(held) = self.node.generation_applier().current() else { return };
        let content = &held.content;
        clock.seen.entry(content.number).or_insert_with(Instant::now);
        let may_update_waiting = clock.may_update_waiting();
        let nodes = self.node.node_generations();
        let mut writes = 0;
        for kind in CONFIG_KINDS {
            for object in objects.objects_of_kind(kind.as_str()) {
                let Some(status) = status_of(object, content, &nodes, |since| clock.limit(since))
                else {
                    continue;
                };
                let known: Option<ObjectStatus> =
                    serde_json::from_value(object.status.clone()).ok();
                if !needs_write(known.as_ref(), &status, may_update_waiting) {
                    continue;
                }
                self.write_status(object, &status).await;
                writes += 1;
                if writes >= MAX_STATUS_WRITES {
                    return;
                }
            }
        }
    }

    async fn report_refused(&self, objects: &ObjectSet, error: &PublishError) {
        let held = self.node.generation_applier().current();
        let unknown = GenerationContent::default();
        let content = held.as_ref().map_or(&unknown, |held| &held.content);
        for kind in CONFIG_KINDS {
            for object in objects.objects_of_kind(kind.as_str()) {
                if content.seen_version(&object.kind, &object.name) >= object.spec_version {
                    continue;
                }
                let in_force = content.find(&object.kind, &object.name);
                let status = ObjectStatus {
                    spec_version: object.spec_version,
                    phase: RolloutPhase::Rejected,
                    generation: in_force.map(|known| known.since),
                    code: Some(error.code().to_string()),
                    message: Some(error.to_string()),
                    waiting_for: Vec::new(),
                    restricted: Vec::new(),
                };
                let known = serde_json::from_value(object.status.clone()).ok();
                if known.as_ref() != Some(&status) {
                    self.write_status(object, &status).await;
                }
            }
        }
    }

    async fn write_status(&self, object: &ObjectEnvelope, status: &ObjectStatus) {
        let Ok(value) = serde_json::to_value(status) else { return };
        let version = object.spec_version;
        let write = self.store.put_status(&object.kind, &object.name, version, value);
        if let Err(error) = with_timeout(write, STATUS_TIMEOUT).await {
            // The next round compares again, also after a lost answer.
            log::debug!(
                target: "config",
                "status not written kind={} name={} reason={error}",
                object.kind, object.name,
            );
        }
    }
}

impl RolloutClock {
    /// Whether every node without `since` has restricted itself by now: it was last confirmed
    /// before `since` was published, which is at least as long ago as it was first seen.
    fn limit(&self, since: GenerationNumber) -> ConfirmationExpiry {
        let first = self.seen.range(since..).next();
        match first {
            Some((_, seen)) if seen.elapsed() > MAX_CONFIRMED_AGE => ConfirmationExpiry::Elapsed,
            _ => ConfirmationExpiry::Pending,
        }
    }

    fn may_update_waiting(&mut self) -> bool {
        let is_due = self.waiting_updated.is_none_or(|last| last.elapsed() >= WAITING_INTERVAL);
        if is_due {
            self.waiting_updated = Some(Instant::now());
        }
        is_due
    }
}

/// A version that was in force stays so in its status, and the list of nodes that a rollout waits
/// for is updated now and then only.
fn needs_write(known: Option<&ObjectStatus>, status: &ObjectStatus, may_update: bool) -> bool {
    let Some(known) = known.filter(|known| known.spec_version == status.spec_version) else {
        return true;
    };
    match (known.phase, status.phase) {
        (RolloutPhase::InForce, RolloutPhase::Accepted) => false,
        (RolloutPhase::InForce, RolloutPhase::InForce) => {
            !known.restricted.is_empty() && known != status && may_update
        }
        (RolloutPhase::Accepted, RolloutPhase::Accepted) => known != status && may_update,
        _ => known != status,
    }
}
