//! Results of attempts and load reports of upstreams, as pickers consume them.

use std::time::Duration;

use http::HeaderMap;

use crate::core::{LOAD_METRICS_HEADER, LoadReportFormat};

/// Prefix of the in-flight metric in an ORCA load report.
const INFLIGHT_METRIC: &str = "named_metrics.inflight=";

/// How an attempt ended, as far as picking an upstream is concerned.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptResult {
    /// A response other than a server error.
    Answered,
    /// A response with a server error status.
    ServerError,
    /// Refused with the not-run header: the upstream is overloaded, not failing.
    Shed,
    /// The connection could not be opened.
    ConnectFailed,
    /// The connection broke before the response was complete.
    Broken,
    /// No response within the attempt's timeout.
    TimedOut,
    /// Cancelled by this node; only the time that it had taken by then is known.
    Cancelled,
}

/// Load that an upstream reports about itself; stale on arrival, and sometimes wrong.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LoadReport {
    /// Requests in flight at the upstream from all entries, without the one being answered.
    pub inflight: u32,
    /// Current service time in percent of the usual one, if the upstream reports it.
    pub work_percent: Option<u32>,
}

/// One finished attempt.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AttemptReport {
    /// Time to the response headers, or to the failure.
    pub latency: Duration,
    /// How the attempt ended.
    pub result: AttemptResult,
    /// Load report on the response.
    pub load: Option<LoadReport>,
    /// Whether the response carried the drain signal.
    pub is_draining: bool,
}

impl LoadReport {
    /// A report of the in-flight count alone.
    pub fn from_inflight(inflight: u32) -> Self {
        Self { inflight, work_percent: None }
    }

    /// Reads the report from response headers; none if it is absent or malformed.
    pub fn from_headers(headers: &HeaderMap, format: &LoadReportFormat) -> Option<Self> {
        match format {
            LoadReportFormat::Orca => Self::from_orca(headers),
            LoadReportFormat::Counts(name) => Self::from_counts(headers.get(name)?.to_str().ok()?),
        }
    }

    /// Parses `running,waiting,slots` with an optional fourth number, the service time in percent.
    fn from_counts(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>().ok());
        let running = numbers.next()??;
        let waiting = numbers.next()??;
        numbers.next()??;
        let work_percent = numbers.next().flatten().filter(|percent| *percent > 0);
        Some(Self { inflight: running.saturating_add(waiting), work_percent })
    }

    /// Reads the in-flight metric from the text form of Open Request Cost Aggregation.
    fn from_orca(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get(LOAD_METRICS_HEADER)?.to_str().ok()?;
        let (_, rest) = text.split_once(INFLIGHT_METRIC)?;
        let number = rest.split([',', ' ']).next()?;
        Some(Self::from_inflight(number.parse().ok()?))
    }
}
