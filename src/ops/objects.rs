//! Reads and writes objects for operators.
//!
//! Every write is conditional on the version that was read. A conflict is reported, never merged.
//! A write whose response was lost is not repeated blindly: the object is read back, and its
//! change id shows whether the write took effect.

use std::io::Read;
use std::path::Path;

use miette::{IntoDiagnostic, WrapErr, miette};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::config::check_object;
use crate::core::{CONFIG_KINDS, ObjectKind, ResultCode};
use crate::ops::object_error::ObjectError;
use crate::platform::{
    LabelMap, ObjectDraft, ObjectEnvelope, PlatformStore, Precondition, StoreError,
};

/// Calls made to find out whether a write with a lost response took effect.
const READ_BACK_ATTEMPTS: u32 = 5;

/// An object as written in a file.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ObjectManifest {
    /// Kind.
    pub kind: ObjectKind,
    /// Name.
    pub name: String,
    /// Labels.
    #[serde(default)]
    pub labels: LabelMap,
    /// Spec.
    pub spec: Value,
}

/// Effect of a write on an object.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyEffect {
    /// The object did not exist.
    Created,
    /// The object had another spec or other labels.
    Changed,
    /// The object already had this spec and these labels; nothing is written.
    Unchanged,
}

impl ApplyEffect {
    /// The word for the effect in commands' output.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Created => "created",
            Self::Changed => "changed",
            Self::Unchanged => "unchanged",
        }
    }
}

/// Reads one manifest or an array of them from a file of JSON with comments.
///
/// # Errors
///
/// Returns an error if the file cannot be read or is not valid JSON, and HF-2001 for an object that
/// is not a manifest or whose kind is unknown.
pub fn read_manifests(path: &Path) -> miette::Result<Vec<ObjectManifest>> {
    let text = std::fs::read_to_string(path).into_diagnostic();
    let text = text.wrap_err_with(|| format!("cannot read {}", path.display()))?;
    parse_manifests(&text).wrap_err_with(|| format!("in {}", path.display()))
}

/// Parses one manifest or an array of them from JSON with comments.
///
/// # Errors
///
/// Returns an error for invalid JSON, and HF-2001 for an object that is not a manifest or
/// whose kind is unknown.
pub fn parse_manifests(text: &str) -> miette::Result<Vec<ObjectManifest>> {
    let mut plain = String::with_capacity(text.len());
    json_comments::StripComments::new(text.as_bytes())
        .read_to_string(&mut plain)
        .into_diagnostic()
        .wrap_err("unterminated comment")?;
    let value: Value = serde_json::from_str(&plain).into_diagnostic()?;
    let values = match value {
        Value::Array(values) => values,
        value => vec![value],
    };
    let mut manifests = Vec::with_capacity(values.len());
    for (index, value) in values.into_iter().enumerate() {
        let manifest: ObjectManifest =
            serde_path_to_error::deserialize(value).map_err(|error| {
                let code = ResultCode::SpecMalformed;
                miette!("{code}: object {index}: {}: {}", error.path(), error.inner())
            })?;
        manifests.push(manifest);
    }
    Ok(manifests)
}

/// Parses the name of a configuration kind, in any case.
///
/// # Errors
///
/// Returns HF-2003 with the list of known kinds.
pub fn parse_kind(name: &str) -> miette::Result<ObjectKind> {
    for kind in CONFIG_KINDS {
        if kind.as_str().eq_ignore_ascii_case(name) {
            return Ok(kind);
        }
    }
    let known: Vec<&str> = CONFIG_KINDS.iter().map(|kind| kind.as_str()).collect();
    Err(miette!("{}: {name:?}; kinds are {}", ResultCode::KindUnknown, known.join(", ")))
}

/// A planned write, compared with the stored object.
#[derive(Clone, Debug)]
pub struct ObjectChange {
    /// The object to write.
    pub manifest: ObjectManifest,
    /// The stored object, if it exists.
    pub current: Option<ObjectEnvelope>,
}

impl ObjectChange {
    /// Effect that the write has.
    pub fn effect(&self) -> ApplyEffect {
        match &self.current {
            None => ApplyEffect::Created,
            Some(current)
                if current.spec == self.manifest.spec && current.labels == self.manifest.labels =>
            {
                ApplyEffect::Unchanged
            }
            Some(_) => ApplyEffect::Changed,
        }
    }
}

/// Validates a manifest and compares it with the stored object; writes nothing.
///
/// # Errors
///
/// Returns HF-2001 for an invalid spec and HF-3001 if the platform does not respond.
pub async fn plan<S: PlatformStore>(
    store: &S,
    manifest: ObjectManifest,
) -> Result<ObjectChange, ObjectError> {
    check_object(manifest.kind, &manifest.name, &manifest.spec).map_err(ObjectError::Malformed)?;
    let current = match store.get(manifest.kind.as_str(), &manifest.name).await {
        Ok(object) => Some(object),
        Err(StoreError::NotFound) => None,
        Err(error) => return Err(ObjectError::Unavailable(error)),
    };
    Ok(ObjectChange { manifest, current })
}

/// Writes one object, conditional on the version read just before.
///
/// # Errors
///
/// Returns HF-2001 for an invalid spec, HF-2004 if another writer changed the object in between,
/// HF-3001 if the platform does not respond, and HF-3002 if it remains unknown whether the write
/// took effect.
pub async fn apply<S: PlatformStore>(
    store: &S,
    manifest: ObjectManifest,
) -> Result<ApplyEffect, ObjectError> {
    let change = plan(store, manifest).await?;
    let effect = change.effect();
    if effect == ApplyEffect::Unchanged {
        return Ok(effect);
    }
    let precondition = match &change.current {
        Some(current) => Precondition::SpecVersion(current.spec_version),
        None => Precondition::Absent,
    };
    let draft = ObjectDraft {
        kind: change.manifest.kind.as_str().to_owned(),
        name: change.manifest.name,
        labels: change.manifest.labels,
        spec: change.manifest.spec,
        change_id: uuid::Uuid::now_v7().to_string(),
    };
    put_and_confirm(store, draft, precondition).await?;
    Ok(effect)
}

/// Deletes one object, conditional on the version read just before.
///
/// A delete whose response was lost is retried on the same version, so that it cannot remove what
/// another operator has written since.
///
/// # Errors
///
/// Returns HF-2007 if the object does not exist, HF-2004 if it changed in between, HF-3001 if the
/// platform does not respond, and HF-3002 if it remains unknown whether the delete took effect.
pub async fn delete<S: PlatformStore>(
    store: &S,
    kind: ObjectKind,
    name: &str,
) -> Result<(), ObjectError> {
    let kind = kind.as_str();
    let current = match store.get(kind, name).await {
        Ok(object) => object,
        Err(StoreError::NotFound) => return Err(ObjectError::missing(kind, name)),
        Err(error) => return Err(ObjectError::Unavailable(error)),
    };
    let mut is_effect_unknown = false;
    for _ in 0..READ_BACK_ATTEMPTS {
        match store.delete(kind, name, current.spec_version).await {
            Ok(()) => return Ok(()),
            Err(StoreError::NotFound) if is_effect_unknown => return Ok(()),
            Err(StoreError::NotFound) => return Err(ObjectError::missing(kind, name)),
            Err(StoreError::Conflict(found)) => {
                return Err(ObjectError::conflict(kind, name, found));
            }
            Err(error) if error.is_effect_unknown() => is_effect_unknown = true,
            Err(error) if !is_effect_unknown => return Err(ObjectError::Unavailable(error)),
            Err(_) => {}
        }
    }
    Err(ObjectError::effect_unknown(kind, name))
}

/// Writes `draft`. If the response is lost, reads the object back: its change id shows whether this
/// write took effect.
async fn put_and_confirm<S: PlatformStore>(
    store: &S,
    draft: ObjectDraft,
    precondition: Precondition,
) -> Result<(), ObjectError> {
    let (kind, name) = (draft.kind.clone(), draft.name.clone());
    let change_id = draft.change_id.clone();
    match store.put(draft, precondition).await {
        Ok(_) => return Ok(()),
        Err(StoreError::Conflict(found)) => return Err(ObjectError::conflict(&kind, &name, found)),
        Err(error) if !error.is_effect_unknown() => return Err(ObjectError::Unavailable(error)),
        Err(_) => {}
    }
    for _ in 0..READ_BACK_ATTEMPTS {
        match store.get(&kind, &name).await {
            Ok(object) if object.change_id == change_id => return Ok(()),
            Ok(object) => return Err(ObjectError::conflict(&kind, &name, Some(Box::new(object)))),
            Err(StoreError::NotFound) => break,
            Err(_) => continue,
        }
    }
    Err(ObjectError::effect_unknown(&kind, &name))
}
