//! Arguments common to all commands, dispatch and exit codes.

use std::net::SocketAddr;
use std::process::ExitCode;
use std::time::Duration;

use clap::Parser;
use heatherfall::core::ResultCode;
use heatherfall::ops::{GlobalContext, ObjectError};

use crate::commands::Command;

/// Exit codes of all commands, shown at the end of the help.
const EXIT_CODES: &str = "Exit codes:
  0  success
  1  failure, or a negative result as the command's help defines it
  2  invalid arguments
  3  another writer changed the object; nothing was written (HF-2004)
  4  the platform does not respond; nothing was written (HF-3001)
  5  it is unknown whether the write took effect (HF-3002)
  6  the object is invalid for its kind; nothing was written (HF-2001)
  7  the object does not exist (HF-2007)";

/// Configures and inspects heatherfall through labelled objects in the platform's store.
#[derive(Debug, Parser)]
#[command(version, after_help = EXIT_CODES)]
struct ClientArgs {
    /// Address of the platform's object API.
    #[arg(long, global = true, env = "HEATHERFALL_PLATFORM", default_value = "127.0.0.1:7000")]
    platform: SocketAddr,
    /// Timeout of one platform call.
    #[arg(long, global = true, default_value = "5s", value_parser = humantime::parse_duration)]
    timeout: Duration,
    /// Print JSON instead of tables.
    #[arg(long, global = true)]
    json: bool,
    #[command(subcommand)]
    command: Command,
}

/// Installs a panic hook that ends the process without an error when the reader of its output has
/// closed the pipe, as in `heatherfall get Route | head`. `println!` panics in that case.
fn exit_on_closed_stdout() {
    let default_hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(move |info| {
        let message = info.payload().downcast_ref::<String>();
        if message.is_some_and(|text| text.starts_with("failed printing to stdout")) {
            std::process::exit(0);
        }
        default_hook(info);
    }));
}

pub(crate) fn main() -> ExitCode {
    exit_on_closed_stdout();
    let args = ClientArgs::parse();
    let ctx = GlobalContext { platform: args.platform, timeout: args.timeout, is_json: args.json };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("cannot start the async runtime: {error}");
            return ExitCode::FAILURE;
        }
    };
    match runtime.block_on(args.command.exec(&ctx)) {
        Ok(code) => code,
        Err(report) => {
            eprintln!("{report:?}");
            exit_code_of(&report)
        }
    }
}

fn exit_code_of(report: &miette::Report) -> ExitCode {
    let code = report.downcast_ref::<ObjectError>().map(ObjectError::result_code);
    match code {
        Some(ResultCode::WriteConflict) => ExitCode::from(3),
        Some(ResultCode::PlatformUnavailable) => ExitCode::from(4),
        Some(ResultCode::WriteUnknown) => ExitCode::from(5),
        Some(ResultCode::SpecMalformed) => ExitCode::from(6),
        Some(ResultCode::ObjectMissing) => ExitCode::from(7),
        _ => ExitCode::FAILURE,
    }
}
