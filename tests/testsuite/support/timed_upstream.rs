//! Upstreams whose response times are part of the request, and callers that send raw requests.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use heatherfall::serve::CallerServerSettings;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::support::EntryFixture;

/// Upstreams of an entry. A fixture without peers opens at most three connections to each, so there
/// are enough for all requests of a test at once.
const UPSTREAMS: usize = 8;

/// Upstreams that answer `/PATH/MS` after MS milliseconds with the target and the body of the
/// request. `/PATH/cut` is answered by half a response, `/PATH/bad` by a malformed one.
#[derive(Clone, Debug, Default)]
pub(crate) struct TimedUpstream {
    pub(crate) addrs: Vec<SocketAddr>,
    /// `start TARGET`, `end TARGET` and `abort TARGET`, in order.
    pub(crate) events: Arc<Mutex<Vec<String>>>,
}

impl TimedUpstream {
    pub(crate) async fn start() -> Self {
        let mut upstream = Self::default();
        for _ in 0..UPSTREAMS {
            let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
            upstream.addrs.push(listener.local_addr().unwrap());
            let served = upstream.clone();
            tokio::spawn(async move {
                loop {
                    let (stream, _) = listener.accept().await.unwrap();
                    let upstream = served.clone();
                    tokio::spawn(async move { upstream.serve(stream).await });
                }
            });
        }
        upstream
    }

    async fn serve(&self, mut stream: TcpStream) -> Option<()> {
        loop {
            let (head, body) = read_message(&mut stream).await?;
            let target = head.split(' ').nth(1)?.to_owned();
            self.record("start", &target);
            let millis = target.rsplit('/').next()?;
            let text = format!("{target} {body}");
            let ok = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{text}", text.len());
            let response = match millis {
                "cut" => ok[..ok.len() - 3].to_owned(),
                "bad" => "nonsense\r\n\r\n".to_owned(),
                _ => ok,
            };
            let time = Duration::from_millis(millis.parse().unwrap_or(0));
            let mut byte = [0];
            tokio::select! {
                () = sleep(time) => {}
                _ = stream.read(&mut byte) => {
                    self.record("abort", &target);
                    return None;
                }
            }
            self.record("end", &target);
            stream.write_all(response.as_bytes()).await.ok()?;
            if matches!(millis, "cut" | "bad") {
                return None;
            }
        }
    }

    fn record(&self, event: &str, target: &str) {
        self.events.lock().unwrap().push(format!("{event} {target}"));
    }

    pub(crate) fn count(&self, event: &str) -> usize {
        let events = self.events.lock().unwrap();
        events.iter().filter(|recorded| recorded.starts_with(event)).count()
    }

    pub(crate) fn position(&self, event: &str) -> usize {
        let events = self.events.lock().unwrap();
        events.iter().position(|recorded| recorded == event).unwrap()
    }

    pub(crate) async fn wait_for(&self, event: &str, count: usize) {
        while self.count(event) < count {
            sleep(Duration::from_millis(5)).await;
        }
    }
}

/// Reads a message with a complete head and a body of `content-length`; none at the end.
pub(crate) async fn read_message<S: AsyncRead + Unpin>(stream: &mut S) -> Option<(String, String)> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8(head).unwrap();
    let length = head.lines().find_map(|line| line.strip_prefix("content-length: "));
    let mut body = vec![0; length.map_or(0, |length| length.parse().unwrap())];
    stream.read_exact(&mut body).await.ok()?;
    Some((head, String::from_utf8(body).unwrap()))
}

pub(crate) async fn start_timed(max_ahead: u32) -> (TimedUpstream, EntryFixture) {
    let upstream = TimedUpstream::start().await;
    let settings =
        CallerServerSettings { max_ahead, max_head_bytes: 8 << 10, ..Default::default() };
    let entry = EntryFixture::serving(&upstream.addrs, settings).await;
    (upstream, entry)
}

pub(crate) fn get(target: &str) -> String {
    format!("GET {target} HTTP/1.1\r\nHost: t\r\n\r\n")
}

pub(crate) fn post(target: &str, body: &str) -> String {
    let length = body.len();
    format!("POST {target} HTTP/1.1\r\nHost: t\r\ncontent-length: {length}\r\n\r\n{body}")
}

pub(crate) async fn send_requests(entry: &EntryFixture, requests: &[String]) -> TcpStream {
    let mut stream = TcpStream::connect(entry.addr).await.unwrap();
    stream.write_all(requests.concat().as_bytes()).await.unwrap();
    stream
}
