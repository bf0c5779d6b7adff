//! Requests under which upstreams have ended.
//!
//! A request may crash every upstream that begins to run it, and its caller may send it again and
//! again, to any entry. Each entry records under which requests upstreams have ended, and shares the
//! records with the others. A request that has enough in common with them is refused for some time.
//!
//! Records are kept by method, host, path and content. Whether query, caller address and headers
//! matter too is learned: what differs among the crashes does not cause them.
//!
//! ```text
//! crashes of GET /a      request of     refused
//!   caller 1 (3 times)   caller 1       yes
//!                        caller 2       no, the caller may matter
//!   callers 1, 2, 3      caller 4       yes, unless a request got a response since
//! ```
//!
//! An upstream that ends takes along whatever else it was running. A response therefore clears what
//! has as much in common with its request: that does not crash every upstream.

mod history;
mod request;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::limits::quarantine::history::{RequestHistory, RequestResponse, UpstreamCrash};
pub use crate::limits::quarantine::request::{
    RecordEffect, RequestFingerprint, RequestTraits, RunOutcome, RunRecord,
};
use crate::util::FastMap;

/// Own records that wait to be shared.
const MAX_UNSHARED_RECORDS: usize = 1024;
/// Time after which the first crash under a request is shared. Most requests that an upstream takes
/// along with it when it ends get a response elsewhere until then.
const SHARE_DELAY: Duration = Duration::from_millis(500);

/// Bounds of a [`QuarantineTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineSettings {
    /// Upstreams that must have ended under a request before it is refused.
    pub min_crashes: usize,
    /// Time for which a record counts. Longer than `refusal_time`, so that a request is refused again
    /// after one more crash.
    pub record_ttl: Duration,
    /// Time from the last crash for which a request is refused that has all traits in common with the
    /// crashes.
    pub refusal_time: Duration,
    /// The same for a request that has only some traits in common with them. Shorter, since it may be
    /// anybody's.
    pub partial_refusal_time: Duration,
    /// Most targets and contents with records; the one whose last crash is the oldest makes room.
    pub max_requests: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            min_crashes: 3,
            record_ttl: Duration::from_secs(640),
            refusal_time: Duration::from_secs(600),
            partial_refusal_time: Duration::from_secs(60),
            max_requests: 1024,
        }
    }
}

/// A record of this entry that has not been shared yet.
#[derive(Clone, Copy, Debug)]
struct UnsharedRecord {
    request: RequestFingerprint,
    outcome: RunOutcome,
    at: Instant,
    due_at: Instant,
}

/// Target and content of a request.
type HistoryKey = (u64, u64);

#[derive(Debug, Default)]
struct TableState {
    histories: FastMap<HistoryKey, RequestHistory>,
    unshared: Vec<UnsharedRecord>,
}

impl TableState {
    fn history(&self, request: RequestFingerprint) -> Option<&RequestHistory> {
        self.histories.get(&(request.target, request.content))
    }

    fn has_target(&self, target: u64) -> bool {
        self.histories.keys().any(|(known, _)| *known == target)
    }
}

/// The requests under which upstreams have ended.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    settings: QuarantineSettings,
    state: Mutex<TableState>,
    /// Number of histories, readable without the lock.
    count: AtomicUsize,
}

impl QuarantineTable {
    /// Creates an empty table.
    pub fn new(settings: QuarantineSettings) -> Self {
        Self { settings, ..Self::default() }
    }

    /// Whether no request has a record. Requests need no fingerprint then.
    pub fn is_empty(&self) -> bool {
        self.count.load(Ordering::Relaxed) == 0
    }

    /// Whether a request with this digest of its target has a record. Only then is its content worth
    /// digesting.
    pub fn has_target(&self, target: u64) -> bool {
        !self.is_empty() && self.lock().has_target(target)
    }

    /// Time for which the request is still refused; none if it may be sent.
    pub fn refusal_left(&self, request: RequestFingerprint, now: Instant) -> Option<Duration> {
        let state = self.lock();
        let until = state.history(request)?.refused_until(request.traits, &self.settings)?;
        Some(until.saturating_duration_since(now)).filter(|left| !left.is_zero())
    }

    /// Records how a run by this entry has just ended, to be shared with the others.
    ///
    /// The first crash of a history is shared after [`SHARE_DELAY`], unless a response comes before,
    /// and at once if another follows.
    pub fn record_own(
        &self,
        request: RequestFingerprint,
        outcome: RunOutcome,
        now: Instant,
    ) -> RecordEffect {
        let known_crashes = self.lock().history(request).map_or(0, |known| known.crashes.len());
        let effect = self.record(RunRecord { request, outcome, age: Duration::ZERO }, now);
        if effect == RecordEffect::None {
            return effect;
        }
        let mut state = self.lock();
        let mut due_at = now;
        let mut is_shared = true;
        match outcome {
            RunOutcome::UpstreamEnded(_) if known_crashes == 0 => due_at = now + SHARE_DELAY,
            RunOutcome::UpstreamEnded(_) => {
                for record in &mut state.unshared {
                    if record.request == request {
                        record.due_at = now;
                    }
                }
            }
            RunOutcome::Answered => {
                let waiting = state.unshared.len();
                state.unshared.retain(|record| record.request != request);
                is_shared = waiting - state.unshared.len() < known_crashes;
            }
        }
        if is_shared && state.unshared.len() < MAX_UNSHARED_RECORDS {
            state.unshared.push(UnsharedRecord { request, outcome, at: now, due_at });
        }
        effect
    }

    /// Applies a record, for example of another entry.
    pub fn record(&self, record: RunRecord, now: Instant) -> RecordEffect {
        let RunRecord { request, outcome, age } = record;
        let Some(at) = now.checked_sub(age) else { return RecordEffect::None };
        if age >= self.settings.record_ttl {
            return RecordEffect::None;
        }
        let key = (request.target, request.content);
        let traits = request.traits;
        let mut state = self.lock();
        match outcome {
            RunOutcome::Answered => {
                let Some(history) = state.histories.get_mut(&key) else {
                    return RecordEffect::None;
                };
                let clears = history.add_response(RequestResponse { traits, at });
                if clears { RecordEffect::New } else { RecordEffect::None }
            }
            RunOutcome::UpstreamEnded(upstream) => {
                if !state.histories.contains_key(&key) {
                    self.make_room(&mut state, now);
                }
                let history = state.histories.entry(key).or_default();
                let is_refused = |history: &RequestHistory| {
                    let until = history.refused_until(traits, &self.settings);
                    until.is_some_and(|until| until > now)
                };
                history.retain_valid(&self.settings, now);
                let was_refused = is_refused(history);
                let is_new = history.add_crash(UpstreamCrash { upstream, traits, at });
                let is_refused = is_refused(history);
                self.update_count(&state);
                match (is_new, is_refused && !was_refused) {
                    (false, _) => RecordEffect::None,
                    (true, false) => RecordEffect::New,
                    (true, true) => RecordEffect::Refused,
                }
            }
        }
    }

    /// Takes this entry's records that are due to be shared.
    pub fn take_unshared(&self, now: Instant) -> Vec<RunRecord> {
        let mut state = self.lock();
        let due = state.unshared.extract_if(.., |record| record.due_at <= now);
        let mut records = Vec::new();
        for UnsharedRecord { request, outcome, at, .. } in due {
            records.push(RunRecord { request, outcome, age: now - at });
        }
        records
    }

    /// All records of the histories by which requests are refused now.
    pub fn refused_records(&self, now: Instant) -> Vec<RunRecord> {
        let mut records = Vec::new();
        for ((target, content), history) in &self.lock().histories {
            if !self.refuses(history, now) {
                continue;
            }
            let request =
                |traits| RequestFingerprint { target: *target, content: *content, traits };
            for crash in &history.crashes {
                let outcome = RunOutcome::UpstreamEnded(crash.upstream);
                records.push(RunRecord {
                    request: request(crash.traits),
                    outcome,
                    age: now - crash.at,
                });
            }
            for response in &history.responses {
                let (request, outcome) = (request(response.traits), RunOutcome::Answered);
                records.push(RunRecord { request, outcome, age: now - response.at });
            }
        }
        records
    }

    /// Number of histories by which requests are refused now.
    pub fn refused_requests(&self, now: Instant) -> usize {
        let state = self.lock();
        state.histories.values().filter(|history| self.refuses(history, now)).count()
    }

    /// Whether requests like those that have crashed upstreams are refused.
    fn refuses(&self, history: &RequestHistory, now: Instant) -> bool {
        history.crashes.iter().any(|crash| {
            let until = history.refused_until(crash.traits, &self.settings);
            until.is_some_and(|until| until > now)
        })
    }

    /// Drops the records that no longer count.
    pub fn remove_expired(&self, now: Instant) {
        if !self.is_empty() {
            self.drop_expired(&mut self.lock(), now);
        }
    }

    fn drop_expired(&self, state: &mut TableState, now: Instant) {
        state.histories.retain(|_, history| history.retain_valid(&self.settings, now));
        self.update_count(state);
    }

    /// If the table is full, drops what has expired and, if that is not enough, the history whose last
    /// crash is the oldest.
    fn make_room(&self, state: &mut TableState, now: Instant) {
        if state.histories.len() < self.settings.max_requests {
            return;
        }
        self.drop_expired(state, now);
        if state.histories.len() < self.settings.max_requests {
            return;
        }
        let oldest = state.histories.iter().min_by_key(|(_, history)| history.last_crash_at());
        if let Some(key) = oldest.map(|(key, _)| *key) {
            state.histories.remove(&key);
        }
    }

    fn update_count(&self, state: &TableState) {
        self.count.store(state.histories.len(), Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
