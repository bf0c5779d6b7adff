//! Watches one attempt for an upstream that falls silent, also if the attempt is cancelled.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::{HeaderNames, UpstreamState};
use crate::request::execution::RequestExecution;
use crate::request::run_watch::{RunId, RunWatch, SILENCE_INTERVAL, WatchedRun, heard_at};

/// Shortest run for which the silence of an upstream says something.
const MIN_RUN_TIME: Duration = Duration::from_millis(20);

/// Held while an attempt is in flight. If it is dropped without [`Self::finish`], the attempt was
/// cancelled.
pub(super) struct RunGuard<'a> {
    watch: &'a RunWatch,
    execution: &'a RequestExecution,
    header_names: &'a HeaderNames,
    upstream: Arc<UpstreamState>,
    began: Instant,
    id: Option<RunId>,
    is_finished: bool,
}

impl<'a> RunGuard<'a> {
    pub(super) fn new(
        watch: &'a RunWatch,
        execution: &'a RequestExecution,
        header_names: &'a HeaderNames,
        upstream: &Arc<UpstreamState>,
    ) -> Self {
        let (upstream, began) = (Arc::clone(upstream), Instant::now());
        Self { watch, execution, header_names, upstream, began, id: None, is_finished: false }
    }

    /// Watches the run if the upstream has given no sign of life for some time.
    pub(super) fn check_silence(&mut self) {
        let now = Instant::now();
        if self.is_silent_since(now.checked_sub(SILENCE_INTERVAL).unwrap_or(now)) {
            self.insert(None);
        }
    }

    /// Ends the watch of an attempt that was answered, has not run, or whose upstream is known to have
    /// ended.
    pub(super) fn finish(mut self) {
        self.is_finished = true;
        if let Some(id) = self.id {
            self.watch.remove(id);
        }
    }

    fn is_silent_since(&self, since: Instant) -> bool {
        heard_at(&self.upstream, Instant::now()).is_none_or(|heard| heard <= since)
    }

    fn insert(&mut self, ended_at: Option<Instant>) {
        if self.id.is_some() {
            return;
        }
        self.id = self.watch.insert(WatchedRun {
            request: self.execution.request_fingerprint(self.header_names),
            upstream: Arc::clone(&self.upstream),
            began: self.began,
            ended_at,
        });
    }
}

impl Drop for RunGuard<'_> {
    /// The attempt has ended without a response. If another one of the request was answered, the
    /// request is not what ends upstreams.
    fn drop(&mut self) {
        if self.is_finished {
            return;
        }
        if self.execution.is_answered.load(Ordering::Relaxed) {
            if let Some(id) = self.id {
                self.watch.remove(id);
            }
            return;
        }
        let now = Instant::now();
        if let Some(id) = self.id {
            self.watch.end(id, now);
        } else if now >= self.began + MIN_RUN_TIME && self.is_silent_since(self.began) {
            self.insert(Some(now));
        }
    }
}
