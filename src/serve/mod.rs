//! Sockets of the request plane: callers' listener, upstream connections, admin port.

mod admin;
mod caller_server;
mod connection_pool;
mod front;
mod host_pool;
mod http_client;
mod latency_metrics;
mod limit_metrics;
mod plain_reply;
mod request_body;
mod stall_guard;

pub use self::admin::AdminServer;
pub use self::caller_server::{CallerServer, CallerServerSettings};
pub use self::connection_pool::{ConnectionPool, PoolSettings};
pub use self::front::{FrontService, FrontSettings, LeaveSwitch};
pub use self::host_pool::{
    ConnectionPlace, HeldConnection, HostPool, HostPoolSettings, PooledConnection,
};
pub use self::http_client::{AnswerFraming, HttpUpstreamClient, UpstreamBody};
pub use self::latency_metrics::LatencyMetrics;
pub use self::limit_metrics::LimitMetrics;
pub(crate) use self::plain_reply::{metrics_reply, reply};
