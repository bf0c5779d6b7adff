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
//! An upstream that ends also ends whatever else it was running. A response therefore clears the
//! crashes of what has as much in common with its request: that does not crash every upstream.

mod history;
mod request;

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::limits::quarantine::history::{RequestHistory, UpstreamCrash};
pub use crate::limits::quarantine::request::{
    CrashRecord, RecordEffect, RequestFingerprint, RequestTraits, TraitSets,
};
use crate::util::FastMap;

/// Own records that wait to be shared.
const MAX_UNSHARED_RECORDS: usize = 1024;
/// Time after which the first crash under a request is shared. Most requests that were running at an
/// upstream when it ended get a response elsewhere until then.
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

/// A crash, or the fact that something has cleared it, that the other entries do not know yet.
#[derive(Clone, Copy, Debug)]
struct UnsharedCrash {
    request: RequestFingerprint,
    upstream: u32,
    due_at: Instant,
    /// Whether they know of the crash itself.
    is_update: bool,
}

impl UnsharedCrash {
    fn is_crash(&self, request: RequestFingerprint, upstream: u32) -> bool {
        self.request == request && self.upstream == upstream
    }
}

/// Target and content of a request.
type HistoryKey = (u64, u64);

#[derive(Debug, Default)]
struct TableState {
    histories: FastMap<HistoryKey, RequestHistory>,
    unshared: Vec<UnsharedCrash>,
}

impl TableState {
    fn history(&self, request: RequestFingerprint) -> Option<&RequestHistory> {
        self.histories.get(&(request.target, request.content))
    }

    fn queue(&mut self, unshared: UnsharedCrash) {
        if self.unshared.len() < MAX_UNSHARED_RECORDS {
            self.unshared.push(unshared);
        }
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

    /// Records that an upstream has just ended while it ran a request of this entry, to be shared
    /// with the others.
    ///
    /// The first crash that nothing has cleared is shared after half a second, unless a response
    /// clears it before, and at once if another follows.
    pub fn record_crash(
        &self,
        request: RequestFingerprint,
        upstream: u32,
        now: Instant,
    ) -> RecordEffect {
        self.record_crash_at(request, upstream, now, now)
    }

    /// Records that an upstream has ended while it ran a request of this entry that was sent at `at`.
    pub fn record_crash_at(
        &self,
        request: RequestFingerprint,
        upstream: u32,
        at: Instant,
        now: Instant,
    ) -> RecordEffect {
        let is_first = !self.lock().history(request).is_some_and(RequestHistory::is_suspect);
        let (cleared, age) = (TraitSets::default(), now.saturating_duration_since(at));
        let effect = self.record(CrashRecord { request, upstream, cleared, age }, now);
        if effect == RecordEffect::None {
            return effect;
        }
        let mut state = self.lock();
        let due_at = if is_first { now + SHARE_DELAY } else { now };
        for unshared in &mut state.unshared {
            if unshared.request == request {
                unshared.due_at = now;
            }
        }
        state.queue(UnsharedCrash { request, upstream, due_at, is_update: false });
        effect
    }

    /// Whether an upstream has ended under this request, and nothing has cleared that.
    pub fn is_suspect(&self, request: RequestFingerprint) -> bool {
        let state = self.lock();
        let Some(history) = state.history(request) else { return false };
        let mut crashes = history.crashes.iter();
        crashes.any(|crash| crash.traits == request.traits && crash.cleared != TraitSets::ALL)
    }

    /// Withdraws a crash that was recorded: the upstream is still running.
    pub fn withdraw(&self, request: RequestFingerprint, upstream: u32, now: Instant) {
        let mut state = self.lock();
        let key = (request.target, request.content);
        let history = state.histories.get_mut(&key);
        let crash = history.and_then(|history| history.crash_mut(request.traits, upstream));
        let Some(crash) = crash else { return };
        if !crash.cleared.add(TraitSets::ALL) {
            return;
        }
        let waiting = state
            .unshared
            .iter()
            .position(|unshared| unshared.is_crash(request, upstream) && !unshared.is_update);
        match waiting {
            Some(index) => drop(state.unshared.remove(index)),
            None => state.queue(UnsharedCrash { request, upstream, due_at: now, is_update: true }),
        }
    }

    /// Records that a request of this entry has got a response, which clears the crashes of what has
    /// as much in common with it.
    pub fn record_response(&self, request: RequestFingerprint, now: Instant) {
        let mut state = self.lock();
        let Some(history) = state.histories.get_mut(&(request.target, request.content)) else {
            return;
        };
        for crash in history.clear(request.traits, now) {
            let crashed = RequestFingerprint { traits: crash.traits, ..request };
            let waiting = state.unshared.iter().position(|unshared| {
                unshared.is_crash(crashed, crash.upstream) && !unshared.is_update
            });
            match waiting {
                Some(index) if crash.cleared == TraitSets::ALL => {
                    state.unshared.remove(index);
                }
                // It will be shared as it is then.
                Some(_) => {}
                None => {
                    let upstream = crash.upstream;
                    let (request, due_at) = (crashed, now);
                    state.queue(UnsharedCrash { request, upstream, due_at, is_update: true });
                }
            }
        }
    }

    /// Applies a record, for example of another entry.
    pub fn record(&self, record: CrashRecord, now: Instant) -> RecordEffect {
        let CrashRecord { request, upstream, cleared, age } = record;
        let Some(at) = now.checked_sub(age) else { return RecordEffect::None };
        if age >= self.settings.record_ttl {
            return RecordEffect::None;
        }
        let key = (request.target, request.content);
        let traits = request.traits;
        let mut state = self.lock();
        if !state.histories.contains_key(&key) {
            self.make_room(&mut state, now);
        }
        let history = state.histories.entry(key).or_default();
        let is_refused = |history: &RequestHistory| {
            history.refused_until(traits, &self.settings).is_some_and(|until| until > now)
        };
        history.retain_valid(&self.settings, now);
        let was_refused = is_refused(history);
        let is_new = history.add_crash(UpstreamCrash { upstream, traits, at, cleared });
        let is_refused = is_refused(history);
        self.update_count(&state);
        match (is_new, is_refused && !was_refused) {
            (false, _) => RecordEffect::None,
            (true, false) => RecordEffect::New,
            (true, true) => RecordEffect::Refused,
        }
    }

    /// Takes the crashes that are due to be shared.
    pub fn take_unshared(&self, now: Instant) -> Vec<CrashRecord> {
        let mut state = self.lock();
        let due = state.unshared.extract_if(.., |unshared| unshared.due_at <= now);
        let due: Vec<UnsharedCrash> = due.collect();
        let mut records = Vec::with_capacity(due.len());
        for UnsharedCrash { request, upstream, .. } in due {
            let history = state.history(request);
            let crash = history.and_then(|history| history.crash(request.traits, upstream));
            if let Some(crash) = crash {
                records.push(crash.record(request, now));
            }
        }
        records
    }

    /// All records of the histories by which requests are refused now.
    pub fn refused_records(&self, now: Instant) -> Vec<CrashRecord> {
        let mut records = Vec::new();
        for ((target, content), history) in &self.lock().histories {
            if !self.refuses(history, now) {
                continue;
            }
            let request =
                |traits| RequestFingerprint { target: *target, content: *content, traits };
            for crash in &history.crashes {
                records.push(crash.record(request(crash.traits), now));
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

impl UpstreamCrash {
    fn record(&self, request: RequestFingerprint, now: Instant) -> CrashRecord {
        let age = now.saturating_duration_since(self.at);
        CrashRecord { request, upstream: self.upstream, cleared: self.cleared, age }
    }
}
