//! Metrics of the quotas of tenants, collected on scrape.

use std::sync::Arc;

use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{IntCounter, IntCounterVec, IntGauge, Opts, Registry};

use crate::limits::tenant_quota::QuotaTable;

/// Collector of the decisions on quotas of one node.
#[derive(Debug)]
pub struct QuotaMetrics {
    quota: Arc<QuotaTable>,
    requests: IntCounterVec,
    answers: IntCounterVec,
    grantor_lost: IntCounter,
    is_granting: IntGauge,
}

impl QuotaMetrics {
    /// Registers a collector for `quota`.
    ///
    /// # Errors
    ///
    /// Returns the registry's error if a metric of the same name is already registered.
    pub fn register(registry: &Registry, quota: Arc<QuotaTable>) -> prometheus::Result<()> {
        let counters = |name, help| IntCounterVec::new(Opts::new(name, help), &["outcome"]);
        let metrics = Self {
            quota,
            requests: counters(
                "heatherfall_quota_requests_total",
                "Requests of tenants with a quota, by where their permit came from, or refused.",
            )?,
            answers: counters(
                "heatherfall_quota_answers_total",
                "Answers to other entries that have asked for a permit.",
            )?,
            grantor_lost: IntCounter::new(
                "heatherfall_quota_grantor_lost_total",
                "Times that an entry that grants permits stopped answering.",
            )?,
            is_granting: IntGauge::new(
                "heatherfall_quota_grantor",
                "1 if this entry grants permits.",
            )?,
        };
        registry.register(Box::new(metrics))
    }
}

impl Collector for QuotaMetrics {
    fn desc(&self) -> Vec<&Desc> {
        let mut descriptions = self.requests.desc();
        descriptions.extend(self.answers.desc());
        descriptions.extend(self.grantor_lost.desc());
        descriptions.extend(self.is_granting.desc());
        descriptions
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let usage = self.quota.usage();
        let requests = [
            ("own", usage.own),
            ("granted", usage.granted),
            ("kept", usage.kept),
            ("reserve", usage.reserve),
            ("unenforced", usage.unenforced),
            ("refused", usage.refused),
        ];
        self.requests.reset();
        for (outcome, count) in requests {
            self.requests.with_label_values(&[outcome]).inc_by(count);
        }
        self.answers.reset();
        self.answers.with_label_values(&["granted"]).inc_by(usage.answered_granted);
        self.answers.with_label_values(&["denied"]).inc_by(usage.answered_denied);
        self.grantor_lost.reset();
        self.grantor_lost.inc_by(usage.grantor_lost);
        self.is_granting.set(i64::from(self.quota.is_granting()));
        let mut families = self.requests.collect();
        families.extend(self.answers.collect());
        families.extend(self.grantor_lost.collect());
        families.extend(self.is_granting.collect());
        families
    }
}
