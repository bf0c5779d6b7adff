//! Reads settings files, which are JSON with comments, and validates them.
//!
//! Comments are replaced by spaces, so that errors have the line and column of the file.

use std::io::Read;
use std::path::Path;

use miette::{Diagnostic, NamedSource, SourceSpan};
use serde::de::DeserializeOwned;

use crate::core::ResultCode;

/// An error in a settings file, with the place in the file that it refers to.
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
    /// Result code: HF-5001, HF-5002 or HF-5003.
    pub fn code(&self) -> ResultCode {
        self.code
    }
}

/// Settings with constraints beyond the types of their fields, such as ranges.
pub trait ValidatedSettings: DeserializeOwned {
    /// Checks the constraints.
    ///
    /// # Errors
    ///
    /// Returns the first violation found.
    fn validate(&self) -> Result<(), FieldError>;
}

/// A field with a value of the right type that violates a constraint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct FieldError {
    /// Name of the field, without those of the objects that contain it.
    pub field: &'static str,
    /// What is wrong with the value.
    pub message: String,
    /// Which values are allowed.
    pub help: String,
}

/// Loads and validates the settings in the file at `path`.
///
/// # Errors
///
/// Returns HF-5001 for a file that cannot be read, HF-5002 for text that is not JSON with
/// comments or does not fit the fields of the settings, and HF-5003 for a violated constraint.
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

/// Parses and validates the settings in `text`; `name` stands for the file name in errors.
///
/// # Errors
///
/// Returns HF-5002 and HF-5003 as [`load`] does.
pub fn parse<T: ValidatedSettings>(name: &str, text: &str) -> Result<T, Box<SettingsError>> {
    let mut json = String::with_capacity(text.len());
    if let Err(error) = json_comments::StripComments::new(text.as_bytes()).read_to_string(&mut json)
    {
        return Err(Box::new(SettingsError {
            code: ResultCode::SettingsMalformed,
            message: format!("unterminated comment: {error}"),
            help: None,
            file: NamedSource::new(name, text.to_owned()),
            span: None,
        }));
    }
    let mut deserializer = serde_json::Deserializer::from_str(&json);
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
    if let Err(error) = settings.validate() {
        let quoted = format!("\"{}\"", error.field);
        let span = json.find(&quoted).map(|start| (start, quoted.len()).into());
        return Err(Box::new(SettingsError {
            code: ResultCode::SettingsContradictory,
            message: format!("{}: {}", error.field, error.message),
            help: Some(error.help),
            file: NamedSource::new(name, text.to_owned()),
            span,
        }));
    }
    Ok(settings)
}

/// Byte offset of a one-based line and column, within the bounds of `text`.
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
