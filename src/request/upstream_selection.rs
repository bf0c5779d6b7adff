//! Selects the upstream of an attempt, with load checks of the candidates that the picker ranks
//! best.
//!
//! ```text
//! pick -> check allowed? --no--------------------------------------------> selected
//!   ^        | yes
//!   |        v
//!   |     load report is recent, or the check confirms the candidate ----> selected
//!   |        | check failed, or another candidate now ranks better
//!   +--------+
//! ```

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::balance::{
    AttemptReport, PathTrial, PickPurpose, PickRefusal, PickRequest, RequestProfile, UpstreamPicker,
};
use crate::core::{IdempotenceMode, InflightGuard, RouteRecord, UpstreamKey, UpstreamState};
use crate::limits::HedgeLimitPair;
use crate::request::attempt::UpstreamClient;
use crate::request::attempt_trace::AttemptTrace;
use crate::request::execution::{ExecutionContext, RequestExecution};
use crate::request::execution_state::{AttemptIndex, AttemptRole, StartRefusal};
use crate::request::load_check::{CheckDecision, LoadProbeOutcome, probe_load};

/// Maximum number of selections for one attempt. A selection is repeated if other requests have used
/// up this entry's share of the selected upstream's rate limit.
const MAX_SELECTIONS: u32 = 4;

/// An attempt that is about to start.
pub(super) struct PreparedAttempt {
    pub(super) index: AttemptIndex,
    pub(super) role: AttemptRole,
    /// Key of the upstream; `None` if the attempt is forwarded to a peer.
    pub(super) key: Option<UpstreamKey>,
    /// The upstream, or the peer.
    pub(super) upstream: Arc<UpstreamState>,
    pub(super) inflight: InflightGuard,
    /// Slowdown factor of the upstream: expected service time as a multiple of the usual one. Only
    /// known if the load report is recent.
    pub(super) slowdown: Option<f32>,
}

/// Earlier attempts of the request, as far as the selection for the next one depends on them.
#[derive(Debug)]
pub(super) struct AttemptHistory {
    /// Their upstreams.
    pub(super) tried: Vec<UpstreamKey>,
    /// When the last attempt began.
    pub(super) began: Instant,
    /// Slowdown factor of the last attempt's upstream, if it was known.
    pub(super) slowdown: Option<f32>,
    /// Whether the last attempt left no slot of its upstream free, or had to wait for one.
    pub(super) is_saturated: bool,
    /// Load checks sent for the request so far.
    pub(super) checks_sent: u32,
    /// Attempts so far, forwarded ones included.
    pub(super) attempts: usize,
    /// Whether an attempt has been forwarded to a peer.
    pub(super) is_forwarded: bool,
}

/// A selected upstream, which already counts the attempt as in flight.
struct SelectedUpstream {
    key: UpstreamKey,
    inflight: InflightGuard,
    slowdown: Option<f32>,
}

/// Purpose of a load check.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CheckPurpose {
    /// Whether the upstream still is the best candidate.
    Selection,
    /// Whether the upstream accepts the connection that an at-most-once request will use.
    Connection,
}

/// Load checks that remain for one attempt.
#[derive(Clone, Copy, Debug, Default)]
struct CheckQuota {
    selection: u32,
    connection: u32,
}

impl CheckQuota {
    /// Purpose of the next check; none if no check remains.
    fn next(&self) -> Option<CheckPurpose> {
        if self.selection > 0 {
            return Some(CheckPurpose::Selection);
        }
        (self.connection > 0).then_some(CheckPurpose::Connection)
    }

    /// Uses up one check.
    fn take(&mut self, purpose: CheckPurpose) {
        match purpose {
            CheckPurpose::Selection => self.selection -= 1,
            CheckPurpose::Connection => self.connection -= 1,
        }
    }
}

impl RequestExecution {
    /// Selects the upstream of an attempt and spends the budget for it.
    pub(super) async fn prepare_attempt<C: UpstreamClient, P: UpstreamPicker>(
        &self,
        role: AttemptRole,
        route: &RouteRecord,
        ctx: &ExecutionContext<'_, C, P>,
        history: &mut AttemptHistory,
        trace: &mut AttemptTrace,
    ) -> Result<PreparedAttempt, StartRefusal> {
        if self.refusal_left(ctx).is_some() {
            return Err(StartRefusal::Quarantined);
        }
        if role == AttemptRole::Hedge && self.is_suspect(ctx) {
            return Err(StartRefusal::Quarantined);
        }
        if let Some(prepared) = self.prepare_forward(role, ctx, history) {
            return prepared;
        }
        if let Some(refusal) = self.budget_refusal(role, route, ctx, history) {
            return Err(refusal);
        }
        let selected = self.select_within_limits(role, route, ctx, history, trace).await?;
        let SelectedUpstream { key, inflight, slowdown } = selected;
        let upstream = self.snapshot.upstreams.get(key).ok_or(StartRefusal::NoUpstream)?;
        self.try_spend_budget(role)?;
        Ok(PreparedAttempt {
            index: history.attempts as AttemptIndex,
            role,
            key: Some(key),
            upstream: Arc::clone(upstream),
            inflight,
            slowdown,
        })
    }

    /// Selects an upstream and counts the attempt against its rate limit, and its rate while it is
    /// cold.
    async fn select_within_limits<C: UpstreamClient, P: UpstreamPicker>(
        &self,
        role: AttemptRole,
        route: &RouteRecord,
        ctx: &ExecutionContext<'_, C, P>,
        history: &mut AttemptHistory,
        trace: &mut AttemptTrace,
    ) -> Result<SelectedUpstream, StartRefusal> {
        for _ in 0..MAX_SELECTIONS {
            let selected = self.select_upstream(role, route, ctx, history, trace).await?;
            if role == AttemptRole::Hedge && history.tried.contains(&selected.key) {
                return Err(StartRefusal::NoUpstream);
            }
            let upstream = self.snapshot.upstreams.get(selected.key);
            // During the load check, the upstream may have asked for a pause or begun to drain, and
            // other requests may have used up this entry's share of a limit.
            let now = Instant::now();
            let accepts = upstream.is_some_and(|upstream| {
                upstream.accepts_attempts(now) && upstream.try_take_shares(now)
            });
            if accepts {
                return Ok(selected);
            }
        }
        Err(StartRefusal::Crowded)
    }

    /// Selects an upstream, with load checks of the best candidates.
    async fn select_upstream<C: UpstreamClient, P: UpstreamPicker>(
        &self,
        role: AttemptRole,
        route: &RouteRecord,
        ctx: &ExecutionContext<'_, C, P>,
        history: &mut AttemptHistory,
        trace: &mut AttemptTrace,
    ) -> Result<SelectedUpstream, StartRefusal> {
        // Upstreams that failed their load check, then those of earlier attempts.
        let mut excluded = history.tried.clone();
        let mut quota = self.check_quota(role, ctx, history);
        loop {
            let mut pick = self.pick_request(role, route, &excluded, ctx).after(history);
            if quota.selection == 0 {
                pick.preferred_report_age =
                    ctx.load_checker.map(|checker| checker.settings.preferred_report_age);
            }
            let key = ctx.picker.pick(pick).map_err(|refusal| match refusal {
                PickRefusal::NoUpstream => StartRefusal::NoUpstream,
                PickRefusal::Crowded => StartRefusal::Crowded,
            })?;
            let upstream = self.snapshot.upstreams.get(key).ok_or(StartRefusal::NoUpstream)?;
            // Counted as in flight before the check, so that concurrent selections see the pending
            // attempt.
            let inflight = upstream.start_request();
            let Some((checker, purpose)) = ctx.load_checker.zip(quota.next()) else {
                let checker = ctx.load_checker;
                let slowdown = checker.and_then(|checker| checker.recent_slowdown(upstream));
                return Ok(SelectedUpstream { key, inflight, slowdown });
            };
            match checker.decide(upstream, self.snapshot.upstreams.len(), self.sharing_entries()) {
                CheckDecision::Check => {}
                CheckDecision::Needless => {
                    let slowdown = checker.recent_slowdown(upstream);
                    return Ok(SelectedUpstream { key, inflight, slowdown });
                }
                CheckDecision::RateLimited => {
                    quota = CheckQuota::default();
                    continue;
                }
            }
            quota.take(purpose);
            history.checks_sent += 1;
            let header_names = &ctx.settings.headers;
            let check_timeout = checker.settings.check_timeout;
            let outcome = probe_load(ctx.client, upstream, header_names, check_timeout).await;
            ctx.path.record(upstream.spec.address, PathTrial::Exchange, outcome.path_result());
            match outcome {
                LoadProbeOutcome::NoReport => {
                    return Ok(SelectedUpstream { key, inflight, slowdown: None });
                }
                LoadProbeOutcome::Reported(report) => {
                    ctx.picker.record_load_report(upstream, report);
                    drop(inflight);
                    let is_connection_check = purpose == CheckPurpose::Connection;
                    if is_connection_check || ctx.picker.is_still_preferred(pick, key) {
                        let slowdown = checker.recent_slowdown(upstream);
                        return Ok(SelectedUpstream {
                            key,
                            inflight: upstream.start_request(),
                            slowdown,
                        });
                    }
                }
                LoadProbeOutcome::Failed(result) => {
                    let latency = checker.settings.check_timeout;
                    let (load, is_draining) = (None, false);
                    let report = AttemptReport { latency, result, load, is_draining };
                    ctx.picker.record_attempt(upstream, report);
                    excluded.insert(0, key);
                }
            }
            trace.passed_over(upstream);
        }
    }

    /// Load checks that the selection for the next attempt may send.
    fn check_quota<C, P>(
        &self,
        role: AttemptRole,
        ctx: &ExecutionContext<'_, C, P>,
        history: &AttemptHistory,
    ) -> CheckQuota {
        let Some(checker) = ctx.load_checker else { return CheckQuota::default() };
        let connection = match self.class.mode {
            IdempotenceMode::Idempotent => 0,
            IdempotenceMode::AtMostOnce => checker.settings.max_connect_checks,
        };
        let selection = checker.settings.checks_allowed(role, history.checks_sent);
        CheckQuota { selection, connection }
    }

    /// Number of entries that share the rate limit of load checks.
    fn sharing_entries(&self) -> u32 {
        self.repeat_budget_share.as_ref().map_or(1, |share| share.entries)
    }

    pub(super) fn pick_request<'a, C, P>(
        &'a self,
        role: AttemptRole,
        route: &'a RouteRecord,
        tried: &'a [UpstreamKey],
        ctx: &ExecutionContext<'_, C, P>,
    ) -> PickRequest<'a> {
        let now = Instant::now();
        let goal = self.started + route.spec.goal.saturating_sub(ctx.settings.external_latency);
        let profile = RequestProfile {
            service_time: self.limits.cost_estimator.service_time(route),
            saturation_factor: self.limits.cost_estimator.saturation_factor(),
            kilobytes: self.limits.cost_estimator.mean_kilobytes(),
            goal_left: goal.saturating_duration_since(now),
            deadline_left: self.deadline.saturating_duration_since(now),
            attempt_elapsed: Duration::ZERO,
            attempt_slowdown: None,
            is_attempt_saturated: false,
        };
        let purpose = match role {
            AttemptRole::First => PickPurpose::First,
            AttemptRole::Retry => PickPurpose::Retry,
            AttemptRole::Hedge => PickPurpose::Hedge,
        };
        PickRequest {
            snapshot: &self.snapshot,
            route,
            tried,
            part: self.part,
            purpose,
            profile,
            rank: self.class.rank,
            tenant: self.class.authenticated.as_deref(),
            preferred_report_age: None,
            is_hedge_limited: self.limits.is_hedging_limited(),
        }
    }

    /// Why a budget or the operators' limit does not allow the attempt, as far as that is known before
    /// they are spent. Under a limit, a hedge that promises no gain is refused for that reason.
    fn budget_refusal<C, P: UpstreamPicker>(
        &self,
        role: AttemptRole,
        route: &RouteRecord,
        ctx: &ExecutionContext<'_, C, P>,
        history: &AttemptHistory,
    ) -> Option<StartRefusal> {
        let has_budget = self.has_budget(role);
        let Some(limits) = self.hedge_limits(role) else {
            return (!has_budget).then_some(StartRefusal::BudgetSpent);
        };
        if has_budget && limits.can_spend() {
            return None;
        }
        let pick = self.pick_request(role, route, &history.tried, ctx).after(history);
        Some(match ctx.picker.pick(pick) {
            Ok(_) if has_budget => StartRefusal::HedgeLimit,
            Ok(_) => StartRefusal::BudgetSpent,
            Err(PickRefusal::NoUpstream) => StartRefusal::NoUpstream,
            Err(PickRefusal::Crowded) => StartRefusal::Crowded,
        })
    }

    /// Operators' limits that an attempt counts against.
    fn hedge_limits(&self, role: AttemptRole) -> Option<HedgeLimitPair> {
        let is_hedge = role == AttemptRole::Hedge;
        is_hedge.then(|| self.limits.hedge_limits(self.part)).flatten()
    }

    /// Whether the budget allows the attempt, as far as that is known before it is spent.
    fn has_budget(&self, role: AttemptRole) -> bool {
        match (role, &self.repeat_budget_share) {
            (AttemptRole::First, _) | (_, None) => true,
            (_, Some(share)) => share.window.can_spend(share.entries),
        }
    }

    /// Spends the budget for an attempt, and the operators' limit for a hedge.
    pub(super) fn try_spend_budget(&self, role: AttemptRole) -> Result<(), StartRefusal> {
        let hedge_limits = self.hedge_limits(role);
        if hedge_limits.as_ref().is_some_and(|limits| !limits.try_spend()) {
            return Err(StartRefusal::HedgeLimit);
        }
        let is_spent = match (role, &self.repeat_budget_share) {
            (AttemptRole::First, _) => true,
            (_, Some(share)) => share.window.try_spend(share.entries),
            (AttemptRole::Retry, None) => self.limits.retries.try_spend(),
            (AttemptRole::Hedge, None) => self.limits.hedges.try_spend(),
        };
        if is_spent {
            return Ok(());
        }
        if let Some(limits) = hedge_limits {
            limits.refund();
        }
        Err(StartRefusal::BudgetSpent)
    }
}

impl PickRequest<'_> {
    /// The same request with what is known about its last attempt.
    fn after(mut self, history: &AttemptHistory) -> Self {
        self.profile.attempt_elapsed = history.began.elapsed();
        self.profile.attempt_slowdown = history.slowdown;
        self.profile.is_attempt_saturated = history.is_saturated;
        self
    }
}
