//! The log writer must never block its callers, even if the output is not read.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use heatherfall::util::BoundedWriter;

/// An output that blocks until the sender of its channel is dropped.
struct BlockedOutput {
    blocked_until: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.blocked_until.recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_output() -> (Sender<()>, Arc<Mutex<Vec<u8>>>, BlockedOutput) {
    let (sender, blocked_until) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = BlockedOutput { blocked_until, written: Arc::clone(&written) };
    (sender, written, output)
}

#[test]
fn a_blocked_output_delays_no_caller_and_dropped_lines_are_reported() {
    let (sender, written, output) = blocked_output();
    let mut writer = BoundedWriter::start(output, u32::MAX).expect("started");
    // The loop ends although nothing is read; a blocking write would hang the test.
    for index in 0..5_000 {
        writeln!(writer, "line {index}").expect("never fails");
    }
    drop(sender);
    let text = loop {
        writeln!(writer, "last line").expect("never fails");
        std::thread::yield_now();
        let text = String::from_utf8(written.lock().unwrap().clone()).expect("text");
        if text.contains("dropped") {
            break text;
        }
    };
    assert!(text.starts_with("line 0\n"), "{}", &text[..40]);
}

#[test]
fn waiting_for_the_last_lines_ends_at_the_timeout() {
    let (sender, written, output) = blocked_output();
    let mut writer = BoundedWriter::start(output, u32::MAX).expect("started");
    let flush_handle = writer.flush_handle();
    writeln!(writer, "the last line").expect("never fails");
    // The output is blocked, so the wait ends at its timeout.
    flush_handle.wait_until_written(std::time::Duration::from_millis(20));
    assert!(written.lock().unwrap().is_empty());
    drop(sender);
    flush_handle.wait_until_written(std::time::Duration::from_secs(60));
    assert_eq!(written.lock().unwrap().as_slice(), b"the last line\n");
}

#[test]
fn lines_beyond_the_rate_are_dropped() {
    let (sender, written, output) = blocked_output();
    drop(sender);
    let mut writer = BoundedWriter::start(output, 10).expect("started");
    for index in 0..1_000 {
        writeln!(writer, "line {index}").expect("never fails");
    }
    while written.lock().unwrap().is_empty() {
        std::thread::yield_now();
    }
    let text = String::from_utf8(written.lock().unwrap().clone()).expect("text");
    assert!(text.lines().filter(|line| line.starts_with("line")).count() <= 10, "{text}");
}
