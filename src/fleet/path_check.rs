//! Checks whether this entry has a path to the upstreams once that is in doubt, and while it has none.
//!
//! A check asks a few upstreams at their health paths, on new connections. One response is enough to
//! keep the path, and half of them are needed to restore it, so that an entry that reaches a few
//! upstreams does not go back and forth. While there is a path and no doubt of it, nothing is sent.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use http::{HeaderMap, Method, Uri};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::balance::{PathChange, PathMonitor, PathVerdict};
use crate::core::{ConfigSnapshot, UpstreamState};
use crate::fleet::codec::DeploymentCodec;
use crate::fleet::state::FleetState;
use crate::kernel::{ServiceName, ServiceTask};
use crate::request::{
    AttemptOutcome, AttemptRequest, ConnectionPolicy, UnknownCause, UpstreamClient,
};
use crate::util::SeededRandom;

/// Upstreams that a check asks. With a quarter of them down, one check in 250 finds only those.
const CHECKED_UPSTREAMS: usize = 4;
/// Timeout of a check. Longer than the client's connect timeout, so that a failure to connect is reported
/// as such and not as a missing response.
const CHECK_TIMEOUT: Duration = Duration::from_millis(250);
/// Longest wait for a response of an upstream that may queue a health check like a request.
const QUEUED_CHECK_TIMEOUT: Duration = Duration::from_secs(1);
/// Connect timeout of the client; several round trips between failure domains.
pub(super) const CHECK_CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Pause after each check. While there is no path, checks are repeated at this interval.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Checks the path to the upstreams.
#[derive(Debug)]
pub struct PathCheckService<C, D> {
    /// Client that sends the checks; it must not report to the monitor itself.
    pub client: C,
    /// Shared state of the entry.
    pub state: Arc<FleetState<D>>,
    /// Tells when the path is in doubt, and keeps the verdict.
    pub monitor: Arc<PathMonitor>,
    /// Selects the upstreams that are checked.
    pub random: SeededRandom,
}

/// What one upstream's check has shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CheckOutcome {
    Responded,
    NoConnection,
    NoResponse,
}

impl<C: UpstreamClient, D: DeploymentCodec> ServiceTask for PathCheckService<C, D> {
    const NAME: ServiceName = ServiceName::Path;

    async fn run(mut self, stop: CancellationToken) {
        loop {
            if !self.monitor.is_cut()
                && stop.run_until_cancelled(self.monitor.suspected()).await.is_none()
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

impl<C: UpstreamClient, D: DeploymentCodec> PathCheckService<C, D> {
    async fn check(&mut self) {
        let Some(snapshot) = self.state.snapshot.load_full() else { return };
        let began = Instant::now();
        self.state.refresh_forwarding();
        let Some(verdict) = self.check_upstreams(&snapshot).await else { return };
        let change = self.monitor.conclude(verdict, began);
        if self.monitor.is_cut() {
            // Requests are forwarded to entries that may have started after this one.
            self.state.request_rosters();
        }
        match change {
            PathChange::Unchanged => {}
            PathChange::Cut { since } => {
                log::warn!(
                    target: "path",
                    "no path to the upstreams, forwarding requests to peers verdict={verdict:?} since_ms={}",
                    since.elapsed().as_millis(),
                );
                self.state.set_path(false);
            }
            PathChange::Restored { since } => {
                log::info!(
                    target: "path",
                    "path to the upstreams restored lost_ms={}",
                    since.elapsed().as_millis(),
                );
                forget_failures(&snapshot, since);
                self.state.set_path(true);
            }
        }
    }

    /// Asks some upstreams; `None` if there are none that can be asked.
    async fn check_upstreams(&mut self, snapshot: &ConfigSnapshot) -> Option<PathVerdict> {
        let mut checks = FuturesUnordered::new();
        for upstream in select_upstreams(snapshot, &mut self.random) {
            checks.push(check_upstream(&self.client, upstream));
        }
        if checks.is_empty() {
            return None;
        }
        let needed = if self.monitor.is_cut() { checks.len().div_ceil(2) } else { 1 };
        let mut responses = 0;
        let mut verdict = PathVerdict::NoConnection;
        while let Some(outcome) = checks.next().await {
            match outcome {
                CheckOutcome::Responded => {
                    responses += 1;
                    if responses >= needed {
                        return Some(PathVerdict::Open);
                    }
                }
                CheckOutcome::NoConnection => {}
                CheckOutcome::NoResponse => verdict = PathVerdict::NoResponse,
            }
        }
        Some(verdict)
    }
}

/// Selects upstreams at random. Those that report their load come first, since they respond to health
/// checks without a free slot.
fn select_upstreams(
    snapshot: &ConfigSnapshot,
    random: &mut SeededRandom,
) -> Vec<Arc<UpstreamState>> {
    let (mut reporting, mut others) = (Vec::new(), Vec::new());
    for upstream in snapshot.upstreams.values() {
        if upstream.spec.health_path.is_none() {
            continue;
        }
        let reports = upstream.stats().slowdown_factor().is_some();
        if reports { reporting.push(upstream) } else { others.push(upstream) }
    }
    let mut candidates = if reporting.is_empty() { others } else { reporting };
    let mut selected = Vec::with_capacity(CHECKED_UPSTREAMS);
    while selected.len() < CHECKED_UPSTREAMS && !candidates.is_empty() {
        let upstream = candidates.swap_remove(random.below(candidates.len()));
        selected.push(Arc::clone(upstream));
    }
    selected
}

async fn check_upstream<C: UpstreamClient>(
    client: &C,
    upstream: Arc<UpstreamState>,
) -> CheckOutcome {
    let reports = upstream.stats().slowdown_factor().is_some();
    let limit = if reports { CHECK_TIMEOUT } else { QUEUED_CHECK_TIMEOUT };
    let path = upstream.spec.health_path.as_deref().unwrap_or("/");
    let request = AttemptRequest {
        method: Method::GET,
        uri: Uri::try_from(path).unwrap_or_default(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        deadline: Instant::now() + limit,
        connection: ConnectionPolicy::New,
    };
    match timeout(limit, client.send(&upstream, request)).await {
        Ok(AttemptOutcome::Answered(_)) => CheckOutcome::Responded,
        Ok(AttemptOutcome::NotRun(_)) => CheckOutcome::NoConnection,
        Ok(AttemptOutcome::Unknown(UnknownCause::InvalidStatus)) => CheckOutcome::Responded,
        Ok(AttemptOutcome::Unknown(_)) | Err(_) => CheckOutcome::NoResponse,
    }
}

/// Clears failures recorded since the path was lost; they say nothing about the upstreams.
fn forget_failures(snapshot: &ConfigSnapshot, since: Instant) {
    for upstream in snapshot.upstreams.values() {
        upstream.stats().forget_failures_since(since);
    }
}
