//! A store whose history went back.
//!
//! After a restore from a copy, revisions are assigned again, so nothing that was read before can be
//! compared by revision. The view is read anew, and what it already knew is weighed against what the
//! store lists:
//!
//! | known before | listed by the restored store | in the view |
//! | --- | --- | --- |
//! | configuration | older generation | the known one, until a newer one is written |
//! | upstream | older statement of it | the known statement, for example that it drains |
//! | upstream | nothing | held for the grace period, since upstreams register again |
//! | upstream removed | the registration that was removed | not used, until it registers again |

use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::codec::DeploymentCodec;
use crate::fleet::view::upstream_record::{UpstreamRecord, is_restored_older};
use crate::fleet::view::{ActiveConfig, DeploymentView, REREGISTRATION_GRACE};
use crate::fleet::view_change::ViewChange;
use crate::platform::{ObjectEnvelope, ObjectList, StorePosition};

/// Time after a restore for which an evacuation that the store has lost stays in force. The operator
/// writes it again, at a time that is not known; a domain that is used too early breaks what was
/// promised, one that is used too late costs some capacity.
const EVACUATION_HOLD: Duration = Duration::from_secs(15);

impl<D: DeploymentCodec> DeploymentView<D> {
    /// Replaces what was read before the store's history went back by a complete list of the
    /// upstreams. The configuration has to be read after it.
    pub fn restart_history(&mut self, list: ObjectList, now: Instant) -> ViewChange {
        self.position = list.position();
        self.config_position = StorePosition { era: list.era, revision: 0 };
        self.config_known = 0;
        self.evacuations.hold_missing(now + EVACUATION_HOLD);
        let mut change = self.change_from_here();
        let mut known = std::mem::take(&mut self.upstreams);
        for object in list.items {
            let known = known.remove(&object.name);
            self.held.remove(&object.name);
            let record = self.restored_record(&object, known, now);
            self.upstreams.insert(object.name.clone(), record);
            change.puts.push(object);
        }
        for (name, record) in known {
            self.hold(&name, now + REREGISTRATION_GRACE);
            self.upstreams.insert(name.clone(), UpstreamRecord { version: 0, ..record });
            change.held.push(name);
        }
        self.finish(change)
    }

    /// Record of an upstream that the restored store lists, and that was `known` before.
    fn restored_record(
        &self,
        object: &ObjectEnvelope,
        known: Option<UpstreamRecord>,
        now: Instant,
    ) -> UpstreamRecord {
        let version = object.version;
        let Some(listed) = self.decode_upstream(object) else {
            return UpstreamRecord { version, upstream: None };
        };
        let is_departed = known.is_none() && self.departed.contains(&listed, version, now);
        if is_departed {
            return UpstreamRecord { version, upstream: None };
        }
        let known = known.and_then(|known| known.upstream);
        let known = known.filter(|known| is_restored_older(&listed, known));
        UpstreamRecord { version, upstream: Some(known.unwrap_or(listed)) }
    }

    fn hold(&mut self, name: &str, until: Instant) {
        let held_until = self.held.entry(name.to_owned()).or_insert(until);
        *held_until = until.max(*held_until);
    }

    /// Applies a configuration object that a peer has sent, or that was read without the upstreams. One
    /// that was read in another era than the view is newer only by its generation.
    pub(in crate::fleet) fn apply_config_of_any_era(
        &mut self,
        object: ObjectEnvelope,
    ) -> ViewChange {
        if object.era == self.position.era {
            return self.apply_config(object);
        }
        let mut change = self.change_from_here();
        // An entry that reads it in the era of its view logs what is wrong with it.
        let Ok(declared) = self.codec.config(&object) else { return change };
        if self.generation().is_some_and(|present| declared.generation <= present) {
            return change;
        }
        log::info!(
            target: "config",
            "generation={} read in another era era={}",
            declared.generation,
            object.era,
        );
        self.config = Some(ActiveConfig { object: object.clone(), declared });
        self.replace_base(Instant::now());
        change.config = Some(object);
        change
    }

    /// The active configuration, if it is not the one that the store has since its history went
    /// back.
    pub fn kept_config(&self) -> Option<ViewChange> {
        let config = self.config.as_ref()?;
        if config.object.position() == self.config_position {
            return None;
        }
        Some(ViewChange { config: Some(config.object.clone()), ..self.change_from_here() })
    }
}
