//! A simulated entry VM, with a picker and a configuration of its own.

use std::sync::Arc;
use std::time::Duration;

use miette::IntoDiagnostic;
use serde::de::DeserializeOwned;
use serde_json::{Value, json};

use crate::core::{
    ConfigSnapshot, LabelSet, RouteRecord, UpstreamKey, UpstreamSpec, UpstreamState,
};
use crate::ops::experiment::settings::{ExperimentSettings, ServiceSettings};
use crate::util::FastMap;

/// A simulated entry.
#[derive(Debug)]
pub(super) struct SimulatedEntry<P> {
    pub(super) picker: P,
    pub(super) snapshot: ConfigSnapshot,
    targets_by_key: FastMap<UpstreamKey, usize>,
    versions: Vec<u32>,
    probe_tokens: f64,
    refilled_at: Duration,
    slots: u32,
    failure_domains: usize,
}

impl<P> SimulatedEntry<P> {
    pub(super) fn new(
        picker: P,
        settings: &ExperimentSettings,
        service: &ServiceSettings,
    ) -> miette::Result<Self> {
        let mut entry = Self {
            picker,
            snapshot: ConfigSnapshot::default(),
            targets_by_key: FastMap::default(),
            versions: vec![0; service.targets],
            probe_tokens: 0.0,
            refilled_at: Duration::ZERO,
            slots: service.slots,
            failure_domains: settings.failure_domains,
        };
        let mut upstreams = Vec::with_capacity(service.targets);
        for target in 0..service.targets {
            upstreams.push(entry.add_upstream(target)?);
        }
        entry.snapshot.routes.push(RouteRecord {
            name: service.name.clone(),
            spec: Arc::new(parse_spec(json!({ "requests": "app=any", "upstreams": "app=any" }))?),
            upstreams: upstreams.into(),
            parts: Vec::new(),
        });
        Ok(entry)
    }

    /// Index of the target behind an upstream key; a replaced upstream's key keeps its target.
    pub(super) fn target_of(&self, key: UpstreamKey) -> usize {
        self.targets_by_key.get(&key).copied().unwrap_or_default()
    }

    /// Refills this entry's token bucket, an equal share of the deployment's probe budget with a
    /// burst of one probe, and returns the number of whole probes that it allows at `now`.
    pub(super) fn refill_probe_tokens(
        &mut self,
        now: Duration,
        settings: &ExperimentSettings,
    ) -> usize {
        let rate = settings.probes_per_second / settings.entries as f64;
        let elapsed = (now - self.refilled_at).as_secs_f64();
        self.probe_tokens = (self.probe_tokens + elapsed * rate).min(1.0);
        self.refilled_at = now;
        self.probe_tokens as usize
    }

    /// Takes the tokens of sent probes out of the bucket.
    pub(super) fn spend_probe_tokens(&mut self, probes: usize) {
        self.probe_tokens = (self.probe_tokens - probes as f64).max(0.0);
    }

    /// Replaces the upstream of `target` by a new one without history.
    pub(super) fn replace(&mut self, target: usize) -> miette::Result<()> {
        self.versions[target] += 1;
        let key = self.add_upstream(target)?;
        if let Some(route) = self.snapshot.routes.first() {
            let mut upstreams = route.upstreams.to_vec();
            let old = std::mem::replace(&mut upstreams[target], key);
            self.snapshot.upstreams.remove(old);
            self.snapshot.routes.set_upstreams(0, upstreams);
        }
        Ok(())
    }

    fn add_upstream(&mut self, target: usize) -> miette::Result<UpstreamKey> {
        let spec: UpstreamSpec = parse_spec(json!({
            "address": "127.0.0.1:1",
            "failure_domain": domain_name(target % self.failure_domains),
            "slots": self.slots,
        }))?;
        let name = format!("target-{target}-{}", self.versions[target]);
        let state = UpstreamState::new(&name, spec, LabelSet::default());
        let key = self.snapshot.upstreams.insert(Arc::new(state));
        self.targets_by_key.insert(key, target);
        Ok(key)
    }
}

/// Name of the failure domain with this index.
pub(super) fn domain_name(index: usize) -> String {
    format!("domain-{index}")
}

fn parse_spec<T: DeserializeOwned>(spec: Value) -> miette::Result<T> {
    serde_json::from_value(spec).into_diagnostic()
}
