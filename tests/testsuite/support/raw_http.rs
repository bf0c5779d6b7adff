//! An entry between a scripted upstream and a caller that both exchange raw bytes with it.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use heatherfall::balance::TwoChoicesPicker;
use heatherfall::core::{BudgetSpec, SharedSnapshot};
use heatherfall::membership::{
    AddressResolver, AssignmentSettings, ConfigFreshness, SharedMembership,
};
use heatherfall::request::{DataPlane, ExecutionSettings};
use heatherfall::serve::{
    CallerServer, CallerServerSettings, ConnectionPool, HttpUpstreamClient, LatencyMetrics,
    LeavingFlag, PoolSettings, ProxyService, ProxySettings,
};
use heatherfall::util::SeededRandom;
use prometheus::Registry;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::support::single_node_ledger;
use crate::support::snapshot_for;

/// Response of the upstream to the n-th request; the last one also serves all later requests.
#[derive(Clone, Debug)]
pub(crate) enum RawResponse {
    /// Writes the bytes and waits for the next request.
    KeepAlive(Vec<u8>),
    /// Writes the bytes and closes the connection.
    Close(Vec<u8>),
    /// Waits for [`RawUpstream::release_response`], then writes the bytes.
    Held(Vec<u8>),
}

impl RawResponse {
    pub(crate) fn keep_alive(text: &str) -> Self {
        Self::KeepAlive(text.as_bytes().to_vec())
    }

    pub(crate) fn close(text: &str) -> Self {
        Self::Close(text.as_bytes().to_vec())
    }
}

#[derive(Debug, Default)]
struct RawUpstreamState {
    requests: Mutex<Vec<String>>,
    request_arrived: Notify,
    response_released: Notify,
    connection_aborted: Notify,
}

/// An upstream that responds with given bytes.
#[derive(Clone, Debug)]
pub(crate) struct RawUpstream {
    pub(crate) addr: SocketAddr,
    state: Arc<RawUpstreamState>,
}

impl RawUpstream {
    pub(crate) async fn start(responses: Vec<RawResponse>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let state = Arc::new(RawUpstreamState::default());
        let upstream = Self { addr, state: Arc::clone(&state) };
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serve(stream, responses.clone(), Arc::clone(&state)));
            }
        });
        upstream
    }

    pub(crate) fn requests(&self) -> Vec<String> {
        self.state.requests.lock().unwrap().clone()
    }

    /// Waits until a request has arrived.
    pub(crate) async fn request_arrived(&self) {
        self.state.request_arrived.notified().await;
    }

    /// Lets the upstream write a [`RawResponse::Held`].
    pub(crate) fn release_response(&self) {
        self.state.response_released.notify_one();
    }

    /// Waits until the entry has closed a connection before its response was complete.
    pub(crate) async fn connection_aborted(&self) {
        self.state.connection_aborted.notified().await;
    }
}

async fn serve(mut stream: TcpStream, responses: Vec<RawResponse>, state: Arc<RawUpstreamState>) {
    while let Some(request) = read_request(&mut stream).await {
        let index = {
            let mut requests = state.requests.lock().unwrap();
            requests.push(request);
            requests.len() - 1
        };
        state.request_arrived.notify_one();
        match &responses[index.min(responses.len() - 1)] {
            RawResponse::KeepAlive(bytes) => {
                if stream.write_all(bytes).await.is_err() {
                    state.connection_aborted.notify_one();
                    return;
                }
            }
            RawResponse::Close(bytes) => {
                let _ = stream.write_all(bytes).await;
                return;
            }
            RawResponse::Held(bytes) => {
                let mut buffer = [0; 1];
                tokio::select! {
                    () = state.response_released.notified() => {}
                    _ = stream.read(&mut buffer) => {
                        state.connection_aborted.notify_one();
                        return;
                    }
                }
                let _ = stream.write_all(bytes).await;
            }
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
            if body.len() >= length.map_or(0, |length| length.parse().unwrap()) {
                return Some(text);
            }
        }
        let count = stream.read(&mut buffer).await.ok()?;
        if count == 0 {
            return None;
        }
        bytes.extend_from_slice(&buffer[..count]);
    }
}

/// An entry that serves one upstream on loopback; `/read` is idempotent.
pub(crate) struct EntryFixture {
    pub(crate) addr: SocketAddr,
    pub(crate) leaving_flag: LeavingFlag,
    pub(crate) registry: Registry,
    stop: CancellationToken,
    server: tokio::task::JoinHandle<()>,
}

impl EntryFixture {
    pub(crate) async fn start(upstream: &RawUpstream) -> Self {
        Self::with_settings(upstream, CallerServerSettings::default()).await
    }

    pub(crate) async fn with_settings(
        upstream: &RawUpstream,
        settings: CallerServerSettings,
    ) -> Self {
        Self::serving(&[upstream.addr], settings).await
    }

    /// An entry in front of the upstreams at these addresses.
    pub(crate) async fn serving(upstreams: &[SocketAddr], settings: CallerServerSettings) -> Self {
        let freshness = Arc::new(ConfigFreshness::default());
        freshness.confirm(Duration::ZERO);
        let route = json!({ "deadline": "10s" });
        let data_plane = DataPlane::new(
            snapshot_for(upstreams, route, BudgetSpec::default()),
            HttpUpstreamClient::new(ConnectionPool::new(
                PoolSettings::default(),
                SharedMembership::default(),
            )),
            TwoChoicesPicker::new(SeededRandom::new(3)),
            single_node_ledger(),
            freshness,
            ExecutionSettings::default(),
        );
        let registry = Registry::new();
        let proxy = ProxyService::new(
            data_plane,
            Arc::new(AddressResolver::new(
                SharedMembership::default(),
                SharedSnapshot::default(),
                AssignmentSettings::default(),
            )),
            LatencyMetrics::new(&registry).unwrap(),
            ProxySettings { max_body_bytes: 1 << 16, ..ProxySettings::default() },
        );
        let server = CallerServer::bind(([127, 0, 0, 1], 0).into(), settings).await.unwrap();
        let addr = server.local_addr().unwrap();
        let stop = CancellationToken::new();
        let leaving_flag = proxy.leaving_flag();
        let server = tokio::spawn(server.run(Arc::new(proxy), stop.clone()));
        Self { addr, leaving_flag, registry, stop, server }
    }

    /// Stops the entry and waits for its requests in flight.
    pub(crate) async fn stop(self) {
        self.stop.cancel();
        self.server.await.unwrap();
    }
}

/// Sends `request` as it is and returns everything that arrives before the connection ends.
pub(crate) async fn send_raw(addr: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    // A connection reset after the response also ends the connection.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}
