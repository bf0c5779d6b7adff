//! Attempts that are forwarded to a peer while this entry has no path to the upstreams.
//!
//! ```text
//! peer -> refused to take it? --yes--> next peer
//!           | no
//!           v
//!         response of an upstream, or of the peer itself -> outcome of the attempt
//! ```
//!
//! The peer runs the request as one of its own callers': it picks the upstream, keeps to limits and
//! pauses, and spends its budget on retries and hedges. So this entry sends no further attempt after
//! a peer has taken the request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::header::RETRY_AFTER;
use http::{HeaderMap, HeaderValue};
use tokio::time::{Instant, timeout_at};

use crate::balance::UpstreamPicker;
use crate::core::{
    DECISION_HEADER, FORWARD_REFUSED_HEADER, FORWARDED_HEADER, NOT_RUN_HEADER, RESULT_CODE_HEADER,
    ResultCode, RouteRecord, UPSTREAM_HEADER, UpstreamState,
};
use crate::request::attempt::{
    AttemptOutcome, AttemptRequest, ConnectionPolicy, NotRunProof, UnknownCause, UpstreamClient,
    UpstreamResponse,
};
use crate::request::attempt_reporter::{is_drain_signal, outcome_kind, validate_outcome};
use crate::request::attempt_trace::AttemptTrace;
use crate::request::execution::{
    ExecutionContext, ExecutionFailure, FinishedAttempt, RequestExecution, UntakenReason,
};
use crate::request::execution_state::{AttemptIndex, AttemptRole, StartRefusal};
use crate::request::forward_gate::ForwardRefusal;
use crate::request::forward_header::{AttemptOrder, ForwardedRequest, SignedParts};
use crate::request::forward_table::{FORWARD_RETRY_AFTER, ForwardTable, PassOverCause};
use crate::request::request_decision::RequestDecision;
use crate::request::upstream_selection::{AttemptHistory, PreparedAttempt};

/// Maximum number of peers that a request is offered to. More than one is asked only if a peer has stopped,
/// has lost its path too, or has another configuration.
const MAX_PEERS: usize = 4;

/// Age up to which a load report shows that others reach an upstream that cannot be reached from here:
/// a few intervals of load probes.
const RECENT_REPORT_AGE: Duration = Duration::from_millis(300);

/// Forwards requests to peers.
#[derive(Clone, Debug)]
pub struct PeerForwarder<C> {
    /// Client for connections to peers.
    pub client: C,
    /// The peers, and whether this entry has a path to the upstreams.
    pub table: Arc<ForwardTable>,
}

/// What a peer's response says.
enum PeerAnswer<B> {
    /// The peer has not taken the request, which another peer may take.
    Refused(ForwardRefusal),
    /// The response of an upstream to the request.
    Upstream(UpstreamResponse<B>),
    /// The peer's own error response.
    Failure(TakenRequest<B>),
}

/// What became of a request that a peer has taken.
struct TakenRequest<B> {
    outcome: AttemptOutcome<B>,
    /// What the caller is told if the peer has refused the request.
    failure: Option<ExecutionFailure>,
}

impl RequestExecution {
    /// Prepares a forwarded attempt; `None` if the attempt goes to an upstream instead.
    ///
    /// A request that has been forwarded to this entry is not forwarded again.
    pub(super) fn prepare_forward<C: UpstreamClient, P>(
        &self,
        role: AttemptRole,
        ctx: &ExecutionContext<'_, C, P>,
        history: &mut AttemptHistory,
    ) -> Option<Result<PreparedAttempt, StartRefusal>> {
        if history.is_forwarded {
            return Some(Err(StartRefusal::Forwarded));
        }
        let table = &ctx.forwarder?.table;
        if !table.path().is_cut() || self.forwarded.is_some() {
            return None;
        }
        let Some(peer) = table.pick(&[]) else {
            return (!table.path().accepts_connections()).then_some(Err(StartRefusal::NoPath));
        };
        if let Err(refusal) = self.try_spend_budget(role) {
            return Some(Err(refusal));
        }
        history.is_forwarded = true;
        Some(Ok(forward_to(peer, role, history)))
    }

    /// Prepares an attempt at a peer for a request that has reached no upstream, though a peer has
    /// reached one that it tried a moment ago; `None` if that is not so.
    pub(super) fn prepare_last_resort<C, P>(
        &self,
        ctx: &ExecutionContext<'_, C, P>,
        history: &mut AttemptHistory,
        trace: &AttemptTrace,
    ) -> Option<PreparedAttempt> {
        let table = &ctx.forwarder?.table;
        if history.is_forwarded || self.forwarded.is_some() || trace.has_reached_upstream() {
            return None;
        }
        let now = Instant::now();
        let is_reached_by_peers = history.tried.iter().any(|key| {
            let upstream = self.snapshot.upstreams.get(*key);
            let age = upstream.and_then(|upstream| upstream.stats().report_age(now));
            age.is_some_and(|age| age <= RECENT_REPORT_AGE)
        });
        let peer = table.pick(&[]).filter(|_| is_reached_by_peers)?;
        history.is_forwarded = true;
        // No upstream has got the request, so this is no repeat.
        Some(forward_to(peer, AttemptRole::First, history))
    }

    /// Prepares an attempt at an upstream in place of one that no peer has taken, if upstreams still
    /// accept connections of this entry: if all entries miss responses, the upstreams are slow. A peer
    /// with another configuration may have a path, so nothing is known of the upstreams then.
    pub(super) fn prepare_untaken<C: UpstreamClient, P: UpstreamPicker>(
        &self,
        finished: &FinishedAttempt<C::Body>,
        route: &RouteRecord,
        ctx: &ExecutionContext<'_, C, P>,
    ) -> Option<PreparedAttempt> {
        if finished.untaken != Some(UntakenReason::NoPath) || !ctx.path.accepts_connections() {
            return None;
        }
        let role = finished.role;
        let key = ctx.picker.pick(self.pick_request(role, route, &[], ctx)).ok()?;
        let upstream = self.snapshot.upstreams.get(key)?;
        let is_allowed = upstream.rate_limit().try_take(Instant::now());
        is_allowed.then(|| PreparedAttempt {
            index: finished.index,
            role,
            key: Some(key),
            inflight: upstream.start_request(),
            upstream: Arc::clone(upstream),
            slowdown: None,
        })
    }

    /// Forwards the request to the prepared peer, or to others if that does not take it.
    pub(super) async fn forward<C: UpstreamClient, P>(
        &self,
        prepared: PreparedAttempt,
        route: &RouteRecord,
        ctx: &ExecutionContext<'_, C, P>,
    ) -> FinishedAttempt<C::Body> {
        let PreparedAttempt { index, role, upstream, mut inflight, .. } = prepared;
        let mut peer = upstream;
        let mut tried: Vec<SocketAddr> = Vec::new();
        let mut reason = UntakenReason::NoPath;
        let taken = loop {
            tried.push(peer.spec.address);
            match self.offer(&peer, role, route, ctx).await {
                Ok(taken) => break Some(taken),
                Err(UntakenReason::OtherGeneration) => reason = UntakenReason::OtherGeneration,
                Err(UntakenReason::NoPath) => {}
            }
            let Some(next) = next_peer(ctx, &tried) else { break None };
            inflight = next.start_request();
            peer = next;
        };
        let untaken = taken.is_none().then_some(reason);
        let TakenRequest { outcome, failure } = taken.unwrap_or_else(|| TakenRequest {
            outcome: AttemptOutcome::NotRun(NotRunProof::NoPath),
            failure: Some(ExecutionFailure {
                code: ResultCode::NotRun,
                retry_after: Some(FORWARD_RETRY_AFTER),
            }),
        });
        let kind = outcome_kind(&outcome);
        let response = match outcome {
            AttemptOutcome::Answered(response) => Some(response),
            AttemptOutcome::NotRun(_) | AttemptOutcome::Unknown(_) => None,
        };
        FinishedAttempt {
            index,
            role,
            outcome: kind,
            response,
            inflight,
            has_reached_upstream: untaken.is_none(),
            untaken,
            failure,
            upstream: peer,
            is_forwarded: true,
        }
    }

    /// Sends the request to a peer; an error if the peer has not taken it, so that another one may.
    async fn offer<C: UpstreamClient, P>(
        &self,
        peer: &Arc<UpstreamState>,
        role: AttemptRole,
        route: &RouteRecord,
        ctx: &ExecutionContext<'_, C, P>,
    ) -> Result<TakenRequest<C::Body>, UntakenReason> {
        let forwarder = ctx.forwarder.ok_or(UntakenReason::NoPath)?;
        let request = self.forwarded_request(role, route, ctx).ok_or(UntakenReason::NoPath)?;
        let started = Instant::now();
        let sent = timeout_at(self.deadline, forwarder.client.send(peer, request)).await;
        let outcome = sent.unwrap_or(AttemptOutcome::Unknown(UnknownCause::TimedOut));
        let answered = match outcome {
            AttemptOutcome::Answered(answered) => {
                forwarder.table.record_reached(peer.spec.address);
                answered
            }
            AttemptOutcome::NotRun(_) => {
                pass_over(&forwarder.table, peer, PassOverCause::Unreachable, "unreachable");
                return Err(UntakenReason::NoPath);
            }
            AttemptOutcome::Unknown(cause) => {
                log::info!(
                    target: "path",
                    "no response of a peer to a forwarded request vm={} reason={cause:?}",
                    peer.name,
                );
                return Ok(TakenRequest { outcome, failure: None });
            }
        };
        match read_answer(answered) {
            PeerAnswer::Refused(ForwardRefusal::OtherGeneration) => {
                log::debug!(
                    target: "path",
                    "peer has another configuration vm={} generation={}",
                    peer.name,
                    self.snapshot.generation,
                );
                Err(UntakenReason::OtherGeneration)
            }
            PeerAnswer::Refused(refusal) => {
                pass_over(&forwarder.table, peer, PassOverCause::Refused, refusal.as_str());
                Err(UntakenReason::NoPath)
            }
            PeerAnswer::Upstream(mut answered) => {
                self.transfer_budget(role);
                self.record_leaving(answered.response.headers_mut(), started, ctx);
                let header_names = &ctx.settings.headers;
                let request_id = self.headers.get(&header_names.request_id);
                let answered = AttemptOutcome::Answered(answered);
                let outcome = validate_outcome(answered, request_id, header_names);
                Ok(TakenRequest { outcome, failure: None })
            }
            PeerAnswer::Failure(taken) => {
                log::info!(
                    target: "path",
                    "a peer failed a forwarded request vm={} outcome={:?}",
                    peer.name,
                    outcome_kind(&taken.outcome),
                );
                self.transfer_budget(role);
                Ok(taken)
            }
        }
    }

    /// The request for a peer; `None` before the deployment's key is known.
    fn forwarded_request<C, P>(
        &self,
        role: AttemptRole,
        route: &RouteRecord,
        ctx: &ExecutionContext<'_, C, P>,
    ) -> Option<AttemptRequest> {
        let keys = ctx.forwarder?.table.keys()?;
        let mut headers = self.headers.clone();
        let remaining = self.deadline.saturating_duration_since(Instant::now());
        let deadline_header = &ctx.settings.headers.deadline;
        headers.insert(deadline_header, HeaderValue::from(remaining.as_millis() as u64));
        headers.remove(FORWARDED_HEADER);
        headers.remove(DECISION_HEADER);
        let decision = RequestDecision::new(&self.snapshot, &self.class);
        if let Some(decision) = decision {
            headers.insert(DECISION_HEADER, decision.header_value());
        }
        let order = match role {
            AttemptRole::First => AttemptOrder::First,
            AttemptRole::Retry | AttemptRole::Hedge => AttemptOrder::Repeat,
        };
        let forwarded = ForwardedRequest {
            generation: self.snapshot.generation,
            decision,
            retries: self.forwarded_allowance(role, route),
            order,
            caller: self.caller.map(|caller| caller.0),
        };
        let parts = SignedParts {
            method: &self.method,
            uri: &self.uri,
            headers: &headers,
            body: &self.body,
        };
        let value = keys.current.sign(&forwarded, parts);
        headers.insert(FORWARDED_HEADER, value);
        Some(AttemptRequest {
            method: self.method.clone(),
            uri: self.uri.clone(),
            headers,
            body: self.body.clone(),
            deadline: self.deadline,
            connection: ConnectionPolicy::NewOrVerified,
        })
    }

    /// Leaves the request to the budget of the peer that has taken it, so that it counts once.
    fn transfer_budget(&self, role: AttemptRole) {
        if role != AttemptRole::First {
            return;
        }
        if let Some(share) = &self.repeat_budget_share {
            share.window.withdraw_request();
        }
        if let Some(hedge_limits) = self.limits.hedge_limits(self.part) {
            hedge_limits.withdraw_request();
        }
    }

    /// Records that the upstream which answered the peer is leaving, so that it gets no requests from
    /// this entry either, and removes the peer's note of it.
    fn record_leaving<C, P>(
        &self,
        headers: &mut HeaderMap,
        started: Instant,
        ctx: &ExecutionContext<'_, C, P>,
    ) {
        let Some(name) = headers.remove(UPSTREAM_HEADER) else { return };
        if !is_drain_signal(headers, &ctx.settings.headers) {
            return;
        }
        let key = name.to_str().ok().and_then(|name| self.snapshot.upstream_names.get(name));
        if let Some(upstream) = key.and_then(|key| self.snapshot.upstreams.get(*key)) {
            upstream.record_drain_signal(true, started.elapsed());
        }
    }
}

fn forward_to(
    peer: Arc<UpstreamState>,
    role: AttemptRole,
    history: &AttemptHistory,
) -> PreparedAttempt {
    PreparedAttempt {
        index: history.attempts as AttemptIndex,
        role,
        key: None,
        inflight: peer.start_request(),
        upstream: peer,
        slowdown: None,
    }
}

fn next_peer<C, P>(
    ctx: &ExecutionContext<'_, C, P>,
    tried: &[SocketAddr],
) -> Option<Arc<UpstreamState>> {
    if tried.len() >= MAX_PEERS {
        return None;
    }
    ctx.forwarder?.table.pick(tried)
}

fn pass_over(table: &ForwardTable, peer: &UpstreamState, cause: PassOverCause, reason: &str) {
    log::info!(target: "path", "peer does not take requests vm={} reason={reason}", peer.name);
    table.pass_over(peer.spec.address, cause);
}

fn read_answer<B>(answered: UpstreamResponse<B>) -> PeerAnswer<B> {
    let headers = answered.response.headers();
    if let Some(value) = headers.get(FORWARD_REFUSED_HEADER) {
        return PeerAnswer::Refused(ForwardRefusal::parse(value));
    }
    let Some(code) = headers.get(RESULT_CODE_HEADER) else { return PeerAnswer::Upstream(answered) };
    let code = code.to_str().ok().and_then(ResultCode::parse);
    if headers.contains_key(NOT_RUN_HEADER) {
        let code = code.unwrap_or(ResultCode::NotRun);
        let failure = ExecutionFailure { code, retry_after: retry_after(headers) };
        let outcome = AttemptOutcome::NotRun(NotRunProof::PeerRefused);
        return PeerAnswer::Failure(TakenRequest { outcome, failure: Some(failure) });
    }
    let cause = match code {
        Some(ResultCode::DeadlineExceeded) => UnknownCause::TimedOut,
        Some(ResultCode::AnswerNotWhole) => UnknownCause::AnswerNotWhole,
        _ => UnknownCause::ConnectionBroken,
    };
    PeerAnswer::Failure(TakenRequest { outcome: AttemptOutcome::Unknown(cause), failure: None })
}

fn retry_after(headers: &HeaderMap) -> Option<Duration> {
    let seconds: f64 = headers.get(RETRY_AFTER)?.to_str().ok()?.parse().ok()?;
    Duration::try_from_secs_f64(seconds).ok()
}
