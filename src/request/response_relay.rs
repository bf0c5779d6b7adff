//! An upstream's answer, read by a task of the plane and passed on to the caller.
//!
//! The task reads the answer whether or not the caller still listens, because the outcome of an
//! at-most-once request has to be kept. The first bytes pass without back-pressure, so that a
//! caller that stops reading cannot delay the record of a short answer.

use std::fmt;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::{Bytes, BytesMut};
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use tokio::sync::{OwnedSemaphorePermit, Semaphore, mpsc};

/// Frames beyond the kept part that may wait for the caller.
const MAX_WAITING_FRAMES: usize = 16;

/// One frame, and its place among those that may wait.
struct RelayItem<E> {
    frame: Result<Frame<Bytes>, E>,
    _place: Option<OwnedSemaphorePermit>,
}

/// The caller's end of a relayed answer.
pub struct RelayedBody<B: Body> {
    items: mpsc::UnboundedReceiver<RelayItem<B::Error>>,
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
        match body.items.poll_recv(cx) {
            Poll::Pending => Poll::Pending,
            Poll::Ready(Some(item)) => Poll::Ready(Some(item.frame)),
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

/// What is kept of an answer's body.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(super) struct StoredBody {
    /// The body, empty if it is too large or was cut.
    pub(super) bytes: Bytes,
    /// Whether the body is not kept.
    pub(super) is_dropped: bool,
}

impl StoredBody {
    /// A body that is not kept.
    pub(super) fn not_stored() -> Self {
        Self { bytes: Bytes::new(), is_dropped: true }
    }
}

/// The upstream's end of a relayed answer.
pub(super) struct ResponseRelay<B: Body> {
    body: B,
    items: mpsc::UnboundedSender<RelayItem<B::Error>>,
    places: Arc<Semaphore>,
    kept: BytesMut,
    max_kept_bytes: usize,
    is_ended: bool,
}

impl<B: Body<Data = Bytes> + Unpin> ResponseRelay<B> {
    /// Creates both ends.
    pub(super) fn new(body: B, max_kept_bytes: usize) -> (Self, RelayedBody<B>) {
        let (tx, rx) = mpsc::unbounded_channel();
        let relayed =
            RelayedBody { items: rx, hint: body.size_hint(), is_ended: body.is_end_stream() };
        let relay = Self {
            body,
            items: tx,
            places: Arc::new(Semaphore::new(MAX_WAITING_FRAMES)),
            kept: BytesMut::new(),
            max_kept_bytes,
            is_ended: false,
        };
        (relay, relayed)
    }

    /// Passes frames on until the answer has ended, or is longer than what is kept.
    pub(super) async fn relay_stored_part(&mut self) -> StoredBody {
        loop {
            let Some(frame) = self.body.frame().await else {
                self.is_ended = true;
                return StoredBody { bytes: self.kept.split().freeze(), is_dropped: false };
            };
            let is_cut = frame.is_err();
            if let Ok(data) = frame.as_ref().map(Frame::data_ref) {
                self.kept.extend_from_slice(data.map_or(&[], |data| data.as_ref()));
            }
            let _ = self.items.send(RelayItem { frame, _place: None });
            self.is_ended = is_cut;
            if is_cut || self.kept.len() > self.max_kept_bytes {
                return StoredBody::not_stored();
            }
        }
    }

    /// Passes the rest on at the caller's pace, and stops when the caller is gone.
    pub(super) async fn relay_rest(mut self) {
        let items = self.items.clone();
        tokio::select! {
            () = self.pass_paced() => {}
            () = items.closed() => {}
        }
    }

    async fn pass_paced(&mut self) {
        while !self.is_ended {
            let Ok(place) = Arc::clone(&self.places).acquire_owned().await else { return };
            let Some(frame) = self.body.frame().await else { return };
            self.is_ended = frame.is_err();
            let _ = self.items.send(RelayItem { frame, _place: Some(place) });
        }
    }
}
