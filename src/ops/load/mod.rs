//! The open-loop load generator.
//!
//! ```text
//! settings -> arrivals -> caller -> address answer -> request -> outcome -> tally -> report
//! ```
//!
//! Requests start at times drawn in advance, whether or not earlier ones have finished, and
//! latency counts from the drawn time: a slow server cannot hide its tail by delaying the
//! generator (coordinated omission).

mod arrivals;
mod caller;
mod compare;
mod plot;
mod report;
mod run;
mod settings;

pub use self::compare::LoadComparison;
pub use self::plot::write_plot;
pub use self::report::{ClassFigures, LatencyPoint, LoadReport};
pub use self::run::{LoadProgress, run};
pub use self::settings::{ClassLoad, LoadSettings, WorkloadKind};
