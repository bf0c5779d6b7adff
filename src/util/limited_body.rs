//! Reads bodies that this node reads for itself, up to a limit in bytes.
//!
//! Whoever sends a body may send bytes without end, and faster than a timeout ends that. A lint forbids
//! `BodyExt::collect`, which has no limit.

use std::error::Error;

use bytes::{Bytes, BytesMut};
use http_body::Body;
use http_body_util::BodyExt;

/// Largest body that a command-line tool reads, in bytes.
pub const MAX_TOOL_BODY_BYTES: usize = 64 << 20;

/// Most bytes that are allocated for a body before they have arrived.
const MAX_RESERVED_BYTES: usize = 4 << 20;

/// Why a body was not read to its end.
#[derive(Debug, thiserror::Error)]
pub enum LimitedBodyError {
    /// It has more bytes than allowed.
    #[error("the body has more than {max_bytes} bytes")]
    TooLong {
        /// The limit.
        max_bytes: usize,
    },
    /// It was cut off.
    #[error("the body was cut off: {0}")]
    Broken(#[source] Box<dyn Error + Send + Sync>),
}

/// Reads a body of at most `max_bytes` to its end.
///
/// # Errors
///
/// Returns an error as soon as there are more bytes, or if the body is cut off.
pub async fn read_limited<B>(body: B, max_bytes: usize) -> Result<Bytes, LimitedBodyError>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin,
{
    // The announced length, so that a large body is not copied as its buffer grows.
    let length = usize::try_from(body.size_hint().lower()).unwrap_or(max_bytes);
    let mut bytes = BytesMut::with_capacity(length.min(max_bytes).min(MAX_RESERVED_BYTES));
    read_frames(body, max_bytes, |data| bytes.extend_from_slice(&data)).await?;
    Ok(bytes.freeze())
}

/// Reads a body of at most `max_bytes` to its end and keeps none of it.
///
/// # Errors
///
/// Returns an error as soon as there are more bytes, or if the body is cut off.
pub async fn discard_limited<B>(body: B, max_bytes: usize) -> Result<(), LimitedBodyError>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin,
{
    read_frames(body, max_bytes, drop).await
}

async fn read_frames<B>(
    mut body: B,
    max_bytes: usize,
    mut take: impl FnMut(Bytes),
) -> Result<(), LimitedBodyError>
where
    B: Body<Data = Bytes, Error: Into<Box<dyn Error + Send + Sync>>> + Unpin,
{
    let mut left = max_bytes;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|error| LimitedBodyError::Broken(error.into()))?;
        let Ok(data) = frame.into_data() else { continue };
        left = left.checked_sub(data.len()).ok_or(LimitedBodyError::TooLong { max_bytes })?;
        take(data);
    }
    Ok(())
}
