//! Puts together what the logs of several entries say about one request.
//!
//! ```text
//! log lines -> lines of the request, by time
//!           -> for each: the last line before it of every belief that decided it
//! ```
//!
//! Only lines in JSON are read; whatever stands before the brace is taken as the name of the entry,
//! so that the joined output of several entries can be read too.

use std::collections::{BTreeMap, BTreeSet};
use std::io::BufRead;

use serde::{Deserialize, Serialize};

/// Part of the lines of requests.
const REQUEST_TARGET: &str = "request";
/// Parts whose lines change what an entry believes.
const STATE_TARGETS: [&str; 4] = ["config", "store", "upstream", "node"];
/// Length from which a word with a digit may be the name of an upstream.
const MIN_UPSTREAM_NAME_LEN: usize = 6;

/// A line of a log file.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogRecord {
    /// Entry that wrote it, or the file it stands in.
    #[serde(default)]
    pub entry: String,
    /// Time as written, RFC 3339.
    pub time: String,
    /// Part of the program.
    pub part: String,
    /// Message.
    pub message: String,
}

/// One line of the request and what its entry believed then.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TimelineStep {
    /// The line.
    pub line: LogRecord,
    /// The last lines before it that changed the configuration, the store's reach, the entry's
    /// state, and each upstream that the request's line names.
    #[serde(rename = "beliefs")]
    pub preceding_state: Vec<LogRecord>,
}

/// What the logs say about a request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RequestTimeline {
    /// Its id.
    pub id: String,
    /// Its lines in order of time.
    pub steps: Vec<TimelineStep>,
}

/// Collects the lines of one request.
#[derive(Debug)]
pub struct TimelineBuilder {
    id: String,
    /// The id as the lines quote it.
    id_prefix: String,
    lines: BTreeMap<String, Vec<LogRecord>>,
}

impl TimelineBuilder {
    /// Creates a reader for the request `id`.
    pub fn new(id: &str) -> Self {
        Self { id: id.to_owned(), id_prefix: format!("id={id:?} "), lines: BTreeMap::new() }
    }

    /// Reads a log; `entry` names the lines that do not say where they come from.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be read.
    pub fn read(&mut self, entry: &str, log: impl BufRead) -> std::io::Result<()> {
        for line in log.split(b'\n') {
            let bytes = line?;
            let text = String::from_utf8_lossy(&bytes);
            let Some(brace) = text.find('{') else { continue };
            let (prefix, json) = text.split_at(brace);
            let Ok(mut line) = serde_json::from_str::<LogRecord>(json) else { continue };
            let is_belief = STATE_TARGETS.contains(&line.part.as_str());
            let is_own = line.part == REQUEST_TARGET && line.message.starts_with(&self.id_prefix);
            if !is_belief && !is_own {
                continue;
            }
            line.entry = prefix.split_whitespace().last().unwrap_or(entry).to_owned();
            self.lines.entry(line.entry.clone()).or_default().push(line);
        }
        Ok(())
    }

    /// The story, as far as it was read.
    pub fn finish(self) -> RequestTimeline {
        let mut steps = Vec::new();
        for mut lines in self.lines.into_values() {
            // A sort that keeps lines of the same time in their order.
            lines.sort_by(|a, b| a.time.cmp(&b.time));
            for (index, line) in lines.iter().enumerate() {
                if line.part == REQUEST_TARGET {
                    let beliefs = preceding_state_of(line, &lines[..index]);
                    steps.push(TimelineStep { line: line.clone(), preceding_state: beliefs });
                }
            }
        }
        steps.sort_by(|a, b| a.line.time.cmp(&b.line.time));
        RequestTimeline { id: self.id, steps }
    }
}

/// The last lines of `earlier` that say what decided `line`.
fn preceding_state_of(line: &LogRecord, earlier: &[LogRecord]) -> Vec<LogRecord> {
    let mut names = upstream_name_candidates(&line.message);
    let mut parts: BTreeSet<&str> = STATE_TARGETS.into_iter().collect();
    let mut beliefs = Vec::new();
    for belief in earlier.iter().rev() {
        let is_new = match belief.part.as_str() {
            "upstream" => {
                let told = upstream_name_candidates(&belief.message);
                let before = names.len();
                names.retain(|name| !told.contains(name));
                names.len() < before
            }
            part => parts.remove(part),
        };
        if is_new {
            beliefs.push(belief.clone());
        }
    }
    beliefs.reverse();
    beliefs
}

/// Words of a message that may name an upstream.
fn upstream_name_candidates(message: &str) -> BTreeSet<&str> {
    let words = message.split(|c: char| !c.is_ascii_alphanumeric() && c != '-' && c != '.');
    words
        .filter(|word| {
            word.len() >= MIN_UPSTREAM_NAME_LEN && word.contains(|c: char| c.is_ascii_digit())
        })
        .collect()
}
