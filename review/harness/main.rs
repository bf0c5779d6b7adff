//! Plays the cases of `review/`: entries as separate processes, with stand-ins of the platform's
//! store, of targets and of clients, on loopback addresses.
//!
//! `review-harness CASE FOLDER` writes `FOLDER/record.txt` and exits with 1 if the rule was broken,
//! 0 if it held, and 2 if the case could not run. With `TROUBLE=0` there is no disruption.

mod client;
mod entry;
mod evacuated;
mod http;
mod leaving;
mod poison;
mod record;
mod repeated;
mod shutdown;
mod store;
mod target;
mod unreadable;
mod world;

use std::path::PathBuf;
use std::process::ExitCode;

use crate::record::Record;

/// Result of a case.
pub enum Verdict {
    Broken,
    Held,
    CouldNotRun(String),
}

fn main() -> ExitCode {
    let mut arguments = std::env::args().skip(1);
    let case = arguments.next().unwrap_or_default();
    let folder = PathBuf::from(arguments.next().unwrap_or_else(|| ".".to_owned()));
    let has_trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = Record::create(&folder.join("record.txt"));
    record.say(&format!("case {case}, disruption: {has_trouble}"));
    let verdict = match case.as_str() {
        // No cases of their own: see REPORT.md.
        "evacuated" => evacuated::run(has_trouble, &record),
        "leaving" => leaving::run(has_trouble, &record),
        "poison" => poison::run(has_trouble, &record),
        "repeated" => repeated::run(has_trouble, &record),
        "shutdown" => shutdown::run(has_trouble, &record),
        "unreadable" => unreadable::run(has_trouble, &record),
        _ => Verdict::CouldNotRun(format!("no case {case:?}")),
    };
    match verdict {
        Verdict::Broken => {
            record.say("the rule was BROKEN");
            ExitCode::from(1)
        }
        Verdict::Held => {
            record.say("the rule held");
            ExitCode::from(0)
        }
        Verdict::CouldNotRun(reason) => {
            record.say(&format!("the case could not run: {reason}"));
            ExitCode::from(2)
        }
    }
}
