//! Finds out whether upstreams have ended with the requests that they were running.
//!
//! Upstreams that fall silent while a request runs are asked at their health paths, a few at a time.
//! What is found is recorded like the crashes that a broken connection shows, and shared with the other
//! entries.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{HeaderMap, Method, Uri};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::balance::PathMonitor;
use crate::core::{ConfigSnapshot, HeaderNames, UpstreamState};
use crate::fleet::codec::DeploymentCodec;
use crate::fleet::state::FleetState;
use crate::kernel::{ServiceName, ServiceTask};
use crate::limits::{QuarantineTable, RecordEffect};
use crate::request::{
    AttemptOutcome, AttemptRequest, ConnectionPolicy, NotRunProof, RunCheck, RunWatch,
    UnknownCause, UpstreamClient, WatchedRun, is_other_instance, lifetime_digest, log_refusal,
};

/// Pause between two rounds of checks while runs are watched.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Longest wait for a response to a check.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Most upstreams that are asked in a round.
const MAX_CHECKS: usize = 16;
/// Most other upstreams that are asked if there was no exchange since the checks began.
const COMPARED_UPSTREAMS: usize = 3;

/// Checks the upstreams of watched runs.
#[derive(Debug)]
pub struct RunCheckService<C, D> {
    /// Client that sends the checks.
    pub client: C,
    /// Shared state of the entry.
    pub state: Arc<FleetState<D>>,
    /// The runs to check.
    pub watch: Arc<RunWatch>,
    /// Records the crashes.
    pub quarantine: Arc<QuarantineTable>,
    /// Whether this entry has a path to the upstreams.
    pub path: Arc<PathMonitor>,
    /// Names of the headers of responses.
    pub headers: HeaderNames,
}

impl<C: UpstreamClient, D: DeploymentCodec> ServiceTask for RunCheckService<C, D> {
    const NAME: ServiceName = ServiceName::Run;

    async fn run(self, stop: CancellationToken) {
        loop {
            if self.watch.is_idle()
                && stop.run_until_cancelled(self.watch.watched()).await.is_none()
            {
                return;
            }
            self.check().await;
            if stop.run_until_cancelled(sleep(CHECK_INTERVAL)).await.is_none() {
                return;
            }
        }
    }
}

impl<C: UpstreamClient, D: DeploymentCodec> RunCheckService<C, D> {
    async fn check(&self) {
        let asked_at = Instant::now();
        let upstreams = self.watch.upstreams_to_check(asked_at);
        let mut checks = FuturesUnordered::new();
        for upstream in upstreams.into_iter().take(MAX_CHECKS) {
            checks.push(async {
                let check = self.ask(&upstream).await;
                (upstream, check)
            });
        }
        while let Some((upstream, check)) = checks.next().await {
            self.watch.record_check(&upstream.name, check, asked_at);
        }
        if self.path.is_cut() {
            self.watch.disregard_silence(Instant::now());
        }
        let Some(snapshot) = self.state.snapshot.load_full() else { return };
        if !self.path.is_cut() && self.reaches_any(&snapshot, asked_at).await {
            for run in self.watch.take_crashes(&snapshot, Instant::now()) {
                self.record_crash(&run);
            }
        }
        let now = Instant::now();
        let view_read_at = self.state.freshness.read_age().and_then(|age| now.checked_sub(age));
        for run in self.watch.take_withdrawn(&snapshot, view_read_at, now) {
            log::info!(
                target: "request",
                "upstream is still running, crash withdrawn instance={} fingerprint={}",
                run.upstream.name,
                run.request,
            );
            self.quarantine.withdraw(run.request, lifetime_digest(&run.upstream), now);
        }
    }

    fn record_crash(&self, run: &WatchedRun) {
        log::info!(
            target: "request",
            "upstream fell silent or ended while it ran instance={} fingerprint={} began_ms={}",
            run.upstream.name,
            run.request,
            run.began.elapsed().as_millis(),
        );
        let digest = lifetime_digest(&run.upstream);
        let effect =
            self.quarantine.record_crash_at(run.request, digest, run.began, Instant::now());
        if effect == RecordEffect::Refused {
            log_refusal(run.request, "silence");
        }
    }

    /// Whether this entry has exchanged something with an upstream since the checks began at `asked_at`,
    /// or one of a few responds now. If none does, the silence may be on this side. An exchange before the
    /// checks says nothing: the path may have been lost since then.
    async fn reaches_any(&self, snapshot: &ConfigSnapshot, asked_at: Instant) -> bool {
        let now = Instant::now();
        let since_checks = now.saturating_duration_since(asked_at);
        let mut others = Vec::new();
        for upstream in snapshot.upstreams.values() {
            let stats = upstream.stats();
            let exchanged_at = stats.last_exchange_at.get().max(stats.last_response_at.get());
            let age = exchanged_at.map_or(Duration::MAX, |at| stats.age_at(now, at));
            if age <= since_checks {
                return true;
            }
            others.push((age, Arc::clone(upstream)));
        }
        others.sort_by_key(|(age, _)| *age);
        for (_, upstream) in others.into_iter().take(COMPARED_UPSTREAMS) {
            if self.ask(&upstream).await == RunCheck::Running {
                return true;
            }
        }
        false
    }

    async fn ask(&self, upstream: &Arc<UpstreamState>) -> RunCheck {
        // One that cannot be asked is not blamed for its silence.
        let Some(path) = upstream.spec.health_path.as_deref() else { return RunCheck::Running };
        let request = AttemptRequest {
            method: Method::GET,
            uri: Uri::try_from(path).unwrap_or_default(),
            headers: HeaderMap::new(),
            body: Bytes::new(),
            deadline: Instant::now() + CHECK_TIMEOUT,
            connection: ConnectionPolicy::New,
        };
        match timeout(CHECK_TIMEOUT, self.client.send(upstream, request)).await {
            Ok(AttemptOutcome::Answered(answered)) => {
                let headers = answered.response.headers();
                match is_other_instance(headers, &self.headers, upstream) {
                    true => RunCheck::Ended,
                    false => RunCheck::Running,
                }
            }
            Ok(AttemptOutcome::Unknown(UnknownCause::InvalidStatus)) => RunCheck::Running,
            // A connection that times out takes longer than a check.
            Ok(AttemptOutcome::NotRun(NotRunProof::ConnectFailed)) => RunCheck::Ended,
            Ok(AttemptOutcome::NotRun(_) | AttemptOutcome::Unknown(_)) | Err(_) => RunCheck::Silent,
        }
    }
}
