//! Estimates of the service time and size of a route's requests.

use std::time::Duration;

use crate::core::{AtomicF32, RouteRecord};

/// Service time assumed before the first response, as a fraction of the route's latency goal.
const DEFAULT_GOAL_FRACTION: f32 = 0.36;
/// Service time assumed before the first response on a route without a goal.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(50);
/// Saturation factor assumed before the first response of a saturated upstream.
const DEFAULT_SATURATION_FACTOR: f32 = 1.2;
/// Upper bound of the saturation factor.
const MAX_SATURATION_FACTOR: f32 = 3.0;
/// Quantile of the latency that counts as the service time. Below the median, so that upstreams
/// that are slowed down at the moment do not raise it.
const SERVICE_TIME_QUANTILE: f32 = 0.4;
/// Scale of the relative change of an estimate per response.
const ESTIMATE_STEP: f32 = 0.08;
/// Weight of the latest request in the mean size.
const SIZE_WEIGHT: f32 = 0.05;

/// Service time and size of one route's requests, estimated from responses.
#[derive(Debug, Default)]
pub struct RouteCostEstimator {
    service_secs: AtomicF32,
    /// Service time of requests that took the last free slot of their upstream.
    saturated_secs: AtomicF32,
    mean_kilobytes: AtomicF32,
}

impl RouteCostEstimator {
    /// Service time of an upstream that is neither saturated nor slowed down.
    pub fn service_time(&self, route: &RouteRecord) -> Duration {
        let service_secs = self.service_secs.get();
        if service_secs > 0.0 {
            return Duration::from_secs_f32(service_secs);
        }
        if route.spec.goal.is_zero() {
            return DEFAULT_SERVICE_TIME;
        }
        route.spec.goal.mul_f32(DEFAULT_GOAL_FRACTION)
    }

    /// Service time with all slots of an upstream in use, as a multiple of the usual one; at
    /// least 1.
    pub fn saturation_factor(&self) -> f32 {
        let (service_secs, saturated_secs) = (self.service_secs.get(), self.saturated_secs.get());
        if service_secs <= 0.0 || saturated_secs <= 0.0 {
            return DEFAULT_SATURATION_FACTOR;
        }
        (saturated_secs / service_secs).clamp(1.0, MAX_SATURATION_FACTOR)
    }

    /// Records the latency of a response, by a quantile estimate that moves in small steps.
    /// `is_saturated` tells whether the request took the last free slot of its upstream.
    pub fn record_service_time(&self, route: &RouteRecord, latency: Duration, is_saturated: bool) {
        let usual_secs = self.service_time(route).as_secs_f32();
        let estimate = if is_saturated { &self.saturated_secs } else { &self.service_secs };
        let mut secs = estimate.get();
        if secs <= 0.0 {
            let factor = if is_saturated { DEFAULT_SATURATION_FACTOR } else { 1.0 };
            secs = usual_secs * factor;
        }
        let is_longer = latency.as_secs_f32() > secs;
        let step = if is_longer { SERVICE_TIME_QUANTILE } else { SERVICE_TIME_QUANTILE - 1.0 };
        estimate.set(secs * (1.0 + ESTIMATE_STEP * step));
    }

    /// Mean size of a request and its response together, in kilobytes; 0 before the first.
    pub fn mean_kilobytes(&self) -> f32 {
        self.mean_kilobytes.get()
    }

    /// Records the size of a request and its response together.
    pub fn record_bytes(&self, bytes: u64) {
        let kilobytes = bytes as f32 / 1024.0;
        if self.mean_kilobytes.get() <= 0.0 {
            return self.mean_kilobytes.set(kilobytes);
        }
        self.mean_kilobytes.blend(kilobytes, SIZE_WEIGHT);
    }
}
