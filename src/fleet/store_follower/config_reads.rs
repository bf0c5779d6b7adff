//! Reads the configuration and the evacuations, after a watch or alone.

use std::pin::pin;

use futures_util::future::{Either, select};
use tokio::time::{Instant, timeout};

use crate::fleet::codec::DeploymentCodec;
use crate::fleet::fleet_metrics::StoreCall;
use crate::fleet::other_writes::OtherWrites;
use crate::fleet::store_follower::{StoreFollower, restored_between_reads};
use crate::platform::{ObjectEnvelope, PlatformStore, StoreEra, StoreError, StorePosition};

/// Reads of a configuration after a watch before another watch is made.
pub(super) const MAX_CONFIG_READS: u32 = 2;

/// A watch after which the configuration could not be read.
#[derive(Clone, Copy, Debug)]
pub(super) struct UnreadConfig {
    /// When the watch returned.
    pub(super) returned: Instant,
    /// Reads before the next watch.
    pub(super) attempts: u32,
    /// Era of the watch.
    pub(super) era: StoreEra,
}

impl<S: PlatformStore, D: DeploymentCodec> StoreFollower<S, D> {
    /// Reads the configuration after the store has responded with something that can't be read. That may
    /// be one object among the upstreams, and a change of the configuration doesn't depend on them.
    pub(super) async fn read_config_alone(&mut self) {
        if self.state.view().revision() == 0 {
            return;
        }
        let read_at = Instant::now();
        match self.read_config_object().await {
            Ok(object) => {
                let is_same_era = object.era == self.state.view().position().era;
                let change = self.state.view().apply_config_of_any_era(object);
                self.state.publish(change);
                // In another era, the store was restored, and that is yet to be dealt with.
                if is_same_era {
                    self.state.confirm_config(read_at);
                }
            }
            Err(error) => log::debug!(target: "store", "no configuration either reason={error}"),
        }
    }

    /// Reads the configuration alone. An entry that others do not know yet learns of a new one by this,
    /// at the cost of one call.
    pub(super) async fn confirm_config(&mut self) -> Result<(), StoreError> {
        let read_at = Instant::now();
        self.read_config(None).await?;
        self.confirmed_at = Some(read_at);
        self.record_success(Instant::now());
        self.state.confirm_config(read_at);
        Ok(())
    }

    /// Reads the configuration that could not be read after the last watch. Another watch would cost a
    /// round trip and tell nothing more.
    pub(super) async fn read_unread_config(&mut self) -> Result<(), StoreError> {
        let Some(unread) = self.unread_config.take() else { return Ok(()) };
        if self.state.view().position().era != unread.era {
            return Ok(());
        }
        let read_at = Instant::now();
        let read = self.read_config(None).await;
        if read.is_err() && unread.attempts > 1 {
            let attempts = unread.attempts - 1;
            self.unread_config = Some(UnreadConfig { attempts, ..unread });
        }
        read?;
        self.record_success(Instant::now());
        self.record_current(unread.returned.elapsed(), read_at);
        self.state.request_message();
        Ok(())
    }

    /// Reads the configuration object. A response that is on its way to a slow entry is not given up
    /// after the timeout of a call; a second read is sent meanwhile, in case it was lost.
    async fn read_config_object(&self) -> Result<ObjectEnvelope, StoreError> {
        let names = self.names();
        let call_timeout = self.state.read_schedule.call_timeout;
        let read = |limit| {
            let response = self.store.get(names.config_kind, names.config_name);
            self.state.call_store_within(StoreCall::Get, limit, response)
        };
        let mut first = pin!(read(call_timeout * 2));
        if let Ok(result) = timeout(call_timeout, first.as_mut()).await {
            return result;
        }
        let second = pin!(read(call_timeout));
        match select(first, second).await {
            Either::Left((Err(StoreError::ResponseLost(_)), second)) => second.await,
            Either::Right((Err(StoreError::ResponseLost(_)), first)) => first.await,
            Either::Left((result, _)) | Either::Right((result, _)) => result,
        }
    }

    /// Reads the configuration, and the evacuations unless the configuration accounts for all `writes`
    /// since they were last read.
    pub(super) async fn read_config(
        &mut self,
        writes: Option<OtherWrites>,
    ) -> Result<(), StoreError> {
        let is_known_before = writes
            .is_some_and(|writes| self.state.view().watermark().config_known >= writes.since());
        let mut is_explained = false;
        let StorePosition { era, revision } = self.state.view().position();
        match self.read_config_object().await {
            Ok(object) if object.era != era => {
                return Err(restored_between_reads());
            }
            Ok(object) if self.state.view().has_newer_config(&object) => {
                return Err(StoreError::Unavailable(
                    "the store returned an older configuration than before".to_owned(),
                ));
            }
            Ok(object) => {
                is_explained = is_known_before
                    && writes.is_some_and(|writes| writes.are_only_config(object.version));
                let change = self.state.view().apply_config(object);
                self.state.publish(change);
            }
            // No configuration has been written yet.
            Err(StoreError::NotFound) if !self.state.view().has_read_config() => {}
            Err(error) => return Err(error),
        }
        if self.state.view().tracks_evacuations() && !is_explained {
            self.read_evacuations(era).await?;
        }
        self.state.view().confirm_config(revision);
        Ok(())
    }

    async fn read_evacuations(&mut self, era: StoreEra) -> Result<(), StoreError> {
        let list = self.store.list(self.names().evacuation_kind, "");
        let list = self.state.list_from_store(StoreCall::List, &*self.store, list).await?;
        if list.era != era {
            return Err(restored_between_reads());
        }
        let change = self.state.view().apply_evacuations(list, Instant::now());
        self.state.publish(change);
        Ok(())
    }
}
