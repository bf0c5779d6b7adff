//! The record of what was sent, answered and run.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Instant;

#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("the record can be written");
        Self { began: Instant::now(), file: Arc::new(Mutex::new(file)) }
    }

    /// Writes a line with the time since the start, in seconds.
    pub fn line(&self, text: &str) {
        let seconds = self.began.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{seconds:9.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        println!("{:9.3} {text}", self.began.elapsed().as_secs_f64());
    }
}
