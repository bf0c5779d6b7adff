//! Validates responses, and reports every outcome of an attempt to the picker and the limits.

use std::sync::Arc;
use std::time::Duration;

use http::header::CONTENT_ENCODING;
use http::{HeaderMap, HeaderValue, StatusCode};
use tokio::time::Instant;

use crate::balance::{AttemptReport, AttemptResult, LoadReport, UpstreamPicker};
use crate::core::{BudgetSpec, HeaderNames, RouteRecord, UpstreamState};
use crate::limits::{CongestionSignal, RouteLimits};
use crate::request::attempt::{AttemptOutcome, NotRunProof, UnknownCause, UpstreamResponse};
use crate::request::execution_state::OutcomeKind;
use crate::request::upstream_notices::{UpstreamNotices, record_replacement};

/// An upstream that reports more requests per slot than this counts as congested.
const CONGESTED_REQUESTS_PER_SLOT: u32 = 2;

/// Reports one attempt; as cancelled if it is dropped before the attempt has ended.
pub(super) struct AttemptReporter<'a, P: UpstreamPicker> {
    picker: &'a P,
    upstream: &'a Arc<UpstreamState>,
    route: &'a RouteRecord,
    limits: &'a RouteLimits,
    ratios: &'a BudgetSpec,
    headers: &'a HeaderNames,
    started: Instant,
    /// Whether the attempt took the upstream's last slot; none if it had to queue there.
    takes_last_slot: Option<bool>,
    is_finished: bool,
}

/// What a reporter needs from its request.
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
        let takes_last_slot = takes_last_slot(upstream);
        let is_finished = false;
        Self {
            picker,
            upstream,
            route,
            limits,
            ratios,
            headers,
            started,
            takes_last_slot,
            is_finished,
        }
    }

    /// Reports the outcome and returns its kind.
    pub(super) fn finish<B>(mut self, outcome: &AttemptOutcome<B>) -> OutcomeKind {
        self.is_finished = true;
        if matches!(outcome, AttemptOutcome::NotRun(NotRunProof::WrongInstance)) {
            record_replacement(self.upstream);
        }
        let report = attempt_report(outcome, self.started.elapsed(), self.headers);
        match report.result {
            AttemptResult::Answered => {
                self.limits.latency.record(report.latency);
                if let Some(takes_last_slot) = self.takes_last_slot {
                    self.limits.cost_estimator.record_service_time(
                        self.route,
                        report.latency,
                        takes_last_slot,
                    );
                }
            }
            AttemptResult::Shed | AttemptResult::TimedOut => {
                self.limits.retries.record_overload(self.ratios.retry_ratio);
                self.limits.hedges.record_overload(self.ratios.hedge_ratio);
            }
            _ => {}
        }
        if let Some(signal) = self.congestion_signal(&report) {
            self.limits.gate.record(signal);
        }
        self.picker.record_attempt(self.upstream, report);
        outcome_kind(outcome)
    }

    /// Records what the upstream said about itself, if the validated outcome shows that the response
    /// was its own.
    pub(super) fn record_notices<B>(
        &self,
        notices: Option<UpstreamNotices>,
        outcome: &AttemptOutcome<B>,
    ) {
        let is_own = matches!(
            outcome,
            AttemptOutcome::Answered(_)
                | AttemptOutcome::NotRun(NotRunProof::UpstreamMark { .. })
                | AttemptOutcome::Unknown(UnknownCause::UnmarkedRefusal)
        );
        if let Some(notices) = notices.filter(|_| is_own) {
            notices.record(self.upstream, self.started.elapsed());
        }
    }

    /// Congestion signal of the attempt; none if it was cancelled or its connection failed.
    fn congestion_signal(&self, report: &AttemptReport) -> Option<CongestionSignal> {
        let is_upstream_congested = report.load.is_some_and(|load| {
            load.inflight > self.upstream.spec.slots * CONGESTED_REQUESTS_PER_SLOT
        });
        match report.result {
            AttemptResult::Shed | AttemptResult::TimedOut => Some(CongestionSignal::Congested),
            AttemptResult::Answered | AttemptResult::ServerError if is_upstream_congested => {
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
        // The time until cancellation is a lower bound of the attempt's latency. Without it, the
        // route would look faster the more it is hedged.
        self.limits.latency.record(latency);
        let result = AttemptResult::Cancelled;
        self.picker.record_attempt(
            self.upstream,
            AttemptReport { latency, result, load: None, is_draining: false },
        );
    }
}

/// Checks that a response may be forwarded to the caller of the request with this identity.
///
/// A response with the upstream's not-run header proves that the request did not run. A response to
/// another request, a success without proof, and a rejection with a status that callers take as
/// "not run" although the upstream did not say so leave it unknown whether this request ran.
pub(super) fn validate_outcome<B>(
    outcome: AttemptOutcome<B>,
    request_id: Option<&HeaderValue>,
    header_names: &HeaderNames,
) -> AttemptOutcome<B> {
    let AttemptOutcome::Answered(answered) = outcome else { return outcome };
    let (status, headers) = (answered.response.status(), answered.response.headers());
    if header_names.echoes_request_id && headers.get(&header_names.request_id) != request_id {
        return AttemptOutcome::Unknown(UnknownCause::ForeignAnswer);
    }
    if header_names.expected_instance.is_some() && status == StatusCode::MISDIRECTED_REQUEST {
        return AttemptOutcome::NotRun(NotRunProof::WrongInstance);
    }
    if headers.contains_key(&header_names.not_run)
        && header_names.not_run_statuses.contains(&status)
    {
        let is_draining = has_drain_signal(&answered, header_names);
        return AttemptOutcome::NotRun(NotRunProof::UpstreamMark { is_draining });
    }
    if header_names.caller_not_run_statuses.contains(&status) {
        return AttemptOutcome::Unknown(UnknownCause::UnmarkedRefusal);
    }
    if status.is_success()
        && let Some(proof) = &header_names.response_signature
        && (!headers.contains_key(proof) || headers.contains_key(CONTENT_ENCODING))
    {
        return AttemptOutcome::Unknown(UnknownCause::AnswerUnproven);
    }
    AttemptOutcome::Answered(answered)
}

/// Whether a request already counted as in flight takes the upstream's last slot; none if no slot
/// was left for it.
pub(super) fn takes_last_slot(upstream: &UpstreamState) -> Option<bool> {
    let load = upstream.inflight() as f32 + upstream.stats().reported_peer_inflight.get();
    let slots = upstream.spec.slots as f32;
    if load > slots + 0.5 {
        return None;
    }
    Some(load > slots - 0.5)
}

fn has_drain_signal<B>(answered: &UpstreamResponse<B>, header_names: &HeaderNames) -> bool {
    is_drain_signal(answered.response.headers(), header_names)
}

/// Whether response headers carry the drain signal.
pub(super) fn is_drain_signal(headers: &HeaderMap, header_names: &HeaderNames) -> bool {
    let value = header_names.drain.as_ref().and_then(|name| headers.get(name));
    value.is_some_and(|value| value.as_bytes() != b"0")
}

pub(super) fn outcome_kind<B>(outcome: &AttemptOutcome<B>) -> OutcomeKind {
    match outcome {
        AttemptOutcome::Answered(answered) if is_retryable_status(answered) => {
            OutcomeKind::ServerError
        }
        AttemptOutcome::Answered(_) => OutcomeKind::Answered,
        AttemptOutcome::NotRun(_) => OutcomeKind::NotRun,
        AttemptOutcome::Unknown(cause) => OutcomeKind::Unknown(*cause),
    }
}

/// Whether the response is a 5xx for which another upstream may respond better.
fn is_retryable_status<B>(answered: &UpstreamResponse<B>) -> bool {
    matches!(
        answered.response.status(),
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
    )
}

fn attempt_report<B>(
    outcome: &AttemptOutcome<B>,
    latency: Duration,
    header_names: &HeaderNames,
) -> AttemptReport {
    let mut report =
        AttemptReport { latency, result: AttemptResult::Answered, load: None, is_draining: false };
    match outcome {
        AttemptOutcome::Answered(answered) => {
            report.load = LoadReport::from_headers(answered.response.headers(), &header_names.load);
            report.is_draining = has_drain_signal(answered, header_names);
            if answered.response.status().is_server_error() {
                report.result = AttemptResult::ServerError;
            }
        }
        AttemptOutcome::NotRun(NotRunProof::UpstreamMark { is_draining }) => {
            report.result = AttemptResult::Shed;
            report.is_draining = *is_draining;
        }
        // All connections are in use: the upstream is busy, not faulty.
        AttemptOutcome::NotRun(NotRunProof::ShareInUse) => report.result = AttemptResult::Shed,
        AttemptOutcome::NotRun(_) => report.result = AttemptResult::ConnectFailed,
        AttemptOutcome::Unknown(UnknownCause::TimedOut) => report.result = AttemptResult::TimedOut,
        AttemptOutcome::Unknown(_) => report.result = AttemptResult::Broken,
    }
    report
}
