//! Counts of requests that were started ahead of their turn, and of connections that were given up.

use prometheus::{IntCounter, IntCounterVec, Opts, Registry};

/// Counters of requests that were started ahead of their turn.
#[derive(Clone, Debug)]
pub struct PipelineMetrics {
    /// Started while an earlier request of their connection was being answered.
    pub started: IntCounter,
    /// Taken over when their turn came.
    pub taken_over: IntCounter,
    /// Cancelled before their turn: the connection ended or the heads did not match.
    pub dropped: IntCounter,
    /// Connections that ended because their callers had left, behind bytes that the server had not
    /// used yet.
    pub abandoned: IntCounter,
}

impl PipelineMetrics {
    /// Creates and registers the counters.
    ///
    /// # Errors
    ///
    /// Returns the registry's error if a metric of the same name is already registered.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let options = Opts::new(
            "heatherfall_pipelined_total",
            "Pipelined requests started ahead of their turn, and what became of them.",
        );
        let counters = IntCounterVec::new(options, &["event"])?;
        registry.register(Box::new(counters.clone()))?;
        let abandoned = IntCounter::new(
            "heatherfall_abandoned_connections_total",
            "Connections whose callers left while requests on them were unanswered or unread.",
        )?;
        registry.register(Box::new(abandoned.clone()))?;
        Ok(Self {
            started: counters.with_label_values(&["started"]),
            taken_over: counters.with_label_values(&["taken_over"]),
            dropped: counters.with_label_values(&["dropped"]),
            abandoned,
        })
    }
}
