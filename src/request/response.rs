//! Responses to callers: an upstream's, streamed, or an error response with a result code.

use std::pin::Pin;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http::header::{self, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};
use tokio::time::{Instant, Sleep};

use crate::core::{
    FORWARD_REFUSED_HEADER, IDEMPOTENCY_KEY_HEADER, NOT_DISPATCHED_HEADER, NOT_RUN_HEADER,
    RESULT_CODE_HEADER, ResultCode, UPSTREAM_HEADER, UPSTREAM_NOT_RUN_HEADER,
};
use crate::request::response_relay::RelayedBody;

/// Headers that only this node may set on responses to its callers.
pub(super) const RESERVED_RESPONSE_HEADERS: [&str; 6] = [
    FORWARD_REFUSED_HEADER,
    NOT_DISPATCHED_HEADER,
    NOT_RUN_HEADER,
    RESULT_CODE_HEADER,
    UPSTREAM_HEADER,
    UPSTREAM_NOT_RUN_HEADER,
];

/// `Retry-After` of error responses without a better estimate.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Response to a caller.
pub type CallerResponse<B, G> = Response<ResponseBody<B, G>>;

/// Frame of a response body, or why the body was truncated.
type ResponseFrame<E> = Result<Frame<Bytes>, ResponseBodyError<E>>;

/// Why a response body was truncated.
#[derive(Debug, thiserror::Error)]
pub enum ResponseBodyError<E> {
    /// The upstream's response was truncated.
    #[error(transparent)]
    Upstream(E),
    /// The response was incomplete at the deadline of the request.
    #[error("response body incomplete at the request deadline; response to the caller truncated")]
    DeadlineExceeded,
}

/// Body of a response: bytes in memory, or an upstream's stream together with the guard `G` of the
/// request, which is dropped when the response has been forwarded or abandoned.
///
/// An error of the stream is returned as an error, so that the server resets the caller's
/// connection or stream instead of ending the response cleanly.
#[derive(Debug)]
pub enum ResponseBody<B: Body, G> {
    /// Bytes produced or buffered by this node; none once they have been sent.
    Local(Option<Bytes>),
    /// An upstream's response, read when the caller's connection polls for it.
    Stream(ResponseStream<B, G>),
    /// An upstream's response that a task of the data plane reads, so that the request completes
    /// even if its caller disconnects.
    Relayed(ResponseStream<RelayedBody<B>, ()>),
}

/// Observes how the body of a response ends.
pub trait BodyObserver {
    /// The upstream has sent all of it.
    fn record_whole_body(&mut self);

    /// The upstream has broken it off.
    fn record_broken_body(&mut self);
}

impl BodyObserver for () {
    fn record_whole_body(&mut self) {}

    fn record_broken_body(&mut self) {}
}

/// Body of an upstream's response, streamed to the caller until the deadline of the request.
#[derive(Debug)]
pub struct ResponseStream<B, G> {
    body: B,
    deadline: Instant,
    /// Created when the stream first has to wait; most responses never do.
    timer: Option<Pin<Box<Sleep>>>,
    guard: G,
}

impl<B, G> ResponseStream<B, G> {
    /// Creates the stream of a response that must be complete by `deadline`.
    pub fn new(body: B, deadline: Instant, guard: G) -> Self {
        Self { body, deadline, timer: None, guard }
    }
}

impl<B: Body<Data = Bytes> + Unpin, G: BodyObserver> ResponseStream<B, G> {
    fn poll_frame_or_deadline(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<ResponseFrame<B::Error>>> {
        if let Poll::Ready(frame) = Pin::new(&mut self.body).poll_frame(cx) {
            match &frame {
                Some(Err(_)) => self.guard.record_broken_body(),
                // The server does not ask for the end of a body whose length it knows.
                Some(Ok(_)) if !self.body.is_end_stream() => {}
                Some(Ok(_)) | None => self.guard.record_whole_body(),
            }
            return Poll::Ready(frame.map(|frame| match frame {
                Ok(frame) => Ok(strip_reserved_trailers(frame)),
                Err(error) => Err(ResponseBodyError::Upstream(error)),
            }));
        }
        let deadline = self.deadline;
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep_until(deadline)));
        ready!(timer.as_mut().poll(cx));
        Poll::Ready(Some(Err(ResponseBodyError::DeadlineExceeded)))
    }
}

/// Removes trailers that only this node may set.
fn strip_reserved_trailers(mut frame: Frame<Bytes>) -> Frame<Bytes> {
    if let Some(trailers) = frame.trailers_mut() {
        for name in RESERVED_RESPONSE_HEADERS {
            trailers.remove(name);
        }
    }
    frame
}

impl<B, G> Body for ResponseBody<B, G>
where
    B: Body<Data = Bytes> + Unpin,
    G: BodyObserver + Unpin,
{
    type Data = Bytes;
    type Error = ResponseBodyError<B::Error>;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<ResponseFrame<B::Error>>> {
        match self.get_mut() {
            Self::Local(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(stream) => stream.poll_frame_or_deadline(cx),
            Self::Relayed(stream) => stream.poll_frame_or_deadline(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Local(bytes) => bytes.is_none(),
            Self::Stream(stream) => stream.body.is_end_stream(),
            Self::Relayed(stream) => stream.body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Local(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream(stream) => stream.body.size_hint(),
            Self::Relayed(stream) => stream.body.size_hint(),
        }
    }
}

/// Format of the `Retry-After` header.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum RetryAfterFormat {
    /// Whole seconds, as RFC 9110, section 10.2.3 requires.
    #[default]
    WholeSeconds,
    /// Seconds with three decimals, for callers known to accept them.
    FractionalSeconds,
}

/// Statuses of refusals after which the caller may return.
const RETRYABLE_STATUSES: [StatusCode; 2] =
    [StatusCode::SERVICE_UNAVAILABLE, StatusCode::TOO_MANY_REQUESTS];

/// Sets `Retry-After` on a 429 or 503 response; leaves other responses unchanged.
pub(super) fn set_retry_after<B: Body, G>(
    response: &mut CallerResponse<B, G>,
    after: Duration,
    form: RetryAfterFormat,
) {
    if !RETRYABLE_STATUSES.contains(&response.status()) {
        return;
    }
    let text = match form {
        RetryAfterFormat::WholeSeconds => after.as_secs().max(1).to_string(),
        RetryAfterFormat::FractionalSeconds => format!("{:.3}", after.as_secs_f64()),
    };
    if let Ok(value) = HeaderValue::from_str(&text) {
        response.headers_mut().insert(header::RETRY_AFTER, value);
    }
}

/// Builds the error response for a result code; the not-run header is set only for codes that
/// guarantee it ([`is_not_run`]).
pub fn error_response<B: Body, G>(code: ResultCode) -> CallerResponse<B, G> {
    error_response_retry_after(code, RETRY_AFTER)
}

/// Builds an error response with this `Retry-After`, at least 1 s. Only 429 and 503 responses and
/// HF-1020 carry the header.
pub fn error_response_retry_after<B: Body, G>(
    code: ResultCode,
    retry_after: Duration,
) -> CallerResponse<B, G> {
    let text = format!("{code}: {}\n", code.summary());
    let mut response = Response::new(ResponseBody::Local(Some(Bytes::from(text))));
    *response.status_mut() = http_status(code);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    if let Ok(value) = HeaderValue::from_str(&code.to_string()) {
        headers.insert(RESULT_CODE_HEADER, value);
    }
    if is_not_run(code) {
        headers.insert(NOT_RUN_HEADER, HeaderValue::from_static("true"));
    }
    let is_retryable = RETRYABLE_STATUSES.contains(&response.status());
    if is_retryable || code == ResultCode::KeyInProgress {
        let secs = retry_after.as_secs().max(1);
        response.headers_mut().insert(header::RETRY_AFTER, HeaderValue::from(secs));
    }
    response
}

/// Builds the error response to a request with `headers` that holds no claim on its key.
///
/// An earlier send with the same idempotency key may have run, so the response says that this send
/// was not dispatched, and not that the request did not run.
pub fn unclaimed_error_response<B: Body, G>(
    headers: &HeaderMap,
    code: ResultCode,
) -> CallerResponse<B, G> {
    limit_claim_to_this_send(headers, error_response(code))
}

/// Replaces the not-run header by the not-dispatched header, which covers this send only, if the
/// request with `headers` carries an idempotency key.
pub(super) fn limit_claim_to_this_send<B: Body, G>(
    headers: &HeaderMap,
    mut response: CallerResponse<B, G>,
) -> CallerResponse<B, G> {
    if !headers.contains_key(IDEMPOTENCY_KEY_HEADER) {
        return response;
    }
    if let Some(value) = response.headers_mut().remove(NOT_RUN_HEADER) {
        response.headers_mut().insert(NOT_DISPATCHED_HEADER, value);
    }
    response
}

/// Whether the code guarantees that no upstream ran the request.
///
/// The codes are listed one by one, so that a new code gives no guarantee by accident.
pub fn is_not_run(code: ResultCode) -> bool {
    matches!(
        code,
        ResultCode::NoRoute
            | ResultCode::NoUpstream
            | ResultCode::NotRun
            | ResultCode::RequestTooLarge
            | ResultCode::Unsupported
            | ResultCode::MalformedRequest
            | ResultCode::NotReady
            | ResultCode::Overloaded
            | ResultCode::CrashesUpstreams
            | ResultCode::Leaving
            | ResultCode::ConfigUnconfirmed
            | ResultCode::KeyMalformed
            | ResultCode::LedgerUnavailable
            | ResultCode::LedgerFull
            | ResultCode::Unauthenticated
            | ResultCode::QuotaExceeded
    )
}

fn http_status(code: ResultCode) -> StatusCode {
    match code {
        ResultCode::NoRoute => StatusCode::NOT_FOUND,
        ResultCode::RequestTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ResultCode::Unsupported => StatusCode::NOT_IMPLEMENTED,
        ResultCode::MalformedRequest | ResultCode::KeyMalformed => StatusCode::BAD_REQUEST,
        ResultCode::KeyInProgress | ResultCode::AlreadyRan => StatusCode::CONFLICT,
        ResultCode::KeyMismatch => StatusCode::UNPROCESSABLE_ENTITY,
        ResultCode::KeyExpired => StatusCode::GONE,
        ResultCode::OutcomeUnknown | ResultCode::AnswerNotWhole => StatusCode::BAD_GATEWAY,
        ResultCode::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        ResultCode::Unauthenticated => StatusCode::UNAUTHORIZED,
        ResultCode::QuotaExceeded => StatusCode::TOO_MANY_REQUESTS,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
