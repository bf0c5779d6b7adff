//! The last known configuration and upstreams of a deployment.
//!
//! The view never goes back to an older configuration. An upstream that is missing after the store
//! was away is kept for a while, because entries may have lapsed meanwhile and come back.

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

/// Time after the store's return for which a missing upstream is kept: the platform says that
/// entries are back within about two seconds.
const LAPSE_GRACE: Duration = Duration::from_millis(2200);
/// Faulty objects that are logged between two good states, so that they cannot flood the log.
const MAX_LOGGED_FAULTS: usize = 8;

/// The view.
#[derive(Debug)]
pub struct DeploymentView<D> {
    codec: D,
    revision: Revision,
    config: Option<(Revision, DeclaredConfig)>,
    config_known: Revision,
    upstreams: BTreeMap<String, ViewEntry>,
    /// Until when entries that are missing after an outage are kept.
    held: BTreeMap<String, Instant>,
    outage: Option<StoreOutage>,
    /// What the configuration compiles to without upstreams; none after it changed.
    rules: Option<ConfigSnapshot>,
    digest: u64,
}

/// A time in which the store could not be reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreOutage {
    /// When the view was last confirmed before it.
    pub began: Instant,
    /// When the store answered again.
    pub ended: Instant,
}

/// An entry of the store and what it names.
#[derive(Clone, Debug)]
struct ViewEntry {
    version: Revision,
    /// None for an entry that names no upstream.
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
            rules: None,
            digest: 0,
        }
    }

    /// Names of the platform.
    pub fn names(&self) -> PlatformNames {
        self.codec.names()
    }

    /// Revision up to which the upstreams are known; 0 before the first list.
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Number of the configuration.
    pub fn generation(&self) -> Option<GenerationNumber> {
        self.config.as_ref().map(|(_, config)| config.generation)
    }

    /// How far the view has come.
    pub fn watermark(&self) -> ViewWatermark {
        let config_revision = self.config.as_ref().map_or(0, |(revision, _)| *revision);
        let (revision, config_known) = (self.revision, self.config_known);
        ViewWatermark { revision, config_revision, config_known, digest: self.digest }
    }

    /// Records that no configuration newer than the present one existed at `revision`.
    pub fn confirm_config(&mut self, revision: Revision) {
        self.config_known = self.config_known.max(revision);
    }

    /// Records that the store is back after it could not be reached.
    pub fn record_outage(&mut self, outage: StoreOutage) {
        self.outage = Some(outage);
    }

    /// Takes in that the store has been there since `steady_since`, by the word of another entry:
    /// if that is before the last outage, only this entry was cut off, and what is missing has
    /// left. Returns whether upstreams are no longer kept.
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

    /// Takes in a complete list of the upstreams.
    pub fn replace_upstreams(&mut self, list: ObjectList, now: Instant) -> ViewChange {
        if list.revision < self.revision {
            log::warn!(
                target: "store",
                "list is older than what is known, not used revision={} known={}",
                list.revision,
                self.revision,
            );
            return self.change_from(self.revision);
        }
        let mut change = self.change_from(self.revision);
        let mut missing: BTreeSet<String> = self.upstreams.keys().cloned().collect();
        for object in list.items {
            missing.remove(&object.name);
            self.put(object, &mut change);
        }
        for name in missing {
            self.remove(&name, now, &mut change);
        }
        self.revision = list.revision;
        change.revision = list.revision;
        self.refresh_digest();
        change
    }

    /// Takes in the changes of a watch that began at the revision `since`.
    ///
    /// The view may have moved on meanwhile, by what other entries told.
    pub fn apply_batch(&mut self, batch: WatchBatch, since: Revision, now: Instant) -> ViewChange {
        let mut change = self.change_from(self.revision);
        // The revision counts every change of the store; what moved it beyond the events may have
        // been the configuration.
        let moved = batch.revision.saturating_sub(since);
        if moved <= batch.events.len() as u64 && self.config_known >= since {
            self.config_known = self.config_known.max(batch.revision);
        }
        for event in batch.events {
            match event {
                WatchEvent::Put { object } => self.put(object, &mut change),
                WatchEvent::Delete { name, revision, .. } => {
                    let known = self.upstreams.get(&name).map_or(0, |object| object.version);
                    if revision >= known {
                        self.remove(&name, now, &mut change);
                    }
                }
            }
        }
        self.revision = self.revision.max(batch.revision);
        change.revision = self.revision;
        self.refresh_digest();
        change
    }

    /// Takes in the configuration object; an older one than the present is not used.
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
                    "configuration not usable, last one kept revision={} reason={error}",
                    object.version,
                );
                return change;
            }
        };
        if known.is_some_and(|(_, present)| config.generation < present.generation) {
            log::warn!(
                target: "config",
                "older generation not used generation={} present={:?}",
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
        self.rules = None;
        change.config = Some(object);
        change
    }

    /// Takes in a change that another entry read from the store, and returns what it changed here.
    /// One that does not fit on what is known is left; the mark of the next message shows what is
    /// missing.
    pub fn apply_change(&mut self, change: ViewChange, now: Instant) -> ViewChange {
        let mut own = self.change_from(self.revision);
        if let Some(config) = change.config {
            own.config = self.apply_config(config).config;
        }
        if change.base > self.revision || change.revision < self.revision {
            return own;
        }
        for object in change.puts {
            self.put(object, &mut own);
        }
        for name in change.deletes {
            self.held.remove(&name);
            if self.upstreams.remove(&name).is_some() {
                own.deletes.push(name);
            }
        }
        for name in change.held {
            if self.upstreams.contains_key(&name) && !self.held.contains_key(&name) {
                self.held.insert(name.clone(), now + LAPSE_GRACE);
                own.held.push(name);
            }
        }
        self.revision = change.revision;
        own.revision = change.revision;
        self.refresh_digest();
        own
    }

    /// Removes the upstreams that have not come back after an outage.
    pub fn expire(&mut self, now: Instant) -> ViewChange {
        let mut change = self.change_from(self.revision);
        let mut due = Vec::new();
        for (name, until) in &self.held {
            if *until <= now {
                due.push(name.clone());
            }
        }
        for name in due {
            self.held.remove(&name);
            self.upstreams.remove(&name);
            change.deletes.push(name);
        }
        if !change.deletes.is_empty() {
            self.refresh_digest();
        }
        change
    }

    /// When [`Self::expire`] has something to do.
    pub fn next_expiry(&self) -> Option<Instant> {
        self.held.values().min().copied()
    }

    /// Compiles the view; none before there is a configuration.
    pub fn compile(&mut self, previous: Option<&ConfigSnapshot>) -> Option<ConfigSnapshot> {
        let (config_revision, config) = self.config.as_ref()?;
        if self.rules.is_none() {
            let mut objects = ObjectSet::default();
            set_config_objects(&mut objects, config, *config_revision);
            let outcome = compile(&objects, config.generation, None);
            log_faults(&outcome.errors);
            self.rules = Some(outcome.snapshot);
        }
        let rules = self.rules.as_ref()?;
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
        Some(with_upstreams(rules, declared, previous))
    }

    /// Writes the line of a change of the upstreams, which came from `source`.
    pub fn log_change(&self, change: &ViewChange, source: &str) {
        if !change.has_upstreams() {
            // The line of the configuration says the rest.
            return;
        }
        let (mut ready, mut draining) = (NameList::default(), NameList::default());
        for object in &change.puts {
            match self.codec.upstream(object) {
                Ok(upstream) if upstream.is_draining => draining.push(&object.name),
                Ok(_) => ready.push(&object.name),
                // The line of the compilation names it.
                Err(_) => {}
            }
        }
        let (mut gone, mut kept) = (NameList::default(), NameList::default());
        for name in &change.deletes {
            gone.push(name);
        }
        for name in &change.held {
            kept.push(name);
        }
        log::info!(
            target: "upstream",
            "changed source={source} base={} revision={} ready={ready} draining={draining} gone={gone} kept={kept}",
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

    fn put(&mut self, object: ObjectEnvelope, change: &mut ViewChange) {
        self.held.remove(&object.name);
        let known = self.upstreams.get(&object.name);
        if known.is_some_and(|known| known.version >= object.version) {
            return;
        }
        let upstream = match self.codec.upstream(&object) {
            Ok(upstream) => Some(upstream),
            Err(error) => {
                log::warn!(target: "upstream", "entry names none instance={} reason={error}", object.name);
                None
            }
        };
        let entry = ViewEntry { version: object.version, upstream };
        self.upstreams.insert(object.name.clone(), entry);
        change.puts.push(object);
    }

    fn remove(&mut self, name: &str, now: Instant, change: &mut ViewChange) {
        if !self.upstreams.contains_key(name) {
            return;
        }
        let grace_end = self.outage.map(|outage| outage.ended + LAPSE_GRACE);
        if let Some(until) = grace_end.filter(|until| *until > now) {
            self.held.entry(name.to_owned()).or_insert(until);
            change.held.push(name.to_owned());
            return;
        }
        self.held.remove(name);
        self.upstreams.remove(name);
        change.deletes.push(name.to_owned());
    }
}

fn log_faults(faults: &[SpecError]) {
    for fault in faults.iter().take(MAX_LOGGED_FAULTS) {
        log::warn!(
            target: "config",
            "{}: object left out kind={} name={} reason={}",
            fault.code,
            fault.kind.as_str(),
            fault.name,
            fault.message,
        );
    }
}
