//! Writes the log lines of a scenario's thread into its transcript.

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
        // Info lines of the kernel and the ledger follow the order in which tasks wake, which would
        // make the transcript differ between runs.
        let has_unstable_order = matches!(metadata.target(), "kernel" | "ledger");
        let max_level = if has_unstable_order { LevelFilter::Warn } else { LevelFilter::Info };
        metadata.level() <= max_level
    }

    fn log(&self, record: &Record<'_>) {
        if !self.enabled(record.metadata()) {
            return;
        }
        TRANSCRIPT.with_borrow(|transcript| {
            let Some(transcript) = transcript else { return };
            let level = record.level().as_str().to_lowercase();
            // A failure that repeats with the same text is written once.
            transcript.record_change(
                &format!("log {level} {}:", record.target()),
                &record.args().to_string(),
            );
        });
    }

    fn flush(&self) {}
}

/// Installs the logger of the test binary; later calls have no effect.
pub(super) fn install() {
    if log::set_logger(&LOGGER).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}

/// Sends this thread's log lines to `transcript` from now on.
pub(super) fn attach(transcript: &Transcript) {
    TRANSCRIPT.set(Some(transcript.clone()));
}
