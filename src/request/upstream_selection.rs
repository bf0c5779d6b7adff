//! Chooses the upstream of an attempt, with questions to those that look best.
//!
//! ```text
//! pick -> may ask? --no------------------------------------------> chosen
//!   ^        | yes
//!   |        v
//!   |     fresh report, or answer that confirms the choice --------> chosen
//!   |        | no answer, or another one looks better
//!   +--------+
//! ```

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::balance::{
    AttemptReport, PickPurpose, PickRefusal, PickRequest, RequestProfile, UpstreamPicker,
};
use crate::core::{IdempotenceMode, InflightGuard, RouteRecord, UpstreamKey, UpstreamState};
use crate::request::attempt::UpstreamClient;
use crate::request::attempt_trace::AttemptTrace;
use crate::request::execution::{ExecutionContext, RequestExecution};
use crate::request::execution_state::{AttemptIndex, AttemptRole, StartRefusal};
use crate::request::load_check::{LoadProbeOutcome, probe_load};

/// An attempt that is about to start.
pub(super) struct PreparedAttempt {
    pub(super) index: AttemptIndex,
    pub(super) role: AttemptRole,
    pub(super) key: UpstreamKey,
    pub(super) upstream: Arc<UpstreamState>,
    pub(super) inflight: InflightGuard,
    /// Multiple of its usual time that the attempt is expected to take, if the upstream was asked
    /// just before.
    pub(super) pace: Option<f32>,
}

/// What earlier attempts of the request tell the choice of the next one.
#[derive(Debug)]
pub(super) struct AttemptHistory {
    /// Where they went.
    pub(super) tried: Vec<UpstreamKey>,
    /// When the last one began.
    pub(super) began: Instant,
    /// Its pace.
    pub(super) pace: Option<f32>,
    /// Questions that were asked for the request.
    pub(super) checks_sent: u32,
}

/// An upstream that has been chosen and counts the attempt as in flight.
struct ChosenUpstream {
    key: UpstreamKey,
    inflight: InflightGuard,
    pace: Option<f32>,
}

/// Why an upstream is asked for its load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum QuestionPurpose {
    /// To see whether it still is the best choice.
    Choice,
    /// To see that it accepts the connection on which at-most-once work goes out.
    Proof,
}

/// Questions that may still be asked for one attempt.
#[derive(Clone, Copy, Debug, Default)]
struct QuestionAllowance {
    choices: u32,
    proofs: u32,
}

impl QuestionAllowance {
    /// What the next question would be asked for, if there may be one.
    fn next(&self) -> Option<QuestionPurpose> {
        if self.choices > 0 {
            return Some(QuestionPurpose::Choice);
        }
        (self.proofs > 0).then_some(QuestionPurpose::Proof)
    }

    /// Counts a question.
    fn take(&mut self, purpose: QuestionPurpose) {
        match purpose {
            QuestionPurpose::Choice => self.choices -= 1,
            QuestionPurpose::Proof => self.proofs -= 1,
        }
    }
}

impl RequestExecution {
    /// Chooses the upstream of an attempt and pays for it.
    pub(super) async fn prepare_attempt<C: UpstreamClient, P: UpstreamPicker>(
        &self,
        role: AttemptRole,
        route: &RouteRecord,
        tools: &ExecutionContext<'_, C, P>,
        history: &mut AttemptHistory,
        trace: &mut AttemptTrace,
    ) -> Result<PreparedAttempt, StartRefusal> {
        if !self.can_pay(role) {
            return Err(StartRefusal::BudgetSpent);
        }
        let chosen = self.choose(role, route, tools, history, trace).await?;
        let ChosenUpstream { key, inflight, pace } = chosen;
        let upstream = self.snapshot.upstreams.get(key).ok_or(StartRefusal::NoUpstream)?;
        if role == AttemptRole::Hedge && history.tried.contains(&key) {
            return Err(StartRefusal::NoUpstream);
        }
        if !self.pay(role) {
            return Err(StartRefusal::BudgetSpent);
        }
        let index = history.tried.len() as AttemptIndex;
        Ok(PreparedAttempt { index, role, key, upstream: Arc::clone(upstream), inflight, pace })
    }

    /// Chooses an upstream, asking those that look best how they are.
    async fn choose<C: UpstreamClient, P: UpstreamPicker>(
        &self,
        role: AttemptRole,
        route: &RouteRecord,
        tools: &ExecutionContext<'_, C, P>,
        history: &mut AttemptHistory,
        trace: &mut AttemptTrace,
    ) -> Result<ChosenUpstream, StartRefusal> {
        // Upstreams that did not answer, then those of earlier attempts.
        let mut excluded = history.tried.clone();
        let mut allowed = self.questions(role, tools, history);
        loop {
            let mut pick = self.pick_request(role, route, &excluded, tools);
            pick.profile.attempt_elapsed = history.began.elapsed();
            pick.profile.attempt_slowdown = history.pace;
            let key = tools.picker.pick(pick).map_err(|refusal| match refusal {
                PickRefusal::NoUpstream => StartRefusal::NoUpstream,
                PickRefusal::Crowded => StartRefusal::Crowded,
            })?;
            let upstream = self.snapshot.upstreams.get(key).ok_or(StartRefusal::NoUpstream)?;
            // Counted before it is asked, so that other requests see that it is about to get work.
            let inflight = upstream.start_request();
            let Some((check, purpose)) = tools.load_checker.zip(allowed.next()) else {
                return Ok(ChosenUpstream { key, inflight, pace: None });
            };
            if !check.should_check(upstream, self.snapshot.upstreams.len(), self.sharing_entries())
            {
                return Ok(ChosenUpstream { key, inflight, pace: check.fresh_pace(upstream) });
            }
            allowed.take(purpose);
            history.checks_sent += 1;
            let format = &tools.settings.headers.load;
            match probe_load(tools.client, upstream, format, check.settings.check_timeout).await {
                LoadProbeOutcome::NoReport => {
                    return Ok(ChosenUpstream { key, inflight, pace: None });
                }
                LoadProbeOutcome::Reported(report) => {
                    tools.picker.record_load_report(upstream, report);
                    drop(inflight);
                    let is_taken = purpose == QuestionPurpose::Proof;
                    if is_taken || tools.picker.is_still_preferred(pick, key) {
                        let pace = check.fresh_pace(upstream);
                        return Ok(ChosenUpstream {
                            key,
                            inflight: upstream.start_request(),
                            pace,
                        });
                    }
                }
                LoadProbeOutcome::Failed(result) => {
                    let latency = check.settings.check_timeout;
                    let (load, is_draining) = (None, false);
                    let report = AttemptReport { latency, result, load, is_draining };
                    tools.picker.record_attempt(upstream, report);
                    excluded.insert(0, key);
                }
            }
            trace.passed_over(upstream);
        }
    }

    /// Questions that the choice of the next attempt may ask.
    fn questions<C, P>(
        &self,
        role: AttemptRole,
        tools: &ExecutionContext<'_, C, P>,
        history: &AttemptHistory,
    ) -> QuestionAllowance {
        let Some(check) = tools.load_checker else { return QuestionAllowance::default() };
        let proofs = match self.class.mode {
            IdempotenceMode::Idempotent => 0,
            IdempotenceMode::AtMostOnce => check.settings.max_connect_checks,
        };
        let choices = check.settings.checks_allowed(role, history.checks_sent);
        QuestionAllowance { choices, proofs }
    }

    /// Entries that share what upstreams may be asked.
    fn sharing_entries(&self) -> u32 {
        self.repeat_budget_share.as_ref().map_or(1, |share| share.entries)
    }

    pub(super) fn pick_request<'a, C, P>(
        &'a self,
        role: AttemptRole,
        route: &'a RouteRecord,
        tried: &'a [UpstreamKey],
        tools: &ExecutionContext<'_, C, P>,
    ) -> PickRequest<'a> {
        let now = Instant::now();
        let goal = self.started + route.spec.goal.saturating_sub(tools.settings.external_latency);
        let profile = RequestProfile {
            service_time: self.limits.cost_estimator.service_time(route),
            saturation_factor: self.limits.cost_estimator.saturation_factor(),
            kilobytes: self.limits.cost_estimator.mean_kilobytes(),
            goal_left: goal.saturating_duration_since(now),
            deadline_left: self.deadline.saturating_duration_since(now),
            attempt_elapsed: Duration::ZERO,
            attempt_slowdown: None,
        };
        let purpose = match role {
            AttemptRole::First => PickPurpose::First,
            AttemptRole::Retry => PickPurpose::Retry,
            AttemptRole::Hedge => PickPurpose::Hedge,
        };
        PickRequest { snapshot: &self.snapshot, route, tried, part: self.part, purpose, profile }
    }

    /// Whether an attempt can be paid for, as far as that can be told beforehand.
    fn can_pay(&self, role: AttemptRole) -> bool {
        match (role, &self.repeat_budget_share) {
            (AttemptRole::First, _) | (_, None) => true,
            (_, Some(share)) => share.window.can_spend(share.entries),
        }
    }

    /// Pays for an attempt; false if the budget is spent.
    fn pay(&self, role: AttemptRole) -> bool {
        match (role, &self.repeat_budget_share) {
            (AttemptRole::First, _) => true,
            (_, Some(share)) => share.window.try_spend(share.entries),
            (AttemptRole::Retry, None) => self.limits.retries.try_spend(),
            (AttemptRole::Hedge, None) => self.limits.hedges.try_spend(),
        }
    }
}
