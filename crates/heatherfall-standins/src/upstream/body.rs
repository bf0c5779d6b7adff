//! An answer body that can end too early.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};

/// A body that announces `declared` bytes and fails after what it holds.
pub(super) struct TruncatedBody {
    data: Option<Bytes>,
    declared: u64,
    is_truncated: bool,
    is_flushed: bool,
}

impl TruncatedBody {
    pub(super) fn new(whole: Bytes, cut_after: Option<usize>) -> Self {
        let declared = whole.len() as u64;
        let kept = cut_after.map_or(whole.len(), |limit| limit.min(whole.len()));
        let is_cut = kept < whole.len();
        Self { data: Some(whole.slice(..kept)), declared, is_truncated: is_cut, is_flushed: false }
    }
}

impl Body for TruncatedBody {
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
            // A pending body makes the server flush, so that the head and the data go out first.
            self.is_flushed = true;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if self.is_truncated {
            return Poll::Ready(Some(Err(std::io::Error::other("stand-in cut the answer"))));
        }
        Poll::Ready(None)
    }

    fn is_end_stream(&self) -> bool {
        self.data.is_none() && !self.is_truncated
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.declared)
    }
}
