//! The number of requests in flight that a group of upstreams takes without queueing.
//!
//! Additive increase, multiplicative decrease over windows of attempts (D.-M. Chiu, R. Jain,
//! "Analysis of the Increase and Decrease Algorithms for Congestion Avoidance in Computer
//! Networks", 1989). An attempt counts as congested if it was shed, timed out, or came back with a
//! report of a full queue. One upstream that reports untruly moves nothing: a share of the window
//! must agree.

use std::time::Duration;

use tokio::time::Instant;

/// Attempts that make up a window.
const WINDOW_ATTEMPTS: u32 = 20;
/// Least time that a window covers, so that a burst is not judged more than once.
const WINDOW_TIME: Duration = Duration::from_millis(20);
/// Share of congested attempts above which the limit falls.
const CONGESTED_SHARE: f64 = 0.2;
/// Factor by which the limit falls.
const DECREASE: f64 = 0.8;
/// Share of the limit that it rises by, at least 1.
const INCREASE: f64 = 0.05;
/// Lowest limit.
const MIN_LIMIT: f64 = 1.0;
/// Multiple of the slots that the limit may reach.
///
/// A request spends part of its time on the way, so more than one fits a slot.
const MAX_PER_SLOT: f64 = 2.0;

/// What one attempt says about its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CongestionSignal {
    /// It has room.
    Clear,
    /// It has more than it can work on.
    Congested,
}

/// Whether the limit was reached in the present window.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitUsage {
    /// Requests had to wait, or the last place was taken.
    Reached,
    /// It was not.
    Below,
}

/// Attempts since the limit was last moved.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct AttemptWindow {
    /// All of them.
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

/// The limit.
#[derive(Clone, Debug)]
pub struct AdaptiveLimit {
    limit: f64,
    max: f64,
    turned: Instant,
}

impl AdaptiveLimit {
    /// Creates the limit for upstreams with `slots` slots in all.
    pub fn new(slots: u32) -> Self {
        let slots = f64::from(slots).max(MIN_LIMIT);
        Self { limit: slots, max: slots * MAX_PER_SLOT, turned: Instant::now() }
    }

    /// The limit, at least 1.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Follows a change of the upstreams.
    pub fn set_slots(&mut self, slots: u32) {
        let max = f64::from(slots).max(MIN_LIMIT) * MAX_PER_SLOT;
        self.limit = (self.limit * max / self.max).max(MIN_LIMIT);
        self.max = max;
    }

    /// Whether the window has lasted long enough.
    pub fn is_due(&self) -> bool {
        self.turned.elapsed() >= WINDOW_TIME
    }

    /// Moves the limit at the end of a window.
    pub fn end_window(&mut self, window: AttemptWindow, usage: LimitUsage) {
        let share = f64::from(window.congested) / f64::from(window.attempts.max(1));
        if share > CONGESTED_SHARE {
            self.limit = (self.limit * DECREASE).max(MIN_LIMIT);
        } else if usage == LimitUsage::Reached {
            self.limit = (self.limit + (self.limit * INCREASE).max(1.0)).min(self.max);
        }
        self.turned = Instant::now();
    }
}
