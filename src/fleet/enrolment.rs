//! Makes an entry known to the others through the store.
//!
//! An entry creates the deployment's key if nobody has, registers itself, and lists who else is
//! registered. From then on it is heard and hears by datagrams.

use std::time::Duration;

use tokio::time::sleep;

use crate::fleet::codec::DeploymentCodec;
use crate::fleet::peer_message::MessageKey;
use crate::fleet::peer_table::EntryRegistration;
use crate::fleet::state::FleetState;
use crate::fleet::store_follower::{CALL_TIME, MAX_PAUSE, within};
use crate::platform::{
    ObjectDraft, ObjectEnvelope, ObjectList, PlatformStore, Precondition, StoreError,
};
use crate::util::SeededRandom;

/// Time after which the registered entries are listed again: all entries of a new deployment start
/// within a fraction of a second, and an old answer is some seconds old.
const SECOND_ROLL_CALL: Duration = Duration::from_secs(5);

/// Kind of the registrations of entries.
const ENTRY_KIND: &str = "heatherfall-entries";
/// Kind of the deployment's key.
const KEY_KIND: &str = "heatherfall-keys";
/// Name of the key that messages between entries are sealed with.
const KEY_NAME: &str = "peers";
/// Words of 64 random bits of a new key.
const KEY_WORDS: usize = 4;

/// Makes the entry known and learns the deployment's key.
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
            log::warn!(target: "peer", "not enrolled yet reason={error}");
            sleep(MAX_PAUSE).await;
        }
        while let Err(error) = self.call_roll().await {
            log::warn!(target: "peer", "entries not listed reason={error}");
            sleep(MAX_PAUSE).await;
        }
        sleep(SECOND_ROLL_CALL).await;
        while let Err(error) = self.call_roll_again().await {
            log::warn!(target: "peer", "entries not listed again reason={error}");
            sleep(MAX_PAUSE).await;
        }
    }

    async fn enrol(&self) -> Result<(), StoreError> {
        let key = ObjectDraft {
            kind: KEY_KIND.to_owned(),
            name: KEY_NAME.to_owned(),
            spec: self.key_candidate.clone().into(),
            ..ObjectDraft::default()
        };
        // Whoever creates the key first has made it for all.
        let object = match within(CALL_TIME, self.store.put(key, Precondition::Absent)).await {
            Ok(object) => object,
            Err(StoreError::Conflict(Some(present))) => *present,
            Err(StoreError::Conflict(None)) => {
                within(CALL_TIME, self.store.get(KEY_KIND, KEY_NAME)).await?
            }
            Err(error) => return Err(error),
        };
        self.register().await?;
        self.take_key(&object)
    }

    fn take_key(&self, object: &ObjectEnvelope) -> Result<(), StoreError> {
        let text = object.spec.as_str().unwrap_or_default();
        let key = MessageKey::new(text.as_bytes()).filter(|_| !text.is_empty());
        let Some(key) = key else {
            return Err(StoreError::Protocol("the deployment's key is empty".to_owned()));
        };
        // A second enrolment finds the same key.
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
        match within(CALL_TIME, self.store.put(draft.clone(), Precondition::Absent)).await {
            Ok(_) => Ok(()),
            Err(StoreError::Conflict(Some(present))) if present.spec == draft.spec => Ok(()),
            Err(StoreError::Conflict(Some(present))) => {
                let condition = Precondition::SpecVersion(present.spec_version);
                within(CALL_TIME, self.store.put(draft, condition)).await.map(drop)
            }
            Err(error) => Err(error),
        }
    }

    async fn call_roll(&self) -> Result<(), StoreError> {
        let list = within(CALL_TIME, self.store.list(ENTRY_KIND, "")).await?;
        self.take_registrations(list);
        Ok(())
    }

    async fn call_roll_again(&self) -> Result<(), StoreError> {
        // An entry that an old answer leaves out is heard of by its own messages.
        let list = within(CALL_TIME, self.store.list_relaxed(ENTRY_KIND, "")).await?;
        self.take_registrations(list);
        Ok(())
    }

    fn take_registrations(&self, list: ObjectList) {
        let mut table = self.state.table();
        for object in list.items {
            match serde_json::from_value(object.spec) {
                Ok(registration) => table.register(&object.name, &registration),
                Err(error) => {
                    log::warn!(target: "peer", "registration unusable vm={} reason={error}", object.name);
                }
            }
        }
        drop(table);
        self.state.refresh_membership();
    }
}

/// A candidate for the deployment's key.
pub(super) fn new_key(random: &mut SeededRandom) -> String {
    let mut key = String::new();
    for _ in 0..KEY_WORDS {
        key.push_str(&format!("{:016x}", random.bits()));
    }
    key
}
