//! Registers an entry in the store and reads the key of the deployment.
//!
//! An entry lists the registered entries, reads the deployment's key or creates it, and registers
//! itself unless an earlier start has. From then on it exchanges datagrams with the others. Relaxed
//! reads, which may return stale data, are enough: an entry that a stale list lacks becomes known
//! by its own messages. After a restore of the store, all write again what it has lost.

use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use crate::fleet::codec::DeploymentCodec;
use crate::fleet::fleet_metrics::StoreCall;
use crate::fleet::peer_message::MessageKey;
use crate::fleet::peer_table::EntryRegistration;
use crate::fleet::state::FleetState;
use crate::fleet::store_follower::MAX_BACKOFF;
use crate::platform::{
    ObjectDraft, ObjectEnvelope, ObjectList, PlatformStore, Precondition, StoreError,
};
use crate::util::SeededRandom;

/// Time after which an entry that has just registered lists the others again: all entries of a new
/// deployment start within a fraction of a second, and a relaxed read is usually stale by less than
/// a second.
const RELIST_DELAY: Duration = Duration::from_millis(1200);
/// Time from the end of the enrolment to the last list of the registered entries; a relaxed read is
/// stale by at most a few seconds.
const FINAL_LIST_DELAY: Duration = Duration::from_secs(5);

/// Object kind of the entries' registrations.
const ENTRY_KIND: &str = "heatherfall-entries";
/// Object kind of the deployment's key.
const KEY_KIND: &str = "heatherfall-keys";
/// Name of the key that signs messages between entries.
const KEY_NAME: &str = "peers";
/// Length of a new key in words of 64 random bits.
const KEY_WORDS: usize = 4;

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
    /// At the start.
    Enrol,
    /// Some seconds later, for entries that started at the same time.
    FinalList,
    /// After the store was restored.
    Restore,
}

/// Whether this entry is registered with its current addresses.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RegistrationStatus {
    /// An earlier start has registered it.
    Registered,
    /// It is not registered, or with other addresses.
    Missing,
}

/// Enrols one entry.
pub(super) struct EntryEnrolment<'a, S, D> {
    pub(super) store: &'a S,
    pub(super) state: &'a FleetState<D>,
    pub(super) vm: String,
    pub(super) registration: &'a EntryRegistration,
    pub(super) key_candidate: String,
}

impl<S: PlatformStore, D: DeploymentCodec> EntryEnrolment<'_, S, D> {
    pub(super) async fn run(self) {
        self.repeat_until_done(EnrolmentStep::Enrol).await;
        self.state.end_enrolment();
        let mut final_list_at = Some(Instant::now() + FINAL_LIST_DELAY);
        loop {
            let restored = self.state.restore_notice.notified();
            match final_list_at {
                Some(at) => {
                    if timeout_at(at, restored).await.is_err() {
                        final_list_at = None;
                        self.repeat_until_done(EnrolmentStep::FinalList).await;
                        continue;
                    }
                }
                None => restored.await,
            }
            sleep(self.state.rank_delay(Instant::now())).await;
            self.repeat_until_done(EnrolmentStep::Restore).await;
        }
    }

    /// Repeats a step until its store calls have succeeded.
    async fn repeat_until_done(&self, step: EnrolmentStep) {
        while let Err(error) = self.try_step(step).await {
            log::warn!(target: "peer", "{step:?} failed, retrying reason={error}");
            sleep(MAX_BACKOFF).await;
        }
    }

    async fn try_step(&self, step: EnrolmentStep) -> Result<(), StoreError> {
        match step {
            EnrolmentStep::Enrol => self.enrol().await,
            EnrolmentStep::FinalList => self.list_entries(ReadKind::Relaxed).await.map(drop),
            EnrolmentStep::Restore => self.enrol_again().await,
        }
    }

    async fn enrol(&self) -> Result<(), StoreError> {
        let status = self.list_entries(ReadKind::Relaxed).await?;
        let key = self.read_key(ReadKind::Relaxed).await?;
        self.store_key(&key)?;
        if status == RegistrationStatus::Missing {
            self.register().await?;
            // Other new entries may be registering at the same time.
            sleep(RELIST_DELAY).await;
            self.list_entries(ReadKind::Relaxed).await?;
        }
        Ok(())
    }

    /// Writes again what a restored store has lost. A key that another entry has created since then
    /// replaces this entry's.
    async fn enrol_again(&self) -> Result<(), StoreError> {
        let status = self.list_entries(ReadKind::Latest).await?;
        let key = self.read_key(ReadKind::Latest).await?;
        self.store_key(&key)?;
        if status == RegistrationStatus::Missing {
            self.register().await?;
        }
        log::info!(target: "peer", "enrolled in the restored store registration={status:?}");
        Ok(())
    }

    /// Reads the deployment's key, or creates it: the one that this entry knows, or else its
    /// candidate. If another entry creates one first, that one is used.
    async fn read_key(&self, kind: ReadKind) -> Result<ObjectEnvelope, StoreError> {
        let found = match kind {
            ReadKind::Relaxed => {
                let read = self.store.get_relaxed(KEY_KIND, KEY_NAME);
                self.state.call_store(StoreCall::Relaxed, read).await
            }
            ReadKind::Latest => self.get_key().await,
        };
        if !matches!(found, Err(StoreError::NotFound)) {
            return found;
        }
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

    async fn register(&self) -> Result<(), StoreError> {
        let spec = serde_json::to_value(self.registration)
            .map_err(|error| StoreError::Protocol(error.to_string()))?;
        let draft = ObjectDraft {
            kind: ENTRY_KIND.to_owned(),
            name: self.vm.clone(),
            spec,
            ..ObjectDraft::default()
        };
        match self
            .state
            .call_store(StoreCall::Put, self.store.put(draft.clone(), Precondition::Absent))
            .await
        {
            Ok(_) => Ok(()),
            Err(StoreError::Conflict(Some(existing))) if existing.spec == draft.spec => Ok(()),
            Err(StoreError::Conflict(Some(existing))) => {
                let condition = Precondition::SpecVersion(existing.spec_version);
                self.state
                    .call_store(StoreCall::Put, self.store.put(draft, condition))
                    .await
                    .map(drop)
            }
            Err(error) => Err(error),
        }
    }

    /// Adds the registered entries to the peer table; returns whether this entry is among them.
    async fn list_entries(&self, kind: ReadKind) -> Result<RegistrationStatus, StoreError> {
        let list = match kind {
            ReadKind::Relaxed => {
                let list = self.store.list_relaxed(ENTRY_KIND, "");
                self.state.call_store(StoreCall::Relaxed, list).await?
            }
            ReadKind::Latest => {
                self.state.call_store(StoreCall::List, self.store.list(ENTRY_KIND, "")).await?
            }
        };
        Ok(self.apply_registrations(list))
    }

    fn apply_registrations(&self, list: ObjectList) -> RegistrationStatus {
        let mut status = RegistrationStatus::Missing;
        let mut table = self.state.table();
        for object in list.items {
            let registration: EntryRegistration = match serde_json::from_value(object.spec) {
                Ok(registration) => registration,
                Err(error) => {
                    log::warn!(
                        target: "peer",
                        "ignored an invalid registration vm={} reason={error}",
                        object.name,
                    );
                    continue;
                }
            };
            if object.name == self.vm && registration == *self.registration {
                status = RegistrationStatus::Registered;
            }
            table.register(&object.name, &registration);
        }
        drop(table);
        self.state.refresh_membership();
        status
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
