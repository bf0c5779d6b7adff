//! What an attempt taught about its upstream.

use std::time::Duration;

use http::HeaderMap;

use crate::core::LOAD_METRICS_HEADER;

/// Name of the in-flight metric within a load report.
const INFLIGHT_METRIC: &str = "named_metrics.inflight=";

/// How an attempt ended, as far as choosing an upstream is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// An answer that is no server error.
    Answered,
    /// An answer with a server error.
    ServerError,
    /// Refused with the not-run mark: busy, not broken.
    Shed,
    /// The connection could not be opened.
    ConnectFailed,
    /// The connection broke.
    Broken,
    /// No answer in time.
    TimedOut,
    /// Cancelled by this node; says nothing about the upstream but the time it took.
    Cancelled,
}

/// Load that an upstream reports about itself; stale on arrival, and sometimes untrue.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the upstream from all entries, the answered one not counted.
    pub inflight: u32,
}

/// One finished attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptReport {
    /// Time to the head of the answer, or to the failure.
    pub latency: Duration,
    /// How it ended.
    pub result: AttemptResult,
    /// Load report that came with the answer.
    pub load: Option<LoadReport>,
    /// Whether the answer carried the drain mark.
    pub is_draining: bool,
}

impl LoadReport {
    /// Reads the report in the text form of Open Request Cost Aggregation from answer headers.
    pub fn from_headers(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get(LOAD_METRICS_HEADER)?.to_str().ok()?;
        let (_, rest) = text.split_once(INFLIGHT_METRIC)?;
        let number = rest.split([',', ' ']).next()?;
        Some(Self { inflight: number.parse().ok()? })
    }
}
