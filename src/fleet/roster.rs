//! Roster of a failure domain: the object in the store that lists its entries.
//!
//! ```text
//! new entry: read roster -> message to the listed entries -> read roster until it is listed
//! writer: the first live listed entry -> adds the live entries that are not listed, in one write
//! ```
//!
//! One object for a domain in place of one for each entry: reading who is registered takes one page
//! whatever the number of entries, and entries that start together are added by one write.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::fleet::load_update::name_digest;
use crate::fleet::peer_table::{EntryRegistration, REGISTRATION_SHAPE};
use crate::platform::{FieldShape, ObjectEnvelope, Revision, SpecShape};

/// Object kind of the rosters; their names are those of the failure domains.
pub(super) const ROSTER_KIND: &str = "heatherfall-rosters";

/// Shape of a [`RosterSpec`].
pub(super) const ROSTER_SHAPE: SpecShape = SpecShape::Record(&[FieldShape {
    name: "entries",
    shape: SpecShape::Map(&REGISTRATION_SHAPE),
}]);

/// Binary logarithm of the number of groups that entries are divided into by their names.
const CREATOR_GROUPS_LOG2: u32 = 5;

/// Registered entries of a failure domain by VM.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct DomainRoster {
    /// The entries.
    pub entries: BTreeMap<String, EntryRegistration>,
    /// Version of the object's spec; none if the store has no object.
    pub version: Option<Revision>,
}

/// Spec of a roster object.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
struct RosterSpec {
    entries: BTreeMap<String, serde_json::Value>,
}

impl DomainRoster {
    /// Decodes an object. Invalid records are skipped with a log line; an object that is no roster
    /// lists nobody, and will be overwritten.
    pub fn decode(object: &ObjectEnvelope) -> Self {
        let mut roster = Self { version: Some(object.spec_version), ..Self::default() };
        let spec: RosterSpec = match serde_json::from_value(object.spec.clone()) {
            Ok(spec) => spec,
            Err(error) => {
                let name = &object.name;
                log::warn!(target: "peer", "ignored an invalid roster name={name} reason={error}");
                return roster;
            }
        };
        let mut invalid = 0;
        for (vm, value) in spec.entries {
            match serde_json::from_value(value) {
                Ok(registration) => drop(roster.entries.insert(vm, registration)),
                Err(_) => invalid += 1,
            }
        }
        if invalid > 0 {
            let name = &object.name;
            log::warn!(target: "peer", "ignored invalid records of a roster name={name} count={invalid}");
        }
        roster
    }

    /// The spec that lists these entries.
    pub fn encode(&self) -> serde_json::Value {
        serde_json::json!({ "entries": self.entries })
    }

    /// Whether the entry is listed with these addresses.
    pub fn lists(&self, vm: &str, registration: &EntryRegistration) -> bool {
        self.entries.get(vm) == Some(registration)
    }

    /// This roster with `live` added; none if it lists them all.
    pub fn with(&self, live: BTreeMap<String, EntryRegistration>) -> Option<Self> {
        let mut roster = self.clone();
        roster.entries.extend(live);
        (roster.entries != self.entries).then_some(roster)
    }
}

/// Whether an entry may create what the store lacks in this round of its enrolment, counted from 0.
///
/// The entries of a new deployment start together, and for a while their reads may miss what one of
/// them has created. One group of 32 may create in the first round, and twice as many in each
/// further one, so that few attempts are in vain and none waits for an entry that never started.
pub fn may_create(vm: &str, round: u32) -> bool {
    const FIBONACCI_MULTIPLIER: u32 = 0x9e37_79b9;
    let mixed = name_digest(vm).wrapping_mul(FIBONACCI_MULTIPLIER);
    let group = mixed >> (u32::BITS - CREATOR_GROUPS_LOG2);
    group < 1 << round.min(CREATOR_GROUPS_LOG2)
}
