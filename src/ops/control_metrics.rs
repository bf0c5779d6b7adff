//! Metrics of the control plane, read when they are scraped.

use std::sync::Arc;

use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{Gauge, IntGauge, Registry};

use crate::membership::ControlNode;
use crate::peer::PeerAuth;

/// Age that is shown before the first confirmation, in seconds.
const UNCONFIRMED_AGE_SECS: f64 = -1.0;

/// Gauges of one node.
pub struct ControlMetrics {
    node: Arc<ControlNode>,
    auth: PeerAuth,
    generation: IntGauge,
    confirmed_age: Gauge,
    is_relay: IntGauge,
    missing: IntGauge,
    refused: IntGauge,
}

impl ControlMetrics {
    /// Registers the metrics of `node`.
    ///
    /// # Errors
    ///
    /// Returns the registry's error if a name is taken.
    pub fn register(
        registry: &Registry,
        node: Arc<ControlNode>,
        auth: PeerAuth,
    ) -> prometheus::Result<()> {
        let metrics = Self {
            node,
            auth,
            generation: IntGauge::new(
                "heatherfall_config_generation",
                "Configuration generation in force on this node.",
            )?,
            confirmed_age: Gauge::new(
                "heatherfall_config_confirmed_age_seconds",
                "Time since the configuration was confirmed as the newest; -1 before the first.",
            )?,
            is_relay: IntGauge::new(
                "heatherfall_relay",
                "Whether this node is its failure domain's relay.",
            )?,
            missing: IntGauge::new(
                "heatherfall_entries_missing",
                "VMs that the platform lists and this relay does not hear.",
            )?,
            refused: IntGauge::new(
                "heatherfall_peer_calls_refused",
                "Calls on the peer listener that no key verified.",
            )?,
        };
        registry.register(Box::new(metrics))
    }
}

impl Collector for ControlMetrics {
    fn desc(&self) -> Vec<&Desc> {
        let mut descs = self.confirmed_age.desc();
        for gauge in [&self.generation, &self.is_relay, &self.missing, &self.refused] {
            descs.extend(gauge.desc());
        }
        descs
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let age = self.node.confirmed_age();
        self.confirmed_age.set(age.map_or(UNCONFIRMED_AGE_SECS, |age| age.as_secs_f64()));
        self.generation.set(self.node.generation_applier().number().0 as i64);
        self.is_relay.set(i64::from(self.node.is_relay()));
        self.missing.set(self.node.missing_vms().len() as i64);
        self.refused.set(self.auth.refused() as i64);
        let mut families = self.confirmed_age.collect();
        for gauge in [&self.generation, &self.is_relay, &self.missing, &self.refused] {
            families.extend(gauge.collect());
        }
        families
    }
}
