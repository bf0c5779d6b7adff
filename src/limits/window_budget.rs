//! Repeats of requests within a sliding window, so that the shares of all entries add up.
//!
//! The deployment allows each group of upstreams, in any window, a ratio of its requests plus a
//! fixed number of repeats. The ratio is kept by each entry for its own requests. The fixed number
//! is divided by the entries; an entry that knows of too many takes less than its share, never
//! more.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Steps that a window is counted in.
const STEPS: u32 = 20;
/// Part of the allowance that is used. The rest covers entries that have joined unnoticed and the
/// step that slides out of the window.
const USED_PART: f64 = 0.8;

/// What the deployment allows.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowAllowance {
    /// Repeats as a share of requests.
    pub ratio: f64,
    /// Repeats beside that share, of all entries together.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct WindowStep {
    began: Instant,
    requests: u32,
    repeats: u32,
}

/// Bounds the repeats of one entry for one group of upstreams.
#[derive(Debug)]
pub struct WindowBudget {
    state: Mutex<WindowState>,
}

#[derive(Debug)]
struct WindowState {
    allowance: WindowAllowance,
    /// Those of the present window; the last one is running.
    steps: VecDeque<WindowStep>,
}

impl WindowBudget {
    /// Creates a budget without history.
    pub fn new(allowance: WindowAllowance) -> Self {
        let state = WindowState { allowance, steps: VecDeque::new() };
        Self { state: Mutex::new(state) }
    }

    /// Replaces what the deployment allows; what was spent counts on.
    pub fn set_allowance(&self, allowance: WindowAllowance) {
        self.lock().allowance = allowance;
    }

    /// Records a request.
    pub fn record_request(&self) {
        let mut state = self.lock();
        state.advance();
        if let Some(step) = state.steps.back_mut() {
            step.requests += 1;
        }
    }

    /// Pays for one repeat; false if this entry, one of `entries`, has spent its share.
    pub fn try_spend(&self, entries: u32) -> bool {
        let mut state = self.lock();
        state.advance();
        if !state.allows_another(entries) {
            return false;
        }
        if let Some(step) = state.steps.back_mut() {
            step.repeats += 1;
        }
        true
    }

    /// Whether [`Self::try_spend`] would pay now.
    pub fn can_spend(&self, entries: u32) -> bool {
        let mut state = self.lock();
        state.advance();
        state.allows_another(entries)
    }

    fn lock(&self) -> MutexGuard<'_, WindowState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl WindowState {
    /// Forgets the steps that have left the window and begins a new one when it is time.
    fn advance(&mut self) {
        let now = Instant::now();
        let window = self.allowance.window;
        while self.steps.front().is_some_and(|step| now - step.began > window) {
            self.steps.pop_front();
        }
        let length = window / STEPS;
        if self.steps.back().is_none_or(|step| now - step.began >= length) {
            self.steps.push_back(WindowStep { began: now, requests: 0, repeats: 0 });
        }
    }

    /// Whether one more repeat of one of `entries` entries fits into the window.
    fn allows_another(&self, entries: u32) -> bool {
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        let share = self.allowance.extra / f64::from(entries.max(1));
        let allowed = USED_PART * (self.allowance.ratio * f64::from(requests) + share);
        f64::from(repeats + 1) <= allowed
    }
}
