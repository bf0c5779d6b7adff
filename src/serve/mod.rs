//! Network side of the data plane: listener for callers, upstream connections, admin port.

mod accept;
mod admin;
mod caller_server;
mod connection_pool;
mod early_response;
mod http_client;
mod latency_metrics;
mod leaving_flag;
mod limit_metrics;
mod pending_response;
mod pipeline;
mod plain_response;
mod proxy_service;
mod quota_metrics;
mod request_body;
mod upstream_pool;
mod write_timeout;

pub(crate) use self::accept::accept_connection;
pub use self::admin::AdminServer;
pub use self::caller_server::{CallerServer, CallerServerSettings};
pub use self::connection_pool::{ConnectionPool, PoolSettings};
pub use self::http_client::{HttpUpstreamClient, ResponseFraming, UpstreamBody};
pub use self::latency_metrics::LatencyMetrics;
pub use self::leaving_flag::LeavingFlag;
pub use self::limit_metrics::LimitMetrics;
pub use self::pipeline::{
    AheadQueue, HeadScanner, PipelineMetrics, QueueLimits, RequestStarter, ScanStep, ScannedHead,
};
pub(crate) use self::plain_response::{metrics_response, plain_response};
pub use self::proxy_service::{ProxyService, ProxySettings, RequestOrigin};
pub use self::quota_metrics::QuotaMetrics;
pub use self::upstream_pool::{
    ConnectionPermit, Poolable, PooledConnection, RequestDigest, UpstreamPool, UpstreamPoolSettings,
};
