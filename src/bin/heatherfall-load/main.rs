//! `heatherfall-load`: load tests, benchmarks and policy simulations.

mod compare;
mod experiment;
mod hedging;
mod ledger;
mod path;
mod run;
mod slopes;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

/// Load tests of a running deployment, and benchmarks and policy simulations without one.
#[derive(Debug, Parser)]
#[command(version)]
struct LoadArgs {
    #[command(subcommand)]
    command: LoadCommand,
}

#[derive(Debug, Subcommand)]
enum LoadCommand {
    /// Send open-loop load and report latency from the time each request was due.
    Run(run::RunArgs),
    /// Compare the reports of two runs, class by class.
    Compare(compare::CompareArgs),
    /// Compare load balancing policies by simulation, without sockets.
    Experiment(experiment::ExperimentArgs),
    /// Compare rules for hedges by simulation, without sockets.
    Hedging(hedging::HedgingArgs),
    /// Measure the latency that an entry adds to a call, in one process with stand-ins.
    Path(path::PathArgs),
    /// Measure the at-most-once ledger over the platform stand-in, without sockets.
    Ledger(ledger::LedgerArgs),
    /// Measure how configuration size and processing time grow with targets and rules.
    Slopes(slopes::SlopesArgs),
}

fn main() -> miette::Result<ExitCode> {
    match LoadArgs::parse().command {
        LoadCommand::Run(args) => run::execute(args),
        LoadCommand::Compare(args) => compare::execute(&args),
        LoadCommand::Experiment(args) => experiment::execute(&args),
        LoadCommand::Hedging(args) => hedging::execute(&args),
        LoadCommand::Path(args) => path::execute(&args),
        LoadCommand::Ledger(args) => ledger::execute(&args),
        LoadCommand::Slopes(args) => slopes::execute(&args),
    }
}
