//! Metrics of an entry's view, its age, and its store calls.

use std::time::Duration;

use prometheus::{Gauge, IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::platform::{Revision, StoreError, StorePosition};

/// Kinds of store calls, by cost and failure modes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreCall {
    /// Read of one object.
    Get,
    /// Read of all objects of a kind.
    List,
    /// Get or list that may return stale data, at a lower cost.
    Relaxed,
    /// Long poll for changes.
    Watch,
    /// Write of one object.
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

/// Cold upstreams whose rate is enforced.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ColdUpstreamStatus {
    /// Their number.
    pub upstreams: usize,
    /// Requests per second that this entry may send them, all together.
    pub allowed_per_second: f64,
    /// Requests that this entry has sent them since the last update.
    pub sent: u64,
}

/// Values of the gauges.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetStatus {
    /// Generation of the active configuration; 0 before the first.
    pub generation: u64,
    /// Time since the view was last confirmed; `None` before the first confirmation.
    pub view_age: Option<Duration>,
    /// Time since the start of the latest read that found no newer configuration; `None` before the
    /// first.
    pub config_read_age: Option<Duration>,
    /// Revision of the configuration object that was last read.
    pub config_revision: Revision,
    /// Store revision up to which no newer configuration is known to exist.
    pub config_known_revision: Revision,
    /// Number of known entries in all failure domains, this one included.
    pub known_entries: u32,
    /// Number of upstreams in the active configuration, draining ones included.
    pub upstreams: usize,
    /// Registrations in the store that are invalid.
    pub invalid_registrations: usize,
    /// Number of upstreams that name a rate limit.
    pub limited_upstreams: usize,
    /// Cold upstreams.
    pub cold: ColdUpstreamStatus,
    /// Requests that are refused because they crash upstreams.
    pub refused_requests: usize,
    /// Whether this entry has a path to the upstreams.
    pub has_path: bool,
    /// Failure domains that operators have evacuated.
    pub evacuated_domains: usize,
    /// Store revision up to which upstream changes are known.
    pub view_revision: Revision,
    /// Position that the store last reported to this entry.
    pub store_position: StorePosition,
}

/// Metrics of an entry, registered in a Prometheus registry.
#[derive(Clone, Debug)]
pub struct FleetMetrics {
    generation: IntGauge,
    view_age: Gauge,
    config_read_age: Gauge,
    config_revision: IntGauge,
    config_known_revision: IntGauge,
    entries: IntGauge,
    upstreams: IntGauge,
    invalid_registrations: IntGauge,
    limited_upstreams: IntGauge,
    cold_upstreams: IntGauge,
    cold_allowed: Gauge,
    cold_requests: IntCounter,
    refused_requests: IntGauge,
    has_path: IntGauge,
    evacuated_domains: IntGauge,
    view_revision: IntGauge,
    store_revision: IntGauge,
    store_era: IntGauge,
    calls: IntCounterVec,
}

impl FleetMetrics {
    /// Creates the metrics and registers them.
    ///
    /// # Errors
    ///
    /// Returns an error if the registry already holds metrics of the same names.
    pub fn new(registry: &Registry) -> Result<Self, prometheus::Error> {
        let options =
            Opts::new("heatherfall_store_calls_total", "Store calls by kind and outcome.");
        let metrics = Self {
            generation: IntGauge::new(
                "heatherfall_generation",
                "Generation of the active configuration.",
            )?,
            view_age: Gauge::new(
                "heatherfall_view_age_seconds",
                "Time since the view last matched the store; -1 before the first confirmation.",
            )?,
            config_read_age: Gauge::new(
                "heatherfall_config_read_age_seconds",
                "Time since the read that last found no newer configuration; -1 before the first.",
            )?,
            config_revision: IntGauge::new(
                "heatherfall_config_revision",
                "Revision of the configuration object that was last read.",
            )?,
            config_known_revision: IntGauge::new(
                "heatherfall_config_known_revision",
                "Store revision up to which no newer configuration is known to exist.",
            )?,
            entries: IntGauge::new("heatherfall_entries", "Known entries in all failure domains.")?,
            upstreams: IntGauge::new(
                "heatherfall_upstreams",
                "Upstreams in the active configuration.",
            )?,
            invalid_registrations: IntGauge::new(
                "heatherfall_invalid_registrations",
                "Registrations in the store that are invalid and name no upstream.",
            )?,
            limited_upstreams: IntGauge::new(
                "heatherfall_limited_upstreams",
                "Upstreams that name a rate limit.",
            )?,
            cold_upstreams: IntGauge::new(
                "heatherfall_cold_upstreams",
                "Upstreams that are warming up and whose rate is enforced.",
            )?,
            cold_allowed: Gauge::new(
                "heatherfall_cold_allowed_per_second",
                "Requests per second that this entry may send to all cold upstreams together.",
            )?,
            cold_requests: IntCounter::new(
                "heatherfall_cold_requests_total",
                "Requests that this entry has sent to cold upstreams.",
            )?,
            refused_requests: IntGauge::new(
                "heatherfall_refused_requests",
                "Requests that are refused because upstreams ended while they ran them.",
            )?,
            has_path: IntGauge::new(
                "heatherfall_has_path",
                "1 if this entry has a path to the upstreams, 0 if it forwards requests to peers.",
            )?,
            evacuated_domains: IntGauge::new(
                "heatherfall_evacuated_domains",
                "Failure domains that operators have evacuated.",
            )?,
            view_revision: IntGauge::new(
                "heatherfall_view_revision",
                "Store revision up to which upstream changes are known.",
            )?,
            store_revision: IntGauge::new(
                "heatherfall_store_revision",
                "Revision that the store last reported to this entry.",
            )?,
            store_era: IntGauge::new(
                "heatherfall_store_era",
                "Era that the store last reported to this entry; rises when it is restored from a copy.",
            )?,
            calls: IntCounterVec::new(options, &["call", "outcome"])?,
        };
        registry.register(Box::new(metrics.generation.clone()))?;
        registry.register(Box::new(metrics.invalid_registrations.clone()))?;
        registry.register(Box::new(metrics.limited_upstreams.clone()))?;
        registry.register(Box::new(metrics.cold_upstreams.clone()))?;
        registry.register(Box::new(metrics.cold_allowed.clone()))?;
        registry.register(Box::new(metrics.cold_requests.clone()))?;
        registry.register(Box::new(metrics.refused_requests.clone()))?;
        registry.register(Box::new(metrics.has_path.clone()))?;
        registry.register(Box::new(metrics.evacuated_domains.clone()))?;
        registry.register(Box::new(metrics.view_age.clone()))?;
        registry.register(Box::new(metrics.config_read_age.clone()))?;
        registry.register(Box::new(metrics.config_revision.clone()))?;
        registry.register(Box::new(metrics.config_known_revision.clone()))?;
        registry.register(Box::new(metrics.entries.clone()))?;
        registry.register(Box::new(metrics.upstreams.clone()))?;
        registry.register(Box::new(metrics.view_revision.clone()))?;
        registry.register(Box::new(metrics.store_revision.clone()))?;
        registry.register(Box::new(metrics.store_era.clone()))?;
        registry.register(Box::new(metrics.calls.clone()))?;
        Ok(metrics)
    }

    /// Sets the gauges.
    pub fn update(&self, status: FleetStatus) {
        self.generation.set(gauge_value(status.generation));
        self.view_age.set(status.view_age.map_or(-1.0, |age| age.as_secs_f64()));
        self.config_read_age.set(status.config_read_age.map_or(-1.0, |age| age.as_secs_f64()));
        self.config_revision.set(gauge_value(status.config_revision));
        self.config_known_revision.set(gauge_value(status.config_known_revision));
        self.entries.set(i64::from(status.known_entries));
        self.upstreams.set(i64::try_from(status.upstreams).unwrap_or(i64::MAX));
        let invalid = i64::try_from(status.invalid_registrations).unwrap_or(i64::MAX);
        self.invalid_registrations.set(invalid);
        self.limited_upstreams.set(i64::try_from(status.limited_upstreams).unwrap_or(i64::MAX));
        self.cold_upstreams.set(i64::try_from(status.cold.upstreams).unwrap_or(i64::MAX));
        self.cold_allowed.set(status.cold.allowed_per_second);
        self.cold_requests.inc_by(status.cold.sent);
        self.refused_requests.set(i64::try_from(status.refused_requests).unwrap_or(i64::MAX));
        self.has_path.set(i64::from(status.has_path));
        self.evacuated_domains.set(i64::try_from(status.evacuated_domains).unwrap_or(i64::MAX));
        self.view_revision.set(gauge_value(status.view_revision));
        self.store_revision.set(gauge_value(status.store_position.revision));
        self.store_era.set(gauge_value(status.store_position.era.0));
    }

    /// Counts a store call by its outcome.
    pub(super) fn count_call<T>(&self, call: StoreCall, result: &Result<T, StoreError>) {
        let outcome = match result {
            Ok(_) => "ok",
            Err(StoreError::NotFound) => "not_found",
            Err(StoreError::Conflict(_)) => "conflict",
            Err(StoreError::Compacted) => "compacted",
            Err(StoreError::Unavailable(_)) => "refused",
            Err(StoreError::ResponseLost(_)) => "lost",
            Err(
                StoreError::TooLarge(_) | StoreError::ResponseTooLong(_) | StoreError::Protocol(_),
            ) => "error",
        };
        self.calls.with_label_values(&[call.label(), outcome]).inc();
    }
}

/// Value of a gauge; numbers beyond its range are shown as its maximum.
fn gauge_value(number: u64) -> i64 {
    i64::try_from(number).unwrap_or(i64::MAX)
}
