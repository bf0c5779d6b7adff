//! Transcript of a scenario: its events in order, with their times.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

#[derive(Debug)]
struct TranscriptState {
    started: Instant,
    lines: Vec<String>,
    /// Last text of each subject, so that an unchanged text is written once.
    last_texts: HashMap<String, String>,
}

/// Lines of one scenario; clones share them.
#[derive(Clone, Debug)]
pub(super) struct Transcript {
    state: Arc<Mutex<TranscriptState>>,
}

impl Transcript {
    pub(super) fn new() -> Self {
        let state = TranscriptState {
            started: Instant::now(),
            lines: Vec::new(),
            last_texts: HashMap::new(),
        };
        Self { state: Arc::new(Mutex::new(state)) }
    }

    pub(super) fn elapsed(&self) -> Duration {
        self.lock().started.elapsed()
    }

    /// Adds a line with the time since the start of the scenario.
    pub(super) fn record(&self, line: &str) {
        let mut state = self.lock();
        let millis = state.started.elapsed().as_millis();
        state.lines.push(format!("{millis:>6}ms {line}"));
    }

    /// Adds a line unless the previous text of the same subject is equal.
    pub(super) fn record_change(&self, subject: &str, text: &str) {
        let previous = self.lock().last_texts.insert(subject.to_owned(), text.to_owned());
        if previous.as_deref() != Some(text) {
            self.record(&format!("{subject} {text}"));
        }
    }

    /// Takes the lines since the previous call; equal adjacent lines become one with a count.
    pub(super) fn take(&self) -> String {
        let mut lines = std::mem::take(&mut self.lock().lines);
        // Tasks that wait for the same event wake in random order. Sorting the adjacent lines of
        // one millisecond and lane makes the transcript deterministic.
        for group in lines.chunk_by_mut(|a, b| time_of(a) == time_of(b) && lane_of(a) == lane_of(b))
        {
            group.sort_by_key(|line| sort_key(line));
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

/// Source of a line, by its first word after the time.
#[derive(Clone, Copy, Eq, PartialEq)]
enum LineLane {
    /// Log lines and platform calls of nodes.
    Background,
    /// Steps of a request at its caller, entry and upstream.
    Request,
    /// Effects and output of scenario commands.
    Command,
}

fn lane_of(line: &str) -> LineLane {
    match line.split_whitespace().nth(1) {
        Some("log" | "platform") => LineLane::Background,
        Some("caller" | "entry" | "upstream") => LineLane::Request,
        _ => LineLane::Command,
    }
}

/// Sort key within a lane and millisecond: log lines by text, platform calls by node, requests by
/// id. The sort is stable, so each node's calls and each request's steps keep their order.
fn sort_key(line: &str) -> String {
    let words: Vec<&str> = line.split_whitespace().skip(1).collect();
    match words.as_slice() {
        ["log", ..] => words.join(" "),
        ["caller", id, ..] => (*id).to_owned(),
        ["entry" | "upstream", _, id, ..] => (*id).to_owned(),
        [lane, node, ..] => format!("{lane} {node}"),
        _ => String::new(),
    }
}
