//! The view of the entry VMs that the request path reads.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};

use crate::core::{FailureDomain, VmId};

/// Shared pointer to the current view, replaced as a whole.
pub type SharedMembership = Arc<ArcSwap<MembershipView>>;

/// Lifecycle state of an entry VM.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// Has no configuration yet and gets no callers.
    Starting,
    /// Serves callers; the only state in which callers are sent to the entry.
    Ready,
    /// About to stop; still serves callers that have not moved on.
    Leaving,
}

/// One live entry VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// Identity of the VM.
    pub vm: VmId,
    /// Failure domain of the VM.
    pub failure_domain: FailureDomain,
    /// Address on which callers' requests are accepted.
    pub caller_address: SocketAddr,
    /// Address on which peers' calls are accepted.
    pub peer_address: SocketAddr,
    /// Lifecycle state.
    pub state: EntryState,
    /// Whether it has a path to the upstreams. An entry without one forwards requests to others.
    pub has_path: bool,
}

/// The entry VMs that are alive, sorted by identity.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct MembershipView {
    /// The entries, in any state.
    pub entries: Vec<EntryRecord>,
}

impl MembershipView {
    /// The entries that callers may be sent to.
    pub fn ready(&self) -> impl Iterator<Item = &EntryRecord> {
        self.entries.iter().filter(|entry| entry.state == EntryState::Ready)
    }

    /// Whether the view has an entry on `vm` that callers may be sent to.
    pub fn is_ready(&self, vm: &VmId) -> bool {
        self.find(vm).is_some_and(|entry| entry.state == EntryState::Ready)
    }

    /// The entry on `vm`, in any state.
    pub fn find(&self, vm: &VmId) -> Option<&EntryRecord> {
        self.entries.iter().find(|entry| entry.vm == *vm)
    }
}
