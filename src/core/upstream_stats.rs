//! Load and health statistics of one upstream, as one node knows them.
//!
//! The statistics are independent atomic cells, written for each response and read by every pick.
//! They are not read as a consistent whole: a pick may combine a cell of the latest response with
//! one of the response before, which makes it stale by one response.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Reported service time that stands for no slowdown, in percent.
const USUAL_PERCENT: f32 = 100.0;

/// An atomic `f32`. Concurrent updates may be lost.
#[derive(Debug, Default)]
pub struct AtomicF32(AtomicU32);

impl AtomicF32 {
    /// Current value.
    pub fn get(&self) -> f32 {
        f32::from_bits(self.0.load(Ordering::Relaxed))
    }

    /// Replaces the value.
    pub fn set(&self, value: f32) {
        self.0.store(value.to_bits(), Ordering::Relaxed);
    }

    /// Updates an exponentially weighted moving average: moves the value towards `sample` by the
    /// fraction `weight` of the difference.
    pub fn blend(&self, sample: f32, weight: f32) {
        let value = self.get();
        self.set(value + (sample - value) * weight);
    }
}

/// An optional atomic time, in nanoseconds after the creation of the [`UpstreamStats`].
#[derive(Debug, Default)]
pub struct AtomicTimestamp(AtomicU64);

impl AtomicTimestamp {
    /// The time in nanoseconds; none if it is not set.
    pub fn get(&self) -> Option<u64> {
        // Zero stands for "not set", so times are stored plus one.
        self.0.load(Ordering::Relaxed).checked_sub(1)
    }

    /// Sets the time in nanoseconds.
    pub fn set(&self, nanos: u64) {
        self.0.store(nanos.saturating_add(1), Ordering::Relaxed);
    }

    /// Makes the time "not set".
    pub fn clear(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

/// Load and health of one upstream, as this node knows them.
#[derive(Debug)]
pub struct UpstreamStats {
    created_at: Instant,
    /// When the last response other than a server error arrived.
    pub last_response_at: AtomicTimestamp,
    /// When this node last completed a request to the upstream, after which a connection is likely
    /// open.
    pub last_exchange_at: AtomicTimestamp,
    /// When the last probe was sent.
    pub last_probe_at: AtomicTimestamp,
    /// Time of the last load report.
    pub last_report_at: AtomicTimestamp,
    /// Requests in flight from other entries, by the last report.
    pub reported_peer_inflight: AtomicF32,
    /// Last reported service time in percent of the usual one; 0 if none was reported.
    pub work_percent: AtomicF32,
    /// Moving average of the requests in flight from other entries.
    pub mean_peer_inflight: AtomicF32,
    /// Moving average of the latency in seconds, without the network; 0 before the first response.
    pub latency_secs: AtomicF32,
    /// Moving average of failed attempts, from 0 to 1.
    pub error_rate: AtomicF32,
    /// When the last attempt failed.
    pub last_failure_at: AtomicTimestamp,
    /// Failures since the last success, weighted by their kind.
    pub consecutive_failures: AtomicU32,
    /// End of the current or last ejection.
    pub ejected_until: AtomicTimestamp,
    /// End of the pause that the upstream has asked for.
    pub paused_until: AtomicTimestamp,
    /// Ejections without a success after them; each one lasts longer than the one before.
    pub consecutive_ejections: AtomicU32,
    /// Start of the slow start, after the upstream was added or its ejection ended; not set once it
    /// has warmed up.
    pub warm_up_started_at: AtomicTimestamp,
}

impl Default for UpstreamStats {
    fn default() -> Self {
        let warm_up_started_at = AtomicTimestamp::default();
        warm_up_started_at.set(0);
        Self {
            created_at: Instant::now(),
            last_response_at: AtomicTimestamp::default(),
            last_exchange_at: AtomicTimestamp::default(),
            last_probe_at: AtomicTimestamp::default(),
            last_report_at: AtomicTimestamp::default(),
            reported_peer_inflight: AtomicF32::default(),
            work_percent: AtomicF32::default(),
            mean_peer_inflight: AtomicF32::default(),
            latency_secs: AtomicF32::default(),
            error_rate: AtomicF32::default(),
            last_failure_at: AtomicTimestamp::default(),
            consecutive_failures: AtomicU32::new(0),
            ejected_until: AtomicTimestamp::default(),
            paused_until: AtomicTimestamp::default(),
            consecutive_ejections: AtomicU32::new(0),
            warm_up_started_at,
        }
    }
}

impl UpstreamStats {
    /// `now` in nanoseconds after the creation of the statistics.
    pub fn nanos_at(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.created_at).as_nanos() as u64
    }

    /// Age at `now` of a time in nanoseconds after the creation of the statistics.
    pub fn age_at(&self, now: Instant, nanos: u64) -> Duration {
        Duration::from_nanos(self.nanos_at(now).saturating_sub(nanos))
    }

    /// Time since [`Self::last_response_at`], or since the creation of the statistics.
    pub fn time_since_response(&self, now: Instant) -> Duration {
        self.age_at(now, self.last_response_at.get().unwrap_or_default())
    }

    /// Age of the last load report at `now`; none before the first.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        Some(self.age_at(now, self.last_report_at.get()?))
    }

    /// Last reported service time as a multiple of the usual one; none if it was not reported.
    pub fn slowdown_factor(&self) -> Option<f32> {
        let percent = self.work_percent.get();
        (percent > 0.0).then(|| percent / USUAL_PERCENT)
    }

    /// Time at `now` until the end of the pause that the upstream has asked for; zero without one.
    pub fn pause_left(&self, now: Instant) -> Duration {
        let Some(until) = self.paused_until.get() else { return Duration::ZERO };
        Duration::from_nanos(until.saturating_sub(self.nanos_at(now)))
    }

    /// Forgets failures since a point in time, and the ejection that they caused.
    pub fn forget_failures_since(&self, since: Instant) {
        let since = self.nanos_at(since);
        if self.last_failure_at.get().is_none_or(|failed_at| failed_at < since) {
            return;
        }
        self.last_failure_at.clear();
        self.error_rate.set(0.0);
        self.consecutive_failures.store(0, Ordering::Relaxed);
        self.consecutive_ejections.store(0, Ordering::Relaxed);
        self.ejected_until.clear();
    }

    /// Whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.get().is_some_and(|until| self.nanos_at(now) < until)
    }
}
