//! Which entry VMs there are and which of them callers should use.
//!
//! [`ControlNode`] is one node's part in the exchange of heartbeats, generations and drain marks;
//! [`MembershipDriver`] runs it on the platform and the peers. One node of each failure domain,
//! its relay, talks to the platform and is the root of the tree that feeds the others.

mod address_book;
mod answer;
mod assignment;
mod board;
mod control_node;
mod drain_board;
mod driver;
mod fanout;
mod freshness;
mod lease;
mod peer_cursor;
mod reconcile;
mod relay_driver;
mod view;
mod view_table;

pub use self::address_book::{AddressBook, AddressQuery, EntryAddress};
pub use self::assignment::{
    AssignedEntry, AssignmentSettings, DomainAssignment, assign, rendezvous_score,
};
pub use self::board::{
    HEARTBEAT_TIMEOUT, HeartbeatBoard, HeartbeatSource, MergeEffect, MergeOutcome,
};
pub use self::control_node::{ControlNode, MAX_EXCHANGE_WAIT, NodeIdentity};
pub use self::drain_board::{DrainBoard, DrainNews};
pub use self::driver::{MembershipDriver, MembershipDriverArgs};
pub use self::fanout::{ParentCandidate, candidates, relay_of, rival_relays};
pub use self::freshness::{ConfigFreshness, MAX_CONFIRMED_AGE};
pub use self::lease::{
    LEASE_KIND, LEASE_LIFETIME, LEASE_RENEWAL, LeaseKeeper, LeaseSpec, LeaseState,
};
pub use self::reconcile::{EntryVerdict, HeartbeatSight, ListSight, reconcile};
pub use self::view::{EntryRecord, EntryState, MembershipView, SharedMembership};
pub use self::view_table::{ViewDelta, ViewTable};
