//! Counts what became of the hedge of one request.

use crate::core::RouteRecord;
use crate::limits::{HedgeCounts, HedgeEvent, RouteLimits};
use crate::request::execution_state::{AttemptIndex, AttemptRole, StartRefusal};

/// Counts the hedge of one request when the request ends, also when its caller disconnects.
#[derive(Debug)]
pub(super) struct HedgeTally<'a> {
    counts: &'a HedgeCounts,
    route: &'a str,
    /// Whether operators limit the hedges of the route.
    is_limited: bool,
    /// The hedge that was sent.
    hedge: Option<AttemptIndex>,
    /// Whether the hedge has answered the caller.
    is_won: bool,
    /// Why no hedge was started when one was last considered.
    refusal: Option<HedgeEvent>,
}

impl<'a> HedgeTally<'a> {
    pub(super) fn new(route: &'a RouteRecord, limits: &'a RouteLimits) -> Self {
        Self {
            counts: &limits.hedge_counts,
            route: &route.name,
            is_limited: limits.is_hedging_limited(),
            hedge: None,
            is_won: false,
            refusal: None,
        }
    }

    /// Records that an attempt was sent.
    pub(super) fn started(&mut self, role: AttemptRole, index: AttemptIndex) {
        if role != AttemptRole::Hedge {
            return;
        }
        self.counts.record(HedgeEvent::Started);
        if self.hedge.replace(index).is_some() {
            // An earlier hedge has failed.
            self.counts.record(HedgeEvent::Lost);
        }
    }

    /// Records that an attempt was not started.
    pub(super) fn refused(&mut self, role: AttemptRole, reason: StartRefusal) {
        if role != AttemptRole::Hedge {
            return;
        }
        self.refusal = match reason {
            StartRefusal::NoUpstream => Some(HedgeEvent::NoGain),
            StartRefusal::Crowded => Some(HedgeEvent::Full),
            StartRefusal::BudgetSpent => Some(HedgeEvent::SharedBudget),
            StartRefusal::HedgeLimit => Some(HedgeEvent::Limit),
            StartRefusal::Quarantined | StartRefusal::NoPath | StartRefusal::Forwarded => None,
        };
    }

    /// Records that a hedge was due while the configuration was not confirmed.
    pub(super) fn unconfirmed(&mut self) {
        self.refusal = Some(HedgeEvent::Unconfirmed);
    }

    /// Records which attempt has answered the caller.
    pub(super) fn answered(&mut self, index: AttemptIndex) {
        self.is_won = self.hedge == Some(index);
    }
}

impl Drop for HedgeTally<'_> {
    fn drop(&mut self) {
        let event = match self.hedge {
            Some(_) if self.is_won => Some(HedgeEvent::Won),
            Some(_) => Some(HedgeEvent::Lost),
            None => self.refusal,
        };
        let Some(event) = event else { return };
        self.counts.record(event);
        // A hedge that promises no gain is routine.
        if !self.is_limited || event == HedgeEvent::NoGain || !self.counts.take_log_turn(event) {
            return;
        }
        let (started, won) = (HedgeEvent::Started, HedgeEvent::Won);
        log::info!(
            target: "hedge",
            "route={} outcome={} count={} started={} won={}",
            self.route,
            event.as_str(),
            self.counts.get(event),
            self.counts.get(started),
            self.counts.get(won),
        );
    }
}
