//! The records of the requests with one target and content, and which requests they refuse.

use std::time::Duration;

use tokio::time::Instant;

use crate::limits::quarantine::QuarantineSettings;
use crate::limits::quarantine::request::{RequestTraits, TRAITS, TraitSet};

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

/// The records of the requests with one target and content.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestHistory {
    /// Oldest first.
    pub(super) crashes: Vec<UpstreamCrash>,
    /// Oldest first.
    pub(super) responses: Vec<RequestResponse>,
}

/// An upstream that ended under a request with these traits.
#[derive(Clone, Copy, Debug)]
pub(super) struct UpstreamCrash {
    pub(super) upstream: u32,
    pub(super) traits: RequestTraits,
    pub(super) at: Instant,
}

/// The latest response to a request with these traits.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestResponse {
    pub(super) traits: RequestTraits,
    pub(super) at: Instant,
}

impl RequestHistory {
    /// Time of the latest crash.
    pub(super) fn last_crash_at(&self) -> Option<Instant> {
        self.crashes.last().map(|crash| crash.at)
    }

    /// Until when a request with these traits is refused; none if it may be sent.
    pub(super) fn refused_until(
        &self,
        traits: RequestTraits,
        settings: &QuarantineSettings,
    ) -> Option<Instant> {
        if self.crashes.len() < settings.min_crashes {
            return None;
        }
        let mut refused_until = None;
        for set in TraitSet::all() {
            let Some(last_at) = self.last_crash_of(set, traits, settings) else { continue };
            let time = match set {
                TraitSet::ALL => settings.refusal_time,
                _ => settings.partial_refusal_time,
            };
            refused_until = refused_until.max(Some(last_at + time));
        }
        refused_until
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
    pub(super) fn add_crash(&mut self, crash: UpstreamCrash) -> bool {
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
    pub(super) fn add_response(&mut self, response: RequestResponse) -> bool {
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
    pub(super) fn retain_valid(&mut self, settings: &QuarantineSettings, now: Instant) -> bool {
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
