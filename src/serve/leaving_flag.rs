//! Whether this node is leaving, and until when it may work.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

use tokio::sync::watch;
use tokio::time::Instant;

/// Tells a [`ProxyService`](crate::serve::ProxyService) that its node is leaving; clones share the
/// state.
#[derive(Clone, Debug, Default)]
pub struct LeavingFlag(Arc<LeavingState>);

#[derive(Debug, Default)]
struct LeavingState {
    is_leaving: AtomicBool,
    /// Time by which requests in progress end, if the node does not wait for them longer.
    work_end: watch::Sender<Option<Instant>>,
}

impl LeavingFlag {
    /// From now on responses carry `Connection: close` for callers on HTTP/1.1.
    pub fn set_leaving(&self) {
        self.0.is_leaving.store(true, Ordering::Relaxed);
    }

    /// Sets that the node is leaving and drops requests that are still in progress after `work_end`.
    /// Requests that may need longer are refused.
    pub fn leave_by(&self, work_end: Instant) {
        self.0.work_end.send_replace(Some(work_end));
        self.set_leaving();
    }

    pub(super) fn is_leaving(&self) -> bool {
        self.0.is_leaving.load(Ordering::Relaxed)
    }

    /// Whether a request with this deadline ends before the node does.
    pub(super) fn can_finish(&self, deadline: Instant) -> bool {
        !self.is_leaving() || ends_in_time(*self.0.work_end.borrow(), deadline)
    }

    /// Waits until the node is leaving and too early for a request with this deadline.
    pub(super) async fn cannot_finish(&self, deadline: Instant) {
        let mut work_end = self.0.work_end.subscribe();
        // The sender lives as long as this flag.
        let _ = work_end.wait_for(|end| !ends_in_time(*end, deadline)).await;
    }

    /// Waits until the node has worked for as long as it may.
    pub(super) async fn work_over(&self) {
        let mut work_end = self.0.work_end.subscribe();
        // The sender lives as long as this flag.
        let Ok(Some(end)) = work_end.wait_for(Option::is_some).await.map(|end| *end) else {
            return;
        };
        tokio::time::sleep_until(end).await;
    }
}

fn ends_in_time(work_end: Option<Instant>, deadline: Instant) -> bool {
    work_end.is_none_or(|end| deadline <= end)
}
