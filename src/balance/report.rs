//! What an attempt taught about its upstream.

use std::time::Duration;

use http::HeaderMap;

use crate::core::{LOAD_METRICS_HEADER, LoadReportFormat};

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
    /// Time that work takes at present in percent of the usual one, if the upstream tells it.
    pub work_percent: Option<u32>,
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
    /// A report of the number in flight alone.
    pub fn from_inflight(inflight: u32) -> Self {
        Self { inflight, work_percent: None }
    }

    /// Reads the report from answer headers.
    pub fn from_headers(headers: &HeaderMap, format: &LoadReportFormat) -> Option<Self> {
        match format {
            LoadReportFormat::Orca => Self::from_orca(headers),
            LoadReportFormat::Counts(name) => Self::from_counts(headers.get(name)?.to_str().ok()?),
        }
    }

    /// Reads `running,waiting,slots` with an optional fourth number, the work percentage.
    fn from_counts(text: &str) -> Option<Self> {
        let mut numbers = text.split(',').map(|number| number.trim().parse::<u32>().ok());
        let running = numbers.next()??;
        let waiting = numbers.next()??;
        numbers.next()??;
        let work_percent = numbers.next().flatten().filter(|percent| *percent > 0);
        Some(Self { inflight: running.saturating_add(waiting), work_percent })
    }

    /// Reads the text form of Open Request Cost Aggregation.
    fn from_orca(headers: &HeaderMap) -> Option<Self> {
        let text = headers.get(LOAD_METRICS_HEADER)?.to_str().ok()?;
        let (_, rest) = text.split_once(INFLIGHT_METRIC)?;
        let number = rest.split([',', ' ']).next()?;
        Some(Self::from_inflight(number.parse().ok()?))
    }
}
