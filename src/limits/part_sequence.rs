//! Assigns the requests of a split route to its parts.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};

use crate::core::{PartIndex, RouteRecord};

/// Step of the golden-ratio sequence, which is evenly distributed over any stretch (H. Weyl, 1916).
const GOLDEN_RATIO_STEP: f64 = 0.618_033_988_749_894_9;

/// A golden-ratio sequence, which keeps the parts of a route close to their weights over any
/// stretch.
///
/// The sequences of different entries must begin at random positions: with a few requests each, a
/// large fleet would otherwise give most of them to the same part.
#[derive(Debug, Default)]
pub struct PartSequence {
    /// Position of the first request, in `[0, 1)`.
    start: f64,
    assigned: AtomicU64,
    /// Requests by part.
    counts: Mutex<Vec<u64>>,
}

impl PartSequence {
    /// Creates a sequence whose first position is `start`, in `[0, 1)`.
    pub fn starting_at(start: f64) -> Self {
        Self { start, ..Self::default() }
    }

    /// Assigns the next request to a part of the route; none if the route is not split.
    pub fn next_part(&self, route: &RouteRecord) -> Option<PartIndex> {
        if route.parts.is_empty() {
            return None;
        }
        let assigned = self.assigned.fetch_add(1, Ordering::Relaxed);
        let position = (self.start + assigned as f64 * GOLDEN_RATIO_STEP).fract();
        let part = route.part_at(position)?;
        self.count(part);
        Some(part)
    }

    fn count(&self, part: PartIndex) {
        let index = part.0 as usize;
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        if counts.len() <= index {
            counts.resize(index + 1, 0);
        }
        counts[index] += 1;
    }

    /// Number of requests that were assigned to each part so far.
    pub fn counts(&self) -> Vec<u64> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }
}
