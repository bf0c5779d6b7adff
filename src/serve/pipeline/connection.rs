//! Polls a caller's connection and its read-ahead in one task.

use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use tokio::time::Sleep;

use crate::serve::pipeline::ahead_queue::RequestStarter;
use crate::serve::pipeline::read_ahead::{CallerSocket, ReadAhead, lock};

/// Interval of checks whether the caller has closed a connection whose buffer is full. Half of the
/// time within which early requests must be cancelled, 500 ms, is left for a task that is late.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Most polls of the server before other tasks get a turn.
const MAX_POLLS: u32 = 16;

/// A connection of the server `F`, whose requests `R` starts ahead of their turn. Ends with the
/// server's connection, or when the caller resets it.
pub(in crate::serve) struct PipelinedConnection<F, S, R: RequestStarter> {
    connection: Pin<Box<F>>,
    read_ahead: Arc<Mutex<ReadAhead<S, R::Early>>>,
    starter: R,
    /// Runs while the buffer is full and requests run ahead.
    close_check: Option<Pin<Box<Sleep>>>,
}

impl<F, S, R> PipelinedConnection<F, S, R>
where
    F: Future,
    S: CallerSocket,
    R: RequestStarter,
{
    pub(in crate::serve) fn new(
        connection: F,
        read_ahead: Arc<Mutex<ReadAhead<S, R::Early>>>,
        starter: R,
    ) -> Self {
        Self { connection: Box::pin(connection), read_ahead, starter, close_check: None }
    }

    fn poll_close_check(&mut self, cx: &mut Context<'_>) {
        loop {
            if !lock(&self.read_ahead).needs_close_check() {
                self.close_check = None;
                return;
            }
            let timer = self
                .close_check
                .get_or_insert_with(|| Box::pin(tokio::time::sleep(CLOSE_CHECK_INTERVAL)));
            if timer.as_mut().poll(cx).is_pending() {
                return;
            }
            self.close_check = None;
            lock(&self.read_ahead).check_closed();
        }
    }
}

impl<F, S, R> Future for PipelinedConnection<F, S, R>
where
    F: Future,
    S: CallerSocket,
    R: RequestStarter + Unpin,
{
    type Output = ();

    fn poll(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<()> {
        let this = self.get_mut();
        for _ in 0..MAX_POLLS {
            if lock(&this.read_ahead).poll_ahead(cx).is_err() {
                return Poll::Ready(());
            }
            // The server is polled after each read, so it needs no waker of its own for bytes that were
            // read ahead; and before requests are started, so that a request whose turn has come is not
            // counted as started ahead.
            if this.connection.as_mut().poll(cx).is_ready() {
                return Poll::Ready(());
            }
            let mut read_ahead = lock(&this.read_ahead);
            read_ahead.start_ready(&this.starter);
            if !read_ahead.needs_poll() {
                drop(read_ahead);
                this.poll_close_check(cx);
                return Poll::Pending;
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}
