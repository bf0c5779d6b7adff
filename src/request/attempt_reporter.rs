//! What an attempt teaches the picker and the limits, however it ends.

use std::sync::Arc;
use std::time::Duration;

use http::header::CONTENT_ENCODING;
use http::{HeaderValue, StatusCode};
use tokio::time::Instant;

use crate::balance::{AttemptReport, AttemptResult, LoadReport, UpstreamPicker};
use crate::core::{BudgetSpec, HeaderNames, RouteRecord, UpstreamState};
use crate::limits::{CongestionSignal, RouteLimits};
use crate::request::attempt::{AttemptOutcome, NotRunProof, UnknownCause, UpstreamResponse};
use crate::request::execution_state::OutcomeKind;

/// Requests for each slot from which an upstream's own report counts as congestion.
const LONG_QUEUE_PER_SLOT: u32 = 2;

/// Watches one attempt; reports it as cancelled if it is dropped before its end.
pub(super) struct AttemptReporter<'a, P: UpstreamPicker> {
    picker: &'a P,
    upstream: &'a Arc<UpstreamState>,
    route: &'a RouteRecord,
    limits: &'a RouteLimits,
    ratios: &'a BudgetSpec,
    headers: &'a HeaderNames,
    started: Instant,
    /// Whether the attempt filled the upstream; none if it had to wait there.
    is_full: Option<bool>,
    is_finished: bool,
}

/// What a watch needs to know of its request.
#[derive(Clone, Copy)]
pub(super) struct ReporterContext<'a> {
    pub(super) route: &'a RouteRecord,
    pub(super) limits: &'a RouteLimits,
    pub(super) ratios: &'a BudgetSpec,
    pub(super) headers: &'a HeaderNames,
}

impl<'a, P: UpstreamPicker> AttemptReporter<'a, P> {
    pub(super) fn new(
        picker: &'a P,
        upstream: &'a Arc<UpstreamState>,
        context: ReporterContext<'a>,
    ) -> Self {
        let ReporterContext { route, limits, ratios, headers } = context;
        let started = Instant::now();
        let is_full = fills(upstream);
        let is_finished = false;
        Self { picker, upstream, route, limits, ratios, headers, started, is_full, is_finished }
    }

    /// Reports the outcome and says what it means for the request.
    pub(super) fn finish<B>(mut self, outcome: &AttemptOutcome<B>) -> OutcomeKind {
        self.is_finished = true;
        let report = report_of(outcome, self.started.elapsed(), self.headers);
        match report.result {
            AttemptResult::Answered => {
                self.limits.latency.record(report.latency);
                if let Some(is_full) = self.is_full {
                    self.limits.cost_estimator.record_service_time(
                        self.route,
                        report.latency,
                        is_full,
                    );
                }
            }
            AttemptResult::Shed | AttemptResult::TimedOut => {
                self.limits.retries.record_overload(self.ratios.retry_ratio);
                self.limits.hedges.record_overload(self.ratios.hedge_ratio);
            }
            _ => {}
        }
        if let Some(signal) = self.signal_of(&report) {
            self.limits.gate.record(signal);
        }
        self.picker.record_attempt(self.upstream, report);
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

impl<P: UpstreamPicker> Drop for AttemptReporter<'_, P> {
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        let latency = self.started.elapsed();
        // A cancelled attempt would have taken at least this long. Leaving it out would make the
        // route look faster the more it is hedged.
        self.limits.latency.record(latency);
        let result = AttemptResult::Cancelled;
        self.picker.record_attempt(
            self.upstream,
            AttemptReport { latency, result, load: None, is_draining: false },
        );
    }
}

/// Checks that an answer may be passed on to the caller of the request with this identity.
///
/// An answer with the upstream's not-run mark is proof that the request did not run. An answer to
/// another request, a success without proof and a refusal that promises more than the upstream
/// said tell nothing about this one.
pub(super) fn validate_outcome<B>(
    outcome: AttemptOutcome<B>,
    request_id: Option<&HeaderValue>,
    names: &HeaderNames,
) -> AttemptOutcome<B> {
    let AttemptOutcome::Answered(answer) = outcome else { return outcome };
    let (status, headers) = (answer.response.status(), answer.response.headers());
    if names.echoes_request_id && headers.get(&names.request_id) != request_id {
        return AttemptOutcome::Unknown(UnknownCause::ForeignAnswer);
    }
    if names.expected_instance.is_some() && status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptOutcome::NotRun(NotRunProof::WrongInstance);
    }
    if headers.contains_key(&names.not_run) && names.not_run_statuses.contains(&status) {
        let is_draining = has_drain_mark(&answer, names);
        return AttemptOutcome::NotRun(NotRunProof::UpstreamMark { is_draining });
    }
    if names.caller_not_run_statuses.contains(&status) {
        return AttemptOutcome::Unknown(UnknownCause::UnmarkedRefusal);
    }
    if status.is_success()
        && let Some(proof) = &names.response_signature
        && (!headers.contains_key(proof) || headers.contains_key(CONTENT_ENCODING))
    {
        return AttemptOutcome::Unknown(UnknownCause::AnswerUnproven);
    }
    AttemptOutcome::Answered(answer)
}

/// Whether a request that has been counted at the upstream takes its last slot; none if there was
/// no slot left.
fn fills(upstream: &UpstreamState) -> Option<bool> {
    let load = upstream.inflight() as f32 + upstream.stats().reported_peer_inflight.get();
    let slots = upstream.spec.slots as f32;
    if load > slots + 0.5 {
        return None;
    }
    Some(load > slots - 0.5)
}

fn has_drain_mark<B>(answer: &UpstreamResponse<B>, names: &HeaderNames) -> bool {
    names.drain.as_ref().is_some_and(|name| answer.response.headers().contains_key(name))
}

fn end_of<B>(outcome: &AttemptOutcome<B>) -> OutcomeKind {
    match outcome {
        AttemptOutcome::Answered(answer) if is_failure(answer) => OutcomeKind::ServerError,
        AttemptOutcome::Answered(_) => OutcomeKind::Answered,
        AttemptOutcome::NotRun(_) => OutcomeKind::NotRun,
        AttemptOutcome::Unknown(cause) => OutcomeKind::Unknown(*cause),
    }
}

/// Whether another upstream may do better.
fn is_failure<B>(answer: &UpstreamResponse<B>) -> bool {
    matches!(
        answer.response.status(),
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
    )
}

fn report_of<B>(
    outcome: &AttemptOutcome<B>,
    latency: Duration,
    names: &HeaderNames,
) -> AttemptReport {
    let mut report =
        AttemptReport { latency, result: AttemptResult::Answered, load: None, is_draining: false };
    match outcome {
        AttemptOutcome::Answered(answer) => {
            report.load = LoadReport::from_headers(answer.response.headers(), &names.load);
            report.is_draining = has_drain_mark(answer, names);
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
