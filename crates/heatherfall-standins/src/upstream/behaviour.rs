//! Settings of an upstream stand-in: capacity, service time and faults.

use std::time::Duration;

/// Behaviour of an upstream stand-in; can be changed while it runs.
#[derive(Clone, Debug, PartialEq)]
pub struct UpstreamBehaviour {
    /// Requests processed concurrently. Fixed when the stand-in is created.
    pub slots: usize,
    /// Requests that may wait for a slot; further ones are shed.
    pub queue_limit: usize,
    /// Time that one request occupies a slot.
    pub service_time: Duration,
    /// Number of requests after start that take ten times the service time (a cold start).
    pub cold_requests: u64,
    /// Every request is shed with status 503 and the not-run header.
    pub shed_all: bool,
    /// Every request runs and fails at once with status 500.
    pub fail_all: bool,
    /// Responses carry the drain header.
    pub draining: bool,
    /// In-flight count to report in the load header in place of the real one.
    pub reported_inflight: Option<usize>,
    /// The connection fails after this many bytes of the response body.
    pub truncate_after_bytes: Option<usize>,
    /// Every request runs, keeps its slot and never gets a response.
    pub never_respond: bool,
    /// Bytes of padding added to the response body.
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
