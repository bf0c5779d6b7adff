//! Lists and watches the objects of the configuration kinds.

use std::sync::Arc;
use std::time::Duration;

use heatherfall_platform_api::{
    ObjectList, PlatformStore, Revision, StoreError, WatchBatch, WatchRequest,
};

use crate::config::object_set::ObjectSet;
use crate::core::CONFIG_KINDS;

/// Time limit of a list, and of a watch beyond its long-poll time: a call may never respond.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Reads configuration objects from the platform.
#[derive(Debug)]
pub struct ObjectSource<S> {
    store: Arc<S>,
}

impl<S: PlatformStore> ObjectSource<S> {
    /// Creates a source that reads from `store`.
    pub fn new(store: Arc<S>) -> Self {
        Self { store }
    }

    /// Returns all objects at one revision. The lists of the kinds have different revisions; the
    /// changes since the lowest of them bring all to the same one.
    ///
    /// # Errors
    ///
    /// Returns the platform's error, or [`StoreError::Unavailable`] if the changes do not reach the
    /// revision of every list.
    pub async fn list(&self) -> Result<ObjectSet, StoreError> {
        let mut objects = ObjectSet::default();
        let mut lowest = Revision::MAX;
        let mut highest = 0;
        for kind in CONFIG_KINDS {
            let list: ObjectList =
                with_timeout(self.store.list(kind.as_str(), ""), RESPONSE_TIMEOUT).await?;
            lowest = lowest.min(list.revision);
            highest = highest.max(list.revision);
            objects.replace_kind(kind.as_str(), list);
        }
        objects.set_revision(lowest);
        let batch = self.watch(lowest, Duration::ZERO).await?;
        if batch.revision < highest {
            let reached = batch.revision;
            let message =
                format!("watch reached revision {reached}, but a list has revision {highest}");
            return Err(StoreError::Unavailable(message));
        }
        objects.apply(batch);
        Ok(objects)
    }

    /// Waits up to `wait` for changes after revision `since`.
    ///
    /// # Errors
    ///
    /// Returns the platform's error, or [`StoreError::ResponseLost`] if the watch did not respond
    /// in time.
    pub async fn watch(&self, since: Revision, wait: Duration) -> Result<WatchBatch, StoreError> {
        let mut kinds = Vec::with_capacity(CONFIG_KINDS.len());
        for kind in CONFIG_KINDS {
            kinds.push(kind.as_str().to_owned());
        }
        let watch = self.store.watch(WatchRequest { kinds, since, wait });
        with_timeout(watch, wait + RESPONSE_TIMEOUT).await
    }
}

/// Awaits a platform call and fails with [`StoreError::ResponseLost`] after `limit`.
pub(crate) async fn with_timeout<V>(
    call: impl Future<Output = Result<V, StoreError>>,
    limit: Duration,
) -> Result<V, StoreError> {
    match tokio::time::timeout(limit, call).await {
        Ok(result) => result,
        Err(_) => Err(StoreError::ResponseLost(format!("no response within {limit:?}"))),
    }
}
