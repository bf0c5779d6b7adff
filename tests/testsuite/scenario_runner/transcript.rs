//! What happened, in order.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

#[derive(Debug)]
struct TranscriptState {
    started: Instant,
    lines: Vec<String>,
    /// Last text of each subject, so that a repeated state is written once.
    states: HashMap<String, String>,
}

/// The lines of one scenario; clones share them.
#[derive(Clone, Debug)]
pub(super) struct Transcript {
    state: Arc<Mutex<TranscriptState>>,
}

impl Transcript {
    pub(super) fn new() -> Self {
        let state =
            TranscriptState { started: Instant::now(), lines: Vec::new(), states: HashMap::new() };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    /// Time since the start.
    pub(super) fn elapsed(&self) -> Duration {
        self.lock().started.elapsed()
    }

    /// Adds a line with the time since the start.
    pub(super) fn say(&self, line: &str) {
        let mut state = self.lock();
        let millis = state.started.elapsed().as_millis();
        state.lines.push(format!("{millis:>6}ms {line}"));
    }

    /// Adds a line unless the last line about the same subject said the same.
    pub(super) fn say_change(&self, subject: &str, text: &str) {
        let previous = self.lock().states.insert(subject.to_owned(), text.to_owned());
        if previous.as_deref() != Some(text) {
            self.say(&format!("{subject} {text}"));
        }
    }

    /// Takes the lines since the last call; equal neighbours become one line with a count.
    pub(super) fn take(&self) -> String {
        let mut lines = std::mem::take(&mut self.lock().lines);
        // What waits for the same event wakes in random order, so what several nodes or requests
        // do by themselves in the same millisecond is told one after the other.
        for group in lines.chunk_by_mut(|a, b| time_of(a) == time_of(b) && lane_of(a) == lane_of(b))
        {
            group.sort_by_key(|line| order_of(line));
        }
        let mut output = String::new();
        let mut index = 0;
        while index < lines.len() {
            let same = lines[index..].iter().take_while(|line| **line == lines[index]).count();
            output.push_str(&lines[index]);
            if same > 1 {
                output.push_str(&format!(" (x{same})"));
            }
            output.push('\n');
            index += same;
        }
        output
    }

    fn lock(&self) -> MutexGuard<'_, TranscriptState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn time_of(line: &str) -> &str {
    line.trim_start().split(' ').next().unwrap_or_default()
}

/// Whose doing a line tells of.
#[derive(Clone, Copy, Eq, PartialEq)]
enum LineLane {
    /// A node's own work.
    Background,
    /// A request.
    Request,
    /// Whoever writes the scenario.
    Director,
}

fn lane_of(line: &str) -> LineLane {
    match line.split_whitespace().nth(1) {
        Some("log" | "platform") => LineLane::Background,
        Some("caller" | "entry" | "upstream") => LineLane::Request,
        _ => LineLane::Director,
    }
}

/// Order within a lane and millisecond: log lines by text, platform calls by node, requests by
/// identity. The sort is stable, so each node's calls and each request's steps keep their order.
fn order_of(line: &str) -> String {
    let words: Vec<&str> = line.split_whitespace().skip(1).collect();
    match words.as_slice() {
        ["log", ..] => words.join(" "),
        ["caller", id, ..] => (*id).to_owned(),
        ["entry" | "upstream", _, id, ..] => (*id).to_owned(),
        [lane, node, ..] => format!("{lane} {node}"),
        _ => String::new(),
    }
}
