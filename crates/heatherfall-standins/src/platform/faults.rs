//! Faults that the platform stand-in can be told to show, and its call counters.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// How the platform stand-in misbehaves.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct FaultSettings {
    /// Every call is refused.
    pub down: bool,
    /// Delay before every answer.
    pub delay: Duration,
    /// Number of further writes that take effect and whose answers are lost.
    pub lose_write_answers: u32,
    /// Number of further writes just before which another writer changes the same object.
    pub overtaken_writes: u32,
    /// Watches never return, not even at the end of their wait.
    pub silent_watches: bool,
    /// Watches that wait when this is set never return, not even when it is unset; later ones work.
    pub silence_open_watches: bool,
    /// Number of latest revisions that lists and reads do not show yet.
    pub stale_revisions: u64,
    /// VM list calls return the list as it was when this was set.
    pub freeze_vm_list: bool,
}

/// Calls and bytes that the stand-in has served.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct CallCounts {
    /// Reads of one object.
    pub gets: u64,
    /// Lists.
    pub lists: u64,
    /// Reads and lists that may be answered from an old copy.
    pub relaxed: u64,
    /// Writes and deletes, the refused ones included.
    pub writes: u64,
    /// Waiting watches.
    pub watches: u64,
    /// Reads of the VM list.
    pub vm_lists: u64,
    /// Bytes of specs and statuses written.
    pub bytes_written: u64,
}

impl CallCounts {
    /// All calls together.
    pub fn total(&self) -> u64 {
        self.gets + self.lists + self.relaxed + self.writes + self.watches + self.vm_lists
    }
}
