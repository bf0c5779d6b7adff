//! Reads request bodies into memory, within bounds for each and for all of them together.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;
use tokio::time::Instant;

use crate::core::ResultCode;

/// Bytes that request bodies occupy on this node.
#[derive(Debug)]
pub(super) struct BodyMemoryBudget {
    held: AtomicUsize,
    max_bytes: usize,
}

/// A part of the budget; given back when dropped.
#[derive(Debug)]
struct BodyHold {
    budget: Arc<BodyMemoryBudget>,
    bytes: usize,
}

/// A whole body and its part of the budget.
#[derive(Debug)]
pub(super) struct BufferedBody {
    pub(super) bytes: Bytes,
    _hold: BodyHold,
}

/// Bounds of one body.
#[derive(Clone, Copy, Debug)]
pub(super) struct BodyLimits {
    /// Longest body.
    pub(super) max_bytes: usize,
    /// Time by which it must have arrived.
    pub(super) deadline: Instant,
}

impl BodyMemoryBudget {
    pub(super) fn new(max_bytes: usize) -> Self {
        Self { held: AtomicUsize::new(0), max_bytes }
    }
}

impl BodyHold {
    /// Takes more of the budget; false if it is spent.
    fn grow(&mut self, bytes: usize) -> bool {
        let held = self.budget.held.fetch_add(bytes, Ordering::Relaxed) + bytes;
        self.bytes += bytes;
        held <= self.budget.max_bytes
    }
}

impl Drop for BodyHold {
    fn drop(&mut self) {
        self.budget.held.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

/// Reads a body.
///
/// # Errors
///
/// Returns the code of the refusal; the request did not run. A body that announces more than is
/// allowed is refused before it is read.
pub(super) async fn read_body<B: Body<Data = Bytes> + Unpin>(
    body: B,
    bounds: BodyLimits,
    budget: &Arc<BodyMemoryBudget>,
) -> Result<BufferedBody, ResultCode> {
    let hold = BodyHold { budget: Arc::clone(budget), bytes: 0 };
    if body.is_end_stream() {
        return Ok(BufferedBody { bytes: Bytes::new(), _hold: hold });
    }
    if body.size_hint().lower() > bounds.max_bytes as u64 {
        return Err(ResultCode::RequestTooLarge);
    }
    let read = read_frames(body, bounds.max_bytes, hold);
    match tokio::time::timeout_at(bounds.deadline, read).await {
        Ok(result) => result,
        Err(_) => Err(ResultCode::MalformedRequest),
    }
}

async fn read_frames<B: Body<Data = Bytes> + Unpin>(
    mut body: B,
    max_bytes: usize,
    mut hold: BodyHold,
) -> Result<BufferedBody, ResultCode> {
    let mut first = Bytes::new();
    let mut rest = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ResultCode::MalformedRequest)?;
        let Ok(data) = frame.into_data() else { continue };
        if !hold.grow(data.len()) {
            return Err(ResultCode::Overloaded);
        }
        if hold.bytes > max_bytes {
            return Err(ResultCode::RequestTooLarge);
        }
        if first.is_empty() && rest.is_empty() {
            // Most bodies arrive in one piece and are not copied.
            first = data;
            continue;
        }
        if rest.is_empty() {
            rest.extend_from_slice(&first);
        }
        rest.extend_from_slice(&data);
    }
    let bytes = if rest.is_empty() { first } else { rest.freeze() };
    Ok(BufferedBody { bytes, _hold: hold })
}
