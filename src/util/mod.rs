//! Helpers that no other module owns: hash maps, random numbers, settings files, durations as
//! text, texts in log lines, the log writer, a stable hash and bodies with a limit.

pub mod bounded_writer;
pub mod duration_text;
pub mod fast_map;
pub mod fnv;
pub mod limited_body;
pub mod log_text;
pub mod random;
pub mod settings_file;

pub use self::bounded_writer::{BoundedWriter, LogFlushHandle};
pub use self::fast_map::{FastMap, FastSet};
pub use self::fnv::fnv1a;
pub use self::limited_body::{LimitedBodyError, discard_limited, read_limited};
pub use self::log_text::shortened;
pub use self::random::{SeededRandom, SharedRandom};
