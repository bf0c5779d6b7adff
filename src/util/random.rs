//! Seeded random numbers.
//!
//! Code that needs random numbers takes a [`SeededRandom`], so that tests and experiments are
//! reproducible.

use std::sync::atomic::{AtomicU64, Ordering};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A random number generator that yields the same sequence for the same seed.
#[derive(Clone, Debug)]
pub struct SeededRandom {
    rng: ChaCha8Rng,
}

impl SeededRandom {
    /// Creates a generator from a seed.
    pub fn new(seed: u64) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Creates a generator seeded by the operating system.
    pub fn from_entropy() -> Self {
        Self { rng: rand::make_rng() }
    }

    /// Returns a uniformly distributed number below `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        self.rng.random_range(0..bound)
    }

    /// Returns a uniformly distributed number in `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        self.rng.random()
    }

    /// Returns 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.rng.random()
    }
}

/// Increment of the counter: 2^64 divided by the golden ratio, made odd (SplitMix64).
const COUNTER_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// A counter-based random number generator that threads share without a lock.
#[derive(Debug)]
pub struct SharedRandom {
    counter: AtomicU64,
}

impl SharedRandom {
    /// Creates a generator that `random` seeds.
    pub fn new(mut random: SeededRandom) -> Self {
        Self { counter: AtomicU64::new(random.bits()) }
    }

    /// Returns a uniformly distributed number in `[0, 1)`.
    pub fn unit(&self) -> f32 {
        let counter = self.counter.fetch_add(COUNTER_STEP, Ordering::Relaxed);
        (mix(counter) >> 40) as f32 / (1_u32 << 24) as f32
    }
}

/// The finalizer of SplitMix64 (G. Steele, D. Lea, C. Flood, "Fast Splittable Pseudorandom Number
/// Generators", 2014).
fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
