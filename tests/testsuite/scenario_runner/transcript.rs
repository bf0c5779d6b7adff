//! What happened, in order.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

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
        // A change of the platform wakes its waiting watches in random order, so what several
        // nodes do in the same millisecond is told node by node.
        for group in lines
            .chunk_by_mut(|a, b| is_background(a) && is_background(b) && time_of(a) == time_of(b))
        {
            group.sort_by_key(|line| background_key(line));
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

/// Whether the line tells of a node's own work and not of a request or an operator.
fn is_background(line: &str) -> bool {
    let lane = line.split_whitespace().nth(1);
    matches!(lane, Some("log" | "platform"))
}

/// Lane and, for platform calls, the node.
fn background_key(line: &str) -> String {
    let mut words = line.split_whitespace().skip(1);
    let lane = words.next().unwrap_or_default();
    let node = if lane == "platform" { words.next().unwrap_or_default() } else { "" };
    format!("{lane} {node}")
}
