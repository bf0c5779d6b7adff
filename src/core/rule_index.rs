//! Indexes over rules, so that the cost of a request does not grow with their number.
//!
//! An index returns the positions of the rules that can match a request, a superset of those that
//! do match: the caller evaluates each of them. Rules without an indexed condition are always
//! among them. Positions are in order of precedence.

use crate::core::label::LabelSet;
use crate::core::selector::LabelSelector;
use crate::core::snapshot::{IdempotenceRule, RequestRule, RouteRecord};
use crate::util::FastMap;

/// An index over rules of type `T`, to which they are added in order of precedence.
pub trait RuleIndex<T>: Clone + Default {
    /// Adds the rule at `position`, which is greater than those added before.
    fn insert(&mut self, position: u32, rule: &T);
}

/// A rule that selects requests by their labels.
pub trait SelectingRule {
    /// The selector.
    fn requests(&self) -> &LabelSelector;
}

impl SelectingRule for IdempotenceRule {
    fn requests(&self) -> &LabelSelector {
        &self.requests
    }
}

impl SelectingRule for RouteRecord {
    fn requests(&self) -> &LabelSelector {
        &self.spec.requests
    }
}

/// Request rules by host and path prefix.
#[derive(Clone, Debug, Default)]
pub struct MatcherIndex {
    hosts: FastMap<String, PrefixIndex>,
    any_host: PrefixIndex,
}

/// Rules with the same condition on the host.
#[derive(Clone, Debug, Default)]
struct PrefixIndex {
    prefixes: FastMap<String, Vec<u32>>,
    any_path: Vec<u32>,
    /// Length of the longest prefix in bytes. It bounds the lookups for paths of many segments.
    longest: usize,
}

impl RuleIndex<RequestRule> for MatcherIndex {
    fn insert(&mut self, position: u32, rule: &RequestRule) {
        let prefixes = match &rule.matcher.host {
            Some(host) => self.hosts.entry(host.clone()).or_default(),
            None => &mut self.any_host,
        };
        let Some(prefix) = &rule.matcher.path_prefix else {
            prefixes.any_path.push(position);
            return;
        };
        prefixes.longest = prefixes.longest.max(prefix.len());
        prefixes.prefixes.entry(prefix.clone()).or_default().push(position);
    }
}

impl MatcherIndex {
    /// Positions, in ascending order, of the rules whose conditions on host and path hold.
    pub fn candidates(&self, host: Option<&str>, path: &str) -> Vec<u32> {
        let mut positions = Vec::new();
        self.any_host.collect(path, &mut positions);
        if let Some(prefixes) = host.and_then(|host| self.hosts.get(host)) {
            prefixes.collect(path, &mut positions);
        }
        positions.sort_unstable();
        positions
    }
}

impl PrefixIndex {
    /// Adds the positions of the rules whose prefix equals `path` or ends at a segment boundary of
    /// it, before or after the slash.
    fn collect(&self, path: &str, positions: &mut Vec<u32>) {
        positions.extend_from_slice(&self.any_path);
        if self.prefixes.is_empty() {
            return;
        }
        if path.len() <= self.longest {
            self.collect_prefix(path, positions);
        }
        for (offset, byte) in path.bytes().enumerate().take(self.longest + 1) {
            if byte != b'/' {
                continue;
            }
            self.collect_prefix(&path[..offset], positions);
            if offset + 1 < path.len() {
                self.collect_prefix(&path[..=offset], positions);
            }
        }
    }

    fn collect_prefix(&self, prefix: &str, positions: &mut Vec<u32>) {
        if let Some(found) = self.prefixes.get(prefix) {
            positions.extend_from_slice(found);
        }
    }
}

/// Rules by one requirement of their selector, that a label has one of a list of values.
#[derive(Clone, Debug, Default)]
pub struct SelectorIndex {
    /// By key and value of the label.
    values: FastMap<String, FastMap<String, Vec<u32>>>,
    /// Rules whose selector has no such requirement.
    others: Vec<u32>,
}

impl<T: SelectingRule> RuleIndex<T> for SelectorIndex {
    fn insert(&mut self, position: u32, rule: &T) {
        let Some((key, values)) = rule.requests().narrowest_values() else {
            self.others.push(position);
            return;
        };
        let by_value = self.values.entry(key.to_owned()).or_default();
        for value in values {
            let positions = by_value.entry(value.clone()).or_default();
            // A selector may list a value twice.
            if positions.last() != Some(&position) {
                positions.push(position);
            }
        }
    }
}

impl SelectorIndex {
    /// The first position whose rule can match `labels` and for which `is_match` holds.
    pub fn first(&self, labels: &LabelSet, is_match: impl Fn(usize) -> bool) -> Option<usize> {
        let mut first: Option<u32> = None;
        for positions in self.lists(labels) {
            for position in positions {
                if first.is_some_and(|first| first <= *position) {
                    break;
                }
                if is_match(*position as usize) {
                    first = Some(*position);
                }
            }
        }
        first.map(|position| position as usize)
    }

    /// Lists of the rules that can match `labels`, each in ascending order.
    pub fn lists(&self, labels: &LabelSet) -> impl Iterator<Item = &[u32]> {
        let found = labels.iter().filter_map(|(key, value)| self.values.get(key)?.get(value));
        std::iter::once(&self.others).chain(found).map(Vec::as_slice)
    }
}
