//! Hash collections with a fast keyed hasher.
//!
//! Some keys come from callers (idempotency keys, header names), so the hasher has a random key per
//! process: callers cannot construct collisions.

/// Hash map with a keyed hasher, used throughout the crate.
pub type FastMap<K, V> = std::collections::HashMap<K, V, ahash::RandomState>;

/// Hash set with a keyed hasher, used throughout the crate.
pub type FastSet<T> = std::collections::HashSet<T, ahash::RandomState>;
