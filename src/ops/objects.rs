//! Reads, writes and watches objects for operators.
//!
//! Every write is conditional on the version that was read. A conflict is shown, never merged; a
//! write whose answer is lost is recognised by its change id, never blindly repeated.

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

/// Attempts at reading back a write whose answer was lost.
const READ_BACK_ATTEMPTS: u32 = 5;

/// An object in a file.
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

/// What a write did.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ApplyEffect {
    /// The object is new.
    Created,
    /// The object changed.
    Changed,
    /// The object was like this already.
    Unchanged,
}

impl ApplyEffect {
    /// The effect as one word.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Created => "created",
            Self::Changed => "changed",
            Self::Unchanged => "unchanged",
        }
    }
}

/// Reads manifests, one or an array, from a file of JSON with comments.
///
/// # Errors
///
/// Returns HF-2001 or HF-2003 for a file that holds something else.
pub fn read_manifests(path: &Path) -> miette::Result<Vec<ObjectManifest>> {
    let text = std::fs::read_to_string(path).into_diagnostic();
    let text = text.wrap_err_with(|| format!("cannot read {}", path.display()))?;
    parse_manifests(&text).wrap_err_with(|| format!("in {}", path.display()))
}

/// Parses manifests, one or an array.
///
/// # Errors
///
/// Returns HF-2001 or HF-2003 for text that holds something else.
pub fn parse_manifests(text: &str) -> miette::Result<Vec<ObjectManifest>> {
    let mut plain = String::with_capacity(text.len());
    json_comments::StripComments::new(text.as_bytes())
        .read_to_string(&mut plain)
        .into_diagnostic()
        .wrap_err("unfinished comment")?;
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

/// Kind with this name.
///
/// # Errors
///
/// Returns HF-2003 with the names that there are.
pub fn parse_kind(name: &str) -> miette::Result<ObjectKind> {
    for kind in CONFIG_KINDS {
        if kind.as_str().eq_ignore_ascii_case(name) {
            return Ok(kind);
        }
    }
    let known: Vec<&str> = CONFIG_KINDS.iter().map(|kind| kind.as_str()).collect();
    Err(miette!("{}: {name:?}; kinds are {}", ResultCode::KindUnknown, known.join(", ")))
}

/// What writing an object would do.
#[derive(Clone, Debug)]
pub struct ObjectChange {
    /// The object as it should be.
    pub manifest: ObjectManifest,
    /// The object as it is, if it exists.
    pub current: Option<ObjectEnvelope>,
}

impl ObjectChange {
    /// The effect.
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

/// Checks a manifest and compares it with the object as it is; writes nothing.
///
/// # Errors
///
/// Returns HF-2001 for a spec that does not fit and HF-3001 if the platform does not answer.
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
/// Returns HF-2001 for a spec that does not fit, HF-2004 if somebody else wrote in between,
/// HF-3001 if the platform does not answer, and HF-3002 if it stays unknown whether the write
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
/// A delete whose answer is lost is tried again on the same version: that cannot remove what
/// another operator has written since.
///
/// # Errors
///
/// Returns an error as [`apply`] does, HF-2007 if there is no such object, and HF-2004 if it
/// changed in between.
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
    let mut is_answer_lost = false;
    for _ in 0..READ_BACK_ATTEMPTS {
        match store.delete(kind, name, current.spec_version).await {
            Ok(()) => return Ok(()),
            Err(StoreError::NotFound) if is_answer_lost => return Ok(()),
            Err(StoreError::NotFound) => return Err(ObjectError::missing(kind, name)),
            Err(StoreError::Conflict(found)) => {
                return Err(ObjectError::conflict(kind, name, found));
            }
            Err(error) if error.is_effect_unknown() => is_answer_lost = true,
            Err(error) if !is_answer_lost => return Err(ObjectError::Unavailable(error)),
            Err(_) => {}
        }
    }
    Err(ObjectError::effect_unknown(kind, name))
}

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
