//! Watches the objects, publishes generations and writes the objects' statuses.
//!
//! Every relay tries to acquire the compiler's lease; the holder lists and watches the objects. The
//! lease only saves duplicate work. Whether the write of a holder that was paused takes effect is
//! decided by [`GenerationPublisher`]'s conditional write.

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
/// Long-poll time of one watch; statuses are updated after each.
const WATCH_WAIT: Duration = Duration::from_millis(500);
/// Time limit of a status write.
const STATUS_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a failure, and between checks on a node that does not hold the lease.
const IDLE_PAUSE: Duration = Duration::from_millis(250);
/// Shortest time between two generations.
const PUBLISH_INTERVAL: Duration = Duration::from_millis(200);
/// Age at which the list of objects is read anew, which finds deletions that a watch missed.
const RELIST_INTERVAL: Duration = Duration::from_secs(60);
/// Shortest time between two updates of the list of nodes that a rollout waits for.
const WAITING_UPDATE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of status writes in one round; the rest follow in the next one.
const MAX_STATUS_WRITES: usize = 256;
/// Time limit for the release of the lease.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Publishes generations while it holds the compiler's lease.
#[derive(Debug)]
pub struct ConfigCompiler<S> {
    node: Arc<ControlNode>,
    store: Arc<S>,
    source: ObjectSource<S>,
    publisher: GenerationPublisher<S>,
    is_compiler: AtomicBool,
}

/// Rollout times that the holder of the lease keeps between rounds.
#[derive(Debug, Default)]
struct RolloutTimes {
    /// When this compiler first saw each generation, at or after its publication.
    first_seen: BTreeMap<GenerationNumber, Instant>,
    last_waiting_update: Option<Instant>,
}

impl<S: PlatformStore> ConfigCompiler<S> {
    /// Creates the compiler of `node`; [`run`](Self::run) starts it.
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
                    Err(error) => log::debug!(
                        target: "config",
                        "compiler lease update failed reason={error}"
                    ),
                }
            }
            let pause = if self.node.is_relay() { LEASE_RENEW_INTERVAL } else { IDLE_PAUSE };
            tokio::time::sleep(pause).await;
        }
    }

    async fn compile_loop(&self) {
        let mut last_failure = String::new();
        loop {
            if !self.is_compiler() {
                tokio::time::sleep(IDLE_PAUSE).await;
                continue;
            }
            let mut times = RolloutTimes::default();
            let failure = match self.watch_objects(&mut times).await {
                Ok(()) => String::new(),
                Err(error) => format!("code={} reason={error}", error.code()),
            };
            if !failure.is_empty() && failure != last_failure {
                log::warn!(target: "config", "no generation published {failure}");
            }
            if !failure.is_empty() {
                tokio::time::sleep(IDLE_PAUSE).await;
            }
            last_failure = failure;
        }
    }

    fn is_compiler(&self) -> bool {
        self.is_compiler.load(Ordering::Relaxed)
    }

    /// Lists the objects, then watches and publishes their changes until the lease is lost, a call
    /// fails, or the list is due to be read anew.
    async fn watch_objects(&self, times: &mut RolloutTimes) -> Result<(), PublishError> {
        let listed_at = Instant::now();
        let mut objects = self.source.list().await?;
        let mut has_unpublished = true;
        while self.is_compiler() && listed_at.elapsed() < RELIST_INTERVAL {
            if has_unpublished {
                has_unpublished = !self.publish(&objects).await?;
            }
            self.update_statuses(&objects, times).await;
            let batch = self.source.watch(objects.revision(), WATCH_WAIT).await?;
            has_unpublished |= batch.events.iter().any(|event| self.is_spec_change(event));
            objects.apply(batch);
        }
        Ok(())
    }

    /// Whether an event is more than this compiler's own status write.
    fn is_spec_change(&self, event: &WatchEvent) -> bool {
        let WatchEvent::Put { object } = event else { return true };
        let current = self.node.generation_applier().current();
        let processed =
            current.map(|current| current.content.processed_version(&object.kind, &object.name));
        processed.is_none_or(|processed| object.spec_version > processed)
    }

    /// Publishes changed objects; returns whether nothing is left to publish.
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
            self.reject_unpublished(objects, &error).await;
        }
        Err(error)
    }

    /// Writes the statuses that are out of date.
    async fn update_statuses(&self, objects: &ObjectSet, times: &mut RolloutTimes) {
        let Some(current) = self.node.generation_applier().current() else { return };
        let content = &current.content;
        times.first_seen.entry(content.number).or_insert_with(Instant::now);
        let is_waiting_update_due = times.is_waiting_update_due();
        let nodes = self.node.node_generations();
        let mut writes = 0;
        for kind in CONFIG_KINDS {
            for object in objects.objects_of_kind(kind.as_str()) {
                let Some(status) =
                    status_of(object, content, &nodes, |since| times.confirmation_expiry(since))
                else {
                    continue;
                };
                let known: Option<ObjectStatus> =
                    serde_json::from_value(object.status.clone()).ok();
                if !needs_write(known.as_ref(), &status, is_waiting_update_due) {
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

    async fn reject_unpublished(&self, objects: &ObjectSet, error: &PublishError) {
        let current = self.node.generation_applier().current();
        let empty = GenerationContent::default();
        let content = current.as_ref().map_or(&empty, |current| &current.content);
        for kind in CONFIG_KINDS {
            for object in objects.objects_of_kind(kind.as_str()) {
                if content.processed_version(&object.kind, &object.name) >= object.spec_version {
                    continue;
                }
                let active = content.find(&object.kind, &object.name);
                let status = ObjectStatus {
                    spec_version: object.spec_version,
                    phase: RolloutPhase::Rejected,
                    generation: active.map(|known| known.since),
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
            // The next round compares again, which also covers a lost response.
            log::debug!(
                target: "config",
                "status write failed kind={} name={} reason={error}",
                object.kind, object.name,
            );
        }
    }
}

impl RolloutTimes {
    /// Whether every node that does not apply `since` has restricted itself by now. Such a node was
    /// last confirmed before `since` was published, which is at least as long ago as `since` was
    /// first seen here.
    fn confirmation_expiry(&self, since: GenerationNumber) -> ConfirmationExpiry {
        let first = self.first_seen.range(since..).next();
        match first {
            Some((_, first_seen)) if first_seen.elapsed() > MAX_CONFIRMED_AGE => {
                ConfirmationExpiry::Elapsed
            }
            _ => ConfirmationExpiry::Pending,
        }
    }

    fn is_waiting_update_due(&mut self) -> bool {
        let is_due =
            self.last_waiting_update.is_none_or(|last| last.elapsed() >= WAITING_UPDATE_INTERVAL);
        if is_due {
            self.last_waiting_update = Some(Instant::now());
        }
        is_due
    }
}

/// Whether `status` must replace the `known` one. The status of a version that was in force stays
/// so, and the list of nodes that a rollout waits for is written only if `is_waiting_update_due`.
fn needs_write(
    known: Option<&ObjectStatus>,
    status: &ObjectStatus,
    is_waiting_update_due: bool,
) -> bool {
    let Some(known) = known.filter(|known| known.spec_version == status.spec_version) else {
        return true;
    };
    match (known.phase, status.phase) {
        (RolloutPhase::InForce, RolloutPhase::Accepted) => false,
        (RolloutPhase::InForce, RolloutPhase::InForce) => {
            !known.restricted.is_empty() && known != status && is_waiting_update_due
        }
        (RolloutPhase::Accepted, RolloutPhase::Accepted) => {
            known != status && is_waiting_update_due
        }
        _ => known != status,
    }
}
