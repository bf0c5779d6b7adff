//! A writer for log lines that never blocks whoever logs.
//!
//! Lines go through a queue to a thread of their own. When the queue is full, because whoever reads
//! the output has stopped, or when more lines come in a second than are allowed, lines are dropped
//! and counted; the next line that is written says how many.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, SyncSender, sync_channel};
use std::time::{Duration, Instant};

/// Lines that may wait for the output.
const MAX_WAITING_LINES: usize = 1024;
/// Time over which lines are counted against their rate.
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Time between two looks at whether all lines are written.
const DRAIN_STEP: Duration = Duration::from_millis(1);

/// Tells whether lines still wait, for a process that is about to end.
#[derive(Clone, Debug, Default)]
pub struct LogFlushHandle {
    waiting: Arc<AtomicUsize>,
}

impl LogFlushHandle {
    /// Waits until all lines are written, at most for `limit`: nobody may read them.
    pub fn wait_until_written(&self, limit: Duration) {
        let began = Instant::now();
        while self.waiting.load(Ordering::Acquire) > 0 && began.elapsed() < limit {
            std::thread::sleep(DRAIN_STEP);
        }
    }
}

/// Writes whole lines through a queue.
#[derive(Debug)]
pub struct BoundedWriter {
    lines: SyncSender<Vec<u8>>,
    dropped: Arc<AtomicU64>,
    drain: LogFlushHandle,
    partial: Vec<u8>,
    max_lines_per_second: u32,
    window_began: Instant,
    window_lines: u32,
}

impl BoundedWriter {
    /// Starts the thread that writes to `output`.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start<W: Write + Send + 'static>(
        output: W,
        max_lines_per_second: u32,
    ) -> io::Result<Self> {
        let (lines, queue) = sync_channel(MAX_WAITING_LINES);
        let dropped = Arc::new(AtomicU64::new(0));
        let count = Arc::clone(&dropped);
        let drain = LogFlushHandle::default();
        let waiting = Arc::clone(&drain.waiting);
        let thread = std::thread::Builder::new().name("log".to_owned());
        thread.spawn(move || write_lines(output, &queue, &count, &waiting))?;
        Ok(Self {
            lines,
            dropped,
            drain,
            partial: Vec::new(),
            max_lines_per_second,
            window_began: Instant::now(),
            window_lines: 0,
        })
    }

    /// Tells whether lines still wait.
    pub fn flush_handle(&self) -> LogFlushHandle {
        self.drain.clone()
    }

    fn push_line(&mut self, line: Vec<u8>) {
        if self.window_began.elapsed() >= RATE_WINDOW {
            self.window_began = Instant::now();
            self.window_lines = 0;
        }
        self.window_lines = self.window_lines.saturating_add(1);
        let is_allowed = self.window_lines <= self.max_lines_per_second;
        if !is_allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return;
        }
        self.drain.waiting.fetch_add(1, Ordering::AcqRel);
        if self.lines.try_send(line).is_err() {
            self.drain.waiting.fetch_sub(1, Ordering::AcqRel);
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

    /// Lines are on their way as soon as they are whole.
    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn write_lines<W: Write>(
    mut output: W,
    queue: &Receiver<Vec<u8>>,
    dropped: &AtomicU64,
    waiting: &AtomicUsize,
) {
    while let Ok(mut block) = queue.recv() {
        let mut count_lines = 1;
        // Lines that wait already are written with one call.
        while let Ok(line) = queue.try_recv() {
            block.extend_from_slice(&line);
            count_lines += 1;
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            block.extend_from_slice(
                format!("{{\"part\":\"log\",\"dropped\":{count}}}\n").as_bytes(),
            );
        }
        // Nobody is left to be told that the output is gone.
        if output.write_all(&block).and_then(|()| output.flush()).is_err() {
            return;
        }
        waiting.fetch_sub(count_lines, Ordering::AcqRel);
    }
}
