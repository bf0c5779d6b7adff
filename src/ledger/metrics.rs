//! The ledger's Prometheus metrics.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};

use prometheus::core::{Collector, Desc};
use prometheus::proto::MetricFamily;
use prometheus::{IntCounter, IntGauge, Registry};

/// Counters and gauges of one node's ledger.
#[derive(Debug, Default)]
pub struct LedgerCounters {
    /// Keys held in memory now.
    pub keys: AtomicUsize,
    /// Bytes of stored response bodies in memory now.
    pub body_bytes: AtomicUsize,
    /// Claims made durable.
    pub claims: AtomicU64,
    /// Segments written, each holding one batch.
    pub segments: AtomicU64,
    /// Bytes of the records in those segments.
    pub record_bytes: AtomicU64,
    /// Segment writes that conflicted with another owner's.
    pub fenced: AtomicU64,
    /// Partition logs loaded.
    pub replays: AtomicU64,
}

/// Collector that reads a node's [`LedgerCounters`] on each scrape.
#[derive(Debug)]
pub struct LedgerMetrics {
    counters: Arc<LedgerCounters>,
    keys: IntGauge,
    body_bytes: IntGauge,
    claims: IntCounter,
    segments: IntCounter,
    record_bytes: IntCounter,
    fenced: IntCounter,
    replays: IntCounter,
}

impl LedgerMetrics {
    /// Registers the metrics of `counters`.
    ///
    /// # Errors
    ///
    /// Returns an error if a metric of one of the names is registered already.
    pub fn register(registry: &Registry, counters: Arc<LedgerCounters>) -> prometheus::Result<()> {
        let metrics = Self {
            counters,
            keys: IntGauge::new("heatherfall_ledger_keys", "Idempotency keys held by this node.")?,
            body_bytes: IntGauge::new(
                "heatherfall_ledger_body_bytes",
                "Bytes of stored response bodies in memory.",
            )?,
            claims: IntCounter::new("heatherfall_ledger_claims_total", "Claims made durable.")?,
            segments: IntCounter::new(
                "heatherfall_ledger_segments_total",
                "Batches of records made durable, one platform write each.",
            )?,
            record_bytes: IntCounter::new(
                "heatherfall_ledger_record_bytes_total",
                "Bytes of the records in those batches.",
            )?,
            fenced: IntCounter::new(
                "heatherfall_ledger_fenced_total",
                "Batches that conflicted with a write of another owner.",
            )?,
            replays: IntCounter::new(
                "heatherfall_ledger_replays_total",
                "Partition logs loaded from the platform.",
            )?,
        };
        registry.register(Box::new(metrics))
    }

    fn gauges(&self) -> [(&IntGauge, usize); 2] {
        let counters = &self.counters;
        [
            (&self.keys, counters.keys.load(Ordering::Relaxed)),
            (&self.body_bytes, counters.body_bytes.load(Ordering::Relaxed)),
        ]
    }

    fn totals(&self) -> [(&IntCounter, u64); 5] {
        let counters = &self.counters;
        [
            (&self.claims, counters.claims.load(Ordering::Relaxed)),
            (&self.segments, counters.segments.load(Ordering::Relaxed)),
            (&self.record_bytes, counters.record_bytes.load(Ordering::Relaxed)),
            (&self.fenced, counters.fenced.load(Ordering::Relaxed)),
            (&self.replays, counters.replays.load(Ordering::Relaxed)),
        ]
    }
}

impl Collector for LedgerMetrics {
    fn desc(&self) -> Vec<&Desc> {
        let mut descs = Vec::new();
        for (gauge, _) in self.gauges() {
            descs.extend(gauge.desc());
        }
        for (counter, _) in self.totals() {
            descs.extend(counter.desc());
        }
        descs
    }

    fn collect(&self) -> Vec<MetricFamily> {
        let mut families = Vec::new();
        for (gauge, value) in self.gauges() {
            gauge.set(i64::try_from(value).unwrap_or(i64::MAX));
            families.extend(gauge.collect());
        }
        for (counter, value) in self.totals() {
            counter.inc_by(value.saturating_sub(counter.get()));
            families.extend(counter.collect());
        }
        families
    }
}
