//! Label selectors: `app=lookups,tier in (a,b),!canary`.
//!
//! The grammar follows that of Kubernetes: requirements joined by commas, all of which must hold.
//!
//! ```text
//! selector    = [ requirement *( "," requirement ) ]
//! requirement = key ( "=" | "==" | "!=" ) value
//!             | key ( "in" | "notin" ) "(" value *( "," value ) ")"
//!             | key
//!             | "!" key
//! ```
//!
//! As there, `!=` and `notin` also hold for a set without the key.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Deserializer, Serialize, Serializer};
use winnow::ascii::multispace0;
use winnow::combinator::{alt, delimited, eof, preceded, separated, terminated};
use winnow::prelude::*;
use winnow::token::take_while;

use crate::core::label::{LabelSet, is_label_key, is_label_value};

/// Longest selector text, in bytes.
const MAX_SELECTOR_BYTES: usize = 4096;

/// A parsed selector; the empty selector matches every label set.
#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
pub struct LabelSelector {
    requirements: Vec<LabelRequirement>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
enum LabelRequirement {
    In { key: String, values: Vec<String> },
    NotIn { key: String, values: Vec<String> },
    Exists { key: String },
    NotExists { key: String },
}

/// Syntax error in a label selector.
#[derive(Clone, Debug, Eq, PartialEq, thiserror::Error)]
#[error("not a label selector at byte {offset}: {text:?}")]
pub struct SelectorError {
    /// Byte offset at which parsing failed.
    pub offset: usize,
    /// The text as given; empty if it is longer than allowed.
    pub text: String,
}

impl LabelSelector {
    /// Whether every requirement holds for `labels`.
    pub fn matches(&self, labels: &LabelSet) -> bool {
        self.requirements.iter().all(|requirement| requirement.holds(labels))
    }

    /// Key and values of the requirement that a label has one of the fewest values; none if the
    /// selector has no requirement of this form.
    pub(crate) fn narrowest_values(&self) -> Option<(&str, &[String])> {
        let mut narrowest: Option<(&str, &[String])> = None;
        for requirement in &self.requirements {
            let LabelRequirement::In { key, values } = requirement else { continue };
            if narrowest.is_none_or(|(_, fewest)| values.len() < fewest.len()) {
                narrowest = Some((key, values));
            }
        }
        narrowest
    }
}

impl LabelRequirement {
    fn holds(&self, labels: &LabelSet) -> bool {
        match self {
            Self::In { key, values } => {
                labels.get(key).is_some_and(|actual| contains(values, actual))
            }
            Self::NotIn { key, values } => {
                !labels.get(key).is_some_and(|actual| contains(values, actual))
            }
            Self::Exists { key } => labels.get(key).is_some(),
            Self::NotExists { key } => labels.get(key).is_none(),
        }
    }
}

fn contains(values: &[String], actual: &str) -> bool {
    values.iter().any(|value| value == actual)
}

impl FromStr for LabelSelector {
    type Err = SelectorError;

    fn from_str(text: &str) -> Result<Self, SelectorError> {
        if text.len() > MAX_SELECTOR_BYTES {
            return Err(SelectorError { offset: MAX_SELECTOR_BYTES, text: String::new() });
        }
        let parsed = selector.parse(text);
        parsed.map_err(|error| SelectorError { offset: error.offset(), text: text.to_owned() })
    }
}

impl fmt::Display for LabelSelector {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, requirement) in self.requirements.iter().enumerate() {
            if index > 0 {
                f.write_str(",")?;
            }
            write!(f, "{requirement}")?;
        }
        Ok(())
    }
}

impl fmt::Display for LabelRequirement {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::In { key, values } if values.len() == 1 => write!(f, "{key}={}", values[0]),
            Self::In { key, values } => write!(f, "{key} in ({})", values.join(",")),
            Self::NotIn { key, values } if values.len() == 1 => write!(f, "{key}!={}", values[0]),
            Self::NotIn { key, values } => write!(f, "{key} notin ({})", values.join(",")),
            Self::Exists { key } => f.write_str(key),
            Self::NotExists { key } => write!(f, "!{key}"),
        }
    }
}

impl<'de> Deserialize<'de> for LabelSelector {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let text = String::deserialize(deserializer)?;
        text.parse().map_err(serde::de::Error::custom)
    }
}

impl Serialize for LabelSelector {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.collect_str(self)
    }
}

fn selector(input: &mut &str) -> ModalResult<LabelSelector> {
    let empty = terminated(multispace0, eof).value(Vec::new());
    let list = terminated(separated(1.., padded_requirement, ','), eof);
    let requirements = alt((empty, list)).parse_next(input)?;
    Ok(LabelSelector { requirements })
}

fn padded_requirement(input: &mut &str) -> ModalResult<LabelRequirement> {
    delimited(multispace0, requirement, multispace0).parse_next(input)
}

fn requirement(input: &mut &str) -> ModalResult<LabelRequirement> {
    alt((absent, set_based, equality, present)).parse_next(input)
}

fn absent(input: &mut &str) -> ModalResult<LabelRequirement> {
    let key = preceded(('!', multispace0), label_key).parse_next(input)?;
    Ok(LabelRequirement::NotExists { key })
}

fn present(input: &mut &str) -> ModalResult<LabelRequirement> {
    let key = label_key.parse_next(input)?;
    Ok(LabelRequirement::Exists { key })
}

fn equality(input: &mut &str) -> ModalResult<LabelRequirement> {
    let key = terminated(label_key, multispace0).parse_next(input)?;
    let operator = alt(("==", "=", "!=")).parse_next(input)?;
    let value = preceded(multispace0, label_value).parse_next(input)?;
    let values = vec![value];
    if operator == "!=" {
        return Ok(LabelRequirement::NotIn { key, values });
    }
    Ok(LabelRequirement::In { key, values })
}

fn set_based(input: &mut &str) -> ModalResult<LabelRequirement> {
    let key = terminated(label_key, multispace0).parse_next(input)?;
    let operator = terminated(alt(("notin", "in")), multispace0).parse_next(input)?;
    let padded_value = delimited(multispace0, label_value, multispace0);
    let values = delimited('(', separated(1.., padded_value, ','), ')').parse_next(input)?;
    if operator == "notin" {
        return Ok(LabelRequirement::NotIn { key, values });
    }
    Ok(LabelRequirement::In { key, values })
}

fn label_key(input: &mut &str) -> ModalResult<String> {
    label_text.verify(is_label_key).map(str::to_owned).parse_next(input)
}

fn label_value(input: &mut &str) -> ModalResult<String> {
    label_text.verify(is_label_value).map(str::to_owned).parse_next(input)
}

fn label_text<'a>(input: &mut &'a str) -> ModalResult<&'a str> {
    take_while(0.., |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/'))
        .parse_next(input)
}
