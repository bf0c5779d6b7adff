//! The load and experiment tool.

mod compare;
mod experiment;
mod ledger;
mod path;
mod run;
mod slopes;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Measures a running deployment, or the policy without one.
#[derive(Debug, Parser)]
#[command(version)]
struct LoadArgs {
    #[command(subcommand)]
    command: LoadCommand,
}

#[derive(Debug, Subcommand)]
enum LoadCommand {
    /// Sends open-loop load; latency counts from the time a request was due.
    Run(run::RunArgs),
    /// Compares the reports of two runs, class by class.
    Compare(compare::CompareArgs),
    /// Compares policies for choosing upstreams, without sockets.
    Experiment(experiment::ExperimentArgs),
    /// Measures what an entry adds to a call, in one process with stand-ins.
    Path(path::PathArgs),
    /// Measures the at-most-once ledger, without sockets.
    Ledger(ledger::LedgerArgs),
    /// Measures how state and work grow with targets and rules.
    Slopes(slopes::SlopeArgs),
}

fn main() -> miette::Result<ExitCode> {
    match LoadArgs::parse().command {
        LoadCommand::Run(args) => run::execute(args),
        LoadCommand::Compare(args) => compare::execute(&args),
        LoadCommand::Experiment(args) => experiment::execute(&args),
        LoadCommand::Path(args) => path::execute(&args),
        LoadCommand::Ledger(args) => ledger::execute(&args),
        LoadCommand::Slopes(args) => slopes::execute(&args),
    }
}
