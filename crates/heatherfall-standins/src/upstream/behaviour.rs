//! What an upstream stand-in does with a request.

use std::time::Duration;

/// Behaviour of an upstream stand-in; may be changed while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamBehaviour {
    /// Requests worked on at the same time.
    pub slots: usize,
    /// Requests that may wait for a slot; one more is shed.
    pub queue_limit: usize,
    /// Time that one request occupies a slot.
    pub service_time: Duration,
    /// Requests after start that take ten times as long.
    pub cold_requests: u64,
    /// Every request is shed with the not-run mark.
    pub shed_all: bool,
    /// Every request fails at once with status 500, having run.
    pub fail_all: bool,
    /// Answers carry the drain mark.
    pub draining: bool,
    /// In-flight count that answers report in place of the real one.
    pub reported_inflight: Option<usize>,
    /// The answer is cut after this many bytes.
    pub truncate_after_bytes: Option<usize>,
    /// The request runs and its answer never comes.
    pub never_respond: bool,
    /// Bytes of padding added to the answer.
    pub padding_bytes: usize,
}

impl Default for UpstreamBehaviour {
    fn default() -> Self {
        Self {
            slots: 4,
            queue_limit: 64,
            service_time: Duration::from_millis(2),
            cold_requests: 0,
            shed_all: false,
            fail_all: false,
            draining: false,
            reported_inflight: None,
            truncate_after_bytes: None,
            never_respond: false,
            padding_bytes: 0,
        }
    }
}
