//! Repeats of requests within a sliding window, so that the shares of all entries add up.
//!
//! The deployment allows each group of upstreams, in any window, a ratio of its requests plus a
//! fixed number of repeats. The ratio is kept by each entry for its own requests. The fixed number
//! is divided by the entries; an entry that knows of too many takes less than its share, never
//! more.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};
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
    allowance: Mutex<WindowAllowance>,
    steps: Mutex<VecDeque<WindowStep>>,
}

impl WindowBudget {
    /// Creates a budget without history.
    pub fn new(allowance: WindowAllowance) -> Self {
        Self { allowance: Mutex::new(allowance), steps: Mutex::default() }
    }

    /// Replaces what the deployment allows; what was spent counts on.
    pub fn set_allowance(&self, allowance: WindowAllowance) {
        *self.allowance.lock().unwrap_or_else(PoisonError::into_inner) = allowance;
    }

    fn allowance(&self) -> WindowAllowance {
        *self.allowance.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records a request.
    pub fn record_request(&self) {
        self.with_steps(|steps| {
            if let Some(step) = steps.back_mut() {
                step.requests += 1;
            }
        });
    }

    /// Pays for one repeat; false if this entry, one of `entries`, has spent its share.
    pub fn try_spend(&self, entries: u32) -> bool {
        let allowance = self.allowance();
        self.with_steps(|steps| {
            if !is_allowed(steps, allowance, entries) {
                return false;
            }
            if let Some(step) = steps.back_mut() {
                step.repeats += 1;
            }
            true
        })
    }

    /// Whether [`Self::try_spend`] would pay now.
    pub fn can_spend(&self, entries: u32) -> bool {
        let allowance = self.allowance();
        self.with_steps(|steps| is_allowed(steps, allowance, entries))
    }

    /// Runs `use_steps` on the steps of the present window, of which the last one is running.
    fn with_steps<T>(&self, use_steps: impl FnOnce(&mut VecDeque<WindowStep>) -> T) -> T {
        let now = Instant::now();
        let window = self.allowance().window;
        let mut steps = self.steps.lock().unwrap_or_else(PoisonError::into_inner);
        while steps.front().is_some_and(|step| now - step.began > window) {
            steps.pop_front();
        }
        let length = window / STEPS;
        if steps.back().is_none_or(|step| now - step.began >= length) {
            steps.push_back(WindowStep { began: now, requests: 0, repeats: 0 });
        }
        use_steps(&mut steps)
    }
}

/// Whether one more repeat fits into the steps of the present window.
fn is_allowed(steps: &VecDeque<WindowStep>, allowance: WindowAllowance, entries: u32) -> bool {
    let requests: u32 = steps.iter().map(|step| step.requests).sum();
    let repeats: u32 = steps.iter().map(|step| step.repeats).sum();
    let share = allowance.extra / f64::from(entries.max(1));
    let allowed = USED_PART * (allowance.ratio * f64::from(requests) + share);
    f64::from(repeats + 1) <= allowed
}
