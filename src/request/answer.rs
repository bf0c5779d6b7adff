//! Answers to callers: an upstream's, streamed, or one of our own, numbered.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http::header::{CONTENT_TYPE, RETRY_AFTER};
use http::{HeaderValue, Response, StatusCode};
use http_body::{Body, Frame, SizeHint};

use crate::core::{NOT_RUN_HEADER, RESULT_CODE_HEADER, ResultCode};

/// Seconds after which a refused caller may come back.
const RETRY_AFTER_SECS: u64 = 1;

/// An answer as the server sends it.
pub type CallerAnswer<B, G> = Response<AnswerBody<B, G>>;

/// Body of an answer: whole bytes, or an upstream's stream together with the guard `G` of the
/// request, which is dropped when the answer has been passed on or given up.
///
/// An error of the stream is passed on as an error, so that the server cuts the caller's
/// connection instead of ending the answer cleanly.
#[derive(Debug)]
pub enum AnswerBody<B, G> {
    /// Bytes of our own.
    Own(Option<Bytes>),
    /// An upstream's answer.
    Stream {
        /// The stream.
        body: B,
        /// Guard of the request.
        guard: G,
    },
}

impl<B, G> Body for AnswerBody<B, G>
where
    B: Body<Data = Bytes> + Unpin,
    G: Unpin,
{
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        match self.get_mut() {
            Self::Own(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream { body, .. } => Pin::new(body).poll_frame(cx),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Self::Own(bytes) => bytes.is_none(),
            Self::Stream { body, .. } => body.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Own(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            Self::Stream { body, .. } => body.size_hint(),
        }
    }
}

/// Builds a refusal with its result code; the not-run header is set only for codes that promise
/// it.
pub fn refusal<B, G>(code: ResultCode) -> CallerAnswer<B, G> {
    let text = format!("{code}: {}\n", code.summary());
    let mut response = Response::new(AnswerBody::Own(Some(Bytes::from(text))));
    *response.status_mut() = status_of(code);
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/plain; charset=utf-8"));
    if let Ok(value) = HeaderValue::from_str(&code.to_string()) {
        headers.insert(RESULT_CODE_HEADER, value);
    }
    if is_not_run(code) {
        headers.insert(NOT_RUN_HEADER, HeaderValue::from_static("true"));
    }
    if response.status() == StatusCode::SERVICE_UNAVAILABLE {
        response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(RETRY_AFTER_SECS));
    }
    response
}

/// Whether the code promises that no upstream ran the request.
fn is_not_run(code: ResultCode) -> bool {
    !matches!(
        code,
        ResultCode::OutcomeUnknown | ResultCode::DeadlineExceeded | ResultCode::AnswerNotWhole
    )
}

fn status_of(code: ResultCode) -> StatusCode {
    match code {
        ResultCode::NoRoute => StatusCode::NOT_FOUND,
        ResultCode::RequestTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
        ResultCode::Unsupported => StatusCode::NOT_IMPLEMENTED,
        ResultCode::MalformedRequest => StatusCode::BAD_REQUEST,
        ResultCode::OutcomeUnknown | ResultCode::AnswerNotWhole => StatusCode::BAD_GATEWAY,
        ResultCode::DeadlineExceeded => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
