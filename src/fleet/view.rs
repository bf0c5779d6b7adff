//! The last known configuration and upstreams of a deployment.
//!
//! The view never goes back to an older configuration. An upstream that is missing after a store
//! outage is held in the view for a grace period: its lease may have expired because it could not
//! renew it, and it may register again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::config::{ObjectSet, SpecError, compile, with_upstreams};
use crate::core::{ConfigSnapshot, GenerationNumber};
use crate::fleet::codec::{
    DeclaredConfig, DeclaredService, DeploymentCodec, PlatformNames, RegisteredUpstream,
};
use crate::fleet::objects::{declared_upstream, set_config_objects};
use crate::fleet::view_change::{NameList, entry_digest};
pub use crate::fleet::view_change::{ViewChange, ViewWatermark};
use crate::platform::{ObjectEnvelope, ObjectList, Revision, WatchBatch, WatchEvent};
use crate::util::FastMap;

/// Time after the end of a store outage for which missing upstreams are held. The platform states
/// that upstreams register again within about two seconds.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2200);
/// Invalid objects logged per compilation, so that they cannot flood the log.
const MAX_LOGGED_ERRORS: usize = 8;

/// The configuration and the upstreams as last read from the store or received from a peer.
#[derive(Debug)]
pub struct DeploymentView<D> {
    codec: D,
    revision: Revision,
    config: Option<(Revision, DeclaredConfig)>,
    config_known: Revision,
    upstreams: BTreeMap<String, UpstreamRecord>,
    /// Upstreams that are missing after an outage, and when each is removed.
    held: BTreeMap<String, Instant>,
    outage: Option<StoreOutage>,
    /// The compiled configuration without upstreams. Cleared when the configuration changes.
    base_snapshot: Option<ConfigSnapshot>,
    digest: u64,
}

/// A period in which the store could not be reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreOutage {
    /// Last confirmation of the view before the outage.
    pub began: Instant,
    /// First successful store call after it.
    pub ended: Instant,
}

/// The registration of an upstream in the store.
#[derive(Clone, Debug)]
struct UpstreamRecord {
    version: Revision,
    /// `None` if the registration could not be decoded.
    upstream: Option<RegisteredUpstream>,
}

impl<D: DeploymentCodec> DeploymentView<D> {
    /// Creates an empty view.
    pub fn new(codec: D) -> Self {
        Self {
            codec,
            revision: 0,
            config: None,
            config_known: 0,
            upstreams: BTreeMap::new(),
            held: BTreeMap::new(),
            outage: None,
            base_snapshot: None,
            digest: 0,
        }
    }

    /// Object kinds and paths of the platform.
    pub fn names(&self) -> PlatformNames {
        self.codec.names()
    }

    /// Store revision up to which upstream changes are known; 0 before the first list.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Generation of the configuration; `None` before the first one.
    pub fn generation(&self) -> Option<GenerationNumber> {
        self.config.as_ref().map(|(_, config)| config.generation)
    }

    /// Revisions and digest by which entries compare their views.
    pub fn watermark(&self) -> ViewWatermark {
        let config_revision = self.config.as_ref().map_or(0, |(revision, _)| *revision);
        let (revision, config_known) = (self.revision, self.config_known);
        ViewWatermark { revision, config_revision, config_known, digest: self.digest }
    }

    /// Records that no configuration newer than the current one existed at `revision`.
    pub fn confirm_config(&mut self, revision: Revision) {
        self.config_known = self.config_known.max(revision);
    }

    /// Records an outage that has ended. Upstreams that are missing within the grace period after
    /// it are held.
    pub fn record_outage(&mut self, outage: StoreOutage) {
        self.outage = Some(outage);
    }

    /// Drops the recorded outage if another entry reached the store throughout it, that is since
    /// `steady_since`. Only this entry was partitioned then, and upstreams that are missing have
    /// left. Returns whether held upstreams are to be removed.
    pub fn refute_outage(&mut self, steady_since: Instant, now: Instant) -> bool {
        if self.outage.is_none_or(|outage| outage.began < steady_since) {
            return false;
        }
        self.outage = None;
        for until in self.held.values_mut() {
            *until = now;
        }
        !self.held.is_empty()
    }

    /// Applies a complete list of the upstreams. A list older than the view is ignored.
    pub fn replace_upstreams(&mut self, list: ObjectList, now: Instant) -> ViewChange {
        if list.revision < self.revision {
            log::warn!(
                target: "store",
                "ignored a list older than the view revision={} known={}",
                list.revision,
                self.revision,
            );
            return self.change_from(self.revision);
        }
        let mut change = self.change_from(self.revision);
        let mut missing: BTreeSet<String> = self.upstreams.keys().cloned().collect();
        for object in list.items {
            missing.remove(&object.name);
            self.put_upstream(object, &mut change);
        }
        for name in missing {
            self.remove_upstream(&name, now, &mut change);
        }
        self.revision = list.revision;
        change.revision = list.revision;
        self.refresh_digest();
        change
    }

    /// Applies the events of a watch that started at the revision `since`.
    ///
    /// Changes from peers may have advanced the view while the watch was waiting.
    pub fn apply_batch(&mut self, batch: WatchBatch, since: Revision, now: Instant) -> ViewChange {
        let mut change = self.change_from(self.revision);
        // The revision counts every write to the store. If it advanced by more than the number of
        // upstream events, one of the other writes may have been the configuration.
        let moved = batch.revision.saturating_sub(since);
        if moved <= batch.events.len() as u64 && self.config_known >= since {
            self.config_known = self.config_known.max(batch.revision);
        }
        for event in batch.events {
            match event {
                WatchEvent::Put { object } => self.put_upstream(object, &mut change),
                WatchEvent::Delete { name, revision, .. } => {
                    let known = self.upstreams.get(&name).map_or(0, |object| object.version);
                    if revision >= known {
                        self.remove_upstream(&name, now, &mut change);
                    }
                }
            }
        }
        self.revision = self.revision.max(batch.revision);
        change.revision = self.revision;
        self.refresh_digest();
        change
    }

    /// Applies the configuration object. One that is older than the current one, by revision or by
    /// generation, or that cannot be decoded is ignored.
    pub fn apply_config(&mut self, object: ObjectEnvelope) -> ViewChange {
        let mut change = self.change_from(self.revision);
        let known = self.config.as_ref();
        if known.is_some_and(|(revision, _)| object.version <= *revision) {
            return change;
        }
        let config = match self.codec.config(&object) {
            Ok(config) => config,
            Err(error) => {
                log::error!(
                    target: "config",
                    "invalid configuration, keeping the current one revision={} reason={error}",
                    object.version,
                );
                return change;
            }
        };
        if known.is_some_and(|(_, present)| config.generation < present.generation) {
            log::warn!(
                target: "config",
                "ignored a configuration with an older generation generation={} present={:?}",
                config.generation,
                self.generation(),
            );
            return change;
        }
        log::info!(
            target: "config",
            "generation={} revision={} routes={} services={}",
            config.generation,
            object.version,
            config.routes.len(),
            config.services.len(),
        );
        self.config = Some((object.version, config));
        self.base_snapshot = None;
        change.config = Some(object);
        change
    }

    /// Applies a change that another entry read from the store, and returns what it changed here.
    /// Upstream changes that do not connect to this view's revision are ignored; the watermark of
    /// the next message then shows the gap.
    pub fn apply_change(&mut self, change: ViewChange, now: Instant) -> ViewChange {
        let mut own = self.change_from(self.revision);
        if let Some(config) = change.config {
            own.config = self.apply_config(config).config;
        }
        if change.base > self.revision || change.revision < self.revision {
            return own;
        }
        for object in change.puts {
            self.put_upstream(object, &mut own);
        }
        for name in change.deletes {
            self.held.remove(&name);
            if self.upstreams.remove(&name).is_some() {
                own.deletes.push(name);
            }
        }
        for name in change.held {
            if self.upstreams.contains_key(&name) && !self.held.contains_key(&name) {
                self.held.insert(name.clone(), now + REREGISTRATION_GRACE);
                own.held.push(name);
            }
        }
        self.revision = change.revision;
        own.revision = change.revision;
        self.refresh_digest();
        own
    }

    /// Removes held upstreams whose grace period is over.
    pub fn expire(&mut self, now: Instant) -> ViewChange {
        let mut change = self.change_from(self.revision);
        let mut expired = Vec::new();
        for (name, until) in &self.held {
            if *until <= now {
                expired.push(name.clone());
            }
        }
        for name in expired {
            self.held.remove(&name);
            self.upstreams.remove(&name);
            change.deletes.push(name);
        }
        if !change.deletes.is_empty() {
            self.refresh_digest();
        }
        change
    }

    /// Earliest time at which [`Self::expire`] removes an upstream.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.held.values().min().copied()
    }

    /// Compiles the view; `None` before the first configuration. Upstreams that `previous` has
    /// under the same name and address keep their key and counters.
    pub fn compile(&mut self, previous: Option<&ConfigSnapshot>) -> Option<ConfigSnapshot> {
        let (config_revision, config) = self.config.as_ref()?;
        if self.base_snapshot.is_none() {
            let mut objects = ObjectSet::default();
            set_config_objects(&mut objects, config, *config_revision);
            let outcome = compile(&objects, config.generation, None);
            log_errors(&outcome.errors);
            self.base_snapshot = Some(outcome.snapshot);
        }
        let base_snapshot = self.base_snapshot.as_ref()?;
        let mut services: FastMap<&str, &DeclaredService> = FastMap::default();
        for service in &config.services {
            services.insert(&service.name, service);
        }
        let mut declared = Vec::with_capacity(self.upstreams.len());
        for entry in self.upstreams.values() {
            let Some(upstream) = &entry.upstream else { continue };
            let service = services.get(upstream.service.as_str()).copied();
            declared.push(declared_upstream(upstream, service));
        }
        Some(with_upstreams(base_snapshot, declared, previous))
    }

    /// Logs a change of the upstreams; `source` is `store` or `peer`.
    pub fn log_change(&self, change: &ViewChange, source: &str) {
        if !change.has_upstreams() {
            // A change of the configuration is logged where it is applied.
            return;
        }
        let (mut ready, mut draining) = (NameList::default(), NameList::default());
        for object in &change.puts {
            match self.codec.upstream(object) {
                Ok(upstream) if upstream.is_draining => draining.push(&object.name),
                Ok(_) => ready.push(&object.name),
                // Logged when the registration was decoded into the view.
                Err(_) => {}
            }
        }
        let (mut removed, mut held) = (NameList::default(), NameList::default());
        for name in &change.deletes {
            removed.push(name);
        }
        for name in &change.held {
            held.push(name);
        }
        log::info!(
            target: "upstream",
            "changed source={source} base={} revision={} ready={ready} draining={draining} gone={removed} kept={held}",
            change.base,
            change.revision,
        );
    }

    fn refresh_digest(&mut self) {
        let mut digest = 0_u64;
        for (name, entry) in &self.upstreams {
            if !self.held.contains_key(name) {
                digest = digest.wrapping_add(entry_digest(name, entry.version));
            }
        }
        self.digest = digest;
    }

    fn change_from(&self, base: Revision) -> ViewChange {
        ViewChange { base, revision: self.revision, ..ViewChange::default() }
    }

    fn put_upstream(&mut self, object: ObjectEnvelope, change: &mut ViewChange) {
        self.held.remove(&object.name);
        let known = self.upstreams.get(&object.name);
        if known.is_some_and(|known| known.version >= object.version) {
            return;
        }
        let upstream = match self.codec.upstream(&object) {
            Ok(upstream) => Some(upstream),
            Err(error) => {
                log::warn!(
                    target: "upstream",
                    "ignored an invalid registration instance={} reason={error}",
                    object.name,
                );
                None
            }
        };
        let entry = UpstreamRecord { version: object.version, upstream };
        self.upstreams.insert(object.name.clone(), entry);
        change.puts.push(object);
    }

    fn remove_upstream(&mut self, name: &str, now: Instant, change: &mut ViewChange) {
        if !self.upstreams.contains_key(name) {
            return;
        }
        let held_until = self.outage.map(|outage| outage.ended + REREGISTRATION_GRACE);
        if let Some(until) = held_until.filter(|until| *until > now) {
            self.held.entry(name.to_owned()).or_insert(until);
            change.held.push(name.to_owned());
            return;
        }
        self.held.remove(name);
        self.upstreams.remove(name);
        change.deletes.push(name.to_owned());
    }
}

fn log_errors(errors: &[SpecError]) {
    for error in errors.iter().take(MAX_LOGGED_ERRORS) {
        log::warn!(
            target: "config",
            "{}: skipped an invalid object kind={} name={} reason={}",
            error.code,
            error.kind.as_str(),
            error.name,
            error.message,
        );
    }
}
