//! Request latency and result metrics by tenant and class.

use std::time::Duration;

use prometheus::{HistogramOpts, HistogramVec, IntCounter, IntCounterVec, Opts, Registry};

use crate::serve::pipeline::PipelineMetrics;

/// Upper bounds of the latency buckets, in seconds.
const LATENCY_BUCKETS_SECS: &[f64] = &[
    0.0005, 0.001, 0.002, 0.004, 0.006, 0.008, 0.012, 0.016, 0.024, 0.032, 0.064, 0.128, 0.25, 0.5,
    1.0, 2.0, 5.0, 10.0,
];

/// Metrics of the data plane.
#[derive(Clone, Debug)]
pub struct LatencyMetrics {
    latency: HistogramVec,
    results: IntCounterVec,
    unlogged_refusals: IntCounter,
    pipeline: PipelineMetrics,
}

impl LatencyMetrics {
    /// Creates and registers the metrics.
    ///
    /// # Errors
    ///
    /// Returns the registry's error if a metric of the same name is already registered.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let options = HistogramOpts::new(
            "heatherfall_request_seconds",
            "Time from the head of a request to the head of its response, in seconds.",
        )
        .buckets(LATENCY_BUCKETS_SECS.to_vec());
        let latency = HistogramVec::new(options, &["tenant", "class"])?;
        let options = Opts::new("heatherfall_results_total", "Responses by result code, or `ok`.");
        let results = IntCounterVec::new(options, &["tenant", "class", "result"])?;
        let unlogged_refusals = IntCounter::new(
            "heatherfall_unlogged_refusals_total",
            "Requests refused by their heads without a log line, because lines were too many.",
        )?;
        registry.register(Box::new(unlogged_refusals.clone()))?;
        registry.register(Box::new(latency.clone()))?;
        registry.register(Box::new(results.clone()))?;
        let pipeline = PipelineMetrics::new(registry)?;
        Ok(Self { latency, results, unlogged_refusals, pipeline })
    }

    /// Counters of requests that were started ahead of their turn.
    pub fn pipeline(&self) -> &PipelineMetrics {
        &self.pipeline
    }

    /// Counts a request that was refused by its head without a log line.
    pub(super) fn record_unlogged_refusal(&self) {
        self.unlogged_refusals.inc();
    }

    /// Records one response; `result` is `ok` or a result code such as `HF-1003`.
    pub fn record(&self, tenant: &str, class: &str, result: &str, elapsed: Duration) {
        self.latency.with_label_values(&[tenant, class]).observe(elapsed.as_secs_f64());
        self.results.with_label_values(&[tenant, class, result]).inc();
    }
}
