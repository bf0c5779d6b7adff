//! HTTP server of the admin port: `/metrics`, `/healthz`, `/readyz` and `/status`.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use prometheus::Registry;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::core::ResultCode;
use crate::kernel::{ServiceKernel, ServiceName};
use crate::ops::node_status::StatusSource;
use crate::serve::accept::accept_connection;
use crate::serve::plain_response::{metrics_response, plain_response};

/// Admin server of a node.
#[derive(Debug)]
pub struct AdminServer {
    listener: TcpListener,
    registry: Registry,
    status: Arc<StatusSource>,
    kernel: ServiceKernel,
}

impl AdminServer {
    /// Binds the address; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the I/O error if the address cannot be bound.
    pub async fn bind(
        addr: SocketAddr,
        registry: Registry,
        status: Arc<StatusSource>,
        kernel: ServiceKernel,
    ) -> std::io::Result<Self> {
        Ok(Self { listener: TcpListener::bind(addr).await?, registry, status, kernel })
    }

    /// Address that the server listens on, with the actual port.
    ///
    /// # Errors
    ///
    /// Returns the I/O error of the socket.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Accepts connections until `stop` is cancelled.
    pub async fn run(self, stop: CancellationToken) {
        let server = Arc::new(self);
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                (stream, _) = accept_connection(&server.listener) => {
                    let server = Arc::clone(&server);
                    tokio::spawn(async move {
                        let service = service_fn(|request: Request<Incoming>| {
                            let server = Arc::clone(&server);
                            async move {
                                Ok::<_, Infallible>(server.respond(request.uri().path()).await)
                            }
                        });
                        let stream = TokioIo::new(stream);
                        let _ = http1::Builder::new().serve_connection(stream, service).await;
                    });
                }
            }
        }
    }

    async fn respond(&self, path: &str) -> Response<Full<Bytes>> {
        match path {
            "/healthz" => self.health().await,
            "/readyz" => self.readiness(),
            "/metrics" => metrics_response(&self.registry),
            "/status" => plain_response(StatusCode::OK, self.status.to_json().into()),
            _ => plain_response(StatusCode::NOT_FOUND, "not found\n".into()),
        }
    }

    async fn health(&self) -> Response<Full<Bytes>> {
        let failed_services = self.kernel.failed_services().await;
        if failed_services.is_empty() {
            return plain_response(StatusCode::OK, "ok\n".into());
        }
        let names: Vec<&str> = failed_services.into_iter().map(ServiceName::as_str).collect();
        let code = ResultCode::ServiceFailed;
        let text = format!("{code}: {} services={}\n", code.summary(), names.join(","));
        plain_response(StatusCode::SERVICE_UNAVAILABLE, text.into())
    }

    fn readiness(&self) -> Response<Full<Bytes>> {
        match self.status.unready_reason() {
            None => plain_response(StatusCode::OK, "ready\n".into()),
            Some(code) => {
                let text = format!("{code}: {}\n", code.summary());
                plain_response(StatusCode::SERVICE_UNAVAILABLE, text.into())
            }
        }
    }
}
