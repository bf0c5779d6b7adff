//! `heatherfall status`.

use std::net::SocketAddr;
use std::process::ExitCode;

use clap::Args;
use comfy_table::Table;
use comfy_table::presets::NOTHING;
use heatherfall::core::VmId;
use heatherfall::ops::rollout::{self, ObjectProgress};
use heatherfall::ops::{GlobalContext, node_status};
use miette::IntoDiagnostic;

/// Show the rollout of each change, or the status of a node.
///
/// A change is `pending` until it has been processed, `accepted` once it is part of a published
/// generation, `in force` once every node applies it or refuses requests that could contradict it,
/// and `rejected` if it is invalid.
///
/// Exit codes: 0 all changes are in force, 1 some are not; others as in `heatherfall --help`.
#[derive(Args, Debug)]
pub(crate) struct StatusArgs {
    /// Show the status of the node with this admin address instead of the changes.
    #[arg(long, value_name = "ADDRESS")]
    node: Option<SocketAddr>,
    /// Show only changes that are not in force.
    #[arg(long)]
    unfinished: bool,
}

impl StatusArgs {
    pub(crate) async fn exec(self, ctx: &GlobalContext) -> miette::Result<ExitCode> {
        if let Some(node) = self.node {
            println!("{}", node_status::fetch(node).await?);
            return Ok(ExitCode::SUCCESS);
        }
        let mut progress = rollout::read_progress(&ctx.store()).await?;
        let is_finished = progress.iter().all(|change| change.phase_name() == "in force");
        if self.unfinished {
            progress.retain(|change| change.phase_name() != "in force");
        }
        if ctx.is_json {
            println!("{}", serde_json::to_string_pretty(&progress).into_diagnostic()?);
        } else {
            print_table(&progress);
        }
        Ok(if is_finished { ExitCode::SUCCESS } else { ExitCode::FAILURE })
    }
}

fn print_table(progress: &[ObjectProgress]) {
    let mut table = Table::new();
    table.load_style(NOTHING);
    table.set_header(["KIND", "NAME", "VERSION", "PHASE", "GENERATION", "REMARK"]);
    for change in progress {
        table.add_row([
            change.kind.clone(),
            change.name.clone(),
            change.version.to_string(),
            change.phase_name().to_owned(),
            change.generation.map(|number| number.to_string()).unwrap_or_default(),
            remark(change),
        ]);
    }
    println!("{}", table.trim_fmt());
}

fn remark(progress: &ObjectProgress) -> String {
    if let Some(message) = &progress.message {
        return message.clone();
    }
    if !progress.waiting_for.is_empty() {
        return format!("waiting for {}", names(&progress.waiting_for));
    }
    if !progress.restricted.is_empty() {
        return format!("restricted: {}", names(&progress.restricted));
    }
    String::new()
}

fn names(vms: &[VmId]) -> String {
    let names: Vec<&str> = vms.iter().map(VmId::as_str).collect();
    names.join(", ")
}
