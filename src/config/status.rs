//! Statuses that the compiler writes to configuration objects.

use heatherfall_platform_api::{ObjectEnvelope, Revision};
use serde::{Deserialize, Serialize};

use crate::config::generation::GenerationContent;
use crate::core::{GenerationNumber, VmId};

/// Rollout phase of a version of an object.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutPhase {
    /// The version is invalid; the previous version, if any, stays active.
    Rejected,
    /// The version is part of a published generation.
    Accepted,
    /// Every node applies the version, or refuses requests that could contradict it.
    InForce,
}

/// Status of an object.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ObjectStatus {
    /// Spec version that the status refers to.
    pub spec_version: Revision,
    /// Rollout phase of that version.
    pub phase: RolloutPhase,
    /// First generation that holds the active version.
    pub generation: Option<GenerationNumber>,
    /// Result code of a rejected version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub code: Option<String>,
    /// Error of a rejected version.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub message: Option<String>,
    /// Live nodes that do not report the generation yet.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub waiting_for: Vec<VmId>,
    /// Nodes that do not report the generation and have been without a confirmation for longer than
    /// allowed, so that they refuse requests that could contradict it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub restricted: Vec<VmId>,
}

/// Generation that a node is known to apply.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NodeGeneration {
    /// VM of the node.
    pub vm: VmId,
    /// Generation in the node's last heartbeat.
    pub generation: GenerationNumber,
}

/// Whether the confirmations from before a generation's publication have expired on every node.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfirmationExpiry {
    /// A node may still treat an older generation as the newest.
    Pending,
    /// Every node without the generation has restricted itself.
    Elapsed,
}

/// Returns the status that `object` should have, or `None` if `content` does not include this
/// version yet.
pub fn status_of(
    object: &ObjectEnvelope,
    content: &GenerationContent,
    nodes: &[NodeGeneration],
    confirmation_expiry: impl Fn(GenerationNumber) -> ConfirmationExpiry,
) -> Option<ObjectStatus> {
    let active = content.find(&object.kind, &object.name);
    let mut status = ObjectStatus {
        spec_version: object.spec_version,
        phase: RolloutPhase::Rejected,
        generation: active.map(|known| known.since),
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
    let active = active.filter(|known| known.version == object.spec_version)?;
    let mut pending_nodes = Vec::new();
    for node in nodes {
        if node.generation < active.since {
            pending_nodes.push(node.vm.clone());
        }
    }
    if pending_nodes.is_empty() || confirmation_expiry(active.since) == ConfirmationExpiry::Elapsed
    {
        status.phase = RolloutPhase::InForce;
        status.restricted = pending_nodes;
    } else {
        status.phase = RolloutPhase::Accepted;
        status.waiting_for = pending_nodes;
    }
    Some(status)
}
