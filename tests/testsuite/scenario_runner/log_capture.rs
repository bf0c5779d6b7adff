//! Brings log lines of a scenario's thread into its transcript.

use std::cell::RefCell;

use log::{LevelFilter, Log, Metadata, Record};

use super::transcript::Transcript;

thread_local! {
    static TRANSCRIPT: RefCell<Option<Transcript>> = const { RefCell::new(None) };
}

struct ThreadLogger;

static LOGGER: ThreadLogger = ThreadLogger;

impl Log for ThreadLogger {
    fn enabled(&self, metadata: &Metadata<'_>) -> bool {
        // What the kernel and the ledger do in good order depends on the order in which tasks
        // wake, and is no part of a story.
        let is_housekeeping = matches!(metadata.target(), "kernel" | "ledger");
        let least = if is_housekeeping { LevelFilter::Warn } else { LevelFilter::Info };
        metadata.level() <= least
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        TRANSCRIPT.with_borrow(|transcript| {
            let Some(transcript) = transcript else { return };
            let level = record.level().as_str().to_lowercase();
            // A repeated failure is one line.
            transcript.say_change(
                &format!("log {level} {}:", record.target()),
                &record.args().to_string(),
            );
        });
    }

    fn flush(&self) {}
}

/// Installs the logger of the test binary once.
pub(super) fn install() {
    if log::set_logger(&LOGGER).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}

/// From now on this thread's log lines go to `transcript`.
pub(super) fn attach(transcript: &Transcript) {
    TRANSCRIPT.set(Some(transcript.clone()));
}
