//! The task of one partition: collects commands into batches and makes each durable (group commit).
//!
//! Commands that arrive while a batch is being written go into the next one. A claim is granted
//! only after its batch is durable. While the platform is unavailable, claims are refused at once
//! and outcomes of claims wait in the queue.

use std::collections::VecDeque;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use heatherfall_platform_api::PlatformStore;
use tokio::sync::mpsc;
use tokio::time::Instant;

use crate::ledger::key::{WallClock, millis};
use crate::ledger::log_object::{LAYOUT_KIND, LAYOUT_NAME};
use crate::ledger::metrics::LedgerCounters;
use crate::ledger::partition_batch::{
    FinishReceipt, PartitionBatch, PartitionCommand, PartitionReply,
};
use crate::ledger::partition_flags::PartitionFlags;
use crate::ledger::partition_log::{AppendOutcome, LogSettings, PartitionLog};
use crate::ledger::resolved_put::StallObserver;
use crate::ledger::settings::LedgerSettings;
use crate::ledger::table::{ClaimLookup, KeyTable};
use crate::ledger::write_bucket::WriteBucket;
use crate::util::SeededRandom;

/// First wait after a failed platform call.
const MIN_OUTAGE_BACKOFF: Duration = Duration::from_millis(100);
/// Upper bound of that wait, which doubles with each further failure.
const MAX_OUTAGE_BACKOFF: Duration = Duration::from_secs(1);
/// Interval at which an idle partition checks whether this node still owns it.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Longest time since a read or write of the log up to which the table may be used to refuse a
/// claim because another holds its key. An older table is checked against the log first: another
/// owner may have recorded the holder's outcome.
const MAX_VERIFIED_AGE: Duration = Duration::from_millis(500);
/// Outcomes of claims that one partition keeps in its queue while the platform is unavailable.
const MAX_QUEUED_OUTCOMES: usize = 4096;

/// Tells whether this node should serve a partition. Only a hint: the log's conditional writes
/// keep two owners apart.
pub(super) trait OwnershipHint: Send + Sync + 'static {
    /// Whether this node owns the partition, by what it knows.
    fn is_owner(&self, partition: u32) -> bool;
}

/// State shared by the tasks of all partitions of a node.
#[derive(Debug)]
pub(super) struct PartitionContext<S, O> {
    pub(super) store: Arc<S>,
    pub(super) ownership: O,
    pub(super) settings: LedgerSettings,
    pub(super) clock: WallClock,
    pub(super) counters: Arc<LedgerCounters>,
}

/// A partition's log and the table built from it.
#[derive(Debug)]
struct LoadedPartition<S> {
    log: PartitionLog<S>,
    table: KeyTable,
    /// When a read or write of the log last showed that no other owner has written.
    verified_at: Instant,
}

/// One partition's share of the node's gauges.
#[derive(Clone, Copy, Debug, Default)]
struct TableUsage {
    keys: usize,
    body_bytes: usize,
}

/// Task that owns one partition's log, table and command queue.
#[derive(Debug)]
pub(super) struct PartitionTask<S, O> {
    context: Arc<PartitionContext<S, O>>,
    log_settings: LogSettings,
    random: SeededRandom,
    flags: Arc<PartitionFlags>,
    commands: mpsc::Receiver<PartitionCommand>,
    bucket: WriteBucket,
    queue: VecDeque<PartitionCommand>,
    loaded: Option<LoadedPartition<S>>,
    reported_usage: TableUsage,
    /// Whether a platform call has failed, so that a read has to succeed before claims are
    /// accepted.
    needs_probe: bool,
    backoff: Duration,
}

impl<S: PlatformStore, O: OwnershipHint> PartitionTask<S, O> {
    pub(super) fn new(
        context: Arc<PartitionContext<S, O>>,
        log_settings: LogSettings,
        random: SeededRandom,
        flags: Arc<PartitionFlags>,
        commands: mpsc::Receiver<PartitionCommand>,
    ) -> Self {
        let rate =
            context.settings.writes_per_second / f64::from(log_settings.layout.partitions.max(1));
        let bucket = WriteBucket::new(rate, context.settings.write_burst);
        Self {
            context,
            log_settings,
            random,
            flags,
            commands,
            bucket,
            queue: VecDeque::new(),
            loaded: None,
            reported_usage: TableUsage::default(),
            needs_probe: false,
            backoff: MIN_OUTAGE_BACKOFF,
        }
    }

    /// Runs until every sender of the command queue is dropped.
    pub(super) async fn run(mut self) {
        while self.wait_for_work().await {
            if !self.should_serve() {
                self.step_down();
                continue;
            }
            if !self.load().await || !self.probe_platform().await {
                self.refuse_and_back_off().await;
                continue;
            }
            if self.queue.is_empty() {
                continue;
            }
            self.bucket.take().await;
            self.receive_queued();
            self.maintain_archives().await;
            self.write_batch().await;
        }
    }

    fn should_serve(&self) -> bool {
        self.flags.is_substitute() || self.context.ownership.is_owner(self.log_settings.partition)
    }

    /// Waits for a command, or for the next ownership check; outcomes wait up to
    /// `outcome_batch_delay` for a claim to share a write with. Returns `false` once every sender
    /// is dropped.
    async fn wait_for_work(&mut self) -> bool {
        self.receive_queued();
        if self.queue.is_empty() {
            match tokio::time::timeout(OWNERSHIP_CHECK_INTERVAL, self.commands.recv()).await {
                Ok(Some(command)) => self.queue.push_back(command),
                Ok(None) => return false,
                Err(_) => return true,
            }
        }
        let end = Instant::now() + self.context.settings.outcome_batch_delay;
        while self.queue.iter().all(PartitionCommand::can_wait_for_batch) {
            match tokio::time::timeout_at(end, self.commands.recv()).await {
                Ok(Some(command)) => self.queue.push_back(command),
                Ok(None) | Err(_) => break,
            }
        }
        self.receive_queued();
        true
    }

    /// Moves the commands that have arrived into the queue, without waiting.
    fn receive_queued(&mut self) {
        while let Ok(command) = self.commands.try_recv() {
            self.queue.push_back(command);
        }
    }

    /// Rejects all commands and drops the log and table: this node no longer serves the partition.
    fn step_down(&mut self) {
        for command in self.queue.drain(..) {
            command.reject(PartitionReply::NotOwner);
        }
        self.flags.clear_stall();
        self.needs_probe = false;
        if self.loaded.take().is_some() {
            self.update_gauges();
            log::info!(
                target: "ledger",
                "no longer served by this node, state dropped partition={}",
                self.log_settings.partition
            );
        }
    }

    /// Reads the log unless it is loaded. Returns whether it is loaded now.
    async fn load(&mut self) -> bool {
        if self.loaded.is_some() {
            return true;
        }
        let random = SeededRandom::new(self.random.bits());
        let store = Arc::clone(&self.context.store);
        let partition = self.log_settings.partition;
        match PartitionLog::load(store, self.log_settings.clone(), random).await {
            Ok((log, table)) => {
                let (next, keys) = (log.next_sequence(), table.len());
                log::info!(
                    target: "ledger",
                    "partition log loaded partition={partition} next={next} keys={keys}"
                );
                self.context.counters.replays.fetch_add(1, Ordering::Relaxed);
                self.loaded = Some(LoadedPartition { log, table, verified_at: Instant::now() });
                self.update_gauges();
                self.clear_outage();
                true
            }
            Err(error) => {
                if !self.flags.is_stalled() {
                    log::warn!(
                        target: "ledger",
                        "partition log not loaded, claims refused partition={partition} \
                         reason={error}"
                    );
                }
                false
            }
        }
    }

    /// Reads a small object if a platform call has failed before. Returns whether the platform is
    /// available.
    async fn probe_platform(&mut self) -> bool {
        if !self.needs_probe {
            return true;
        }
        match self.context.store.get(LAYOUT_KIND, LAYOUT_NAME).await {
            Err(error) if error.is_outage() => false,
            _ => {
                self.clear_outage();
                true
            }
        }
    }

    /// Accepts claims again after a platform call has succeeded.
    fn clear_outage(&mut self) {
        self.needs_probe = false;
        self.backoff = MIN_OUTAGE_BACKOFF;
        self.flags.clear_stall();
    }

    /// Refuses the queued claims, keeps up to [`MAX_QUEUED_OUTCOMES`] outcomes, and waits.
    async fn refuse_and_back_off(&mut self) {
        self.flags.on_stall();
        self.needs_probe = true;
        self.receive_queued();
        let mut retained = VecDeque::new();
        for command in self.queue.drain(..) {
            let is_outcome = matches!(command, PartitionCommand::Finish { .. });
            if is_outcome && retained.len() < MAX_QUEUED_OUTCOMES {
                retained.push_back(command);
            } else {
                command.reject(PartitionReply::Unavailable);
            }
        }
        self.queue = retained;
        tokio::time::sleep(self.backoff).await;
        self.backoff = (self.backoff * 2).min(MAX_OUTAGE_BACKOFF);
    }

    /// Writes an archive if one is due, or else deletes one that is obsolete.
    async fn maintain_archives(&mut self) {
        let Some(loaded) = &mut self.loaded else { return };
        if loaded.log.is_archive_due() {
            let outcome = loaded.log.archive(&loaded.table, self.flags.as_ref()).await;
            self.bucket.charge();
            // A stalled archive write sets the flag that refuses claims. While they are refused,
            // there may be no batch whose write clears it, so it is cleared here or by the probe.
            match outcome {
                AppendOutcome::Durable => self.clear_outage(),
                AppendOutcome::NoEffect | AppendOutcome::Fenced => self.needs_probe = true,
            }
        } else if loaded.log.has_obsolete_archives() {
            loaded.log.delete_obsolete().await;
            self.bucket.charge();
        }
    }

    /// Writes the queued commands as one batch and replies to them.
    async fn write_batch(&mut self) {
        let Some(mut loaded) = self.loaded.take() else { return };
        let batch = self.build_batch(&mut loaded);
        if batch.records.is_empty() {
            self.bucket.refund();
            self.acknowledge(batch.commands);
            self.loaded = Some(loaded);
            if !batch.unverified.is_empty() {
                self.requeue(batch.unverified);
                self.verify_current().await;
            }
            self.update_gauges();
            return;
        }
        self.requeue(batch.unverified);
        let horizon_ms = self.expiry_horizon_ms().max(loaded.table.horizon_ms());
        match loaded.log.append(batch.records, horizon_ms, self.flags.as_ref()).await {
            AppendOutcome::Durable => {
                let counters = &self.context.counters;
                counters.segments.fetch_add(1, Ordering::Relaxed);
                counters.record_bytes.fetch_add(batch.bytes as u64, Ordering::Relaxed);
                loaded.table.set_horizon(horizon_ms);
                loaded.verified_at = Instant::now();
                self.loaded = Some(loaded);
                self.clear_outage();
                self.acknowledge(batch.commands);
            }
            AppendOutcome::NoEffect => {
                for rollback in batch.rollbacks.into_iter().rev() {
                    loaded.table.roll_back(rollback);
                }
                self.loaded = Some(loaded);
                self.requeue(batch.commands);
                self.refuse_and_back_off().await;
            }
            AppendOutcome::Fenced => {
                self.context.counters.fenced.fetch_add(1, Ordering::Relaxed);
                log::info!(
                    target: "ledger",
                    "fenced: another owner wrote the segment, log is read again partition={}",
                    self.log_settings.partition
                );
                self.requeue(batch.commands);
            }
        }
        self.update_gauges();
    }

    /// Decides about the queued commands up to `max_segment_bytes` of records: claims that are not
    /// granted get a reply at once, the other commands make up the batch.
    fn build_batch(&mut self, loaded: &mut LoadedPartition<S>) -> PartitionBatch {
        let sequence = loaded.log.next_sequence();
        let settings = &self.context.settings;
        let is_verified = loaded.verified_at.elapsed() <= MAX_VERIFIED_AGE;
        let mut batch = PartitionBatch::default();
        while batch.bytes < settings.max_segment_bytes {
            let Some(command) = self.queue.pop_front() else { break };
            match command {
                PartitionCommand::Claim { claim, reply } => {
                    let is_full = self.context.counters.keys.load(Ordering::Relaxed)
                        + batch.records.len()
                        >= settings.max_keys;
                    let lookup = loaded.table.lookup(&claim);
                    if matches!(lookup, ClaimLookup::HeldBy(_)) && !is_verified {
                        batch.unverified.push(PartitionCommand::Claim { claim, reply });
                        continue;
                    }
                    let lookup = if is_full { lookup.or_full() } else { lookup };
                    batch.add_claim(&mut loaded.table, sequence, claim, reply, lookup);
                }
                PartitionCommand::Finish { mut completion, is_rechecked, reply } => {
                    let stored = self.context.counters.body_bytes.load(Ordering::Relaxed);
                    completion.limit_body(settings.max_body_bytes.saturating_sub(stored));
                    let is_ended = loaded.table.is_ended(completion.id, completion.claim_id);
                    let change = loaded.table.finish(&completion, sequence);
                    let command =
                        PartitionCommand::Finish { completion, is_rechecked: true, reply };
                    match change {
                        Some((record, rollback)) => batch.push(record, rollback, command),
                        None if is_ended || is_rechecked => batch.commands.push(command),
                        // Another owner may have granted this claim after this table was read.
                        None => batch.unverified.push(command),
                    }
                }
            }
        }
        batch
    }

    /// Checks that no other owner has written a segment; if one has, drops the log to be read
    /// again.
    async fn verify_current(&mut self) {
        let Some(loaded) = &mut self.loaded else { return };
        match loaded.log.is_current().await {
            Ok(true) => loaded.verified_at = Instant::now(),
            Ok(false) => self.loaded = None,
            Err(_) => self.needs_probe = true,
        }
    }

    /// Replies that the claims are granted and the outcomes recorded.
    fn acknowledge(&self, commands: Vec<PartitionCommand>) {
        for command in commands {
            match command {
                PartitionCommand::Claim { reply, .. } => {
                    self.context.counters.claims.fetch_add(1, Ordering::Relaxed);
                    let _ = reply.send(PartitionReply::Granted);
                }
                PartitionCommand::Finish { reply, .. } => {
                    let _ = reply.send(FinishReceipt::Recorded);
                }
            }
        }
    }

    /// Puts commands back at the head of the queue, in their order.
    fn requeue(&mut self, commands: Vec<PartitionCommand>) {
        for command in commands.into_iter().rev() {
            self.queue.push_front(command);
        }
    }

    /// Creation time before which keys are removed, in Unix milliseconds. Nodes accept keys by
    /// their own clocks up to the retention, so that keys are kept longer by the allowed clock
    /// skew.
    fn expiry_horizon_ms(&self) -> u64 {
        let settings = &self.context.settings;
        let kept_ms = millis(settings.retention + settings.max_clock_skew);
        self.context.clock.now_ms().saturating_sub(kept_ms)
    }

    /// Updates the node's gauges by the change of this partition's table.
    fn update_gauges(&mut self) {
        let table = self.loaded.as_ref().map(|loaded| &loaded.table);
        let usage = TableUsage {
            keys: table.map_or(0, KeyTable::len),
            body_bytes: table.map_or(0, KeyTable::body_bytes),
        };
        let counters = &self.context.counters;
        counters.keys.fetch_add(usage.keys, Ordering::Relaxed);
        counters.keys.fetch_sub(self.reported_usage.keys, Ordering::Relaxed);
        counters.body_bytes.fetch_add(usage.body_bytes, Ordering::Relaxed);
        counters.body_bytes.fetch_sub(self.reported_usage.body_bytes, Ordering::Relaxed);
        self.reported_usage = usage;
    }
}
