//! Requests at an entry that is leaving, over sockets.

use std::time::Duration;

use heatherfall::serve::CallerServerSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use crate::support::{EntryFixture, RawResponse, RawUpstream, send_raw};

const OK: &str = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
/// Limit on every wait, for a busy machine.
const PATIENCE: Duration = Duration::from_secs(10);
/// Time that the leaving entry still works; less than the deadline of the route, 10 s.
const WORK_TIME: Duration = Duration::from_secs(5);

async fn start() -> (RawUpstream, EntryFixture) {
    let upstream = RawUpstream::start(vec![RawResponse::keep_alive(OK)]).await;
    let settings = CallerServerSettings { max_ahead: 8, ..CallerServerSettings::default() };
    let entry = EntryFixture::with_settings(&upstream, settings).await;
    (upstream, entry)
}

fn request(method: &str, deadline: &str) -> String {
    format!("{method} /read HTTP/1.1\r\nHost: t\r\n{deadline}Content-Length: 2\r\n\r\nhi")
}

fn assert_refused(response: &str) {
    let response = response.to_ascii_lowercase();
    assert!(response.starts_with("http/1.1 503"), "{response}");
    for header in ["hf-1013", "connection: close", "retry-after:", "not-run: true"] {
        assert!(response.contains(header), "no {header} in {response}");
    }
}

/// Guards against requests that are admitted though the process ends before they do, and are then cut.
#[tokio::test]
async fn a_leaving_entry_refuses_requests_that_may_outlast_it_and_serves_the_others() {
    let (upstream, entry) = start().await;
    entry.leaving_flag.leave_by(Instant::now() + WORK_TIME);
    for method in ["GET", "POST"] {
        let response = timeout(PATIENCE, send_raw(entry.addr, &request(method, ""))).await.unwrap();
        assert_refused(&response);
    }
    assert!(upstream.requests().is_empty(), "a refused request has run");
    let short = request("POST", "heatherfall-deadline-ms: 1000\r\n");
    let response = timeout(PATIENCE, send_raw(entry.addr, &short)).await.unwrap();
    assert!(response.starts_with("HTTP/1.1 200"), "{response}");
    assert_eq!(upstream.requests().len(), 1);
}

/// Guards against uploads whose bodies are read in vain, and that are cut when they are complete.
#[tokio::test]
async fn an_upload_that_may_outlast_a_leaving_entry_is_refused_at_once() {
    let (upstream, entry) = start().await;
    let mut stream = TcpStream::connect(entry.addr).await.unwrap();
    let head = "POST /read HTTP/1.1\r\nHost: t\r\nContent-Length: 10\r\n\r\nhi";
    stream.write_all(head.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(100)).await;
    entry.leaving_flag.leave_by(Instant::now() + WORK_TIME);
    let mut response = Vec::new();
    // A reset after the response also ends the connection.
    let _ = timeout(PATIENCE, stream.read_to_end(&mut response)).await.unwrap();
    assert_refused(&String::from_utf8_lossy(&response));
    assert!(upstream.requests().is_empty());
}
