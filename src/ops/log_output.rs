//! Installs the logger: `log` with `fern`, plain or JSON lines on standard output. Logging never
//! blocks; lines over the rate limit are dropped and counted.

use std::time::{Duration, SystemTime};

use serde::Serialize;

use crate::ops::node_settings::{LogFormat, LogSettings};
use crate::util::{BoundedWriter, LogFlushHandle};

/// Longest wait of a daemon at its exit for buffered log lines to be written.
pub const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Failure to install the logger.
#[derive(Debug, thiserror::Error)]
pub enum LogOutputError {
    /// The thread that writes log lines could not be started.
    #[error("cannot start the log writer: {0}")]
    Writer(#[from] std::io::Error),
    /// A logger is installed already.
    #[error(transparent)]
    Logger(#[from] log::SetLoggerError),
}

/// A log line in JSON format.
#[derive(Serialize)]
struct LogLine<'a> {
    time: &'a str,
    level: &'a str,
    part: &'a str,
    message: &'a str,
}

/// Installs the logger of the process. The returned handle waits until buffered lines are written.
///
/// # Errors
///
/// Returns an error if a logger is installed already, or the writer cannot be started.
pub fn install(settings: &LogSettings) -> Result<LogFlushHandle, LogOutputError> {
    let format = settings.format;
    let writer = BoundedWriter::start(std::io::stdout(), settings.max_lines_per_second)?;
    let flush_handle = writer.flush_handle();
    fern::Dispatch::new()
        // Filtering is left to `log::set_max_level`, which can be changed while the process runs.
        .level(log::LevelFilter::Trace)
        .level_for("h2", log::LevelFilter::Warn)
        .format(move |out, message, record| match format {
            LogFormat::Plain => out.finish(format_args!(
                "{} {:<5} {}: {message}",
                humantime::format_rfc3339_millis(SystemTime::now()),
                record.level(),
                record.target(),
            )),
            LogFormat::Json => out.finish(format_args!("{}", json_line(message, record))),
        })
        .chain(Box::new(writer) as Box<dyn std::io::Write + Send>)
        .apply()?;
    log::set_max_level(settings.level);
    Ok(flush_handle)
}

fn json_line(message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    let line = LogLine {
        time: &time,
        level: record.level().as_str(),
        part: record.target(),
        message: &message.to_string(),
    };
    // A struct of strings always serializes.
    serde_json::to_string(&line).unwrap_or_default()
}
