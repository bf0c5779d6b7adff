//! What a node has learnt about the load and health of one upstream.
//!
//! Plain atomic cells, written by whoever observes an answer and read by every pick. Cells are not
//! read together atomically: a pick that sees one cell of the newest answer and another of the one
//! before errs by one answer.

use std::sync::atomic::{AtomicU32, AtomicU64, Ordering};
use std::time::Duration;

use tokio::time::Instant;

/// Percent at which work takes its usual time.
const USUAL_PERCENT: f32 = 100.0;

/// A number that is replaced as a whole.
#[derive(Debug, Default)]
pub struct AtomicF32(AtomicU32);

impl AtomicF32 {
    /// The number.
    pub fn get(&self) -> f32 {
        f32::from_bits(self.0.load(Ordering::Relaxed))
    }

    /// Replaces the number.
    pub fn set(&self, value: f32) {
        self.0.store(value.to_bits(), Ordering::Relaxed);
    }

    /// Moves the number towards `sample` by `share` of the distance.
    pub fn blend(&self, sample: f32, share: f32) {
        let value = self.get();
        self.set(value + (sample - value) * share);
    }
}

/// A time after the creation of a view; never set at first.
#[derive(Debug, Default)]
pub struct AtomicTimestamp(AtomicU64);

impl AtomicTimestamp {
    /// Nanoseconds after the creation of the view; none if it was never set.
    pub fn get(&self) -> Option<u64> {
        // Zero stands for "never", so the time is stored one higher.
        self.0.load(Ordering::Relaxed).checked_sub(1)
    }

    /// Sets the time in nanoseconds after the creation of the view.
    pub fn set(&self, nanos: u64) {
        self.0.store(nanos.saturating_add(1), Ordering::Relaxed);
    }

    /// Sets the time to "never".
    pub fn clear(&self) {
        self.0.store(0, Ordering::Relaxed);
    }
}

/// Load and health of one upstream as this node knows them.
#[derive(Debug)]
pub struct UpstreamStats {
    created: Instant,
    /// When the last answer of any kind arrived.
    pub last_response_at: AtomicTimestamp,
    /// When this node last had a whole exchange with it, so that a connection is likely open.
    pub last_exchange_at: AtomicTimestamp,
    /// When the last probe was sent.
    pub last_probe_at: AtomicTimestamp,
    /// When the last load report arrived.
    pub last_report_at: AtomicTimestamp,
    /// Requests of other entries at the time of the last report.
    pub reported_peer_inflight: AtomicF32,
    /// Time that work took at the last report, in percent of the usual one; 0 if none was told.
    pub work_percent: AtomicF32,
    /// Moving average of the requests of other entries.
    pub mean_peer_inflight: AtomicF32,
    /// Moving average of latency in seconds without the network; 0 before the first answer.
    pub latency_secs: AtomicF32,
    /// Moving average of the share of failed attempts.
    pub error_rate: AtomicF32,
    /// When the last attempt failed.
    pub last_failure_at: AtomicTimestamp,
    /// Failures since the last answer.
    pub consecutive_failures: AtomicU32,
    /// Until when the upstream is ejected.
    pub ejected_until: AtomicTimestamp,
    /// Ejections in a row.
    pub consecutive_ejections: AtomicU32,
    /// Since when the upstream is warming up, after it was created or came back.
    pub warm_up_started_at: AtomicTimestamp,
}

impl Default for UpstreamStats {
    fn default() -> Self {
        let warm_since = AtomicTimestamp::default();
        warm_since.set(0);
        Self {
            created: Instant::now(),
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
            consecutive_ejections: AtomicU32::new(0),
            warm_up_started_at: warm_since,
        }
    }
}

impl UpstreamStats {
    /// Nanoseconds from the creation of the view to `now`.
    pub fn nanos_at(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.created).as_nanos() as u64
    }

    /// Age at `now` of a time in nanoseconds after the creation of the view.
    pub fn age_at(&self, now: Instant, nanos: u64) -> Duration {
        Duration::from_nanos(self.nanos_at(now).saturating_sub(nanos))
    }

    /// Time since the last answer of any kind, or since the creation of the view.
    pub fn time_since_response(&self, now: Instant) -> Duration {
        self.age_at(now, self.last_response_at.get().unwrap_or_default())
    }

    /// Age at `now` of the last load report; none if there was none.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        Some(self.age_at(now, self.last_report_at.get()?))
    }

    /// Multiple of its usual time that work took at the last report; none if that was not told.
    pub fn slowdown_factor(&self) -> Option<f32> {
        let percent = self.work_percent.get();
        (percent > 0.0).then(|| percent / USUAL_PERCENT)
    }

    /// Whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.get().is_some_and(|until| self.nanos_at(now) < until)
    }
}
