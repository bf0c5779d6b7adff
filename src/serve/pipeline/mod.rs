//! Reads ahead on callers' HTTP/1.1 connections and starts pipelined requests early.
//!
//! hyper serves the requests of a connection one after the other. [`ReadAheadStream`] stands between
//! the socket and hyper: it passes on the bytes unchanged and in order, and recognises the heads of
//! further requests with [`HeadScanner`]. [`AheadQueue`] holds these heads, decides which requests may
//! start while an earlier one is being answered, and pairs them with hyper's calls of the service.
//! [`PipelinedConnection`] polls hyper and the read-ahead in one task.
//!
//! `docs/design/pipelining.md` compares the alternatives and lists the effect of each failure.

mod ahead_queue;
mod connection;
mod head_scanner;
mod pipeline_metrics;
mod read_ahead;

pub use self::ahead_queue::{AheadQueue, QueueLimits, RequestStarter};
pub(super) use self::connection::PipelinedConnection;
pub use self::head_scanner::{HeadScanner, ScanStep, ScannedHead};
pub use self::pipeline_metrics::PipelineMetrics;
pub(super) use self::read_ahead::{ReadAhead, SharedQueue, lock};
