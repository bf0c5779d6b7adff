//! Seeded random numbers.
//!
//! Every decision that draws a random number takes a [`SeededRandom`], so that tests and
//! experiments repeat exactly.

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
