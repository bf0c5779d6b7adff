//! Membership of the entry VMs, and the assignment of entries to services.
//!
//! [`ControlNode`] is the state of one node in the exchange of heartbeats, generations and drain
//! hints; [`MembershipDriver`] runs it against the platform and the peers. One node of each failure
//! domain, its relay, calls the platform and is the root of the fan-out tree that updates the
//! others.

mod address_resolver;
mod assignment;
mod control_node;
mod drain_hint_table;
mod driver;
mod exchange_handler;
mod fanout;
mod freshness;
mod heartbeat_table;
mod lease;
mod peer_sync_state;
mod reconcile;
mod relay_driver;
mod replicated_view;
mod view;

pub use self::address_resolver::{AddressQuery, AddressResolver, EntryAddress};
pub use self::assignment::{
    AssignedEntry, AssignmentSettings, DomainAssignment, assign_entries, rendezvous_score,
};
pub use self::control_node::{ControlNode, MAX_EXCHANGE_WAIT, NodeIdentity};
pub use self::drain_hint_table::{DrainHintDelta, DrainHintTable};
pub use self::driver::{MembershipDriver, MembershipDriverArgs};
pub use self::fanout::{ParentCandidate, competing_relays, parent_candidates, relay_of};
pub use self::freshness::{ConfigFreshness, MAX_CONFIRMED_AGE};
pub use self::heartbeat_table::{
    HEARTBEAT_TIMEOUT, HeartbeatSource, HeartbeatTable, MergeEffect, MergeOutcome,
};
pub use self::lease::{
    LEASE_DURATION, LEASE_KIND, LEASE_RENEW_INTERVAL, LeaseManager, LeaseSpec, LeaseState,
};
pub use self::reconcile::{HeartbeatStatus, ListingStatus, MembershipDecision, reconcile};
pub use self::replicated_view::{ReplicatedView, ViewDelta};
pub use self::view::{EntryRecord, EntryState, MembershipView, SharedMembership};
