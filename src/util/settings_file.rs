//! Reads settings files: JSON with comments, checked before anything starts.
//!
//! Comments are blanked out in place, so that line and column of an error are those of the file.

use std::io::Read;
use std::path::Path;

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;

use crate::core::ResultCode;

/// A settings file that could not be used, pointing at the place.
#[derive(Debug, Diagnostic, thiserror::Error)]
#[error("{code}: {message}")]
pub struct SettingsError {
    code: ResultCode,
    message: String,
    #[help]
    help: Option<String>,
    #[source_code]
    file: NamedSource<String>,
    #[label("here")]
    span: Option<SourceSpan>,
}

impl SettingsError {
    /// Result code of the error.
    pub fn code(&self) -> ResultCode {
        self.code
    }
}

/// A check that goes beyond types: addresses, contradictions, ranges.
pub trait ValidatedSettings: DeserializeOwned {
    /// Returns the first fault, named by the field's path within the file.
    ///
    /// # Errors
    ///
    /// Returns the fault.
    fn validate(&self) -> Result<(), FieldError>;
}

/// A value that has the right type and cannot be used.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldError {
    /// Name of the last field on the path.
    pub field: &'static str,
    /// What is wrong.
    pub message: String,
    /// What to write in its place.
    pub help: String,
}

/// Loads and checks the settings in the file at `path`.
///
/// # Errors
///
/// Returns HF-5001 for a file that cannot be read, HF-5002 for text that is not JSON with
/// comments or does not fit the settings' fields, and HF-5003 for a failed check.
pub fn load<T: ValidatedSettings>(path: &Path) -> Result<T, Box<SettingsError>> {
    let name = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => {
            return Err(Box::new(SettingsError {
                code: ResultCode::SettingsUnreadable,
                message: format!("cannot read {name}: {error}"),
                help: None,
                file: NamedSource::new(name, String::new()),
                span: None,
            }));
        }
    };
    parse(&name, &text)
}

/// Parses and checks settings in `text`; `name` names the text in errors.
///
/// # Errors
///
/// Returns HF-5002 and HF-5003 as [`load`] does.
pub fn parse<T: ValidatedSettings>(name: &str, text: &str) -> Result<T, Box<SettingsError>> {
    let mut plain = String::with_capacity(text.len());
    if let Err(error) =
        json_comments::StripComments::new(text.as_bytes()).read_to_string(&mut plain)
    {
        return Err(Box::new(SettingsError {
            code: ResultCode::SettingsMalformed,
            message: format!("unfinished comment: {error}"),
            help: None,
            file: NamedSource::new(name, text.to_owned()),
            span: None,
        }));
    }
    let mut deserializer = serde_json::Deserializer::from_str(&plain);
    let settings: T = match serde_path_to_error::deserialize(&mut deserializer) {
        Ok(settings) => settings,
        Err(error) => {
            let path = error.path().to_string();
            let inner = error.into_inner();
            return Err(Box::new(SettingsError {
                code: ResultCode::SettingsMalformed,
                message: format!("{inner} (at {path})"),
                help: Some("docs/SETTINGS.md lists every key, its type and default".to_owned()),
                file: NamedSource::new(name, text.to_owned()),
                span: Some(offset_of(text, inner.line(), inner.column()).into()),
            }));
        }
    };
    if let Err(fault) = settings.validate() {
        let quoted = format!("\"{}\"", fault.field);
        let span = plain.find(&quoted).map(|start| (start, quoted.len()).into());
        return Err(Box::new(SettingsError {
            code: ResultCode::SettingsContradictory,
            message: format!("{}: {}", fault.field, fault.message),
            help: Some(fault.help),
            file: NamedSource::new(name, text.to_owned()),
            span,
        }));
    }
    Ok(settings)
}

/// Byte offset of a one-based line and column.
fn offset_of(text: &str, line: usize, column: usize) -> usize {
    let mut offset = 0;
    for (index, content) in text.split_inclusive('\n').enumerate() {
        if index + 1 == line {
            let within = column.saturating_sub(1).min(content.len());
            return offset + within;
        }
        offset += content.len();
    }
    text.len().saturating_sub(1)
}
