//! Asks an upstream for its load just before a request goes out.
//!
//! ```text
//! pick -> fresh report? --yes--------------------------> send
//!   ^          | no
//!   |          v
//!   |      ask the upstream -> still the best choice? --yes--> send
//!   +---------------------------------no
//! ```
//!
//! An upstream works a request off at the pace that its machine has when the work begins, and
//! machines turn slow within milliseconds. Reports that entries share are up to some hundred
//! milliseconds old, so some choices meet a machine that has just turned slow; an at-most-once
//! request has to stay there. The answer to a check is one round trip old. It also shows that the
//! connection is alive on which the request goes out next.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Uri};
use http_body_util::BodyExt;
use tokio::time::{Instant, timeout};

use crate::balance::{AttemptResult, LoadReport, record_probe_sent};
use crate::core::{LoadReportFormat, UpstreamState};
use crate::limits::LoadCheckLimiter;
use crate::request::attempt::{
    AttemptOutcome, AttemptRequest, ConnectionPolicy, UnknownCause, UpstreamClient,
};
use crate::request::execution_state::AttemptRole;

/// When an upstream is asked before a request goes out.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadCheckSettings {
    /// Longest wait for the answer; some round trips between failure domains.
    pub check_timeout: Duration,
    /// Age up to which a report needs no check; about a round trip.
    pub max_report_age: Duration,
    /// Upstreams that are asked for one attempt, at most. With a quarter of the machines slow, one
    /// attempt in 250 finds only slow ones.
    pub max_attempt_checks: u32,
    /// The same for a hedge, which is looked for again and again while an attempt runs.
    pub max_hedge_checks: u32,
    /// Upstreams that are asked for one request in all. In an overload all are busy, and asking
    /// them adds to it.
    pub max_request_checks: u32,
    /// Upstreams that are asked beyond `max_checks` before an at-most-once request goes out, only
    /// to see that the connection is accepted: an upstream with a long queue resets new ones, and
    /// what was sent on one of those may have run.
    pub max_connect_checks: u32,
    /// Checks a second that an upstream may get from all entries; 0 for no bound.
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
            max_checks_per_second: 0.0,
        }
    }
}

/// Decides which choices are checked.
#[derive(Debug)]
pub struct LoadChecker {
    pub(super) settings: LoadCheckSettings,
    allowance: LoadCheckLimiter,
}

impl LoadChecker {
    /// Creates a check.
    pub fn new(settings: LoadCheckSettings) -> Self {
        let allowance = LoadCheckLimiter::new(settings.max_checks_per_second);
        Self { settings, allowance }
    }

    /// Whether to ask `upstream` before a request goes to it, and pays for that as one of `entries`
    /// that measure `upstreams` upstreams.
    ///
    /// Upstreams that tell their load answer without waiting for a slot. One that has not been
    /// asked yet is asked once, to learn whether it does.
    pub fn should_check(&self, upstream: &UpstreamState, upstreams: usize, entries: u32) -> bool {
        if upstream.spec.health_path.is_none() {
            return false;
        }
        let view = upstream.stats();
        let may_tell = view.slowdown_factor().is_some() || view.last_probe_at.get().is_none();
        may_tell && !self.is_fresh(upstream) && self.allowance.try_spend(upstreams, entries)
    }

    /// Multiple of the usual time that work takes at `upstream`, if that is known as of now.
    pub fn fresh_pace(&self, upstream: &UpstreamState) -> Option<f32> {
        upstream.stats().slowdown_factor().filter(|_| self.is_fresh(upstream))
    }

    fn is_fresh(&self, upstream: &UpstreamState) -> bool {
        let age = upstream.stats().report_age(Instant::now());
        age.is_some_and(|age| age <= self.settings.max_report_age)
    }
}

impl LoadCheckSettings {
    /// Upstreams that may be asked for the next attempt, after `asked` for the request so far.
    pub fn checks_allowed(&self, role: AttemptRole, asked: u32) -> u32 {
        let most = match role {
            AttemptRole::First | AttemptRole::Retry => self.max_attempt_checks,
            AttemptRole::Hedge => self.max_hedge_checks,
        };
        most.min(self.max_request_checks.saturating_sub(asked))
    }
}

/// What an upstream said about its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LoadProbeOutcome {
    /// Its load.
    Reported(LoadReport),
    /// It answered, but tells no load.
    NoReport,
    /// It did not answer.
    Failed(AttemptResult),
}

/// Asks an upstream for its load, at its health path.
pub async fn probe_load<C: UpstreamClient>(
    client: &C,
    upstream: &Arc<UpstreamState>,
    format: &LoadReportFormat,
    answer_time: Duration,
) -> LoadProbeOutcome {
    record_probe_sent(upstream);
    let path = upstream.spec.health_path.as_deref().unwrap_or("/");
    let Ok(uri) = Uri::try_from(path) else { return LoadProbeOutcome::NoReport };
    let request = AttemptRequest {
        method: Method::GET,
        uri,
        headers: HeaderMap::new(),
        body: Bytes::new(),
        deadline: Instant::now() + answer_time,
        connection: ConnectionPolicy::AnyPooled,
    };
    let answered = timeout(answer_time, async {
        let answer = match client.send(upstream, request).await {
            AttemptOutcome::Answered(answer) => answer,
            AttemptOutcome::NotRun(_) => {
                return LoadProbeOutcome::Failed(AttemptResult::ConnectFailed);
            }
            AttemptOutcome::Unknown(UnknownCause::TimedOut) => {
                return LoadProbeOutcome::Failed(AttemptResult::TimedOut);
            }
            AttemptOutcome::Unknown(_) => return LoadProbeOutcome::Failed(AttemptResult::Broken),
        };
        let report = LoadReport::from_headers(answer.response.headers(), format);
        // The connection can be used again only once the answer has been read to its end.
        if answer.response.into_body().collect().await.is_err() {
            return LoadProbeOutcome::Failed(AttemptResult::Broken);
        }
        let Some(report) = report else { return LoadProbeOutcome::NoReport };
        let view = upstream.stats();
        view.last_exchange_at.set(view.nanos_at(Instant::now()));
        LoadProbeOutcome::Reported(report)
    });
    answered.await.unwrap_or(LoadProbeOutcome::Failed(AttemptResult::TimedOut))
}
