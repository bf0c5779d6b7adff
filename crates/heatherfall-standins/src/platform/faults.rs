//! Injectable faults of the platform stand-in, and its call counters.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// Faults that the platform stand-in injects. The default injects none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Every call is refused without any effect.
    pub down: bool,
    /// Delay of every call before it takes effect.
    pub delay: Duration,
    /// Number of further writes that are processed and whose responses are lost.
    pub lose_write_answers: u32,
    /// Number of further writes just before which another writer changes the same object, so that
    /// they conflict.
    pub overtaken_writes: u32,
    /// Watches never return, not even at the end of their wait, until this is unset.
    pub silent_watches: bool,
    /// Watches that are open when this is set never return, not even after it is unset; later
    /// watches work.
    pub silence_open_watches: bool,
    /// Number of the latest revisions that reads and lists do not show.
    pub stale_revisions: u64,
    /// The VM list is returned as it was when this was set.
    pub freeze_vm_list: bool,
}

/// Calls received by the stand-in, and bytes written.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// Reads of one object.
    pub gets: u64,
    /// Lists of objects.
    pub lists: u64,
    /// Reads and lists with bounded staleness.
    pub relaxed: u64,
    /// Writes and deletes, including refused ones.
    pub writes: u64,
    /// Long-poll watches.
    pub watches: u64,
    /// Reads of the VM list.
    pub vm_lists: u64,
    /// Bytes of the specs and statuses in all writes.
    pub bytes_written: u64,
}

impl CallCounts {
    /// Number of calls of all kinds.
    pub fn total(&self) -> u64 {
        self.gets + self.lists + self.relaxed + self.writes + self.watches + self.vm_lists
    }
}
