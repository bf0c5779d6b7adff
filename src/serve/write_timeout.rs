//! Write timeout for callers' connections.
//!
//! A caller can stop reading in the middle of a response. Without a timeout, the response, its
//! upstream connection and its permit would be held forever.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time::Sleep;

/// A stream on which writes fail with `TimedOut` after `write_timeout` without progress.
#[derive(Debug)]
pub(super) struct WriteTimeoutStream<S> {
    stream: S,
    write_timeout: Duration,
    /// Runs while a write is pending.
    timer: Option<Pin<Box<Sleep>>>,
}

impl<S> WriteTimeoutStream<S> {
    pub(super) fn new(stream: S, write_timeout: Duration) -> Self {
        Self { stream, write_timeout, timer: None }
    }

    /// Restarts the timeout on progress; fails a write that has been pending for too long.
    fn apply_timeout<T>(
        &mut self,
        cx: &mut Context<'_>,
        progress: Poll<io::Result<T>>,
    ) -> Poll<io::Result<T>> {
        if progress.is_ready() {
            self.timer = None;
            return progress;
        }
        let timeout = self.write_timeout;
        let timer = self.timer.get_or_insert_with(|| Box::pin(tokio::time::sleep(timeout)));
        if timer.as_mut().poll(cx).is_pending() {
            return Poll::Pending;
        }
        Poll::Ready(Err(io::Error::from(io::ErrorKind::TimedOut)))
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WriteTimeoutStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buffer)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for WriteTimeoutStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write(cx, bytes);
        self.apply_timeout(cx, progress)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffers: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let progress = Pin::new(&mut self.stream).poll_write_vectored(cx, buffers);
        self.apply_timeout(cx, progress)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.stream).poll_flush(cx);
        self.apply_timeout(cx, progress)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let progress = Pin::new(&mut self.stream).poll_shutdown(cx);
        self.apply_timeout(cx, progress)
    }
}
