//! `heatherfall-load compare`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use heatherfall::ops::load::{LoadTestComparison, LoadTestReport};
use miette::{IntoDiagnostic, WrapErr};

/// Arguments of `compare`.
#[derive(Args, Debug)]
pub(crate) struct CompareArgs {
    /// Report of the baseline run, written by `run --out`.
    before: PathBuf,
    /// Report of the run to compare with it.
    after: PathBuf,
}

/// Prints the latencies and counts of both runs and the ratios of the latencies.
pub(crate) fn execute(args: &CompareArgs) -> miette::Result<ExitCode> {
    let comparison =
        LoadTestComparison { before: read_report(&args.before)?, after: read_report(&args.after)? };
    println!("{comparison}");
    Ok(ExitCode::SUCCESS)
}

fn read_report(path: &Path) -> miette::Result<LoadTestReport> {
    let text = std::fs::read_to_string(path).into_diagnostic();
    let text = text.wrap_err_with(|| format!("cannot read {}", path.display()))?;
    let report = serde_json::from_str(&text).into_diagnostic();
    report.wrap_err_with(|| {
        format!("cannot parse {} as a report written by `run --out`", path.display())
    })
}
