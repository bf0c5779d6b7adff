//! Helpers that no other module owns: hash maps, random numbers, settings files, durations as
//! text, texts in log lines, the log writer and a stable hash.

pub mod bounded_writer;
pub mod duration_text;
pub mod fast_map;
pub mod fnv;
pub mod log_text;
pub mod random;
pub mod settings_file;

pub use self::bounded_writer::{BoundedWriter, LogFlushHandle};
pub use self::fast_map::{FastMap, FastSet};
pub use self::fnv::fnv1a;
pub use self::log_text::shortened;
pub use self::random::{SeededRandom, SharedRandom};
