//! Bodies that this node reads for itself, and that have no end.

use std::convert::Infallible;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use heatherfall::balance::AttemptResult;
use heatherfall::core::{HeaderNames, UpstreamState};
use heatherfall::request::{
    AttemptOutcome, AttemptRequest, LoadProbeOutcome, UpstreamClient, UpstreamResponse, probe_load,
};
use heatherfall::util::{LimitedBodyError, discard_limited, read_limited};
use http::Response;
use http_body::{Body, Frame};
use http_body_util::Full;
use serde_json::json;

/// Bytes of a frame.
const FRAME_BYTES: usize = 16 << 10;
/// Frames after which a body ends all the same, so that a test ends whatever reads it.
const MAX_FRAMES: usize = 4096;
/// Target: of a response without end, no more than this is read.
const MAX_READ_BYTES: usize = 1 << 20;

/// A body that is always ready with another frame; clones count together.
#[derive(Clone, Debug, Default)]
struct EndlessBody(Arc<AtomicUsize>);

impl EndlessBody {
    fn read_bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed) * FRAME_BYTES
    }
}

impl Body for EndlessBody {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        let index = self.0.fetch_add(1, Ordering::Relaxed);
        let frame = || Ok(Frame::data(Bytes::from_static(&[0; FRAME_BYTES])));
        Poll::Ready((index < MAX_FRAMES).then(frame))
    }
}

/// Upstreams that answer everything with a load report and an endless body.
#[derive(Clone, Debug, Default)]
struct EndlessClient(EndlessBody);

impl UpstreamClient for EndlessClient {
    type Body = EndlessBody;

    async fn send(
        &self,
        _upstream: &Arc<UpstreamState>,
        _request: AttemptRequest,
    ) -> AttemptOutcome<EndlessBody> {
        let response = Response::new(self.0.clone());
        AttemptOutcome::Answered(UpstreamResponse { response })
    }
}

// Guards against an entry that runs out of memory because it collects the body of the response to a health
// check.
#[tokio::test]
async fn a_health_check_reads_little_of_a_response_without_end_and_fails() {
    let spec = json!({ "address": "127.0.0.1:1", "failure_domain": "fd-a", "health_path": "/h" });
    let upstream =
        UpstreamState::new("u", serde_json::from_value(spec).unwrap(), Default::default());
    let (client, names) = (EndlessClient::default(), HeaderNames::default());
    let timeout = Duration::from_secs(10);
    let outcome = probe_load(&client, &Arc::new(upstream), &names, timeout).await;
    assert_eq!(outcome, LoadProbeOutcome::Failed(AttemptResult::Broken));
    assert!(client.0.read_bytes() <= MAX_READ_BYTES, "{} bytes", client.0.read_bytes());
}

// Guards against a limit that is off by one, or that cuts a body short without an error.
#[tokio::test]
async fn a_body_is_read_whole_up_to_its_limit_and_not_beyond() {
    let body = || Full::new(Bytes::from_static(b"0123456789"));
    assert_eq!(read_limited(body(), 10).await.unwrap(), "0123456789");
    assert!(discard_limited(body(), 10).await.is_ok());
    for result in [read_limited(body(), 9).await.map(drop), discard_limited(body(), 9).await] {
        assert!(matches!(result, Err(LimitedBodyError::TooLong { max_bytes: 9 })), "{result:?}");
    }
    let endless = EndlessBody::default();
    assert!(read_limited(endless.clone(), FRAME_BYTES).await.is_err());
    assert_eq!(endless.read_bytes(), 2 * FRAME_BYTES);
}
