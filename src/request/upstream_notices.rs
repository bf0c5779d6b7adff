//! What an upstream says about itself in a response: a rate limit, that it wants a pause, or how long
//! it still warms up.

use std::time::Duration;

use http::{HeaderMap, HeaderName, HeaderValue, StatusCode};

use crate::core::{HeaderNames, LimitStatement, UpstreamState, WarmUpStatement};
use crate::request::attempt::AttemptOutcome;
use crate::request::attempt_reporter::is_drain_signal;

/// Longest pause that an upstream gets; a longer one would be a mistake.
const MAX_PAUSE: Duration = Duration::from_secs(600);

/// Pause of an upstream whose address belongs to another one: a few heartbeats, after which its
/// registration has expired.
const REPLACEMENT_PAUSE: Duration = Duration::from_secs(5);

/// The pause that a response asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
enum PauseStatement {
    None,
    Pause(Duration),
    /// The header is not a number of seconds.
    Invalid,
}

impl PauseStatement {
    /// Reads the statement from the headers of a refusal. The longest of several pauses counts.
    fn from_headers(headers: &HeaderMap, name: &HeaderName) -> Self {
        let mut statement = Self::None;
        for value in headers.get_all(name) {
            let seconds: Option<f64> =
                value.to_str().ok().and_then(|text| text.trim().parse().ok());
            let Some(seconds) = seconds.filter(|seconds| *seconds >= 0.0) else {
                return Self::Invalid;
            };
            let pause = Duration::from_secs_f64(seconds.min(MAX_PAUSE.as_secs_f64()));
            statement = match statement {
                Self::Pause(known) if known > pause => statement,
                _ => Self::Pause(pause),
            };
        }
        statement
    }
}

/// Notices in one response.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamNotices {
    /// `None` if the deployment has no header for limits.
    limit: Option<LimitStatement>,
    pause: PauseStatement,
    /// `None` if the deployment has no header for warm-ups.
    warm_up: Option<WarmUpStatement>,
}

impl UpstreamNotices {
    /// Reads the notices of an attempt's response; `None` without one.
    pub(super) fn from_outcome<B>(
        outcome: &AttemptOutcome<B>,
        header_names: &HeaderNames,
    ) -> Option<Self> {
        let AttemptOutcome::Answered(answered) = outcome else { return None };
        let response = &answered.response;
        Some(Self::read(response.status(), response.headers(), header_names))
    }

    pub(super) fn read(
        status: StatusCode,
        headers: &HeaderMap,
        header_names: &HeaderNames,
    ) -> Self {
        let limit = header_names.rate_limit.as_ref();
        let limit = limit.map(|name| LimitStatement::from_headers(headers, name));
        let pause = header_names.pause.as_ref();
        let pause = pause.filter(|_| status == StatusCode::SERVICE_UNAVAILABLE);
        let pause = pause.map(|name| PauseStatement::from_headers(headers, name));
        let warm_up = header_names.warm_up.as_ref();
        let warm_up = warm_up.map(|name| WarmUpStatement::from_headers(headers, name));
        Self { limit, pause: pause.unwrap_or(PauseStatement::None), warm_up }
    }

    /// Records the notices of a response, `latency` after its request was sent.
    pub(super) fn record(self, upstream: &UpstreamState, latency: Duration) {
        if let Some(limit) = self.limit {
            upstream.rate_limit().record_response(limit, latency);
        }
        self.record_common(upstream);
    }

    /// Records the notices of a response to a load probe, `latency` after it was sent.
    pub(super) fn record_probe(self, upstream: &UpstreamState, latency: Duration) {
        if let Some(limit) = self.limit {
            upstream.rate_limit().record_probe(limit, latency);
        }
        if let Some(statement) = self.warm_up {
            upstream.warm_up().record_probe(statement, latency);
        }
        self.record_common(upstream);
    }

    fn record_common(self, upstream: &UpstreamState) {
        if let PauseStatement::Pause(pause) = self.pause
            && upstream.pause(pause)
        {
            log::info!(
                target: "upstream",
                "asked for a pause instance={} ms={}",
                upstream.name,
                pause.as_millis(),
            );
        }
        let is_invalid = self.limit == Some(LimitStatement::Invalid)
            || self.pause == PauseStatement::Invalid
            || self.warm_up == Some(WarmUpStatement::Invalid);
        if is_invalid {
            log_invalid(upstream);
        }
    }
}

/// Records what an upstream says of itself in a response that arrived after its attempt was cancelled,
/// `latency` after the request was sent. A response to another request says nothing.
pub(crate) fn record_late_response(
    upstream: &UpstreamState,
    (status, headers): (StatusCode, &HeaderMap),
    request_id: &HeaderValue,
    header_names: &HeaderNames,
    latency: Duration,
) {
    let echoed = headers.get(&header_names.request_id);
    if header_names.echoes_request_id && echoed != Some(request_id) {
        return;
    }
    UpstreamNotices::read(status, headers, header_names).record(upstream, latency);
    if is_drain_signal(headers, header_names) {
        upstream.record_drain_signal(true, latency);
    }
}

/// Counts an invalid notice, and logs the count when it is a power of two, so that an upstream cannot
/// flood the log.
fn log_invalid(upstream: &UpstreamState) {
    let count = upstream.rate_limit().count_invalid();
    if count.is_power_of_two() {
        log::warn!(
            target: "upstream",
            "ignored an invalid rate limit, pause or warm-up instance={} count={count}",
            upstream.name,
        );
    }
}

/// Records that another upstream answers at this one's address. It gets nothing until its
/// registration has had time to expire.
pub(super) fn record_replacement(upstream: &UpstreamState) {
    if upstream.pause(REPLACEMENT_PAUSE) {
        log::info!(
            target: "upstream",
            "another upstream answers at its address instance={} address={}",
            upstream.name,
            upstream.spec.address,
        );
    }
}
