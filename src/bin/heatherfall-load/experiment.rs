//! `heatherfall-load experiment`.

use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use heatherfall::ops::experiment::{self, ExperimentSettings};
use heatherfall::util::settings_file;
use miette::IntoDiagnostic;

/// Arguments of `experiment`.
#[derive(Args, Debug)]
pub(crate) struct ExperimentArgs {
    /// Settings file, JSON with comments; the defaults apply without one.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Seed, overrides that of the settings.
    #[arg(long)]
    seed: Option<u64>,
    /// Simulations that run in parallel; the results don't depend on it.
    #[arg(long, default_value_t = 2)]
    threads: usize,
    /// Print JSON in place of a table.
    #[arg(long)]
    json: bool,
}

/// Simulates every combination of service, scenario and policy and prints the report.
pub(crate) fn execute(args: &ExperimentArgs) -> miette::Result<ExitCode> {
    let mut settings = match &args.config {
        Some(path) => settings_file::load::<ExperimentSettings>(path)
            .map_err(|error| miette::Report::new(*error))?,
        None => ExperimentSettings::default(),
    };
    settings.seed = args.seed.unwrap_or(settings.seed);
    let report = experiment::compare(&settings, args.threads)?;
    if args.json {
        println!("{}", serde_json::to_string_pretty(&report).into_diagnostic()?);
    } else {
        println!("{report}");
    }
    Ok(ExitCode::SUCCESS)
}
