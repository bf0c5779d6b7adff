//! Requests that run ahead of their turn on a caller's connection.

use std::net::IpAddr;
use std::sync::Arc;

use http::request::Parts;
use tokio_util::sync::CancellationToken;
use tokio_util::task::AbortOnDropHandle;

use crate::balance::UpstreamPicker;
use crate::core::ResultCode;
use crate::ledger::ClaimLedger;
use crate::request::{CallerAddress, PlaneResponse, UpstreamClient, error_response};
use crate::serve::pipeline::{PipelineMetrics, RequestStarter};
use crate::serve::proxy_service::ProxyService;

/// A request that runs ahead of its turn; cancelled when dropped.
#[derive(Debug)]
pub(super) struct EarlyResponse<C: UpstreamClient> {
    task: AbortOnDropHandle<PlaneResponse<C>>,
    metrics: PipelineMetrics,
    is_taken_over: bool,
}

impl<C: UpstreamClient> EarlyResponse<C> {
    pub(super) fn new(task: AbortOnDropHandle<PlaneResponse<C>>, metrics: PipelineMetrics) -> Self {
        metrics.started.inc();
        Self { task, metrics, is_taken_over: false }
    }

    /// Waits for the response; the turn of the request has come.
    pub(super) async fn take_over(mut self) -> PlaneResponse<C> {
        self.is_taken_over = true;
        self.metrics.taken_over.inc();
        // The task fails only if it panics; an upstream may have run the request.
        (&mut self.task).await.unwrap_or_else(|_| error_response(ResultCode::OutcomeUnknown))
    }
}

impl<C: UpstreamClient> Drop for EarlyResponse<C> {
    fn drop(&mut self) {
        if !self.is_taken_over {
            self.metrics.dropped.inc();
        }
    }
}

/// Starts the requests of one connection ahead of their turn.
#[derive(Debug)]
pub(super) struct EarlyStarter<C, P, L> {
    pub(super) proxy: Arc<ProxyService<C, P, L>>,
    pub(super) caller: IpAddr,
    /// Cancelled when the listener stops.
    pub(super) stop: CancellationToken,
}

impl<C, P, L> RequestStarter for EarlyStarter<C, P, L>
where
    C: UpstreamClient,
    P: UpstreamPicker,
    L: ClaimLedger,
{
    type Early = EarlyResponse<C>;

    fn may_start(&self) -> bool {
        !self.stop.is_cancelled() && !self.proxy.is_leaving()
    }

    fn is_idempotent(&self, parts: &Parts) -> bool {
        self.proxy.admit_idempotent(parts).is_some()
    }

    fn start(&self, parts: &Parts) -> Option<EarlyResponse<C>> {
        let mut parts = parts.clone();
        parts.extensions.insert(CallerAddress(self.caller));
        self.proxy.start_early(parts)
    }
}
