//! `heatherfall-load run`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Args, ValueEnum};
use heatherfall::ops::load::{
    self, LoadTestClass, LoadTestProgress, LoadTestSettings, WorkloadMix,
};
use heatherfall::util::settings_file;
use indicatif::{ProgressBar, ProgressStyle};
use miette::{IntoDiagnostic, WrapErr};

/// A mix of classes that comes with the tool.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum MixName {
    /// Lookups and audio, few packs, purchases and donations.
    CauNoi,
    /// Clones, pushes, grades and exam fetches.
    Kitabghar,
    /// Both.
    Both,
}

/// Arguments of `run`.
#[derive(Args, Debug)]
pub(crate) struct RunArgs {
    /// Settings file, JSON with comments; the other arguments replace what it says.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Entry nodes that callers ask which addresses to use.
    #[arg(long, value_delimiter = ',', value_name = "ADDRESS")]
    entries: Vec<SocketAddr>,
    /// Addresses that requests go to without asking.
    #[arg(long, value_delimiter = ',', value_name = "ADDRESS", conflicts_with = "entries")]
    targets: Vec<SocketAddr>,
    /// Mix of classes.
    #[arg(long, value_enum)]
    mix: Option<MixName>,
    /// Path of a single class of GET requests, in place of a mix.
    #[arg(long, conflicts_with = "mix")]
    path: Option<String>,
    /// Method of that class.
    #[arg(long, requires = "path", default_value = "GET")]
    method: String,
    /// Requests a second, on average.
    #[arg(long)]
    rate: Option<f64>,
    /// Length of the run.
    #[arg(long, value_parser = humantime::parse_duration)]
    duration: Option<Duration>,
    /// How far the rate shifts every few milliseconds, between 0 and 1.
    #[arg(long)]
    shift_depth: Option<f64>,
    /// Callers, each with its own addresses and connections.
    #[arg(long)]
    callers: Option<usize>,
    /// Seed of arrival times, classes and callers.
    #[arg(long)]
    seed: Option<u64>,
    /// Write the report as JSON, for `compare`.
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// Write a plot of the latencies as SVG.
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
    /// Print JSON in place of a table.
    #[arg(long)]
    json: bool,
}

struct RunBar {
    bar: ProgressBar,
}

impl LoadTestProgress for RunBar {
    fn advance(&self, elapsed: Duration) {
        self.bar.set_position(elapsed.as_millis() as u64);
    }
}

impl RunBar {
    fn new(duration: Duration) -> Self {
        let bar = ProgressBar::new(duration.as_millis() as u64);
        let style = ProgressStyle::with_template("{bar:40} {percent:>3}% {eta} left");
        bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
        Self { bar }
    }
}

impl RunArgs {
    fn settings(&self) -> miette::Result<LoadTestSettings> {
        let mut settings = match &self.config {
            Some(file) => settings_file::load(file).map_err(|error| miette::Report::new(*error))?,
            None => LoadTestSettings::default(),
        };
        if !self.entries.is_empty() {
            settings.entries.clone_from(&self.entries);
            settings.targets.clear();
        }
        if !self.targets.is_empty() {
            settings.targets.clone_from(&self.targets);
        }
        if let Some(mix) = self.mix {
            settings.classes = workload(mix).classes();
        }
        if let Some(path) = &self.path {
            settings.classes = vec![LoadTestClass {
                name: "single".to_owned(),
                service: "lookups".to_owned(),
                method: self.method.clone(),
                path: path.clone(),
                weight: 1.0,
                keyed: self.method == "POST",
            }];
        }
        settings.rate = self.rate.unwrap_or(settings.rate);
        settings.duration = self.duration.unwrap_or(settings.duration);
        settings.shift_depth = self.shift_depth.unwrap_or(settings.shift_depth);
        settings.callers = self.callers.unwrap_or(settings.callers);
        settings.seed = self.seed.unwrap_or(settings.seed);
        Ok(settings)
    }
}

fn workload(mix: MixName) -> WorkloadMix {
    match mix {
        MixName::CauNoi => WorkloadMix::CauNoi,
        MixName::Kitabghar => WorkloadMix::Kitabghar,
        MixName::Both => WorkloadMix::Both,
    }
}

/// Sends the load and prints the report.
#[tokio::main]
pub(crate) async fn execute(args: RunArgs) -> miette::Result<ExitCode> {
    let settings = args.settings()?;
    let progress = RunBar::new(settings.duration);
    let report = load::run(&settings, &progress).await?;
    progress.bar.finish_and_clear();
    let json = serde_json::to_string_pretty(&report).into_diagnostic()?;
    if let Some(file) = &args.out {
        let written = std::fs::write(file, &json).into_diagnostic();
        written.wrap_err_with(|| format!("cannot write {}", file.display()))?;
    }
    if let Some(file) = &args.plot {
        load::write_plot(&report, file)?;
    }
    if args.json {
        println!("{json}");
    } else {
        println!("{report}");
    }
    Ok(if report.failed() == 0 { ExitCode::SUCCESS } else { ExitCode::FAILURE })
}
