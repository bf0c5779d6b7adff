//! The entry VMs as this node sees them.

use std::net::SocketAddr;
use std::sync::Arc;

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};

use crate::core::{FailureDomain, VmId};

/// Pointer to the present view.
pub type SharedMembership = Arc<ArcSwap<MembershipView>>;

/// What an entry VM is doing.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// Has no configuration yet.
    Starting,
    /// Serves callers.
    Ready,
    /// Serves callers that still come and is about to stop.
    Leaving,
}

/// One entry VM.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct EntryRecord {
    /// Identity.
    pub vm: VmId,
    /// Failure domain.
    pub failure_domain: FailureDomain,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address for peers.
    pub peer_address: SocketAddr,
    /// What it is doing.
    pub state: EntryState,
}

/// The entry VMs that are alive, sorted by identity.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct MembershipView {
    /// The entries.
    pub entries: Vec<EntryRecord>,
}

impl MembershipView {
    /// Entries that callers may be sent to.
    pub fn ready(&self) -> impl Iterator<Item = &EntryRecord> {
        self.entries.iter().filter(|entry| entry.state == EntryState::Ready)
    }

    /// Whether the entry with this identity is one of those that callers may be sent to.
    pub fn is_ready(&self, vm: &VmId) -> bool {
        self.find(vm).is_some_and(|entry| entry.state == EntryState::Ready)
    }

    /// The entry with this identity.
    pub fn find(&self, vm: &VmId) -> Option<&EntryRecord> {
        self.entries.iter().find(|entry| entry.vm == *vm)
    }
}
