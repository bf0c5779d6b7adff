//! Which entry VMs there are and which of them callers should use.

mod address_book;
mod freshness;
mod view;

pub use self::address_book::{AddressBook, EntryAddress};
pub use self::freshness::{ConfigFreshness, MAX_CONFIRMED_AGE};
pub use self::view::{EntryRecord, EntryState, MembershipView, SharedMembership};
