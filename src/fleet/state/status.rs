//! Store calls and positions as metrics and log lines.

use std::pin::pin;
use std::time::Duration;

use tokio::time::error::Elapsed;
use tokio::time::{Instant, timeout};

use crate::fleet::codec::DeploymentCodec;
use crate::fleet::fleet_metrics::{FleetStatus, StoreCall};
use crate::fleet::rate_limits::limited_upstreams;
use crate::fleet::state::{FleetState, lock};
use crate::fleet::view::ViewChange;
use crate::fleet::warm_ups::cold_upstreams;
use crate::platform::{ObjectList, PlatformStore, StoreError, StorePosition};

/// How an entry has learned of a configuration.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(in crate::fleet) enum ConfigSource {
    /// It has read the latest one from the store.
    Read,
    /// It has read one that may be stale from the store.
    RelaxedRead,
    /// In a message of another entry.
    Peer,
    /// In several messages of other entries.
    PeerParts,
}

impl ConfigSource {
    fn label(self) -> &'static str {
        match self {
            Self::Read => "store",
            Self::RelaxedRead => "relaxed",
            Self::Peer => "peer",
            Self::PeerParts => "parts",
        }
    }
}

impl<D: DeploymentCodec> FleetState<D> {
    /// Logs a change of the configuration with what confirmed the one before: how long ago it was last
    /// confirmed, and how long ago the read began that this rested on.
    pub(in crate::fleet) fn log_config(&self, change: &ViewChange, source: ConfigSource) {
        let Some(object) = &change.config else { return };
        let millis = |age: Option<Duration>| age.map_or(-1, |age| age.as_millis() as i64);
        log::info!(
            target: "config",
            "changed source={} revision={} view_age_ms={} config_read_age_ms={}",
            source.label(),
            object.version,
            millis(self.freshness.age()),
            millis(self.freshness.read_age()),
        );
    }

    /// Awaits a store call other than a watch, with the timeout of the schedule, and counts it.
    pub(in crate::fleet) async fn call_store<T>(
        &self,
        call: StoreCall,
        response: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        self.call_store_within(call, self.read_schedule.call_timeout, response).await
    }

    /// Awaits a list from `store`, with the timeout of the schedule for each of its pages, and counts it.
    pub(in crate::fleet) async fn list_from_store<S: PlatformStore>(
        &self,
        call: StoreCall,
        store: &S,
        list: impl Future<Output = Result<ObjectList, StoreError>>,
    ) -> Result<ObjectList, StoreError> {
        let limit = self.read_schedule.call_timeout;
        let mut list = pin!(list);
        let mut pages = store.received_pages();
        loop {
            let ended = timeout(limit, list.as_mut()).await;
            let is_going_on = store.received_pages() > pages;
            pages = store.received_pages();
            match ended {
                Err(_) if is_going_on => {}
                ended => return self.count_ended(call, limit, ended),
            }
        }
    }

    /// Awaits a store call, with a timeout of `limit`, and counts it.
    pub(in crate::fleet) async fn call_store_within<T>(
        &self,
        call: StoreCall,
        limit: Duration,
        response: impl Future<Output = Result<T, StoreError>>,
    ) -> Result<T, StoreError> {
        let ended = timeout(limit, response).await;
        self.count_ended(call, limit, ended)
    }

    /// Counts a store call that has ended or reached its timeout.
    fn count_ended<T>(
        &self,
        call: StoreCall,
        limit: Duration,
        ended: Result<Result<T, StoreError>, Elapsed>,
    ) -> Result<T, StoreError> {
        let timed_out = || StoreError::ResponseLost(format!("no response within {limit:?}"));
        let result = ended.unwrap_or_else(|_| Err(timed_out()));
        if let Some(metrics) = &self.metrics {
            metrics.count_call(call, &result);
        }
        result
    }

    /// Updates the metrics from the current state.
    pub(in crate::fleet) fn update_metrics(&self) {
        let Some(metrics) = &self.metrics else { return };
        let snapshot = self.snapshot.load();
        let snapshot = snapshot.as_ref();
        let mark = self.view().watermark();
        metrics.update(FleetStatus {
            generation: snapshot.map_or(0, |snapshot| snapshot.generation.0),
            view_age: self.freshness.age(),
            config_read_age: self.freshness.read_age(),
            config_revision: mark.config_revision,
            config_known_revision: mark.config_known,
            known_entries: self.known_entries(),
            upstreams: snapshot.map_or(0, |snapshot| snapshot.upstreams.len()),
            invalid_registrations: self.view().invalid_registrations(),
            limited_upstreams: snapshot.map_or(0, |snapshot| limited_upstreams(snapshot)),
            cold: snapshot.map_or_else(Default::default, |snapshot| cold_upstreams(snapshot)),
            refused_requests: self.quarantine.refused_requests(Instant::now()),
            has_path: self.table().own().has_path,
            evacuated_domains: self.view().evacuated_domains().0.len(),
            view_revision: mark.revision,
            store_position: *lock(&self.store_position),
        });
    }

    /// Records the position that the store has reported. Logs if its history went back.
    pub(in crate::fleet) fn record_store_position(&self, position: StorePosition) {
        let known = std::mem::replace(&mut *lock(&self.store_position), position);
        if known.revision > 0 && position.era != known.era {
            log::warn!(
                target: "store",
                "history changed, the store was restored era={} known_era={} revision={} known_revision={}",
                position.era,
                known.era,
                position.revision,
                known.revision,
            );
        }
    }
}
