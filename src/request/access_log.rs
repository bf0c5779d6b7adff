//! Log lines of single requests.

use std::time::Duration;

use tokio::time::Instant;

use crate::request::attempt_trace::AttemptTrace;
use crate::request::data_plane::DataPlaneCore;
use crate::request::execution::{ExecutionOutcome, RequestExecution};

/// Writes the access log entry of a request: at its end, or when dropped because the caller
/// disconnected first.
pub(super) struct AccessLogEntry<'a, C, P, L> {
    pub(super) core: &'a DataPlaneCore<C, P, L>,
    pub(super) execution: &'a RequestExecution,
    /// None once the entry has been written.
    pub(super) trace: Option<AttemptTrace>,
}

impl<C, P, L> AccessLogEntry<'_, C, P, L> {
    /// Writes the entry. Requests with a single attempt and no 5xx response are logged at debug
    /// level, so that normal operation writes no lines.
    pub(super) fn write<B>(&mut self, outcome: &ExecutionOutcome<B>) {
        let Some(trace) = self.trace.take() else { return };
        match outcome {
            ExecutionOutcome::Answered { response, .. } => {
                let status = response.response.status();
                let is_routine = trace.is_single_attempt() && !status.is_server_error();
                let level = if is_routine { log::Level::Debug } else { log::Level::Info };
                self.log(level, status.as_str(), &trace);
            }
            ExecutionOutcome::Failed(failure) => {
                self.log(log::Level::Info, &failure.code.to_string(), &trace);
            }
        }
    }

    fn log(&self, level: log::Level, outcome: &str, trace: &AttemptTrace) {
        let execution = self.execution;
        let id = execution.headers.get(&self.core.settings.headers.request_id);
        // Quoted, so that a caller cannot inject fields into the log line.
        let id = id.and_then(|id| id.to_str().ok()).unwrap_or_default();
        let tenant = execution.class.authenticated.as_ref();
        let tenant = tenant.map_or_else(String::new, |tenant| format!(" tenant={}", tenant.name));
        let age = self.core.freshness.read_age().unwrap_or(Duration::MAX);
        log::log!(
            target: "request",
            level,
            "id={id:?} class={}{tenant} generation={} config_age_ms={} outcome={outcome} ms={} left_ms={} attempts={trace}",
            execution.class.class,
            execution.snapshot.generation,
            age.as_millis(),
            execution.started.elapsed().as_millis(),
            execution.deadline.saturating_duration_since(Instant::now()).as_millis(),
        );
    }
}

impl<C, P, L> Drop for AccessLogEntry<'_, C, P, L> {
    fn drop(&mut self) {
        if let Some(trace) = self.trace.take() {
            self.log(log::Level::Info, "caller-left", &trace);
        }
    }
}
