//! Requests and how their runs ended, as they are recorded and shared.

use std::time::Duration;

/// Identity of a request over all of its sends, as digests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestFingerprint {
    /// Method, host and path.
    pub target: u64,
    /// Content.
    pub content: u64,
    /// The rest, of which some or all may matter.
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

    /// The traits that two requests have in common.
    pub(super) fn common(one: RequestTraits, other: RequestTraits) -> Self {
        let (one, other) = (one.values(), other.values());
        let mut set = Self(0);
        for index in 0..TRAITS {
            set.0 |= u8::from(one[index] == other[index]) << index;
        }
        set
    }

    pub(super) fn contains(self, index: usize) -> bool {
        self.0 & 1 << index != 0
    }

    pub(super) fn is_subset(self, other: Self) -> bool {
        self.0 & other.0 == self.0
    }
}

/// Sets of traits, one bit each: the eight subsets of three traits.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct TraitSets(pub u8);

impl TraitSets {
    /// All sets.
    pub(super) const ALL: Self = Self(u8::MAX);

    /// The set and all of its subsets.
    pub(super) fn subsets_of(set: TraitSet) -> Self {
        let mut sets = Self::default();
        for subset in TraitSet::all() {
            sets.0 |= u8::from(subset.is_subset(set)) << subset.0;
        }
        sets
    }

    pub(super) fn contains(self, set: TraitSet) -> bool {
        self.0 & 1 << set.0 != 0
    }

    /// Adds sets; returns whether one of them is new.
    pub(super) fn add(&mut self, other: Self) -> bool {
        let known = self.0;
        self.0 |= other.0;
        self.0 != known
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

/// An upstream that ended while it ran a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CrashRecord {
    /// The request.
    pub request: RequestFingerprint,
    /// Digest of the upstream's name and start, which differs between its processes.
    pub upstream: u32,
    /// The sets of traits that a later request had in common with this one when it got a response.
    /// What such a set selects does not crash every upstream.
    pub cleared: TraitSets,
    /// Time since the crash.
    pub age: Duration,
}

/// What a record has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordEffect {
    /// Nothing: it was known already, or is too old.
    None,
    /// It is new, or shows that the crash has been cleared.
    New,
    /// It is new, and its request is refused from now on.
    Refused,
}
