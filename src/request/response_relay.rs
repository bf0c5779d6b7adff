//! Relays an upstream's response to the caller from a separate task.
//!
//! The task reads the response even after the caller has disconnected, because the outcome of an
//! at-most-once request must be recorded. The part that is stored is relayed without backpressure,
//! so that a caller that stops reading cannot delay the record of a short response.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Frames beyond the stored part that may be buffered for the caller.
const MAX_BUFFERED_FRAMES: usize = 16;

/// A frame, and its permit if it counts as buffered.
struct RelayFrame<E> {
    frame: Result<Frame<Bytes>, E>,
    _permit: Option<OwnedSemaphorePermit>,
}

/// Body of a relayed response, as the caller receives it.
pub struct RelayedBody<B: Body> {
    frames: mpsc::UnboundedReceiver<RelayFrame<B::Error>>,
    hint: SizeHint,
    is_ended: bool,
}

impl<B: Body> fmt::Debug for RelayedBody<B> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("RelayedBody").field("is_ended", &self.is_ended).finish_non_exhaustive()
    }
}

impl<B: Body<Data = Bytes>> Body for RelayedBody<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        let body = self.get_mut();
        match body.frames.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(relayed)) => Poll::Ready(Some(relayed.frame)),
            Poll::Ready(None) => {
                body.is_ended = true;
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.is_ended
    }

    fn size_hint(&self) -> SizeHint {
        self.hint
    }
}

/// The part of a response body that is stored with the outcome.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct StoredBody {
    /// The complete body; empty if it is too large or was truncated.
    pub(super) bytes: Bytes,
    /// Whether the body is not stored.
    pub(super) is_dropped: bool,
}

impl StoredBody {
    /// Marks a body that is not stored.
    pub(super) fn not_stored() -> Self {
        Self { bytes: Bytes::new(), is_dropped: true }
    }
}

/// Reads an upstream's response and feeds it to a [`RelayedBody`].
pub(super) struct ResponseRelay<B: Body> {
    body: B,
    frames: mpsc::UnboundedSender<RelayFrame<B::Error>>,
    permits: Arc<Semaphore>,
    stored: BytesMut,
    max_stored_bytes: usize,
    is_ended: bool,
}

impl<B: Body<Data = Bytes> + Unpin> ResponseRelay<B> {
    /// Creates the relay and the body for the caller. Bodies longer than `max_stored_bytes` are not
    /// stored.
    pub(super) fn new(body: B, max_stored_bytes: usize) -> (Self, RelayedBody<B>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let relayed =
            RelayedBody { frames: rx, hint: body.size_hint(), is_ended: body.is_end_stream() };
        let relay = Self {
            body,
            frames: tx,
            permits: Arc::new(Semaphore::new(MAX_BUFFERED_FRAMES)),
            stored: BytesMut::new(),
            max_stored_bytes,
            is_ended: false,
        };
        (relay, relayed)
    }

    /// Relays frames until the response has ended or is too long to be stored.
    pub(super) async fn relay_stored_part(&mut self) -> StoredBody {
        loop {
            let Some(frame) = self.body.frame().await else {
                self.is_ended = true;
                return StoredBody { bytes: self.stored.split().freeze(), is_dropped: false };
            };
            let is_truncated = frame.is_err();
            if let Ok(data) = frame.as_ref().map(Frame::data_ref) {
                self.stored.extend_from_slice(data.map_or(&[], |data| data.as_ref()));
            }
            let _ = self.frames.send(RelayFrame { frame, _permit: None });
            self.is_ended = is_truncated;
            if is_truncated || self.stored.len() > self.max_stored_bytes {
                return StoredBody::not_stored();
            }
        }
    }

    /// Relays the rest with backpressure from the caller; stops when the caller disconnects.
    pub(super) async fn relay_rest(mut self) {
        let frames = self.frames.clone();
        tokio::select! {
            () = self.relay_with_backpressure() => {}
            () = frames.closed() => {}
        }
    }

    async fn relay_with_backpressure(&mut self) {
        while !self.is_ended {
            let Ok(permit) = Arc::clone(&self.permits).acquire_owned().await else { return };
            let Some(frame) = self.body.frame().await else { return };
            self.is_ended = frame.is_err();
            let _ = self.frames.send(RelayFrame { frame, _permit: Some(permit) });
        }
    }
}
