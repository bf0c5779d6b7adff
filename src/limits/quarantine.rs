//! Requests under which upstreams have ended.
//!
//! A request may crash every upstream that begins to run it, and its caller may send it again and
//! again, to any entry. Each entry records under which requests upstreams have ended, and shares the
//! records with the others. A request with enough of them is refused for some time. After that time
//! it is sent again, and refused again as soon as one more upstream ends under it.
//!
//! An upstream that ends takes along whatever else it was running. A response therefore clears a
//! request: it does not crash every upstream.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::util::FastMap;

/// Records kept of one request.
const MAX_REQUEST_RECORDS: usize = 8;
/// Own records that wait to be shared.
const MAX_UNSHARED_RECORDS: usize = 1024;
/// Time after which the first crash under a request is shared. Most requests that an upstream takes
/// along with it when it ends get a response elsewhere until then.
const SHARE_DELAY: Duration = Duration::from_millis(500);

/// Identifies a request that comes again: the digests of its two parts.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestFingerprint {
    /// Digest of caller, method, host, path and query.
    pub target: u64,
    /// Digest of the content.
    pub content: u64,
}

impl std::fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "{:016x}{:016x}", self.target, self.content)
    }
}

/// How a run of a request ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The upstream ended: the digest of its name and start, which differs between its processes.
    UpstreamEnded(u32),
    /// The upstream responded, so the request does not crash every upstream.
    Answered,
}

/// How a run of a request ended, and when.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RunRecord {
    /// The request.
    pub request: RequestFingerprint,
    /// How the run ended.
    pub outcome: RunOutcome,
    /// Time since then.
    pub age: Duration,
}

/// What a record has changed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RecordEffect {
    /// Nothing: it was known already, or is too old.
    None,
    /// It is new.
    New,
    /// It is new, and the request is refused from now on.
    Refused,
}

/// Bounds of a [`QuarantineTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineSettings {
    /// Upstreams that must have ended under a request before it is refused.
    pub min_crashes: usize,
    /// Time for which a record counts while its request is not refused.
    pub record_ttl: Duration,
    /// Time from the last record for which a request is refused.
    pub refusal_time: Duration,
    /// Most requests with records; the one with the oldest record makes room for another.
    pub max_requests: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            min_crashes: 3,
            record_ttl: Duration::from_secs(120),
            refusal_time: Duration::from_secs(600),
            max_requests: 2048,
        }
    }
}

/// The records of one request.
#[derive(Clone, Debug, Default)]
struct SuspectRequest {
    crashes: Vec<UpstreamCrash>,
    /// When it last got a response; earlier crashes no longer count.
    answered_at: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct UpstreamCrash {
    upstream: u32,
    at: Instant,
}

impl SuspectRequest {
    /// Time of the latest crash.
    fn last_crash_at(&self) -> Option<Instant> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    fn is_dangerous(&self, settings: &QuarantineSettings) -> bool {
        self.crashes.len() >= settings.min_crashes
    }

    /// Until when the request is refused; none if too few upstreams have ended under it.
    fn refused_until(&self, settings: &QuarantineSettings) -> Option<Instant> {
        let last_at = self.last_crash_at().filter(|_| self.is_dangerous(settings))?;
        Some(last_at + settings.refusal_time)
    }

    fn is_refused(&self, settings: &QuarantineSettings, now: Instant) -> bool {
        self.refused_until(settings).is_some_and(|until| until > now)
    }

    /// Whether no record counts any more.
    fn is_expired(&self, settings: &QuarantineSettings, now: Instant) -> bool {
        let mut ttl = settings.record_ttl;
        if self.is_dangerous(settings) {
            ttl += settings.refusal_time;
        }
        let last_at = self.last_crash_at().max(self.answered_at);
        last_at.is_none_or(|at| now.saturating_duration_since(at) >= ttl)
    }

    /// Adds a crash; returns whether it is new.
    fn add_crash(
        &mut self,
        crash: UpstreamCrash,
        settings: &QuarantineSettings,
        now: Instant,
    ) -> bool {
        let is_known = self.crashes.iter().any(|known| known.upstream == crash.upstream);
        if is_known || self.answered_at.is_some_and(|at| crash.at <= at) {
            return false;
        }
        if !self.is_dangerous(settings) {
            self.crashes.retain(|known| now - known.at < settings.record_ttl);
        }
        if self.crashes.len() == MAX_REQUEST_RECORDS {
            self.crashes.remove(0);
        }
        self.crashes.push(crash);
        true
    }

    /// Records a response; returns whether it makes crashes irrelevant.
    fn answer(&mut self, at: Instant) -> bool {
        self.answered_at = self.answered_at.max(Some(at));
        let known = self.crashes.len();
        self.crashes.retain(|crash| crash.at > at);
        self.crashes.len() < known
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

#[derive(Debug, Default)]
struct TableState {
    /// By the digest of the target, then of the content.
    requests: FastMap<u64, FastMap<u64, SuspectRequest>>,
    unshared: Vec<UnsharedRecord>,
}

impl TableState {
    fn remove(&mut self, request: RequestFingerprint) {
        let Some(contents) = self.requests.get_mut(&request.target) else { return };
        contents.remove(&request.content);
        if contents.is_empty() {
            self.requests.remove(&request.target);
        }
    }

    fn crashes_of(&self, request: RequestFingerprint) -> usize {
        let contents = self.requests.get(&request.target);
        let suspect = contents.and_then(|contents| contents.get(&request.content));
        suspect.map_or(0, |suspect| suspect.crashes.len())
    }

    fn suspects(&self) -> impl Iterator<Item = (RequestFingerprint, &SuspectRequest)> {
        self.requests.iter().flat_map(|(target, contents)| {
            contents.iter().map(|(content, suspect)| {
                (RequestFingerprint { target: *target, content: *content }, suspect)
            })
        })
    }
}

/// The requests under which upstreams have ended.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    settings: QuarantineSettings,
    state: Mutex<TableState>,
    /// Number of requests with records, readable without the lock.
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
        !self.is_empty() && self.lock().requests.contains_key(&target)
    }

    /// Time for which the request is still refused; none if it may be sent.
    pub fn refusal_left(&self, request: RequestFingerprint, now: Instant) -> Option<Duration> {
        let state = self.lock();
        let suspect = state.requests.get(&request.target)?.get(&request.content)?;
        let until = suspect.refused_until(&self.settings)?;
        Some(until.saturating_duration_since(now)).filter(|left| !left.is_zero())
    }

    /// Records how a run by this entry has just ended, to be shared with the others.
    ///
    /// The first crash under a request is shared after [`SHARE_DELAY`], unless a response comes
    /// before, and at once if another follows.
    pub fn record_own(
        &self,
        request: RequestFingerprint,
        outcome: RunOutcome,
        now: Instant,
    ) -> RecordEffect {
        let known_crashes = self.lock().crashes_of(request);
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
                let withdrawn = waiting - state.unshared.len();
                is_shared = withdrawn < known_crashes;
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
        if age >= self.settings.record_ttl + self.settings.refusal_time {
            return RecordEffect::None;
        }
        let mut state = self.lock();
        let effect = match outcome {
            RunOutcome::Answered => {
                let known = state.requests.get_mut(&request.target);
                let suspect = known.and_then(|known| known.get_mut(&request.content));
                let is_changed = suspect.is_some_and(|suspect| suspect.answer(at));
                if is_changed { RecordEffect::New } else { RecordEffect::None }
            }
            RunOutcome::UpstreamEnded(upstream) => {
                self.make_room(&mut state, now);
                let contents = state.requests.entry(request.target).or_default();
                let suspect = contents.entry(request.content).or_default();
                let was_refused = suspect.is_refused(&self.settings, now);
                let crash = UpstreamCrash { upstream, at };
                let is_new = suspect.add_crash(crash, &self.settings, now);
                let is_refused = suspect.is_refused(&self.settings, now);
                match (is_new, is_refused && !was_refused) {
                    (false, _) => RecordEffect::None,
                    (true, false) => RecordEffect::New,
                    (true, true) => RecordEffect::Refused,
                }
            }
        };
        self.update_count(&state);
        effect
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

    /// All crashes under the requests that are refused now.
    pub fn refused_records(&self, now: Instant) -> Vec<RunRecord> {
        let mut records = Vec::new();
        for (request, suspect) in self.lock().suspects() {
            if !suspect.is_refused(&self.settings, now) {
                continue;
            }
            for crash in &suspect.crashes {
                let outcome = RunOutcome::UpstreamEnded(crash.upstream);
                let age = now.saturating_duration_since(crash.at);
                records.push(RunRecord { request, outcome, age });
            }
        }
        records
    }

    /// Number of requests that are refused now.
    pub fn refused_requests(&self, now: Instant) -> usize {
        let state = self.lock();
        state.suspects().filter(|(_, suspect)| suspect.is_refused(&self.settings, now)).count()
    }

    /// Drops the requests whose records no longer count.
    pub fn remove_expired(&self, now: Instant) {
        if !self.is_empty() {
            self.drop_expired(&mut self.lock(), now);
        }
    }

    fn drop_expired(&self, state: &mut TableState, now: Instant) {
        state.requests.retain(|_, contents| {
            contents.retain(|_, suspect| !suspect.is_expired(&self.settings, now));
            !contents.is_empty()
        });
        self.update_count(state);
    }

    /// If the table is full, drops expired requests and, if that is not enough, the one whose last
    /// crash is the oldest.
    fn make_room(&self, state: &mut TableState, now: Instant) {
        if self.count.load(Ordering::Relaxed) < self.settings.max_requests {
            return;
        }
        self.drop_expired(state, now);
        if self.count.load(Ordering::Relaxed) < self.settings.max_requests {
            return;
        }
        let oldest = state.suspects().min_by_key(|(_, suspect)| suspect.last_crash_at());
        if let Some((request, _)) = oldest {
            state.remove(request);
        }
    }

    fn update_count(&self, state: &TableState) {
        let count = state.requests.values().map(FastMap::len).sum();
        self.count.store(count, Ordering::Relaxed);
    }

    fn lock(&self) -> MutexGuard<'_, TableState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
