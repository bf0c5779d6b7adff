//! Reconciles heartbeats with the platform's VM list.
//!
//! The list lags in both directions, so heartbeats decide whether an entry is alive. The list adds
//! two things that a heartbeat cannot tell: that the platform is about to stop a VM, and that a VM
//! exists from which no heartbeat arrives. `docs/design/membership.md` has the truth table.

use crate::membership::view::EntryState;
use crate::platform::VmState;

/// Heartbeat status of a VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HeartbeatStatus {
    /// The last heartbeat is within the heartbeat timeout and reports this state.
    Fresh(EntryState),
    /// The last heartbeat is older than the heartbeat timeout.
    Stale,
    /// No heartbeat is known.
    Never,
}

/// Status of a VM in the platform's list.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ListingStatus {
    /// The VM is listed with this state.
    Listed(VmState),
    /// The VM is not listed.
    Unlisted,
    /// The list has not been read yet.
    Unknown,
}

/// Result of reconciling one VM.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum MembershipDecision {
    /// The VM runs an entry in this state.
    Member(EntryState),
    /// The VM is listed without a fresh heartbeat: it gets no callers and is reported as missing.
    Missing,
    /// The VM runs no entry.
    Gone,
}

/// Reconciles the heartbeat and the listing of one VM.
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
