//! An adaptive concurrency limit for a group of upstreams.
//!
//! Additive increase, multiplicative decrease (AIMD) over windows of attempts (D.-M. Chiu, R. Jain,
//! "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance in Computer
//! Networks", 1989). An attempt counts as congested if it was shed, timed out, or was answered with
//! a report of a full queue. The limit falls only when a given share of a window is congested, so a
//! single upstream with wrong reports does not move it.

use std::time::Duration;

use tokio::time::Instant;

/// Attempts that make up a window.
const WINDOW_ATTEMPTS: u32 = 20;
/// Shortest duration of a window, so that one burst does not lower the limit more than once.
const MIN_WINDOW: Duration = Duration::from_millis(20);
/// Share of congested attempts above which the limit falls.
const MAX_CONGESTED_SHARE: f64 = 0.2;
/// Factor of a decrease.
const DECREASE_FACTOR: f64 = 0.8;
/// Increase as a share of the limit; at least 1.
const INCREASE_SHARE: f64 = 0.05;
const MIN_LIMIT: f64 = 1.0;
/// Largest limit as a multiple of the slots. Above 1, because requests spend part of their time on
/// the network, where they use no slot.
const MAX_LIMIT_PER_SLOT: f64 = 2.0;

/// Whether an attempt found its upstream congested.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CongestionSignal {
    /// The upstream has capacity to spare.
    Clear,
    /// The upstream has more requests than it can serve.
    Congested,
}

/// Whether the limit was reached in the current window. Only a limit that was reached may rise.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitUsage {
    /// As many requests were in flight as the limit allows.
    Reached,
    /// Fewer were in flight throughout.
    Below,
}

/// Attempts since the limit was last adjusted.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptWindow {
    /// All attempts.
    pub attempts: u32,
    /// Those that were congested.
    pub congested: u32,
}

impl AttemptWindow {
    /// Whether there are enough attempts to judge by.
    pub fn is_full(self) -> bool {
        self.attempts >= WINDOW_ATTEMPTS
    }
}

/// The number of requests that may be in flight to a group of upstreams.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    limit: f64,
    max: f64,
    window_started: Instant,
}

impl AdaptiveLimit {
    /// Creates a limit equal to `slots`, the slots of all upstreams of the group.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots).max(MIN_LIMIT);
        Self { limit: slots, max: slots * MAX_LIMIT_PER_SLOT, window_started: Instant::now() }
    }

    /// The limit, at least 1.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Scales the limit to a changed number of slots.
    pub fn set_slots(&mut self, slots: u32) {
        let max = f64::from(slots).max(MIN_LIMIT) * MAX_LIMIT_PER_SLOT;
        self.limit = (self.limit * max / self.max).max(MIN_LIMIT);
        self.max = max;
    }

    /// Whether the current window has lasted for the shortest duration of one.
    pub fn is_due(&self) -> bool {
        self.window_started.elapsed() >= MIN_WINDOW
    }

    /// Adjusts the limit at the end of a window and starts the next one.
    pub fn end_window(&mut self, window: AttemptWindow, usage: LimitUsage) {
        let share = f64::from(window.congested) / f64::from(window.attempts.max(1));
        if share > MAX_CONGESTED_SHARE {
            self.limit = (self.limit * DECREASE_FACTOR).max(MIN_LIMIT);
        } else if usage == LimitUsage::Reached {
            self.limit = (self.limit + (self.limit * INCREASE_SHARE).max(1.0)).min(self.max);
        }
        self.window_started = Instant::now();
    }
}
