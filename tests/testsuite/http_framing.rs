//! HTTP message framing over real sockets: complete, truncated, oversized, duplicated and
//! contradictory messages.

use std::time::Duration;

use heatherfall::serve::CallerServerSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{EntryFixture, RawResponse, RawUpstream, send_raw};

const READ: &str = "GET /read HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";
const WRITE: &str =
    "POST /write HTTP/1.1\r\nHost: t\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi";

/// What a caller receives for `request` if the upstream responds with `response`.
async fn forward(response: RawResponse, request: &str) -> String {
    let upstream = RawUpstream::start(vec![response]).await;
    let entry = EntryFixture::start(&upstream).await;
    send_raw(entry.addr, request).await
}

fn code(response: &str) -> Option<&str> {
    response.lines().find_map(|line| line.strip_prefix("heatherfall-result: "))
}

#[tokio::test]
async fn a_response_without_a_verifiable_end_is_not_forwarded() {
    let shapes = [
        "HTTP/1.1 200 OK\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked, gzip\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
        "HTTP/1.0 200 OK\r\n\r\nabc",
        "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n",
        "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n\r\nabc",
        "HTTP/1.1 200 OK\r\nContent-Length: 3, 4\r\n\r\nabcd",
        "nonsense\r\n\r\n",
    ];
    for shape in shapes {
        let response = forward(RawResponse::close(shape), WRITE).await;
        assert!(response.starts_with("HTTP/1.1 502 "), "{shape:?} gave {response:?}");
        assert!(matches!(code(&response), Some("HF-1004" | "HF-1011")), "{response}");
        assert!(!response.contains("heatherfall-not-run"), "{response}");
    }
}

/// Sends `head` and, on the same connection, a second request; returns the responses and the number
/// of requests that reached the upstream.
async fn send_with_pipelined_request(head: &str) -> (String, usize) {
    let complete_response = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let upstream = RawUpstream::start(vec![RawResponse::keep_alive(complete_response)]).await;
    let entry = EntryFixture::start(&upstream).await;
    let text = format!("{head}GET /read HTTP/1.1\r\nHost: t\r\n\r\n");
    let responses = send_raw(entry.addr, &text).await;
    (responses, upstream.requests().len())
}

#[tokio::test]
async fn a_request_without_a_host_is_rejected_and_its_connection_closed() {
    let (responses, upstream_requests) =
        send_with_pipelined_request("GET /read HTTP/1.1\r\n\r\n").await;
    assert!(responses.starts_with("HTTP/1.1 400 "), "{responses}");
    assert_eq!(responses.matches("HTTP/1.1 ").count(), 1, "{responses}");
    assert_eq!((code(&responses), upstream_requests), (Some("HF-1008"), 0));
}

#[tokio::test]
async fn a_request_with_length_and_chunks_smuggles_no_second_request() {
    let lengths = [
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
    ];
    for lengths in lengths {
        let head = format!("POST /write HTTP/1.1\r\nHost: t\r\n{lengths}\r\n\r\n0\r\n\r\n");
        let (responses, upstream_requests) = send_with_pipelined_request(&head).await;
        // RFC 9112, section 6.1: the chunked coding overrides the length, and the connection is
        // closed after the response.
        assert_eq!(responses.matches("HTTP/1.1 ").count(), 1, "{lengths:?}: {responses}");
        assert_eq!(upstream_requests, 1, "{lengths:?}");
    }
}

#[tokio::test]
async fn every_caller_detects_a_truncated_response() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
    let response = forward(RawResponse::close(chunked), READ).await;
    assert!(!response.contains("0\r\n\r\n"), "{response}");
    let short = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc";
    let response = forward(RawResponse::close(short), READ).await;
    assert!(response.contains("content-length: 9") && !response.contains("abcabc"), "{response}");
    let old_caller = "GET /read HTTP/1.0\r\nHost: t\r\n\r\n";
    let response = forward(RawResponse::close(chunked), old_caller).await;
    assert!(response.starts_with("HTTP/1.0 502 "), "{response}");
    assert_eq!(code(&response), Some("HF-1011"));
}

#[tokio::test]
async fn an_http_1_0_caller_gets_a_chunked_response_with_content_length() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let response =
        forward(RawResponse::keep_alive(chunked), "GET /read HTTP/1.0\r\nHost: t\r\n\r\n").await;
    assert!(
        response.contains("content-length: 3\r\n") && response.ends_with("\r\n\r\nabc"),
        "{response}"
    );
}

#[tokio::test]
async fn bytes_after_a_response_are_discarded() {
    let doubled = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc\
                   HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil";
    let own = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
    for _ in 0..20 {
        let responses = vec![RawResponse::keep_alive(doubled), RawResponse::keep_alive(own)];
        let upstream = RawUpstream::start(responses).await;
        let entry = EntryFixture::start(&upstream).await;
        let first = send_raw(entry.addr, READ).await;
        assert!(first.ends_with("\r\n\r\nabc"), "{first}");
        let second = send_raw(entry.addr, READ).await;
        assert!(second.ends_with("\r\n\r\nown"), "{second}");
    }
}

#[tokio::test]
async fn responses_without_a_body_keep_their_headers() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nETag: x\r\n\r\n";
    let request = "HEAD /read HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";
    let response = forward(RawResponse::keep_alive(head), request).await;
    assert!(response.contains("content-length: 5\r\n"), "{response}");
    assert!(response.contains("etag: x\r\n") && response.ends_with("\r\n\r\n"), "{response}");
    for status in ["204 No Content", "304 Not Modified"] {
        let bare = format!("HTTP/1.1 {status}\r\nETag: x\r\n\r\n");
        let response = forward(RawResponse::keep_alive(&bare), READ).await;
        assert!(response.starts_with(&format!("HTTP/1.1 {status}")), "{response}");
        assert!(response.contains("etag: x\r\n") && response.ends_with("\r\n\r\n"), "{response}");
    }
}

#[tokio::test]
async fn chunked_coding_overrides_the_length_of_a_response() {
    let both = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n\
                3\r\nabc\r\n0\r\n\r\n";
    let response = forward(RawResponse::keep_alive(both), READ).await;
    let is_complete =
        response.contains("3\r\nabc\r\n0\r\n\r\n") && !response.contains("content-length");
    assert!(is_complete || response.starts_with("HTTP/1.1 502 "), "{response}");
}

#[tokio::test]
async fn an_upstream_cannot_set_the_headers_reserved_for_the_entry() {
    let claim = "HTTP/1.1 500 Failed\r\nheatherfall-not-run: true\r\nx-upstream-not-run: 1\r\n\
                 heatherfall-result: HF-1003\r\nContent-Length: 0\r\n\r\n";
    let response = forward(RawResponse::keep_alive(claim), WRITE).await;
    assert!(response.starts_with("HTTP/1.1 500 "), "{response}");
    assert!(!response.contains("not-run") && code(&response).is_none(), "{response}");
}

#[tokio::test]
async fn hop_by_hop_headers_are_not_forwarded() {
    let upstream_response = "HTTP/1.1 200 OK\r\nConnection: x-inner\r\nX-Inner: 1\r\nKeep-Alive: timeout=9\r\n\
                 Content-Length: 0\r\n\r\n";
    let upstream = RawUpstream::start(vec![RawResponse::keep_alive(upstream_response)]).await;
    let entry = EntryFixture::start(&upstream).await;
    let request = "GET http://real/read HTTP/1.1\r\nHost: other\r\nConnection: close, x-outer\r\n\
                   X-Outer: 1\r\nKeep-Alive: 5\r\nTE: trailers\r\n\r\n";
    let response = send_raw(entry.addr, request).await;
    assert!(!response.contains("x-inner") && !response.contains("keep-alive"), "{response}");
    let sent = upstream.requests().remove(0);
    for name in ["x-outer", "keep-alive", "te:", "connection:", "other"] {
        assert!(!sent.contains(name), "{name} in {sent}");
    }
    assert!(sent.contains("host: real\r\n"), "{sent}");
}

#[tokio::test]
async fn ambiguous_requests_are_rejected_and_reach_no_upstream() {
    let heads = [
        "POST /write HTTP/1.1\r\nHost: t\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd",
        "POST /write HTTP/1.1\r\nHost: t\r\nTransfer-Encoding: chunked, gzip\r\n\r\n0\r\n\r\n",
        "POST /write HTTP/1.1\r\nHost: t\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "POST /write HTTP/1.1\r\nHost: t\r\nContent-Length: -1\r\n\r\n",
        "GET /read HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
        "GET /read/../write HTTP/1.1\r\nHost: t\r\n\r\n",
        "GET /read/%2e%2E/write HTTP/1.1\r\nHost: t\r\n\r\n",
        "GET /read/x%2F..%2f../write HTTP/1.1\r\nHost: t\r\n\r\n",
        "GET /read/..%5cwrite HTTP/1.1\r\nHost: t\r\n\r\n",
        "GET /read HTTP/1.1\r\nHost: t\r\nX: a\r\n folded\r\n\r\n",
        "GET /read HTTP/1.1\r\nHost: t\r\nX\0: a\r\n\r\n",
    ];
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let upstream = RawUpstream::start(vec![RawResponse::keep_alive(ok)]).await;
    let entry = EntryFixture::start(&upstream).await;
    for head in heads {
        let closing = head.replacen("\r\n", "\r\nConnection: close\r\n", 1);
        let response = send_raw(entry.addr, &closing).await;
        assert!(response.starts_with("HTTP/1.1 400 "), "{head:?} gave {response:?}");
        assert_eq!(response.matches("HTTP/1.1 ").count(), 1, "{head:?} gave {response:?}");
    }
    assert_eq!(upstream.requests(), Vec::<String>::new());
    let dotted = "GET /read/a..b/...%20 HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";
    assert!(send_raw(entry.addr, dotted).await.starts_with("HTTP/1.1 200 "));
}

#[tokio::test]
async fn a_request_with_length_and_chunks_is_forwarded_with_the_length_of_its_chunks() {
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let upstream = RawUpstream::start(vec![RawResponse::keep_alive(ok)]).await;
    let entry = EntryFixture::start(&upstream).await;
    let request = "POST /write HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\
                   Content-Length: 30\r\nTransfer-Encoding: chunked\r\n\r\n\
                   2\r\nhi\r\n0\r\n\r\nGET /read HTTP/1.1\r\nHost: t\r\n\r\n";
    send_raw(entry.addr, request).await;
    let requests = upstream.requests();
    assert_eq!(requests.len(), 1, "{requests:?}");
    assert!(requests[0].contains("content-length: 2\r\n"), "{requests:?}");
    assert!(!requests[0].contains("transfer-encoding"), "{requests:?}");
    assert!(requests[0].ends_with("\r\n\r\nhi"), "{requests:?}");
}

#[tokio::test]
async fn oversized_heads_and_bodies_are_rejected_before_they_are_read() {
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let upstream = RawUpstream::start(vec![RawResponse::keep_alive(ok)]).await;
    let entry = EntryFixture::start(&upstream).await;
    let head = format!("GET /read HTTP/1.1\r\nHost: t\r\nX: {}\r\n\r\n", "x".repeat(70 << 10));
    let response = send_raw(entry.addr, &head).await;
    assert!(response.starts_with("HTTP/1.1 431 "), "{response}");
    let announced = "POST /write HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\
                     Content-Length: 65537\r\n\r\n";
    let response = send_raw(entry.addr, announced).await;
    assert!(response.starts_with("HTTP/1.1 413 "), "{response}");
    assert_eq!(code(&response), Some("HF-1006"));
    assert!(response.contains("heatherfall-not-run: true"), "{response}");
    assert!(upstream.requests().is_empty());
}

#[tokio::test]
async fn expect_100_continue_is_confirmed_only_if_the_request_is_admitted() {
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let upstream = RawUpstream::start(vec![RawResponse::keep_alive(ok)]).await;
    let entry = EntryFixture::start(&upstream).await;
    let mut stream = TcpStream::connect(entry.addr).await.unwrap();
    let head = "POST /write HTTP/1.1\r\nHost: t\r\nConnection: close\r\nExpect: 100-continue\r\n\
                Content-Length: 2\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).await.unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"hi").await.unwrap();
    let mut response = String::new();
    stream.read_to_string(&mut response).await.unwrap();
    assert!(response.ends_with("\r\n\r\nok"), "{response}");
    assert!(!upstream.requests()[0].contains("expect:"), "{:?}", upstream.requests());
    let rejected_head = head.replace("/write", "/write/../x");
    let response = send_raw(entry.addr, &rejected_head).await;
    assert!(response.starts_with("HTTP/1.1 400 "), "{response}");
}

#[tokio::test]
async fn a_caller_that_disconnects_cancels_an_idempotent_request_upstream() {
    let held = RawResponse::Held(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec());
    let upstream = RawUpstream::start(vec![held]).await;
    let entry = EntryFixture::start(&upstream).await;
    let mut stream = TcpStream::connect(entry.addr).await.unwrap();
    stream.write_all(READ.as_bytes()).await.unwrap();
    upstream.request_arrived().await;
    drop(stream);
    upstream.connection_aborted().await;
}

#[tokio::test]
async fn an_at_most_once_request_outlives_its_caller_and_shutdown_waits_for_it() {
    let held = RawResponse::Held(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec());
    let upstream = RawUpstream::start(vec![held]).await;
    let entry = EntryFixture::start(&upstream).await;
    let mut stream = TcpStream::connect(entry.addr).await.unwrap();
    stream.write_all(WRITE.as_bytes()).await.unwrap();
    upstream.request_arrived().await;
    drop(stream);
    let mut stopping = tokio::spawn(entry.stop());
    // The delay only gives a faulty entry time to cancel; a correct one passes however slow it is.
    tokio::select! {
        biased;
        () = upstream.connection_aborted() => panic!("the request was cancelled with its caller"),
        ended = &mut stopping => panic!("the entry stopped before the request: {ended:?}"),
        () = tokio::time::sleep(Duration::from_millis(200)) => {}
    }
    upstream.release_response();
    stopping.await.unwrap();
}

#[tokio::test]
async fn a_caller_that_stops_reading_is_disconnected_after_the_write_timeout() {
    let mut large = b"HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n".to_vec();
    large.resize(large.len() + (64 << 20), b'x');
    let upstream = RawUpstream::start(vec![RawResponse::KeepAlive(large)]).await;
    let write_timeout = Duration::from_millis(100);
    let settings = CallerServerSettings { write_timeout, ..CallerServerSettings::default() };
    let entry = EntryFixture::with_settings(&upstream, settings).await;
    let mut stream = TcpStream::connect(entry.addr).await.unwrap();
    stream.write_all(READ.as_bytes()).await.unwrap();
    upstream.connection_aborted().await;
    drop(stream);
}
