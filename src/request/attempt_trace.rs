//! What became of the attempts of one request, for its log line.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::UpstreamState;
use crate::request::execution_state::{AttemptIndex, AttemptRole, OutcomeKind, StartRefusal};

/// One attempt and what was believed about its upstream when it was chosen.
#[derive(Debug)]
struct AttemptNote {
    role: AttemptRole,
    upstream: Arc<UpstreamState>,
    inflight: u32,
    load: LoadNote,
    started: Instant,
    end: Option<(OutcomeKind, Duration)>,
}

/// The load report behind a choice.
#[derive(Clone, Copy, Debug)]
struct LoadNote {
    others: f32,
    work_percent: f32,
    age: Option<Duration>,
}

/// The attempts of one request in order of their start; its display is one field of a log line.
#[derive(Debug, Default)]
pub struct AttemptTrace {
    notes: Vec<AttemptNote>,
    refused: Option<(AttemptRole, StartRefusal)>,
    /// Upstreams that were asked for their load and then not chosen.
    passed_over: Vec<(Arc<UpstreamState>, f32)>,
}

impl AttemptTrace {
    /// Whether all went as usual: one attempt and nothing refused.
    pub fn is_single_attempt(&self) -> bool {
        self.refused.is_none() && self.notes.len() <= 1
    }

    pub(super) fn started(&mut self, role: AttemptRole, upstream: &Arc<UpstreamState>) {
        let started = Instant::now();
        let view = upstream.stats();
        let load = LoadNote {
            others: view.reported_peer_inflight.get(),
            work_percent: view.work_percent.get(),
            age: view.report_age(started),
        };
        let inflight = upstream.inflight();
        let upstream = Arc::clone(upstream);
        self.notes.push(AttemptNote { role, upstream, inflight, load, started, end: None });
    }

    pub(super) fn passed_over(&mut self, upstream: &Arc<UpstreamState>) {
        let percent = upstream.stats().work_percent.get();
        self.passed_over.push((Arc::clone(upstream), percent));
    }

    pub(super) fn ended(&mut self, index: AttemptIndex, end: OutcomeKind) {
        let Some(note) = self.notes.get_mut(index as usize) else { return };
        note.end = Some((end, note.started.elapsed()));
    }

    pub(super) fn refused(&mut self, role: AttemptRole, refusal: StartRefusal) {
        // A look that found no gain in a hedge is no event.
        if role != AttemptRole::Hedge || refusal == StartRefusal::BudgetSpent {
            self.refused = Some((role, refusal));
        }
    }
}

impl fmt::Display for AttemptTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[")?;
        for (index, note) in self.notes.iter().enumerate() {
            if index > 0 {
                f.write_str("; ")?;
            }
            write!(f, "{:?} {} own={}", note.role, note.upstream.name, note.inflight)?;
            if let Some(age) = note.load.age {
                let load = note.load;
                let age_ms = age.as_millis();
                write!(
                    f,
                    " others={:.0} work={:.0}% age_ms={age_ms}",
                    load.others, load.work_percent
                )?;
            }
            match note.end {
                Some((end, elapsed)) => write!(f, " -> {end:?} ms={}", elapsed.as_millis())?,
                None => f.write_str(" -> cancelled")?,
            }
        }
        for (upstream, percent) in &self.passed_over {
            write!(f, " passed-over {} work={percent:.0}%", upstream.name)?;
        }
        if let Some((role, refusal)) = self.refused {
            write!(f, " refused {role:?}: {refusal:?}")?;
        }
        f.write_str("]")
    }
}
