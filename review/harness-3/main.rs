//! Cases of the third review, each with its stand-ins. Without dependencies.

mod budget;
mod client;
mod copy;
mod entry;
mod http;
mod json;
mod junk;
mod pipe;
mod record;
mod store;
mod target;
mod unframed;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::budget::Trouble;

/// Whether a case kept its rule.
pub type Verdict = std::io::Result<bool>;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let (Some(case), Some(folder)) = (args.next(), args.next()) else {
        eprintln!("usage: cases CASE FOLDER");
        return ExitCode::from(2);
    };
    let folder = PathBuf::from(folder);
    let verdict = match case.as_str() {
        "copy" => copy::run(folder),
        "moves" => budget::run(folder, Trouble::Moves),
        "kill" => budget::run(folder, Trouble::Kill),
        "pipe" => pipe::run(folder),
        "unframed" => unframed::run(folder),
        "junk" => junk::run(folder),
        _ => return ExitCode::from(2),
    };
    match verdict {
        Ok(true) => {
            println!("held");
            ExitCode::SUCCESS
        }
        Ok(false) => {
            println!("broken");
            ExitCode::from(1)
        }
        Err(error) => {
            eprintln!("could not run: {error}");
            ExitCode::from(2)
        }
    }
}
