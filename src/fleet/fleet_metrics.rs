//! What an entry believes and how old that is, and its calls of the store, as metrics.

use std::time::Duration;

use prometheus::{Gauge, IntCounterVec, IntGauge, Opts, Registry};

use crate::platform::StoreError;

/// Calls of the store, as far as they cost and fail alike.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Reads one object.
    Get,
    /// Reads all objects of a kind.
    List,
    /// Reads that may be answered from an old copy.
    Relaxed,
    /// Waits for changes.
    Watch,
    /// Writes.
    Put,
}

impl StoreCall {
    fn label(self) -> &'static str {
        match self {
            Self::Get => "get",
            Self::List => "list",
            Self::Relaxed => "relaxed",
            Self::Watch => "watch",
            Self::Put => "put",
        }
    }
}

/// The beliefs of an entry at a moment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetStatus {
    /// Number of the configuration in force; 0 before the first.
    pub generation: u64,
    /// Time since the view was last confirmed; none before the first confirmation.
    pub view_age: Option<Duration>,
    /// Entries of all failure domains that are known, this one included.
    pub known_entries: u32,
    /// Upstreams that may get work.
    pub upstreams: usize,
}

/// The metrics.
#[derive(Clone, Debug)]
pub struct FleetMetrics {
    generation: IntGauge,
    view_age: Gauge,
    entries: IntGauge,
    upstreams: IntGauge,
    calls: IntCounterVec,
}

impl FleetMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Returns an error if the registry already holds metrics of the same names.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let options = Opts::new("heatherfall_store_calls_total", "Calls of the store by outcome.");
        let metrics = Self {
            generation: IntGauge::new("heatherfall_generation", "Configuration in force.")?,
            view_age: Gauge::new(
                "heatherfall_view_age_seconds",
                "Time since the view was last known to be the store's; -1 before that.",
            )?,
            entries: IntGauge::new("heatherfall_entries", "Entries that are known.")?,
            upstreams: IntGauge::new("heatherfall_upstreams", "Upstreams in force.")?,
            calls: IntCounterVec::new(options, &["call", "outcome"])?,
        };
        registry.register(Box::new(metrics.generation.clone()))?;
        registry.register(Box::new(metrics.view_age.clone()))?;
        registry.register(Box::new(metrics.entries.clone()))?;
        registry.register(Box::new(metrics.upstreams.clone()))?;
        registry.register(Box::new(metrics.calls.clone()))?;
        Ok(metrics)
    }

    /// Shows what the entry believes now.
    pub fn update(&self, beliefs: FleetStatus) {
        self.generation.set(i64::try_from(beliefs.generation).unwrap_or(i64::MAX));
        self.view_age.set(beliefs.view_age.map_or(-1.0, |age| age.as_secs_f64()));
        self.entries.set(i64::from(beliefs.known_entries));
        self.upstreams.set(i64::try_from(beliefs.upstreams).unwrap_or(i64::MAX));
    }

    /// Counts a call of the store.
    pub(super) fn count_call<T>(&self, call: StoreCall, result: &Result<T, StoreError>) {
        let outcome = match result {
            Ok(_) => "ok",
            Err(StoreError::NotFound) => "not_found",
            Err(StoreError::Conflict(_)) => "conflict",
            Err(StoreError::Compacted) => "compacted",
            Err(StoreError::Unavailable(_)) => "refused",
            Err(StoreError::ResponseLost(_)) => "lost",
            Err(StoreError::TooLarge(_) | StoreError::Protocol(_)) => "error",
        };
        self.calls.with_label_values(&[call.label(), outcome]).inc();
    }
}
