//! Quantiles of the recent latency of a route.
//!
//! Two histograms with logarithmic buckets rotate: one is filled while the previous one still
//! counts, so a quantile covers between one and two windows. Recording is a single atomic add.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Interval of rotation.
const WINDOW: Duration = Duration::from_secs(5);
/// Time for which a computed quantile is reused.
const QUANTILE_CACHE_TTL: Duration = Duration::from_millis(100);
/// Fewest samples from which a quantile is computed.
const MIN_SAMPLES: u64 = 50;
/// Buckets per doubling of the latency.
const BUCKETS_PER_DOUBLING: f64 = 4.0;
/// Upper bound of the lowest bucket in seconds.
const LOWEST_SECS: f64 = 50e-6;
/// Number of buckets; the highest one begins at about 50 s.
const BUCKETS: usize = 80;

#[derive(Debug)]
struct LatencyHistogram {
    counts: [AtomicU32; BUCKETS],
}

impl Default for LatencyHistogram {
    fn default() -> Self {
        Self { counts: [const { AtomicU32::new(0) }; BUCKETS] }
    }
}

/// Recent latencies of one route.
#[derive(Debug)]
pub struct LatencyWindow {
    created: Instant,
    histograms: [LatencyHistogram; 2],
    window: AtomicU64,
    cached_nanos: AtomicU64,
    cached_at_nanos: AtomicU64,
}

impl Default for LatencyWindow {
    fn default() -> Self {
        Self {
            created: Instant::now(),
            histograms: Default::default(),
            window: AtomicU64::new(0),
            cached_nanos: AtomicU64::new(0),
            cached_at_nanos: AtomicU64::new(0),
        }
    }
}

impl LatencyWindow {
    /// Records the time to the headers of a response.
    pub fn record(&self, latency: Duration) {
        let window = self.rotate();
        let histogram = &self.histograms[window as usize % 2];
        histogram.counts[bucket_of(latency)].fetch_add(1, Ordering::Relaxed);
    }

    /// The given quantile of recent latencies, between 0 and 1; none if there are too few samples.
    ///
    /// The result is cached regardless of `quantile`, so a window is to be asked for one quantile
    /// only.
    pub fn quantile(&self, quantile: f64) -> Option<Duration> {
        let now = self.created.elapsed().as_nanos() as u64;
        let age = now.saturating_sub(self.cached_at_nanos.load(Ordering::Relaxed));
        let cached = self.cached_nanos.load(Ordering::Relaxed);
        if cached != 0 && age <= QUANTILE_CACHE_TTL.as_nanos() as u64 {
            return Some(Duration::from_nanos(cached));
        }
        let value = self.compute(quantile);
        let nanos = value.map_or(0, |value| value.as_nanos() as u64);
        self.cached_nanos.store(nanos, Ordering::Relaxed);
        self.cached_at_nanos.store(now, Ordering::Relaxed);
        value
    }

    fn compute(&self, quantile: f64) -> Option<Duration> {
        self.rotate();
        let mut counts = [0u64; BUCKETS];
        for histogram in &self.histograms {
            for (total, count) in counts.iter_mut().zip(&histogram.counts) {
                *total += u64::from(count.load(Ordering::Relaxed));
            }
        }
        let total: u64 = counts.iter().sum();
        if total < MIN_SAMPLES {
            return None;
        }
        let rank = (total as f64 * quantile.clamp(0.0, 1.0)).ceil() as u64;
        let mut seen = 0;
        for (index, count) in counts.iter().enumerate() {
            seen += count;
            if seen >= rank {
                return Some(upper_bound(index));
            }
        }
        Some(upper_bound(BUCKETS - 1))
    }

    /// Moves to the current window and clears the histogram that it reuses.
    fn rotate(&self) -> u64 {
        let current = (self.created.elapsed().as_nanos() / WINDOW.as_nanos()) as u64;
        let last = self.window.fetch_max(current, Ordering::Relaxed);
        if last >= current {
            return last;
        }
        let skipped = current - last;
        self.histograms[current as usize % 2].clear();
        if skipped > 1 {
            self.histograms[(current as usize + 1) % 2].clear();
        }
        current
    }
}

impl LatencyHistogram {
    fn clear(&self) {
        for count in &self.counts {
            count.store(0, Ordering::Relaxed);
        }
    }
}

fn bucket_of(latency: Duration) -> usize {
    let doublings = (latency.as_secs_f64() / LOWEST_SECS).max(1.0).log2();
    ((doublings * BUCKETS_PER_DOUBLING).ceil() as usize).min(BUCKETS - 1)
}

fn upper_bound(bucket: usize) -> Duration {
    Duration::from_secs_f64(LOWEST_SECS * (bucket as f64 / BUCKETS_PER_DOUBLING).exp2())
}
