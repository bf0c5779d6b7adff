//! Reads the configuration and the upstreams from the platform's store.
//!
//! The live entry of the lowest name in a failure domain is its reader: it keeps one watch on the
//! upstreams. A watch returns the revision of the whole store, so one that moved by more than the
//! events that came with it says that something else changed, and the configuration is read. The
//! other entries hear from the reader; each reads for itself as soon as the last confirmation is
//! older than its limit, so that nothing rests on one entry, connection or datagram.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::fleet::codec::DeploymentCodec;
use crate::fleet::enrolment::{EntryEnrolment, new_key};
use crate::fleet::fleet_metrics::StoreCall;
use crate::fleet::peer_table::EntryRegistration;
use crate::fleet::state::{CALL_TIME, FleetState, GapKind};
use crate::fleet::view::StoreOutage;
use crate::kernel::{ServiceName, ServiceTask};
use crate::platform::{PlatformStore, StoreError, WatchRequest};
use crate::util::SeededRandom;

/// Least time between the starts of two watches, so that changes that come together cost one call.
const MIN_WATCH_GAP: Duration = Duration::from_millis(250);
/// Least time between the starts of two reads that were asked for because another entry knows more.
const MIN_GAP_READ: Duration = Duration::from_millis(300);
/// Time for which an entry waits for a change that another one knows before it reads the store: the
/// reader tells all entries of its domain one after the other, over slow links.
const GAP_PATIENCE: Duration = Duration::from_millis(200);
/// Time that the watch of an entry waits that only confirms its view.
const CONFIRM_WAIT: Duration = Duration::from_millis(1);
/// Rank from which entries start together.
const MAX_RANK: u32 = 8;
/// Pause after a failed call; doubles up to the longest one.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// Longest pause after a failed call.
pub(super) const MAX_PAUSE: Duration = Duration::from_millis(800);
/// What the entry does next.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StoreDuty {
    /// Read all for the first time.
    ListFirst,
    /// Read all.
    List,
    /// Wait for changes, at most this long.
    Watch(Duration),
    /// Nothing before this time.
    Rest(Instant),
}

/// The service.
#[derive(Debug)]
pub struct StoreService<S, D> {
    /// The store.
    pub store: Arc<S>,
    /// Shared state of the entry.
    pub state: Arc<FleetState<D>>,
    /// How the entry registers.
    pub registration: EntryRegistration,
    /// Source of random numbers.
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
        };
        stop.run_until_cancelled(async { tokio::join!(reads, enrolment.run()) }).await;
    }
}

/// Follows the store.
#[derive(Debug)]
pub struct StoreFollower<S, D> {
    store: Arc<S>,
    state: Arc<FleetState<D>>,
    lost: Option<Instant>,
    pause: Duration,
    /// When the last watch began.
    watched: Option<Instant>,
    /// When the last list began.
    listed: Option<Instant>,
    /// When the follower was made.
    began: Instant,
}

impl<S: PlatformStore, D: DeploymentCodec> StoreFollower<S, D> {
    /// Creates a follower that has read nothing yet.
    pub fn new(store: Arc<S>, state: Arc<FleetState<D>>) -> Self {
        Self {
            store,
            state,
            lost: None,
            pause: FIRST_PAUSE,
            watched: None,
            listed: None,
            began: Instant::now(),
        }
    }

    async fn run(&mut self, random: &mut SeededRandom) {
        loop {
            if self.step().await.is_err() {
                // Entries that failed together must not come back together.
                sleep(self.pause.mul_f64(0.5 + random.unit())).await;
                self.pause = (self.pause * 2).min(MAX_PAUSE);
            }
        }
    }

    /// Does what is due and waits until something is.
    ///
    /// # Errors
    ///
    /// Returns why the store was not read.
    pub async fn step(&mut self) -> Result<(), StoreError> {
        let now = Instant::now();
        let expired = self.state.view().expire(now);
        self.state.publish(expired);
        let result = match self.duty(now) {
            StoreDuty::ListFirst => self.list_first().await,
            StoreDuty::List => self.list().await,
            StoreDuty::Watch(wait) => self.watch(wait).await,
            StoreDuty::Rest(until) => {
                let missed = self.state.missed.notified();
                let _ = timeout(until.saturating_duration_since(now), missed).await;
                Ok(())
            }
        };
        if let Err(error) = &result {
            self.note_lost(error);
        }
        result
    }

    fn duty(&self, now: Instant) -> StoreDuty {
        if self.state.view().revision() == 0 {
            return StoreDuty::ListFirst;
        }
        if let Some((noticed, kind)) = self.state.gap_since() {
            // What is missing may still be on its way, and entries that keep disagreeing must not
            // storm the store.
            let last = self.watched.max(self.listed);
            let next = last.map_or(now, |at| at + MIN_GAP_READ).max(noticed + GAP_PATIENCE);
            return match kind {
                _ if next > now => StoreDuty::Rest(next),
                // One call brings what a list of several pages would.
                GapKind::Later => StoreDuty::Watch(CONFIRM_WAIT),
                GapKind::Different => StoreDuty::List,
            };
        }
        if let Some(end) = self.state.enrolment_end(now) {
            return StoreDuty::Rest(end);
        }
        let expiry = self.state.view().next_expiry();
        let rank = self.state.table().rank(now);
        if rank == 0 {
            let next = self.watched.map_or(now, |at| at + MIN_WATCH_GAP);
            if next > now {
                return StoreDuty::Rest(next);
            }
            let wait = self.state.times.watch_wait;
            let wait = expiry.map_or(wait, |at| wait.min(at.saturating_duration_since(now)));
            return StoreDuty::Watch(wait);
        }
        let limit =
            self.state.times.confirmation_limit + self.state.times.rank_delay * rank.min(MAX_RANK);
        let age = self.state.freshness.age().unwrap_or_else(|| now - self.began);
        if age >= limit {
            return StoreDuty::Watch(CONFIRM_WAIT);
        }
        let due = now + (limit - age);
        StoreDuty::Rest(expiry.map_or(due, |at| at.min(due)))
    }

    /// Reads all.
    async fn list(&mut self) -> Result<(), StoreError> {
        let started = Instant::now();
        self.listed = Some(started);
        let list = self
            .state
            .call_store(StoreCall::List, self.store.list(self.names().upstream_kind, ""))
            .await?;
        self.note_found(started);
        let change = self.state.view().replace_upstreams(list, Instant::now());
        self.state.publish(change);
        self.read_config().await?;
        self.state.close_gap();
        self.state.confirm(started.elapsed());
        Ok(())
    }

    /// Reads all for the first time, at the lower price of an answer that may be old.
    ///
    /// It confirms nothing: a watch or the word of another entry has to bring what is missing.
    async fn list_first(&mut self) -> Result<(), StoreError> {
        let names = self.names();
        let list = self.store.list_relaxed(names.upstream_kind, "");
        let list = self.state.call_store(StoreCall::Relaxed, list).await?;
        self.note_found(Instant::now());
        let change = self.state.view().replace_upstreams(list, Instant::now());
        let config = self.store.get_relaxed(names.config_kind, names.config_name);
        match self.state.call_store(StoreCall::Relaxed, config).await {
            Ok(object) => drop(self.state.view().apply_config(object)),
            // Nothing has been configured yet.
            Err(StoreError::NotFound) => {}
            Err(error) => return Err(error),
        }
        log::info!(target: "store", "read for the first time revision={}", change.revision);
        self.state.put_in_force();
        Ok(())
    }

    async fn watch(&mut self, wait: Duration) -> Result<(), StoreError> {
        self.watched = Some(Instant::now());
        let since = self.state.view().revision();
        let kinds = vec![self.names().upstream_kind.to_owned()];
        let request = WatchRequest { kinds, since, wait };
        let batch = match self
            .state
            .call_store_within(StoreCall::Watch, wait + CALL_TIME, self.store.watch(request))
            .await
        {
            Ok(batch) => batch,
            Err(StoreError::Compacted) => {
                log::info!(target: "store", "history is gone, listing again since={since}");
                return self.list().await;
            }
            Err(error) => return Err(error),
        };
        let returned = Instant::now();
        self.note_found(returned);
        let change = self.state.view().apply_batch(batch, since, returned);
        self.state.publish(change);
        if !self.state.view().watermark().is_config_current() {
            self.read_config().await?;
        }
        self.state.confirm(returned.elapsed());
        self.state.speak_soon();
        Ok(())
    }

    async fn read_config(&mut self) -> Result<(), StoreError> {
        let names = self.names();
        let revision = self.state.view().revision();
        match self
            .state
            .call_store(StoreCall::Get, self.store.get(names.config_kind, names.config_name))
            .await
        {
            Ok(object) => {
                let change = self.state.view().apply_config(object);
                self.state.publish(change);
            }
            // Nothing has been configured yet.
            Err(StoreError::NotFound) => {}
            Err(error) => return Err(error),
        }
        self.state.view().confirm_config(revision);
        Ok(())
    }

    fn names(&self) -> crate::fleet::codec::PlatformNames {
        self.state.view().names()
    }

    fn note_lost(&mut self, error: &StoreError) {
        if self.lost.is_none() {
            let age = self.state.freshness.age().unwrap_or_default();
            log::warn!(target: "store", "lost reason={error} view_age_ms={}", age.as_millis());
            self.lost = Some(Instant::now());
        }
    }

    fn note_found(&mut self, now: Instant) {
        self.pause = FIRST_PAUSE;
        let Some(lost) = self.lost.take() else { return };
        let unconfirmed = self.state.freshness.age().unwrap_or_default();
        // If others had the store meanwhile, only this entry was cut off.
        let began = now.checked_sub(unconfirmed).unwrap_or(now);
        let is_outage =
            unconfirmed >= self.state.times.min_outage && !self.state.was_steady_for_others(began);
        log::info!(
            target: "store",
            "regained after_ms={} view_age_ms={} outage={is_outage}",
            lost.elapsed().as_millis(),
            unconfirmed.as_millis(),
        );
        if is_outage {
            self.state.view().record_outage(StoreOutage { began, ended: now });
        }
    }
}
