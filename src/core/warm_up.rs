//! The warm-up of an upstream, and the share of its request rate that this entry uses meanwhile.
//!
//! ```text
//! registration, health checks, peers -> cold until (the longest counts)
//! registered entries                 -> share of this entry -> token bucket -> attempts
//! ```
//!
//! A cold upstream gets requests from the holders of its shares only. Without a share that was set,
//! nothing is recorded and every attempt is allowed.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use http::{HeaderMap, HeaderName};
use tokio::time::Instant;

use crate::core::limit_bucket::{LimitBucket, LimitPermit, LimitShare};
use crate::core::upstream_stats::AtomicTimestamp;

/// Longest warm-up that is enforced; a longer one would be a mistake.
const MAX_WARM_UP: Duration = Duration::from_secs(600);
/// Time after which a warm-up that goes on is sent to the other entries again: a message may be lost.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);
/// Difference of two statements of the same end, from network and scheduling delays.
const END_TOLERANCE: Duration = Duration::from_millis(250);

/// What the response to a health check says about the warm-up of its upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WarmUpStatement {
    /// It has no statement.
    Absent,
    /// Time that the warm-up still lasts; zero once it is over.
    Left(Duration),
    /// The header is not a number of milliseconds.
    Invalid,
}

impl WarmUpStatement {
    /// Reads the statement from the headers of a response. The longest of several times counts.
    pub fn from_headers(headers: &HeaderMap, name: &HeaderName) -> Self {
        let mut longest = None;
        for value in headers.get_all(name) {
            let millis: Option<f64> = value.to_str().ok().and_then(|text| text.trim().parse().ok());
            let Some(millis) = millis.filter(|millis| *millis >= 0.0) else {
                return Self::Invalid;
            };
            let secs = (millis / 1000.0).min(MAX_WARM_UP.as_secs_f64());
            longest = longest.max(Some(Duration::from_secs_f64(secs)));
        }
        longest.map_or(Self::Absent, Self::Left)
    }
}

/// The part of a cold upstream's request rate that this entry uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WarmUpShare {
    /// Requests per second that the upstream bears while it is cold, from all entries together.
    pub total_per_second: f64,
    /// What this entry may send; a share without a rate allows nothing.
    pub limit: LimitShare,
    /// Most tokens with which a warm-up begins, from 0 to 1. They differ among the holders, so that
    /// they don't all send at the same time.
    pub initial_tokens: f64,
}

/// Where the known end of a warm-up comes from.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WarmUpSource {
    /// The registration of the upstream.
    Registration,
    /// A response to a health check of this entry.
    Response,
    /// Another entry.
    Peer,
}

/// Begin or end of a warm-up, for the log.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum WarmUpChange {
    /// The upstream is cold for this time.
    Began {
        /// Time left.
        left: Duration,
        /// Who said so.
        source: WarmUpSource,
        /// Share of this entry.
        share: WarmUpShare,
    },
    /// The upstream is no longer cold.
    Ended {
        /// Requests of this entry meanwhile.
        sent: u64,
    },
}

/// What is to be logged or sent to the other entries.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct WarmUpNews {
    /// Begin or end, once each.
    pub change: Option<WarmUpChange>,
    /// Time left by a health check of this entry, for the other entries.
    pub shared_left: Option<Duration>,
}

/// Warm-up of an upstream whose share is known.
#[derive(Clone, Copy, Debug)]
struct WarmUpRecord {
    share: WarmUpShare,
    /// Revision of the members that the share was computed from.
    members_revision: u64,
    bucket: LimitBucket,
    /// Time left by the last registration that was applied.
    registered: Duration,
    source: WarmUpSource,
    /// When the upstream, or a peer that asked it, last said that it is cold.
    stated_at: Instant,
    /// Whether a health check has ever had a statement. Only then its absence ends a warm-up.
    is_stated_by_probes: bool,
    is_logged: bool,
    /// End by the health checks of this entry.
    own_until: Option<Instant>,
    /// That end and the time when it was last sent to the other entries.
    shared: Option<(Instant, Instant)>,
    /// Requests in the warm-up that was logged last.
    sent: u64,
}

/// Warm-up of one upstream.
#[derive(Debug)]
pub struct WarmUpLimit {
    created_at: Instant,
    /// End of the current or last warm-up, in nanoseconds after `created_at`; spares the lock for
    /// the many upstreams that are not cold.
    cold_until: AtomicTimestamp,
    /// Requests sent during warm-ups that [`Self::take_sent`] has not returned yet.
    sent: AtomicU64,
    record: Mutex<Option<WarmUpRecord>>,
}

impl Default for WarmUpLimit {
    fn default() -> Self {
        Self {
            created_at: Instant::now(),
            cold_until: AtomicTimestamp::default(),
            sent: AtomicU64::default(),
            record: Mutex::default(),
        }
    }
}

impl WarmUpLimit {
    /// Time at `now` until the upstream is no longer cold; zero if it is not, or if its rate is not
    /// enforced.
    pub fn cold_left(&self, now: Instant) -> Duration {
        let Some(until) = self.cold_until.get() else { return Duration::ZERO };
        Duration::from_nanos(until.saturating_sub(self.nanos_at(now)))
    }

    /// Whether the upstream is cold at `now` and its rate is enforced.
    pub fn is_cold(&self, now: Instant) -> bool {
        !self.cold_left(now).is_zero()
    }

    /// Time since the last warm-up ended; `None` during one, or before the first.
    pub fn time_since_end(&self, now: Instant) -> Option<Duration> {
        let elapsed = self.nanos_at(now).checked_sub(self.cold_until.get()?)?;
        Some(Duration::from_nanos(elapsed))
    }

    /// Whether the share is missing, or was computed from other members or for another rate.
    pub fn needs_share(&self, members_revision: u64, total_per_second: f64) -> bool {
        (*self.lock()).is_none_or(|known| {
            known.members_revision != members_revision
                || known.share.total_per_second != total_per_second
        })
    }

    /// Enforces the rate with this share from now on.
    pub fn set_share(&self, share: WarmUpShare, members_revision: u64) {
        let now = Instant::now();
        let mut record = self.lock();
        if let Some(known) = record.as_mut() {
            known.members_revision = members_revision;
            if known.share != share {
                known.share = share;
                known.bucket.set_share(share.limit, now);
            }
            return;
        }
        *record = Some(WarmUpRecord {
            share,
            members_revision,
            bucket: LimitBucket::with_tokens(share.limit, share.initial_tokens, now),
            registered: Duration::ZERO,
            source: WarmUpSource::Registration,
            stated_at: now,
            is_stated_by_probes: false,
            is_logged: false,
            own_until: None,
            shared: None,
            sent: 0,
        });
    }

    /// The share of this entry; `None` if the rate is not enforced.
    pub fn share(&self) -> Option<WarmUpShare> {
        (*self.lock()).map(|known| known.share)
    }

    /// Stops enforcing the rate.
    pub fn disable(&self) {
        *self.lock() = None;
        self.cold_until.clear();
    }

    /// Records the time left by the registration. It counts from when it was first seen: the same
    /// time again is not a new statement.
    pub fn record_registration(&self, left: Duration) {
        let mut record = self.lock();
        let Some(known) = record.as_mut().filter(|known| known.registered != left) else { return };
        known.registered = left;
        self.extend(known, left, WarmUpSource::Registration);
    }

    /// Records what the response to a health check says, `latency` after it was sent. It ends a
    /// warm-up only if the check was sent after the upstream was last known to be cold.
    pub fn record_probe(&self, statement: WarmUpStatement, latency: Duration) {
        let now = Instant::now();
        let mut record = self.lock();
        let Some(known) = record.as_mut() else { return };
        let left = match statement {
            WarmUpStatement::Left(left) => left,
            WarmUpStatement::Absent if known.is_stated_by_probes => Duration::ZERO,
            WarmUpStatement::Absent | WarmUpStatement::Invalid => return,
        };
        if !left.is_zero() {
            known.is_stated_by_probes = true;
            known.own_until = Some(now + left);
            self.extend(known, left, WarmUpSource::Response);
            return;
        }
        let is_later = now.checked_sub(latency).is_none_or(|sent_at| known.stated_at <= sent_at);
        if is_later && self.is_cold(now) {
            known.own_until = None;
            self.cold_until.set(self.nanos_at(now));
        }
    }

    /// Records the time left that another entry has learned.
    pub fn record_peer(&self, left: Duration) {
        if let Some(known) = self.lock().as_mut() {
            self.extend(known, left, WarmUpSource::Peer);
        }
    }

    /// Whether a request may be sent to the upstream now.
    pub fn may_send(&self, now: Instant) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        self.lock().as_mut().is_none_or(|known| known.bucket.may_send(now, now))
    }

    /// Counts a request against the share of this entry; false if it may not be sent now.
    pub fn try_take(&self, now: Instant) -> bool {
        if !self.is_cold(now) {
            return true;
        }
        let mut record = self.lock();
        let Some(known) = record.as_mut() else { return true };
        if known.bucket.take(now, now) != LimitPermit::Share {
            return false;
        }
        known.sent += 1;
        self.sent.fetch_add(1, Ordering::Relaxed);
        true
    }

    /// Time until this entry or, if it has no share, one of the others may send the upstream a request.
    pub fn opens_in(&self, now: Instant) -> Duration {
        if self.may_send(now) {
            return Duration::ZERO;
        }
        let Some(WarmUpRecord { bucket, share, .. }) = *self.lock() else { return Duration::ZERO };
        let interval = Duration::try_from_secs_f64(1.0 / share.total_per_second);
        let next = bucket.next_token_in().unwrap_or(interval.unwrap_or(MAX_WARM_UP));
        next.min(self.cold_left(now))
    }

    /// Requests sent during warm-ups since the last call.
    pub fn take_sent(&self) -> u64 {
        self.sent.swap(0, Ordering::Relaxed)
    }

    /// What is to be logged or sent to the other entries now.
    pub fn take_news(&self, now: Instant) -> WarmUpNews {
        let mut news = WarmUpNews::default();
        if self.cold_until.get().is_none() {
            return news;
        }
        let mut record = self.lock();
        let Some(known) = record.as_mut() else { return news };
        let left = self.cold_left(now);
        if left.is_zero() {
            if known.is_logged {
                news.change = Some(WarmUpChange::Ended { sent: known.sent });
                known.is_logged = false;
            }
            return news;
        }
        if !known.is_logged {
            let (source, share) = (known.source, known.share);
            news.change = Some(WarmUpChange::Began { left, source, share });
            known.is_logged = true;
        }
        let Some(until) = known.own_until.filter(|until| *until > now) else { return news };
        let is_due = known.shared.is_none_or(|(shared_until, shared_at)| {
            until > shared_until + END_TOLERANCE || now - shared_at >= RENEWAL_INTERVAL
        });
        if is_due {
            known.shared = Some((until, now));
            news.shared_left = Some(until - now);
        }
        news
    }

    /// Makes the upstream cold for at least `left`. What was saved up before doesn't count.
    fn extend(&self, known: &mut WarmUpRecord, left: Duration, source: WarmUpSource) {
        let now = Instant::now();
        if left.is_zero() {
            return;
        }
        known.stated_at = now;
        if !self.is_cold(now) {
            known.bucket.cap_tokens(known.share.initial_tokens, now);
            known.source = source;
            if !known.is_logged {
                known.sent = 0;
            }
        }
        let until = self.nanos_at(now + left.min(MAX_WARM_UP));
        if self.cold_until.get().is_none_or(|known_until| known_until < until) {
            self.cold_until.set(until);
        }
    }

    fn nanos_at(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.created_at).as_nanos() as u64
    }

    fn lock(&self) -> MutexGuard<'_, Option<WarmUpRecord>> {
        self.record.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
