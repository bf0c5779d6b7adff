//! Operators' limit on hedges, as a share of the requests of a route or a service.
//!
//! ```text
//! request -> credit += share; a full credit becomes a permit, which expires unless it is used
//! hedge   -> takes the oldest permit
//! ```
//!
//! An entry sees only a few requests per second, so its share of one window is often less than one
//! hedge. The credit carries such fractions over from window to window, and a new entry starts
//! without credit, so that an entry never sends more hedges than the share of the requests that it
//! has seen. A permit that is not used expires, so that entries with little need for hedges don't
//! save up permits that all of them would spend at the same moment. Hedges within a window use
//! permits that were earned within the window and one lifetime before it; for the sum over many
//! entries to stay within the share, the credit is reduced accordingly. The limit is thus the same
//! for any number of entries and needs no messages between them.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

/// Length of the sliding window in which the hedges of all entries stay within the share of requests.
pub const HEDGE_WINDOW: Duration = Duration::from_secs(60);
/// Time after which an unused permit expires. With a shorter time, routes with few requests per
/// entry lose more of their permits; with a longer one, more hedges may follow a quiet time at once.
pub const PERMIT_LIFETIME: Duration = Duration::from_secs(20);
/// Counting steps into which the lifetime of a permit is divided.
const STEPS_PER_LIFETIME: u32 = 20;
/// Permits earned per request, as a fraction of the share: a window over a window and a lifetime.
const USED_SHARE: f64 = 0.75;

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
    /// Unused permits that were earned in the step.
    permits: u32,
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
    /// Steps whose permits have not expired, oldest first; the last one is still counting.
    steps: VecDeque<LimitStep>,
}

impl HedgeLimit {
    /// Creates a limit without permits.
    pub fn new(share: f64) -> Self {
        let state = LimitState { share, credit: 0.0, steps: VecDeque::new() };
        Self { state: Mutex::new(state) }
    }

    /// Replaces the share. A lower share takes effect at once: it withdraws the permits that
    /// requests earned under the higher one.
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
        state.add_permit();
    }

    /// Removes the credit of one recorded request, because the entry that it was forwarded to
    /// counts it.
    pub fn withdraw_request(&self) {
        let mut state = self.lock();
        state.credit -= USED_SHARE * state.share;
    }

    /// Takes a permit for one hedge; false if there is none.
    pub fn try_spend(&self) -> bool {
        let mut state = self.lock();
        state.remove_expired(Instant::now());
        let Some(step) = state.steps.iter_mut().find(|step| step.permits > 0) else { return false };
        step.permits -= 1;
        true
    }

    /// Puts back the permit of a hedge that was not sent.
    pub fn refund(&self) {
        let mut state = self.lock();
        match state.steps.front_mut() {
            Some(step) => step.permits += 1,
            None => state.add_permit(),
        }
    }

    /// Whether [`Self::try_spend`] would succeed now.
    pub fn can_spend(&self) -> bool {
        let mut state = self.lock();
        state.remove_expired(Instant::now());
        state.steps.iter().any(|step| step.permits > 0)
    }

    fn lock(&self) -> MutexGuard<'_, LimitState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl LimitState {
    fn remove_expired(&mut self, now: Instant) {
        while self.steps.front().is_some_and(|step| now - step.started >= PERMIT_LIFETIME) {
            self.steps.pop_front();
        }
    }

    fn add_permit(&mut self) {
        let now = Instant::now();
        self.remove_expired(now);
        let length = PERMIT_LIFETIME / STEPS_PER_LIFETIME;
        match self.steps.back_mut().filter(|step| now - step.started < length) {
            Some(step) => step.permits += 1,
            None => self.steps.push_back(LimitStep { started: now, permits: 1 }),
        }
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

    /// Takes a permit of each limit for one hedge; false if one of them has none.
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

    /// Puts back the permits of a hedge that was not sent.
    pub fn refund(&self) {
        self.route.refund();
        self.service.refund();
    }
}
