//! Makes an entry known to the others through the store.
//!
//! An entry reads who is registered, learns the deployment's key or creates it, and registers itself
//! unless an earlier start of it has. From then on it is heard and hears by datagrams. Reads that
//! may be answered from an old copy are enough for all of that: an entry that an old answer leaves
//! out is heard of by its own messages.

use std::time::Duration;

use tokio::time::sleep;

use crate::fleet::codec::DeploymentCodec;
use crate::fleet::fleet_metrics::StoreCall;
use crate::fleet::peer_message::MessageKey;
use crate::fleet::peer_table::EntryRegistration;
use crate::fleet::state::FleetState;
use crate::fleet::store_follower::MAX_PAUSE;
use crate::platform::{
    ObjectDraft, ObjectEnvelope, ObjectList, PlatformStore, Precondition, StoreError,
};
use crate::util::SeededRandom;

/// Time after which an entry that was not registered looks again: all entries of a new deployment
/// start within a fraction of a second, and an answer that may be old is usually less than a second
/// old.
const NEWCOMER_PAUSE: Duration = Duration::from_millis(1200);
/// Time after which the registered entries are listed for the last time; an answer that may be old
/// is at most some seconds old.
const LAST_LOOK_PAUSE: Duration = Duration::from_secs(5);

/// Kind of the registrations of entries.
const ENTRY_KIND: &str = "heatherfall-entries";
/// Kind of the deployment's key.
const KEY_KIND: &str = "heatherfall-keys";
/// Name of the key that messages between entries are sealed with.
const KEY_NAME: &str = "peers";
/// Words of 64 random bits of a new key.
const KEY_WORDS: usize = 4;

/// Whether this entry is registered as it is now.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum RegistrationStanding {
    /// By an earlier start.
    Present,
    /// Not, or with another address.
    Missing,
}

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
        self.state.end_enrolment();
        sleep(LAST_LOOK_PAUSE).await;
        while let Err(error) = self.list_entries().await {
            log::warn!(target: "peer", "entries not listed again reason={error}");
            sleep(MAX_PAUSE).await;
        }
    }

    async fn enrol(&self) -> Result<(), StoreError> {
        let standing = self.list_entries().await?;
        let key = self.read_key().await?;
        self.take_key(&key)?;
        if standing == RegistrationStanding::Missing {
            self.register().await?;
            // Others may be registering at this moment too.
            sleep(NEWCOMER_PAUSE).await;
            self.list_entries().await?;
        }
        Ok(())
    }

    /// The deployment's key; whoever creates it first has made it for all.
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
            Err(StoreError::Conflict(Some(present))) => Ok(*present),
            Err(StoreError::Conflict(None)) => {
                self.state.call_store(StoreCall::Get, self.store.get(KEY_KIND, KEY_NAME)).await
            }
            written => written,
        }
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
        match self
            .state
            .call_store(StoreCall::Put, self.store.put(draft.clone(), Precondition::Absent))
            .await
        {
            Ok(_) => Ok(()),
            Err(StoreError::Conflict(Some(present))) if present.spec == draft.spec => Ok(()),
            Err(StoreError::Conflict(Some(present))) => {
                let condition = Precondition::SpecVersion(present.spec_version);
                self.state
                    .call_store(StoreCall::Put, self.store.put(draft, condition))
                    .await
                    .map(drop)
            }
            Err(error) => Err(error),
        }
    }

    /// Takes in who is registered, and tells whether this entry is.
    async fn list_entries(&self) -> Result<RegistrationStanding, StoreError> {
        let list = self
            .state
            .call_store(StoreCall::Relaxed, self.store.list_relaxed(ENTRY_KIND, ""))
            .await?;
        Ok(self.take_registrations(list))
    }

    fn take_registrations(&self, list: ObjectList) -> RegistrationStanding {
        let mut standing = RegistrationStanding::Missing;
        let mut table = self.state.table();
        for object in list.items {
            let registration: EntryRegistration = match serde_json::from_value(object.spec) {
                Ok(registration) => registration,
                Err(error) => {
                    log::warn!(target: "peer", "registration unusable vm={} reason={error}", object.name);
                    continue;
                }
            };
            if object.name == self.vm && registration == *self.registration {
                standing = RegistrationStanding::Present;
            }
            table.register(&object.name, &registration);
        }
        drop(table);
        self.state.refresh_membership();
        standing
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
