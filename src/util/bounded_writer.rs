//! A non-blocking writer for log lines.
//!
//! Lines pass through a bounded queue to a writer thread. Lines are dropped and counted when the
//! queue is full, because the reader of the output has stopped, or when they exceed the rate limit.
//! The next write to the output ends with a line that gives their number.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Capacity of the queue.
const MAX_QUEUED_LINES: usize = 1024;
/// Window of the rate timeout.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Interval at which [`LogFlushHandle::wait_until_written`] polls the queue.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Waits for queued lines to be written, for use before a process exits.
#[derive(Clone, Debug, Default)]
pub struct LogFlushHandle {
    /// Lines that are queued or being written.
    queued_lines: Arc<AtomicUsize>,
}

impl LogFlushHandle {
    /// Blocks until all lines are written, or until `timeout` if the output is not being read.
    pub fn wait_until_written(&self, timeout: Duration) {
        let started = Instant::now();
        while self.queued_lines.load(Ordering::Acquire) > 0 && started.elapsed() < timeout {
            std::thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

/// Sends complete lines through a queue to a writer thread.
#[derive(Debug)]
pub struct BoundedWriter {
    lines: SyncSender<Vec<u8>>,
    /// Lines dropped since the last report of them.
    dropped: Arc<AtomicU64>,
    flush_handle: LogFlushHandle,
    /// The beginning of a line whose end has not been written yet.
    partial: Vec<u8>,
    max_lines_per_second: u32,
    window_started: Instant,
    window_lines: u32,
}

impl BoundedWriter {
    /// Starts the thread that writes to `output`, with a rate limit on the lines.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start<W: Write + Send + 'static>(
        output: W,
        max_lines_per_second: u32,
    ) -> io::Result<Self> {
        let (lines, queue) = sync_channel(MAX_QUEUED_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let dropped_lines = Arc::clone(&dropped);
        let flush_handle = LogFlushHandle::default();
        let queued_lines = Arc::clone(&flush_handle.queued_lines);
        let thread = std::thread::Builder::new().name("log".to_owned());
        thread.spawn(move || write_lines(output, &queue, &dropped_lines, &queued_lines))?;
        Ok(Self {
            lines,
            dropped,
            flush_handle,
            partial: Vec::new(),
            max_lines_per_second,
            window_started: Instant::now(),
            window_lines: 0,
        })
    }

    /// Handle that waits for queued lines to be written.
    pub fn flush_handle(&self) -> LogFlushHandle {
        self.flush_handle.clone()
    }

    fn push_line(&mut self, line: Vec<u8>) {
        if self.window_started.elapsed() >= RATE_WINDOW {
            self.window_started = Instant::now();
            self.window_lines = 0;
        }
        self.window_lines = self.window_lines.saturating_add(1);
        let is_allowed = self.window_lines <= self.max_lines_per_second;
        if !is_allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.flush_handle.queued_lines.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(line).is_err() {
            self.flush_handle.queued_lines.fetch_sub(1, Ordering::AcqRel);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl Write for BoundedWriter {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.partial.extend_from_slice(bytes);
        while let Some(end) = self.partial.iter().position(|byte| *byte == b'\n') {
            let rest = self.partial.split_off(end + 1);
            let line = std::mem::replace(&mut self.partial, rest);
            self.push_line(line);
        }
        Ok(bytes.len())
    }

    /// Does nothing, since complete lines are queued by `write`.
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines<W: Write>(
    mut output: W,
    queue: &Receiver<Vec<u8>>,
    dropped: &AtomicU64,
    queued_lines: &AtomicUsize,
) {
    while let Ok(mut block) = queue.recv() {
        let mut line_count = 1;
        // Write all queued lines with one call.
        while let Ok(line) = queue.try_recv() {
            block.extend_from_slice(&line);
            line_count += 1;
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            block.extend_from_slice(
                format!("{{\"part\":\"log\",\"dropped\":{count}}}\n").as_bytes(),
            );
        }
        // If the output is closed, there is nowhere to report it.
        if output.write_all(&block).and_then(|()| output.flush()).is_err() {
            return;
        }
        queued_lines.fetch_sub(line_count, Ordering::AcqRel);
    }
}
