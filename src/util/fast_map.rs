//! Hash collections with a fast keyed hasher.
//!
//! Keys come from callers in places (idempotency keys, header names), so the hasher is keyed per
//! process rather than merely fast.

/// Hash map used throughout the crate.
pub type FastMap<K, V> = std::collections::HashMap<K, V, ahash::RandomState>;

/// Hash set used throughout the crate.
pub type FastSet<T> = std::collections::HashSet<T, ahash::RandomState>;
