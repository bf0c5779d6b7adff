//! A request that has been sent on a connection and whose response has not begun.
//!
//! If its attempt is cancelled, because another one has answered, its caller has left, or its time is
//! up, a response may already be under way. An upstream that refuses does so at once, and may ask for
//! a pause. So the connection of a request that was sent, or timed out, a moment ago is kept for that
//! moment, and what such a response says of the upstream is recorded.

use std::future::poll_fn;
use std::pin::Pin;
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::TrySendError;
use tokio::runtime::Handle;
use tokio::time::{Instant, timeout_at};

use crate::core::{HeaderNames, UpstreamState};
use crate::request::{is_final_status, record_late_response};
use crate::serve::connection_pool::PooledHttpConnection;
use crate::serve::http_client::ConnectionOrigin;

/// Time for which a response may still arrive: a few round trips between failure domains. Much longer
/// than that, the upstream would go on working for nobody.
const LATE_RESPONSE_TIME: Duration = Duration::from_millis(25);

/// Result of sending a request on a connection.
pub(super) type SentResult = Result<Response<Incoming>, TrySendError<Request<Full<Bytes>>>>;

/// Reads what the response to a cancelled attempt says of its upstream.
#[derive(Debug)]
pub(super) struct LateResponseReader {
    pub(super) upstream: Arc<UpstreamState>,
    pub(super) header_names: Arc<HeaderNames>,
    pub(super) request_id: HeaderValue,
    pub(super) deadline: Instant,
    pub(super) sent_at: Instant,
}

impl LateResponseReader {
    /// Until when the response of an attempt that is cancelled now is awaited.
    fn wait_until(&self, now: Instant) -> Instant {
        let is_timed_out = now >= self.deadline;
        let since = if is_timed_out { self.deadline } else { self.sent_at };
        since + LATE_RESPONSE_TIME
    }

    fn record(&self, response: &Response<Incoming>) {
        record_late_response(
            &self.upstream,
            (response.status(), response.headers()),
            &self.request_id,
            &self.header_names,
            self.sent_at.elapsed(),
        );
    }
}

/// A response that has not begun, and the connection that it will arrive on.
pub(super) struct PendingResponse<F>
where
    F: Future<Output = SentResult> + Send + 'static,
{
    response: Option<Pin<Box<F>>>,
    connection: Option<PooledHttpConnection>,
    origin: ConnectionOrigin,
    reader: Option<LateResponseReader>,
}

impl<F> PendingResponse<F>
where
    F: Future<Output = SentResult> + Send + 'static,
{
    pub(super) fn new(
        response: F,
        connection: PooledHttpConnection,
        origin: ConnectionOrigin,
        reader: Option<LateResponseReader>,
    ) -> Self {
        Self { response: Some(Box::pin(response)), connection: Some(connection), origin, reader }
    }

    /// Waits for the response to begin, or the connection to close. Returns the connection too.
    pub(super) async fn wait(mut self) -> (SentResult, Option<PooledHttpConnection>) {
        let sent = poll_fn(|cx| match &mut self.response {
            Some(response) => response.as_mut().poll(cx),
            None => Poll::Pending,
        })
        .await;
        self.response = None;
        (sent, self.connection.take())
    }
}

impl<F> Drop for PendingResponse<F>
where
    F: Future<Output = SentResult> + Send + 'static,
{
    /// Runs with a connection if the attempt is cancelled before the response begins.
    fn drop(&mut self) {
        let Some(connection) = self.connection.take() else { return };
        let origin = self.origin.clone();
        let now = Instant::now();
        let until = self.reader.as_ref().map(|reader| reader.wait_until(now));
        let late = self.response.take().zip(self.reader.take()).zip(Handle::try_current().ok());
        let Some(((response, reader), runtime)) = late.filter(|_| until > Some(now)) else {
            return origin.abandon(connection);
        };
        runtime.spawn(async move {
            if let Ok(Ok(response)) = timeout_at(reader.wait_until(now), response).await
                && is_final_status(response.status())
            {
                reader.record(&response);
            }
            origin.abandon(connection);
        });
    }
}
