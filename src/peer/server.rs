//! The listener for peers' calls: `tonic` services over HTTP/2 that require authentication.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::time::Duration;

use http::Request;
use hyper::body::Incoming;
use hyper::service::{Service, service_fn};
use hyper_util::rt::{TokioExecutor, TokioIo, TokioTimer};
use hyper_util::server::conn::auto;
use hyper_util::service::TowerToHyperService;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tonic::Status;
use tonic::service::Routes;

use crate::core::ResultCode;
use crate::peer::auth::PeerAuth;
use crate::serve::accept_connection;

/// Interval of keep-alive pings on a connection, and time limit of their responses.
const KEEP_ALIVE: Duration = Duration::from_secs(5);

/// A bound listener for peers' calls.
#[derive(Debug)]
pub struct PeerServer {
    listener: TcpListener,
    auth: PeerAuth,
}

impl PeerServer {
    /// Binds `addr`; port 0 picks a free port.
    ///
    /// # Errors
    ///
    /// Returns the error of binding the address.
    pub async fn bind(addr: SocketAddr, auth: PeerAuth) -> std::io::Result<Self> {
        Ok(Self { listener: TcpListener::bind(addr).await?, auth })
    }

    /// Address on which the server listens.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.listener.local_addr()
    }

    /// Serves `routes` until `stop` is cancelled, then closes every connection.
    pub async fn run(self, routes: Routes, stop: CancellationToken) {
        let routes = routes.prepare();
        loop {
            tokio::select! {
                () = stop.cancelled() => return,
                (stream, source) = accept_connection(&self.listener) => {
                    let routes = TowerToHyperService::new(routes.clone());
                    let served = serve(stream, source, routes, self.auth.clone());
                    tokio::spawn(stop.clone().run_until_cancelled_owned(served));
                }
            }
        }
    }
}

async fn serve(
    stream: TcpStream,
    source: SocketAddr,
    routes: TowerToHyperService<Routes>,
    auth: PeerAuth,
) {
    let _ = stream.set_nodelay(true);
    let service = service_fn(move |mut request: Request<Incoming>| {
        let verified = auth.verify(request.uri().path(), request.headers());
        let response = match verified {
            Ok(sender) => {
                request.extensions_mut().insert(sender);
                Some(routes.call(request))
            }
            Err(error) => {
                auth.record_refused(source.ip(), error);
                None
            }
        };
        async move {
            let Some(response) = response else {
                let refusal = Status::unauthenticated(ResultCode::PeerUnauthenticated.to_string());
                return Ok::<_, Infallible>(refusal.into_http());
            };
            response.await
        }
    });
    let mut builder = auto::Builder::new(TokioExecutor::new()).http2_only();
    builder
        .http2()
        .timer(TokioTimer::new())
        .keep_alive_interval(Some(KEEP_ALIVE))
        .keep_alive_timeout(KEEP_ALIVE);
    // An error here means that the peer's connection broke; the peer calls again.
    let _ = builder.serve_connection(TokioIo::new(stream), service).await;
}
