//! Buffers request bodies in memory, with limits on each body and on all bodies together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::Instant;

use crate::core::ResultCode;

/// Budget for the memory that buffered request bodies use on this node.
#[derive(Debug)]
pub(super) struct BodyMemoryBudget {
    reserved_bytes: AtomicUsize,
    max_bytes: usize,
}

/// Reserved part of the budget; returned when dropped.
#[derive(Debug)]
struct BodyReservation {
    budget: Arc<BodyMemoryBudget>,
    bytes: usize,
}

/// A complete body and its reserved part of the budget.
#[derive(Debug)]
pub(super) struct BufferedBody {
    pub(super) bytes: Bytes,
    _reservation: BodyReservation,
}

/// Limits of one body.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyLimits {
    /// Largest body, in bytes.
    pub(super) max_bytes: usize,
    /// Time by which the body must have arrived.
    pub(super) deadline: Instant,
}

impl BodyMemoryBudget {
    pub(super) fn new(max_bytes: usize) -> Self {
        Self { reserved_bytes: AtomicUsize::new(0), max_bytes }
    }
}

impl BodyReservation {
    /// Reserves more of the budget; false if that exceeds it.
    fn grow(&mut self, bytes: usize) -> bool {
        let reserved_bytes = self.budget.reserved_bytes.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes += bytes;
        reserved_bytes <= self.budget.max_bytes
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.budget.reserved_bytes.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads a complete body.
///
/// # Errors
///
/// Returns the result code of the error response; the request did not run. A body whose
/// `Content-Length` exceeds the limit is rejected before it is read.
pub(super) async fn read_body<B: Body<Data = Bytes> + Unpin>(
    body: B,
    limits: BodyLimits,
    budget: &Arc<BodyMemoryBudget>,
) -> Result<BufferedBody, ResultCode> {
    let reservation = BodyReservation { budget: Arc::clone(budget), bytes: 0 };
    if body.is_end_stream() {
        return Ok(BufferedBody { bytes: Bytes::new(), _reservation: reservation });
    }
    if body.size_hint().lower() > limits.max_bytes as u64 {
        return Err(ResultCode::RequestTooLarge);
    }
    let read = read_frames(body, limits.max_bytes, reservation);
    match tokio::time::timeout_at(limits.deadline, read).await {
        Ok(result) => result,
        Err(_) => Err(ResultCode::MalformedRequest),
    }
}

async fn read_frames<B: Body<Data = Bytes> + Unpin>(
    mut body: B,
    max_bytes: usize,
    mut reservation: BodyReservation,
) -> Result<BufferedBody, ResultCode> {
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ResultCode::MalformedRequest)?;
        let Ok(data) = frame.into_data() else { continue };
        if !reservation.grow(data.len()) {
            return Err(ResultCode::Overloaded);
        }
        if reservation.bytes > max_bytes {
            return Err(ResultCode::RequestTooLarge);
        }
        if first.is_empty() && rest.is_empty() {
            // Most bodies arrive in a single frame, which is not copied.
            first = data;
            continue;
        }
        if rest.is_empty() {
            rest.extend_from_slice(&first);
        }
        rest.extend_from_slice(&data);
    }
    let bytes = if rest.is_empty() { first } else { rest.freeze() };
    Ok(BufferedBody { bytes, _reservation: reservation })
}
