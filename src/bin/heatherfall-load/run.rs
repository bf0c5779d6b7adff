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

/// Predefined mixes of request classes, as values of `--mix`.
#[derive(Clone, Copy, Debug, ValueEnum)]
enum MixName {
    /// Mostly lookups and audio, with a few packs, purchases and donations.
    CauNoi,
    /// Mostly clones, with pushes, grades and exam fetches.
    Kitabghar,
    /// All classes of both mixes.
    Both,
}

/// Arguments of `run`.
#[derive(Args, Debug)]
pub(crate) struct RunArgs {
    /// Settings file, JSON with comments; the other arguments override it.
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// Entry nodes that callers query for the addresses of a service.
    #[arg(long, value_delimiter = ',', value_name = "ADDRESS")]
    entries: Vec<SocketAddr>,
    /// Addresses that requests are sent to without a query.
    #[arg(long, value_delimiter = ',', value_name = "ADDRESS", conflicts_with = "entries")]
    targets: Vec<SocketAddr>,
    /// Predefined mix of request classes.
    #[arg(long, value_enum)]
    mix: Option<MixName>,
    /// Path of a single class of requests, in place of a mix.
    #[arg(long, conflicts_with = "mix")]
    path: Option<String>,
    /// HTTP method of the class that `--path` defines.
    #[arg(long, requires = "path", default_value = "GET")]
    method: String,
    /// Mean rate in requests per second.
    #[arg(long)]
    rate: Option<f64>,
    /// Time for which requests are sent.
    #[arg(long, value_parser = humantime::parse_duration)]
    duration: Option<Duration>,
    /// Largest relative change of the rate at each shift, between 0 and 1.
    #[arg(long)]
    shift_depth: Option<f64>,
    /// Callers, each with its own cached addresses and connections.
    #[arg(long)]
    callers: Option<usize>,
    /// Seed of the arrival times and of the class and caller of each request.
    #[arg(long)]
    seed: Option<u64>,
    /// Write the report as JSON to this file, for `compare`.
    #[arg(long, value_name = "FILE")]
    out: Option<PathBuf>,
    /// Write a plot of latency by quantile as SVG to this file.
    #[arg(long, value_name = "FILE")]
    plot: Option<PathBuf>,
    /// Print JSON in place of a table.
    #[arg(long)]
    json: bool,
}

/// Progress bar of a run; its length is the duration in milliseconds.
struct RunProgressBar {
    bar: ProgressBar,
}

impl LoadTestProgress for RunProgressBar {
    fn advance(&self, elapsed: Duration) {
        self.bar.set_position(elapsed.as_millis() as u64);
    }
}

impl RunProgressBar {
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
            settings.classes = workload_mix(mix).classes();
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

fn workload_mix(mix: MixName) -> WorkloadMix {
    match mix {
        MixName::CauNoi => WorkloadMix::CauNoi,
        MixName::Kitabghar => WorkloadMix::Kitabghar,
        MixName::Both => WorkloadMix::Both,
    }
}

/// Runs the load test and prints the report; exits with failure if any request was not answered.
#[tokio::main]
pub(crate) async fn execute(args: RunArgs) -> miette::Result<ExitCode> {
    let settings = args.settings()?;
    let progress = RunProgressBar::new(settings.duration);
    let report = load::run(&settings, &progress).await?;
    progress.bar.finish_and_clear();
    let json = serde_json::to_string_pretty(&report).into_diagnostic()?;
    if let Some(file) = &args.out {
        let written = std::fs::write(file, &json).into_diagnostic();
        written.wrap_err_with(|| format!("cannot write the report to {}", file.display()))?;
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
