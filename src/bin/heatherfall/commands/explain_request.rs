//! `heatherfall explain-request`.

use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use heatherfall::ops::GlobalContext;
use heatherfall::ops::request_timeline::{RequestTimeline, TimelineBuilder};
use miette::{IntoDiagnostic, WrapErr};

/// Show the history of a request from the logs of entries.
///
/// Prints the log lines of the request in order of time. Each follows the last earlier lines that
/// changed the state of its entry: the configuration, the store, the entry itself, and the
/// upstreams that the line names.
///
/// Exit codes: 0 the logs have lines of the request, 1 they have none.
#[derive(Args, Debug)]
pub(crate) struct ExplainRequestArgs {
    /// Id of the request, as sent by its caller.
    id: String,
    /// Log files with one JSON object per line. Lines that do not name their entry are attributed
    /// to the name of the file.
    #[arg(required = true)]
    logs: Vec<PathBuf>,
}

impl ExplainRequestArgs {
    pub(crate) async fn exec(self, ctx: &GlobalContext) -> miette::Result<ExitCode> {
        let mut builder = TimelineBuilder::new(&self.id);
        for path in &self.logs {
            let file = File::open(path).into_diagnostic();
            let file = file.wrap_err_with(|| path.display().to_string())?;
            let entry = path.file_stem().unwrap_or_default().to_string_lossy();
            builder.read(&entry, BufReader::new(file)).into_diagnostic()?;
        }
        let timeline = builder.finish();
        if ctx.is_json {
            println!("{}", serde_json::to_string_pretty(&timeline).into_diagnostic()?);
        } else {
            print_text(&timeline);
        }
        Ok(if timeline.steps.is_empty() { ExitCode::FAILURE } else { ExitCode::SUCCESS })
    }
}

fn print_text(timeline: &RequestTimeline) {
    if timeline.steps.is_empty() {
        println!(
            "no log line of request {}: routine requests are not logged, excess lines are dropped",
            timeline.id
        );
    }
    for step in &timeline.steps {
        println!("{} {}", step.line.entry, step.line.time);
        for state_line in &step.preceding_state {
            println!("  {} {}: {}", state_line.time, state_line.part, state_line.message);
        }
        println!("  {} request: {}", step.line.time, step.line.message);
    }
}
