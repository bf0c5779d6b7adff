//! Registrations of upstreams in the view, and which of two statements of an upstream is newer.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::fleet::codec::RegisteredUpstream;
use crate::platform::Revision;

/// Time for which removed upstreams are remembered. A store is restored from a copy that is some
/// seconds old, and an upstream that it lists again without being alive expires there as quickly.
const DEPARTED_TTL: Duration = Duration::from_secs(60);

/// The registration of an upstream in the store.
#[derive(Clone, Debug)]
pub(super) struct UpstreamRecord {
    /// Revision in the era of the view; 0 if the store does not list the upstream.
    pub(super) version: Revision,
    /// `None` if the registration names no upstream to use.
    pub(super) upstream: Option<RegisteredUpstream>,
}

/// Whether both are statements of one process of the upstream.
pub(super) fn is_same_lifetime(one: &RegisteredUpstream, other: &RegisteredUpstream) -> bool {
    one.order.started_ms.is_some() && one.order.started_ms == other.order.started_ms
}

/// Whether `listed`, from a restored store, is older than `known`, from before the restore.
pub(super) fn is_restored_older(listed: &RegisteredUpstream, known: &RegisteredUpstream) -> bool {
    // Without a start time, a lower number may also be that of a new process at another address.
    let is_same_address = listed.address == known.address;
    match listed.order.compare(&known.order) {
        Some(Ordering::Less) => listed.order.started_ms.is_some() || is_same_address,
        Some(_) => false,
        None => is_same_address && known.is_draining && !listed.is_draining,
    }
}

#[derive(Clone, Debug)]
struct DepartedUpstream {
    record: UpstreamRecord,
    removed_at: Instant,
}

/// The upstreams that were removed from the view within [`DEPARTED_TTL`].
#[derive(Debug, Default)]
pub(super) struct DepartedUpstreams(BTreeMap<String, DepartedUpstream>);

impl DepartedUpstreams {
    pub(super) fn insert(&mut self, name: &str, record: UpstreamRecord, now: Instant) {
        self.0.retain(|_, departed| now - departed.removed_at < DEPARTED_TTL);
        self.0.insert(name.to_owned(), DepartedUpstream { record, removed_at: now });
    }

    /// Whether a registration in a restored store is one that had been removed before the restore.
    pub(super) fn contains(
        &self,
        listed: &RegisteredUpstream,
        version: Revision,
        now: Instant,
    ) -> bool {
        let Some(departed) = self.0.get(&listed.instance) else { return false };
        if now - departed.removed_at >= DEPARTED_TTL {
            return false;
        }
        let known = departed.record.upstream.as_ref();
        match known.and_then(|known| listed.order.compare(&known.order)) {
            Some(order) => order != Ordering::Greater,
            None => version <= departed.record.version,
        }
    }
}
