//! Rollout progress of object changes, from the statuses that the compiler writes to the objects.

use serde::Serialize;

use crate::config::{ObjectStatus, RolloutPhase};
use crate::core::{CONFIG_KINDS, GenerationNumber, VmId};
use crate::ops::object_error::ObjectError;
use crate::platform::{ObjectEnvelope, PlatformStore, Revision};

/// Rollout progress of the last change of one object.
#[derive(Clone, Debug, Serialize)]
pub struct ObjectProgress {
    /// Kind.
    pub kind: String,
    /// Name.
    pub name: String,
    /// Spec version of the last change.
    pub version: Revision,
    /// Phase of the rollout, or none until the compiler has processed the change.
    pub phase: Option<RolloutPhase>,
    /// First generation that contains this version.
    pub generation: Option<GenerationNumber>,
    /// Nodes that have not yet reported that they apply the generation.
    pub waiting_for: Vec<VmId>,
    /// Nodes that have not reported it, but refuse requests that could contradict it.
    pub restricted: Vec<VmId>,
    /// Why the change was rejected.
    pub message: Option<String>,
}

impl ObjectProgress {
    /// Reads the progress from an object's status. A status of an earlier spec version is ignored,
    /// because it says nothing about the present one.
    pub fn from_envelope(object: &ObjectEnvelope) -> Self {
        let mut progress = Self {
            kind: object.kind.clone(),
            name: object.name.clone(),
            version: object.spec_version,
            phase: None,
            generation: None,
            waiting_for: Vec::new(),
            restricted: Vec::new(),
            message: None,
        };
        let status: Option<ObjectStatus> = serde_json::from_value(object.status.clone()).ok();
        let Some(status) = status.filter(|status| status.spec_version == object.spec_version)
        else {
            return progress;
        };
        progress.phase = Some(status.phase);
        progress.generation = status.generation;
        progress.waiting_for = status.waiting_for;
        progress.restricted = status.restricted;
        progress.message = match (status.code, status.message) {
            (Some(code), Some(message)) => Some(format!("{code}: {message}")),
            (code, message) => code.or(message),
        };
        progress
    }

    /// The word for the phase in commands' output; `pending` before the first.
    pub fn phase_name(&self) -> &'static str {
        match self.phase {
            None => "pending",
            Some(RolloutPhase::Rejected) => "rejected",
            Some(RolloutPhase::Accepted) => "accepted",
            Some(RolloutPhase::InForce) => "in force",
        }
    }
}

/// Reads the rollout progress of every configuration object.
///
/// # Errors
///
/// Returns HF-3001 if the platform does not respond.
pub async fn read_progress<S: PlatformStore>(
    store: &S,
) -> Result<Vec<ObjectProgress>, ObjectError> {
    let mut all = Vec::new();
    for kind in CONFIG_KINDS {
        let list = store.list(kind.as_str(), "").await.map_err(ObjectError::Unavailable)?;
        for object in &list.items {
            all.push(ObjectProgress::from_envelope(object));
        }
    }
    Ok(all)
}
