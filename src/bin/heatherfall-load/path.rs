//! `heatherfall-load path`.

use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use heatherfall::ops::path_bench::{self, PathBenchSettings};
use miette::IntoDiagnostic;

/// Arguments of `path`.
#[derive(Args, Debug)]
pub(crate) struct PathArgs {
    /// Callers.
    #[arg(long, default_value_t = 16)]
    callers: usize,
    /// Mean pause of a caller between two calls while latency is measured.
    #[arg(long, default_value = "8ms", value_parser = humantime::parse_duration)]
    pause: Duration,
    /// Length of each of the two parts.
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration)]
    duration: Duration,
    /// Threads of the entry.
    #[arg(long, default_value_t = 2)]
    entry_threads: usize,
    /// Seed of the pauses.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Measures and prints the report.
pub(crate) fn execute(args: &PathArgs) -> miette::Result<ExitCode> {
    let report = path_bench::run(&PathBenchSettings {
        callers: args.callers,
        pause: args.pause,
        duration: args.duration,
        entry_threads: args.entry_threads,
        seed: args.seed,
    })?;
    println!("{}", serde_json::to_string_pretty(&report).into_diagnostic()?);
    Ok(if report.failed == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
