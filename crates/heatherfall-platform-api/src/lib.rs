//! The platform's object API as heatherfall sees it.
//!
//! The platform keeps versioned objects, lists them, reports changes to a waiting watch, and
//! publishes the list of VMs. [`PlatformStore`] is the whole interface: the daemon's HTTP client
//! and the in-memory stand-in both implement it, so that every decision above it can be driven
//! without a socket.
//!
//! Every write is conditional. Versions are revisions of the whole store: a later write anywhere
//! has a higher number, so a list taken at revision `r` holds exactly the writes up to `r`.

mod error;
mod object;
mod store;
pub mod wire;

pub use crate::error::StoreError;
pub use crate::object::{
    LabelMap, ObjectDraft, ObjectEnvelope, ObjectList, Revision, VmList, VmRecord, VmState,
    WatchBatch, WatchEvent,
};
pub use crate::store::{MAX_VALUE_BYTES, PlatformStore, Precondition, WatchRequest};
