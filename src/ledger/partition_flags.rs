//! What a partition's task and those who ask it tell each other without a message.

use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::ledger::resolved_put::StallObserver;

/// Time for which an entry serves a partition in place of an owner that another cannot reach.
const SUBSTITUTE_DURATION: Duration = Duration::from_secs(2);

/// What a partition's task and those who ask it tell each other.
#[derive(Debug, Default)]
pub(super) struct PartitionFlags {
    /// The platform's last answer about the partition was a failure, or is missing.
    is_stalled: AtomicBool,
    /// Until when the node serves the partition in place of an owner that cannot be reached.
    substitute_until: Mutex<Option<Instant>>,
}

impl PartitionFlags {
    /// Whether claims cannot be made durable now.
    pub(super) fn is_stalled(&self) -> bool {
        self.is_stalled.load(Ordering::Relaxed)
    }

    pub(super) fn clear_stall(&self) {
        self.is_stalled.store(false, Ordering::Relaxed);
    }

    /// Serves the partition for a while, whoever owns it.
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
