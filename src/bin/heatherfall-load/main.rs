//! The load and experiment tool.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use heatherfall::ops::load::{self, LoadSettings};
use http::Method;
use miette::IntoDiagnostic;

/// Open-loop load generator; latency counts from the time a request was due.
#[derive(Debug, Parser)]
#[command(version)]
struct LoadArgs {
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

#[tokio::main]
async fn main() -> miette::Result<ExitCode> {
    let args = LoadArgs::parse();
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
