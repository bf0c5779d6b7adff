//! The last known configuration and upstreams of a deployment.
//!
//! The view never goes back to an older configuration, not even if the store does. An upstream that
//! is missing after a store outage is held in the view for a grace period: its lease may have expired
//! because it could not renew it, and it may register again.

mod compilation;
mod history;
mod replaced_config;
mod upstream_record;

use std::cmp::Ordering;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use tokio::time::Instant;

use crate::core::{ConfigSnapshot, GenerationNumber};
use crate::fleet::codec::{DeclaredConfig, DeploymentCodec, PlatformNames, RegisteredUpstream};
use crate::fleet::evacuation::{EvacuatedDomains, EvacuationRecord};
use crate::fleet::other_writes::OtherWrites;
use crate::fleet::view::replaced_config::ReplacedConfig;
use crate::fleet::view::upstream_record::{DepartedUpstreams, UpstreamRecord, is_same_lifetime};
use crate::fleet::view_change::entry_digest;
pub use crate::fleet::view_change::{ViewChange, ViewWatermark};
use crate::platform::{
    ObjectEnvelope, ObjectList, Revision, StorePosition, WatchBatch, WatchEvent,
};
use crate::util::shortened;

/// Time after the end of a store outage for which missing upstreams are held. The platform states
/// that upstreams register again within about two seconds.
const REREGISTRATION_GRACE: Duration = Duration::from_millis(2200);
/// The configuration and the upstreams as last read from the store or received from a peer.
#[derive(Debug)]
pub struct DeploymentView<D> {
    codec: D,
    /// Position up to which upstream changes are known.
    position: StorePosition,
    config: Option<ActiveConfig>,
    /// Position of the configuration object that the store has; revision 0 before it was read in
    /// this era.
    config_position: StorePosition,
    /// Revision in this era up to which no newer configuration exists.
    config_known: Revision,
    /// Whether the store's configuration cannot be decoded, so that an older one is active.
    is_config_unreadable: bool,
    upstreams: BTreeMap<String, UpstreamRecord>,
    /// Upstreams that are missing after an outage, and when each is removed.
    held: BTreeMap<String, Instant>,
    /// Upstreams that were removed recently; a restored store may list them again.
    departed: DepartedUpstreams,
    outage: Option<StoreOutage>,
    /// The compiled configuration without upstreams. Cleared when the configuration changes.
    base_snapshot: Option<ConfigSnapshot>,
    /// Configurations that were replaced a moment ago.
    replaced: Vec<ReplacedConfig>,
    digest: u64,
    /// Region of each failure domain, as far as the settings name it.
    regions: BTreeMap<String, String>,
    evacuations: EvacuationRecord,
}

/// A period in which the store could not be reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct StoreOutage {
    /// Last confirmation of the view before the outage.
    pub began: Instant,
    /// First successful store call after it, of this entry or, if known, of a peer that has reached the
    /// store ever since.
    pub ended: Instant,
}

impl StoreOutage {
    /// End of the time for which missing upstreams are held.
    fn grace_end(&self) -> Instant {
        self.ended + REREGISTRATION_GRACE
    }
}

/// The configuration that is compiled, and the object that it was decoded from.
#[derive(Debug)]
struct ActiveConfig {
    object: ObjectEnvelope,
    declared: DeclaredConfig,
}

impl<D: DeploymentCodec> DeploymentView<D> {
    /// Creates an empty view.
    pub fn new(codec: D) -> Self {
        Self {
            codec,
            position: StorePosition::default(),
            config: None,
            config_position: StorePosition::default(),
            config_known: 0,
            is_config_unreadable: false,
            upstreams: BTreeMap::new(),
            held: BTreeMap::new(),
            departed: DepartedUpstreams::default(),
            outage: None,
            base_snapshot: None,
            replaced: Vec::new(),
            digest: 0,
            regions: BTreeMap::new(),
            evacuations: EvacuationRecord::default(),
        }
    }

    /// Sets the region of each failure domain.
    #[must_use]
    pub fn with_regions(self, regions: BTreeMap<String, String>) -> Self {
        Self { regions, ..self }
    }

    /// Tracks the evacuations of failure domains.
    #[must_use]
    pub fn with_evacuations(mut self) -> Self {
        self.evacuations.track();
        self
    }

    /// Whether evacuations are tracked.
    pub fn tracks_evacuations(&self) -> bool {
        self.evacuations.is_tracked()
    }

    /// The evacuated failure domains.
    pub fn evacuated_domains(&self) -> &EvacuatedDomains {
        self.evacuations.domains()
    }

    /// Applies a complete list of the evacuations, one object for each failure domain.
    pub fn apply_evacuations(&mut self, list: ObjectList, now: Instant) -> ViewChange {
        let mut change = self.change_from_here();
        let domains = list.items.into_iter().map(|object| object.name).collect();
        if self.evacuations.apply_list(domains, now) {
            change.evacuations = Some(self.evacuations.domains().clone());
        }
        change
    }

    /// Object kinds and paths of the platform.
    pub fn names(&self) -> PlatformNames {
        self.codec.names()
    }

    /// Store revision up to which upstream changes are known; 0 before the first list.
    pub fn revision(&self) -> Revision {
        self.position.revision
    }

    /// Position up to which upstream changes are known.
    pub fn position(&self) -> StorePosition {
        self.position
    }

    /// Generation of the configuration; `None` before the first one.
    pub fn generation(&self) -> Option<GenerationNumber> {
        self.config.as_ref().map(|config| config.declared.generation)
    }

    /// Revisions and digest by which entries compare their views.
    pub fn watermark(&self) -> ViewWatermark {
        ViewWatermark {
            era: self.position.era,
            revision: self.position.revision,
            config_revision: self.config_position.revision,
            config_known: self.config_known,
            generation: self.generation().map_or(0, |generation| generation.0),
            digest: self.digest,
            evacuations: self.evacuations.digest(),
        }
    }

    /// Number of registrations that are invalid, and name no upstream to use.
    pub(in crate::fleet) fn invalid_registrations(&self) -> usize {
        self.upstreams.values().filter(|record| record.upstream.is_none()).count()
    }

    /// Whether the store has a configuration that cannot be decoded.
    pub(in crate::fleet) fn has_unreadable_config(&self) -> bool {
        self.is_config_unreadable
    }

    /// Whether the store's configuration was read in the era of the view.
    pub(in crate::fleet) fn has_read_config(&self) -> bool {
        self.config_position.revision > 0
    }

    /// Whether `object`, read in the era of the view, is older than the configuration that was read
    /// before.
    pub(in crate::fleet) fn has_newer_config(&self, object: &ObjectEnvelope) -> bool {
        object.position() < self.config_position
    }

    /// Records that no configuration newer than the current one existed at `revision`.
    pub fn confirm_config(&mut self, revision: Revision) {
        self.config_known = self.config_known.max(revision);
    }

    /// Moves this view to the revision of a peer's, if nothing that it contains has changed since its
    /// own.
    pub fn fast_forward(&mut self, peer: &ViewWatermark) {
        if self.watermark().is_unchanged_in(peer) {
            self.position.revision = peer.revision;
        }
    }

    /// Records an outage that has ended. Upstreams that are missing within the grace period after
    /// it are held.
    pub fn record_outage(&mut self, outage: StoreOutage) {
        self.outage = Some(outage);
    }

    /// Adapts the recorded outage to another entry that has reached the store since `steady_since`: the
    /// outage had ended by then, or, if that was before it began, only this entry was partitioned, and
    /// upstreams that are missing have left. Returns whether held upstreams are to be removed.
    pub fn refute_outage(&mut self, steady_since: Instant, now: Instant) -> bool {
        let Some(outage) = self.outage else { return false };
        if steady_since >= outage.ended {
            return false;
        }
        let ended_earlier = StoreOutage { ended: steady_since, ..outage };
        let is_refuted = steady_since <= outage.began;
        self.outage = (!is_refuted).then_some(ended_earlier);
        for until in self.held.values_mut() {
            if is_refuted {
                *until = now;
            } else if *until == outage.grace_end() {
                *until = ended_earlier.grace_end();
            }
        }
        self.held.values().any(|until| *until <= now)
    }

    /// Applies a complete list of the upstreams in the era of the view. A list older than the view
    /// is ignored, and so is one of another era, which only [`Self::restart_history`] can apply: what
    /// the view knows of the configuration has a revision of its own era.
    pub fn replace_upstreams(&mut self, list: ObjectList, now: Instant) -> ViewChange {
        let mut change = self.change_from_here();
        let is_other_era = self.position.revision > 0 && list.era != self.position.era;
        if is_other_era || list.position() < self.position {
            log::warn!(
                target: "store",
                "ignored a list older than the view, or of another era revision={} known={} era={} known_era={}",
                list.revision,
                self.position.revision,
                list.era,
                self.position.era,
            );
            return change;
        }
        let mut missing: BTreeSet<String> = self.upstreams.keys().cloned().collect();
        self.position = list.position();
        for object in list.items {
            missing.remove(&object.name);
            self.put_upstream(object, &mut change);
        }
        for name in missing {
            self.remove_upstream(&name, now, &mut change);
        }
        self.finish(change)
    }

    /// Applies the events of a watch that started at the revision `since`, in the era of the view.
    ///
    /// Changes from peers may have advanced the view while the watch was waiting.
    pub fn apply_batch(&mut self, batch: WatchBatch, since: Revision, now: Instant) -> ViewChange {
        let mut change = self.change_from_here();
        // One of the other writes may have been the configuration.
        if OtherWrites::beside(&batch, since).is_empty() && self.config_known >= since {
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
        self.position.revision = self.position.revision.max(batch.revision);
        self.finish(change)
    }

    /// Applies the configuration object. One that is older than the current one, by position or by
    /// generation, or that cannot be decoded is ignored.
    pub fn apply_config(&mut self, object: ObjectEnvelope) -> ViewChange {
        let mut change = self.change_from_here();
        if self.config.is_some() && object.position() <= self.config_position {
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
                self.is_config_unreadable = true;
                return change;
            }
        };
        self.is_config_unreadable = false;
        if self.generation().is_some_and(|present| config.generation < present) {
            log::warn!(
                target: "config",
                "ignored a configuration with an older generation generation={} present={:?}",
                config.generation,
                self.generation(),
            );
            self.config_position = self.config_position.max(object.position());
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
        self.config_position = object.position();
        self.config = Some(ActiveConfig { object: object.clone(), declared: config });
        self.replace_base(Instant::now());
        change.config = Some(object);
        change
    }

    /// Applies a change that another entry read from the store, and returns what it changed here.
    /// Upstream changes that do not connect to this view's revision are ignored; the watermark of
    /// the next message then shows the gap.
    pub fn apply_change(&mut self, change: ViewChange, now: Instant) -> ViewChange {
        let mut own = self.change_from_here();
        if let Some(config) = change.config {
            own.config = self.apply_config_of_any_era(config).config;
        }
        let is_connected = change.era == self.position.era
            && change.base <= self.position.revision
            && change.revision >= self.position.revision;
        if !is_connected {
            return own;
        }
        for object in change.puts {
            self.put_upstream(object, &mut own);
        }
        for name in change.deletes {
            if self.upstreams.contains_key(&name) {
                self.depart(&name, now);
                own.deletes.push(name);
            }
        }
        for name in change.held {
            if self.upstreams.contains_key(&name) && !self.held.contains_key(&name) {
                self.held.insert(name.clone(), now + REREGISTRATION_GRACE);
                own.held.push(name);
            }
        }
        if let Some(domains) = change.evacuations
            && self.evacuations.apply_peer(domains)
        {
            own.evacuations = Some(self.evacuations.domains().clone());
        }
        self.position.revision = change.revision;
        self.finish(own)
    }

    /// Removes held upstreams whose grace period is over.
    pub fn expire(&mut self, now: Instant) -> ViewChange {
        let mut change = self.change_from_here();
        let mut expired = Vec::new();
        for (name, until) in &self.held {
            if *until <= now {
                expired.push(name.clone());
            }
        }
        for name in expired {
            self.depart(&name, now);
            change.deletes.push(name);
        }
        if !change.deletes.is_empty() {
            self.refresh_digest();
        }
        if self.evacuations.expire(now) {
            change.evacuations = Some(self.evacuations.domains().clone());
        }
        change
    }

    /// Earliest time at which [`Self::expire`] changes the view.
    pub fn next_expiry(&self) -> Option<Instant> {
        let held = self.held.values().min().copied();
        held.into_iter().chain(self.evacuations.next_expiry()).min()
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

    /// A change that begins at the current position.
    fn change_from_here(&self) -> ViewChange {
        let StorePosition { era, revision } = self.position;
        ViewChange { base: revision, revision, era, ..ViewChange::default() }
    }

    /// Completes a change that has been applied.
    fn finish(&mut self, mut change: ViewChange) -> ViewChange {
        change.era = self.position.era;
        change.revision = self.position.revision;
        self.refresh_digest();
        change
    }

    /// Removes an upstream and remembers what it last stated.
    fn depart(&mut self, name: &str, now: Instant) {
        self.held.remove(name);
        if let Some(record) = self.upstreams.remove(name) {
            self.departed.insert(name, record, now);
        }
    }

    fn put_upstream(&mut self, object: ObjectEnvelope, change: &mut ViewChange) {
        self.held.remove(&object.name);
        let known = self.upstreams.get(&object.name);
        if known.is_some_and(|known| known.version >= object.version) {
            return;
        }
        let known = known.and_then(|known| known.upstream.as_ref());
        let upstream = self.decode_upstream(&object);
        let is_repeated = upstream.as_ref().zip(known).is_some_and(|(new, known)| {
            is_same_lifetime(new, known) && new.order.compare(&known.order) == Some(Ordering::Less)
        });
        let upstream = if is_repeated { known.cloned() } else { upstream };
        let entry = UpstreamRecord { version: object.version, upstream };
        self.upstreams.insert(object.name.clone(), entry);
        change.puts.push(object);
    }

    fn remove_upstream(&mut self, name: &str, now: Instant, change: &mut ViewChange) {
        if !self.upstreams.contains_key(name) {
            return;
        }
        let held_until = self.outage.map(|outage| outage.grace_end());
        if let Some(until) = held_until.filter(|until| *until > now) {
            self.held.entry(name.to_owned()).or_insert(until);
            change.held.push(name.to_owned());
            return;
        }
        self.depart(name, now);
        change.deletes.push(name.to_owned());
    }

    /// Decodes a registration; `None` if it is invalid.
    fn decode_upstream(&self, object: &ObjectEnvelope) -> Option<RegisteredUpstream> {
        match self.codec.upstream(object) {
            Ok(upstream) => Some(upstream),
            Err(error) => {
                let (name, reason) = (shortened(&object.name), error.to_string());
                log::warn!(
                    target: "upstream",
                    "ignored an invalid registration instance={name:?} reason={:?}",
                    shortened(&reason),
                );
                None
            }
        }
    }
}
