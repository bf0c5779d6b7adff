//! Reconstructs the history of one request from the logs of several entries.
//!
//! ```text
//! log lines -> lines of the request, in order of time
//!           -> for each: the last earlier lines that changed the state its entry decided on
//! ```
//!
//! Only JSON lines are read. The last word before the opening brace, if there is one, is taken as
//! the name of the entry, so that merged output of several entries can be read as well.

use std::collections::{BTreeMap, BTreeSet};
use std::io::BufRead;

use serde::{Deserialize, Serialize};

/// Log target of the lines of requests.
const REQUEST_TARGET: &str = "request";
/// Log targets whose lines report a change of an entry's state: configuration, reachability of the
/// store, upstreams, and the entry itself.
const STATE_TARGETS: [&str; 4] = ["config", "store", "upstream", "node"];
/// Shortest word with a digit that is taken as the name of an upstream, so that short numbers are
/// not.
const MIN_UPSTREAM_NAME_LEN: usize = 6;

/// A log line in JSON.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LogRecord {
    /// Entry that wrote the line, or else the name of its file.
    #[serde(default)]
    pub entry: String,
    /// Time of the line, RFC 3339 as written.
    pub time: String,
    /// Log target.
    pub part: String,
    /// Message with its `key=value` fields.
    pub message: String,
}

/// One line of the request and the state of its entry at that time.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct TimelineStep {
    /// The line of the request.
    pub line: LogRecord,
    /// The last earlier lines that changed the configuration, the reachability of the store, the
    /// state of the entry, and each upstream that the line names.
    #[serde(rename = "beliefs")]
    pub preceding_state: Vec<LogRecord>,
}

/// History of one request.
#[derive(Clone, Debug, Eq, PartialEq, Serialize)]
pub struct RequestTimeline {
    /// Id of the request.
    pub id: String,
    /// Lines of the request in order of time, over all entries.
    pub steps: Vec<TimelineStep>,
}

/// Collects the log lines of one request and of the state changes before them.
#[derive(Debug)]
pub struct TimelineBuilder {
    id: String,
    /// Beginning of the message of each line of the request.
    id_prefix: String,
    lines: BTreeMap<String, Vec<LogRecord>>,
}

impl TimelineBuilder {
    /// Creates a builder for the request `id`.
    pub fn new(id: &str) -> Self {
        Self { id: id.to_owned(), id_prefix: format!("id={id:?} "), lines: BTreeMap::new() }
    }

    /// Reads a log. Lines without the name of their entry are attributed to `entry`.
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
            let is_state_change = STATE_TARGETS.contains(&line.part.as_str());
            let is_own = line.part == REQUEST_TARGET && line.message.starts_with(&self.id_prefix);
            if !is_state_change && !is_own {
                continue;
            }
            line.entry = prefix.split_whitespace().last().unwrap_or(entry).to_owned();
            self.lines.entry(line.entry.clone()).or_default().push(line);
        }
        Ok(())
    }

    /// Builds the timeline from the logs read so far.
    pub fn finish(self) -> RequestTimeline {
        let mut steps = Vec::new();
        for mut lines in self.lines.into_values() {
            // The sort is stable: lines with the same time keep their order in the log.
            lines.sort_by(|a, b| a.time.cmp(&b.time));
            for (index, line) in lines.iter().enumerate() {
                if line.part == REQUEST_TARGET {
                    let preceding_state = preceding_state_of(line, &lines[..index]);
                    steps.push(TimelineStep { line: line.clone(), preceding_state });
                }
            }
        }
        steps.sort_by(|a, b| a.line.time.cmp(&b.line.time));
        RequestTimeline { id: self.id, steps }
    }
}

/// The last lines of `earlier` with the state on which the decisions in `line` were based, one for
/// each target and each upstream that `line` names.
fn preceding_state_of(line: &LogRecord, earlier: &[LogRecord]) -> Vec<LogRecord> {
    let mut names = upstream_name_candidates(&line.message);
    let mut targets: BTreeSet<&str> = STATE_TARGETS.into_iter().collect();
    let mut state_lines = Vec::new();
    for candidate in earlier.iter().rev() {
        let is_new = match candidate.part.as_str() {
            "upstream" => {
                let changed = upstream_name_candidates(&candidate.message);
                let before = names.len();
                names.retain(|name| !changed.contains(name));
                names.len() < before
            }
            target => targets.remove(target),
        };
        if is_new {
            state_lines.push(candidate.clone());
        }
    }
    state_lines.reverse();
    state_lines
}

/// Words of a message that may be names of upstreams.
fn upstream_name_candidates(message: &str) -> BTreeSet<&str> {
    let words = message.split(|c: char| !c.is_ascii_alphanumeric() && c != '-' && c != '.');
    words
        .filter(|word| {
            word.len() >= MIN_UPSTREAM_NAME_LEN && word.contains(|c: char| c.is_ascii_digit())
        })
        .collect()
}
