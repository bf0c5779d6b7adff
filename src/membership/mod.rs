//! Which entry VMs there are and which of them callers should use.

mod address_book;

pub use self::address_book::{AddressBook, AddressEntry, EntryAddress};
