//! The open-loop load generator of `heatherfall-load run`.
//!
//! ```text
//! settings -> arrival schedule -> caller -> address query -> request -> outcome -> stats -> report
//! ```
//!
//! Requests are sent at the times of a seeded schedule, whether or not earlier ones have finished,
//! and latency is measured from the scheduled time. This avoids coordinated omission: a slow server
//! would otherwise delay the generator and so hide its tail latency.

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
