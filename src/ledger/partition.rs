//! The task of one partition: gathers commands into batches and makes them durable.
//!
//! While one batch is being written, commands queue up and go into the next. A claim is granted
//! only after its batch is durable. Claims that cannot be written are refused at once; ends of
//! claims wait until they can be.

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

/// First pause after the platform has failed.
const MIN_OUTAGE_BACKOFF: Duration = Duration::from_millis(100);
/// Longest such pause.
const MAX_OUTAGE_BACKOFF: Duration = Duration::from_secs(1);
/// Time between two looks at the ownership of an idle partition.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Age of the last proof that a table is not out of date, up to which a claim that is in progress
/// by the table is taken to be so.
const MAX_VERIFIED_AGE: Duration = Duration::from_millis(500);
/// Ends of claims that are kept while the platform is out, for each partition.
const MAX_RETAINED_FINISHES: usize = 4096;

/// Decides whether this node should serve a partition.
pub(super) trait OwnershipHint: Send + Sync + 'static {
    /// Whether this node is the one to try.
    fn is_owner(&self, partition: u32) -> bool;
}

/// What the tasks of all partitions of a node share.
#[derive(Debug)]
pub(super) struct PartitionContext<S, O> {
    pub(super) store: Arc<S>,
    pub(super) ownership: O,
    pub(super) settings: LedgerSettings,
    pub(super) clock: WallClock,
    pub(super) counters: Arc<LedgerCounters>,
}

/// A log and the state that it amounts to.
#[derive(Debug)]
struct LoadedPartition<S> {
    log: PartitionLog<S>,
    table: KeyTable,
    /// When the platform last showed that the table is not out of date.
    verified: Instant,
}

/// What the node's counters hold of one partition.
#[derive(Clone, Copy, Debug, Default)]
struct TableUsage {
    keys: usize,
    body_bytes: usize,
}

/// The task.
#[derive(Debug)]
pub(super) struct PartitionTask<S, O> {
    context: Arc<PartitionContext<S, O>>,
    site: LogSettings,
    random: SeededRandom,
    flags: Arc<PartitionFlags>,
    commands: mpsc::Receiver<PartitionCommand>,
    bucket: WriteBucket,
    queue: VecDeque<PartitionCommand>,
    loaded: Option<LoadedPartition<S>>,
    counted: TableUsage,
    /// Whether the platform has failed and has to answer a read before claims are taken.
    needs_probe: bool,
    pause: Duration,
}

impl<S: PlatformStore, O: OwnershipHint> PartitionTask<S, O> {
    pub(super) fn new(
        context: Arc<PartitionContext<S, O>>,
        site: LogSettings,
        random: SeededRandom,
        flags: Arc<PartitionFlags>,
        commands: mpsc::Receiver<PartitionCommand>,
    ) -> Self {
        let rate = context.settings.writes_per_second / f64::from(site.layout.partitions.max(1));
        let bucket = WriteBucket::new(rate, context.settings.write_burst);
        Self {
            context,
            site,
            random,
            flags,
            commands,
            bucket,
            queue: VecDeque::new(),
            loaded: None,
            counted: TableUsage::default(),
            needs_probe: false,
            pause: MIN_OUTAGE_BACKOFF,
        }
    }

    /// Runs until every handle of the partition is gone.
    pub(super) async fn run(mut self) {
        while self.wait_for_work().await {
            if !self.should_serve() {
                self.step_down();
                continue;
            }
            if !self.load().await || !self.probe().await {
                self.refuse_and_back_off().await;
                continue;
            }
            if self.queue.is_empty() {
                continue;
            }
            self.bucket.take().await;
            self.drain();
            self.maintain_archives().await;
            self.write_batch().await;
        }
    }

    fn should_serve(&self) -> bool {
        self.flags.is_substitute() || self.context.ownership.is_owner(self.site.partition)
    }

    /// Waits for commands, or for the next look at the ownership. Returns whether handles are
    /// left.
    async fn wait_for_work(&mut self) -> bool {
        self.drain();
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
        self.drain();
        true
    }

    fn drain(&mut self) {
        while let Ok(command) = self.commands.try_recv() {
            self.queue.push_back(command);
        }
    }

    fn step_down(&mut self) {
        for command in self.queue.drain(..) {
            command.reject(PartitionReply::NotOwner);
        }
        self.flags.clear_stall();
        self.needs_probe = false;
        if self.loaded.take().is_some() {
            self.count();
            log::info!(target: "ledger", "stepped down partition={}", self.site.partition);
        }
    }

    /// Reads the log unless it is at hand. Returns whether it is.
    async fn load(&mut self) -> bool {
        if self.loaded.is_some() {
            return true;
        }
        let random = SeededRandom::new(self.random.bits());
        let store = Arc::clone(&self.context.store);
        let partition = self.site.partition;
        match PartitionLog::load(store, self.site.clone(), random).await {
            Ok((log, table)) => {
                let (next, keys) = (log.next_sequence(), table.len());
                log::info!(target: "ledger", "log read partition={partition} next={next} keys={keys}");
                self.context.counters.replays.fetch_add(1, Ordering::Relaxed);
                self.loaded = Some(LoadedPartition { log, table, verified: Instant::now() });
                self.count();
                self.clear_outage();
                true
            }
            Err(error) => {
                if !self.flags.is_stalled() {
                    log::warn!(target: "ledger", "log not read partition={partition} reason={error}");
                }
                false
            }
        }
    }

    /// Asks the platform for a small object if it has failed before. Returns whether it answers.
    async fn probe(&mut self) -> bool {
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

    fn clear_outage(&mut self) {
        self.needs_probe = false;
        self.pause = MIN_OUTAGE_BACKOFF;
        self.flags.clear_stall();
    }

    /// Refuses the claims that wait, keeps the ends of claims, and lets some time pass.
    async fn refuse_and_back_off(&mut self) {
        self.flags.on_stall();
        self.needs_probe = true;
        self.drain();
        let mut waiting = VecDeque::new();
        for command in self.queue.drain(..) {
            let is_kept = matches!(command, PartitionCommand::Finish { .. });
            if is_kept && waiting.len() < MAX_RETAINED_FINISHES {
                waiting.push_back(command);
            } else {
                command.reject(PartitionReply::Unavailable);
            }
        }
        self.queue = waiting;
        tokio::time::sleep(self.pause).await;
        self.pause = (self.pause * 2).min(MAX_OUTAGE_BACKOFF);
    }

    /// Moves older changes into archives and deletes what is no longer needed.
    async fn maintain_archives(&mut self) {
        let Some(loaded) = &mut self.loaded else { return };
        if loaded.log.is_archive_due() {
            let end = loaded.log.archive(&loaded.table, self.flags.as_ref()).await;
            self.bucket.charge();
            // Claims are refused while the flag is set, so no batch may follow that clears it.
            match end {
                AppendOutcome::Durable => self.clear_outage(),
                AppendOutcome::NoEffect | AppendOutcome::Fenced => self.needs_probe = true,
            }
        } else if loaded.log.has_obsolete_archives() {
            loaded.log.delete_obsolete().await;
            self.bucket.charge();
        }
    }

    /// Writes what the queue holds.
    async fn write_batch(&mut self) {
        let Some(mut loaded) = self.loaded.take() else { return };
        let batch = self.gather(&mut loaded);
        if batch.records.is_empty() {
            self.bucket.refund();
            self.accept(batch.commands);
            self.loaded = Some(loaded);
            if !batch.unverified.is_empty() {
                self.requeue(batch.unverified);
                self.verify().await;
            }
            self.count();
            return;
        }
        self.requeue(batch.unverified);
        let horizon = self.horizon().max(loaded.table.horizon_ms());
        match loaded.log.append(batch.records, horizon, self.flags.as_ref()).await {
            AppendOutcome::Durable => {
                let counters = &self.context.counters;
                counters.segments.fetch_add(1, Ordering::Relaxed);
                counters.record_bytes.fetch_add(batch.bytes as u64, Ordering::Relaxed);
                loaded.table.set_horizon(horizon);
                loaded.verified = Instant::now();
                self.loaded = Some(loaded);
                self.clear_outage();
                self.accept(batch.commands);
            }
            AppendOutcome::NoEffect => {
                for undo in batch.undos.into_iter().rev() {
                    loaded.table.undo(undo);
                }
                self.loaded = Some(loaded);
                self.requeue(batch.commands);
                self.refuse_and_back_off().await;
            }
            AppendOutcome::Fenced => {
                self.context.counters.fenced.fetch_add(1, Ordering::Relaxed);
                log::info!(target: "ledger", "fenced partition={}", self.site.partition);
                self.requeue(batch.commands);
            }
        }
        self.count();
    }

    /// Decides about the commands that wait: those that change nothing are answered, the others
    /// make up the batch.
    fn gather(&mut self, loaded: &mut LoadedPartition<S>) -> PartitionBatch {
        let sequence = loaded.log.next_sequence();
        let settings = &self.context.settings;
        let is_sure = loaded.verified.elapsed() <= MAX_VERIFIED_AGE;
        let mut batch = PartitionBatch::default();
        while batch.bytes < settings.max_segment_bytes {
            let Some(command) = self.queue.pop_front() else { break };
            match command {
                PartitionCommand::Claim { claim, reply } => {
                    let is_full = self.context.counters.keys.load(Ordering::Relaxed)
                        + batch.records.len()
                        >= settings.max_keys;
                    let answer = loaded.table.ask(&claim);
                    if matches!(answer, ClaimLookup::Taken(_)) && !is_sure {
                        batch.unverified.push(PartitionCommand::Claim { claim, reply });
                        continue;
                    }
                    let answer = if is_full { answer.or_full() } else { answer };
                    batch.add_claim(&mut loaded.table, sequence, claim, reply, answer);
                }
                PartitionCommand::Finish { mut close, is_rechecked, reply } => {
                    let held = self.context.counters.body_bytes.load(Ordering::Relaxed);
                    close.limit_body(settings.max_body_bytes.saturating_sub(held));
                    let is_ended = loaded.table.is_ended(close.id, close.claim_id);
                    let change = loaded.table.finish(&close, sequence);
                    let command = PartitionCommand::Finish { close, is_rechecked: true, reply };
                    match change {
                        Some((record, undo)) => batch.push(record, undo, command),
                        None if is_ended || is_rechecked => batch.commands.push(command),
                        // Another owner may have granted this claim.
                        None => batch.unverified.push(command),
                    }
                }
            }
        }
        batch
    }

    /// Asks the platform whether another owner has written meanwhile.
    async fn verify(&mut self) {
        let Some(loaded) = &mut self.loaded else { return };
        match loaded.log.is_current().await {
            Ok(true) => loaded.verified = Instant::now(),
            Ok(false) => self.loaded = None,
            Err(_) => self.needs_probe = true,
        }
    }

    fn accept(&self, commands: Vec<PartitionCommand>) {
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

    fn requeue(&mut self, commands: Vec<PartitionCommand>) {
        for command in commands.into_iter().rev() {
            self.queue.push_front(command);
        }
    }

    /// Creation time before which keys are forgotten.
    fn horizon(&self) -> u64 {
        let settings = &self.context.settings;
        let kept = millis(settings.retention + settings.max_clock_skew);
        self.context.clock.now_ms().saturating_sub(kept)
    }

    /// Brings the node's counters up to the table at hand.
    fn count(&mut self) {
        let table = self.loaded.as_ref().map(|loaded| &loaded.table);
        let now = TableUsage {
            keys: table.map_or(0, KeyTable::len),
            body_bytes: table.map_or(0, KeyTable::body_bytes),
        };
        let counters = &self.context.counters;
        counters.keys.fetch_add(now.keys, Ordering::Relaxed);
        counters.keys.fetch_sub(self.counted.keys, Ordering::Relaxed);
        counters.body_bytes.fetch_add(now.body_bytes, Ordering::Relaxed);
        counters.body_bytes.fetch_sub(self.counted.body_bytes, Ordering::Relaxed);
        self.counted = now;
    }
}
