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

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::util::FastMap;

/// Crashes that are kept of one target and content, the latest ones.
const MAX_CRASHES: usize = 16;
/// Responses that are kept of one target and content, the latest of each kind of request.
const MAX_RESPONSES: usize = 8;
/// Time by which a crash must be later than the oldest kept one to replace it. Entries know the ages
/// of crashes within some hundred milliseconds only, and must not replace them by turns.
const REPLACEMENT_MARGIN: Duration = Duration::from_secs(1);
/// Least time between crashes that count if they do not have all traits in common. Upstreams that
/// fail together take along several requests for the same popular target.
const MIN_CRASH_GAP: Duration = Duration::from_millis(50);
/// Own records that wait to be shared.
const MAX_UNSHARED_RECORDS: usize = 1024;
/// Time after which the first crash under a request is shared. Most requests that an upstream takes
/// along with it when it ends get a response elsewhere until then.
const SHARE_DELAY: Duration = Duration::from_millis(500);

/// What a request consists of that comes again, as digests.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestFingerprint {
    /// Method, host and path.
    pub target: u64,
    /// Content.
    pub content: u64,
    /// What may or may not matter.
    pub traits: RequestTraits,
}

/// Traits of a request beside its target and content, as digests.
#[derive(Clone, Copy, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct RequestTraits {
    /// Query.
    pub query: u32,
    /// Address of the caller.
    pub caller: u32,
    /// Headers that do not change from one send to the next.
    pub headers: u32,
}

impl RequestTraits {
    fn values(self) -> [u32; TRAITS] {
        [self.query, self.caller, self.headers]
    }
}

/// Number of traits.
const TRAITS: usize = 3;

/// A set of traits, one bit each.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct TraitSet(u8);

impl TraitSet {
    /// The set of all traits.
    const ALL: Self = Self((1 << TRAITS) - 1);

    /// All sets.
    fn all() -> impl Iterator<Item = Self> {
        (0..1 << TRAITS).map(Self)
    }

    fn contains(self, index: usize) -> bool {
        self.0 & 1 << index != 0
    }

    /// Whether the requests have all traits of this set in common.
    fn is_common(self, one: RequestTraits, other: RequestTraits) -> bool {
        let (one, other) = (one.values(), other.values());
        (0..TRAITS).all(|index| !self.contains(index) || one[index] == other[index])
    }
}

impl std::fmt::Display for RequestFingerprint {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let [query, caller, headers] = self.traits.values();
        write!(
            f,
            "{:016x}-{:016x}-{query:08x}-{caller:08x}-{headers:08x}",
            self.target, self.content
        )
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
    /// It is new, and its request is refused from now on.
    Refused,
}

/// Bounds of a [`QuarantineTable`].
#[derive(Clone, Debug, PartialEq)]
pub struct QuarantineSettings {
    /// Upstreams that must have ended under a request before it is refused.
    pub min_crashes: usize,
    /// Time for which a record counts. Longer than `refusal_time`, so that a request is refused again
    /// after one more crash.
    pub record_ttl: Duration,
    /// Time from the last crash for which a request is refused.
    pub refusal_time: Duration,
    /// Most targets and contents with records; the one whose last crash is the oldest makes room.
    pub max_requests: usize,
}

impl Default for QuarantineSettings {
    fn default() -> Self {
        Self {
            min_crashes: 3,
            record_ttl: Duration::from_secs(640),
            refusal_time: Duration::from_secs(600),
            max_requests: 1024,
        }
    }
}

/// The records of the requests with one target and content.
#[derive(Clone, Debug, Default)]
struct RequestHistory {
    /// Oldest first.
    crashes: Vec<UpstreamCrash>,
    /// Oldest first.
    responses: Vec<RequestResponse>,
}

#[derive(Clone, Copy, Debug)]
struct UpstreamCrash {
    upstream: u32,
    traits: RequestTraits,
    at: Instant,
}

#[derive(Clone, Copy, Debug)]
struct RequestResponse {
    traits: RequestTraits,
    at: Instant,
}

impl RequestHistory {
    fn last_crash_at(&self) -> Option<Instant> {
        self.crashes.last().map(|crash| crash.at)
    }

    /// Until when a request with these traits is refused; none if it may be sent.
    fn refused_until(
        &self,
        traits: RequestTraits,
        settings: &QuarantineSettings,
    ) -> Option<Instant> {
        if self.crashes.len() < settings.min_crashes {
            return None;
        }
        let sets = TraitSet::all();
        let last_at = sets.filter_map(|set| self.last_crash_of(set, traits, settings)).max()?;
        Some(last_at + settings.refusal_time)
    }

    /// Time of the last crash if enough have `set` in common with a request of these traits, and all
    /// other traits differ among them.
    fn last_crash_of(
        &self,
        set: TraitSet,
        traits: RequestTraits,
        settings: &QuarantineSettings,
    ) -> Option<Instant> {
        let responses = self.responses.iter().filter(|known| set.is_common(known.traits, traits));
        let answered_at = responses.map(|response| response.at).max();
        let mut crashes = Vec::with_capacity(self.crashes.len());
        for crash in &self.crashes {
            if set.is_common(crash.traits, traits) && Some(crash.at) > answered_at {
                crashes.push(crash);
            }
        }
        let gap = if set == TraitSet::ALL { Duration::ZERO } else { MIN_CRASH_GAP };
        if count_crashes(&crashes, gap) < settings.min_crashes {
            return None;
        }
        for index in 0..TRAITS {
            let first = crashes[0].traits.values()[index];
            let differs = crashes.iter().any(|crash| crash.traits.values()[index] != first);
            if !set.contains(index) && !differs {
                return None;
            }
        }
        crashes.last().map(|crash| crash.at)
    }

    /// Adds a crash; returns whether it is new. The latest are kept, in whatever order they arrive.
    fn add_crash(&mut self, crash: UpstreamCrash) -> bool {
        let is_known = self
            .crashes
            .iter()
            .any(|known| known.upstream == crash.upstream && known.traits == crash.traits);
        let is_cleared = self
            .responses
            .iter()
            .any(|response| response.traits == crash.traits && response.at >= crash.at);
        if is_known || is_cleared {
            return false;
        }
        if self.crashes.len() == MAX_CRASHES {
            if crash.at <= self.crashes[0].at + REPLACEMENT_MARGIN {
                return false;
            }
            self.crashes.remove(0);
        }
        let index = self.crashes.partition_point(|known| known.at <= crash.at);
        self.crashes.insert(index, crash);
        true
    }

    /// Adds a response; returns whether it clears a crash.
    fn add_response(&mut self, response: RequestResponse) -> bool {
        let known = self.responses.iter().position(|known| known.traits == response.traits);
        let known = known.map(|index| self.responses.remove(index));
        let known_at = known.map(|known| known.at);
        let latest = RequestResponse {
            at: known_at.map_or(response.at, |at| at.max(response.at)),
            ..response
        };
        if self.responses.len() == MAX_RESPONSES {
            self.responses.remove(0);
        }
        let index = self.responses.partition_point(|known| known.at <= latest.at);
        self.responses.insert(index, latest);
        self.crashes.iter().any(|crash| Some(crash.at) > known_at && crash.at <= response.at)
    }

    /// Drops the records that no longer count; returns whether crashes are left.
    fn retain_valid(&mut self, settings: &QuarantineSettings, now: Instant) -> bool {
        let is_valid = |at: Instant| now.saturating_duration_since(at) < settings.record_ttl;
        self.crashes.retain(|crash| is_valid(crash.at));
        self.responses.retain(|response| is_valid(response.at));
        !self.crashes.is_empty()
    }
}

/// Number of different upstreams, without crashes that follow a counted one within `gap`.
fn count_crashes(crashes: &[&UpstreamCrash], gap: Duration) -> usize {
    let mut counted: Vec<&UpstreamCrash> = Vec::with_capacity(crashes.len());
    for crash in crashes {
        let is_known = counted.iter().any(|known| known.upstream == crash.upstream);
        let is_later = counted.last().is_none_or(|last| crash.at >= last.at + gap);
        if is_later && !is_known {
            counted.push(crash);
        }
    }
    counted.len()
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
