//! Requests whose upstreams fell silent while they ran them.
//!
//! An upstream may end without closing its connections, as a VM that loses power does. An attempt at
//! it then runs into a timeout, or is cancelled before anything is known. Such runs are kept here until
//! it is known whether the upstream has ended with them:
//!
//! ```text
//! no response, upstream silent -> watched -> asked --responds in the same lifetime--> dropped
//!                                              |-----two requests unanswered--------> crash
//!                                              |-----refused, another lifetime------> crash
//! crash by silence -> heard again in the same lifetime -> withdrawn
//! ```
//!
//! An upstream that was silent before a request was sent to it has not ended because of the request.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::core::{ConfigSnapshot, UpstreamState};
use crate::limits::RequestFingerprint;

/// Time without a sign of the upstream after which a request in flight at it is watched.
pub(super) const SILENCE_INTERVAL: Duration = Duration::from_millis(500);
/// Time before the request within which the upstream must have been heard.
const MAX_HEARD_AGE: Duration = Duration::from_secs(3);
/// Silence of the upstream that counts as its end, if it does not respond when asked either.
const MAX_SILENCE: Duration = Duration::from_millis(700);
/// Unanswered checks that are needed besides.
const MIN_UNANSWERED_CHECKS: u32 = 2;
/// Time for which a run is watched after its end.
const WATCH_TIME: Duration = Duration::from_secs(10);
/// Time for which a crash by silence is withdrawn if the upstream is heard again. Also that within
/// which a restart of the upstream is known here.
const WITHDRAWAL_TIME: Duration = Duration::from_secs(30);
/// Time from the first sign of an upstream to its registration in the view, if it has restarted.
const REGISTRATION_TIME: Duration = Duration::from_millis(2500);
/// Maximum number of watched runs; bounds the cost when many upstreams fail.
const MAX_RUNS: usize = 512;

/// Identifies a watched run.
pub type RunId = u64;

/// A run of a request at an upstream that gives no sign of life.
#[derive(Clone, Debug)]
pub struct WatchedRun {
    /// The request.
    pub request: RequestFingerprint,
    /// The upstream, with the start under which the request was sent to it.
    pub upstream: Arc<UpstreamState>,
    /// When the request was sent.
    pub began: Instant,
    /// When the attempt ended without a response; `None` while it is in flight.
    pub ended_at: Option<Instant>,
}

/// What a check of an upstream has shown.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunCheck {
    /// It responded.
    Running,
    /// Nobody listens at its address, or another upstream does.
    Ended,
    /// No response.
    Silent,
}

#[derive(Debug)]
struct RunEntry {
    id: RunId,
    run: WatchedRun,
    /// Start of the latest check that was answered.
    running_at: Option<Instant>,
    /// Latest time since the run was inserted at which this entry had no path to the upstreams.
    path_lost_at: Option<Instant>,
    unanswered_checks: u32,
    has_ended: bool,
}

/// A crash by silence, which may have been a pause.
#[derive(Debug)]
struct SilentCrash {
    run: WatchedRun,
    recorded_at: Instant,
    heard_at: Option<Instant>,
}

#[derive(Debug, Default)]
struct WatchState {
    next_id: RunId,
    runs: Vec<RunEntry>,
    silent_crashes: Vec<SilentCrash>,
}

/// The runs that are watched, shared by the data plane and the service that checks their upstreams.
#[derive(Debug, Default)]
pub struct RunWatch {
    state: Mutex<WatchState>,
    wakeup: Notify,
}

impl RunWatch {
    /// Watches a run; `None` if too many are, or if the upstream gave no sign before it.
    pub fn insert(&self, run: WatchedRun) -> Option<RunId> {
        let heard_at = heard_at(&run.upstream, Instant::now())?;
        if heard_at + MAX_HEARD_AGE < run.began || run.upstream.is_draining() {
            return None;
        }
        let mut state = self.lock();
        if state.runs.len() >= MAX_RUNS {
            return None;
        }
        state.next_id += 1;
        let id = state.next_id;
        let entry = RunEntry {
            id,
            run,
            running_at: None,
            path_lost_at: None,
            unanswered_checks: 0,
            has_ended: false,
        };
        state.runs.push(entry);
        drop(state);
        self.wakeup.notify_one();
        Some(id)
    }

    /// Drops a run that got a response.
    pub fn remove(&self, id: RunId) {
        self.lock().runs.retain(|entry| entry.id != id);
    }

    /// Records that the attempt of a run has ended without a response.
    pub fn end(&self, id: RunId, now: Instant) {
        for entry in &mut self.lock().runs {
            if entry.id == id {
                entry.run.ended_at.get_or_insert(now);
            }
        }
    }

    /// Waits until a run is watched.
    pub async fn watched(&self) {
        self.wakeup.notified().await;
    }

    /// Whether there is nothing to check.
    pub fn is_idle(&self) -> bool {
        let state = self.lock();
        state.runs.is_empty() && state.silent_crashes.is_empty()
    }

    /// Drops the runs whose upstreams were heard after them or for which nothing was found out, and
    /// returns the upstreams of the others, each once.
    pub fn upstreams_to_check(&self, now: Instant) -> Vec<Arc<UpstreamState>> {
        let mut state = self.lock();
        state.runs.retain(|entry| !entry.is_over(now));
        let mut upstreams: Vec<Arc<UpstreamState>> = Vec::new();
        for entry in &state.runs {
            let upstream = &entry.run.upstream;
            let is_known = upstreams.iter().any(|known| known.name == upstream.name);
            if !is_known && entry.is_unheard(now) {
                upstreams.push(Arc::clone(upstream));
            }
        }
        upstreams
    }

    /// Records what a check that began at `asked_at` has shown of the upstream `name`.
    pub fn record_check(&self, name: &str, check: RunCheck, asked_at: Instant) {
        for entry in &mut self.lock().runs {
            if entry.run.upstream.name != name {
                continue;
            }
            match check {
                RunCheck::Running => {
                    entry.running_at = Some(asked_at);
                    entry.unanswered_checks = 0;
                }
                RunCheck::Ended => entry.has_ended = true,
                RunCheck::Silent => entry.unanswered_checks += 1,
            }
        }
    }

    /// Forgets what the checks have shown, because this entry has no path to the upstreams at `now`: they
    /// may respond, and this entry does not hear it. They are judged by checks after that.
    pub fn disregard_silence(&self, now: Instant) {
        for entry in &mut self.lock().runs {
            entry.path_lost_at = Some(now);
            entry.unanswered_checks = 0;
            entry.has_ended = false;
        }
    }

    /// Takes the runs whose upstreams have ended with them; `snapshot` is the active configuration.
    pub fn take_crashes(&self, snapshot: &ConfigSnapshot, now: Instant) -> Vec<WatchedRun> {
        let mut state = self.lock();
        let mut crashed = Vec::new();
        for entry in state.runs.extract_if(.., |entry| entry.has_crashed(snapshot, now)) {
            crashed.push(entry);
        }
        let mut runs = Vec::with_capacity(crashed.len());
        for entry in crashed {
            let is_silent = !entry.has_ended && !is_restarted(&entry.run, snapshot);
            if is_silent {
                let run = entry.run.clone();
                state.silent_crashes.push(SilentCrash { run, recorded_at: now, heard_at: None });
            }
            runs.push(entry.run);
        }
        runs
    }

    /// Takes the crashes by silence that were none: their upstreams were heard again, and are still
    /// registered with the same start in a view that was read at `view_read_at`.
    pub fn take_withdrawn(
        &self,
        snapshot: &ConfigSnapshot,
        view_read_at: Option<Instant>,
        now: Instant,
    ) -> Vec<WatchedRun> {
        let mut state = self.lock();
        let mut withdrawn = Vec::new();
        state.silent_crashes.retain_mut(|crash| {
            if now > crash.recorded_at + WITHDRAWAL_TIME || is_restarted(&crash.run, snapshot) {
                return false;
            }
            let heard = heard_at(&crash.run.upstream, now);
            let heard = heard.filter(|heard| *heard > crash.recorded_at);
            let Some(first_heard) = crash.heard_at.or(heard) else { return true };
            crash.heard_at = Some(first_heard);
            let is_known = view_read_at.is_some_and(|read| read > first_heard + REGISTRATION_TIME);
            if is_known {
                withdrawn.push(crash.run.clone());
            }
            !is_known
        });
        withdrawn
    }

    fn lock(&self) -> MutexGuard<'_, WatchState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl RunEntry {
    /// Latest sign of life of the upstream, at the earliest the beginning of the run.
    fn last_sign(&self, now: Instant) -> Instant {
        let heard = heard_at(&self.run.upstream, now);
        self.run
            .began
            .max(heard.unwrap_or(self.run.began))
            .max(self.running_at.unwrap_or(self.run.began))
    }

    fn silence(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.last_sign(now))
    }

    /// Whether the upstream has given no sign since the end of the run, or for some time while it is in
    /// flight.
    fn is_unheard(&self, now: Instant) -> bool {
        match self.run.ended_at {
            Some(ended_at) => self.last_sign(now) <= ended_at,
            None => self.silence(now) >= SILENCE_INTERVAL,
        }
    }

    /// Whether the run ended and the upstream lived on, or its end is too long ago.
    fn is_over(&self, now: Instant) -> bool {
        let Some(ended_at) = self.run.ended_at else { return false };
        let is_heard = self.last_sign(now) > ended_at.max(self.run.began);
        (is_heard && !self.has_ended) || now > ended_at + WATCH_TIME
    }

    fn has_crashed(&self, snapshot: &ConfigSnapshot, now: Instant) -> bool {
        if self.has_ended || is_restarted(&self.run, snapshot) {
            return true;
        }
        let silent_since = Some(self.last_sign(now)).max(self.path_lost_at);
        let silence =
            silent_since.map_or(Duration::ZERO, |since| now.saturating_duration_since(since));
        self.unanswered_checks >= MIN_UNANSWERED_CHECKS && silence >= MAX_SILENCE
    }
}

/// Whether the upstream has registered a later start than the one at which the request was sent.
fn is_restarted(run: &WatchedRun, snapshot: &ConfigSnapshot) -> bool {
    let key = snapshot.upstream_names.get(&run.upstream.name);
    let Some(current) = key.and_then(|key| snapshot.upstreams.get(*key)) else { return false };
    let starts = current.spec.started_ms.zip(run.upstream.spec.started_ms);
    starts.is_some_and(|(current, known)| current > known)
}

/// When this entry or a peer that reports loads last heard from an upstream.
pub(super) fn heard_at(upstream: &UpstreamState, now: Instant) -> Option<Instant> {
    let stats = upstream.stats();
    let times = [&stats.last_exchange_at, &stats.last_response_at, &stats.last_report_at];
    let latest = times.into_iter().filter_map(|time| time.get()).max()?;
    now.checked_sub(stats.age_at(now, latest))
}
