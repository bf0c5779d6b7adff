//! Rules in order of precedence with their index.

use std::ops::Deref;
use std::sync::Arc;

use crate::core::label::LabelSet;
use crate::core::rule_index::{MatcherIndex, RuleIndex, SelectingRule, SelectorIndex};
use crate::core::snapshot::{IdempotenceRule, RequestRule, RouteRecord};
use crate::core::upstream::UpstreamKey;

/// Request rules with their index.
pub type RequestRules = RuleTable<RequestRule, MatcherIndex>;
/// Routes with their index.
pub type RouteTable = RuleTable<RouteRecord, SelectorIndex>;
/// Idempotence rules with their index.
pub type IdempotenceRules = RuleTable<IdempotenceRule, SelectorIndex>;

/// Rules in order of precedence with their index. Clones share both.
#[derive(Clone, Debug)]
pub struct RuleTable<T, I> {
    rules: Arc<Vec<T>>,
    index: Arc<I>,
}

impl<T, I: Default> Default for RuleTable<T, I> {
    fn default() -> Self {
        Self { rules: Arc::default(), index: Arc::default() }
    }
}

impl<T, I: RuleIndex<T>> From<Vec<T>> for RuleTable<T, I> {
    fn from(rules: Vec<T>) -> Self {
        let mut index = I::default();
        for (position, rule) in rules.iter().enumerate() {
            index.insert(position as u32, rule);
        }
        Self { rules: Arc::new(rules), index: Arc::new(index) }
    }
}

impl<T: Clone, I: RuleIndex<T>> RuleTable<T, I> {
    /// Adds a rule, which the others take precedence over.
    pub fn push(&mut self, rule: T) {
        Arc::make_mut(&mut self.index).insert(self.rules.len() as u32, &rule);
        Arc::make_mut(&mut self.rules).push(rule);
    }
}

impl<T: SelectingRule> RuleTable<T, SelectorIndex> {
    /// Position of the first rule that selects requests with these labels.
    pub fn first_match(&self, labels: &LabelSet) -> Option<usize> {
        self.index.first(labels, |position| {
            self.rules.get(position).is_some_and(|rule| rule.requests().matches(labels))
        })
    }

    /// Rules that select requests with these labels, in no particular order.
    pub fn matches(&self, labels: &LabelSet) -> impl Iterator<Item = &T> {
        let positions = self.index.lists(labels).flatten();
        let rules = positions.filter_map(|position| self.rules.get(*position as usize));
        rules.filter(|rule| rule.requests().matches(labels))
    }
}

impl RouteTable {
    /// A table of the same routes with other upstreams, which shares the index; `compile` must keep
    /// the request selector.
    pub(crate) fn map_upstreams(&self, compile: impl FnMut(&RouteRecord) -> RouteRecord) -> Self {
        let routes = self.rules.iter().map(compile).collect();
        Self { rules: Arc::new(routes), index: Arc::clone(&self.index) }
    }

    /// Changes the upstreams of the route at `position`; does nothing if there is none.
    pub fn set_upstreams(&mut self, position: usize, upstreams: Vec<UpstreamKey>) {
        if let Some(route) = Arc::make_mut(&mut self.rules).get_mut(position) {
            route.upstreams = upstreams.into();
        }
    }
}

impl RequestRules {
    /// Rules whose conditions on host and path hold, in order of precedence.
    pub fn candidates(&self, host: Option<&str>, path: &str) -> impl Iterator<Item = &RequestRule> {
        let positions = self.index.candidates(host, path).into_iter();
        positions.filter_map(|position| self.rules.get(position as usize))
    }
}

impl<T, I> Deref for RuleTable<T, I> {
    type Target = [T];

    fn deref(&self) -> &[T] {
        &self.rules
    }
}

impl<'a, T, I> IntoIterator for &'a RuleTable<T, I> {
    type IntoIter = std::slice::Iter<'a, T>;
    type Item = &'a T;

    fn into_iter(self) -> Self::IntoIter {
        self.rules.iter()
    }
}
