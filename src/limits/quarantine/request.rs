//! Requests and how their runs ended, as they are recorded and shared.

use std::time::Duration;

/// What a request consists of that comes again, as digests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestFingerprint {
    /// Method, host and path.
    pub target: u64,
    /// Content.
    pub content: u64,
    /// What may or may not matter.
    pub traits: RequestTraits,
}

/// Traits of a request beside its target and content, as digests.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestTraits {
    /// Query.
    pub query: u32,
    /// Address of the caller.
    pub caller: u32,
    /// Headers that do not change from one send to the next.
    pub headers: u32,
}

impl RequestTraits {
    pub(super) fn values(self) -> [u32; TRAITS] {
        [self.query, self.caller, self.headers]
    }
}

/// Number of traits.
pub(super) const TRAITS: usize = 3;

/// A set of traits, one bit each.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct TraitSet(u8);

impl TraitSet {
    /// The set of all traits.
    pub(super) const ALL: Self = Self((1 << TRAITS) - 1);

    /// All sets.
    pub(super) fn all() -> impl Iterator<Item = Self> {
        (0..1 << TRAITS).map(Self)
    }

    pub(super) fn contains(self, index: usize) -> bool {
        self.0 & 1 << index != 0
    }

    /// Whether the requests have all traits of this set in common.
    pub(super) fn is_common(self, one: RequestTraits, other: RequestTraits) -> bool {
        let (one, other) = (one.values(), other.values());
        (0..TRAITS).all(|index| !self.contains(index) || one[index] == other[index])
    }
}

impl std::fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [query, caller, headers] = self.traits.values();
        write!(
            f,
            "{:016x}-{:016x}-{query:08x}-{caller:08x}-{headers:08x}",
            self.target, self.content
        )
    }
}

/// How a run of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The upstream ended: the digest of its name and start, which differs between its processes.
    UpstreamEnded(u32),
    /// The upstream responded, so the request does not crash every upstream.
    Answered,
}

/// How a run of a request ended, and when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunRecord {
    /// The request.
    pub request: RequestFingerprint,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// Time since then.
    pub age: Duration,
}

/// What a record has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordEffect {
    /// Nothing: it was known already, or is too old.
    None,
    /// It is new.
    New,
    /// It is new, and its request is refused from now on.
    Refused,
}
