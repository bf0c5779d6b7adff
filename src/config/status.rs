//! What the system reports back on an object.

use heatherfall_platform_api::{ObjectEnvelope, Revision};
use serde::{Deserialize, Serialize};

use crate::config::generation::GenerationContent;
use crate::core::{GenerationNumber, VmId};

/// How far a version of an object has come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// The version cannot be used; the version before it, if any, stays in force.
    Rejected,
    /// The version is part of a published generation.
    Accepted,
    /// Every node applies the version, or refuses what could contradict it.
    InForce,
}

/// Status of an object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectStatus {
    /// Spec version that the status is about.
    pub spec_version: Revision,
    /// How far it has come.
    pub phase: RolloutPhase,
    /// First generation that holds the version that is in force.
    pub generation: Option<GenerationNumber>,
    /// Result code of a rejected version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<String>,
    /// What is wrong with a rejected version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// Live nodes that have not reported the generation yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waiting_for: Vec<VmId>,
    /// Nodes that have not reported the generation and, without a confirmation for longer than
    /// the limit, refuse what could contradict it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub restricted: Vec<VmId>,
}

/// What a node is known to apply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeGeneration {
    /// The node.
    pub vm: VmId,
    /// Generation in its last heartbeat.
    pub generation: GenerationNumber,
}

/// Whether every node that was last confirmed before a generation was published has by now
/// restricted itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfirmationExpiry {
    /// Some nodes may still count an older generation as the newest.
    Pending,
    /// None can.
    Elapsed,
}

/// The status that `object` should have, or nothing if `content` does not know this version yet.
pub fn status_of(
    object: &ObjectEnvelope,
    content: &GenerationContent,
    nodes: &[NodeGeneration],
    limit: impl Fn(GenerationNumber) -> ConfirmationExpiry,
) -> Option<ObjectStatus> {
    let in_force = content.find(&object.kind, &object.name);
    let mut status = ObjectStatus {
        spec_version: object.spec_version,
        phase: RolloutPhase::Rejected,
        generation: in_force.map(|known| known.since),
        code: None,
        message: None,
        waiting_for: Vec::new(),
        restricted: Vec::new(),
    };
    if let Some(rejected) = content.find_rejected(&object.kind, &object.name)
        && rejected.version == object.spec_version
    {
        status.code = Some(rejected.code.clone());
        status.message = Some(rejected.message.clone());
        return Some(status);
    }
    let in_force = in_force.filter(|known| known.version == object.spec_version)?;
    let mut late = Vec::new();
    for node in nodes {
        if node.generation < in_force.since {
            late.push(node.vm.clone());
        }
    }
    if late.is_empty() || limit(in_force.since) == ConfirmationExpiry::Elapsed {
        status.phase = RolloutPhase::InForce;
        status.restricted = late;
    } else {
        status.phase = RolloutPhase::Accepted;
        status.waiting_for = late;
    }
    Some(status)
}
