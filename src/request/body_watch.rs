//! Watches the body of a response: an upstream may end while it sends one.
//!
//! ```text
//! body complete -> the request does not crash the upstreams that run it
//! body broken ---> the run is watched until it is known whether the upstream has ended with it
//! ```
//!
//! A body that is cut at the deadline, or whose caller has left, shows neither.

use std::sync::Arc;

use tokio::time::Instant;

use crate::core::{HeaderNames, UpstreamState};
use crate::limits::QuarantineTable;
use crate::request::execution::RequestExecution;
use crate::request::response::BodyObserver;
use crate::request::run_watch::{RunWatch, WatchedRun};

/// The run of a request whose response is being sent.
#[derive(Debug)]
pub(super) struct BodyWatch {
    /// The request, without its content: a response may take much longer than the request.
    pub(super) execution: RequestExecution,
    /// Digest of the content.
    pub(super) content: u64,
    pub(super) upstream: Arc<UpstreamState>,
    pub(super) quarantine: Arc<QuarantineTable>,
    pub(super) runs: Arc<RunWatch>,
    pub(super) header_names: Arc<HeaderNames>,
    /// Whether the status shows that the request was served.
    pub(super) is_served: bool,
}

impl BodyObserver for Option<Box<BodyWatch>> {
    fn record_whole_body(&mut self) {
        let Some(watch) = self.take().filter(|watch| watch.is_served) else { return };
        let BodyWatch { execution, content, quarantine, header_names, .. } = &*watch;
        execution.record_whole_response(*content, quarantine, header_names);
    }

    fn record_broken_body(&mut self) {
        let Some(watch) = self.take() else { return };
        let request = watch.execution.fingerprint_of_content(watch.content, &watch.header_names);
        let (upstream, began) = (Arc::clone(&watch.upstream), watch.execution.started);
        let ended_at = Some(Instant::now());
        watch.runs.insert(WatchedRun { request, upstream, began, ended_at });
    }
}
