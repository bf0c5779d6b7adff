//! `heatherfall explain-request`

use std::fs::File;
use std::io::BufReader;
use std::path::PathBuf;
use std::process::ExitCode;

use clap::Args;
use heatherfall::ops::GlobalContext;
use heatherfall::ops::request_timeline::{RequestTimeline, TimelineBuilder};
use miette::{IntoDiagnostic, WrapErr};

/// Say what became of a request, from the logs of entries.
///
/// Prints the lines of the request in order of time, each after the last lines that changed what
/// its entry believed: the configuration, the store, its own state, the upstreams that it names.
///
/// Exit codes: 0 there are lines of the request, 1 there are none.
#[derive(Args, Debug)]
pub(crate) struct ExplainRequestArgs {
    /// Id of the request, as its caller sent it.
    id: String,
    /// Logs with a JSON object a line. The name of a file stands for its entry.
    #[arg(required = true)]
    logs: Vec<PathBuf>,
}

impl ExplainRequestArgs {
    pub(crate) async fn exec(self, ctx: &GlobalContext) -> miette::Result<ExitCode> {
        let mut reader = TimelineBuilder::new(&self.id);
        for path in &self.logs {
            let file = File::open(path).into_diagnostic();
            let file = file.wrap_err_with(|| path.display().to_string())?;
            let entry = path.file_stem().unwrap_or_default().to_string_lossy();
            reader.read(&entry, BufReader::new(file)).into_diagnostic()?;
        }
        let story = reader.finish();
        if ctx.is_json {
            println!("{}", serde_json::to_string_pretty(&story).into_diagnostic()?);
        } else {
            print_text(&story);
        }
        Ok(if story.steps.is_empty() { ExitCode::FAILURE } else { ExitCode::SUCCESS })
    }
}

fn print_text(story: &RequestTimeline) {
    if story.steps.is_empty() {
        println!("no line of {}: it went as usual, or its line was dropped", story.id);
    }
    for step in &story.steps {
        println!("{} {}", step.line.entry, step.line.time);
        for belief in &step.preceding_state {
            println!("  {} {}: {}", belief.time, belief.part, belief.message);
        }
        println!("  {} request: {}", step.line.time, step.line.message);
    }
}
