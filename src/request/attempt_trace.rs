//! Trace of one request's attempts for its log line.

use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::core::UpstreamState;
use crate::request::execution_state::{AttemptIndex, AttemptRole, OutcomeKind, StartRefusal};

/// One attempt, with the statistics of its upstream at the time of selection.
#[derive(Debug)]
struct AttemptRecord {
    role: AttemptRole,
    upstream: Arc<UpstreamState>,
    inflight: u32,
    load: LoadSnapshot,
    started: Instant,
    outcome: Option<(OutcomeKind, Duration)>,
}

/// Load report of an upstream at the time of selection.
#[derive(Clone, Copy, Debug)]
struct LoadSnapshot {
    peer_inflight: f32,
    work_percent: f32,
    age: Option<Duration>,
}

/// Attempts of one request in order of their start. `Display` writes the `attempts` field of the
/// request's log line.
#[derive(Debug, Default)]
pub struct AttemptTrace {
    attempts: Vec<AttemptRecord>,
    refused: Option<(AttemptRole, StartRefusal)>,
    /// Upstreams that were not selected after a load check, with their reported slowdown in
    /// percent.
    passed_over: Vec<(Arc<UpstreamState>, f32)>,
    /// Whether an attempt may have reached an upstream.
    has_reached_upstream: bool,
}

impl AttemptTrace {
    /// Whether an attempt may have reached an upstream: a connection was opened to send it, or it is
    /// still in flight.
    pub(super) fn has_reached_upstream(&self) -> bool {
        self.has_reached_upstream || self.attempts.iter().any(|attempt| attempt.outcome.is_none())
    }

    pub(super) fn record_reached_upstream(&mut self) {
        self.has_reached_upstream = true;
    }

    /// Whether there was at most one attempt and none was refused.
    pub fn is_single_attempt(&self) -> bool {
        self.refused.is_none() && self.attempts.len() <= 1
    }

    pub(super) fn started(&mut self, role: AttemptRole, upstream: &Arc<UpstreamState>) {
        let started = Instant::now();
        let stats = upstream.stats();
        let load = LoadSnapshot {
            peer_inflight: stats.reported_peer_inflight.get(),
            work_percent: stats.work_percent.get(),
            age: stats.report_age(started),
        };
        let inflight = upstream.inflight();
        let upstream = Arc::clone(upstream);
        self.attempts.push(AttemptRecord {
            role,
            upstream,
            inflight,
            load,
            started,
            outcome: None,
        });
    }

    pub(super) fn passed_over(&mut self, upstream: &Arc<UpstreamState>) {
        let percent = upstream.stats().work_percent.get();
        self.passed_over.push((Arc::clone(upstream), percent));
    }

    pub(super) fn ended(&mut self, index: AttemptIndex, outcome: OutcomeKind) {
        let Some(attempt) = self.attempts.get_mut(index as usize) else { return };
        attempt.outcome = Some((outcome, attempt.started.elapsed()));
    }

    pub(super) fn refused(&mut self, role: AttemptRole, refusal: StartRefusal) {
        // A hedge that found no better upstream is routine; only a limit or a spent budget is logged.
        if role != AttemptRole::Hedge
            || matches!(
                refusal,
                StartRefusal::BudgetSpent | StartRefusal::HedgeLimit | StartRefusal::Quarantined
            )
        {
            self.refused = Some((role, refusal));
        }
    }
}

impl fmt::Display for AttemptTrace {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("[")?;
        for (index, attempt) in self.attempts.iter().enumerate() {
            if index > 0 {
                f.write_str("; ")?;
            }
            write!(f, "{:?} {} own={}", attempt.role, attempt.upstream.name, attempt.inflight)?;
            if let Some(age) = attempt.load.age {
                let load = attempt.load;
                let age_ms = age.as_millis();
                write!(
                    f,
                    " others={:.0} work={:.0}% age_ms={age_ms}",
                    load.peer_inflight, load.work_percent
                )?;
            }
            match attempt.outcome {
                Some((outcome, elapsed)) => {
                    write!(f, " -> {outcome:?} ms={}", elapsed.as_millis())?
                }
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
