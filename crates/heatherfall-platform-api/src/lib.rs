//! Interface to the platform's object API.
//!
//! The platform stores versioned objects, lists them, reports changes to long-poll watches, and
//! publishes the list of VMs. [`PlatformStore`] is the whole interface. The daemon's HTTP client
//! and the in-memory stand-in both implement it, so that the code above it can be tested without
//! sockets.
//!
//! Every write is conditional. Versions are revisions of the whole store: every later write, of any
//! object, has a higher revision, so that a list at revision `r` reflects exactly the writes up to
//! `r`.

mod error;
mod object;
mod spec_shape;
mod store;
pub mod wire;

pub use crate::error::StoreError;
pub use crate::object::{
    LabelMap, ObjectDraft, ObjectEnvelope, ObjectList, Revision, StoreEra, StorePosition, VmList,
    VmRecord, VmState, WatchBatch, WatchEvent,
};
pub use crate::spec_shape::{FieldShape, SpecShape};
pub use crate::store::{MAX_VALUE_BYTES, PlatformStore, Precondition, WatchRequest};
