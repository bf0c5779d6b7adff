//! Response body that can fail before its end.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// A body that declares `declared_bytes` and, if truncated, fails after fewer.
pub(super) struct TruncatableBody {
    data: Option<Bytes>,
    declared_bytes: u64,
    is_truncated: bool,
    is_flushed: bool,
}

impl TruncatableBody {
    pub(super) fn new(whole: Bytes, truncate_after_bytes: Option<usize>) -> Self {
        let declared_bytes = whole.len() as u64;
        let sent_bytes = truncate_after_bytes.map_or(whole.len(), |limit| limit.min(whole.len()));
        let is_truncated = sent_bytes < whole.len();
        Self {
            data: Some(whole.slice(..sent_bytes)),
            declared_bytes,
            is_truncated,
            is_flushed: false,
        }
    }
}

impl Body for TruncatableBody {
    type Data = Bytes;
    type Error = std::io::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, std::io::Error>>> {
        if let Some(data) = self.data.take() {
            return Poll::Ready(Some(Ok(Frame::data(data))));
        }
        if self.is_truncated && !self.is_flushed {
            // hyper flushes while the body is pending, so that the head and the data are sent
            // before the connection fails.
            self.is_flushed = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if self.is_truncated {
            return Poll::Ready(Some(Err(std::io::Error::other(
                "stand-in truncated the response",
            ))));
        }
        Poll::Ready(None)
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none() && !self.is_truncated
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.declared_bytes)
    }
}
