//! Log lines must cost whoever logs them nothing, whatever becomes of the output.

use std::io::{self, Write};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};

use heatherfall::util::BoundedWriter;

/// An output whose reader has stopped until the sender is dropped.
struct StoppedOutput {
    gate: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for StoppedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let _ = self.gate.recv();
        self.written.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn stopped_output() -> (Sender<()>, Arc<Mutex<Vec<u8>>>, StoppedOutput) {
    let (sender, gate) = channel();
    let written = Arc::new(Mutex::new(Vec::new()));
    let output = StoppedOutput { gate, written: Arc::clone(&written) };
    (sender, written, output)
}

#[test]
fn a_reader_that_stopped_delays_nobody_and_hears_how_much_it_missed() {
    let (sender, written, output) = stopped_output();
    let mut writer = BoundedWriter::start(output, u32::MAX).expect("started");
    // Returns although nothing is read: a blocked write would hang the test.
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
fn the_last_lines_are_waited_for_but_not_for_ever() {
    let (sender, written, output) = stopped_output();
    let mut writer = BoundedWriter::start(output, u32::MAX).expect("started");
    let drain = writer.flush_handle();
    writeln!(writer, "the last line").expect("never fails");
    // Nobody reads: the wait ends all the same.
    drain.wait_until_written(std::time::Duration::from_millis(20));
    assert!(written.lock().unwrap().is_empty());
    drop(sender);
    drain.wait_until_written(std::time::Duration::from_secs(60));
    assert_eq!(written.lock().unwrap().as_slice(), b"the last line\n");
}

#[test]
fn lines_beyond_the_rate_are_dropped() {
    let (sender, written, output) = stopped_output();
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
