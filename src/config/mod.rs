//! Compiles objects into a [`ConfigSnapshot`](crate::core::ConfigSnapshot).

mod compile;
mod object_set;

pub use self::compile::{CompileOutcome, ObjectFault, check_object, compile};
pub use self::object_set::ObjectSet;
