//! Label sets and the syntax of label keys and values.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

/// Longest label key or value, in bytes.
const MAX_LABEL_BYTES: usize = 63;

/// Labels of a request or upstream, sorted by key.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct LabelSet {
    labels: BTreeMap<String, String>,
}

impl LabelSet {
    /// Creates a set of these labels; their syntax is not checked.
    pub fn new(labels: BTreeMap<String, String>) -> Self {
        Self { labels }
    }

    /// Value of the label `key`.
    pub fn get(&self, key: &str) -> Option<&str> {
        self.labels.get(key).map(String::as_str)
    }

    /// Adds the labels of `other` whose keys are not present yet.
    pub fn insert_missing(&mut self, other: &LabelSet) {
        for (key, value) in &other.labels {
            if !self.labels.contains_key(key) {
                self.labels.insert(key.clone(), value.clone());
            }
        }
    }

    /// Adds one label, or replaces its value.
    pub fn insert(&mut self, key: &str, value: &str) {
        self.labels.insert(key.to_owned(), value.to_owned());
    }

    /// Iterates over the labels in key order.
    pub fn iter(&self) -> impl Iterator<Item = (&str, &str)> {
        self.labels.iter().map(|(key, value)| (key.as_str(), value.as_str()))
    }
}

/// Whether `text` is a valid label key: ASCII letters, digits and `-_./`, beginning with a letter
/// or digit, 1 to 63 bytes.
pub fn is_label_key(text: &str) -> bool {
    is_label_text(text) && !text.is_empty()
}

/// Whether `text` is a valid label value: the syntax of a key, or empty.
pub fn is_label_value(text: &str) -> bool {
    text.is_empty() || is_label_text(text)
}

fn is_label_text(text: &str) -> bool {
    if text.len() > MAX_LABEL_BYTES || !text.starts_with(|c: char| c.is_ascii_alphanumeric()) {
        return false;
    }
    text.chars().all(|c| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.' | '/'))
}
