//! What an attempt teaches the picker and the limits, however it ends.

use std::sync::Arc;
use std::time::Duration;

use http::StatusCode;
use tokio::time::Instant;

use crate::balance::{AttemptReport, AttemptResult, LoadReport, UpstreamPicker};
use crate::core::{BudgetSpec, UPSTREAM_DRAIN_HEADER, UPSTREAM_NOT_RUN_HEADER, UpstreamState};
use crate::limits::{CongestionSignal, RouteLimits};
use crate::request::attempt::{AttemptOutcome, NotRunProof, UnknownCause, UpstreamAnswer};
use crate::request::exchange_state::AttemptEnd;

/// Requests for each slot from which an upstream's own report counts as congestion.
const LONG_QUEUE_PER_SLOT: u32 = 2;

/// Watches one attempt; reports it as cancelled if it is dropped before its end.
pub(super) struct AttemptWatch<'a, P: UpstreamPicker> {
    picker: &'a P,
    upstream: &'a Arc<UpstreamState>,
    limits: &'a RouteLimits,
    ratios: &'a BudgetSpec,
    started: Instant,
    is_finished: bool,
}

impl<'a, P: UpstreamPicker> AttemptWatch<'a, P> {
    pub(super) fn new(
        picker: &'a P,
        upstream: &'a Arc<UpstreamState>,
        limits: &'a RouteLimits,
        ratios: &'a BudgetSpec,
    ) -> Self {
        Self { picker, upstream, limits, ratios, started: Instant::now(), is_finished: false }
    }

    /// Reports the outcome and says what it means for the request.
    pub(super) fn finish<B>(mut self, outcome: &AttemptOutcome<B>) -> AttemptEnd {
        self.is_finished = true;
        let report = report_of(outcome, self.started.elapsed());
        match report.result {
            AttemptResult::Answered => self.limits.latency.record(report.latency),
            AttemptResult::Shed | AttemptResult::TimedOut => {
                self.limits.retries.record_overload(self.ratios.retry_ratio);
                self.limits.hedges.record_overload(self.ratios.hedge_ratio);
            }
            _ => {}
        }
        if let Some(signal) = self.signal_of(&report) {
            self.limits.gate.record(signal);
        }
        self.picker.observe(self.upstream, report);
        end_of(outcome)
    }

    /// What the attempt says about congestion; nothing, if it never got as far.
    fn signal_of(&self, report: &AttemptReport) -> Option<CongestionSignal> {
        let is_queue_long = report
            .load
            .is_some_and(|load| load.inflight > self.upstream.spec.slots * LONG_QUEUE_PER_SLOT);
        match report.result {
            AttemptResult::Shed | AttemptResult::TimedOut => Some(CongestionSignal::Congested),
            AttemptResult::Answered | AttemptResult::ServerError if is_queue_long => {
                Some(CongestionSignal::Congested)
            }
            AttemptResult::Answered | AttemptResult::ServerError => Some(CongestionSignal::Clear),
            AttemptResult::ConnectFailed | AttemptResult::Broken | AttemptResult::Cancelled => None,
        }
    }
}

impl<P: UpstreamPicker> Drop for AttemptWatch<'_, P> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let latency = self.started.elapsed();
        // A cancelled attempt would have taken at least this long. Leaving it out would make the
        // route look faster the more it is hedged.
        self.limits.latency.record(latency);
        let result = AttemptResult::Cancelled;
        self.picker.observe(
            self.upstream,
            AttemptReport { latency, result, load: None, is_draining: false },
        );
    }
}

/// Takes an answer with the upstream's not-run mark as proof that the request did not run.
pub(super) fn inspect<B>(outcome: AttemptOutcome<B>) -> AttemptOutcome<B> {
    let AttemptOutcome::Answered(answer) = outcome else { return outcome };
    let is_marked = answer.response.headers().contains_key(UPSTREAM_NOT_RUN_HEADER);
    if is_marked && answer.response.status() == StatusCode::SERVICE_UNAVAILABLE {
        let is_draining = answer.response.headers().contains_key(UPSTREAM_DRAIN_HEADER);
        return AttemptOutcome::NotRun(NotRunProof::UpstreamMark { is_draining });
    }
    AttemptOutcome::Answered(answer)
}

fn end_of<B>(outcome: &AttemptOutcome<B>) -> AttemptEnd {
    match outcome {
        AttemptOutcome::Answered(answer) if is_failure(answer) => AttemptEnd::ServerError,
        AttemptOutcome::Answered(_) => AttemptEnd::Answered,
        AttemptOutcome::NotRun(_) => AttemptEnd::NotRun,
        AttemptOutcome::Unknown(cause) => AttemptEnd::Unknown(*cause),
    }
}

/// Whether another upstream may do better.
fn is_failure<B>(answer: &UpstreamAnswer<B>) -> bool {
    matches!(
        answer.response.status(),
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
    )
}

fn report_of<B>(outcome: &AttemptOutcome<B>, latency: Duration) -> AttemptReport {
    let mut report =
        AttemptReport { latency, result: AttemptResult::Answered, load: None, is_draining: false };
    match outcome {
        AttemptOutcome::Answered(answer) => {
            let headers = answer.response.headers();
            report.load = LoadReport::from_headers(headers);
            report.is_draining = headers.contains_key(UPSTREAM_DRAIN_HEADER);
            if answer.response.status().is_server_error() {
                report.result = AttemptResult::ServerError;
            }
        }
        AttemptOutcome::NotRun(NotRunProof::UpstreamMark { is_draining }) => {
            report.result = AttemptResult::Shed;
            report.is_draining = *is_draining;
        }
        // Busy, not broken.
        AttemptOutcome::NotRun(NotRunProof::ShareInUse) => report.result = AttemptResult::Shed,
        AttemptOutcome::NotRun(_) => report.result = AttemptResult::ConnectFailed,
        AttemptOutcome::Unknown(UnknownCause::TimedOut) => report.result = AttemptResult::TimedOut,
        AttemptOutcome::Unknown(_) => report.result = AttemptResult::Broken,
    }
    report
}
