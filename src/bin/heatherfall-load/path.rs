//! `heatherfall-load path`.

use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use heatherfall::ops::path_bench::{self, PathBenchSettings};
use miette::IntoDiagnostic;

/// Arguments of `path`.
#[derive(Args, Debug)]
pub(crate) struct PathArgs {
    /// Concurrent callers, each with a connection to an upstream and one to the entry.
    #[arg(long, default_value_t = 16)]
    callers: usize,
    /// Mean time that a caller waits before each call of the latency phase.
    #[arg(long, default_value = "8ms", value_parser = humantime::parse_duration)]
    pause: Duration,
    /// Length of each of the two phases, latency and throughput.
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration)]
    duration: Duration,
    /// Worker threads of the entry.
    #[arg(long, default_value_t = 2)]
    entry_threads: usize,
    /// Seed of the waiting times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Prints the report as JSON; exits with failure if any call failed.
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
