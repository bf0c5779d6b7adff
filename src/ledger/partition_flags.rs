//! State shared by a partition's task and its callers outside the command queue.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::ledger::resolved_put::StallObserver;

/// Time for which a substitute serves a partition after each request by an entry that cannot reach
/// the owner.
const SUBSTITUTE_DURATION: Duration = Duration::from_secs(2);

/// Flags that a partition's task and its callers set for each other.
#[derive(Debug, Default)]
pub(super) struct PartitionFlags {
    /// The last platform call for the partition failed, or a write's effect is unknown.
    is_stalled: AtomicBool,
    /// End of the time for which the node serves the partition as a substitute.
    substitute_until: Mutex<Option<Instant>>,
}

impl PartitionFlags {
    /// Whether claims are refused because they cannot be made durable now.
    pub(super) fn is_stalled(&self) -> bool {
        self.is_stalled.load(Ordering::Relaxed)
    }

    pub(super) fn clear_stall(&self) {
        self.is_stalled.store(false, Ordering::Relaxed);
    }

    /// Makes the node serve the partition for [`SUBSTITUTE_DURATION`], whichever entry owns it.
    pub(super) fn serve_as_substitute(&self) {
        let until = Instant::now() + SUBSTITUTE_DURATION;
        *self.substitute_until.lock().unwrap_or_else(PoisonError::into_inner) = Some(until);
    }

    pub(super) fn is_substitute(&self) -> bool {
        let until = *self.substitute_until.lock().unwrap_or_else(PoisonError::into_inner);
        until.is_some_and(|until| Instant::now() < until)
    }
}

impl StallObserver for PartitionFlags {
    fn on_stall(&self) {
        self.is_stalled.store(true, Ordering::Relaxed);
    }
}
