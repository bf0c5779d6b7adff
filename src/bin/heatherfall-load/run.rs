//! `heatherfall-load run`.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Args;
use heatherfall::ops::load::{self, LoadSettings};
use http::Method;
use miette::IntoDiagnostic;

/// Arguments of `run`.
#[derive(Args, Debug)]
pub(crate) struct RunArgs {
    /// Addresses that requests go to in turn.
    #[arg(long, required = true, value_delimiter = ',', value_name = "ADDRESS")]
    targets: Vec<SocketAddr>,
    /// Method.
    #[arg(long, default_value = "GET")]
    method: Method,
    /// Path.
    #[arg(long, default_value = "/cau-noi/lookup/hello")]
    path: String,
    /// Requests a second.
    #[arg(long, default_value_t = 1000.0)]
    rate: f64,
    /// Length of the run.
    #[arg(long, default_value = "10s", value_parser = humantime::parse_duration)]
    duration: Duration,
    /// Seed of the arrival times.
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Sends the load and prints the report.
#[tokio::main]
pub(crate) async fn execute(args: RunArgs) -> miette::Result<ExitCode> {
    let report = load::run(&LoadSettings {
        targets: args.targets,
        method: args.method,
        path: args.path,
        rate: args.rate,
        duration: args.duration,
        seed: args.seed,
    })
    .await?;
    println!("{}", serde_json::to_string_pretty(&report).into_diagnostic()?);
    let is_clean = report.failed == 0 && report.foreign == 0;
    Ok(if is_clean { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
