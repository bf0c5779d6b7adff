//! What the services of one entry share.

mod forwarding;
mod repeat_permission;
mod status;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use arc_swap::ArcSwapOption;
use tokio::sync::Notify;
use tokio::time::Instant;

use crate::core::{ConfigSnapshot, FailureDomain, SharedSnapshot};
use crate::fleet::codec::DeploymentCodec;
use crate::fleet::config_parts::{ConfigPart, PartAssembly};
use crate::fleet::fleet_metrics::FleetMetrics;
use crate::fleet::peer_message::{
    ColdUpstream, LearnedLimit, MeasuredLoad, MessageKey, MessageKeys, PeerMessage,
    ViewConfirmation,
};
use crate::fleet::peer_table::{MessageScope, PeerTable};
use crate::fleet::read_schedule::ReadSchedule;
pub(super) use crate::fleet::state::status::ConfigSource;
use crate::fleet::transit_delay::TransitDelays;
use crate::fleet::view::{DeploymentView, ViewChange};
use crate::fleet::view_gap::{GapKind, ViewGap, is_behind};
use crate::fleet::warm_ups::WarmUpPlan;
use crate::limits::tenant_quota::QuotaTable;
use crate::limits::{LimitTable, QuarantineTable};
use crate::membership::{ConfigFreshness, EntryState, SharedMembership};
use crate::platform::StorePosition;
use crate::request::ForwardTable;

/// Time for which a peer's report of uninterrupted store access is used; several messages.
const PEER_STEADINESS_TTL: Duration = Duration::from_secs(2);

/// Time for which a starting entry does not act for its failure domain while it is not listed among
/// the others: a few rounds of the enrolment.
const ENROLMENT_TIMEOUT: Duration = Duration::from_secs(4);

/// Time from the message that announces an enrolled entry until it acts for its failure domain, in
/// which it hears from entries that were enrolled at the same time.
const ANNOUNCEMENT_TIME: Duration = Duration::from_millis(300);

/// Minimum time between two messages with a configuration that the store has lost.
const CONFIG_SHARE_INTERVAL: Duration = Duration::from_secs(1);

/// Loads and changes to be sent to the other entries.
#[derive(Debug, Default)]
pub(super) struct Outbox {
    pub(super) loads: Vec<(Instant, MeasuredLoad)>,
    pub(super) changes: Vec<ViewChange>,
    pub(super) limits: Vec<LearnedLimit>,
    pub(super) cold: Vec<ColdUpstream>,
    /// Whether a message is sent at once, not when the next one is due.
    pub(super) is_urgent: bool,
}

/// Quotas of tenants, shared with the data plane.
#[derive(Debug)]
pub(super) struct FleetQuota {
    pub(super) table: Arc<QuotaTable>,
    /// Failure domains of the deployment; empty if the settings name none.
    pub(super) domains: BTreeSet<FailureDomain>,
    /// When this process started.
    pub(super) started_at: Instant,
}

/// A peer's report of uninterrupted store access.
#[derive(Clone, Copy, Debug)]
struct PeerSteadiness {
    since: Instant,
    received_at: Instant,
}

/// State that the services of one entry share.
#[derive(Debug)]
pub struct FleetState<D> {
    view: Mutex<DeploymentView<D>>,
    table: Mutex<PeerTable>,
    gap: Mutex<Option<ViewGap>>,
    outbox: Mutex<Outbox>,
    /// Start of the current period of confirmations without an outage.
    steady_since: Mutex<Option<Instant>>,
    /// The longest such period that a peer has reported recently.
    peer_steadiness: Mutex<Option<PeerSteadiness>>,
    /// Delays of the messages of other entries.
    transit_delays: Mutex<TransitDelays>,
    /// When this process started.
    created_at: Instant,
    /// Parts of a configuration that have been received.
    config_parts: Mutex<PartAssembly>,
    /// Position that the store last reported to this entry.
    store_position: Mutex<StorePosition>,
    /// When a configuration that the store has lost was last sent to the other entries.
    config_shared_at: Mutex<Option<Instant>>,
    metrics: Option<FleetMetrics>,
    pub(super) read_schedule: ReadSchedule,
    /// From when this entry acts for its failure domain; `None` if it does not enrol.
    acting_from: Mutex<Option<Instant>>,
    /// Whether the enrolment has ended.
    is_listed: AtomicBool,
    /// Whether the rosters were read once more, some seconds after the enrolment.
    has_read_rosters: AtomicBool,
    /// Wakes the peer service when the outbox has something to send.
    pub(super) peer_wakeup: Notify,
    /// Wakes the store service when there may be something to read.
    pub(super) store_wakeup: Notify,
    /// Tells the enrolment that the store was restored.
    pub(super) restore_notice: Notify,
    /// Tells the enrolment that entries of other failure domains may be unknown here.
    roster_notice: Notify,
    /// Keys of the deployment, once one has been read from the store.
    keys: ArcSwapOption<MessageKeys>,
    /// Active configuration, read by the data plane.
    pub snapshot: SharedSnapshot,
    /// Live entries, read by the directory.
    pub membership: SharedMembership,
    /// Time of the last confirmation that the view matches the store.
    pub freshness: Arc<ConfigFreshness>,
    limits: Arc<LimitTable>,
    /// Shares of cold upstreams.
    warm_up_plan: Mutex<WarmUpPlan>,
    /// Requests that are refused because they crash upstreams, shared with the data plane.
    pub(super) quarantine: Arc<QuarantineTable>,
    /// Peers that requests are forwarded to, shared with the data plane.
    forwarding: Option<Arc<ForwardTable>>,
    /// `None` if quotas are not enforced.
    pub(super) quota: Option<FleetQuota>,
}

impl<D: DeploymentCodec> FleetState<D> {
    /// Creates the state of an entry that has read nothing yet.
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
            peer_steadiness: Mutex::default(),
            transit_delays: Mutex::default(),
            created_at: Instant::now(),
            config_parts: Mutex::default(),
            store_position: Mutex::default(),
            config_shared_at: Mutex::default(),
            metrics: None,
            read_schedule: ReadSchedule::default(),
            acting_from: Mutex::default(),
            is_listed: AtomicBool::default(),
            has_read_rosters: AtomicBool::default(),
            peer_wakeup: Notify::new(),
            store_wakeup: Notify::new(),
            restore_notice: Notify::new(),
            roster_notice: Notify::new(),
            keys: ArcSwapOption::default(),
            snapshot,
            membership,
            freshness,
            limits,
            warm_up_plan: Mutex::default(),
            quarantine: Arc::default(),
            forwarding: None,
            quota: None,
        }
    }

    /// Shares the records of the data plane's `quarantine` with the other entries.
    #[must_use]
    pub fn with_quarantine(self, quarantine: Arc<QuarantineTable>) -> Self {
        Self { quarantine, ..self }
    }

    /// Keeps the data plane's `forwarding` up to date with the other entries.
    #[must_use]
    pub fn with_forwarding(self, forwarding: Arc<ForwardTable>) -> Self {
        Self { forwarding: Some(forwarding), ..self }
    }

    /// Exchanges permits of the data plane's quotas with the other entries. `domains` are the failure
    /// domains of the deployment; if empty, those of the known entries.
    #[must_use]
    pub fn with_quota(self, table: Arc<QuotaTable>, domains: BTreeSet<FailureDomain>) -> Self {
        let quota = FleetQuota { table, domains, started_at: Instant::now() };
        Self { quota: Some(quota), ..self }
    }

    /// Replaces the default read schedule.
    #[must_use]
    pub fn with_read_schedule(self, read_schedule: ReadSchedule) -> Self {
        Self { read_schedule, ..self }
    }

    /// Sets the metrics to be updated.
    #[must_use]
    pub fn with_metrics(self, metrics: FleetMetrics) -> Self {
        Self { metrics: Some(metrics), ..self }
    }

    pub(super) fn view(&self) -> MutexGuard<'_, DeploymentView<D>> {
        lock(&self.view)
    }

    pub(super) fn table(&self) -> MutexGuard<'_, PeerTable> {
        lock(&self.table)
    }

    /// Compiles the view and makes it the active configuration. The first one makes the entry
    /// ready.
    pub(super) fn activate_view(&self) {
        let previous = self.snapshot.load_full();
        let compiled = self.view().compile(previous.as_deref());
        let Some(snapshot) = compiled else { return };
        let is_first = previous.is_none();
        // Before a request can see an upstream, so that a cold one gets none beyond the shares.
        self.set_warm_up_shares(&snapshot, Instant::now());
        log::debug!(
            target: "config",
            "activated generation={} upstreams={}",
            snapshot.generation,
            snapshot.upstreams.len(),
        );
        self.snapshot.store(Some(Arc::new(snapshot)));
        if is_first {
            log::info!(target: "node", "ready, first configuration active");
            self.set_state(EntryState::Ready);
        }
    }

    /// Drops the rules of replaced configurations whose time is over.
    pub(super) fn expire_replaced_rules(&self, now: Instant) {
        let Some(replaced_rules) = self.view().expire_replaced(now) else { return };
        let Some(active) = self.snapshot.load_full() else { return };
        let snapshot = ConfigSnapshot { replaced_rules, ..(*active).clone() };
        self.snapshot.store(Some(Arc::new(snapshot)));
    }

    /// Activates a change that was read from the store and queues it for the other entries.
    pub(super) fn publish(&self, change: ViewChange) {
        if !change.is_empty() {
            self.view().log_change(&change, "store");
            self.log_config(&change, ConfigSource::Read);
            self.activate_view();
        }
        let is_known = lock(&self.gap).is_some_and(|gap| gap.covers(&change));
        if !is_known && (!change.is_empty() || change.revision > change.base) {
            lock(&self.outbox).changes.push(change);
            self.peer_wakeup.notify_one();
        }
    }

    /// Applies a change and a confirmation from another entry. If its view is ahead, the store
    /// service is woken to read what is missing.
    pub fn apply_peer_state(
        &self,
        change: Option<ViewChange>,
        confirmation: Option<ViewConfirmation>,
    ) {
        if let Some(change) = change {
            let own = self.view().apply_change(change, Instant::now());
            if !own.is_empty() {
                self.view().log_change(&own, "peer");
                self.log_config(&own, ConfigSource::Peer);
                self.activate_view();
            }
        }
        let Some(confirmation) = confirmation else { return };
        self.record_peer_steadiness(confirmation);
        let other = confirmation.mark;
        let own = {
            let mut view = self.view();
            view.fast_forward(&other);
            view.watermark()
        };
        if other.era == own.era && other.generation < own.generation {
            self.share_kept_config();
        }
        if is_behind(own, other) {
            log::debug!(target: "peer", "view behind own={own:?} peer={other:?}");
            let now = Instant::now();
            lock(&self.gap)
                .get_or_insert(ViewGap { noticed_at: now, watermark: other })
                .watermark = other;
            self.store_wakeup.notify_one();
        } else if own.matches(&other) && other.is_config_current() {
            self.view().confirm_config(other.config_known);
            self.confirm(Duration::from_millis(confirmation.age_ms));
        }
    }

    /// Adds a part of a configuration from a peer, and activates the configuration once it is complete.
    pub fn apply_config_part(&self, part: ConfigPart) {
        let assembled = lock(&self.config_parts).add(part, Instant::now());
        let Some(object) = assembled else { return };
        let change = self.view().apply_config_of_any_era(object);
        if change.is_empty() {
            return;
        }
        self.log_config(&change, ConfigSource::PeerParts);
        self.activate_view();
        // The configuration may have been all that was missing.
        let gap = *lock(&self.gap);
        if let Some(gap) = gap {
            self.view().fast_forward(&gap.watermark);
        }
        self.store_wakeup.notify_one();
    }

    /// Whether parts of a configuration may still arrive.
    pub(super) fn awaits_config_parts(&self) -> bool {
        lock(&self.config_parts).is_pending(Instant::now())
    }

    /// Sends the others the active configuration if the store has lost it. An entry that started
    /// since then has only read the older one that the store has now.
    fn share_kept_config(&self) {
        let Some(change) = self.view().kept_config() else { return };
        let now = Instant::now();
        let mut shared_at = lock(&self.config_shared_at);
        if shared_at.is_some_and(|at| now - at < CONFIG_SHARE_INTERVAL) {
            return;
        }
        *shared_at = Some(now);
        log::info!(target: "config", "sending the configuration that the store has lost to peers");
        lock(&self.outbox).changes.push(change);
        self.peer_wakeup.notify_one();
    }

    /// Records that the view matched the store `age` ago.
    pub(super) fn confirm(&self, age: Duration) {
        let is_outage = self.freshness.age().is_none_or(|age| age >= self.read_schedule.min_outage);
        self.freshness.record_contact(age);
        let mut since = lock(&self.steady_since);
        if is_outage || since.is_none() {
            *since = Instant::now().checked_sub(age);
        }
    }

    /// Records for how long a peer has had uninterrupted store access.
    fn record_peer_steadiness(&self, confirmation: ViewConfirmation) {
        let now = Instant::now();
        if Duration::from_millis(confirmation.age_ms) >= self.read_schedule.min_outage {
            return;
        }
        let Some(since) = now.checked_sub(Duration::from_millis(confirmation.steady_ms)) else {
            return;
        };
        let mut known = lock(&self.peer_steadiness);
        // A longer period replaces the known one; a shorter one only if that has expired.
        if known.is_none_or(|known| {
            since <= known.since || now - known.received_at >= PEER_STEADINESS_TTL
        }) {
            *known = Some(PeerSteadiness { since, received_at: now });
        }
        drop(known);
        if self.view().refute_outage(since, now) {
            log::info!(
                target: "store",
                "peers reached the store before the end of the outage, removing held upstreams steady_ms={}",
                confirmation.steady_ms,
            );
            self.store_wakeup.notify_one();
        }
    }

    /// Keys that sign and verify messages; `None` before the deployment's key is known.
    pub fn message_keys(&self) -> Option<Arc<MessageKeys>> {
        self.keys.load_full()
    }

    /// Makes `key` the one that signs messages.
    pub(super) fn set_message_key(&self, key: MessageKey) {
        let known = self.keys.load_full();
        let keys = MessageKeys::new(key, known.as_deref());
        if let (Some(forwarding), Some(keys)) = (&self.forwarding, keys.forward_keys()) {
            forwarding.set_keys(keys);
        }
        self.keys.store(Some(Arc::new(keys)));
    }

    /// Start of the longest uninterrupted store access that a peer has recently reported.
    pub(super) fn peer_steady_since(&self) -> Option<Instant> {
        let known = *lock(&self.peer_steadiness);
        let recent = known.filter(|known| known.received_at.elapsed() < PEER_STEADINESS_TTL);
        recent.map(|known| known.since)
    }

    /// When this entry noticed that it has missed changes, and how the views differ. `None` if it
    /// has caught up.
    pub(super) fn gap_since(&self) -> Option<(Instant, GapKind)> {
        let own = self.view().watermark();
        let mut gap = lock(&self.gap);
        if gap.is_some_and(|gap| !is_behind(own, gap.watermark)) {
            *gap = None;
        }
        let gap = (*gap)?;
        Some((gap.noticed_at, gap.kind(own)))
    }

    /// Takes over up to which revision the peer that revealed a gap knows the configuration, if that
    /// is the configuration of this view.
    pub(super) fn confirm_config_by_gap(&self) {
        let Some(gap) = *lock(&self.gap) else { return };
        let mut view = self.view();
        let own = view.watermark();
        if gap.watermark.era == own.era && own.has_same_config(&gap.watermark) {
            view.confirm_config(gap.watermark.config_known);
        }
    }

    /// Whether the peer that revealed a gap has a newer configuration, whatever this view is believed to
    /// cover.
    pub(super) fn knows_newer_config(&self) -> bool {
        let Some(gap) = *lock(&self.gap) else { return false };
        let own = self.view().watermark();
        gap.watermark.era == own.era && gap.watermark.config_revision > own.config_revision
    }

    pub(super) fn clear_gap(&self) {
        *lock(&self.gap) = None;
    }

    pub(super) fn queue_load(&self, measured: Instant, load: MeasuredLoad) {
        lock(&self.outbox).loads.push((measured, load));
    }

    /// Takes the changes that have not been sent to the other entries yet.
    pub fn take_changes(&self) -> Vec<ViewChange> {
        std::mem::take(&mut lock(&self.outbox).changes)
    }

    /// Queues limits for the other entries, to be sent at once.
    pub(super) fn queue_limits(&self, limits: Vec<LearnedLimit>) {
        let mut outbox = lock(&self.outbox);
        outbox.limits.extend(limits);
        outbox.is_urgent = true;
    }

    /// Queues warm-ups for the other entries, to be sent at once.
    pub(super) fn queue_warm_ups(&self, cold: Vec<ColdUpstream>) {
        let mut outbox = lock(&self.outbox);
        outbox.cold.extend(cold);
        outbox.is_urgent = true;
    }

    pub(super) fn warm_up_plan(&self) -> MutexGuard<'_, WarmUpPlan> {
        lock(&self.warm_up_plan)
    }

    pub(super) fn take_outbox(&self) -> Outbox {
        std::mem::take(&mut lock(&self.outbox))
    }

    /// The state of this view for other entries; `None` before its first confirmation.
    pub fn confirmation(&self) -> Option<ViewConfirmation> {
        let age = self.freshness.age()?;
        let steady = lock(&self.steady_since).map_or(Duration::ZERO, |since| since.elapsed());
        Some(ViewConfirmation {
            mark: self.view().watermark(),
            age_ms: age.as_millis() as u64,
            steady_ms: steady.as_millis() as u64,
            config_age_ms: self.freshness.read_age().map(|age| age.as_millis() as u64),
            sent_ms: Some(self.created_at.elapsed().as_millis() as u64),
        })
    }

    /// Sets the lifecycle state of this entry and sends it to the others at once.
    pub fn set_state(&self, state: EntryState) {
        self.table().set_own_state(state);
        self.refresh_membership();
        self.request_message();
    }

    /// Wakes the peer service to send a message to all entries of the domain at once.
    pub(super) fn request_message(&self) {
        lock(&self.outbox).is_urgent = true;
        self.peer_wakeup.notify_one();
    }

    /// Starts the enrolment. Until the entry is listed and has heard from the others, it would
    /// consider itself the leader of its failure domain and the only prober.
    pub(super) fn begin_enrolment(&self, now: Instant) {
        *lock(&self.acting_from) = Some(now + ENROLMENT_TIMEOUT);
    }

    pub(super) fn end_enrolment(&self) {
        self.is_listed.store(true, Ordering::Relaxed);
        *lock(&self.acting_from) = Some(Instant::now() + ANNOUNCEMENT_TIME);
        self.request_message();
        self.store_wakeup.notify_one();
    }

    /// Time from which this entry acts for its failure domain; `None` if it already does.
    pub(super) fn enrolment_deadline(&self, now: Instant) -> Option<Instant> {
        self.acting_from().filter(|from| *from > now)
    }

    /// Since when, or from when on, this entry acts for its failure domain; `None` if it does not
    /// enrol.
    pub(super) fn acting_from(&self) -> Option<Instant> {
        *lock(&self.acting_from)
    }

    /// Whether this entry is registered and acts for its failure domain. One that does not enrol is.
    pub(super) fn is_registered(&self, now: Instant) -> bool {
        let Some(from) = self.acting_from() else { return true };
        self.is_listed.load(Ordering::Relaxed) && from <= now
    }

    pub(super) fn set_rosters_read(&self) {
        self.has_read_rosters.store(true, Ordering::Relaxed);
    }

    /// Has the rosters read again, because entries of other failure domains are needed, or one has been
    /// heard of that is unknown here. The enrolment bounds how often that is done.
    pub fn request_rosters(&self) {
        self.roster_notice.notify_one();
    }

    /// Waits until the rosters are to be read again.
    pub async fn rosters_requested(&self) {
        self.roster_notice.notified().await;
    }

    /// Whether this entry knows also those that started at the same time in other failure domains.
    /// One that does not enrol knows all it will.
    pub(super) fn has_read_rosters(&self) -> bool {
        self.has_read_rosters.load(Ordering::Relaxed) || self.acting_from().is_none()
    }

    /// Whether the enrolment has ended, so that the roster lists this entry.
    pub(super) fn is_listed(&self) -> bool {
        self.is_listed.load(Ordering::Relaxed)
    }

    /// Whether this entry may be considered the leader of its failure domain.
    pub fn is_enrolled(&self) -> bool {
        self.is_listed.load(Ordering::Relaxed) || self.enrolment_deadline(Instant::now()).is_none()
    }

    /// Addresses of the entries that a message is sent to.
    pub fn recipients(&self, scope: MessageScope) -> Vec<SocketAddr> {
        self.table().recipients(scope, Instant::now())
    }

    /// Applies what a message says about its sender and the other entries. Returns false if it is
    /// this entry's own, or not newer than the last one of the same sender.
    pub fn apply_message(&self, message: &PeerMessage, from: SocketAddr) -> bool {
        self.table().apply_message(message, from, Instant::now())
    }

    /// Stagger of this entry's store calls among those of its failure domain.
    pub(super) fn rank_delay(&self, now: Instant) -> Duration {
        let rank = self.table().rank(now);
        self.read_schedule.delay_of_rank(rank)
    }

    /// Number of known entries in all failure domains, this one included.
    pub fn known_entries(&self) -> u32 {
        self.table().entry_count()
    }

    /// Publishes the current membership, and the number of entries that share the limits.
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

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
