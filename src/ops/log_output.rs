//! Sets up logs: `log` with `fern`, plain or JSON lines on standard error.

use std::time::SystemTime;

use crate::ops::node_settings::{LogFormat, LogSettings};

/// Installs the logger of the process.
///
/// # Errors
///
/// Returns an error if a logger is installed already.
pub fn install(settings: &LogSettings) -> Result<(), log::SetLoggerError> {
    let format = settings.format;
    fern::Dispatch::new()
        .level(settings.level)
        .level_for("h2", log::LevelFilter::Warn)
        .format(move |out, message, record| match format {
            LogFormat::Plain => out.finish(format_args!(
                "{} {:<5} {}: {message}",
                humantime::format_rfc3339_millis(SystemTime::now()),
                record.level(),
                record.target(),
            )),
            LogFormat::Json => {
                let line = serde_json::json!({
                    "time": humantime::format_rfc3339_millis(SystemTime::now()).to_string(),
                    "level": record.level().as_str(),
                    "part": record.target(),
                    "message": message.to_string(),
                });
                out.finish(format_args!("{line}"));
            }
        })
        .chain(std::io::stderr())
        .apply()
}
