//! HTTP API of an entry: readiness for the platform, addresses for callers, metrics for operators.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::header::{CONTENT_TYPE, HeaderValue};
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use prometheus::Registry;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::core::VmId;
use crate::fleet::codec::DeploymentCodec;
use crate::fleet::directory::EntryDirectory;
use crate::fleet::state::FleetState;
use crate::membership::EntryState;
use crate::serve::{accept_connection, metrics_response, plain_response};

const METRICS_PATH: &str = "/metrics";

/// Serves the readiness, directory and control listeners, each of which answers every path.
#[derive(Debug)]
pub struct ControlApi<D> {
    codec: D,
    vm: VmId,
    state: Arc<FleetState<D>>,
    directory: EntryDirectory,
    registry: Registry,
}

impl<D: DeploymentCodec> ControlApi<D> {
    /// Creates the API of one entry.
    pub fn new(
        codec: D,
        vm: VmId,
        state: Arc<FleetState<D>>,
        directory: EntryDirectory,
        registry: Registry,
    ) -> Self {
        Self { codec, vm, state, directory, registry }
    }

    /// Serves one listener until `stop` is cancelled.
    pub async fn serve(self: Arc<Self>, listener: TcpListener, stop: CancellationToken) {
        loop {
            let (stream, _) = tokio::select! {
                () = stop.cancelled() => return,
                accepted = accept_connection(&listener) => accepted,
            };
            let api = Arc::clone(&self);
            tokio::spawn(async move {
                let service = service_fn(|request: Request<Incoming>| {
                    let response = api.respond(request.uri().path(), request.uri().query());
                    async move { Ok::<_, Infallible>(response) }
                });
                // An error means that the client broke the connection.
                let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
            });
        }
    }

    /// Returns the response to a request for `path`.
    pub fn respond(&self, path: &str, query: Option<&str>) -> Response<Full<Bytes>> {
        let names = self.codec.names();
        if path == names.ready_path {
            return self.readiness();
        }
        if path == names.directory_path {
            return self.addresses(query.unwrap_or_default());
        }
        if path == METRICS_PATH {
            self.state.update_metrics();
            return metrics_response(&self.registry);
        }
        plain_response(StatusCode::NOT_FOUND, Bytes::from_static(b"not found\n"))
    }

    fn readiness(&self) -> Response<Full<Bytes>> {
        let state = self.state.membership.load().find(&self.vm).map(|entry| entry.state);
        if state == Some(EntryState::Ready) {
            return plain_response(StatusCode::OK, Bytes::from_static(b"ready\n"));
        }
        plain_response(StatusCode::SERVICE_UNAVAILABLE, Bytes::from_static(b"not ready\n"))
    }

    fn addresses(&self, query: &str) -> Response<Full<Bytes>> {
        let query = self.codec.directory_query(query);
        let addresses: Vec<SocketAddr> = self.directory.addresses();
        if addresses.is_empty() {
            log::info!(
                target: "directory",
                "no ready or leaving entry to return domain={}",
                query.failure_domain,
            );
            return plain_response(
                StatusCode::SERVICE_UNAVAILABLE,
                Bytes::from_static(b"no entry\n"),
            );
        }
        let body = self.codec.directory_response(&addresses, self.directory.lifetime());
        let mut response = plain_response(StatusCode::OK, body);
        let json = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, json);
        response
    }
}
