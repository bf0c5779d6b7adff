//! Whether a hedge is expected to serve the caller better than waiting for the running attempt.
//!
//! The expected end of the running attempt follows from the slowdown that its upstream reported when
//! the attempt began, the time elapsed since, and the recent service time of the route. The gain of
//! a hedge is the utility of a response from the best other upstream less that of waiting.

use tokio::time::Instant;

use crate::balance::pick::{PickRefusal, PickRequest, RequestProfile};
use crate::balance::utility_picker::{UpstreamEstimate, UtilityPicker, estimated_load};
use crate::core::{UpstreamKey, UpstreamState};

/// Fraction of the usual service time assumed to remain for an attempt that has nearly reached or
/// just passed that time.
const MIN_REMAINING_FRACTION: f32 = 0.25;

/// When hedges are sent under an operators' limit.
#[derive(Clone, Debug, PartialEq)]
pub struct LimitedHedgeSettings {
    /// Least utility that a hedge must add, as a fraction of what the request can still be worth.
    /// With 0.1 the 99th percentile is lower than with 0.3 (`docs/design/hedging.md`).
    pub min_gain: f32,
    /// Multiple of the usual service time after which nothing known explains the delay of an
    /// attempt. With the 1.6 of unlimited hedges, one hedge in five wins, and those that lose use up
    /// a limit of 0.05; with 2.0, two in five win.
    pub overdue_factor: f32,
    /// Share of the upstreams' slots in use, 0 to 1, from which on no hedge is sent.
    pub max_occupancy: f32,
}

impl Default for LimitedHedgeSettings {
    fn default() -> Self {
        Self { min_gain: 0.1, overdue_factor: 2.0, max_occupancy: 0.75 }
    }
}

impl UtilityPicker {
    /// The upstream for a hedge, given the best one that the request has not tried.
    pub(super) fn pick_hedge(
        &self,
        best: Option<UpstreamEstimate>,
        request: PickRequest<'_>,
        now: Instant,
    ) -> Result<UpstreamKey, PickRefusal> {
        let worth = best.filter(|best| self.is_hedge_worth(best, request, now));
        let Some(best) = worth else { return Err(PickRefusal::NoUpstream) };
        if request.is_hedge_limited && self.is_too_full(&best, request, now) {
            return Err(PickRefusal::Crowded);
        }
        Ok(best.key)
    }

    /// Whether a hedge to `best` beside the running attempt adds enough utility.
    pub(super) fn is_hedge_worth(
        &self,
        best: &UpstreamEstimate,
        request: PickRequest<'_>,
        now: Instant,
    ) -> bool {
        let settings = &self.settings;
        let meets_goal = best.expected_secs < request.profile.goal_left.as_secs_f32();
        let max_utility = if meets_goal { 1.0 } else { settings.late_utility };
        let gain = best.utility - self.wait_utility(request, now);
        let min_gain = if request.is_hedge_limited {
            settings.limited_hedge.min_gain
        } else {
            settings.min_hedge_gain
        };
        gain >= min_gain * max_utility
    }

    /// Whether a hedge to `best` would wait for a slot, or so many slots of the service are in use
    /// that its work would delay other requests.
    pub(super) fn is_too_full(
        &self,
        best: &UpstreamEstimate,
        request: PickRequest<'_>,
        now: Instant,
    ) -> bool {
        let service_secs = request.profile.service_time.as_secs_f32();
        let mut slots_in_use = 0.0;
        let mut all_slots = 0.0;
        for key in request.upstreams() {
            let Some(upstream) = request.snapshot.upstreams.get(*key) else { continue };
            if !request.allows(upstream, now) {
                continue;
            }
            let slots = upstream.spec.slots.max(1) as f32;
            let load = estimated_load(upstream, service_secs, now);
            if best.key == *key && load + 1.0 > slots {
                return true;
            }
            slots_in_use += load.min(slots);
            all_slots += slots;
        }
        slots_in_use >= self.settings.limited_hedge.max_occupancy * all_slots
    }

    /// Expected utility of waiting for the running attempt alone.
    fn wait_utility(&self, request: PickRequest<'_>, now: Instant) -> f32 {
        let running = request.tried.last().and_then(|key| request.snapshot.upstreams.get(*key));
        let Some(upstream) = running else { return 0.0 };
        let overdue_factor = if request.is_hedge_limited {
            self.settings.limited_hedge.overdue_factor
        } else {
            self.settings.overdue_factor
        };
        let remaining_secs = self.remaining_secs(upstream, request.profile, overdue_factor, now);
        self.response_utility(remaining_secs, request.profile)
    }

    /// Expected time until the running attempt at `upstream` ends.
    fn remaining_secs(
        &self,
        upstream: &UpstreamState,
        profile: RequestProfile,
        overdue_factor: f32,
        now: Instant,
    ) -> f32 {
        let mut service_secs = profile.service_time.as_secs_f32();
        if profile.is_attempt_saturated {
            service_secs *= profile.saturation_factor;
        }
        let elapsed_secs = profile.attempt_elapsed.as_secs_f32();
        let min_remaining_secs =
            (service_secs - elapsed_secs).max(MIN_REMAINING_FRACTION * service_secs);
        let slowdown_secs = match profile.attempt_slowdown {
            Some(factor) => service_secs * (factor - 1.0).max(0.0),
            None => self.slowdown_secs(upstream, service_secs, now),
        };
        let overdue_secs = overdue_factor * service_secs + slowdown_secs;
        if elapsed_secs <= overdue_secs {
            return (service_secs + slowdown_secs - elapsed_secs).max(min_remaining_secs);
        }
        // Nothing known explains the delay; the longer it lasts, the less likely a response is.
        elapsed_secs * elapsed_secs / overdue_secs
    }
}
