//! Both ends of an entry as bytes: a scripted upstream, an entry in between, and a caller.

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
    PoolSettings, ProxyService, ProxySettings,
};
use heatherfall::util::SeededRandom;
use prometheus::Registry;
use serde_json::json;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::support::single_ledger;
use crate::support::snapshot_for;

/// What the upstream does with the n-th request; the last one goes on for ever.
#[derive(Clone, Debug)]
pub(crate) enum RawAnswer {
    /// Writes the bytes and waits for the next request.
    Keep(Vec<u8>),
    /// Writes the bytes and closes the connection.
    Close(Vec<u8>),
    /// Waits for [`RawUpstream::release`] first.
    Held(Vec<u8>),
}

impl RawAnswer {
    pub(crate) fn keep(text: &str) -> Self {
        Self::Keep(text.as_bytes().to_vec())
    }

    pub(crate) fn close(text: &str) -> Self {
        Self::Close(text.as_bytes().to_vec())
    }
}

#[derive(Debug, Default)]
struct Shared {
    requests: Mutex<Vec<String>>,
    arrived: Notify,
    released: Notify,
    broken: Notify,
}

/// An upstream that answers with given bytes.
#[derive(Clone, Debug)]
pub(crate) struct RawUpstream {
    pub(crate) addr: SocketAddr,
    shared: Arc<Shared>,
}

impl RawUpstream {
    pub(crate) async fn start(answers: Vec<RawAnswer>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let addr = listener.local_addr().unwrap();
        let shared = Arc::new(Shared::default());
        let upstream = Self { addr, shared: Arc::clone(&shared) };
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(serve(stream, answers.clone(), Arc::clone(&shared)));
            }
        });
        upstream
    }

    pub(crate) fn requests(&self) -> Vec<String> {
        self.shared.requests.lock().unwrap().clone()
    }

    /// Waits until a request has arrived.
    pub(crate) async fn arrived(&self) {
        self.shared.arrived.notified().await;
    }

    /// Lets a held answer go.
    pub(crate) fn release(&self) {
        self.shared.released.notify_one();
    }

    /// Waits until the entry has closed a connection before its answer was whole.
    pub(crate) async fn broken(&self) {
        self.shared.broken.notified().await;
    }
}

async fn serve(mut stream: TcpStream, answers: Vec<RawAnswer>, shared: Arc<Shared>) {
    while let Some(request) = read_request(&mut stream).await {
        let index = {
            let mut requests = shared.requests.lock().unwrap();
            requests.push(request);
            requests.len() - 1
        };
        shared.arrived.notify_one();
        match &answers[index.min(answers.len() - 1)] {
            RawAnswer::Keep(bytes) => {
                if stream.write_all(bytes).await.is_err() {
                    shared.broken.notify_one();
                    return;
                }
            }
            RawAnswer::Close(bytes) => {
                let _ = stream.write_all(bytes).await;
                return;
            }
            RawAnswer::Held(bytes) => {
                let mut buffer = [0; 1];
                tokio::select! {
                    () = shared.released.notified() => {}
                    _ = stream.read(&mut buffer) => {
                        shared.broken.notify_one();
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

/// An entry before one upstream; `/read` is idempotent.
pub(crate) struct EntryFixture {
    pub(crate) addr: SocketAddr,
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
        let freshness = Arc::new(ConfigFreshness::default());
        freshness.confirm(Duration::ZERO);
        let route = json!({ "deadline": "10s" });
        let plane = DataPlane::new(
            snapshot_for(&[upstream.addr], route, BudgetSpec::default()),
            HttpUpstreamClient::new(ConnectionPool::new(
                PoolSettings::default(),
                SharedMembership::default(),
            )),
            TwoChoicesPicker::new(SeededRandom::new(3)),
            single_ledger(),
            freshness,
            ExecutionSettings::default(),
        );
        let front = ProxyService::new(
            plane,
            Arc::new(AddressResolver::new(
                SharedMembership::default(),
                SharedSnapshot::default(),
                AssignmentSettings::default(),
            )),
            LatencyMetrics::new(&Registry::new()).unwrap(),
            ProxySettings { max_body_bytes: 1 << 16, ..ProxySettings::default() },
        );
        let server = CallerServer::bind(([127, 0, 0, 1], 0).into(), settings).await.unwrap();
        let addr = server.local_addr().unwrap();
        let stop = CancellationToken::new();
        let server = tokio::spawn(server.run(Arc::new(front), stop.clone()));
        Self { addr, stop, server }
    }

    /// Stops the entry and waits for what is in flight.
    pub(crate) async fn stop(self) {
        self.stop.cancel();
        self.server.await.unwrap();
    }
}

/// Sends bytes and returns everything up to the end of the connection.
pub(crate) async fn exchange_raw(addr: SocketAddr, request: &str) -> String {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    // A reset at the end is also an end.
    let _ = stream.read_to_end(&mut bytes).await;
    String::from_utf8_lossy(&bytes).into_owned()
}
