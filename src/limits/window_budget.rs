//! Sliding-window budget for repeats (retries and hedges) that holds over all entries together.
//!
//! In any window, the deployment allows each group of upstreams as many repeats as a ratio of its
//! requests plus a fixed number. Each entry applies the ratio to its own requests and takes an
//! equal share of the fixed number. An entry that overestimates the number of entries takes less
//! than its share, never more.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Counting steps into which a window is divided.
const STEPS_PER_WINDOW: u32 = 20;
/// Share of the allowance that is used. The rest covers entries that have joined unnoticed, and the
/// step that is just leaving the window.
const USED_SHARE: f64 = 0.8;

/// Repeats that the deployment allows in any window.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WindowAllowance {
    /// Repeats as a share of requests.
    pub ratio: f64,
    /// Further repeats, of all entries together.
    pub extra: f64,
    /// Length of the sliding window.
    pub window: Duration,
}

#[derive(Clone, Copy, Debug)]
struct WindowStep {
    started: Instant,
    requests: u32,
    repeats: u32,
}

/// Bounds the repeats that this entry sends to one group of upstreams.
#[derive(Debug)]
pub struct WindowBudget {
    state: Mutex<WindowState>,
}

#[derive(Debug)]
struct WindowState {
    allowance: WindowAllowance,
    /// Steps of the current window, oldest first; the last one is still counting.
    steps: VecDeque<WindowStep>,
}

impl WindowBudget {
    /// Creates a budget without history.
    pub fn new(allowance: WindowAllowance) -> Self {
        let state = WindowState { allowance, steps: VecDeque::new() };
        Self { state: Mutex::new(state) }
    }

    /// Replaces the allowance; repeats that were already sent still count.
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

    /// Removes one recorded request, because the entry that it was forwarded to counts it.
    pub fn withdraw_request(&self) {
        let mut state = self.lock();
        if let Some(step) = state.steps.iter_mut().rev().find(|step| step.requests > 0) {
            step.requests -= 1;
        }
    }

    /// Counts one repeat if it is allowed; false if this entry, one of `entries`, has used up its
    /// share.
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

    /// Whether [`Self::try_spend`] would succeed now.
    pub fn can_spend(&self, entries: u32) -> bool {
        let mut state = self.lock();
        state.advance();
        state.allows_another(entries)
    }

    /// Whether a request or a repeat has been counted within the window.
    pub fn has_counts(&self) -> bool {
        let mut state = self.lock();
        state.advance();
        state.steps.iter().any(|step| step.requests > 0 || step.repeats > 0)
    }

    fn lock(&self) -> MutexGuard<'_, WindowState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl WindowState {
    /// Removes the steps that have left the window and starts a new one when it is due.
    fn advance(&mut self) {
        let now = Instant::now();
        let window = self.allowance.window;
        while self.steps.front().is_some_and(|step| now - step.started > window) {
            self.steps.pop_front();
        }
        let length = window / STEPS_PER_WINDOW;
        if self.steps.back().is_none_or(|step| now - step.started >= length) {
            self.steps.push_back(WindowStep { started: now, requests: 0, repeats: 0 });
        }
    }

    /// Whether one more repeat by one of `entries` entries fits into the window.
    fn allows_another(&self, entries: u32) -> bool {
        let requests: u32 = self.steps.iter().map(|step| step.requests).sum();
        let repeats: u32 = self.steps.iter().map(|step| step.repeats).sum();
        let share = self.allowance.extra / f64::from(entries.max(1));
        let allowed = USED_SHARE * (self.allowance.ratio * f64::from(requests) + share);
        f64::from(repeats + 1) <= allowed
    }
}
