//! HTTP server shared by the stand-ins.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Request, Response};
use http_body::Body;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::{TokioExecutor, TokioIo};
use hyper_util::server::conn::auto;
use tokio::net::TcpListener;
use tokio::task::{JoinHandle, JoinSet};

/// A running stand-in server; dropping it closes the listener and every connection.
#[derive(Debug)]
pub struct ServerHandle {
    addr: SocketAddr,
    task: JoinHandle<()>,
}

impl ServerHandle {
    /// Bound address; has the actual port if port 0 was asked for.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }
}

impl Drop for ServerHandle {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Serves `handler` on `addr`; port 0 picks a free port.
///
/// # Errors
///
/// Returns the error of binding the address.
pub(crate) async fn serve<H, F, B, E>(addr: SocketAddr, handler: H) -> std::io::Result<ServerHandle>
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<B>, E>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    E: Into<Box<dyn std::error::Error + Send + Sync>> + 'static,
{
    let listener = TcpListener::bind(addr).await?;
    let addr = listener.local_addr()?;
    let task = tokio::spawn(accept_loop(listener, handler));
    Ok(ServerHandle { addr, task })
}

async fn accept_loop<H, F, B, E>(listener: TcpListener, handler: H)
where
    H: Fn(Request<Incoming>) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Result<Response<B>, E>> + Send + 'static,
    B: Body<Data = Bytes> + Send + 'static,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
    E: Into<Box<dyn std::error::Error + Send + Sync>> + 'static,
{
    let mut connections = JoinSet::new();
    loop {
        // Removes finished connections, so that the set does not grow with every connection.
        while connections.try_join_next().is_some() {}
        let Ok((stream, _)) = listener.accept().await else { continue };
        let _ = stream.set_nodelay(true);
        let handler = handler.clone();
        connections.spawn(async move {
            let service = service_fn(handler);
            let builder = auto::Builder::new(TokioExecutor::new());
            let _ = builder.serve_connection(TokioIo::new(stream), service).await;
        });
    }
}
