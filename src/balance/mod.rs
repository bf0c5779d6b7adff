//! Chooses the upstream of an attempt.

mod pick;

pub use self::pick::{PickRequest, RandomPicker, UpstreamPicker};
