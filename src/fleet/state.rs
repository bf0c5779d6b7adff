//! What the services of one entry share.

use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::{Instant, timeout};

use crate::core::SharedSnapshot;
use crate::fleet::codec::DeploymentCodec;
use crate::fleet::fleet_metrics::{FleetMetrics, FleetStatus, StoreCall};
use crate::fleet::peer_message::{MeasuredLoad, MessageKey, ViewConfirmation};
use crate::fleet::peer_table::PeerTable;
use crate::fleet::read_schedule::ReadSchedule;
use crate::fleet::view::{DeploymentView, ViewChange, ViewWatermark};
use crate::limits::LimitTable;
use crate::membership::{ConfigFreshness, EntryState, SharedMembership};
use crate::platform::StoreError;

/// Time for the answer of a call of the store beyond its own wait.
pub(super) const CALL_TIME: Duration = Duration::from_millis(700);
/// Time for which another entry's word on the store's steadiness holds; some messages.
const STEADINESS_LIFE: Duration = Duration::from_secs(2);

/// Time for which an entry leaves the duties of its failure domain to others while it cannot learn
/// who they are; some calls of the store.
const ENROLMENT_PATIENCE: Duration = Duration::from_millis(2500);

/// What has to be told to the other entries.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pub(super) loads: Vec<(Instant, MeasuredLoad)>,
    pub(super) changes: Vec<ViewChange>,
    /// Whether the others should hear from this entry before its next message is due.
    pub(super) is_urgent: bool,
}

/// How another entry's view is ahead of the own one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum GapKind {
    /// It knows later changes.
    Later,
    /// It differs at the same revision, which only a list can settle.
    Different,
}

/// What this entry has missed.
#[derive(Clone, Copy, Debug)]
struct ViewGap {
    noticed: Instant,
    /// What another entry knows.
    mark: ViewWatermark,
}

impl ViewGap {
    /// Whether the entry that showed the gap knows the change, and has told the others.
    fn is_covering(&self, change: &ViewChange) -> bool {
        let config = change.config.as_ref().map_or(0, |object| object.version);
        change.revision <= self.mark.revision && config <= self.mark.config_revision
    }
}

/// What another entry said of the store's steadiness.
#[derive(Clone, Copy, Debug)]
struct PeerSteadiness {
    since: Instant,
    heard: Instant,
}

/// Shared state of one entry.
#[derive(Debug)]
pub struct FleetState<D> {
    view: Mutex<DeploymentView<D>>,
    table: Mutex<PeerTable>,
    /// What another entry knows and this one has missed.
    gap: Mutex<Option<ViewGap>>,
    outbox: Mutex<Outbox>,
    /// Since when the view has been confirmed again and again, without an outage.
    steady_since: Mutex<Option<Instant>>,
    /// What another entry last said of that, and when.
    peer_steady: Mutex<Option<PeerSteadiness>>,
    /// Metrics, if there are any.
    metrics: Option<FleetMetrics>,
    /// When the store is read.
    pub(super) times: ReadSchedule,
    /// Until when the entry waits to learn who else there is; none once it knows.
    enrolling: Mutex<Option<Instant>>,
    /// Wakes the peer service: there is something to tell.
    pub(super) outgoing: Notify,
    /// Wakes the store service: something was missed.
    pub(super) missed: Notify,
    /// Deployment's key, once it is known.
    pub(super) key: OnceLock<MessageKey>,
    /// Configuration that the request plane reads.
    pub snapshot: SharedSnapshot,
    /// Entries that callers are sent to.
    pub membership: SharedMembership,
    /// Age of the last confirmation of the view.
    pub freshness: Arc<ConfigFreshness>,
    limits: Arc<LimitTable>,
}

impl<D: DeploymentCodec> FleetState<D> {
    /// Creates the state of an entry that knows nothing yet.
    pub fn new(
        view: DeploymentView<D>,
        table: PeerTable,
        snapshot: SharedSnapshot,
        membership: SharedMembership,
        freshness: Arc<ConfigFreshness>,
        limits: Arc<LimitTable>,
    ) -> Self {
        Self {
            view: Mutex::new(view),
            table: Mutex::new(table),
            gap: Mutex::default(),
            outbox: Mutex::default(),
            steady_since: Mutex::default(),
            peer_steady: Mutex::default(),
            metrics: None,
            times: ReadSchedule::default(),
            enrolling: Mutex::default(),
            outgoing: Notify::new(),
            missed: Notify::new(),
            key: OnceLock::new(),
            snapshot,
            membership,
            freshness,
            limits,
        }
    }

    /// Sets when the store is read.
    #[must_use]
    pub fn with_read_schedule(self, times: ReadSchedule) -> Self {
        Self { times, ..self }
    }

    /// Sets the metrics that show what the entry believes.
    #[must_use]
    pub fn with_metrics(self, metrics: FleetMetrics) -> Self {
        Self { metrics: Some(metrics), ..self }
    }

    /// Makes a call of the store that is answered at once, and counts it.
    pub(super) async fn call_store<T>(
        &self,
        call: StoreCall,
        answer: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.call_store_within(call, CALL_TIME, answer).await
    }

    /// The same for one whose answer is lost after `limit`.
    pub(super) async fn call_store_within<T>(
        &self,
        call: StoreCall,
        limit: Duration,
        answer: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let lost = || StoreError::ResponseLost(format!("no answer in {limit:?}"));
        let result = timeout(limit, answer).await.unwrap_or_else(|_| Err(lost()));
        if let Some(metrics) = &self.metrics {
            metrics.count_call(call, &result);
        }
        result
    }

    /// Brings the metrics of what the entry believes up to date.
    pub(super) fn show_beliefs(&self) {
        let Some(metrics) = &self.metrics else { return };
        let snapshot = self.snapshot.load();
        let snapshot = snapshot.as_ref();
        metrics.update(FleetStatus {
            generation: snapshot.map_or(0, |snapshot| snapshot.generation.0),
            view_age: self.freshness.age(),
            known_entries: self.known_entries(),
            upstreams: snapshot.map_or(0, |snapshot| snapshot.upstreams.len()),
        });
    }

    pub(super) fn view(&self) -> MutexGuard<'_, DeploymentView<D>> {
        lock(&self.view)
    }

    pub(super) fn table(&self) -> MutexGuard<'_, PeerTable> {
        lock(&self.table)
    }

    /// Puts a change of the view in force here.
    pub(super) fn put_in_force(&self) {
        let previous = self.snapshot.load_full();
        let compiled = self.view().compile(previous.as_deref());
        let Some(snapshot) = compiled else { return };
        let is_first = previous.is_none();
        log::debug!(
            target: "config",
            "in force generation={} upstreams={}",
            snapshot.generation,
            snapshot.upstreams.len(),
        );
        self.snapshot.store(Some(Arc::new(snapshot)));
        if is_first {
            log::info!(target: "node", "ready, first configuration in force");
            self.set_state(EntryState::Ready);
        }
    }

    /// Puts a change that was read from the store in force and tells the other entries.
    pub(super) fn publish(&self, change: ViewChange) {
        if !change.is_empty() {
            self.view().log_change(&change, "store");
            self.put_in_force();
        }
        let is_known = lock(&self.gap).is_some_and(|gap| gap.is_covering(&change));
        if !is_known && (!change.is_empty() || change.revision > change.base) {
            lock(&self.outbox).changes.push(change);
            self.outgoing.notify_one();
        }
    }

    /// Takes in a change and a confirmation from another entry.
    pub fn apply_peer_state(
        &self,
        change: Option<ViewChange>,
        confirmation: Option<ViewConfirmation>,
    ) {
        if let Some(change) = change {
            let own = self.view().apply_change(change, Instant::now());
            if !own.is_empty() {
                self.view().log_change(&own, "peer");
                self.put_in_force();
            }
        }
        let Some(confirmation) = confirmation else { return };
        self.hear_steadiness(confirmation);
        let (own, other) = (self.view().watermark(), confirmation.mark);
        if is_behind(own, other) {
            log::debug!(target: "peer", "view behind own={own:?} peer={other:?}");
            let now = Instant::now();
            lock(&self.gap).get_or_insert(ViewGap { noticed: now, mark: other }).mark = other;
            self.missed.notify_one();
        } else if own.matches(&other) && other.is_config_current() {
            self.view().confirm_config(other.config_known);
            self.confirm(Duration::from_millis(confirmation.age_ms));
        }
    }

    /// Records that the view was the store's `age` ago.
    pub(super) fn confirm(&self, age: Duration) {
        let is_outage = self.freshness.age().is_none_or(|age| age >= self.times.min_outage);
        self.freshness.confirm(age);
        let mut since = lock(&self.steady_since);
        if is_outage || since.is_none() {
            *since = Instant::now().checked_sub(age);
        }
    }

    /// Takes in for how long the store has been there for another entry.
    fn hear_steadiness(&self, confirmation: ViewConfirmation) {
        let now = Instant::now();
        if Duration::from_millis(confirmation.age_ms) >= self.times.min_outage {
            return;
        }
        let Some(since) = now.checked_sub(Duration::from_millis(confirmation.steady_ms)) else {
            return;
        };
        let mut known = lock(&self.peer_steady);
        // The word of the entry that has had the store for longest counts while it is recent.
        if known.is_none_or(|known| since <= known.since || now - known.heard >= STEADINESS_LIFE) {
            *known = Some(PeerSteadiness { since, heard: now });
        }
        drop(known);
        if self.view().refute_outage(since, now) {
            log::info!(
                target: "store",
                "was there for others, nothing is kept steady_ms={}",
                confirmation.steady_ms,
            );
            self.missed.notify_one();
        }
    }

    /// Whether another entry has lately had the store since `began` or longer.
    pub(super) fn was_steady_for_others(&self, began: Instant) -> bool {
        let known = *lock(&self.peer_steady);
        let recent = known.filter(|known| known.heard.elapsed() < STEADINESS_LIFE);
        recent.is_some_and(|known| known.since <= began)
    }

    /// Since when this entry is known to have missed something.
    pub(super) fn gap_since(&self) -> Option<(Instant, GapKind)> {
        let own = self.view().watermark();
        let mut gap = lock(&self.gap);
        if gap.is_some_and(|gap| !is_behind(own, gap.mark)) {
            *gap = None;
        }
        let gap = (*gap)?;
        let is_later =
            gap.mark.revision > own.revision || gap.mark.config_revision > own.config_revision;
        let kind = if is_later { GapKind::Later } else { GapKind::Different };
        Some((gap.noticed, kind))
    }

    pub(super) fn close_gap(&self) {
        *lock(&self.gap) = None;
    }

    pub(super) fn tell_load(&self, measured: Instant, load: MeasuredLoad) {
        lock(&self.outbox).loads.push((measured, load));
    }

    /// Takes the changes that the other entries have not been told yet.
    pub fn take_changes(&self) -> Vec<ViewChange> {
        std::mem::take(&mut lock(&self.outbox).changes)
    }

    pub(super) fn take_outbox(&self) -> Outbox {
        std::mem::take(&mut lock(&self.outbox))
    }

    /// What this entry can confirm to others.
    pub fn confirmation(&self) -> Option<ViewConfirmation> {
        let age = self.freshness.age()?;
        let steady = lock(&self.steady_since).map_or(Duration::ZERO, |since| since.elapsed());
        Some(ViewConfirmation {
            mark: self.view().watermark(),
            age_ms: age.as_millis() as u64,
            steady_ms: steady.as_millis() as u64,
        })
    }

    /// Sets what this entry is doing, and tells the others at once.
    pub fn set_state(&self, state: EntryState) {
        self.table().set_own_state(state);
        self.refresh_membership();
        self.speak_soon();
    }

    /// Lets the others hear from this entry at once.
    pub(super) fn speak_soon(&self) {
        lock(&self.outbox).is_urgent = true;
        self.outgoing.notify_one();
    }

    /// Records that the entry is about to learn who else there is. Until it knows, it would take
    /// every duty of its failure domain for its own.
    pub(super) fn begin_enrolment(&self, now: Instant) {
        *lock(&self.enrolling) = Some(now + ENROLMENT_PATIENCE);
    }

    pub(super) fn end_enrolment(&self) {
        *lock(&self.enrolling) = None;
        self.missed.notify_one();
    }

    /// When the entry takes up the duties of its failure domain, if it does not have them yet.
    pub(super) fn enrolment_end(&self, now: Instant) -> Option<Instant> {
        lock(&self.enrolling).filter(|end| *end > now)
    }

    /// Entries of all failure domains that are known, this one included.
    pub fn known_entries(&self) -> u32 {
        self.table().entry_count()
    }

    /// Publishes the membership as of now.
    pub(super) fn refresh_membership(&self) {
        let table = self.table();
        let view = table.membership(Instant::now());
        self.limits.set_entries(table.entry_count());
        drop(table);
        if **self.membership.load() != view {
            self.membership.store(Arc::new(view));
        }
    }
}

/// Whether an entry with the view `own` has missed what one with `other` knows.
fn is_behind(own: ViewWatermark, other: ViewWatermark) -> bool {
    let is_different = other.revision == own.revision && other.digest != own.digest;
    other.revision > own.revision || is_different || other.config_revision > own.config_revision
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
