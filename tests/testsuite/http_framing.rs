//! Messages of every shape over real sockets: whole, cut, over-long, doubled and contradictory.

use std::time::Duration;

use heatherfall::serve::CallerServerSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{EntryFixture, RawAnswer, RawUpstream, exchange_raw};

const READ: &str = "GET /read HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";
const WRITE: &str =
    "POST /write HTTP/1.1\r\nHost: t\r\nConnection: close\r\nContent-Length: 2\r\n\r\nhi";

/// What a caller gets for `request` from an upstream that answers `answer`.
async fn pass(answer: RawAnswer, request: &str) -> String {
    let upstream = RawUpstream::start(vec![answer]).await;
    let entry = EntryFixture::start(&upstream).await;
    exchange_raw(entry.addr, request).await
}

fn code(answer: &str) -> Option<&str> {
    answer.lines().find_map(|line| line.strip_prefix("heatherfall-result: "))
}

#[tokio::test]
async fn an_answer_whose_end_cannot_be_verified_is_not_passed_on() {
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
        let answer = pass(RawAnswer::close(shape), WRITE).await;
        assert!(answer.starts_with("HTTP/1.1 502 "), "{shape:?} gave {answer:?}");
        assert!(matches!(code(&answer), Some("HF-1004" | "HF-1011")), "{answer}");
        assert!(!answer.contains("heatherfall-not-run"), "{answer}");
    }
}

/// Sends `head` and, on the same connection, a second request; returns the answers and what
/// reached the upstream.
async fn send_with_another_behind(head: &str) -> (String, usize) {
    let whole = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let upstream = RawUpstream::start(vec![RawAnswer::keep(whole)]).await;
    let entry = EntryFixture::start(&upstream).await;
    let text = format!("{head}GET /read HTTP/1.1\r\nHost: t\r\n\r\n");
    let answers = exchange_raw(entry.addr, &text).await;
    (answers, upstream.requests().len())
}

#[tokio::test]
async fn a_request_without_a_host_is_refused_and_its_connection_closed() {
    let (answers, arrived) = send_with_another_behind("GET /read HTTP/1.1\r\n\r\n").await;
    assert!(answers.starts_with("HTTP/1.1 400 "), "{answers}");
    assert_eq!(answers.matches("HTTP/1.1 ").count(), 1, "{answers}");
    assert_eq!((code(&answers), arrived), (Some("HF-1008"), 0));
}

#[tokio::test]
async fn nothing_is_smuggled_behind_a_request_with_two_lengths() {
    let lengths = [
        "Content-Length: 5\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: chunked\r\nContent-Length: 5",
    ];
    for lengths in lengths {
        let head = format!("POST /write HTTP/1.1\r\nHost: t\r\n{lengths}\r\n\r\n0\r\n\r\n");
        let (answers, arrived) = send_with_another_behind(&head).await;
        // RFC 9112, section 6.1: the chunks count, and the connection is closed after the answer.
        assert_eq!(answers.matches("HTTP/1.1 ").count(), 1, "{lengths:?}: {answers}");
        assert_eq!(arrived, 1, "{lengths:?}");
    }
}

#[tokio::test]
async fn a_cut_answer_looks_cut_to_every_caller() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n";
    let answer = pass(RawAnswer::close(chunked), READ).await;
    assert!(!answer.contains("0\r\n\r\n"), "{answer}");
    let short = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc";
    let answer = pass(RawAnswer::close(short), READ).await;
    assert!(answer.contains("content-length: 9") && !answer.contains("abcabc"), "{answer}");
    let old_caller = "GET /read HTTP/1.0\r\nHost: t\r\n\r\n";
    let answer = pass(RawAnswer::close(chunked), old_caller).await;
    assert!(answer.starts_with("HTTP/1.0 502 "), "{answer}");
    assert_eq!(code(&answer), Some("HF-1011"));
}

#[tokio::test]
async fn a_caller_on_http_1_0_gets_a_streamed_answer_with_its_length() {
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    let answer = pass(RawAnswer::keep(chunked), "GET /read HTTP/1.0\r\nHost: t\r\n\r\n").await;
    assert!(
        answer.contains("content-length: 3\r\n") && answer.ends_with("\r\n\r\nabc"),
        "{answer}"
    );
}

#[tokio::test]
async fn bytes_after_an_answer_reach_nobody() {
    let doubled = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc\
                   HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil";
    let own = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nown";
    for _ in 0..20 {
        let answers = vec![RawAnswer::keep(doubled), RawAnswer::keep(own)];
        let upstream = RawUpstream::start(answers).await;
        let entry = EntryFixture::start(&upstream).await;
        let first = exchange_raw(entry.addr, READ).await;
        assert!(first.ends_with("\r\n\r\nabc"), "{first}");
        let second = exchange_raw(entry.addr, READ).await;
        assert!(second.ends_with("\r\n\r\nown"), "{second}");
    }
}

#[tokio::test]
async fn answers_without_a_body_keep_their_headers() {
    let head = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nETag: x\r\n\r\n";
    let request = "HEAD /read HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";
    let answer = pass(RawAnswer::keep(head), request).await;
    assert!(answer.contains("content-length: 5\r\n"), "{answer}");
    assert!(answer.contains("etag: x\r\n") && answer.ends_with("\r\n\r\n"), "{answer}");
    for status in ["204 No Content", "304 Not Modified"] {
        let bare = format!("HTTP/1.1 {status}\r\nETag: x\r\n\r\n");
        let answer = pass(RawAnswer::keep(&bare), READ).await;
        assert!(answer.starts_with(&format!("HTTP/1.1 {status}")), "{answer}");
        assert!(answer.contains("etag: x\r\n") && answer.ends_with("\r\n\r\n"), "{answer}");
    }
}

#[tokio::test]
async fn chunks_count_where_a_length_stands_beside_them() {
    let both = "HTTP/1.1 200 OK\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n\
                3\r\nabc\r\n0\r\n\r\n";
    let answer = pass(RawAnswer::keep(both), READ).await;
    let is_whole = answer.contains("3\r\nabc\r\n0\r\n\r\n") && !answer.contains("content-length");
    assert!(is_whole || answer.starts_with("HTTP/1.1 502 "), "{answer}");
}

#[tokio::test]
async fn an_upstream_cannot_tell_callers_that_a_request_did_not_run() {
    let claim = "HTTP/1.1 500 Failed\r\nheatherfall-not-run: true\r\nx-upstream-not-run: 1\r\n\
                 heatherfall-result: HF-1003\r\nContent-Length: 0\r\n\r\n";
    let answer = pass(RawAnswer::keep(claim), WRITE).await;
    assert!(answer.starts_with("HTTP/1.1 500 "), "{answer}");
    assert!(!answer.contains("not-run") && code(&answer).is_none(), "{answer}");
}

#[tokio::test]
async fn headers_of_one_connection_stay_on_it() {
    let reply = "HTTP/1.1 200 OK\r\nConnection: x-inner\r\nX-Inner: 1\r\nKeep-Alive: timeout=9\r\n\
                 Content-Length: 0\r\n\r\n";
    let upstream = RawUpstream::start(vec![RawAnswer::keep(reply)]).await;
    let entry = EntryFixture::start(&upstream).await;
    let request = "GET http://real/read HTTP/1.1\r\nHost: other\r\nConnection: close, x-outer\r\n\
                   X-Outer: 1\r\nKeep-Alive: 5\r\nTE: trailers\r\n\r\n";
    let answer = exchange_raw(entry.addr, request).await;
    assert!(!answer.contains("x-inner") && !answer.contains("keep-alive"), "{answer}");
    let sent = upstream.requests().remove(0);
    for name in ["x-outer", "keep-alive", "te:", "connection:", "other"] {
        assert!(!sent.contains(name), "{name} in {sent}");
    }
    assert!(sent.contains("host: real\r\n"), "{sent}");
}

#[tokio::test]
async fn requests_that_could_mean_two_things_are_refused_and_reach_no_upstream() {
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
    let upstream = RawUpstream::start(vec![RawAnswer::keep(ok)]).await;
    let entry = EntryFixture::start(&upstream).await;
    for head in heads {
        let closing = head.replacen("\r\n", "\r\nConnection: close\r\n", 1);
        let answer = exchange_raw(entry.addr, &closing).await;
        assert!(answer.starts_with("HTTP/1.1 400 "), "{head:?} gave {answer:?}");
        assert_eq!(answer.matches("HTTP/1.1 ").count(), 1, "{head:?} gave {answer:?}");
    }
    assert_eq!(upstream.requests(), Vec::<String>::new());
    let dotted = "GET /read/a..b/...%20 HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\r\n";
    assert!(exchange_raw(entry.addr, dotted).await.starts_with("HTTP/1.1 200 "));
}

#[tokio::test]
async fn a_request_with_chunks_and_a_length_is_framed_anew_by_its_chunks() {
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let upstream = RawUpstream::start(vec![RawAnswer::keep(ok)]).await;
    let entry = EntryFixture::start(&upstream).await;
    let request = "POST /write HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\
                   Content-Length: 30\r\nTransfer-Encoding: chunked\r\n\r\n\
                   2\r\nhi\r\n0\r\n\r\nGET /read HTTP/1.1\r\nHost: t\r\n\r\n";
    exchange_raw(entry.addr, request).await;
    let requests = upstream.requests();
    assert_eq!(requests.len(), 1, "{requests:?}");
    assert!(requests[0].contains("content-length: 2\r\n"), "{requests:?}");
    assert!(!requests[0].contains("transfer-encoding"), "{requests:?}");
    assert!(requests[0].ends_with("\r\n\r\nhi"), "{requests:?}");
}

#[tokio::test]
async fn oversized_heads_and_bodies_are_refused_before_they_are_read() {
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n";
    let upstream = RawUpstream::start(vec![RawAnswer::keep(ok)]).await;
    let entry = EntryFixture::start(&upstream).await;
    let head = format!("GET /read HTTP/1.1\r\nHost: t\r\nX: {}\r\n\r\n", "x".repeat(70 << 10));
    let answer = exchange_raw(entry.addr, &head).await;
    assert!(answer.starts_with("HTTP/1.1 431 "), "{answer}");
    let announced = "POST /write HTTP/1.1\r\nHost: t\r\nConnection: close\r\n\
                     Content-Length: 65537\r\n\r\n";
    let answer = exchange_raw(entry.addr, announced).await;
    assert!(answer.starts_with("HTTP/1.1 413 "), "{answer}");
    assert_eq!(code(&answer), Some("HF-1006"));
    assert!(answer.contains("heatherfall-not-run: true"), "{answer}");
    assert!(upstream.requests().is_empty());
}

#[tokio::test]
async fn a_caller_that_asks_first_is_told_to_go_on_only_if_the_request_is_admitted() {
    let ok = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    let upstream = RawUpstream::start(vec![RawAnswer::keep(ok)]).await;
    let entry = EntryFixture::start(&upstream).await;
    let mut stream = TcpStream::connect(entry.addr).await.unwrap();
    let head = "POST /write HTTP/1.1\r\nHost: t\r\nConnection: close\r\nExpect: 100-continue\r\n\
                Content-Length: 2\r\n\r\n";
    stream.write_all(head.as_bytes()).await.unwrap();
    let mut interim = [0; 25];
    stream.read_exact(&mut interim).await.unwrap();
    assert_eq!(&interim, b"HTTP/1.1 100 Continue\r\n\r\n");
    stream.write_all(b"hi").await.unwrap();
    let mut answer = String::new();
    stream.read_to_string(&mut answer).await.unwrap();
    assert!(answer.ends_with("\r\n\r\nok"), "{answer}");
    assert!(!upstream.requests()[0].contains("expect:"), "{:?}", upstream.requests());
    let refused = head.replace("/write", "/write/../x");
    let answer = exchange_raw(entry.addr, &refused).await;
    assert!(answer.starts_with("HTTP/1.1 400 "), "{answer}");
}

#[tokio::test]
async fn a_caller_that_goes_early_cancels_idempotent_work_upstream() {
    let held = RawAnswer::Held(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec());
    let upstream = RawUpstream::start(vec![held]).await;
    let entry = EntryFixture::start(&upstream).await;
    let mut stream = TcpStream::connect(entry.addr).await.unwrap();
    stream.write_all(READ.as_bytes()).await.unwrap();
    upstream.arrived().await;
    drop(stream);
    upstream.broken().await;
}

#[tokio::test]
async fn at_most_once_work_goes_on_without_its_caller_and_the_entry_waits_for_it() {
    let held = RawAnswer::Held(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n".to_vec());
    let upstream = RawUpstream::start(vec![held]).await;
    let entry = EntryFixture::start(&upstream).await;
    let mut stream = TcpStream::connect(entry.addr).await.unwrap();
    stream.write_all(WRITE.as_bytes()).await.unwrap();
    upstream.arrived().await;
    drop(stream);
    let mut stopping = tokio::spawn(entry.stop());
    // The time only gives a faulty entry the chance to cancel; a right one passes at any speed.
    tokio::select! {
        biased;
        () = upstream.broken() => panic!("cancelled with its caller"),
        ended = &mut stopping => panic!("the entry stopped before the work: {ended:?}"),
        () = tokio::time::sleep(Duration::from_millis(200)) => {}
    }
    upstream.release();
    stopping.await.unwrap();
}

#[tokio::test]
async fn a_caller_that_takes_no_bytes_is_let_go() {
    let mut large = b"HTTP/1.1 200 OK\r\nContent-Length: 67108864\r\n\r\n".to_vec();
    large.resize(large.len() + (64 << 20), b'x');
    let upstream = RawUpstream::start(vec![RawAnswer::Keep(large)]).await;
    let write_timeout = Duration::from_millis(100);
    let settings = CallerServerSettings { write_timeout, ..CallerServerSettings::default() };
    let entry = EntryFixture::with_settings(&upstream, settings).await;
    let mut stream = TcpStream::connect(entry.addr).await.unwrap();
    stream.write_all(READ.as_bytes()).await.unwrap();
    upstream.broken().await;
    drop(stream);
}
