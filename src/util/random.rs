//! Seeded random numbers.
//!
//! Every decision that draws a random number takes a [`SeededRandom`], so that tests and
//! experiments repeat exactly.

use std::sync::atomic::{AtomicU64, Ordering};

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// A reproducible source of random numbers.
#[derive(Clone, Debug)]
pub struct SeededRandom {
    rng: ChaCha8Rng,
}

impl SeededRandom {
    /// Creates a source from a seed.
    pub fn new(seed: u64) -> Self {
        Self { rng: ChaCha8Rng::seed_from_u64(seed) }
    }

    /// Creates a source from the operating system's entropy.
    pub fn from_entropy() -> Self {
        Self { rng: rand::make_rng() }
    }

    /// Returns a number below `bound`; 0 if `bound` is 0.
    pub fn below(&mut self, bound: usize) -> usize {
        if bound == 0 {
            return 0;
        }
        self.rng.random_range(0..bound)
    }

    /// Returns a number in `[0, 1)`.
    pub fn unit(&mut self) -> f64 {
        self.rng.random()
    }

    /// Returns 64 random bits.
    pub fn bits(&mut self) -> u64 {
        self.rng.random()
    }
}

/// Increment of the counter-based generator.
const WEYL_STEP: u64 = 0x9e37_79b9_7f4a_7c15;

/// Random numbers that threads draw without a lock.
#[derive(Debug)]
pub struct SharedRandom {
    counter: AtomicU64,
}

impl SharedRandom {
    /// Creates a source that `random` seeds.
    pub fn new(mut random: SeededRandom) -> Self {
        Self { counter: AtomicU64::new(random.bits()) }
    }

    /// Returns a number in `[0, 1)`.
    pub fn unit(&self) -> f32 {
        let counter = self.counter.fetch_add(WEYL_STEP, Ordering::Relaxed);
        (mixed_bits(counter) >> 40) as f32 / (1_u32 << 24) as f32
    }
}

/// The finalizer of SplitMix64 (G. Steele, D. Lea, C. Flood, "Fast Splittable Pseudorandom Number
/// Generators", 2014).
fn mixed_bits(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
