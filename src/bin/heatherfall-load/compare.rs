//! `heatherfall-load compare`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use clap::Args;
use heatherfall::ops::load::{LoadTestComparison, LoadTestReport};
use miette::{IntoDiagnostic, WrapErr};

/// Arguments of `compare`.
#[derive(Args, Debug)]
pub(crate) struct CompareArgs {
    /// Report of the run that the other is measured by.
    before: PathBuf,
    /// Report of the other run.
    after: PathBuf,
}

/// Prints both runs side by side.
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
    report.wrap_err_with(|| format!("{} is not a report of `run --out`", path.display()))
}
