//! Metrics of the limits of each route, collected on scrape.

use std::sync::Arc;

use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{GaugeVec, Opts, Registry};

use crate::limits::{HEDGE_EVENTS, LimitTable};

/// Collector of the limits of all routes of one node.
#[derive(Debug)]
pub struct LimitMetrics {
    limits: Arc<LimitTable>,
    limit: GaugeVec,
    in_flight: GaugeVec,
    waiting: GaugeVec,
    retry_tokens: GaugeVec,
    retries: GaugeVec,
    hedges: GaugeVec,
    hedge_outcomes: GaugeVec,
    part_requests: GaugeVec,
}

impl LimitMetrics {
    /// Registers a collector for `limits`.
    ///
    /// # Errors
    ///
    /// Returns the registry's error if a metric of the same name is already registered.
    pub fn register(registry: &Registry, limits: Arc<LimitTable>) -> prometheus::Result<()> {
        let gauge = |name, help| GaugeVec::new(Opts::new(name, help), &["route"]);
        let attempts = |name, help| GaugeVec::new(Opts::new(name, help), &["route", "budget"]);
        let outcomes = |name, help| GaugeVec::new(Opts::new(name, help), &["route", "outcome"]);
        let parts = |name, help| GaugeVec::new(Opts::new(name, help), &["route", "part"]);
        let metrics = Self {
            limits,
            limit: gauge("heatherfall_limit", "Concurrency limit of requests.")?,
            in_flight: gauge("heatherfall_limit_in_flight", "Requests in flight.")?,
            waiting: gauge("heatherfall_limit_waiting", "Requests waiting for a permit.")?,
            retry_tokens: gauge("heatherfall_retry_tokens", "Retries that the budget allows now.")?,
            retries: attempts("heatherfall_retries", "Retries, by decision of the budget.")?,
            hedges: attempts("heatherfall_hedges", "Hedges, by decision of the budget.")?,
            hedge_outcomes: outcomes(
                "heatherfall_hedge_outcomes",
                "Hedges started, won and lost, and requests without a hedge, by reason.",
            )?,
            part_requests: parts(
                "heatherfall_part_requests",
                "Requests of split routes, by part.",
            )?,
        };
        registry.register(Box::new(metrics))
    }

    fn gauges(&self) -> [&GaugeVec; 8] {
        [
            &self.limit,
            &self.in_flight,
            &self.waiting,
            &self.retry_tokens,
            &self.retries,
            &self.hedges,
            &self.hedge_outcomes,
            &self.part_requests,
        ]
    }
}

impl Collector for LimitMetrics {
    fn desc(&self) -> Vec<&Desc> {
        self.gauges().into_iter().flat_map(Collector::desc).collect()
    }

    fn collect(&self) -> Vec<MetricFamily> {
        for vec in self.gauges() {
            // Drops the series of routes that no longer exist.
            vec.reset();
        }
        for route in self.limits.routes() {
            let name = [route.name.as_str()];
            let (gate, limits) = (&route.limits.gate, &route.limits);
            self.limit.with_label_values(&name).set(f64::from(gate.limit()));
            self.in_flight.with_label_values(&name).set(f64::from(gate.in_flight()));
            self.waiting.with_label_values(&name).set(f64::from(gate.waiting()));
            self.retry_tokens.with_label_values(&name).set(limits.retries.tokens());
            for (part, count) in limits.part_sequence.counts().into_iter().enumerate() {
                let part = part.to_string();
                self.part_requests.with_label_values(&[name[0], &part]).set(count as f64);
            }
            for event in HEDGE_EVENTS {
                let count = limits.hedge_counts.get(event) as f64;
                self.hedge_outcomes.with_label_values(&[name[0], event.as_str()]).set(count);
            }
            let budgets =
                [(&self.retries, limits.retries.usage()), (&self.hedges, limits.hedges.usage())];
            for (vec, usage) in budgets {
                vec.with_label_values(&[name[0], "spent"]).set(usage.spent as f64);
                vec.with_label_values(&[name[0], "refused"]).set(usage.refused as f64);
            }
        }
        self.gauges().into_iter().flat_map(Collector::collect).collect()
    }
}
