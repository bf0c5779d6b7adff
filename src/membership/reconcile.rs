//! The truth table of heartbeats and the platform's VM list.
//!
//! The list lags both ways, so a heartbeat decides whether an entry is alive. The list adds two
//! things that a heartbeat cannot tell: that the platform is about to stop a VM, and that a VM
//! exists from which nothing is heard. `docs/design/membership.md` holds the table.

use crate::membership::view::EntryState;
use crate::platform::VmState;

/// What is heard from a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatSight {
    /// A heartbeat within the time limit.
    Fresh(EntryState),
    /// The last heartbeat is older than the time limit.
    Late,
    /// No heartbeat.
    Never,
}

/// What the VM list says about a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListSight {
    /// The VM is listed with this state.
    Listed(VmState),
    /// The VM is not listed.
    Absent,
    /// The list could not be read yet.
    Unread,
}

/// What follows for a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EntryVerdict {
    /// An entry in this state.
    Member(EntryState),
    /// Listed and not heard: no callers are sent to it, and it is named as missing.
    Missing,
    /// No entry.
    Gone,
}

/// Decides about one VM.
pub fn reconcile(heartbeat: HeartbeatSight, list: ListSight) -> EntryVerdict {
    match (heartbeat, list) {
        (HeartbeatSight::Fresh(EntryState::Leaving), _)
        | (HeartbeatSight::Fresh(_), ListSight::Listed(VmState::Leaving)) => {
            EntryVerdict::Member(EntryState::Leaving)
        }
        (HeartbeatSight::Fresh(state), _) => EntryVerdict::Member(state),
        (HeartbeatSight::Late | HeartbeatSight::Never, ListSight::Listed(_)) => {
            EntryVerdict::Missing
        }
        (HeartbeatSight::Late | HeartbeatSight::Never, ListSight::Absent | ListSight::Unread) => {
            EntryVerdict::Gone
        }
    }
}
