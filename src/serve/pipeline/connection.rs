//! Polls a caller's connection and its read-ahead in one task.

use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use prometheus::IntCounter;
use tokio::time::Sleep;

use crate::serve::pipeline::ahead_queue::RequestStarter;
use crate::serve::pipeline::read_ahead::{CallerSocket, ReadAhead, lock};

/// Interval of checks whether the caller has closed a connection that is not being read. Half of the
/// time within which its requests must be cancelled, 500 ms, is left for a task that is late.
const CLOSE_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Most polls of the server before other tasks get a turn.
const MAX_POLLS: u32 = 16;

/// A connection of the server `F`, whose requests `R` starts ahead of their turn.
///
/// Ends with the server's connection, or when the caller has closed or reset it. The server notices
/// that only once it has used up all bytes that came before.
pub(in crate::serve) struct PipelinedConnection<F, S, R: RequestStarter> {
    connection: Pin<Box<F>>,
    read_ahead: Arc<Mutex<ReadAhead<S, R::Early>>>,
    starter: R,
    /// Runs while nothing waits for the socket.
    close_check: Option<Pin<Box<Sleep>>>,
    /// Counts connections whose end the server has not read.
    abandoned: IntCounter,
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
        abandoned: IntCounter,
    ) -> Self {
        let connection = Box::pin(connection);
        Self { connection, read_ahead, starter, close_check: None, abandoned }
    }

    /// Looks for the end of the connection each [`CLOSE_CHECK_INTERVAL`] while nothing waits for it.
    fn poll_close_check(&mut self, cx: &mut Context<'_>) {
        while lock(&self.read_ahead).needs_close_check() {
            let timer = self
                .close_check
                .get_or_insert_with(|| Box::pin(tokio::time::sleep(CLOSE_CHECK_INTERVAL)));
            if timer.as_mut().poll(cx).is_pending() {
                return;
            }
            self.close_check = None;
            lock(&self.read_ahead).check_closed();
        }
        self.close_check = None;
    }

    /// Whether the caller has left and the server cannot know it; dropping the server's connection
    /// then cancels what it does.
    fn is_abandoned(&self) -> bool {
        let is_abandoned = lock(&self.read_ahead).is_end_unread();
        if is_abandoned {
            self.abandoned.inc();
        }
        is_abandoned
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
            if this.is_abandoned() {
                return Poll::Ready(());
            }
            let mut read_ahead = lock(&this.read_ahead);
            read_ahead.start_ready(&this.starter);
            if !read_ahead.needs_poll() {
                drop(read_ahead);
                this.poll_close_check(cx);
                return if this.is_abandoned() { Poll::Ready(()) } else { Poll::Pending };
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}
