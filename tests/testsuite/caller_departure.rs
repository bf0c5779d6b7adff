//! Callers that close or reset their connections before all their requests are answered.

use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::{sleep, timeout};

use crate::support::timed_upstream::{TimedUpstream, get, post, send_requests, start_timed};

/// Target: idempotent requests are cancelled within this time after their caller left.
const CANCEL_BOUND: Duration = Duration::from_millis(500);
/// Longest wait for what must happen some time.
const PATIENCE: Duration = Duration::from_secs(10);

/// How a caller ends its connection.
#[derive(Clone, Copy, Debug)]
enum Departure {
    Close,
    Reset,
}

impl Departure {
    const ALL: [Self; 2] = [Self::Close, Self::Reset];

    fn end(self, stream: TcpStream) {
        if matches!(self, Self::Reset) {
            stream.set_zero_linger().unwrap();
        }
    }
}

/// Waits until nothing has been started for a while, and returns how many requests were.
async fn started_in_the_end(upstream: &TimedUpstream) -> usize {
    sleep(CANCEL_BOUND * 2).await;
    upstream.count("start")
}

// Guards against a request that upstreams work at, and further ones that are sent to them, after their
// caller has left: the end of the connection is behind the bytes of the further requests.
#[tokio::test]
async fn requests_behind_the_one_being_answered_do_not_hide_that_the_caller_has_left() {
    for max_ahead in [0, 1, 3] {
        for departure in Departure::ALL {
            let (upstream, entry) = start_timed(max_ahead).await;
            let requests = ["/read/a/800", "/read/b/800", "/read/c/800"].map(get);
            let stream = send_requests(&entry, &requests).await;
            let started = requests.len().min(max_ahead as usize + 1);
            timeout(PATIENCE, upstream.wait_for("start", started)).await.unwrap();
            departure.end(stream);
            let cancelled = timeout(CANCEL_BOUND, upstream.wait_for("abort", started)).await;
            let context = format!("max_ahead {max_ahead}, {departure:?}");
            assert!(cancelled.is_ok(), "{context}: {} cancelled", upstream.count("abort"));
            assert_eq!(started_in_the_end(&upstream).await, started, "{context}");
        }
    }
}

// Guards against an end of the connection that is not read because a request with a body, or more bytes
// than the entry buffers, are in front of it.
#[tokio::test]
async fn unread_bytes_do_not_hide_that_the_caller_has_left() {
    let upload = post("/read/b/0", &"x".repeat(40_000));
    let long_heads = get(&format!("/read/{}/0", "x".repeat(1_000))).repeat(40);
    for max_ahead in [0, 3] {
        for departure in Departure::ALL {
            for (name, behind) in [("upload", &upload), ("heads", &long_heads)] {
                let (upstream, entry) = start_timed(max_ahead).await;
                let requests = [get("/read/a/5000"), behind.clone()];
                let stream = send_requests(&entry, &requests).await;
                timeout(PATIENCE, upstream.wait_for("start", 1)).await.unwrap();
                // The rest of the bytes arrives.
                sleep(Duration::from_millis(50)).await;
                let started = upstream.count("start");
                departure.end(stream);
                let cancelled =
                    timeout(CANCEL_BOUND, upstream.wait_for("abort /read/a/5000", 1)).await;
                let context = format!("{name}, max_ahead {max_ahead}, {departure:?}");
                assert!(cancelled.is_ok(), "{context}");
                assert_eq!(started_in_the_end(&upstream).await, started, "{context}");
            }
        }
    }
}

// Guards against a request that may run once and is cancelled halfway, and against requests behind it that
// start for a caller that has left.
#[tokio::test]
async fn a_request_that_may_run_once_goes_on_after_its_caller_has_left() {
    for max_ahead in [0, 3] {
        for departure in Departure::ALL {
            let (upstream, entry) = start_timed(max_ahead).await;
            let requests = ["/write/b/700", "/read/c/0", "/write/d/0"].map(get);
            let stream = send_requests(&entry, &requests).await;
            timeout(PATIENCE, upstream.wait_for("start /write/b", 1)).await.unwrap();
            departure.end(stream);
            let ended = timeout(PATIENCE, upstream.wait_for("end /write/b", 1)).await;
            assert!(ended.is_ok(), "{departure:?}");
            assert_eq!(started_in_the_end(&upstream).await, 1, "{departure:?}");
        }
    }
}

// Guards against a request that may run once and starts after its caller has left.
#[tokio::test]
async fn a_request_that_may_run_once_does_not_start_after_its_caller_has_left() {
    for max_ahead in [0, 3] {
        for departure in Departure::ALL {
            let (upstream, entry) = start_timed(max_ahead).await;
            let requests = ["/read/a/700", "/write/b/0", "/read/c/0"].map(get);
            let stream = send_requests(&entry, &requests).await;
            timeout(PATIENCE, upstream.wait_for("start", 1)).await.unwrap();
            departure.end(stream);
            let cancelled = timeout(CANCEL_BOUND, upstream.wait_for("abort", 1)).await;
            assert!(cancelled.is_ok(), "max_ahead {max_ahead}, {departure:?}");
            assert_eq!(started_in_the_end(&upstream).await, 1, "max_ahead {max_ahead}");
        }
    }
}

// Guards against upstreams that work for callers that left while the entry was leaving.
#[tokio::test]
async fn a_leaving_entry_notices_that_a_caller_has_left() {
    let (upstream, entry) = start_timed(3).await;
    let requests = ["/read/a/5000", "/read/b/5000"].map(get);
    let stream = send_requests(&entry, &requests).await;
    timeout(PATIENCE, upstream.wait_for("start", 2)).await.unwrap();
    entry.leaving_flag.set_leaving();
    let stopped = tokio::spawn(entry.stop());
    sleep(Duration::from_millis(200)).await;
    drop(stream);
    timeout(CANCEL_BOUND, upstream.wait_for("abort", 2)).await.unwrap();
    timeout(PATIENCE, stopped).await.unwrap().unwrap();
}

// Guards against early requests of a caller that are cancelled although it has not left.
#[tokio::test]
async fn a_caller_that_stays_gets_all_responses_however_long_its_connection_is_not_read() {
    for max_ahead in [0, 3] {
        let (upstream, entry) = start_timed(max_ahead).await;
        let request = |index| get(&format!("/read/{}{index}/300", "x".repeat(1_000)));
        let stream = send_requests(&entry, &(0..12).map(request).collect::<Vec<_>>()).await;
        timeout(PATIENCE, upstream.wait_for("end", 12)).await.unwrap();
        assert_eq!(upstream.count("abort"), 0);
        drop(stream);
    }
}
