//! Load checks: query an upstream's load just before an attempt is sent to it.
//!
//! ```text
//! pick -> load report recent? --yes-----------------------> send
//!   ^            | no
//!   |            v
//!   |       load check -> still the best candidate? --yes--> send
//!   +-----------------------------------no
//! ```
//!
//! The service time of a request depends on the speed of the upstream's machine when it starts, and
//! a machine can become slow within milliseconds. Load reports shared between entries are up to a
//! few hundred milliseconds old, so without a check some requests go to a machine that has just
//! become slow, and an at-most-once request cannot move elsewhere. The result of a check is one
//! round trip old. It also verifies the connection that the request uses next.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use tokio::time::{Instant, timeout};

use crate::balance::{AttemptResult, LoadReport, PathResult, record_probe_sent};
use crate::core::{HeaderNames, UpstreamState};
use crate::limits::LoadCheckLimiter;
use crate::request::attempt::{
    AttemptOutcome, AttemptRequest, ConnectionPolicy, UnknownCause, UpstreamClient,
};
use crate::request::attempt_reporter::is_drain_signal;
use crate::request::execution_state::AttemptRole;
use crate::request::upstream_notices::{UpstreamNotices, record_replacement};
use crate::util::discard_limited;

/// Largest body of the response to a health check, in bytes. The load report is in its head.
const MAX_PROBE_BODY_BYTES: usize = 64 << 10;

/// Limits of load checks.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadCheckSettings {
    /// Longest wait for a response: a few round trips between failure domains.
    pub check_timeout: Duration,
    /// A load report up to this age needs no check: about one round trip.
    pub max_report_age: Duration,
    /// Most checks for a first attempt or a retry. With 4 checks and a quarter of the machines
    /// slow, one attempt in 250 finds only slow ones.
    pub max_attempt_checks: u32,
    /// Most checks for a hedge. Lower, because a hedge is considered repeatedly while an attempt
    /// runs.
    pub max_hedge_checks: u32,
    /// Most checks for one request in total. When all upstreams are overloaded, checks find no
    /// better one and add to the load.
    pub max_request_checks: u32,
    /// Most checks beyond `max_attempt_checks` before an at-most-once request is sent, only to see
    /// whether the upstream accepts the connection: an upstream with a long queue resets new
    /// connections, and a request sent on one of those may have run.
    pub max_connect_checks: u32,
    /// Once no check remains, upstreams with a load report up to this age are preferred: the time
    /// that the checks of one request take. An older report that looks better than those is
    /// probably outdated.
    pub preferred_report_age: Duration,
    /// Most checks per second that one upstream gets from all entries together; 0 for no limit.
    pub max_checks_per_second: f64,
}

impl Default for LoadCheckSettings {
    fn default() -> Self {
        Self {
            check_timeout: Duration::from_millis(25),
            max_report_age: Duration::from_millis(4),
            max_attempt_checks: 4,
            max_hedge_checks: 2,
            max_request_checks: 8,
            max_connect_checks: 2,
            preferred_report_age: Duration::from_millis(25),
            max_checks_per_second: 0.0,
        }
    }
}

/// Decides whether a selected upstream is checked.
#[derive(Debug)]
pub struct LoadChecker {
    pub(super) settings: LoadCheckSettings,
    limiter: LoadCheckLimiter,
}

impl LoadChecker {
    /// Creates a checker.
    pub fn new(settings: LoadCheckSettings) -> Self {
        let limiter = LoadCheckLimiter::new(settings.max_checks_per_second);
        Self { settings, limiter }
    }

    /// Whether to check `upstream` before a request is sent to it. If so, the check is counted
    /// against the rate limit of this node, one of `entries` that check `upstreams` upstreams.
    ///
    /// Only upstreams that report their load respond to a check without queueing for a slot. One
    /// that has not been probed yet is checked once to learn whether it reports its load.
    pub fn decide(
        &self,
        upstream: &UpstreamState,
        upstreams: usize,
        entries: u32,
    ) -> CheckDecision {
        let stats = upstream.stats();
        let may_report = stats.slowdown_factor().is_some() || stats.last_probe_at.get().is_none();
        if upstream.spec.health_path.is_none() || !may_report || self.is_recent(upstream) {
            return CheckDecision::Needless;
        }
        if self.limiter.try_spend(upstreams, entries) {
            CheckDecision::Check
        } else {
            CheckDecision::RateLimited
        }
    }

    /// Slowdown factor of `upstream`, if its load report is recent: the service time as a multiple
    /// of the usual one.
    pub fn recent_slowdown(&self, upstream: &UpstreamState) -> Option<f32> {
        upstream.stats().slowdown_factor().filter(|_| self.is_recent(upstream))
    }

    fn is_recent(&self, upstream: &UpstreamState) -> bool {
        let age = upstream.stats().report_age(Instant::now());
        age.is_some_and(|age| age <= self.settings.max_report_age)
    }
}

impl LoadCheckSettings {
    /// Checks allowed for the next attempt, after `checks_sent` for the request so far.
    pub fn checks_allowed(&self, role: AttemptRole, checks_sent: u32) -> u32 {
        let limit = match role {
            AttemptRole::First | AttemptRole::Retry => self.max_attempt_checks,
            AttemptRole::Hedge => self.max_hedge_checks,
        };
        limit.min(self.max_request_checks.saturating_sub(checks_sent))
    }
}

/// Whether a selected upstream is checked before a request is sent to it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CheckDecision {
    /// It is checked.
    Check,
    /// Its last load report is recent, or it reports no load.
    Needless,
    /// A check would exceed this entry's share of the rate limit.
    RateLimited,
}

/// Outcome of a query for an upstream's load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadProbeOutcome {
    /// The upstream reported its load.
    Reported(LoadReport),
    /// The upstream responded without a load report.
    NoReport,
    /// The upstream did not respond.
    Failed(AttemptResult),
}

impl LoadProbeOutcome {
    /// Whether the upstream was reached.
    pub fn path_result(&self) -> PathResult {
        match self {
            Self::Reported(_) | Self::NoReport => PathResult::Reached,
            Self::Failed(_) => PathResult::Unreached,
        }
    }
}

/// Queries an upstream's load at its health path.
pub async fn probe_load<C: UpstreamClient>(
    client: &C,
    upstream: &Arc<UpstreamState>,
    header_names: &HeaderNames,
    probe_timeout: Duration,
) -> LoadProbeOutcome {
    let started = Instant::now();
    record_probe_sent(upstream);
    let path = upstream.spec.health_path.as_deref().unwrap_or("/");
    let Ok(uri) = Uri::try_from(path) else { return LoadProbeOutcome::NoReport };
    let request = AttemptRequest {
        method: Method::GET,
        uri,
        headers: HeaderMap::new(),
        body: Bytes::new(),
        deadline: started + probe_timeout,
        connection: ConnectionPolicy::AnyPooled,
    };
    let probe = timeout(probe_timeout, async {
        let answered = match client.send(upstream, request).await {
            AttemptOutcome::Answered(answered) => answered,
            AttemptOutcome::NotRun(_) => {
                return LoadProbeOutcome::Failed(AttemptResult::ConnectFailed);
            }
            AttemptOutcome::Unknown(UnknownCause::TimedOut) => {
                return LoadProbeOutcome::Failed(AttemptResult::TimedOut);
            }
            // The upstream was reached; it has repeated what it said to an earlier request.
            AttemptOutcome::Unknown(UnknownCause::ForeignAnswer) => {
                return LoadProbeOutcome::NoReport;
            }
            AttemptOutcome::Unknown(_) => return LoadProbeOutcome::Failed(AttemptResult::Broken),
        };
        let headers = answered.response.headers();
        if is_other_instance(headers, header_names, upstream) {
            record_replacement(upstream);
            return LoadProbeOutcome::Failed(AttemptResult::ConnectFailed);
        }
        if is_drain_signal(headers, header_names) {
            upstream.record_drain_signal(true, started.elapsed());
        }
        let notices = UpstreamNotices::read(answered.response.status(), headers, header_names);
        notices.record_probe(upstream, started.elapsed());
        let report = LoadReport::from_headers(headers, &header_names.load);
        // The connection returns to the pool only after the response has been read to its end.
        let body = answered.response.into_body();
        if let Err(error) = discard_limited(body, MAX_PROBE_BODY_BYTES).await {
            log::debug!(
                target: "probe",
                "health check failed instance={} reason={error}",
                upstream.name,
            );
            return LoadProbeOutcome::Failed(AttemptResult::Broken);
        }
        let Some(report) = report else { return LoadProbeOutcome::NoReport };
        let stats = upstream.stats();
        stats.last_exchange_at.set(stats.nanos_at(Instant::now()));
        LoadProbeOutcome::Reported(report)
    });
    probe.await.unwrap_or(LoadProbeOutcome::Failed(AttemptResult::TimedOut))
}

/// Whether the response names another upstream than the one that was asked.
pub(crate) fn is_other_instance(
    headers: &HeaderMap,
    header_names: &HeaderNames,
    upstream: &UpstreamState,
) -> bool {
    let value = header_names.instance.as_ref().and_then(|name| headers.get(name));
    value.is_some_and(|value| value.as_bytes() != upstream.name.as_bytes())
}
