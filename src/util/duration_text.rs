//! Durations as text (`"250ms"`, `"5s"`) in settings and objects, for `#[serde(with)]`.

use std::time::Duration;

use serde::de::Error;
use serde::{Deserialize, Deserializer, Serializer};

/// Writes a duration as text.
///
/// # Errors
///
/// Returns the serializer's error.
pub fn serialize<S: Serializer>(value: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
    serializer.collect_str(&humantime::format_duration(*value))
}

/// Reads a duration from text.
///
/// # Errors
///
/// Returns an error if the text is not a duration.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
    let text = String::deserialize(deserializer)?;
    humantime::parse_duration(&text).map_err(|error| D::Error::custom(format!("{text:?}: {error}")))
}
