//! Arguments common to all commands, and dispatch.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use heatherfall::ops::GlobalContext;

use crate::commands::Command;

/// Drives heatherfall through labelled objects in the platform's store.
#[derive(Debug, Parser)]
#[command(version)]
struct ClientArgs {
    /// Address of the platform's object API.
    #[arg(long, global = true, env = "HEATHERFALL_PLATFORM", default_value = "127.0.0.1:7000")]
    platform: SocketAddr,
    /// Time for one platform call.
    #[arg(long, global = true, default_value = "5s", value_parser = humantime::parse_duration)]
    timeout: Duration,
    /// Print JSON in place of tables.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

pub(crate) fn main() -> ExitCode {
    let args = ClientArgs::parse();
    let ctx = GlobalContext { platform: args.platform, timeout: args.timeout, is_json: args.json };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(args.command.exec(&ctx)) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            ExitCode::FAILURE
        }
    }
}
