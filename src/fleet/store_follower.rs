//! Reads the configuration and the upstreams from the platform's store.
//!
//! The leader of a failure domain keeps one watch on the upstreams. A watch returns the revision of
//! the whole store: if the events don't account for each revision, something else was written, and the
//! configuration is read. The other entries get changes and confirmations from the leader.
//! Each reads for itself as soon as its last confirmation is too old, so that no single entry,
//! connection or datagram is critical.

mod config_reads;
mod next_action;

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::fleet::codec::DeploymentCodec;
use crate::fleet::enrolment::{EntryEnrolment, new_key};
use crate::fleet::fleet_metrics::StoreCall;
use crate::fleet::other_writes::OtherWrites;
use crate::fleet::peer_table::EntryRegistration;
use crate::fleet::roster::DomainRoster;
use crate::fleet::state::{ConfigSource, FleetState};
use crate::fleet::store_follower::config_reads::{MAX_CONFIG_READS, UnreadConfig};
use crate::fleet::store_follower::next_action::StoreAction;
use crate::fleet::view::StoreOutage;
use crate::kernel::{ServiceName, ServiceTask};
use crate::platform::{PlatformStore, StoreError, StorePosition, WatchBatch, WatchRequest};
use crate::util::SeededRandom;

/// Longest backoff after a failed call of an entry that finds out whether the store has recovered.
pub(super) const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// Number of entries of a large failure domain that do so, by rank.
const PROBING_RANKS: u32 = 4;
/// Backoff of the other entries, in case those cannot reach the store or cannot be heard. The bounds
/// for changes apply from 3 s after the end of an outage; with 2 s and the jitter an entry broke one.
const WAITING_BACKOFF: BackoffBounds =
    BackoffBounds { min: MAX_BACKOFF, max: Duration::from_millis(1200) };

/// Bounds of the time from a failed call to the next.
#[derive(Clone, Copy, Debug)]
struct BackoffBounds {
    min: Duration,
    max: Duration,
}

/// Enrols the entry and follows the store.
#[derive(Debug)]
pub struct StoreService<S, D> {
    /// The store to follow.
    pub store: Arc<S>,
    /// Shared state of the entry.
    pub state: Arc<FleetState<D>>,
    /// Registration of this entry.
    pub registration: EntryRegistration,
    /// For the key candidate and the jitter of retries.
    pub random: SeededRandom,
}

impl<S: PlatformStore, D: DeploymentCodec> ServiceTask for StoreService<S, D> {
    const NAME: ServiceName = ServiceName::Store;

    async fn run(mut self, stop: CancellationToken) {
        let key_candidate = new_key(&mut self.random);
        let reads = async {
            let mut follower = StoreFollower::new(Arc::clone(&self.store), Arc::clone(&self.state));
            follower.run(&mut self.random).await;
        };
        self.state.begin_enrolment(Instant::now());
        let vm = self.state.table().own().vm.to_string();
        let enrolment = EntryEnrolment {
            store: &*self.store,
            state: &*self.state,
            vm,
            registration: &self.registration,
            key_candidate,
            roster: DomainRoster::default(),
        };
        stop.run_until_cancelled(async { tokio::join!(reads, enrolment.run()) }).await;
    }
}

/// Reads the store as the schedule and the gaps demand, and publishes the changes.
#[derive(Debug)]
pub struct StoreFollower<S, D> {
    store: Arc<S>,
    state: Arc<FleetState<D>>,
    /// First failed call since the last successful one.
    lost_at: Option<Instant>,
    /// Calls that have failed since the last successful one.
    failures: u64,
    backoff: Duration,
    /// Start of the last watch.
    last_watch_at: Option<Instant>,
    /// Start of the last list.
    last_list_at: Option<Instant>,
    /// The last watch, if the configuration could not be read after it.
    unread_config: Option<UnreadConfig>,
    /// Whether the store was restored and the enrolment doesn't know it yet.
    is_restore_pending: bool,
    /// Start of the last read that only confirmed the configuration.
    confirmed_at: Option<Instant>,
    /// Relaxed lists that were read to close a gap.
    relaxed_lists: u32,
    created_at: Instant,
}

impl<S: PlatformStore, D: DeploymentCodec> StoreFollower<S, D> {
    /// Creates a follower that has read nothing yet.
    pub fn new(store: Arc<S>, state: Arc<FleetState<D>>) -> Self {
        Self {
            store,
            state,
            lost_at: None,
            failures: 0,
            backoff: Duration::ZERO,
            last_watch_at: None,
            last_list_at: None,
            unread_config: None,
            is_restore_pending: false,
            confirmed_at: None,
            relaxed_lists: 0,
            created_at: Instant::now(),
        }
    }

    async fn run(&mut self, random: &mut SeededRandom) {
        loop {
            if self.step().await.is_err() {
                let bounds = self.backoff_bounds();
                let backoff = self.backoff.clamp(bounds.min, bounds.max);
                // Jitter: entries that failed together must not retry together.
                sleep(backoff.mul_f64(0.5 + random.unit())).await;
                self.backoff = backoff * 2;
            }
        }
    }

    /// Does the next action, or waits until one is due.
    ///
    /// # Errors
    ///
    /// Returns the error of a failed store call.
    pub async fn step(&mut self) -> Result<(), StoreError> {
        let now = Instant::now();
        let expired = self.state.view().expire(now);
        self.state.publish(expired);
        self.state.expire_replaced_rules(now);
        let result = match self.next_action(now) {
            StoreAction::InitialList => self.list_relaxed().await,
            StoreAction::RelaxedList => {
                self.last_list_at = Some(now);
                self.relaxed_lists += 1;
                self.list_relaxed().await
            }
            StoreAction::List => self.list().await,
            StoreAction::Watch(wait) => self.watch(wait).await,
            StoreAction::ReadConfig => self.read_unread_config().await,
            StoreAction::ConfirmConfig => self.confirm_config().await,
            StoreAction::Sleep(until) => {
                let wakeup = self.state.store_wakeup.notified();
                let _ = timeout(until.saturating_duration_since(now), wakeup).await;
                Ok(())
            }
        };
        if let Err(error) = &result {
            self.record_failure(error);
            if matches!(error, StoreError::Protocol(_) | StoreError::ResponseTooLong(_)) {
                self.read_config_alone().await;
            }
        }
        result
    }

    /// Reads everything, which closes any gap.
    async fn list(&mut self) -> Result<(), StoreError> {
        let started = Instant::now();
        self.last_list_at = Some(started);
        let known = self.state.view().position();
        let list = self.store.list(self.names().upstream_kind, "");
        let list = self.state.list_from_store(StoreCall::List, &*self.store, list).await?;
        self.record_success(started);
        self.state.record_store_position(list.position());
        if went_back(known, list.position()) {
            self.is_restore_pending = true;
            self.state.suspend_repeats();
            let change = self.state.view().restart_history(list, Instant::now());
            self.state.view().log_change(&change, "restored store");
            self.state.activate_view();
        } else {
            let change = self.state.view().replace_upstreams(list, Instant::now());
            self.state.publish(change);
        }
        self.read_config(None).await?;
        self.state.clear_gap();
        self.record_current(started.elapsed(), started);
        Ok(())
    }

    /// Records that the view matched the store `age` ago, by a read of the configuration that began at
    /// `config_read_at`. Tells the enrolment of a restore only now: the list that shows it may be followed
    /// by a read of the configuration that fails.
    fn record_current(&mut self, age: Duration, config_read_at: Instant) {
        self.state.confirm(age);
        self.state.confirm_config(config_read_at);
        if std::mem::take(&mut self.is_restore_pending) {
            self.state.restore_notice.notify_one();
            self.state.request_message();
        }
    }

    /// Reads everything by relaxed reads, which cost less.
    ///
    /// They may return stale data, so they don't confirm the view: a watch or a peer does.
    async fn list_relaxed(&mut self) -> Result<(), StoreError> {
        let names = self.names();
        let list = self.store.list_relaxed(names.upstream_kind, "");
        let list = self.state.list_from_store(StoreCall::Relaxed, &*self.store, list).await?;
        self.record_success(Instant::now());
        let known = self.state.view().position();
        if known.revision > 0 && list.era != known.era {
            return self.list().await;
        }
        let config = self.store.get_relaxed(names.config_kind, names.config_name);
        let config = match self.state.call_store(StoreCall::Relaxed, config).await {
            Ok(object) if object.era != list.era => return Err(restored_between_reads()),
            Ok(object) => Some(object),
            // No configuration has been written yet.
            Err(StoreError::NotFound) => None,
            Err(error) => return Err(error),
        };
        let mut evacuations = None;
        if self.state.view().tracks_evacuations() {
            let list = self.store.list_relaxed(names.evacuation_kind, "");
            evacuations =
                Some(self.state.list_from_store(StoreCall::Relaxed, &*self.store, list).await?);
        }
        // The view changes only once all has been read: what a failed read leaves in the view is not
        // activated, and no later read finds it new.
        let change = self.state.view().replace_upstreams(list, Instant::now());
        if let Some(object) = config {
            let change = self.state.view().apply_config(object);
            self.state.log_config(&change, ConfigSource::RelaxedRead);
        }
        if let Some(list) = evacuations {
            drop(self.state.view().apply_evacuations(list, Instant::now()));
        }
        log::info!(target: "store", "relaxed list read revision={}", change.revision);
        self.state.activate_view();
        Ok(())
    }

    async fn watch(&mut self, wait: Duration) -> Result<(), StoreError> {
        let call_timeout = self.state.read_schedule.call_timeout;
        let began = Instant::now();
        self.last_watch_at = Some(began);
        let known = self.state.view().position();
        let since = known.revision;
        let kinds = vec![self.names().upstream_kind.to_owned()];
        let request = WatchRequest { kinds, since, wait };
        let batch = match self
            .state
            .call_store_within(StoreCall::Watch, wait + call_timeout, self.store.watch(request))
            .await
        {
            Ok(batch) => batch,
            Err(StoreError::Compacted) => {
                log::info!(
                    target: "store",
                    "watch history was compacted, listing again since={since}",
                );
                return self.list().await;
            }
            Err(error) => return Err(error),
        };
        let returned = Instant::now();
        self.record_success(returned);
        self.state.record_store_position(batch.position());
        if went_back(known, batch.position()) {
            return self.list().await;
        }
        let mut read_at = response_time(&batch, began, wait, call_timeout);
        let writes = OtherWrites::beside(&batch, since);
        let change = self.state.view().apply_batch(batch, since, returned);
        self.state.publish(change);
        self.state.confirm_config_by_gap();
        let is_current = self.state.view().watermark().is_config_current();
        if !is_current || self.state.knows_newer_config() {
            read_at = Instant::now();
            let read = self.read_config(Some(writes)).await;
            if read.is_err() {
                let (attempts, era) = (MAX_CONFIG_READS, known.era);
                self.unread_config = Some(UnreadConfig { returned, attempts, era });
            }
            read?;
        }
        self.record_current(returned.elapsed(), read_at);
        self.state.request_message();
        Ok(())
    }

    /// Bounds of the backoff of this entry. In a large domain the first few entries find out whether
    /// the store has recovered and tell the others, which then need no call.
    fn backoff_bounds(&self) -> BackoffBounds {
        let table = self.state.table();
        let is_probing = table.is_full_mesh() || table.rank(Instant::now()) < PROBING_RANKS;
        if !is_probing {
            return WAITING_BACKOFF;
        }
        BackoffBounds { min: self.state.read_schedule.min_backoff, max: MAX_BACKOFF }
    }

    fn names(&self) -> crate::fleet::codec::PlatformNames {
        self.state.view().names()
    }

    /// Logs the first failure, and further ones when their number reaches a power of two.
    fn record_failure(&mut self, error: &StoreError) {
        self.failures += 1;
        if !self.failures.is_power_of_two() {
            return;
        }
        let is_first = self.lost_at.is_none();
        let lost_at = *self.lost_at.get_or_insert_with(Instant::now);
        let view_age = self.state.freshness.age().unwrap_or_default();
        let read_age = self.state.freshness.read_age().unwrap_or_default();
        log::warn!(
            target: "store",
            "{} reason={error} view_age_ms={} config_read_age_ms={} failures={} after_ms={}",
            if is_first { "lost" } else { "still lost" },
            view_age.as_millis(),
            read_age.as_millis(),
            self.failures,
            lost_at.elapsed().as_millis(),
        );
    }

    fn record_success(&mut self, now: Instant) {
        self.backoff = Duration::ZERO;
        self.failures = 0;
        let Some(lost_at) = self.lost_at.take() else { return };
        let unconfirmed = self.state.freshness.age().unwrap_or_default();
        let began = now.checked_sub(unconfirmed).unwrap_or(now);
        // If peers could reach the store meanwhile, only this entry was partitioned, or still was when the
        // store had returned.
        let peer_since = self.state.peer_steady_since();
        let ended = peer_since.map_or(now, |since| since.min(now));
        let is_outage = unconfirmed >= self.state.read_schedule.min_outage && ended > began;
        log::info!(
            target: "store",
            "regained after_ms={} view_age_ms={} outage={is_outage} ended_ms={}",
            lost_at.elapsed().as_millis(),
            unconfirmed.as_millis(),
            (now - ended).as_millis(),
        );
        if is_outage {
            self.state.view().record_outage(StoreOutage { began, ended });
        }
    }
}

fn restored_between_reads() -> StoreError {
    StoreError::Unavailable("the store was restored between two reads".to_owned())
}

/// Earliest time at which the store can have made the response to a watch that began at `began`: it
/// holds one without events for the whole wait. The response itself may have been read much later.
fn response_time(
    batch: &WatchBatch,
    began: Instant,
    wait: Duration,
    call_timeout: Duration,
) -> Instant {
    let elapsed = began.elapsed();
    let is_held = batch.events.is_empty() && elapsed >= wait && elapsed <= wait + call_timeout;
    if is_held { began + wait } else { began }
}

/// Whether a read that began with the view at `known` shows that the store's history went back: its
/// era changed, or a store that reports none has a lower revision than before.
fn went_back(known: StorePosition, read: StorePosition) -> bool {
    read.era != known.era || read.revision < known.revision
}
