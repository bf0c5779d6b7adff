//! The truth table of heartbeats and the platform's VM list.
//!
//! The list lags both ways, so a heartbeat decides whether an entry is alive. The list adds two
//! things that a heartbeat cannot tell: that the platform is about to stop a VM, and that a VM
//! exists from which nothing is heard. `docs/design/membership.md` holds the table.

use crate::membership::view::EntryState;
use crate::platform::VmState;

/// What is heard from a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatStatus {
    /// A heartbeat within the time limit.
    Fresh(EntryState),
    /// The last heartbeat is older than the time limit.
    Stale,
    /// No heartbeat.
    Never,
}

/// What the VM list says about a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListingStatus {
    /// The VM is listed with this state.
    Listed(VmState),
    /// The VM is not listed.
    Unlisted,
    /// The list could not be read yet.
    Unknown,
}

/// What follows for a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MembershipDecision {
    /// An entry in this state.
    Member(EntryState),
    /// Listed and not heard: no callers are sent to it, and it is named as missing.
    Missing,
    /// No entry.
    Gone,
}

/// Decides about one VM.
pub fn reconcile(heartbeat: HeartbeatStatus, list: ListingStatus) -> MembershipDecision {
    match (heartbeat, list) {
        (HeartbeatStatus::Fresh(EntryState::Leaving), _)
        | (HeartbeatStatus::Fresh(_), ListingStatus::Listed(VmState::Leaving)) => {
            MembershipDecision::Member(EntryState::Leaving)
        }
        (HeartbeatStatus::Fresh(state), _) => MembershipDecision::Member(state),
        (HeartbeatStatus::Stale | HeartbeatStatus::Never, ListingStatus::Listed(_)) => {
            MembershipDecision::Missing
        }
        (
            HeartbeatStatus::Stale | HeartbeatStatus::Never,
            ListingStatus::Unlisted | ListingStatus::Unknown,
        ) => MembershipDecision::Gone,
    }
}
