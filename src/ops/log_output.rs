//! Sets up logs: `log` with `fern`, plain or JSON lines on standard output, never blocking.

use std::time::{Duration, SystemTime};

use serde::Serialize;

use crate::ops::node_settings::{LogFormat, LogSettings};
use crate::util::{BoundedWriter, LogFlushHandle};

/// Longest time that a daemon which ends waits for its last lines.
pub const LOG_FLUSH_TIMEOUT: Duration = Duration::from_millis(100);

/// Why logs could not be set up.
#[derive(Debug, thiserror::Error)]
pub enum LogOutputError {
    /// The thread that writes lines could not be started.
    #[error("cannot start the log writer: {0}")]
    Writer(#[from] std::io::Error),
    /// A logger is installed already.
    #[error(transparent)]
    Logger(#[from] log::SetLoggerError),
}

/// One line as JSON.
#[derive(Serialize)]
struct LogLine<'a> {
    time: &'a str,
    level: &'a str,
    part: &'a str,
    message: &'a str,
}

/// Installs the logger of the process. What is returned waits for its last lines.
///
/// # Errors
///
/// Returns an error if a logger is installed already, or the writer cannot be started.
pub fn install(settings: &LogSettings) -> Result<LogFlushHandle, LogOutputError> {
    let format = settings.format;
    let writer = BoundedWriter::start(std::io::stdout(), settings.max_lines_per_second)?;
    let drain = writer.flush_handle();
    fern::Dispatch::new()
        // The level is the logger's own, so that it can be changed later.
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
    Ok(drain)
}

fn json_line(message: &std::fmt::Arguments<'_>, record: &log::Record<'_>) -> String {
    let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
    let line = LogLine {
        time: &time,
        level: record.level().as_str(),
        part: record.target(),
        message: &message.to_string(),
    };
    // Text always serializes.
    serde_json::to_string(&line).unwrap_or_default()
}
