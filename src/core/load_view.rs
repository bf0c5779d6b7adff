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
pub struct AtomicNumber(AtomicU32);

impl AtomicNumber {
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
pub struct AtomicTime(AtomicU64);

impl AtomicTime {
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
pub struct LoadView {
    created: Instant,
    /// When the last answer of any kind arrived.
    pub heard: AtomicTime,
    /// When this node last had a whole exchange with it, so that a connection is likely open.
    pub exchanged: AtomicTime,
    /// When the last probe was sent.
    pub probed: AtomicTime,
    /// When the last load report arrived.
    pub reported: AtomicTime,
    /// Requests of other entries at the time of the last report.
    pub reported_others: AtomicNumber,
    /// Time that work took at the last report, in percent of the usual one; 0 if none was told.
    pub work_percent: AtomicNumber,
    /// Moving average of the requests of other entries.
    pub usual_others: AtomicNumber,
    /// Moving average of latency in seconds without the network; 0 before the first answer.
    pub latency_secs: AtomicNumber,
    /// Moving average of the share of failed attempts.
    pub error_share: AtomicNumber,
    /// When the last attempt failed.
    pub failed: AtomicTime,
    /// Failures since the last answer.
    pub failures: AtomicU32,
    /// Until when the upstream is ejected.
    pub ejected_until: AtomicTime,
    /// Ejections in a row.
    pub ejections: AtomicU32,
    /// Since when the upstream is warming up, after it was created or came back.
    pub warm_since: AtomicTime,
}

impl Default for LoadView {
    fn default() -> Self {
        let warm_since = AtomicTime::default();
        warm_since.set(0);
        Self {
            created: Instant::now(),
            heard: AtomicTime::default(),
            exchanged: AtomicTime::default(),
            probed: AtomicTime::default(),
            reported: AtomicTime::default(),
            reported_others: AtomicNumber::default(),
            work_percent: AtomicNumber::default(),
            usual_others: AtomicNumber::default(),
            latency_secs: AtomicNumber::default(),
            error_share: AtomicNumber::default(),
            failed: AtomicTime::default(),
            failures: AtomicU32::new(0),
            ejected_until: AtomicTime::default(),
            ejections: AtomicU32::new(0),
            warm_since,
        }
    }
}

impl LoadView {
    /// Nanoseconds from the creation of the view to `now`.
    pub fn nanos_at(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.created).as_nanos() as u64
    }

    /// Age at `now` of a time in nanoseconds after the creation of the view.
    pub fn age_at(&self, now: Instant, nanos: u64) -> Duration {
        Duration::from_nanos(self.nanos_at(now).saturating_sub(nanos))
    }

    /// Time since the last answer of any kind, or since the creation of the view.
    pub fn silence(&self, now: Instant) -> Duration {
        self.age_at(now, self.heard.get().unwrap_or_default())
    }

    /// Age at `now` of the last load report; none if there was none.
    pub fn report_age(&self, now: Instant) -> Option<Duration> {
        Some(self.age_at(now, self.reported.get()?))
    }

    /// Multiple of its usual time that work took at the last report; none if that was not told.
    pub fn pace(&self) -> Option<f32> {
        let percent = self.work_percent.get();
        (percent > 0.0).then(|| percent / USUAL_PERCENT)
    }

    /// Whether the upstream is ejected at `now`.
    pub fn is_ejected(&self, now: Instant) -> bool {
        self.ejected_until.get().is_some_and(|until| self.nanos_at(now) < until)
    }
}
