//! HTTP server for callers: HTTP/1.1 and HTTP/2 on one port, with graceful shutdown.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use futures_util::FutureExt;
use http::Request;
use http::header::CONNECTION;
use http_body::Body;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::server::graceful::GracefulShutdown;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::balance::UpstreamPicker;
use crate::ledger::ClaimLedger;
use crate::request::{CallerAddress, UpstreamClient};
use crate::serve::accept::accept_connection;
use crate::serve::early_response::EarlyStarter;
use crate::serve::pipeline::{
    AheadQueue, PipelinedConnection, QueueLimits, ReadAhead, SharedQueue, lock,
};
use crate::serve::proxy_service::{ProxyService, RequestOrigin};
use crate::serve::write_timeout::WriteTimeoutStream;

/// Time after the listener has closed within which the requests of connections that were just accepted
/// arrive. hyper closes connections of which it has read nothing as soon as it shuts down.
const FIRST_READ_TIME: Duration = Duration::from_millis(100);
/// Most connections that wait in the queue of a listener; tokio sets this limit.
const MAX_QUEUED_CONNECTIONS: usize = 1024;

/// Timeouts and limits of callers' connections.
#[derive(Clone, Debug)]
pub struct CallerServerSettings {
    /// Longest time for the head of an HTTP/1.1 request to arrive.
    pub header_timeout: Duration,
    /// Largest request head, in bytes.
    pub max_head_bytes: usize,
    /// A connection is closed after this time without progress in writing a response.
    pub write_timeout: Duration,
    /// Interval of HTTP/2 keep-alive pings.
    pub ping_interval: Duration,
    /// An HTTP/2 connection is closed if a ping is not acknowledged within this time.
    pub ping_timeout: Duration,
    /// Pipelined requests of an HTTP/1.1 connection that may run ahead of the one being answered; 0 to
    /// run one after the other. Ignored for requests of peers.
    pub max_ahead: u32,
}

impl Default for CallerServerSettings {
    fn default() -> Self {
        Self {
            header_timeout: Duration::from_secs(10),
            max_head_bytes: 64 << 10,
            write_timeout: Duration::from_secs(20),
            ping_interval: Duration::from_secs(15),
            ping_timeout: Duration::from_secs(10),
            max_ahead: 0,
        }
    }
}

/// HTTP server for callers, bound to its address.
#[derive(Debug)]
pub struct CallerServer {
    listener: TcpListener,
    settings: CallerServerSettings,
    origin: RequestOrigin,
}

impl CallerServer {
    /// Binds the address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub async fn bind(addr: SocketAddr, settings: CallerServerSettings) -> std::io::Result<Self> {
        let listener = TcpListener::bind(addr).await?;
        Ok(Self { listener, settings, origin: RequestOrigin::default() })
    }

    /// Sets who sends the requests.
    #[must_use]
    pub fn with_origin(mut self, origin: RequestOrigin) -> Self {
        self.origin = origin;
        self
    }

    /// Address that the server listens on, with the actual port.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the socket.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves until `stop` is cancelled, then shuts down gracefully: closes the listener, lets
    /// connections finish their requests, and waits for all requests to complete.
    pub async fn run<C: UpstreamClient, P: UpstreamPicker, L: ClaimLedger>(
        self,
        proxy: Arc<ProxyService<C, P, L>>,
        stop: CancellationToken,
    ) {
        let graceful = GracefulShutdown::new();
        loop {
            tokio::select! {
                () = stop.cancelled() => break,
                (stream, caller) = accept_connection(&self.listener) => {
                    let caller = CallerAddress(caller.ip());
                    self.serve(stream, caller, Arc::clone(&proxy), &graceful, &stop);
                }
            }
        }
        self.accept_queued(&proxy, &graceful, &stop);
        drop(self.listener);
        tokio::time::sleep(FIRST_READ_TIME).await;
        graceful.shutdown().await;
        // At-most-once requests continue after their callers have disconnected.
        proxy.wait_for_at_most_once_tasks().await;
    }

    /// Accepts the connections that are waiting. Their callers may have sent requests, and would see a
    /// reset when the listener closes.
    fn accept_queued<C: UpstreamClient, P: UpstreamPicker, L: ClaimLedger>(
        &self,
        proxy: &Arc<ProxyService<C, P, L>>,
        graceful: &GracefulShutdown,
        stop: &CancellationToken,
    ) {
        for _ in 0..MAX_QUEUED_CONNECTIONS {
            // Unconstrained, since the budget of the task would end this early.
            let accepted = tokio::task::unconstrained(self.listener.accept()).now_or_never();
            let Some(Ok((stream, caller))) = accepted else { return };
            self.serve(stream, CallerAddress(caller.ip()), Arc::clone(proxy), graceful, stop);
        }
    }

    fn serve<C: UpstreamClient, P: UpstreamPicker, L: ClaimLedger>(
        &self,
        stream: TcpStream,
        caller: CallerAddress,
        proxy: Arc<ProxyService<C, P, L>>,
        graceful: &GracefulShutdown,
        stop: &CancellationToken,
    ) {
        let _ = stream.set_nodelay(true);
        let max_head_bytes = self.settings.max_head_bytes;
        let max_ahead = match self.origin {
            RequestOrigin::Callers => self.settings.max_ahead as usize,
            RequestOrigin::Peers => 0,
        };
        let queue = AheadQueue::new(QueueLimits { max_ahead, max_head_bytes });
        let queue: SharedQueue<_> = Arc::new(Mutex::new(queue));
        let (read_ahead, stream) = ReadAhead::new(stream, max_head_bytes, Arc::clone(&queue));
        let abandoned = proxy.abandoned_connections();
        let starter =
            EarlyStarter { proxy: Arc::clone(&proxy), caller: caller.0, stop: stop.clone() };
        let origin = self.origin;
        let service = service_fn(move |request: Request<Incoming>| {
            // Taken over in the call itself, which the server makes in the order of the heads.
            let (parts, body) = request.into_parts();
            let early = lock(&queue).take_over(&parts, !body.is_end_stream());
            let mut request = Request::from_parts(parts, body);
            request.extensions_mut().insert(caller);
            let (proxy, queue) = (Arc::clone(&proxy), Arc::clone(&queue));
            // Boxed, because the connection keeps room for this future for as long as it lives, also while
            // a response is being read and between requests.
            Box::pin(async move {
                let mut response = Arc::clone(&proxy).serve_request(request, origin, early).await?;
                // Upstreams already run the requests that were started ahead, so the last of them
                // closes the connection of a leaving entry.
                if proxy.leaving_flag().is_leaving() && lock(&queue).running() > 0 {
                    response.headers_mut().remove(CONNECTION);
                }
                Ok::<_, Infallible>(response)
            })
        });
        let stream = WriteTimeoutStream::new(stream, self.settings.write_timeout);
        let builder = self.connection_builder();
        let connection = builder.serve_connection(TokioIo::new(stream), service).into_owned();
        let watched = graceful.watch(connection);
        // An error of the connection means that the caller's connection broke, or that this node
        // closed it to signal a truncated response.
        tokio::spawn(PipelinedConnection::new(watched, read_ahead, starter, abandoned));
    }

    fn connection_builder(&self) -> auto::Builder<TokioExecutor> {
        let mut builder = auto::Builder::new(TokioExecutor::new());
        builder
            .http1()
            .timer(TokioTimer::new())
            .header_read_timeout(self.settings.header_timeout)
            .max_buf_size(self.settings.max_head_bytes);
        builder
            .http2()
            .timer(TokioTimer::new())
            .max_header_list_size(self.settings.max_head_bytes as u32)
            .keep_alive_interval(self.settings.ping_interval)
            .keep_alive_timeout(self.settings.ping_timeout);
        builder
    }
}
