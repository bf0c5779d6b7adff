//! Errors of operators' reads and writes of objects.

use std::fmt;

use heatherfall_platform_api::ObjectEnvelope;
use miette::Diagnostic;

use crate::config::SpecError;
use crate::core::ResultCode;
use crate::platform::StoreError;

/// Failure of an operator's read or write of an object.
#[derive(Debug)]
pub enum ObjectError {
    /// The spec is invalid for its kind; nothing was written.
    Malformed(SpecError),
    /// The object does not exist.
    Missing {
        /// Kind.
        kind: String,
        /// Name.
        name: String,
    },
    /// Another writer changed the object after it was read; nothing was written.
    Conflict {
        /// Kind.
        kind: String,
        /// Name.
        name: String,
        /// The object as stored now, or none if it was deleted.
        found: Option<Box<ObjectEnvelope>>,
    },
    /// The platform does not respond; nothing was written.
    Unavailable(StoreError),
    /// The response to a write was lost, and reading the object back did not show whether the write
    /// took effect.
    EffectUnknown {
        /// Kind.
        kind: String,
        /// Name.
        name: String,
    },
}

impl ObjectError {
    pub(super) fn missing(kind: &str, name: &str) -> Self {
        Self::Missing { kind: kind.to_owned(), name: name.to_owned() }
    }

    pub(super) fn conflict(kind: &str, name: &str, found: Option<Box<ObjectEnvelope>>) -> Self {
        Self::Conflict { kind: kind.to_owned(), name: name.to_owned(), found }
    }

    pub(super) fn effect_unknown(kind: &str, name: &str) -> Self {
        Self::EffectUnknown { kind: kind.to_owned(), name: name.to_owned() }
    }

    /// The result code of this failure, which the message begins with.
    pub fn result_code(&self) -> ResultCode {
        match self {
            Self::Malformed(error) => error.code,
            Self::Missing { .. } => ResultCode::ObjectMissing,
            Self::Conflict { .. } => ResultCode::WriteConflict,
            Self::Unavailable(_) => ResultCode::PlatformUnavailable,
            Self::EffectUnknown { .. } => ResultCode::WriteUnknown,
        }
    }
}

impl fmt::Display for ObjectError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let code = self.result_code();
        match self {
            Self::Malformed(error) => {
                write!(f, "{code}: {} {}: {}", error.kind.as_str(), error.name, error.message)
            }
            Self::Missing { kind, name } => write!(f, "{code}: {kind} {name} does not exist"),
            Self::Conflict { kind, name, found } => {
                write!(f, "{code}: {kind} {name} changed since it was read; ")?;
                match found {
                    Some(object) => {
                        write!(f, "it is now version {}: {}", object.spec_version, object.spec)
                    }
                    None => write!(f, "it no longer exists"),
                }
            }
            Self::Unavailable(error) => write!(f, "{code}: {error}"),
            Self::EffectUnknown { kind, name } => {
                write!(f, "{code}: {kind} {name}: {}", code.summary())
            }
        }
    }
}

impl std::error::Error for ObjectError {}

impl Diagnostic for ObjectError {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        let help = match self {
            Self::Conflict { .. } => "review the other change, then apply again",
            Self::EffectUnknown { .. } => {
                "read the object with `heatherfall get` before writing again"
            }
            _ => return None,
        };
        Some(Box::new(help))
    }
}
