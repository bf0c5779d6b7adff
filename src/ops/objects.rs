//! Reads, writes and watches objects for operators.
//!
//! Every write is conditional on the version that was read. A conflict is shown, never merged; a
//! write whose answer is lost is recognised by its change id, never blindly repeated.

use std::io::Read;
use std::path::Path;

use miette::{IntoDiagnostic, WrapErr, miette};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::config::{ObjectFault, check_object};
use crate::core::{CONFIG_KINDS, ObjectKind, ResultCode};
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
pub fn kind_named(name: &str) -> miette::Result<ObjectKind> {
    for kind in CONFIG_KINDS {
        if kind.as_str().eq_ignore_ascii_case(name) {
            return Ok(kind);
        }
    }
    let known: Vec<&str> = CONFIG_KINDS.iter().map(|kind| kind.as_str()).collect();
    Err(miette!("{}: {name:?}; kinds are {}", ResultCode::KindUnknown, known.join(", ")))
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
) -> miette::Result<ApplyEffect> {
    check_object(manifest.kind, &manifest.name, &manifest.spec).map_err(fault_report)?;
    let kind = manifest.kind.as_str();
    let current = match store.get(kind, &manifest.name).await {
        Ok(object) => Some(object),
        Err(StoreError::NotFound) => None,
        Err(error) => return Err(unavailable(&error)),
    };
    if let Some(current) = &current
        && current.spec == manifest.spec
        && current.labels == manifest.labels
    {
        return Ok(ApplyEffect::Unchanged);
    }
    let precondition = match &current {
        Some(current) => Precondition::SpecVersion(current.spec_version),
        None => Precondition::Absent,
    };
    let draft = ObjectDraft {
        kind: kind.to_owned(),
        name: manifest.name,
        labels: manifest.labels,
        spec: manifest.spec,
        change_id: uuid::Uuid::now_v7().to_string(),
    };
    put_recognised(store, draft, precondition).await?;
    Ok(if current.is_some() { ApplyEffect::Changed } else { ApplyEffect::Created })
}

/// Deletes one object, conditional on the version read just before.
///
/// # Errors
///
/// Returns an error as [`apply`] does, and HF-2004 if the object changed in between.
pub async fn delete<S: PlatformStore>(
    store: &S,
    kind: ObjectKind,
    name: &str,
) -> miette::Result<()> {
    let current = store.get(kind.as_str(), name).await.map_err(|error| match error {
        StoreError::NotFound => miette!("{} {name} does not exist", kind.as_str()),
        error => unavailable(&error),
    })?;
    match store.delete(kind.as_str(), name, current.spec_version).await {
        Ok(()) => Ok(()),
        Err(StoreError::Conflict(found)) => Err(conflict(kind.as_str(), name, found.as_deref())),
        Err(error) => Err(unavailable(&error)),
    }
}

async fn put_recognised<S: PlatformStore>(
    store: &S,
    draft: ObjectDraft,
    precondition: Precondition,
) -> miette::Result<()> {
    let (kind, name) = (draft.kind.clone(), draft.name.clone());
    let change_id = draft.change_id.clone();
    match store.put(draft, precondition).await {
        Ok(_) => return Ok(()),
        Err(StoreError::Conflict(found)) => return Err(conflict(&kind, &name, found.as_deref())),
        Err(error) if !error.is_effect_unknown() => return Err(unavailable(&error)),
        Err(_) => {}
    }
    for _ in 0..READ_BACK_ATTEMPTS {
        match store.get(&kind, &name).await {
            Ok(object) if object.change_id == change_id => return Ok(()),
            Ok(object) => return Err(conflict(&kind, &name, Some(&object))),
            Err(StoreError::NotFound) => break,
            Err(_) => continue,
        }
    }
    let code = ResultCode::WriteUnknown;
    Err(miette!(
        help = "read the object with `heatherfall get` before writing again",
        "{code}: {kind} {name}: {}",
        code.summary()
    ))
}

fn fault_report(fault: ObjectFault) -> miette::Report {
    miette!("{}: {} {}: {}", fault.code, fault.kind.as_str(), fault.name, fault.message)
}

fn conflict(kind: &str, name: &str, found: Option<&ObjectEnvelope>) -> miette::Report {
    let code = ResultCode::WriteConflict;
    let found = match found {
        Some(object) => format!("it is now version {}: {}", object.spec_version, object.spec),
        None => "it no longer exists".to_owned(),
    };
    miette!(
        help = "look at the other change, then apply again",
        "{code}: {kind} {name} changed since it was read; {found}"
    )
}

/// Report of a platform that does not answer.
pub fn unavailable(error: &StoreError) -> miette::Report {
    miette!("{}: {error}", ResultCode::PlatformUnavailable)
}
