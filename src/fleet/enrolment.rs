//! Registers an entry in the store and reads the key of the deployment.
//!
//! An entry lists the registered entries, reads the deployment's key or creates it, and registers
//! itself unless an earlier start has. From then on it exchanges datagrams with the others. Relaxed
//! reads, which may return stale data, are enough: an entry that a stale list lacks becomes known
//! by its own messages.

use std::time::Duration;

use tokio::time::sleep;

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
        while let Err(error) = self.enrol().await {
            log::warn!(target: "peer", "enrolment failed, retrying reason={error}");
            sleep(MAX_BACKOFF).await;
        }
        self.state.end_enrolment();
        sleep(FINAL_LIST_DELAY).await;
        while let Err(error) = self.list_entries().await {
            log::warn!(target: "peer", "final list of entries failed, retrying reason={error}");
            sleep(MAX_BACKOFF).await;
        }
    }

    async fn enrol(&self) -> Result<(), StoreError> {
        let status = self.list_entries().await?;
        let key = self.read_key().await?;
        self.store_key(&key)?;
        if status == RegistrationStatus::Missing {
            self.register().await?;
            // Other new entries may be registering at the same time.
            sleep(RELIST_DELAY).await;
            self.list_entries().await?;
        }
        Ok(())
    }

    /// Reads the deployment's key, or creates it from this entry's candidate. If another entry
    /// creates one first, that one is used.
    async fn read_key(&self) -> Result<ObjectEnvelope, StoreError> {
        match self
            .state
            .call_store(StoreCall::Relaxed, self.store.get_relaxed(KEY_KIND, KEY_NAME))
            .await
        {
            Err(StoreError::NotFound) => {}
            found => return found,
        }
        let key = ObjectDraft {
            kind: KEY_KIND.to_owned(),
            name: KEY_NAME.to_owned(),
            spec: self.key_candidate.clone().into(),
            ..ObjectDraft::default()
        };
        match self.state.call_store(StoreCall::Put, self.store.put(key, Precondition::Absent)).await
        {
            Err(StoreError::Conflict(Some(existing))) => Ok(*existing),
            Err(StoreError::Conflict(None)) => {
                self.state.call_store(StoreCall::Get, self.store.get(KEY_KIND, KEY_NAME)).await
            }
            written => written,
        }
    }

    fn store_key(&self, object: &ObjectEnvelope) -> Result<(), StoreError> {
        let text = object.spec.as_str().unwrap_or_default();
        let key = MessageKey::new(text.as_bytes()).filter(|_| !text.is_empty());
        let Some(key) = key else {
            return Err(StoreError::Protocol("the deployment's key is empty".to_owned()));
        };
        // A repeated enrolment reads the same key.
        let _ = self.state.key.set(key);
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
    async fn list_entries(&self) -> Result<RegistrationStatus, StoreError> {
        let list = self
            .state
            .call_store(StoreCall::Relaxed, self.store.list_relaxed(ENTRY_KIND, ""))
            .await?;
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
