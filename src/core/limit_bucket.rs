//! Token bucket of the share that one entry has of a limit: the rate limit that an upstream names, or
//! the rate that it bears while it warms up.

use std::time::Duration;

use tokio::time::Instant;

/// Time without any news of a limit after which an entry without a share may try one request.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(5);

/// The part of a limit that one entry uses.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitShare {
    /// Requests per second; 0 for an entry that leaves the limit to others.
    pub per_second: f64,
    /// Requests that may be sent at once after a pause.
    pub burst: f64,
    /// Time without any news of the limit after which an entry without a share tries one request.
    pub trial_delay: Duration,
}

impl LimitShare {
    /// Share of an entry that sends up to `per_second`, and `burst` requests after a pause.
    pub fn new(per_second: f64, burst: f64) -> Self {
        Self { per_second, burst, trial_delay: FIRST_TRIAL_DELAY }
    }

    /// Share of an entry that leaves the limit to the others; `position` orders such entries, so
    /// that they don't all try a request at the same time.
    pub fn none(position: u32) -> Self {
        Self { per_second: 0.0, burst: 0.0, trial_delay: FIRST_TRIAL_DELAY * (position + 1) }
    }

    /// Share of an entry that sends nothing, and tries nothing either.
    pub fn closed() -> Self {
        Self { per_second: 0.0, burst: 0.0, trial_delay: Duration::MAX }
    }
}

/// What a request is sent by.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum LimitPermit {
    /// The share of this entry.
    Share,
    /// A trial of an entry without a share: the limit may have been lifted unnoticed.
    Trial,
    /// It must not be sent.
    None,
}

/// Requests that this entry may still send.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitBucket {
    share: LimitShare,
    tokens: f64,
    refilled_at: Instant,
}

impl LimitBucket {
    /// An empty bucket without a share.
    pub(super) fn new(now: Instant) -> Self {
        Self { share: LimitShare::none(0), tokens: 0.0, refilled_at: now }
    }

    /// A bucket that holds up to `tokens`, as far as the burst of `share` allows.
    pub(super) fn with_tokens(share: LimitShare, tokens: f64, now: Instant) -> Self {
        Self { share, tokens: tokens.min(share.burst), refilled_at: now }
    }

    /// Takes what is there beyond `tokens`.
    pub(super) fn cap_tokens(&mut self, tokens: f64, now: Instant) {
        self.refill(now);
        self.tokens = self.tokens.min(tokens);
    }

    /// Takes all that may still be sent; the share stays.
    pub(super) fn empty(&mut self, now: Instant) {
        self.tokens = 0.0;
        self.refilled_at = now;
    }

    pub(super) fn set_share(&mut self, share: LimitShare, now: Instant) {
        self.refill(now);
        self.share = share;
        self.tokens = self.tokens.min(share.burst);
    }

    /// Whether a request may be sent; the last news of the limit are of `news_at`.
    pub(super) fn may_send(&mut self, now: Instant, news_at: Instant) -> bool {
        self.refill(now);
        self.tokens >= 1.0 || self.trial_at(news_at).is_some_and(|at| at <= now)
    }

    /// Takes the permit for a request.
    pub(super) fn take(&mut self, now: Instant, news_at: Instant) -> LimitPermit {
        if !self.may_send(now, news_at) {
            return LimitPermit::None;
        }
        if self.tokens < 1.0 {
            return LimitPermit::Trial;
        }
        self.tokens -= 1.0;
        LimitPermit::Share
    }

    /// Time from the last refill to the next token; `None` without a share.
    pub(super) fn next_token_in(&self) -> Option<Duration> {
        let missing = (1.0 - self.tokens).max(0.0);
        let has_share = self.share.per_second > 0.0;
        has_share.then(|| Duration::from_secs_f64(missing / self.share.per_second))
    }

    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let refilled = self.tokens + self.share.per_second * elapsed.as_secs_f64();
        self.tokens = refilled.min(self.share.burst);
        self.refilled_at = now;
    }

    /// When an entry without a share may try a request; `None` for one with a share, or a closed one.
    fn trial_at(&self, news_at: Instant) -> Option<Instant> {
        if self.share.per_second > 0.0 {
            return None;
        }
        news_at.checked_add(self.share.trial_delay)
    }
}
