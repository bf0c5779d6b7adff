//! Control-plane metrics of one node, computed at each scrape.

use std::sync::Arc;

use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{Gauge, IntGauge, Registry};

use crate::membership::ControlNode;
use crate::peer::PeerAuth;

/// Value of the age gauge before the configuration was first confirmed; no real age is negative.
const UNCONFIRMED_AGE_SECS: f64 = -1.0;

/// Collector of the control-plane gauges of one node.
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
    /// Returns the registry's error if a metric of the same name is registered already.
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
                "Configuration generation that is active on this node.",
            )?,
            confirmed_age: Gauge::new(
                "heatherfall_config_confirmed_age_seconds",
                "Time since the configuration was last confirmed as newest; -1 before the first.",
            )?,
            is_relay: IntGauge::new(
                "heatherfall_relay",
                "Whether this node is the relay of its failure domain: 1 or 0.",
            )?,
            missing: IntGauge::new(
                "heatherfall_entries_missing",
                "VMs in the platform's list from which this relay receives no heartbeats.",
            )?,
            refused: IntGauge::new(
                "heatherfall_peer_calls_refused",
                "Calls on the peer listener that failed authentication.",
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
