//! Lists and watches the objects of the configuration kinds.

use std::sync::Arc;
use std::time::Duration;

use heatherfall_platform_api::{
    ObjectList, PlatformStore, Revision, StoreError, WatchBatch, WatchRequest,
};

use crate::config::object_set::ObjectSet;
use crate::core::CONFIG_KINDS;

/// Time for an answer beyond the wait of a watch, and for a list: calls may go silent.
const CALL_GRACE: Duration = Duration::from_secs(2);

/// Reads configuration objects from the platform.
#[derive(Debug)]
pub struct ObjectSource<S> {
    store: Arc<S>,
}

impl<S: PlatformStore> ObjectSource<S> {
    /// Creates a source over `store`.
    pub fn new(store: Arc<S>) -> Self {
        Self { store }
    }

    /// All objects at one revision. The lists of the kinds are of different revisions; the changes
    /// since the lowest one bring them to the same.
    ///
    /// # Errors
    ///
    /// Returns the platform's error, and [`StoreError::Unavailable`] if the changes do not reach
    /// the revision of every list.
    pub async fn list(&self) -> Result<ObjectSet, StoreError> {
        let mut objects = ObjectSet::default();
        let mut lowest = Revision::MAX;
        let mut highest = 0;
        for kind in CONFIG_KINDS {
            let list: ObjectList =
                with_timeout(self.store.list(kind.as_str(), ""), CALL_GRACE).await?;
            lowest = lowest.min(list.revision);
            highest = highest.max(list.revision);
            objects.replace_kind(kind.as_str(), list);
        }
        objects.set_revision(lowest);
        let batch = self.watch(lowest, Duration::ZERO).await?;
        if batch.revision < highest {
            let reached = batch.revision;
            let message = format!("changes reach {reached}, a list {highest}");
            return Err(StoreError::Unavailable(message));
        }
        objects.apply(batch);
        Ok(objects)
    }

    /// Waits for changes after `since`.
    ///
    /// # Errors
    ///
    /// Returns the platform's error, and [`StoreError::ResponseLost`] for a watch that has gone
    /// silent.
    pub async fn watch(&self, since: Revision, wait: Duration) -> Result<WatchBatch, StoreError> {
        let mut kinds = Vec::with_capacity(CONFIG_KINDS.len());
        for kind in CONFIG_KINDS {
            kinds.push(kind.as_str().to_owned());
        }
        let watch = self.store.watch(WatchRequest { kinds, since, wait });
        with_timeout(watch, wait + CALL_GRACE).await
    }
}

/// A call that may go silent is given up after `limit`.
pub(crate) async fn with_timeout<V>(
    call: impl Future<Output = Result<V, StoreError>>,
    limit: Duration,
) -> Result<V, StoreError> {
    match tokio::time::timeout(limit, call).await {
        Ok(result) => result,
        Err(_) => Err(StoreError::ResponseLost(format!("no answer in {limit:?}"))),
    }
}
