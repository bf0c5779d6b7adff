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

pub use self::compare::LoadTestComparison;
pub use self::plot::write_plot;
pub use self::report::{ClassStats, LatencyPoint, LoadTestReport};
pub use self::run::{LoadTestProgress, run};
pub use self::settings::{LoadTestClass, LoadTestSettings, WorkloadMix};
