//! What a request of a route is expected to cost.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::core::{AtomicF32, PartIndex, RouteRecord};

/// Work assumed before any answer, as a part of the route's goal.
const ASSUMED_WORK_PART: f32 = 0.36;
/// Work assumed for a route without a goal.
const ASSUMED_WORK: Duration = Duration::from_millis(50);
/// Factor assumed for full upstreams before any answer of one.
const ASSUMED_FULLNESS_FACTOR: f32 = 1.2;
/// Largest factor that is believed.
const MAX_FULLNESS_FACTOR: f32 = 3.0;
/// Quantile of the latency that counts as the work: the usual one, without the upstreams that are
/// slow at the moment.
const WORK_QUANTILE: f32 = 0.4;
/// Largest relative change of the estimate by one answer.
const WORK_STEP: f32 = 0.08;
/// Weight of the latest request in the mean size.
const SIZE_WEIGHT: f32 = 0.05;
/// Step of the golden-ratio sequence, which spreads evenly whatever its length (H. Weyl, 1916).
const GOLDEN_STEP: f64 = 0.618_033_988_749_894_9;

/// Work and size of one route's requests, as learnt from answers.
#[derive(Debug, Default)]
pub struct RouteCostEstimator {
    work_secs: AtomicF32,
    /// The same at upstreams that the request has just filled.
    full_secs: AtomicF32,
    kilobytes: AtomicF32,
    drawn: AtomicU64,
}

impl RouteCostEstimator {
    /// Time that an idle upstream at its usual speed takes for a request.
    pub fn service_time(&self, route: &RouteRecord) -> Duration {
        let learnt = self.work_secs.get();
        if learnt > 0.0 {
            return Duration::from_secs_f32(learnt);
        }
        if route.spec.goal.is_zero() {
            return ASSUMED_WORK;
        }
        route.spec.goal.mul_f32(ASSUMED_WORK_PART)
    }

    /// Factor by which an upstream takes longer while all of its slots are in use.
    pub fn saturation_factor(&self) -> f32 {
        let (work_secs, full_secs) = (self.work_secs.get(), self.full_secs.get());
        if work_secs <= 0.0 || full_secs <= 0.0 {
            return ASSUMED_FULLNESS_FACTOR;
        }
        (full_secs / work_secs).clamp(1.0, MAX_FULLNESS_FACTOR)
    }

    /// Learns from the time to an answer of an upstream that was not full, or that the request
    /// filled, moving a quantile estimate by small steps.
    pub fn record_service_time(&self, route: &RouteRecord, latency: Duration, is_full: bool) {
        let usual_secs = self.service_time(route).as_secs_f32();
        let estimate = if is_full { &self.full_secs } else { &self.work_secs };
        let mut secs = estimate.get();
        if secs <= 0.0 {
            let factor = if is_full { ASSUMED_FULLNESS_FACTOR } else { 1.0 };
            secs = usual_secs * factor;
        }
        let is_longer = latency.as_secs_f32() > secs;
        let part = if is_longer { WORK_QUANTILE } else { WORK_QUANTILE - 1.0 };
        estimate.set(secs * (1.0 + WORK_STEP * part));
    }

    /// Mean size of a request and its answer together, in kilobytes.
    pub fn mean_kilobytes(&self) -> f32 {
        self.kilobytes.get()
    }

    /// Learns from the size of a request and its answer.
    pub fn record_bytes(&self, bytes: u64) {
        let kilobytes = bytes as f32 / 1024.0;
        if self.kilobytes.get() <= 0.0 {
            return self.kilobytes.set(kilobytes);
        }
        self.kilobytes.blend(kilobytes, SIZE_WEIGHT);
    }

    /// The part of the route that the next request belongs to.
    ///
    /// Parts are drawn by a sequence that keeps close to their weights over any stretch.
    pub fn next_part(&self, route: &RouteRecord) -> Option<PartIndex> {
        if route.parts.is_empty() {
            return None;
        }
        let drawn = self.drawn.fetch_add(1, Ordering::Relaxed);
        route.part_at((drawn as f64 * GOLDEN_STEP).fract())
    }
}
