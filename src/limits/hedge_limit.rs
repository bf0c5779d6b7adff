//! Operators' limit on hedges, as a share of the requests of a route or a service.
//!
//! ```text
//! request -> credit += share; a full credit becomes a permit, valid for one window
//! hedge   -> allowed while the window holds more permits than hedges
//! ```
//!
//! An entry sees only a few requests per second, so its share of one window is often less than one
//! hedge. The credit carries such fractions over from window to window, and a new entry starts
//! without credit, so that an entry never sends more hedges than the share of the requests that it
//! has seen. A permit that is not used expires, so that entries with little need for hedges don't
//! save up permits that all of them would spend at the same moment. The limit is thus the same for
//! any number of entries and needs no messages between them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Length of the sliding window, after which an unused permit expires. A route with a share of 0.05
/// and one request per second on this entry gains a permit every 20 s; with a shorter window, it
/// would lose most of its permits before a slow request needs one.
pub const HEDGE_WINDOW: Duration = Duration::from_secs(30);
/// Counting steps into which the window is divided.
const STEPS_PER_WINDOW: u32 = 20;
/// Share of the allowance that is used. The rest covers the step that is just leaving the window, and
/// entries that happen to earn their permits in the same window.
const USED_SHARE: f64 = 0.9;

/// Hedges that operators allow.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct HedgeAllowance {
    /// Hedges as a share of the requests of a route, between 0 and 1.
    pub max_share: f64,
    /// Hedges as a share of the requests to a service, between 0 and 1.
    pub max_service_share: f64,
}

#[derive(Clone, Copy, Debug)]
struct LimitStep {
    started: Instant,
    permits: u32,
    hedges: u32,
}

/// Bounds the hedges of this entry to a share of requests.
#[derive(Debug)]
pub struct HedgeLimit {
    state: Mutex<LimitState>,
}

#[derive(Debug)]
struct LimitState {
    share: f64,
    /// Fraction of the next permit that requests have earned so far.
    credit: f64,
    /// Steps of the current window, oldest first; the last one is still counting.
    steps: VecDeque<LimitStep>,
}

impl HedgeLimit {
    /// Creates a limit without permits.
    pub fn new(share: f64) -> Self {
        let state = LimitState { share, credit: 0.0, steps: VecDeque::new() };
        Self { state: Mutex::new(state) }
    }

    /// Replaces the share. A lower share takes effect at once: it withdraws the permits that
    /// requests earned under the higher one. Hedges that were already sent still count.
    pub fn set_share(&self, share: f64) {
        let mut state = self.lock();
        if share < state.share {
            state.credit = 0.0;
            for step in &mut state.steps {
                step.permits = 0;
            }
        }
        state.share = share;
    }

    /// Records a request.
    pub fn record_request(&self) {
        let mut state = self.lock();
        state.credit += USED_SHARE * state.share;
        if state.credit < 1.0 {
            return;
        }
        state.credit -= 1.0;
        if let Some(step) = state.current_step() {
            step.permits += 1;
        }
    }

    /// Removes the credit of one recorded request, because the entry that it was forwarded to
    /// counts it.
    pub fn withdraw_request(&self) {
        let mut state = self.lock();
        state.credit -= USED_SHARE * state.share;
    }

    /// Counts one hedge if it is allowed.
    pub fn try_spend(&self) -> bool {
        let mut state = self.lock();
        if !state.allows_another() {
            return false;
        }
        if let Some(step) = state.current_step() {
            step.hedges += 1;
        }
        true
    }

    /// Takes back a counted hedge that was not sent.
    pub fn refund(&self) {
        let mut state = self.lock();
        if let Some(step) = state.steps.iter_mut().rev().find(|step| step.hedges > 0) {
            step.hedges -= 1;
        }
    }

    /// Whether [`Self::try_spend`] would succeed now.
    pub fn can_spend(&self) -> bool {
        self.lock().allows_another()
    }

    fn lock(&self) -> MutexGuard<'_, LimitState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LimitState {
    /// Whether the window holds a permit that no hedge has used. A hedge that was allowed by an
    /// expired permit still counts until it leaves the window itself.
    fn allows_another(&mut self) -> bool {
        self.remove_expired(Instant::now());
        let permits: u32 = self.steps.iter().map(|step| step.permits).sum();
        let hedges: u32 = self.steps.iter().map(|step| step.hedges).sum();
        hedges < permits
    }

    fn remove_expired(&mut self, now: Instant) {
        while self.steps.front().is_some_and(|step| now - step.started >= HEDGE_WINDOW) {
            self.steps.pop_front();
        }
    }

    fn current_step(&mut self) -> Option<&mut LimitStep> {
        let now = Instant::now();
        self.remove_expired(now);
        let length = HEDGE_WINDOW / STEPS_PER_WINDOW;
        if self.steps.back().is_none_or(|step| now - step.started >= length) {
            self.steps.push_back(LimitStep { started: now, permits: 0, hedges: 0 });
        }
        self.steps.back_mut()
    }
}

/// The limits that a hedge of one request counts against.
#[derive(Clone, Debug)]
pub struct HedgeLimitPair {
    /// Limit of the route.
    pub route: Arc<HedgeLimit>,
    /// Limit of the service, shared by the routes to it.
    pub service: Arc<HedgeLimit>,
}

impl HedgeLimitPair {
    /// Records a request.
    pub fn record_request(&self) {
        self.route.record_request();
        self.service.record_request();
    }

    /// Removes the credit of one recorded request.
    pub fn withdraw_request(&self) {
        self.route.withdraw_request();
        self.service.withdraw_request();
    }

    /// Whether both limits allow a hedge now.
    pub fn can_spend(&self) -> bool {
        self.route.can_spend() && self.service.can_spend()
    }

    /// Counts one hedge if both limits allow it.
    pub fn try_spend(&self) -> bool {
        if !self.route.try_spend() {
            return false;
        }
        if !self.service.try_spend() {
            self.route.refund();
            return false;
        }
        true
    }

    /// Takes back a counted hedge that was not sent.
    pub fn refund(&self) {
        self.route.refund();
        self.service.refund();
    }
}
