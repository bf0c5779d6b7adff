//! Makes an entry known to the others, by the roster of its failure domain, and reads the key of the
//! deployment.
//!
//! An entry reads the deployment's key and the rosters. If its roster does not list it, it sends the
//! listed entries a message, and the writer of the roster adds it. Relaxed reads, which may return
//! stale data, are enough. The entries of a new deployment find neither key nor roster: a few of
//! them create what is missing, the others wait for it. After a restore of the store, all write
//! again what it has lost.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout};

use crate::fleet::codec::DeploymentCodec;
use crate::fleet::fleet_metrics::StoreCall;
use crate::fleet::peer_message::MessageKey;
use crate::fleet::peer_table::{EntryRegistration, REGISTRATION_SHAPE};
use crate::fleet::roster::{DomainRoster, ROSTER_KIND, ROSTER_SHAPE, may_create};
use crate::fleet::state::FleetState;
use crate::fleet::store_follower::MAX_BACKOFF;
use crate::platform::{
    ObjectDraft, ObjectEnvelope, PlatformStore, Precondition, SpecShape, StoreError,
};
use crate::util::SeededRandom;

/// Time from the message to the listed entries to the next look at the roster: time for the write,
/// and for relaxed reads to return it.
const INTRODUCTION_INTERVAL: Duration = Duration::from_millis(1500);
/// Messages to the listed entries after which an entry writes itself into the roster: its writer
/// may have stopped.
const MAX_INTRODUCTIONS: u32 = 3;
/// Time between two looks of the roster's writer for live entries that are not listed. Entries that
/// start together are added together.
const WRITER_INTERVAL: Duration = Duration::from_millis(500);
/// Time from the end of the enrolment to the last read of the rosters; a relaxed read is stale by
/// at most a few seconds.
const FINAL_LIST_DELAY: Duration = Duration::from_secs(5);

/// Minimum time between two reads of the rosters that are requested. All entries of a failure domain
/// without a path may request them at the same time.
const ROSTER_READ_INTERVAL: Duration = Duration::from_secs(5);

/// Object kind of the registrations of former versions, one object an entry.
const FORMER_ENTRY_KIND: &str = "heatherfall-entries";
/// Object kind of the deployment's key.
const KEY_KIND: &str = "heatherfall-keys";
/// Name of the key that signs messages between entries.
const KEY_NAME: &str = "peers";
/// Length of a new key in words of 64 random bits.
const KEY_WORDS: usize = 4;

/// The part that entries use of the spec of an object of this kind: all of it unless they list the kind.
pub fn spec_shape(kind: &str) -> SpecShape {
    match kind {
        ROSTER_KIND => ROSTER_SHAPE,
        FORMER_ENTRY_KIND => REGISTRATION_SHAPE,
        _ => SpecShape::Whole,
    }
}

/// Consistency of a read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum ReadKind {
    /// It may return stale data.
    Relaxed,
    /// It returns the latest data: a stale read may show what a restore has lost.
    Latest,
}

/// A step that is repeated until it succeeds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EnrolmentStep {
    /// At the start, and after the store was restored.
    Enrol(ReadKind),
    /// Some seconds later, for entries that started at the same time.
    FinalList,
}

/// What happens after the enrolment.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum EnrolmentNotice {
    StoreRestored,
    RostersRequested,
}

/// Enrols one entry.
pub(super) struct EntryEnrolment<'a, S, D> {
    pub(super) store: &'a S,
    pub(super) state: &'a FleetState<D>,
    pub(super) vm: String,
    pub(super) registration: &'a EntryRegistration,
    pub(super) key_candidate: String,
    /// Last known roster of the local failure domain.
    pub(super) roster: DomainRoster,
}

impl<S: PlatformStore, D: DeploymentCodec> EntryEnrolment<'_, S, D> {
    pub(super) async fn run(mut self) {
        self.repeat_until_done(EnrolmentStep::Enrol(ReadKind::Relaxed)).await;
        self.state.end_enrolment();
        let mut final_list_at = Some(Instant::now() + FINAL_LIST_DELAY);
        let mut is_roster_requested = false;
        let mut next_roster_read = Instant::now();
        loop {
            let notice = timeout(WRITER_INTERVAL, self.notice()).await.ok();
            is_roster_requested |= notice == Some(EnrolmentNotice::RostersRequested);
            if notice == Some(EnrolmentNotice::StoreRestored) {
                sleep(self.state.rank_delay(Instant::now())).await;
                self.repeat_until_done(EnrolmentStep::Enrol(ReadKind::Latest)).await;
                log::info!(target: "peer", "enrolled in the restored store");
                continue;
            }
            if final_list_at.is_some_and(|at| at <= Instant::now()) {
                final_list_at = None;
                self.repeat_until_done(EnrolmentStep::FinalList).await;
                self.state.set_rosters_read();
            }
            // Until then, entries that start together with this one are not listed yet.
            let may_read = final_list_at.is_none() && next_roster_read <= Instant::now();
            if is_roster_requested && may_read {
                is_roster_requested = false;
                next_roster_read = Instant::now() + ROSTER_READ_INTERVAL;
                if let Err(error) = self.list_rosters(ReadKind::Relaxed).await {
                    log::warn!(target: "peer", "cannot read the rosters again reason={error}");
                }
            }
            if let Err(error) = self.add_live_entries().await {
                log::warn!(target: "peer", "cannot write the roster, retrying reason={error}");
            }
        }
    }

    async fn notice(&self) -> EnrolmentNotice {
        tokio::select! {
            biased;
            () = self.state.restore_notice.notified() => EnrolmentNotice::StoreRestored,
            () = self.state.rosters_requested() => EnrolmentNotice::RostersRequested,
        }
    }

    /// Repeats a step until its store calls have succeeded.
    async fn repeat_until_done(&mut self, step: EnrolmentStep) {
        while let Err(error) = self.try_step(step).await {
            log::warn!(target: "peer", "{step:?} failed, retrying reason={error}");
            sleep(MAX_BACKOFF).await;
        }
    }

    async fn try_step(&mut self, step: EnrolmentStep) -> Result<(), StoreError> {
        match step {
            EnrolmentStep::Enrol(kind) => self.enrol(kind).await,
            EnrolmentStep::FinalList => self.list_rosters(ReadKind::Relaxed).await,
        }
    }

    /// Repeats rounds until the key is known and the roster lists this entry.
    async fn enrol(&mut self, kind: ReadKind) -> Result<(), StoreError> {
        let mut round = 0;
        let mut introductions = 0;
        let mut is_key_known = false;
        loop {
            let is_creator = self.is_creator(kind, round);
            round += 1;
            is_key_known = is_key_known || self.read_key(kind, is_creator).await?;
            if !is_key_known {
                sleep(self.state.read_schedule.enrolment_round).await;
                continue;
            }
            self.list_rosters(kind).await?;
            if self.is_listed() {
                return Ok(());
            }
            if self.roster.version.is_none() {
                if is_creator {
                    self.create_roster().await?;
                } else {
                    sleep(self.state.read_schedule.enrolment_round).await;
                }
                continue;
            }
            if introductions == MAX_INTRODUCTIONS {
                self.write_roster(self.own_record()).await?;
                continue;
            }
            introductions += 1;
            self.state.request_message();
            sleep(INTRODUCTION_INTERVAL).await;
        }
    }

    /// Whether this entry creates what the store lacks: the leader after a restore, and otherwise
    /// by lot.
    fn is_creator(&self, kind: ReadKind, round: u32) -> bool {
        let is_leader = kind == ReadKind::Latest && self.state.table().rank(Instant::now()) == 0;
        is_leader || may_create(&self.vm, round)
    }

    fn own_record(&self) -> BTreeMap<String, EntryRegistration> {
        BTreeMap::from([(self.vm.clone(), self.registration.clone())])
    }

    fn is_listed(&self) -> bool {
        self.roster.lists(&self.vm, self.registration)
    }

    /// Reads the deployment's key; if there is none, a creator creates it: the one that this entry
    /// knows, or else its candidate. If another entry creates one first, that one is used. Returns
    /// whether the key is known.
    async fn read_key(&self, kind: ReadKind, is_creator: bool) -> Result<bool, StoreError> {
        let found = match kind {
            ReadKind::Relaxed => {
                let read = self.store.get_relaxed(KEY_KIND, KEY_NAME);
                self.state.call_store(StoreCall::Relaxed, read).await
            }
            ReadKind::Latest => self.get_key().await,
        };
        match found {
            Ok(object) => self.store_key(&object)?,
            Err(StoreError::NotFound) if is_creator => self.store_key(&self.create_key().await?)?,
            Err(StoreError::NotFound) => return Ok(false),
            Err(error) => return Err(error),
        }
        Ok(true)
    }

    async fn create_key(&self) -> Result<ObjectEnvelope, StoreError> {
        let known = self.state.message_keys();
        let text = known.as_ref().map_or(&*self.key_candidate, |keys| keys.current().text());
        let key = ObjectDraft {
            kind: KEY_KIND.to_owned(),
            name: KEY_NAME.to_owned(),
            spec: text.into(),
            ..ObjectDraft::default()
        };
        match self.state.call_store(StoreCall::Put, self.store.put(key, Precondition::Absent)).await
        {
            Err(StoreError::Conflict(Some(existing))) => Ok(*existing),
            Err(StoreError::Conflict(None)) => self.get_key().await,
            written => written,
        }
    }

    async fn get_key(&self) -> Result<ObjectEnvelope, StoreError> {
        self.state.call_store(StoreCall::Get, self.store.get(KEY_KIND, KEY_NAME)).await
    }

    fn store_key(&self, object: &ObjectEnvelope) -> Result<(), StoreError> {
        let Some(key) = MessageKey::new(object.spec.as_str().unwrap_or_default()) else {
            return Err(StoreError::Protocol("the deployment's key is empty".to_owned()));
        };
        self.state.set_message_key(key);
        Ok(())
    }

    /// Reads the rosters of all failure domains into the peer table.
    async fn list_rosters(&mut self, kind: ReadKind) -> Result<(), StoreError> {
        let list = match kind {
            ReadKind::Relaxed => {
                let list = self.store.list_relaxed(ROSTER_KIND, "");
                self.state.list_from_store(StoreCall::Relaxed, self.store, list).await?
            }
            ReadKind::Latest => {
                let list = self.store.list(ROSTER_KIND, "");
                self.state.list_from_store(StoreCall::List, self.store, list).await?
            }
        };
        if kind == ReadKind::Latest {
            self.roster = DomainRoster::default();
        }
        for object in &list.items {
            let roster = DomainRoster::decode(object);
            self.register(&roster.entries);
            let is_newer = roster.version >= self.roster.version;
            if object.name == self.registration.failure_domain && is_newer {
                self.roster = roster;
            }
        }
        self.state.refresh_membership();
        Ok(())
    }

    fn register(&self, entries: &BTreeMap<String, EntryRegistration>) {
        let mut table = self.state.table();
        for (vm, registration) in entries {
            table.register(vm, registration);
        }
    }

    /// Creates the roster with the live entries, and with those that a former version registered.
    async fn create_roster(&mut self) -> Result<(), StoreError> {
        let list = self.store.list_relaxed(FORMER_ENTRY_KIND, "");
        let list = self.state.list_from_store(StoreCall::Relaxed, self.store, list).await?;
        let mut entries = BTreeMap::new();
        for object in list.items {
            let Ok(registration) = serde_json::from_value::<EntryRegistration>(object.spec) else {
                log::warn!(target: "peer", "ignored an invalid registration vm={}", object.name);
                continue;
            };
            if registration.failure_domain == self.registration.failure_domain {
                entries.insert(object.name, registration);
            }
        }
        self.register(&entries);
        entries.extend(self.state.table().live_registrations(Instant::now()));
        self.write_roster(entries).await
    }

    /// Adds the live entries that the roster does not list, if this entry is its writer.
    async fn add_live_entries(&mut self) -> Result<(), StoreError> {
        let live = {
            let now = Instant::now();
            let table = self.state.table();
            if !self.is_listed() || !table.is_first_of(&self.roster, now) {
                return Ok(());
            }
            table.live_registrations(now)
        };
        self.write_roster(live).await
    }

    /// Adds entries to the roster by a conditional write. If another entry has written it since it
    /// was read, adopts that version instead; the next attempt is based on it.
    async fn write_roster(
        &mut self,
        entries: BTreeMap<String, EntryRegistration>,
    ) -> Result<(), StoreError> {
        let Some(extended) = self.roster.with(entries) else { return Ok(()) };
        let draft = ObjectDraft {
            kind: ROSTER_KIND.to_owned(),
            name: self.registration.failure_domain.clone(),
            spec: extended.encode(),
            ..ObjectDraft::default()
        };
        let condition = self.roster.version.map_or(Precondition::Absent, Precondition::SpecVersion);
        let written = self.store.put(draft, condition);
        match self.state.call_store(StoreCall::Put, written).await {
            Ok(object) => {
                log::debug!(target: "peer", "wrote the roster entries={}", extended.entries.len());
                self.roster = DomainRoster { version: Some(object.spec_version), ..extended };
                Ok(())
            }
            Err(StoreError::Conflict(Some(existing))) => {
                self.roster = DomainRoster::decode(&existing);
                self.register(&self.roster.entries);
                Ok(())
            }
            Err(StoreError::Conflict(None)) => self.list_rosters(ReadKind::Latest).await,
            Err(error) => Err(error),
        }
    }
}

/// Random candidate for the deployment's key.
pub(super) fn new_key(random: &mut SeededRandom) -> String {
    let mut key = String::new();
    for _ in 0..KEY_WORDS {
        key.push_str(&format!("{:016x}", random.bits()));
    }
    key
}
